// Package supervisor adapts functions to suture services, which suture restarts
// when they fail.
package supervisor

import (
	"context"

	"github.com/thejerf/suture/v4"
)

// Duty is a named function that runs as a suture service.
type Duty struct {
	Name string
	Run  func(ctx context.Context) error
}

// Serve implements suture.Service.
func (d Duty) Serve(ctx context.Context) error { return d.Run(ctx) }

// String returns the name that suture puts into its events.
func (d Duty) String() string { return d.Name }

// Failure returns the text of an event that reports the end or the panic of a
// service, and an empty string for other events.
func Failure(e suture.Event) string {
	if e.Type() == suture.EventTypeServiceTerminate || e.Type() == suture.EventTypeServicePanic {
		return e.String()
	}
	return ""
}
