package commander

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

// maxLogLine bounds a line of a log, in bytes.
const maxLogLine = 1 << 20

// logLine is one structured line of a daemon's log.
type logLine struct {
	at     time.Time
	fields map[string]any
}

func (l *logLine) text(key string) string {
	s, _ := l.fields[key].(string)
	return s
}

// newExplainCommand shows the way of one request through the logs of all daemons.
func newExplainCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "explain ID [FILE...|-]",
		Short:   "Show the way of a request or job through the daemons' logs, and why it ended so",
		Example: "  cat logs/*.json | bronzedrift explain 5c0e7a21d94b36f8 -",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			lines, err := readLogs(c.InOrStdin(), args[1:])
			if err != nil {
				return err
			}
			return explain(c.OutOrStdout(), args[0], lines)
		},
	}
}

func readLogs(in io.Reader, files []string) ([]logLine, error) {
	if len(files) == 0 {
		files = []string{"-"}
	}
	var lines []logLine
	for _, name := range files {
		if name == "-" {
			more, err := readLog(in)
			if err != nil {
				return nil, err
			}
			lines = append(lines, more...)
			continue
		}
		f, err := os.Open(name)
		if err != nil {
			return nil, fmt.Errorf("explain: %w", err)
		}
		more, err := readLog(f)
		if err = errors.Join(err, f.Close()); err != nil {
			return nil, fmt.Errorf("explain: %s: %w", name, err)
		}
		lines = append(lines, more...)
	}
	return lines, nil
}

// readLog reads the structured lines; what a collector wrote before the JSON, and
// lines that are none, are left out.
func readLog(in io.Reader) ([]logLine, error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLine)
	var lines []logLine
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		l := logLine{fields: map[string]any{}}
		if json.Unmarshal(text[start:], &l.fields) != nil {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, l.text("time"))
		if err != nil {
			continue
		}
		l.at = at
		lines = append(lines, l)
	}
	return lines, scanner.Err()
}

// explain prints the lines of the jobs that an id names, and those of the upstreams
// and VMs that they used while they did.
func explain(out io.Writer, id string, lines []logLine) error {
	jobs := map[string]bool{id: true}
	for i := range lines {
		if lines[i].text("request") == id && lines[i].text("job") != "" {
			jobs[lines[i].text("job")] = true
		}
	}
	var way []logLine
	for i := range lines {
		if jobs[lines[i].text("job")] || lines[i].text("request") == id {
			way = append(way, lines[i])
		}
	}
	if len(way) == 0 {
		return &ExitError{Code: ExitFailure, Text: fmt.Sprintf("no line of the logs names %s", id)}
	}
	sort.SliceStable(way, func(i, k int) bool { return way[i].at.Before(way[k].at) })
	way = append(way, around(lines, way)...)
	sort.SliceStable(way, func(i, k int) bool { return way[i].at.Before(way[k].at) })
	last := ""
	for i := range way {
		printLine(out, &way[i])
		if strings.HasPrefix(way[i].text("message"), "answered-") || way[i].text("message") == "caller-gone" {
			last = strings.TrimSpace(way[i].text("message") + " " + way[i].text("reason"))
		}
	}
	if last == "" {
		last = "no answer in these logs: was the entry lost?"
	}
	_, err := fmt.Fprintf(out, "ended: %s\n", last)
	return err
}

// around returns the faults of the upstreams that a job used, while it was there.
func around(lines, way []logLine) []logLine {
	used := map[string]bool{}
	for i := range way {
		if u := way[i].text("upstream"); u != "" {
			used[u] = true
		}
	}
	from, to := way[0].at, way[len(way)-1].at
	var list []logLine
	for i := range lines {
		l := &lines[i]
		if l.text("job") == "" && l.text("level") == "warn" && used[l.text("upstream")] && !l.at.Before(from) && !l.at.After(to) {
			list = append(list, *l)
		}
	}
	return list
}

// printLine prints the known fields in order, then nothing of the rest.
func printLine(out io.Writer, l *logLine) {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-22s %-20s", l.at.Format("15:04:05.000"), l.text("vm"), l.text("message"))
	for _, key := range []string{"task", "run", "upstream", "peer", "after", "reason"} {
		if v, ok := l.fields[key]; ok {
			fmt.Fprintf(&b, " %s=%v", key, v)
		}
	}
	_, _ = fmt.Fprintln(out, b.String())
}
