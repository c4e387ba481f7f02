//go:build review2

package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// record keeps what was sent, answered and run, and the breaks of rules that it shows.
type record struct {
	began time.Time

	mu     sync.Mutex
	file   *os.File
	breaks []string
	// running has the runs of each task that are under way, by runner and number.
	running map[string]map[string]bool
	// cancelledAt is when the cancelling of a job was acknowledged.
	cancelledAt map[string]time.Time
	starts      int
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file, running: map[string]map[string]bool{}, cancelledAt: map[string]time.Time{}}, nil
}

func (r *record) add(event, who string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(event, who, values...)
}

func (r *record) write(event, who string, values ...any) {
	line := fmt.Sprintf("%8.3f %-22s %s", time.Since(r.began).Seconds(), event, who)
	for i := 0; i+1 < len(values); i += 2 {
		line += fmt.Sprintf(" %v=%v", values[i], values[i+1])
	}
	_, _ = fmt.Fprintln(r.file, line)
}

func (r *record) broken(rule, text string) {
	r.breaks = append(r.breaks, rule+": "+text)
	r.write("BROKEN", rule, "what", text)
}

// runStarted records a start and checks ROUTE (the label) and TWICE (two runs at the same time).
func (r *record) runStarted(u *runner, task string, number int, needs *work) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts++
	r.write("run-started", u.id, "task", task, "run", number, "label", needs.Label)
	if needs.Label != "" && !slices.Contains(u.labels, needs.Label) {
		r.broken("ROUTE", fmt.Sprintf("task %s requires label %q and has started on %s with the labels %v", task, needs.Label, u.id, u.labels))
	}
	job, _, _ := strings.Cut(task, ".")
	if at, ok := r.cancelledAt[job]; ok && time.Since(at) > cancelBound {
		r.broken("UNASKED", fmt.Sprintf("task %s has started on %s %.3f s after the cancelling of its job was acknowledged", task, u.id, time.Since(at).Seconds()))
	}
	if r.running[task] == nil {
		r.running[task] = map[string]bool{}
	}
	for other := range r.running[task] {
		r.broken("TWICE", fmt.Sprintf("task %s has started on %s while %s is running", task, u.id, other))
	}
	r.running[task][runName(u.id, number)] = true
}

func runName(runner string, number int) string { return fmt.Sprintf("%s/run %d", runner, number) }

func (r *record) runEnded(runner, task string, number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running[task], runName(runner, number))
}

func (r *record) cancelled(job string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.cancelledAt[job]; !ok {
		r.cancelledAt[job] = time.Now()
	}
}

// result returns the breaks of a rule.
func (r *record) result(rule string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []string
	for _, b := range r.breaks {
		if strings.HasPrefix(b, rule+":") {
			list = append(list, b)
		}
	}
	return list
}
