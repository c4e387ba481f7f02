package holder

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// retakeDelay is the Config.RetakeDelay of the holders under test.
const retakeDelay = 3 * time.Second

var testStart = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

func testUpstream(id, dataCentre string) Upstream {
	return Upstream{
		ID: id, Service: "booking", Address: netip.MustParseAddrPort("10.0.0.1:80"), DataCentre: dataCentre,
		Capacity: Capacity{MilliCores: 32_000, MemoryMB: 1000}, State: Ready, StartedAt: testStart, Sequence: 1, Clock: time.Second,
	}
}

// callsAfterSettling returns the calls of a holder with a reachable entry once it has settled.
func callsAfterSettling(h *Holder, now time.Time) []Call {
	return callsAt(h, now.Add(DefaultTiming().Settle+assignInterval))
}

// callsAt receives a message from an entry, ticks the holder and returns its calls.
func callsAt(h *Holder, now time.Time) []Call {
	var out Effects
	h.EntrySeen(now, "entry", "1", &out)
	h.Tick(now, &out)
	return out.Calls
}

func TestFallbackHolderTakesOnlyOwnDataCentre(t *testing.T) {
	for name, c := range map[string]struct {
		upstream string
		only     bool
		takes    int
	}{
		"own data centre":             {"a", true, 1},
		"other data centre":           {"b", true, 0},
		"other data centre, state VM": {"b", false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := New(Config{
				VM: "1", DataCentre: "a", Timing: DefaultTiming(), TokenEpoch: testStart, MaxTakeAttempts: 2, RetakeDelay: retakeDelay, OnlyOwnDataCentre: c.only,
			})
			h.SetPeers([]Peer{{VM: "1", DataCentre: "a", CanHold: true, IsReady: true}})
			var out Effects
			h.HandleHeartbeat(testStart, testUpstream("u", c.upstream), &out)
			assert.Len(t, callsAfterSettling(h, testStart), c.takes)
			if !c.only && c.takes == 0 {
				assert.Len(t, callsAfterSettling(h, testStart.Add(remoteTakeDelay)), 1, "not taken after remoteTakeDelay")
			}
		})
	}
}

// newActive returns a holder that holds one upstream, and the call that took it.
func newActive(t *testing.T, peers ...Peer) (*Holder, Upstream, Call) {
	t.Helper()
	h := New(Config{VM: "1", DataCentre: "a", Timing: DefaultTiming(), TokenEpoch: testStart, MaxTakeAttempts: 2, RetakeDelay: retakeDelay})
	h.SetPeers(append(peers, Peer{VM: "1", DataCentre: "a", CanHold: true, IsReady: true}))
	u := testUpstream("u", "a")
	for i := 0; ; i++ {
		u.ID = fmt.Sprint("u", i)
		var out Effects
		h.HandleHeartbeat(testStart, u, &out)
		if h.HolderOf(u.ID) == "1" {
			break
		}
		h.UpstreamLeft(testStart, u.ID, &out)
	}
	calls := callsAfterSettling(h, testStart)
	require.Len(t, calls, 1)
	var out Effects
	h.HandleResult(calls[0].SentAt, &CallResult{Call: calls[0], Status: CallOK, Clock: time.Second, StartedAt: u.StartedAt}, &out)
	require.Equal(t, active, h.upstreams[u.ID].phase)
	return h, u, calls[0]
}

// TestResponseOfPreviousIncarnation: a hold response sent before an upstream restarted
// says nothing about its new incarnation, whose run ends are numbered from the start.
func TestResponseOfPreviousIncarnation(t *testing.T) {
	h, u, call := newActive(t)
	now := call.SentAt.Add(time.Second)
	restarted := u
	restarted.StartedAt, restarted.Sequence = u.StartedAt.Add(time.Second), 1
	var out Effects
	h.HandleHeartbeat(now, restarted, &out)
	require.Equal(t, taking, h.upstreams[u.ID].phase)
	h.HandleResult(now, &CallResult{Call: call, Status: CallOK, Clock: time.Second, StartedAt: u.StartedAt, Ended: []RunEnd{{Number: 100, Task: "t", Run: 1}}}, &out)
	assert.Equal(t, taking, h.upstreams[u.ID].phase, "held by a response of the previous incarnation")
	assert.Zero(t, h.upstreams[u.ID].lastEnd, "run ends of the new incarnation would be missed")
}

// TestFencedWaitsForHandover: a fenced VM does not take the upstream back without a
// handover while the other VM announces that it holds it.
func TestFencedWaitsForHandover(t *testing.T) {
	h, u, call := newActive(t, Peer{VM: "2", DataCentre: "a", CanHold: true, IsReady: true})
	now := call.SentAt.Add(time.Second)
	var out Effects
	h.HandleResult(now, &CallResult{Call: call, Status: CallFenced}, &out)
	h.HandleNotice(now, "2", Notice{Upstream: u, Holder: "2", Token: call.Token + 1<<tokenVMBits}, &out)
	assert.Empty(t, callsAt(h, now.Add(noticedTakeDelay+assignInterval)), "taken while another VM holds it")
	out.Reset()
	h.Handover(now.Add(2*noticedTakeDelay), "2", u.ID, call.Token+1<<tokenVMBits, &out)
	require.Len(t, out.Calls, 1)
	assert.Greater(t, out.Calls[0].Token, call.Token+1<<tokenVMBits)
}

