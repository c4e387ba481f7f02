package recorder

import "time"

// Filter selects events. An empty field matches all events.
type Filter struct {
	Job      string
	Team     string
	Upstream string
	VM       string
	Since    time.Time
	Until    time.Time
}

// Matches reports whether the filter selects an event.
func (f *Filter) Matches(e *Event) bool {
	return (f.Job == "" || f.Job == e.Job) &&
		(f.Team == "" || f.Team == e.Team) &&
		(f.Upstream == "" || f.Upstream == e.Upstream) &&
		(f.VM == "" || f.VM == e.VM) &&
		(f.Since.IsZero() || !e.At.Before(f.Since)) &&
		(f.Until.IsZero() || !e.At.After(f.Until))
}
