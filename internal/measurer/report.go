package measurer

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Report holds the figures for one load; all dispatch methods ran the same trace.
type Report struct {
	Load    float64       `json:"load"`
	Seed    uint64        `json:"seed"`
	Jobs    int           `json:"jobs"`
	Tasks   int           `json:"tasks"`
	Ideal   time.Duration `json:"ideal-mean"`
	Figures []Figures     `json:"figures"`
}

// WriteReports prints the response times and the message counts of the reports as two
// tables of at most 100 columns. The columns ending in /i are relative to the
// ideal queue.
func WriteReports(w io.Writer, reports []Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "load\tmethod\tjobs\tfailed\tmean\tp50\tp99\tp999\t mean/i\tp50/i\tp99/i\tp999/i\twasted\t")
	for _, r := range reports {
		for _, f := range r.Figures {
			_, _ = fmt.Fprintf(t, "%.0f%%\t%s\t%d\t%d\t%s\t%s\t%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f%%\t\n",
				100*r.Load, f.Name, f.Complete, f.Failed+f.Unanswered,
				formatMillis(f.Mean), formatMillis(f.P50), formatMillis(f.P99), formatMillis(f.P999),
				f.OverIdeal.Mean, f.OverIdeal.P50, f.OverIdeal.P99, f.OverIdeal.P999,
				100*f.Messages.WastedShare)
		}
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("measurer: writing the response times: %w", err)
	}
	return writeMessages(w, reports)
}

// writeMessages prints the message counts by kind; the columns from refused to
// unused count as wasted.
func writeMessages(w io.Writer, reports []Report) error {
	_, _ = fmt.Fprintln(w)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "load\tmethod\tjobs\tinner\tstarts\trefused\tbounced\trepeats\tlook-ups\tduplicates\tunused\twasted\t")
	for _, r := range reports {
		for _, f := range r.Figures {
			m := f.Messages
			_, _ = fmt.Fprintf(t, "%.0f%%\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f%%\t\n", 100*r.Load, f.Name,
				m.Submissions, m.Inner, m.Starts, m.RefusedStarts, m.BouncedForwards, m.Repeats, m.Probes, m.Duplicates, m.UnusedGrants, 100*m.WastedShare)
		}
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("measurer: writing the message counts: %w", err)
	}
	return nil
}

func formatMillis(d time.Duration) string {
	return fmt.Sprintf("%dms", d.Milliseconds())
}
