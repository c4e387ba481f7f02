package replicator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bronzedrift.example/bronzedrift/internal/replicator"
)

// TestReturningVoterLeavesNoEvenGroup guards against four voters, of which two that are lost
// leave no quorum: a voter that returns once a learner was promoted in its place, and before
// it was removed.
func TestReturningVoterLeavesNoEvenGroup(t *testing.T) {
	policy := replicator.VoterPolicy{Voters: 3, VoterLostAfter: 3 * time.Second, LearnerLostAfter: time.Minute}
	g := newTestGroup(
		t, replicator.Member{ID: "a", VM: "a", Voter: true}, replicator.Member{ID: "b", VM: "b", Voter: true},
		replicator.Member{ID: "c", VM: "c", Voter: true}, replicator.Member{ID: "d", VM: "d"},
	)
	g.maintain(policy)
	g.run(2 * time.Second)
	lost := "a"
	if g.leader() == lost {
		lost = "b"
	}
	g.cutOff[lost] = true
	g.run(4 * time.Second)
	g.maintain(policy)
	require.Len(t, g.voters(), 4, "no learner was promoted")
	g.cutOff[lost] = false
	for range 10 {
		g.run(time.Second)
		g.maintain(policy)
	}
	assert.Len(t, g.voters(), 3)
}
