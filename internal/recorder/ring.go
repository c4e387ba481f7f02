package recorder

import (
	"sync"
	"time"
)

// Ring holds the newest events of a daemon. It is safe for concurrent use.
type Ring struct {
	mu     sync.Mutex
	vm     string
	clock  Clock
	events []Event
	total  uint64
}

// New returns a Ring for a VM that keeps up to size events.
func New(vm string, size int) *Ring {
	return &Ring{vm: vm, events: make([]Event, size)}
}

// Add sets the time, the clock reading and the VM of an event and stores the event.
func (r *Ring) Add(now time.Time, e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock = r.clock.Next(now)
	e.At, e.Clock, e.VM = now, r.clock, r.vm
	r.events[r.total%uint64(len(r.events))] = e
	r.total++
}

// Clock returns the current clock reading, to be sent with messages.
func (r *Ring) Clock() Clock {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock
}

// Observe merges the clock reading of a received message into the clock.
func (r *Ring) Observe(now time.Time, remote Clock) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock = r.clock.Merge(now, remote)
}

// Events returns the stored events, oldest first, and the number of events overwritten.
func (r *Ring) Events() (events []Event, overrun uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	size := uint64(len(r.events))
	kept := min(r.total, size)
	events = make([]Event, 0, kept)
	for i := r.total - kept; i < r.total; i++ {
		events = append(events, r.events[i%size])
	}
	return events, r.total - kept
}
