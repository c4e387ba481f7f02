package tracker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestRestore checks that a VM that an earlier incarnation knew is known once restored, but
// counts as alive only after a heartbeat, and is forgotten without one.
func TestRestore(t *testing.T) {
	now := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	tr := New("self")
	for _, vm := range []string{"state", "self"} {
		tr.Restore(now, Neighbour{VM: vm, DataCentre: "a", IsState: true})
	}
	assert.Equal(t, []string{"state"}, tr.Known())
	assert.Empty(t, tr.LiveStateVMs(now), "restored VM counts as alive")
	result := tr.HandleHeartbeat(now, Heartbeat{VM: "state", Incarnation: "2", IsState: true}, "")
	assert.False(t, result.HasRestarted, "its earlier incarnation was not known")
	assert.Len(t, tr.LiveStateVMs(now), 1)
	tr.Restore(now, Neighbour{VM: "gone", IsState: true})
	assert.Equal(t, []string{"gone"}, tr.Forget(now.Add(forgetAfter)))
}

// TestMarkUnreachable checks that a VM that refuses connections is unreachable from this
// one, but still counts as alive while others may reach it.
func TestMarkUnreachable(t *testing.T) {
	now := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	tr := New("self")
	tr.HandleHeartbeat(now, Heartbeat{VM: "state", Incarnation: "1", IsState: true}, "")
	tr.MarkUnreachable("state")
	assert.False(t, tr.IsReachable(now, "state"))
	assert.Len(t, tr.LiveStateVMs(now), 1, "others may still reach it")
	tr.HandleHeartbeat(now, Heartbeat{VM: "state", Incarnation: "1", IsState: true}, "")
	assert.True(t, tr.IsReachable(now, "state"))
}
