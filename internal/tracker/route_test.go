package tracker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestRoute(t *testing.T) {
	start := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	later := start.Add(UnreachableAfter + HeartbeatInterval)
	state := Heartbeat{VM: "state", Incarnation: "1", IsState: true}
	heartbeatWithState := func(vm string, isRelayed bool) Heartbeat {
		return Heartbeat{VM: vm, Incarnation: "1", Neighbours: []Neighbour{{
			VM: "state", Incarnation: "1", IsState: true, HeartbeatAge: HeartbeatInterval, IsRelayed: isRelayed,
		}}}
	}
	t.Run("directly reachable", func(t *testing.T) {
		tr := New("self")
		tr.HandleHeartbeat(start, state, "")
		tr.HandleHeartbeat(start, heartbeatWithState("other", false), "")
		assertRoute(t, tr, start, "")
	})
	t.Run("over an entry that directly reaches it", func(t *testing.T) {
		tr := New("self")
		tr.HandleHeartbeat(start, state, "")
		tr.HandleHeartbeat(later, heartbeatWithState("other", false), "")
		assertRoute(t, tr, later, "other")
	})
	t.Run("not over an entry that needs a relay itself", func(t *testing.T) {
		tr := New("self")
		tr.HandleHeartbeat(start, state, "")
		tr.HandleHeartbeat(later, heartbeatWithState("other", true), "")
		assertRoute(t, tr, later, "")
	})
	t.Run("not over an unreachable entry", func(t *testing.T) {
		tr := New("self")
		tr.HandleHeartbeat(start, state, "")
		tr.HandleHeartbeat(start, heartbeatWithState("other", false), "")
		assertRoute(t, tr, later, "")
	})
	t.Run("not while another state VM is directly reachable", func(t *testing.T) {
		tr := New("self")
		tr.HandleHeartbeat(start, state, "")
		tr.HandleHeartbeat(later, Heartbeat{VM: "state-2", Incarnation: "1", IsState: true}, "")
		tr.HandleHeartbeat(later, heartbeatWithState("other", false), "")
		assertRoute(t, tr, later, "")
	})
	t.Run("back over the relay of its heartbeat", func(t *testing.T) {
		tr := New("self")
		tr.HandleHeartbeat(start, Heartbeat{VM: "other", Incarnation: "1"}, "")
		tr.HandleHeartbeat(start, state, "other")
		assertRoute(t, tr, start, "other")
		tr.HandleHeartbeat(start, state, "")
		assertRoute(t, tr, start, "")
	})
}

func assertRoute(t *testing.T, tr *Tracker, now time.Time, want string) {
	t.Helper()
	assert.Equal(t, want, tr.Route(now, "state"))
}
