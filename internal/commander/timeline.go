package commander

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"sort"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"bronzedrift.example/bronzedrift/internal/reporter"
)

// timelineJSON is the merged timeline. Gaps describes the events missing from it.
type timelineJSON struct {
	Events []reporter.Event `json:"events"`
	Gaps   []string         `json:"gaps"`
}

type timelineFlags struct {
	operatorsClient
	filter     url.Values
	asJSON     bool
	html       string
	vm         string
	dataCentre string
	task       int
}

// newTimelineCommand prints the merged events of all daemons.
func newTimelineCommand() *cobra.Command {
	f := &timelineFlags{}
	var job, team, upstream, since, until string
	c := &cobra.Command{
		Use:     "timeline",
		Short:   "Show the events of all daemons in causal order",
		Example: "  bronzedrift timeline --operators 127.0.0.1:7102,127.0.0.1:7202 --job 0198c0de-0000-7000-8000-000000000001",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			f.filter = url.Values{"job": {job}, "team": {team}, "upstream": {upstream}, "since": {since}, "until": {until}}
			return f.run(c)
		},
	}
	f.addFlags(c)
	c.Flags().StringVar(&job, "job", "", "only events of this job")
	c.Flags().StringVar(&team, "team", "", "only events of this team")
	c.Flags().StringVar(&upstream, "upstream", "", "only events of this upstream")
	c.Flags().StringVar(&f.vm, "vm", "", "only events of this VM")
	c.Flags().StringVar(&f.dataCentre, "data-centre", "", "only events of the VMs of this data centre")
	c.Flags().IntVar(&f.task, "task", -1, "only events of this task of the job")
	c.Flags().StringVar(&since, "since", "", "only events at or after this RFC 3339 time")
	c.Flags().StringVar(&until, "until", "", "only events up to this RFC 3339 time")
	c.Flags().StringVar(&f.html, "html", "", "write an HTML page with a column for each VM to this file")
	c.Flags().BoolVar(&f.asJSON, "json", false, "print JSON")
	return c
}

func (f *timelineFlags) run(c *cobra.Command) error {
	if err := f.parse(); err != nil {
		return err
	}
	t := f.collectEvents(c)
	switch {
	case f.html != "":
		return f.writeHTML(&t)
	case f.asJSON:
		return printJSON(c, t)
	}
	w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
	for _, e := range t.Events {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d %s\t%s\n", e.ClockWall.UTC().Format("15:04:05.000000"), e.VM, e.Number, e.Name, subjectOf(&e))
	}
	for _, gap := range t.Gaps {
		_, _ = fmt.Fprintf(w, "gap:\t%s\t\t\n", gap)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("commander: %w", err)
	}
	return nil
}

func (f *timelineFlags) writeHTML(t *timelineJSON) error {
	file, err := os.Create(f.html)
	if err != nil {
		return fmt.Errorf("commander: %w", err)
	}
	return errors.Join(writeTimelinePage(file, t), file.Close())
}

// matches applies the filters that the daemons do not implement.
func (f *timelineFlags) matches(response *reporter.Events, e *reporter.Event) bool {
	return (f.vm == "" || f.vm == response.VM) &&
		(f.dataCentre == "" || f.dataCentre == response.DataCentre) &&
		(f.task < 0 || e.Task != nil && *e.Task == f.task)
}

// collectEvents merges the daemons' events in the order of their hybrid logical
// clocks and records unreachable daemons and overwritten events as gaps.
func (f *timelineFlags) collectEvents(c *cobra.Command) timelineJSON {
	t := timelineJSON{Events: []reporter.Event{}, Gaps: []string{}}
	for _, a := range f.addresses {
		var response reporter.Events
		if err := f.do(c.Context(), http.MethodGet, a, "/v1/events?"+f.filter.Encode(), &response); err != nil {
			t.Gaps = append(t.Gaps, fmt.Sprintf("%s is unreachable: %v", a, err))
			continue
		}
		if response.Overwritten > 0 {
			t.Gaps = append(t.Gaps, fmt.Sprintf("%s overwrote its %d oldest events", response.VM, response.Overwritten))
		}
		for i := range response.Events {
			if f.matches(&response, &response.Events[i]) {
				t.Events = append(t.Events, response.Events[i])
			}
		}
	}
	sort.SliceStable(t.Events, func(i, j int) bool {
		a, b := &t.Events[i], &t.Events[j]
		if !a.ClockWall.Equal(b.ClockWall) {
			return a.ClockWall.Before(b.ClockWall)
		}
		if a.ClockCounter != b.ClockCounter {
			return a.ClockCounter < b.ClockCounter
		}
		return a.VM < b.VM
	})
	return t
}

func subjectOf(e *reporter.Event) string {
	text := ""
	add := func(key, value string) {
		if value != "" {
			text += key + "=" + value + " "
		}
	}
	add("job", e.Job)
	if e.Task != nil && e.Job != "" {
		add("task", fmt.Sprint(*e.Task))
	}
	add("team", e.Team)
	add("upstream", e.Upstream)
	add("peer", e.Peer)
	add("text", e.Text)
	return text
}
