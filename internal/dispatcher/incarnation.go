package dispatcher

import "time"

// memoryResolution is the accuracy with which the beginnings of memories are compared, since
// an upstream may announce its own in milliseconds and report it in nanoseconds.
const memoryResolution = time.Millisecond

// IsSameMemory reports whether two times are the beginning of the memory of one incarnation
// of an upstream. A time that is not known, which is zero, may be that of any incarnation.
func IsSameMemory(a, b time.Time) bool {
	return a.IsZero() || b.IsZero() || a.Sub(b).Abs() <= memoryResolution
}

// learnRestart applies what the answer to an order proves: that an upstream remembers tasks
// since another time than the order expected. Nothing else is known of that incarnation before it
// announces itself. An order that expected another memory than the one announced by now proves
// nothing, since the announcement may be the later one.
func (d *Dispatcher) learnRestart(now time.Time, upstream string, expected, since time.Time) {
	u := d.upstreams[upstream]
	if u == nil || !u.MemorySince.Equal(expected) {
		return
	}
	d.handleAnnouncement(now, u.unannounced(now, since), true)
}
