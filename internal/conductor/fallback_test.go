package conductor

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bronzedrift.example/bronzedrift/internal/holder"
	"bronzedrift.example/bronzedrift/internal/tracker"
)

func TestFallback(t *testing.T) {
	start := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	at := start.Add
	// observe ticks from one time to another while state VMs were last heard at heardAt, and
	// returns when other entries were dialled and when the state VMs were lost.
	observe := func(m *stateVMMonitor, from, to, heardAt time.Time) (dialled, lost []time.Time) {
		for now := from; !now.After(to); now = now.Add(tickInterval) {
			change := m.observe(now, heardAt)
			if change.dial {
				dialled = append(dialled, now)
			}
			if change.lost {
				lost = append(lost, now)
			}
		}
		return dialled, lost
	}
	t.Run("state VMs lost", func(t *testing.T) {
		m := stateVMMonitor{startedAt: start}
		m.observe(at(0), at(0))
		assert.False(t, m.allowsFallback(at(time.Hour)), "a state VM is reachable")
		dialled, lost := observe(&m, at(0), at(time.Second), at(0))
		require.Len(t, dialled, 1, "dialled once")
		require.Len(t, lost, 1, "reported once")
		assert.Less(t, lost[0].Sub(at(tracker.UnreachableAfter)), tickInterval)
		assert.GreaterOrEqual(t, lost[0].Sub(dialled[0]), fallbackDelay-tickInterval, "other entries are dialled first")
		assert.False(t, m.allowsFallback(dialled[0].Add(fallbackDelay-1)))
		assert.True(t, m.allowsFallback(lost[0].Add(tickInterval)), "the outage lasts longer than needed")
		m.observe(at(3*time.Second), at(3*time.Second))
		assert.False(t, m.allowsFallback(at(4*time.Second)), "a state VM is reachable again")
	})
	t.Run("state VMs silent for a moment", func(t *testing.T) {
		m := stateVMMonitor{startedAt: start}
		dialled, lost := observe(&m, at(0), at(tracker.UnreachableAfter-tickInterval), at(0))
		assert.Len(t, dialled, 1)
		assert.Empty(t, lost)
		assert.False(t, m.allowsFallback(at(tracker.UnreachableAfter-tickInterval)))
	})
	t.Run("this VM was paused", func(t *testing.T) {
		m := stateVMMonitor{startedAt: start}
		for _, pause := range []time.Duration{fallbackLinkDelay + tickInterval, 3 * tracker.UnreachableAfter} {
			m.observe(at(0), at(0))
			change := m.observe(at(pause), at(0))
			assert.False(t, change.dial || change.lost, "heartbeats may wait in the queue")
			assert.False(t, m.allowsFallback(at(pause)))
			m.observe(at(pause), at(pause))
		}
	})
	t.Run("this VM is slow", func(t *testing.T) {
		m := stateVMMonitor{startedAt: start}
		for now := at(0); !m.allowsFallback(now); now = now.Add(2 * maxMonitorGap) {
			m.observe(now, at(0))
			require.Less(t, now.Sub(start), tracker.UnreachableAfter+6*maxMonitorGap, "the loss is never noticed")
		}
	})
	t.Run("state VMs refuse connections", func(t *testing.T) {
		m := stateVMMonitor{startedAt: start}
		m.observe(at(0), at(0))
		change := m.observe(at(tickInterval), time.Time{})
		assert.True(t, change.lost && change.dial)
		assert.False(t, m.allowsFallback(at(tickInterval)), "other entries are dialled first")
		assert.True(t, m.allowsFallback(at(tickInterval+fallbackDelay)))
	})
	t.Run("state VMs unreachable since the start", func(t *testing.T) {
		m := stateVMMonitor{startedAt: start}
		m.observe(at(0), time.Time{})
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
