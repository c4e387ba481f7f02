package holder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestStartOpenWhenUpstreamLeaves guards against two runs of a task at the same time: an upstream
// that leaves may start again under its id at once, and carry out a start that was open.
func TestStartOpenWhenUpstreamLeaves(t *testing.T) {
	s := newUnansweredStart(t)
	tracked, leftAt := s.holder.upstreams[s.start.Upstream], s.now
	var out Effects
	s.holder.UpstreamLeft(s.now, s.start.Upstream, &out)
	key := runKey{s.start.Task, s.start.Run}
	require.Contains(t, tracked.runs, key, "moved while its start may still arrive")
	timing := DefaultTiming()
	require.Len(t, tracked.runs, 3, "a run that was listed may go on")
	for len(tracked.runs) > 0 && s.now.Sub(leftAt) < time.Minute {
		s.now = s.now.Add(tickSlack / 5)
		for _, c := range callsAt(s.holder, s.now) {
			if c.Upstream != s.start.Upstream {
				continue
			}
			assert.NotEqual(t, StartCall, c.Kind, "a start on an upstream that leaves")
			assert.Zero(t, c.LeaseUntil, "the leases of an upstream that leaves are renewed")
		}
		if s.now.Sub(leftAt) <= timing.Lease/2 {
			require.Len(t, tracked.runs, 3, "a run that was listed may go on")
		}
	}
	took := s.now.Sub(leftAt)
	assert.GreaterOrEqual(t, took, timing.MaxLease)
	assert.LessOrEqual(t, took, timing.HoldWait+timing.CallTimeout+timing.longestLease()+tickSlack)
}

// TestRestartedUpstreamIsFencedAtOnce guards against two runs of a task at the same time: a start
// that was decided on long ago may arrive at the new incarnation until that has seen a later token.
// The call that brings it may be lost.
func TestRestartedUpstreamIsFencedAtOnce(t *testing.T) {
	h, u, call := newActive(t)
	now := call.SentAt.Add(time.Second)
	u.StartedAt, u.Sequence, u.Clock = now, 1, time.Millisecond
	now = now.Add(5 * time.Millisecond)
	callsAt(h, now)
	var out Effects
	h.HandleHeartbeat(now, u, &out)
	require.Len(t, out.Calls, 1)
	fence := out.Calls[0]
	assert.Equal(t, HoldCall, fence.Kind)
	assert.Greater(t, fence.Token, call.Token)

	pending := []Call{fence}
	for ; h.upstreams[u.ID].phase == taking && now.Sub(fence.SentAt) < time.Second; now = now.Add(tickSlack / 10) {
		pending = append(pending, callsAt(h, now)...)
		for _, c := range pending {
			if c.SentAt.Add(c.Timeout).Equal(now) {
				h.HandleResult(now, &CallResult{Call: c, Status: CallUnanswered}, &out)
			}
		}
	}
	for i, c := range pending {
		assert.Equal(t, HoldCall, c.Kind)
		assert.Zero(t, c.LeaseUntil)
		assert.LessOrEqual(t, c.SentAt.Sub(fence.SentAt), time.Duration(i)*(minStartTimeout+tickSlack/10), "not repeated in time")
	}
	assert.Len(t, pending, int(maxFencing/minStartTimeout))
	assert.Equal(t, notHeld, h.upstreams[u.ID].phase, "taken for too long")
}

// TestStartOnEndedConnectionIsStoppedSoon guards against a task that waits for the end of a hold call
// although its upstream, which has not restarted, answers at once.
func TestStartOnEndedConnectionIsStoppedSoon(t *testing.T) {
	h, u, call := newActive(t)
	now := call.SentAt.Add(time.Second)
	start := submitOne(t, h, now)
	callsAt(h, now)
	var out Effects
	h.HandleResult(now.Add(time.Millisecond), &CallResult{Call: start, Status: CallUnanswered, Sign: ConnectionEnded}, &out)
	now = now.Add(tickSlack / 5)
	calls := callsAt(h, now)
	require.Len(t, calls, 1, "nothing tells whether it has restarted")
	list := calls[0]
	assert.Equal(t, HoldCall, list.Kind)
	assert.Zero(t, list.Wait)
	now = now.Add(time.Millisecond)
	h.HandleResult(now, &CallResult{Call: list, Status: CallOK, Clock: now.Sub(u.StartedAt), StartedAt: u.StartedAt}, &out)
	stops := 0
	for _, c := range callsAt(h, now.Add(tickSlack/5)) {
		if c.Kind == StopCall {
			stops++
		}
	}
	assert.Equal(t, 1, stops)
}
