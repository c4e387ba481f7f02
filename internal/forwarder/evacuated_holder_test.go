package forwarder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bronzedrift.example/bronzedrift/internal/holder"
	"bronzedrift.example/bronzedrift/internal/tracker"
)

// offeringHeartbeat is a heartbeat of a state VM with free slots for n tasks of any size.
func offeringHeartbeat(vm string, n int) tracker.Heartbeat {
	h := holderHeartbeat()
	h.VM = vm
	h.Load.FreeSlots = make([]int, len(holder.SlotSizes))
	for i := range h.Load.FreeSlots {
		h.Load.FreeSlots[i] = n
	}
	return h
}

// TestPartOfEvacuatedHolderIsForcedElsewhere guards against a job that is ended, and stopped
// where it runs, because the holder of its other part is evacuated while the remaining holders
// have a queue.
func TestPartOfEvacuatedHolderIsForcedElsewhere(t *testing.T) {
	now := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	peers := tracker.New("entry")
	for _, vm := range []string{"one", "two"} {
		peers.HandleHeartbeat(now, offeringHeartbeat(vm, 2), "")
	}
	f := New("a", holder.DefaultTiming(), peers, nil)
	var out Effects
	f.Submit(now, holder.Order{
		ID: "j", Service: "s", Objective: 200 * time.Millisecond, Remaining: 5 * time.Second, Priority: 1,
		Steps: []holder.Step{{Count: 4, Needs: holder.Capacity{MilliCores: 1000}, Estimate: 100 * time.Millisecond}},
	}, 1, &out)
	require.Len(t, out.Sends, 2, "two parts")
	evacuated, other := out.Sends[1], out.Sends[0].To
	busy := offeringHeartbeat(other, 0)
	busy.Load.Backlog = 500 * time.Millisecond
	now = now.Add(10 * time.Millisecond)
	peers.HandleHeartbeat(now, busy, "")
	out = Effects{}
	f.Answer(now, evacuated.To, holder.Answer{
		ID: "j", Part: evacuated.Order.Part, Attempt: evacuated.Order.Attempt, Outcome: holder.Busy, Wait: time.Second, Reason: holder.EvacuatedReason,
	}, &out)
	require.Empty(t, out.Responses)
	require.Len(t, out.Sends, 1)
	assert.Equal(t, other, out.Sends[0].To)
	require.NotNil(t, out.Sends[0].Order)
	assert.True(t, out.Sends[0].Order.Force, "the other holder has a queue")
	forced := out.Sends[0].Order
	out = Effects{}
	f.Answer(now, other, holder.Answer{ID: "j", Part: forced.Part, Attempt: forced.Attempt, Outcome: holder.Busy, Wait: 0, Reason: "leaving"}, &out)
	assert.Len(t, out.Responses, 1, "offered again without end")
}

// TestJobOfEvacuatedHolderIsOfferedLate guards against a queued job that is offered late only to
// the evacuated holder that gave it back.
func TestJobOfEvacuatedHolderIsOfferedLate(t *testing.T) {
	now := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	peers := tracker.New("entry")
	peers.HandleHeartbeat(now, offeringHeartbeat("one", 2), "")
	f := New("a", holder.DefaultTiming(), peers, nil)
	var out Effects
	f.Submit(now, holder.Order{
		ID: "j", Service: "s", Objective: 200 * time.Millisecond, Remaining: 5 * time.Second, Priority: 1,
		Steps: []holder.Step{{Count: 1, Needs: holder.Capacity{MilliCores: 1000}, Estimate: 100 * time.Millisecond}},
	}, 1, &out)
	require.Len(t, out.Sends, 1)
	busy := offeringHeartbeat("two", 0)
	busy.Load.Backlog = 150 * time.Millisecond
	peers.HandleHeartbeat(now, busy, "")
	attempt := out.Sends[0].Order.Attempt
	out = Effects{}
	f.Answer(now, "one", holder.Answer{ID: "j", Attempt: attempt, Outcome: holder.Busy, Wait: time.Second, Reason: holder.EvacuatedReason}, &out)
	require.Len(t, out.Sends, 1)
	assert.Equal(t, "two", out.Sends[0].To)
	assert.True(t, out.Sends[0].Order.AcceptLate)
	attempt = out.Sends[0].Order.Attempt
	out = Effects{}
	f.Answer(now, "two", holder.Answer{ID: "j", Attempt: attempt, Outcome: holder.Busy, Wait: 2 * time.Second, Reason: "queue"}, &out)
	require.Len(t, out.Responses, 1)
	assert.Equal(t, NotRun, out.Responses[0].Result)
}

// TestAllEvacuatedIsRefusedAtOnce guards against jobs that wait for a holder right after the last
// data centre has been evacuated, and against refusals while the upstreams of a lost holder are
// taken over.
func TestAllEvacuatedIsRefusedAtOnce(t *testing.T) {
	for name, isLost := range map[string]bool{"all evacuated": false, "the other holder is lost": true} {
		t.Run(name, func(t *testing.T) {
			now := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
			peers := tracker.New("entry")
			f := New("a", holder.DefaultTiming(), peers, nil)
			var out Effects
			heartbeat := func(vm string, isEvacuated bool) {
				h := offeringHeartbeat(vm, 2)
				if isEvacuated {
					h.Load = holder.Load{IsEvacuated: true}
				}
				peers.HandleHeartbeat(now, h, "")
			}
			for end := now.Add(2 * time.Second); now.Before(end); now = now.Add(100 * time.Millisecond) {
				heartbeat("one", true)
				heartbeat("two", false)
				f.Tick(now, &out)
			}
			for range 5 {
				heartbeat("one", true)
				if !isLost {
					heartbeat("two", true)
				}
				f.Tick(now, &out)
				now = now.Add(100 * time.Millisecond)
			}
			f.Submit(now, holder.Order{
				ID: "j", Service: "s", Objective: time.Second, Remaining: 5 * time.Second,
				Steps: []holder.Step{{Count: 1, Needs: holder.Capacity{MilliCores: 1000}, Estimate: 100 * time.Millisecond}},
			}, 1, &out)
			if isLost {
				assert.Empty(t, out.Responses, "refused during a take-over")
				return
			}
			require.Len(t, out.Responses, 1, "not refused at once")
			assert.Equal(t, NotRun, out.Responses[0].Result)
			assert.Positive(t, out.Responses[0].RetryAfter)
		})
	}
}