// TestTakesBackFromUnreachableHolder: a VM fenced by an unreachable one gives that one
// time to serve its callers before it takes the upstream back.
func TestTakesBackFromUnreachableHolder(t *testing.T) {
	h, _, call := newActive(t)
	now := call.SentAt.Add(time.Second)
	var out Effects
	h.HandleResult(now, &CallResult{Call: call, Status: CallFenced}, &out)
	assert.Empty(t, callsAt(h, now.Add(retakeDelay-assignInterval)))
	assert.Len(t, callsAt(h, now.Add(retakeDelay+assignInterval)), 1)
}

// TestUnansweredStartIsRestartedElsewhere: when an upstream leaves a start unanswered, a
// task of 60 ms is started on another one while it can still be on time.
func TestUnansweredStartIsRestartedElsewhere(t *testing.T) {
	const objective, taskTime = 156 * time.Millisecond, 60 * time.Millisecond
	h, u, call := newActive(t)
	second := testUpstream("second", "a")
	var out Effects
	h.HandleHeartbeat(call.SentAt, second, &out)
	now := call.SentAt.Add(assignInterval)
	for _, c := range callsAt(h, now) {
		h.HandleResult(now, &CallResult{Call: c, Status: CallOK, Clock: time.Second, StartedAt: u.StartedAt}, &out)
	}
	out.Reset()
	order := testOrder("short", 1)
	order.Objective, order.Steps[0].Estimate = objective, taskTime
	h.Submit(now, "entry", order, &out)
	require.Len(t, out.Calls, 1)
	first := out.Calls[0]
	submittedAt := now
	for out.Reset(); now.Sub(submittedAt) <= objective; now = now.Add(5 * time.Millisecond) {
		h.EntrySeen(now, "entry", "1", &out)
		h.Tick(now, &out)
		calls := out.Calls
		out = Effects{}
		for _, c := range calls {
			if c.Kind == StartCall {
				assert.NotEqual(t, first.Upstream, c.Upstream)
				assert.LessOrEqual(t, now.Sub(submittedAt)+taskTime, objective, "too late to be on time")
				return
			}
			h.HandleResult(now, &CallResult{Call: c, Status: CallOK, Clock: time.Second, StartedAt: u.StartedAt}, &out)
		}
	}
	t.Fatal("the task was not started on another upstream")
}

// TestStartTimeoutAdaptsToAnswers: an overloaded VM reads answers late, and must not stop
// runs that have started.
func TestStartTimeoutAdaptsToAnswers(t *testing.T) {
	var p answerTime
	assert.Equal(t, minStartTimeout, p.timeout())
	for range 50 {
		p.observe(2 * time.Millisecond)
	}
	assert.Equal(t, minStartTimeout, p.timeout(), "fast answers")
	for i := range 20 {
		p.observe(time.Duration(20+10*(i%5)) * time.Millisecond)
	}
	assert.Greater(t, p.timeout(), 60*time.Millisecond, "answers take up to 60 ms")
	for range 20 {
		p.observe(300 * time.Millisecond)
	}
	assert.Equal(t, maxStartTimeout, p.timeout())
	for range 50 {
		p.observe(2 * time.Millisecond)
	}
	assert.Equal(t, minStartTimeout, p.timeout(), "fast answers again")
}

// TestTakesNothingWithoutEntries: a VM without a reachable entry can't be given a job, and
// leaves upstreams to others.
func TestTakesNothingWithoutEntries(t *testing.T) {
	h := New(Config{VM: "1", DataCentre: "a", Timing: DefaultTiming(), TokenEpoch: testStart, MaxTakeAttempts: 2, RetakeDelay: retakeDelay})
	h.SetPeers([]Peer{{VM: "1", DataCentre: "a", CanHold: true, IsReady: true}})
	var out Effects
	h.HandleHeartbeat(testStart, testUpstream("u", "a"), &out)
	h.Tick(testStart.Add(time.Second), &out)
	assert.Empty(t, out.Calls)
	assert.Len(t, callsAt(h, testStart.Add(2*time.Second)), 1)
}

func testOrder(id string, attempt int) Order {
	return Order{
		ID: id, Attempt: attempt, Service: "booking", MaxAttempts: 2, Objective: time.Second, Remaining: 5 * time.Second,
		Steps: []Step{{Count: 1, Needs: Capacity{MilliCores: 1000}, Estimate: 100 * time.Millisecond}},
	}
}

