package tracker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestRoute(t *testing.T) {
	start := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	later := start.Add(Silence + HeartbeatEvery)
	state := Heartbeat{VM: "state", Incarnation: "1", IsState: true}
	hears := func(vm string, isRelayed bool) Heartbeat {
		return Heartbeat{VM: vm, Incarnation: "1", Neighbours: []Neighbour{{
			VM: "state", Incarnation: "1", IsState: true, HeardAgo: HeartbeatEvery, IsRelayed: isRelayed,
		}}}
	}
	t.Run("heard directly", func(t *testing.T) {
		tr := New("self")
		tr.Hear(start, state, "")
		tr.Hear(start, hears("other", false), "")
		assertRoute(t, tr, start, "")
	})
	t.Run("over an entry that hears it", func(t *testing.T) {
		tr := New("self")
		tr.Hear(start, state, "")
		tr.Hear(later, hears("other", false), "")
		assertRoute(t, tr, later, "other")
	})
	t.Run("not over an entry that needs a third VM itself", func(t *testing.T) {
		tr := New("self")
		tr.Hear(start, state, "")
		tr.Hear(later, hears("other", true), "")
		assertRoute(t, tr, later, "")
	})
	t.Run("not over an entry that is silent", func(t *testing.T) {
		tr := New("self")
		tr.Hear(start, state, "")
		tr.Hear(start, hears("other", false), "")
		assertRoute(t, tr, later, "")
	})
	t.Run("not while another state VM is heard", func(t *testing.T) {
		tr := New("self")
		tr.Hear(start, state, "")
		tr.Hear(later, Heartbeat{VM: "state-2", Incarnation: "1", IsState: true}, "")
		tr.Hear(later, hears("other", false), "")
		assertRoute(t, tr, later, "")
	})
	t.Run("back the way that its heartbeat came", func(t *testing.T) {
		tr := New("self")
		tr.Hear(start, Heartbeat{VM: "other", Incarnation: "1"}, "")
		tr.Hear(start, state, "other")
		assertRoute(t, tr, start, "other")
		tr.Hear(start, state, "")
		assertRoute(t, tr, start, "")
	})
}

func assertRoute(t *testing.T, tr *Tracker, now time.Time, want string) {
	t.Helper()
	assert.Equal(t, want, tr.Route(now, "state"))
}
