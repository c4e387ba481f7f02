package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// runRound starts all tasks that can start and ends them after the given time. It
// returns how many were started.
func runRound(s *Scheduler, elapsed time.Duration) int {
	grants := grantAll(s, testNow)
	for _, g := range grants {
		s.Release(testNow, Release{
			Holder: g.Holder, Upstream: g.Upstream, Team: g.Team, Service: "s", Shape: g.Shape,
			DeclaredRunTime: 100 * time.Millisecond, Elapsed: elapsed, Outcome: Succeeded,
		})
	}
	return len(grants)
}

// TestReturnInSteps guards against a cold upstream that gets all of its work at once
// after an evacuation, and against one that never gets all of it again.
func TestReturnInSteps(t *testing.T) {
	s := newTestScheduler(testUpstream("a", 8), testUpstream("b", 8))
	s.Add(testDemand("j", 10_000, oneSlot))
	for range 20 {
		require.Equal(t, 16, runRound(s, 100*time.Millisecond))
	}
	s.BeginReturn()
	assert.Equal(t, 2, s.Loads()[0].FreeSlots, "the report offers what is granted")
	assert.Equal(t, 2, s.Loads()[0].Slots)
	var rounds []int
	for range 5 {
		rounds = append(rounds, runRound(s, 100*time.Millisecond))
	}
	assert.Equal(t, []int{2, 4, 8, 16, 16}, rounds)
	assert.Equal(t, 16, s.Loads()[0].Slots)
	assert.Equal(t, 16, s.Loads()[0].FreeSlots)
}

// TestSlowRunsDelayTheReturn guards against more work for an upstream that is still
// cold, and against a return that never ends on one that stays slow.
func TestSlowRunsDelayTheReturn(t *testing.T) {
	s := newTestScheduler(testUpstream("a", 8))
	s.Add(testDemand("j", 10_000, oneSlot))
	for range 20 {
		runRound(s, 100*time.Millisecond)
	}
	s.BeginReturn()
	for range 3 {
		assert.Equal(t, 1, runRound(s, 500*time.Millisecond))
	}
	rounds := 0
	for ; s.Loads()[0].Slots < 8 && rounds < 200; rounds++ {
		runRound(s, 500*time.Millisecond)
	}
	assert.Less(t, rounds, 200, "the expected run time adapts to the slower upstream")
}

// TestReturnWithTasksThatStillRun guards against wrong totals when an evacuation is
// cancelled while more tasks run than are offered at first.
func TestReturnWithTasksThatStillRun(t *testing.T) {
	s := newTestScheduler(testUpstream("a", 4))
	s.Add(testDemand("j", 6, oneSlot))
	grants := grantAll(s, testNow)
	require.Len(t, grants, 4)
	s.BeginReturn()
	assert.Empty(t, grantAll(s, testNow))
	assert.Zero(t, s.Loads()[0].FreeSlots)
	for _, g := range grants {
		release(s, testNow, g, Succeeded)
	}
	assert.Len(t, grantAll(s, testNow), 2)
	s.Announce(testUpstream("a", 6))
	load := s.Loads()[0]
	assert.Equal(t, load.Slots-2, load.FreeSlots)
}
