package holder

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// listTaken answers the calls that take an upstream with a list, until it is held or the time is over.
func listTaken(h *Holder, u Upstream, now time.Time, limit time.Duration, list []RunState) (heldAfter time.Duration, stops int) {
	from := now
	for ; now.Sub(from) < limit; now = now.Add(departureStep) {
		if h.upstreams[u.ID].phase == active {
			return now.Sub(from), stops
		}
		for _, c := range callsAt(h, now) {
			r := CallResult{Call: c, Status: CallOK, Clock: clockAt(now), StartedAt: u.StartedAt}
			if c.Kind == HoldCall {
				r.Running = list
			}
			var out Effects
			h.HandleResult(now, &r, &out)
			stops += len(out.Calls)
		}
	}
	return 0, stops
}

// TestEntryThatNeverEnds guards against an upstream that is never used since its list has an entry of
// another program, which no stop removes. No run outlasts the leases of its former holders.
func TestEntryThatNeverEnds(t *testing.T) {
	h, u, call := newActive(t)
	now := call.SentAt.Add(time.Second)
	var out Effects
	h.HandleResult(now, &CallResult{Call: call, Status: CallFenced}, &out)
	now = now.Add(retakeDelay + assignInterval)
	list := []RunState{{Task: "odd", Run: 1}}
	heldAfter, _ := listTaken(h, u, now, 10*time.Second, list)
	timing := DefaultTiming()
	require.NotZero(t, heldAfter, "never held")
	assert.GreaterOrEqual(t, heldAfter, timing.MaxLease, "held while a run of its former holder may go on")
	assert.LessOrEqual(t, heldAfter, timing.longestLease()+timing.StopTime+tickSlack)
}

// TestLongListOfUnknownRuns guards against a VM that is busy with stops for a list of another program.
func TestLongListOfUnknownRuns(t *testing.T) {
	h, u, call := newActive(t)
	var list []RunState
	for i := range 100_000 {
		list = append(list, RunState{Task: fmt.Sprint("odd", i), Run: 1})
	}
	var out Effects
	h.HandleResult(call.SentAt, &CallResult{Call: call, Status: CallOK, Clock: time.Second, StartedAt: u.StartedAt, Running: list}, &out)
	assert.Len(t, out.Calls, maxStrayStops)
}

// TestTokensLeaveRoom guards against a VM that can hold no upstream any more, since its next token
// overflows.
func TestTokensLeaveRoom(t *testing.T) {
	h, u, call := newActive(t, Peer{VM: "2", DataCentre: "a", CanHold: true, IsReady: true})
	var out Effects
	h.HandleResult(call.SentAt, &CallResult{Call: call, Status: CallFenced}, &out)
	out.Reset()
	h.Handover(call.SentAt.Add(time.Second), "2", u.ID, 1<<64-1, &out)
	assert.Empty(t, out.Calls, "taken under a token that overflows")
	h.Handover(call.SentAt.Add(time.Second), "2", u.ID, MaxToken, &out)
	require.Len(t, out.Calls, 1)
	assert.Greater(t, out.Calls[0].Token, uint64(MaxToken))
}
