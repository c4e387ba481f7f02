package commander

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"bronzedrift.example/bronzedrift/internal/reporter"
)

// newStatusCommand prints one line for each daemon.
func newStatusCommand() *cobra.Command {
	o := &operatorsClient{}
	var asJSON bool
	c := &cobra.Command{
		Use:     "status",
		Short:   "Show the state of daemons",
		Example: "  bronzedrift status --operators 127.0.0.1:7102,127.0.0.1:7202",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := o.parse(); err != nil {
				return err
			}
			if asJSON {
				return o.printStatusJSON(c)
			}
			return o.printStatusTable(c)
		},
	}
	o.addFlags(c)
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

func (o *operatorsClient) printStatusJSON(c *cobra.Command) error {
	var all []any
	for _, a := range o.addresses {
		var s any
		if err := o.do(c.Context(), http.MethodGet, a, "/v1/status", &s); err != nil {
			s = map[string]string{"operators": a.String(), "error": err.Error()}
		}
		all = append(all, s)
	}
	return printJSON(c, all)
}

func (o *operatorsClient) printStatusTable(c *cobra.Command) error {
	t := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
	statuses := o.readStatuses(c.Context())
	_, _ = fmt.Fprintln(t, "VM\tDATA CENTRE\tROLES\tLESSOR\tRANGES\tLINKS\tJOBS\tQUEUED\tRUNNING\tSTATE")
	for i, s := range statuses {
		if s == nil {
			_, _ = fmt.Fprintf(t, "%s\t-\t-\t-\t-\t-\t-\t-\t-\tout of reach\n", o.addresses[i])
			continue
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n", s.VM, s.DataCentre,
			strings.Join(s.Roles, ","), s.Lessor, formatRanges(s), formatLinks(s), s.Jobs, s.QueuedTasks, s.RunningTasks, formatState(s))
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("commander: %w", err)
	}
	return printEvacuations(c, statuses)
}

// statusTimeout bounds the wait for a daemon that is one of several asked.
const statusTimeout = 3 * time.Second

// readStatuses asks all daemons at the same time. The status of one that does not
// answer is nil.
func (o *operatorsClient) readStatuses(ctx context.Context) []*reporter.Status {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	statuses := make([]*reporter.Status, len(o.addresses))
	var wg sync.WaitGroup
	for i, a := range o.addresses {
		wg.Go(func() {
			s := &reporter.Status{}
			if err := o.do(ctx, http.MethodGet, a, "/v1/status", s); err == nil {
				statuses[i] = s
			}
		})
	}
	wg.Wait()
	return statuses
}

// printEvacuations prints one line for each evacuated data centre, with the tasks of
// all daemons that run there and the daemons that have not learned of it.
func printEvacuations(c *cobra.Command, statuses []*reporter.Status) error {
	newest := map[string]reporter.Evacuation{}
	for _, s := range statuses {
		if s == nil {
			continue
		}
		for _, e := range s.Evacuations {
			if e.Revision > newest[e.DataCentre].Revision {
				newest[e.DataCentre] = e
			}
		}
	}
	t := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
	header := "\nEVACUATED\tSINCE\tREVISION\tRUNNING\tNOT YET INFORMED\n"
	for _, dc := range slices.Sorted(maps.Keys(newest)) {
		e := newest[dc]
		if e.State != reporter.Evacuated {
			continue
		}
		running := 0
		uninformed := "-"
		for _, s := range statuses {
			if s == nil {
				continue
			}
			own := findEvacuation(s, dc)
			if own == nil || own.Revision < e.Revision {
				uninformed = strings.TrimPrefix(uninformed+","+s.VM, "-,")
			}
			if own != nil && own.RunningTasks != nil {
				running += *own.RunningTasks
			}
		}
		_, _ = fmt.Fprintf(t, "%s%s\t%s\t%d\t%d\t%s\n", header, dc, e.ChangedAt, e.Revision, running, uninformed)
		header = ""
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("commander: %w", err)
	}
	return nil
}

// formatRanges lists the ranges held. A '*' marks a range whose claim is incomplete.
func formatRanges(s *reporter.Status) string {
	var names []string
	for _, r := range s.Ranges {
		name := r.Name
		if !r.Complete {
			name += "*"
		}
		names = append(names, name)
	}
	return strings.Join(names, ",")
}

func formatLinks(s *reporter.Status) string {
	up := 0
	for _, l := range s.Links {
		if l.Up {
			up++
		}
	}
	return fmt.Sprintf("%d/%d", up, len(s.Links))
}

func formatState(s *reporter.Status) string {
	for _, v := range s.Verdicts {
		if v.Kind == "vms" && v.Name == s.VM && v.State == "down" {
			return "called down"
		}
	}
	if s.Draining {
		return "draining"
	}
	return "up"
}

// newUpstreamsCommand prints the upstreams that the first daemon knows.
func newUpstreamsCommand() *cobra.Command {
	o := &operatorsClient{}
	var asJSON bool
	c := &cobra.Command{
		Use:     "upstreams",
		Short:   "Show the announced upstreams and the verdicts on them",
		Example: "  bronzedrift upstreams --operators 127.0.0.1:7102",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := o.parse(); err != nil {
				return err
			}
			var s reporter.Status
			if err := o.do(c.Context(), http.MethodGet, o.addresses[0], "/v1/status", &s); err != nil {
				return err
			}
			if asJSON {
				return printJSON(c, s.Upstreams)
			}
			return printUpstreamsTable(c, s.Upstreams)
		},
	}
	o.addFlags(c)
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

func printUpstreamsTable(c *cobra.Command, list []reporter.Upstream) error {
	t := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "UPSTREAM\tDATA CENTRE\tADDRESS\tSLOTS\tSERVICES\tCAPABILITIES\tSTATE")
	for _, u := range list {
		state := "up"
		switch {
		case u.Down:
			state = "called down"
		case u.Leaving:
			state = "leaving"
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%s\t%s\n", u.Name, u.DataCentre, u.Address, u.Slots,
			strings.Join(u.Services, ","), strings.Join(u.Capabilities, ","), state)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("commander: %w", err)
	}
	return nil
}
