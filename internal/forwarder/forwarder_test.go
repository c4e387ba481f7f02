package forwarder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bronzedrift.example/bronzedrift/internal/holder"
	"bronzedrift.example/bronzedrift/internal/tracker"
)

// TestAnswerToEarlierSubmission checks that a late answer to an earlier submission of a job
// does not end the current one, which has its own parts.
func TestAnswerToEarlierSubmission(t *testing.T) {
	now := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	peers := tracker.New("entry")
	peers.HandleHeartbeat(now, tracker.Heartbeat{
		VM: "state", Incarnation: "1", IsState: true, IsReady: true,
		Load: holder.Load{TotalMilliCores: 32_000, FreeMilliCores: 32_000, FreeSlots: make([]int, len(holder.SlotSizes))},
	}, "")
	f := New("a", holder.DefaultTiming(), peers, nil)
	order := holder.Order{
		ID: "j", Service: "s", Objective: time.Second, Remaining: 5 * time.Second,
		Steps: []holder.Step{{Count: 2, Needs: holder.Capacity{MilliCores: 1000}, Estimate: 100 * time.Millisecond}},
	}
	var out Effects
	f.Submit(now, order, 1, &out)
	require.Len(t, out.Sends, 1)
	earlierAttempt := out.Sends[0].Order.Attempt
	f.RemoveWaiter(now, "j", 1, &out)
	out = Effects{}
	f.Submit(now, order, 2, &out)
	require.Len(t, out.Sends, 1)
	f.Answer(now, "state", holder.Answer{ID: "j", Attempt: earlierAttempt, Outcome: holder.Completed}, &out)
	assert.Empty(t, out.Responses, "answered by an earlier submission")
	f.Answer(now, "state", holder.Answer{ID: "j", Attempt: out.Sends[0].Order.Attempt, Outcome: holder.Completed}, &out)
	require.Len(t, out.Responses, 1)
	assert.Equal(t, Completed, out.Responses[0].Result)
}

// TestOtherPartMayHaveRun checks that a caller is not told that nothing has run when the
// abandoned part has not started, but another part may have.
func TestOtherPartMayHaveRun(t *testing.T) {
	now := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	peers := tracker.New("entry")
	for _, vm := range []string{"one", "two"} {
		heartbeat := holderHeartbeat()
		heartbeat.VM = vm
		for i := range heartbeat.Load.FreeSlots {
			heartbeat.Load.FreeSlots[i] = 2
		}
		peers.HandleHeartbeat(now, heartbeat, "")
	}
	f := New("a", holder.DefaultTiming(), peers, nil)
	var out Effects
	f.Submit(now, holder.Order{
		ID: "j", Service: "s", Objective: 200 * time.Millisecond, Remaining: 5 * time.Second,
		Steps: []holder.Step{{Count: 4, Needs: holder.Capacity{MilliCores: 1000}, Estimate: 100 * time.Millisecond}},
	}, 1, &out)
	require.Len(t, out.Sends, 2, "two parts")
	lost := out.Sends[1]
	f.Answer(now.Add(600*time.Millisecond), lost.To, holder.Answer{
		ID: "j", Part: lost.Order.Part, Attempt: lost.Order.Attempt, Outcome: holder.Lost,
	}, &out)
	require.Len(t, out.Responses, 1)
	assert.Equal(t, Unknown, out.Responses[0].Result)
}
