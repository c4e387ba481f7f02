// Package supervisor names the goroutines that suture runs and starts again.
package supervisor

import (
	"context"

	"github.com/thejerf/suture/v4"
)

// Duty is one supervised goroutine.
type Duty struct {
	Name string
	Run  func(ctx context.Context) error
}

// Serve is called by suture.
func (d Duty) Serve(ctx context.Context) error { return d.Run(ctx) }

// String names the duty in events.
func (d Duty) String() string { return d.Name }

// Failure returns the text of an event in which a duty failed, empty for others.
func Failure(e suture.Event) string {
	if e.Type() == suture.EventTypeServiceTerminate || e.Type() == suture.EventTypeServicePanic {
		return e.String()
	}
	return ""
}
