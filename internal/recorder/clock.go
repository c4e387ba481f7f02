package recorder

import "time"

// Clock is a reading of a hybrid logical clock: the highest wall time seen, and a counter
// that orders events with the same wall time.
type Clock struct {
	Wall    time.Time
	Counter uint32
}

// Next returns the reading that follows c for an event at time now.
func (c Clock) Next(now time.Time) Clock {
	if now.After(c.Wall) {
		return Clock{Wall: now}
	}
	return Clock{Wall: c.Wall, Counter: c.Counter + 1}
}

// Merge returns the reading that follows both c and a reading received from another daemon.
func (c Clock) Merge(now time.Time, remote Clock) Clock {
	if remote.Before(c) {
		return c.Next(now)
	}
	return remote.Next(now)
}

// Before reports whether c comes before o.
func (c Clock) Before(o Clock) bool {
	if !c.Wall.Equal(o.Wall) {
		return c.Wall.Before(o.Wall)
	}
	return c.Counter < o.Counter
}