// TestOverloadRefusesOnlyNewJobs: when more jobs arrive than a VM can process, new ones
// are refused at once. A resent order for a running job is not, since a refusal says that
// nothing of it runs.
func TestOverloadRefusesOnlyNewJobs(t *testing.T) {
	h, _, call := newActive(t)
	now := call.SentAt.Add(time.Second)
	var out Effects
	h.Submit(now, "entry", testOrder("runs", 1), &out)
	require.Len(t, out.Calls, 1)
	out.Reset()
	h.SubmitKnown(now, "entry", testOrder("runs", 1), "behind", &out)
	assert.Empty(t, out.Replies, "a running job was refused when it was resent")
	h.SubmitKnown(now, "entry", testOrder("new", 2), "behind", &out)
	require.Len(t, out.Replies, 1)
	assert.Equal(t, Busy, out.Replies[0].Answer.Outcome)
	out.Reset()
	h.Submit(now, "entry", testOrder("new", 2), &out)
	assert.Empty(t, out.Calls, "the refused attempt was started when it was resent")
	h.Submit(now, "entry", testOrder("new", 3), &out)
	assert.Len(t, out.Calls, 1, "the next attempt is a new order")
}

// TestRunEndPlacesWaitingJob: when many jobs wait for capacity, one that doesn't fit does
// not block a smaller one, and the end of a run places the next.
func TestRunEndPlacesWaitingJob(t *testing.T) {
	h, u, call := newActive(t)
	now := call.SentAt.Add(time.Second)
	var out Effects
	large, small := testOrder("large", 1), testOrder("small", 2)
	large.Steps[0].Needs.MilliCores = 20_000
	h.Submit(now, "entry", large, &out)
	second := large
	second.ID = "second"
	second.Force = true
	h.Submit(now, "entry", second, &out)
	small.Force = true
	h.Submit(now, "entry", small, &out)
	require.Len(t, out.Calls, 2, "the first large and the small job run, the second large one waits")
	start := out.Calls[0]
	h.HandleResult(now, &CallResult{Call: start, Status: CallOK, Clock: 3 * time.Second}, &out)
	out.Reset()
	h.sendHold(now, h.upstreams[u.ID], 0)
	list := out.Calls[0]
	out.Reset()
	h.HandleResult(now, &CallResult{
		Call: list, Status: CallOK, Clock: 3 * time.Second, StartedAt: u.StartedAt,
		Ended: []RunEnd{{Number: 1, Task: start.Task, Run: start.Run, How: EndDone}},
	}, &out)
	require.NotEmpty(t, out.Calls)
	assert.Equal(t, "second.0.0.0", out.Calls[0].Task)
}

// TestUrgentJobGoesFirst: under overload a job of the highest priority waits only for
// others of that priority, and gets the next free slot.
func TestUrgentJobGoesFirst(t *testing.T) {
	h, u, call := newActive(t)
	now := call.SentAt.Add(time.Second)
	var out Effects
	submit := func(id string, priority int, force bool) Order {
		o := testOrder(id, len(h.jobs)+1)
		o.Priority, o.Force, o.Steps[0].Needs.MilliCores = priority, force, 32_000
		o.Objective = 400 * time.Millisecond
		h.Submit(now, "entry", o, &out)
		return o
	}
	submit("runs", 1, false)
	for i := range 4 {
		submit(fmt.Sprint("waits", i), 1, true)
	}
	out.Reset()
	submit("refused", 1, false)
	require.Len(t, out.Replies, 1, "four other jobs are queued ahead of it")
	assert.Equal(t, Busy, out.Replies[0].Answer.Outcome)
	out.Reset()
	submit("urgent", 0, false)
	require.Empty(t, out.Replies, "refused because of jobs of lower priority")
	start := Call{Kind: StartCall, Upstream: u.ID, Task: "runs.0.0.0", Run: 1}
	h.HandleResult(now, &CallResult{Call: start, Status: CallOK, Clock: 3 * time.Second}, &out)
	h.sendHold(now, h.upstreams[u.ID], 0)
	list := out.Calls[len(out.Calls)-1]
	out.Reset()
	h.HandleResult(now, &CallResult{
		Call: list, Status: CallOK, Clock: 3 * time.Second, StartedAt: u.StartedAt,
		Ended: []RunEnd{{Number: 1, Task: "runs.0.0.0", Run: 1, How: EndDone}},
	}, &out)
	require.NotEmpty(t, out.Calls)
	assert.Equal(t, "urgent.0.0.0", out.Calls[0].Task)
}

// TestLateHeartbeats: an upstream that answers calls is not forgotten while its heartbeats
// are late, one that does neither is.
func TestLateHeartbeats(t *testing.T) {
	for name, answers := range map[string]bool{"answers calls": true, "answers nothing": false} {
		t.Run(name, func(t *testing.T) {
			h, u, call := newActive(t)
			silence := DefaultTiming().UpstreamSilence
			now := call.SentAt.Add(silence - assignInterval)
			if answers {
				h.HandleResult(now, &CallResult{Call: call, Status: CallOK, Clock: clockAt(now), StartedAt: u.StartedAt}, &Effects{})
			}
			callsAt(h, call.SentAt.Add(silence+assignInterval))
			assert.Equal(t, answers, h.StateOf(u.ID) == Ready)
			callsAt(h, now.Add(2*silence))
			assert.Zero(t, h.StateOf(u.ID), "never forgotten")
		})
	}
}
