//go:build review

package main

import (
	"sync"
	"time"
)

// overlap checks that no task runs on two runners at the same time for longer than a tolerance.
type overlap struct {
	world     *world
	tolerance time.Duration
	mu        sync.Mutex
	spans     map[string][]*span
}

// span is the time of one run. Its end is zero while the run is at work.
type span struct {
	runner     *runner
	number     int
	begin, end time.Time
}

// newOverlap watches all runs from now on.
func newOverlap(w *world, tolerance time.Duration) *overlap {
	o := &overlap{world: w, tolerance: tolerance, spans: map[string][]*span{}}
	w.onStart = func(r *runner, t *taskRun) {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.spans[t.task] = append(o.spans[t.task], &span{runner: r, number: t.number, begin: time.Now()})
	}
	w.onEnd = func(r *runner, t *taskRun, _ string) {
		o.mu.Lock()
		defer o.mu.Unlock()
		for _, s := range o.spans[t.task] {
			if s.runner == r && s.number == t.number && s.end.IsZero() {
				s.end = time.Now()
			}
		}
	}
	return o
}

// runnerAtWork returns a runner with a run at work, or nil.
func (o *overlap) runnerAtWork() *runner {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, spans := range o.spans {
		for _, s := range spans {
			if s.end.IsZero() {
				return s.runner
			}
		}
	}
	return nil
}

// check breaks the rule for each pair of runs of one task that were at work together.
func (o *overlap) check() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	for task, spans := range o.spans {
		for i, a := range spans {
			for _, b := range spans[i+1:] {
				begin, end := later(a.begin, b.begin), earlier(endOr(a.end, now), endOr(b.end, now))
				together := end.Sub(begin)
				if together > 0 {
					o.world.record.add("case", "%s was at work on %s and %s together for %s", task, a.runner.id, b.runner.id, together.Round(time.Millisecond))
				}
				if together > o.tolerance {
					o.world.record.breakRule("TWICE: %s ran on %s and %s at the same time for %s", task, a.runner.id, b.runner.id, together.Round(time.Millisecond))
				}
			}
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func endOr(end, now time.Time) time.Time {
	if end.IsZero() {
		return now
	}
	return end
}
