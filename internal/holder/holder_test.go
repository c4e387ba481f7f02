package holder

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// strangerDelay is that of the holders here.
const strangerDelay = 3 * time.Second

var testStart = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

func testUpstream(id, dataCentre string) Upstream {
	return Upstream{
		ID: id, Service: "booking", Address: netip.MustParseAddrPort("10.0.0.1:80"), DataCentre: dataCentre,
		Capacity: Capacity{MilliCores: 32_000, MemoryMB: 1000}, State: Ready, Born: testStart, Sequence: 1, Clock: time.Second,
	}
}

// callsAfter ticks a holder that hears an entry through its settling time and returns
// its calls.
func callsAfter(h *Holder, now time.Time) []Call {
	return callsAt(h, now.Add(DefaultTiming().Settle+assignEvery))
}

// callsAt ticks a holder that hears an entry and returns its calls.
func callsAt(h *Holder, now time.Time) []Call {
	var out Effects
	h.Hear(now, "entry", "1", &out)
	h.Tick(now, &out)
	return out.Calls
}

func TestStandInLeavesOtherDataCentres(t *testing.T) {
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
				VM: "1", DataCentre: "a", Timing: DefaultTiming(), TokenEpoch: testStart, BlindTries: 2, StrangerDelay: strangerDelay, OnlyOwnDataCentre: c.only,
			})
			h.SetPeers([]Peer{{VM: "1", DataCentre: "a", CanHold: true, IsReady: true}})
			var out Effects
			h.Report(testStart, testUpstream("u", c.upstream), &out)
			assert.Len(t, callsAfter(h, testStart), c.takes)
			if !c.only && c.takes == 0 {
				assert.Len(t, callsAfter(h, testStart.Add(remoteTakeDelay)), 1, "taken once its own VMs had time to be heard")
			}
		})
	}
}

// newActive returns a holder that holds one upstream, and the call that took it.
func newActive(t *testing.T, peers ...Peer) (*Holder, Upstream, Call) {
	t.Helper()
	h := New(Config{VM: "1", DataCentre: "a", Timing: DefaultTiming(), TokenEpoch: testStart, BlindTries: 2, StrangerDelay: strangerDelay})
	h.SetPeers(append(peers, Peer{VM: "1", DataCentre: "a", CanHold: true, IsReady: true}))
	u := testUpstream("u", "a")
	for i := 0; ; i++ {
		u.ID = fmt.Sprint("u", i)
		var out Effects
		h.Report(testStart, u, &out)
		if h.HolderOf(u.ID) == "1" {
			break
		}
		h.Left(testStart, u.ID, &out)
	}
	calls := callsAfter(h, testStart)
	require.Len(t, calls, 1)
	var out Effects
	h.Result(calls[0].SentAt, &CallResult{Call: calls[0], Status: CallOK, Clock: time.Second, Born: u.Born}, &out)
	require.Equal(t, active, h.upstreams[u.ID].phase)
	return h, u, calls[0]
}

// TestListOfAnEarlierLife holds that a list which an upstream sent before it began a
// new life says nothing of that: its numbers of ends start anew.
func TestListOfAnEarlierLife(t *testing.T) {
	h, u, call := newActive(t)
	now := call.SentAt.Add(time.Second)
	reborn := u
	reborn.Born, reborn.Sequence = u.Born.Add(time.Second), 1
	var out Effects
	h.Report(now, reborn, &out)
	require.Equal(t, taking, h.upstreams[u.ID].phase)
	h.Result(now, &CallResult{Call: call, Status: CallOK, Clock: time.Second, Born: u.Born, Ended: []RunEnd{{Number: 100, Task: "t", Run: 1}}}, &out)
	assert.Equal(t, taking, h.upstreams[u.ID].phase, "held by the word of an earlier life")
	assert.Zero(t, h.upstreams[u.ID].lastEnd, "ends of the new life would be missed")
}

