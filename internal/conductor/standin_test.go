package conductor

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"bronzedrift.example/bronzedrift/internal/holder"
	"bronzedrift.example/bronzedrift/internal/tracker"
)

func TestStandIn(t *testing.T) {
	start := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	at := start.Add
	t.Run("state VMs lost", func(t *testing.T) {
		a := absence{startedAt: start}
		assert.False(t, a.observe(at(0), true))
		assert.False(t, a.allowsStandIn(at(time.Hour)), "state VMs are heard")
		assert.True(t, a.observe(at(time.Second), false), "lost just now")
		assert.False(t, a.observe(at(time.Second), false), "told once")
		assert.False(t, a.allowsStandIn(at(time.Second)), "others are asked first")
		assert.True(t, a.allowsStandIn(at(time.Second+standInAfter)))
		a.observe(at(3*time.Second), true)
		assert.False(t, a.allowsStandIn(at(4*time.Second)), "a state VM is back")
	})
	t.Run("none heard since the start", func(t *testing.T) {
		a := absence{startedAt: start}
		a.observe(at(0), false)
		assert.False(t, a.allowsStandIn(at(standInAfter)), "state VMs may start later")
		assert.True(t, a.allowsStandIn(at(firstHearing)))
	})
}

// TestWitnesses answers the pattern in which many small entries lose sight of the state
// VMs at the same moment: what they tell each other must not keep them busy.
func TestWitnesses(t *testing.T) {
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
		"an entry tells an entry what it holds there": {entry, false, []string{"held"}},
		"an entry tells a state VM all that it holds": {state, false, []string{"held", "other"}},
		"a state VM tells an entry its data centre":   {entry, true, []string{"free", "held"}},
		"a state VM tells a state VM all":             {state, true, []string{"free", "held", "other"}},
	} {
		t.Run(name, func(t *testing.T) {
			var ids []string
			for _, n := range noticesFor(c.peer, c.isState, notices) {
				ids = append(ids, n.Upstream.ID)
			}
			assert.Equal(t, c.want, ids)
		})
	}
	t.Run("links to entries that hear state VMs themselves end", func(t *testing.T) {
		peers := tracker.New("self")
		neighbours := []tracker.Neighbour{{VM: "state", IsState: true}}
		relayed := []tracker.Neighbour{{VM: "state", IsState: true, IsRelayed: true}}
		for vm, heard := range map[string][]tracker.Neighbour{"hears": neighbours, "relayed": relayed, "hears-none": nil} {
			peers.Hear(now, tracker.Heartbeat{VM: vm, Incarnation: "1", Neighbours: heard}, "")
		}
		assert.Equal(t, []string{"hears"}, unneededWitnesses(now, peers, "self"))
		assert.Len(t, unneededWitnesses(now.Add(tracker.Silence), peers, "self"), 3, "silent ones need nothing")
	})
}
