package supervisor

import (
	"fmt"
	"runtime/debug"
	"time"
)

// Guard runs functions and recovers their panics, so that one bad input does not end the
// process. It is not safe for concurrent use.
type Guard struct {
	// recent holds the times of the last panics, oldest first.
	recent []time.Time
}

// PanicError is a recovered panic.
type PanicError struct {
	Value any
	Stack string
}

// Error is part of the error interface.
func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v\n%s", e.Value, e.Stack) }

const (
	// maxPanics panics within panicWindow are recovered. A process with more of them has
	// inconsistent state, not a bad input, and is better off with a restart.
	maxPanics   = 20
	panicWindow = 10 * time.Second
)

// Run runs f and returns a *PanicError if it panics. If there are too many panics, it
// panics itself.
func (g *Guard) Run(now time.Time, f func()) (err error) {
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		if g.isExhausted(now) {
			panic(value)
		}
		err = &PanicError{Value: value, Stack: string(debug.Stack())}
	}()
	f()
	return nil
}

// isExhausted records a panic and reports whether too many have happened.
func (g *Guard) isExhausted(now time.Time) bool {
	for len(g.recent) > 0 && now.Sub(g.recent[0]) > panicWindow {
		g.recent = g.recent[1:]
	}
	g.recent = append(g.recent, now)
	return len(g.recent) > maxPanics
}