// TestFencedWaitsForHandover holds that a VM which was fenced does not take the
// upstream back by force while the other one says that it holds it.
func TestFencedWaitsForHandover(t *testing.T) {
	h, u, call := newActive(t, Peer{VM: "2", DataCentre: "a", CanHold: true, IsReady: true})
	now := call.SentAt.Add(time.Second)
	var out Effects
	h.Result(now, &CallResult{Call: call, Status: CallFenced}, &out)
	h.Notice(now, "2", Notice{Upstream: u, Holder: "2", Token: call.Token + 1<<tokenBits}, &out)
	assert.Empty(t, callsAt(h, now.Add(retakeDelay+assignEvery)), "taken by force")
	out.Reset()
	h.Handover(now.Add(2*retakeDelay), "2", u.ID, call.Token+1<<tokenBits, &out)
	require.Len(t, out.Calls, 1)
	assert.Greater(t, out.Calls[0].Token, call.Token+1<<tokenBits)
}

// TestTakesBackFromStranger holds that a VM fenced by one that it does not hear leaves
// that one time to serve its callers, and takes the upstream back then.
func TestTakesBackFromStranger(t *testing.T) {
	h, _, call := newActive(t)
	now := call.SentAt.Add(time.Second)
	var out Effects
	h.Result(now, &CallResult{Call: call, Status: CallFenced}, &out)
	assert.Empty(t, callsAt(h, now.Add(strangerDelay-assignEvery)))
	assert.Len(t, callsAt(h, now.Add(strangerDelay+assignEvery)), 1)
}

// TestUnansweredStartMovesOn answers the pattern in which upstreams leave starts
// unanswered: a task of 60 ms is started elsewhere while it can be on time.
func TestUnansweredStartMovesOn(t *testing.T) {
	const objective, taskTime = 156 * time.Millisecond, 60 * time.Millisecond
	h, u, call := newActive(t)
	second := testUpstream("second", "a")
	var out Effects
	h.Report(call.SentAt, second, &out)
	now := call.SentAt.Add(assignEvery)
	for _, c := range callsAt(h, now) {
		h.Result(now, &CallResult{Call: c, Status: CallOK, Clock: time.Second, Born: u.Born}, &out)
	}
	out.Reset()
	order := testOrder("short", 1)
	order.Objective, order.Steps[0].Estimate = objective, taskTime
	h.Submit(now, "entry", order, &out)
	require.Len(t, out.Calls, 1)
	first := out.Calls[0]
	asked := now
	for out.Reset(); now.Sub(asked) <= objective; now = now.Add(5 * time.Millisecond) {
		h.Hear(now, "entry", "1", &out)
		h.Tick(now, &out)
		calls := out.Calls
		out = Effects{}
		for _, c := range calls {
			if c.Kind == StartCall {
				assert.NotEqual(t, first.Upstream, c.Upstream)
				assert.LessOrEqual(t, now.Sub(asked)+taskTime, objective, "too late to be on time")
				return
			}
			h.Result(now, &CallResult{Call: c, Status: CallOK, Clock: time.Second, Born: u.Born}, &out)
		}
	}
	t.Fatal("not started elsewhere")
}

// TestPatienceFollowsAnswers answers the pattern in which a VM has more to do than it
// can: it reads answers late, and must not stop runs that have started.
func TestPatienceFollowsAnswers(t *testing.T) {
	var p patience
	assert.Equal(t, startPatience, p.limit())
	for range 50 {
		p.observe(2 * time.Millisecond)
	}
	assert.Equal(t, startPatience, p.limit(), "usual answers")
	for i := range 20 {
		p.observe(time.Duration(20+10*(i%5)) * time.Millisecond)
	}
	assert.Greater(t, p.limit(), 60*time.Millisecond, "answers take up to 60 ms")
	for range 20 {
		p.observe(300 * time.Millisecond)
	}
	assert.Equal(t, startTimeout, p.limit())
	for range 50 {
		p.observe(2 * time.Millisecond)
	}
	assert.Equal(t, startPatience, p.limit(), "usual answers again")
}

