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

const maxLogLineBytes = 1 << 20

// logLine is one parsed JSON line of a daemon's log.
type logLine struct {
	at     time.Time
	fields map[string]any
}

func (l *logLine) stringField(key string) string {
	s, _ := l.fields[key].(string)
	return s
}

// newExplainCommand traces one request or job through the logs of all daemons.
func newExplainCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "explain ID [FILE...|-]",
		Short:   "Trace a request or job through the daemons' logs and show how it ended",
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
			inputLines, err := readLog(in)
			if err != nil {
				return nil, err
			}
			lines = append(lines, inputLines...)
			continue
		}
		f, err := os.Open(name)
		if err != nil {
			return nil, fmt.Errorf("explain: %w", err)
		}
		fileLines, err := readLog(f)
		if err = errors.Join(err, f.Close()); err != nil {
			return nil, fmt.Errorf("explain: %s: %w", name, err)
		}
		lines = append(lines, fileLines...)
	}
	return lines, nil
}

// readLog parses the JSON lines of a log. It skips any prefix that a log collector
// wrote before the JSON, and lines that are not JSON or have no valid time.
func readLog(in io.Reader) ([]logLine, error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLineBytes)
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
		at, err := time.Parse(time.RFC3339Nano, l.stringField("time"))
		if err != nil {
			continue
		}
		l.at = at
		lines = append(lines, l)
	}
	return lines, scanner.Err()
}

// explain prints the log lines of the jobs that a job or request id refers to,
// the warnings about the upstreams that they used, and how they ended.
func explain(out io.Writer, id string, lines []logLine) error {
	jobs := map[string]bool{id: true}
	for i := range lines {
		if lines[i].stringField("request") == id && lines[i].stringField("job") != "" {
			jobs[lines[i].stringField("job")] = true
		}
	}
	var related []logLine
	for i := range lines {
		if jobs[lines[i].stringField("job")] || lines[i].stringField("request") == id {
			related = append(related, lines[i])
		}
	}
	if len(related) == 0 {
		return &ExitError{Code: ExitFailure, Text: fmt.Sprintf("no log line mentions %s", id)}
	}
	sort.SliceStable(related, func(i, k int) bool { return related[i].at.Before(related[k].at) })
	related = append(related, upstreamWarnings(lines, related)...)
	sort.SliceStable(related, func(i, k int) bool { return related[i].at.Before(related[k].at) })
	outcome := ""
	for i := range related {
		printLine(out, &related[i])
		if strings.HasPrefix(related[i].stringField("message"), "answered-") || related[i].stringField("message") == "caller-gone" {
			outcome = strings.TrimSpace(related[i].stringField("message") + " " + related[i].stringField("reason"))
		}
	}
	if outcome == "" {
		outcome = "no answer in these logs; the entry may have been lost"
	}
	_, err := fmt.Fprintf(out, "ended: %s\n", outcome)
	return err
}

// upstreamWarnings returns the warnings about the upstreams in the related lines
// that were logged between the first and the last of these lines.
func upstreamWarnings(lines, related []logLine) []logLine {
	used := map[string]bool{}
	for i := range related {
		if u := related[i].stringField("upstream"); u != "" {
			used[u] = true
		}
	}
	from, to := related[0].at, related[len(related)-1].at
	var warnings []logLine
	for i := range lines {
		l := &lines[i]
		if l.stringField("job") == "" && l.stringField("level") == "warn" && used[l.stringField("upstream")] && !l.at.Before(from) && !l.at.After(to) {
			warnings = append(warnings, *l)
		}
	}
	return warnings
}

// printLine prints the time, VM, message and a fixed selection of fields.
func printLine(out io.Writer, l *logLine) {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-22s %-20s", l.at.Format("15:04:05.000"), l.stringField("vm"), l.stringField("message"))
	for _, key := range []string{"task", "run", "upstream", "peer", "after", "reason", "evidence", "age"} {
		if v, ok := l.fields[key]; ok {
			fmt.Fprintf(&b, " %s=%v", key, v)
		}
	}
	_, _ = fmt.Fprintln(out, b.String())
}
