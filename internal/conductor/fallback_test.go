package conductor

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"bronzedrift.example/bronzedrift/internal/holder"
	"bronzedrift.example/bronzedrift/internal/tracker"
)

func TestFallback(t *testing.T) {
	start := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	at := start.Add
	t.Run("state VMs lost", func(t *testing.T) {
		m := stateVMMonitor{startedAt: start}
		assert.False(t, m.observe(at(0), true))
		assert.False(t, m.allowsFallback(at(time.Hour)), "a state VM is reachable")
		assert.True(t, m.observe(at(time.Second), false), "lost just now")
		assert.False(t, m.observe(at(time.Second), false), "reported once")
		assert.False(t, m.allowsFallback(at(time.Second)), "other entries are dialled first")
		assert.True(t, m.allowsFallback(at(time.Second+fallbackDelay)))
		m.observe(at(3*time.Second), true)
		assert.False(t, m.allowsFallback(at(4*time.Second)), "a state VM is reachable again")
	})
	t.Run("state VMs unreachable since the start", func(t *testing.T) {
		m := stateVMMonitor{startedAt: start}
		m.observe(at(0), false)
		assert.False(t, m.allowsFallback(at(fallbackDelay)), "state VMs may start later")
		assert.True(t, m.allowsFallback(at(startupWait)))
	})
}

// TestFallbackPeers guards against overload when many small entries lose all state VMs at the
// same moment: they exchange only the notices needed, and close links no longer needed.
func TestFallbackPeers(t *testing.T) {
	now := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	upstream := func(id, dataCentre, heldBy string) holder.Notice {
		return holder.Notice{Upstream: holder.Upstream{ID: id, DataCentre: dataCentre}, Holder: heldBy}
	}
	notices := []holder.Notice{upstream("free", "a", ""), upstream("held", "a", "self"), upstream("other", "b", "self")}
	entry := &tracker.Peer{Heartbeat: tracker.Heartbeat{VM: "entry", DataCentre: "a"}}
	state := &tracker.Peer{Heartbeat: tracker.Heartbeat{VM: "state", DataCentre: "a", IsState: true}}
	for name, c := range map[string]struct {
		peer    *tracker.Peer
		isState bool
		want    []string
	}{
		"entry to entry: held in its data centre": {entry, false, []string{"held"}},
		"entry to state VM: all held":             {state, false, []string{"held", "other"}},
		"state VM to entry: its data centre":      {entry, true, []string{"free", "held"}},
		"state VM to state VM: all":               {state, true, []string{"free", "held", "other"}},
	} {
		t.Run(name, func(t *testing.T) {
			var ids []string
			for _, n := range noticesFor(c.peer, c.isState, notices) {
				ids = append(ids, n.Upstream.ID)
			}
			assert.Equal(t, c.want, ids)
		})
	}
	t.Run("links to entries that reach state VMs directly are closed", func(t *testing.T) {
		peers := tracker.New("self")
		neighbours := []tracker.Neighbour{{VM: "state", IsState: true}}
		relayed := []tracker.Neighbour{{VM: "state", IsState: true, IsRelayed: true}}
		for vm, reachable := range map[string][]tracker.Neighbour{"reaches": neighbours, "relayed": relayed, "reaches-none": nil} {
			peers.HandleHeartbeat(now, tracker.Heartbeat{VM: vm, Incarnation: "1", Neighbours: reachable}, "")
		}
		assert.Equal(t, []string{"reaches"}, unneededFallbackPeers(now, peers, "self"))
		assert.Len(t, unneededFallbackPeers(now.Add(tracker.UnreachableAfter), peers, "self"), 3, "unreachable entries need no link")
	})
}