// TestHolderWithoutEntries holds that a VM which hears no entry leaves upstreams to
// those that may: nobody can hand it a job.
func TestHolderWithoutEntries(t *testing.T) {
	h := New(Config{VM: "1", DataCentre: "a", Timing: DefaultTiming(), TokenEpoch: testStart, BlindTries: 2, StrangerDelay: strangerDelay})
	h.SetPeers([]Peer{{VM: "1", DataCentre: "a", CanHold: true, IsReady: true}})
	var out Effects
	h.Report(testStart, testUpstream("u", "a"), &out)
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

// TestBehindRefusesOnlyNewJobs answers the pattern in which more jobs come than a VM
// can look at: new ones are refused at once, and what runs is never said not to run.
func TestBehindRefusesOnlyNewJobs(t *testing.T) {
	h, _, call := newActive(t)
	now := call.SentAt.Add(time.Second)
	var out Effects
	h.Submit(now, "entry", testOrder("runs", 1), &out)
	require.Len(t, out.Calls, 1)
	out.Reset()
	h.SubmitUnlessNew(now, "entry", testOrder("runs", 1), "behind", &out)
	assert.Empty(t, out.Replies, "a running job was refused when it was sent again")
	h.SubmitUnlessNew(now, "entry", testOrder("new", 2), "behind", &out)
	require.Len(t, out.Replies, 1)
	assert.Equal(t, Busy, out.Replies[0].Answer.Outcome)
	out.Reset()
	h.Submit(now, "entry", testOrder("new", 2), &out)
	assert.Empty(t, out.Calls, "the refused attempt was started when it came again")
	h.Submit(now, "entry", testOrder("new", 3), &out)
	assert.Len(t, out.Calls, 1, "the next attempt is a new order")
}

// TestFullHolderPlacesAgain answers the pattern in which many jobs wait for places:
// one that finds none keeps no smaller one back, and an end places the next.
func TestFullHolderPlacesAgain(t *testing.T) {
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
	require.Len(t, out.Calls, 2, "large and small run, the second large one waits")
	start := out.Calls[0]
	h.Result(now, &CallResult{Call: start, Status: CallOK, Clock: 3 * time.Second}, &out)
	out.Reset()
	h.hold(now, h.upstreams[u.ID], 0)
	list := out.Calls[0]
	out.Reset()
	h.Result(now, &CallResult{
		Call: list, Status: CallOK, Clock: 3 * time.Second, Born: u.Born,
		Ended: []RunEnd{{Number: 1, Task: start.Task, Run: start.Run, How: EndDone}},
	}, &out)
	require.NotEmpty(t, out.Calls)
	assert.Equal(t, "second.0.0.0", out.Calls[0].Task)
}

// TestUrgentGoesFirst answers the pattern in which more jobs come than the upstreams can
// do: one of the first priority waits only for others of it, and gets the next place.
func TestUrgentGoesFirst(t *testing.T) {
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
	require.Len(t, out.Replies, 1, "four others wait before it")
	assert.Equal(t, Busy, out.Replies[0].Answer.Outcome)
	out.Reset()
	submit("urgent", 0, false)
	require.Empty(t, out.Replies, "refused for jobs that come after it")
	start := Call{Kind: StartCall, Upstream: u.ID, Task: "runs.0.0.0", Run: 1}
	h.Result(now, &CallResult{Call: start, Status: CallOK, Clock: 3 * time.Second}, &out)
	h.hold(now, h.upstreams[u.ID], 0)
	list := out.Calls[len(out.Calls)-1]
	out.Reset()
	h.Result(now, &CallResult{
		Call: list, Status: CallOK, Clock: 3 * time.Second, Born: u.Born,
		Ended: []RunEnd{{Number: 1, Task: "runs.0.0.0", Run: 1, How: EndDone}},
	}, &out)
	require.NotEmpty(t, out.Calls)
	assert.Equal(t, "urgent.0.0.0", out.Calls[0].Task)
}
