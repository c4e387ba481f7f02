package replicator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bronzedrift.example/bronzedrift/internal/replicator"
)

// TestOverwrittenMembershipChange: a membership change that another leader's entry replaces
// has never happened. The members are again those of the snapshot, also in the next one.
func TestOverwrittenMembershipChange(t *testing.T) {
	now := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	members := []replicator.Member{{ID: "a", VM: "a", Voter: true}, {ID: "b", VM: "b", Voter: true}, {ID: "c", VM: "c", Voter: true}}
	snapshot := &replicator.Snapshot{Index: 1, Term: 1, Members: members}
	saved := replicator.Saved{HardState: replicator.HardState{Term: 1}, Snapshot: snapshot}
	changed := []replicator.Member{members[0], members[1], {ID: "d", VM: "d", Voter: true}}
	change := replicator.Entry{Index: 2, Term: 1, Members: changed}
	for name, open := range map[string]func() *replicator.Replicator{
		"received": func() *replicator.Replicator {
			r := replicator.New(now, "a", "a", saved, replicator.DefaultTiming(), 1)
			r.Handle(now, &replicator.Message{
				Kind: replicator.Append, From: "b", FromVM: "b", To: "a", Term: 1, Index: 1, LogTerm: 1, Entries: []replicator.Entry{change},
			}, &replicator.Effects{})
			return r
		},
		"read from disk": func() *replicator.Replicator {
			withChange := saved
			withChange.Entries = []replicator.Entry{change}
			return replicator.New(now, "a", "a", withChange, replicator.DefaultTiming(), 1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := open()
			require.Equal(t, changed, r.Status().Members)
			r.Handle(now, &replicator.Message{
				Kind: replicator.Append, From: "c", FromVM: "c", To: "a", Term: 2, Index: 1, LogTerm: 1,
				Entries: []replicator.Entry{{Index: 2, Term: 2}}, Commit: 2,
			}, &replicator.Effects{})
			assert.Equal(t, members, r.Status().Members)
			var out replicator.Effects
			r.Compact(nil, &out)
			require.NotNil(t, out.Snapshot)
			assert.Equal(t, members, out.Snapshot.Members)
		})
	}
}
