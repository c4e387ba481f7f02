package replicator_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzedrift.example/bronzedrift/internal/replicator"
)

// testGroup runs replicas whose messages arrive at once, unless one of their ends is cut off.
type testGroup struct {
	t        *testing.T
	now      time.Time
	replicas map[string]*replicator.Replicator
	cutOff   map[string]bool
}

const groupTick = 25 * time.Millisecond

// newTestGroup returns a group of members that have the same founding snapshot.
func newTestGroup(t *testing.T, members ...replicator.Member) *testGroup {
	t.Helper()
	g := &testGroup{
		t: t, now: time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC), replicas: map[string]*replicator.Replicator{}, cutOff: map[string]bool{},
	}
	snapshot := &replicator.Snapshot{Index: 1, Term: 1, Members: members}
	saved := replicator.Saved{HardState: replicator.HardState{Term: 1}, Snapshot: snapshot}
	for i, m := range members {
		g.replicas[m.ID] = replicator.New(g.now, m.ID, m.VM, saved, replicator.DefaultTiming(), uint64(i))
	}
	return g
}

func (g *testGroup) step(id string, decide func(r *replicator.Replicator, out *replicator.Effects)) {
	var out replicator.Effects
	decide(g.replicas[id], &out)
	sent := slices.Concat(out.Requests, out.Sends)
	for i := range sent {
		m := &sent[i]
		if g.replicas[m.To] != nil && !g.cutOff[id] && !g.cutOff[m.To] {
			g.step(m.To, func(r *replicator.Replicator, out *replicator.Effects) { r.Handle(g.now, m, out) })
		}
	}
}

// run ticks all replicas for a time.
func (g *testGroup) run(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); g.now = g.now.Add(groupTick) {
		for id := range g.replicas {
			g.step(id, func(r *replicator.Replicator, out *replicator.Effects) { r.Tick(g.now, out) })
		}
	}
}

// maintain lets the leader, if there is one, propose one change of the voters.
func (g *testGroup) maintain(policy replicator.VoterPolicy) {
	for id := range g.replicas {
		g.step(id, func(r *replicator.Replicator, out *replicator.Effects) { r.MaintainVoters(g.now, policy, out) })
	}
}

func (g *testGroup) leader() string {
	g.t.Helper()
	for id, r := range g.replicas {
		if r.Status().Role == replicator.Leader && !g.cutOff[id] {
			return id
		}
	}
	require.Fail(g.t, "no leader")
	return ""
}

// voters returns the voters as the leader knows them.
func (g *testGroup) voters() (ids []string) {
	for _, m := range g.replicas[g.leader()].Status().Members {
		if m.Voter {
			ids = append(ids, m.ID)
		}
	}
	return ids
}
