package holder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newLabelled returns a holder that holds one upstream of a kind, and the call that took it.
func newLabelled(t *testing.T, label string) (*Holder, Upstream, Call) {
	t.Helper()
	h, u, call := newActive(t, Peer{VM: "2", DataCentre: "a", CanHold: true, IsReady: true})
	u.Labels, u.Rack, u.Sequence = []string{label, "r1-1"}, "r1-1", 2
	h.HandleHeartbeat(call.SentAt, u, &Effects{})
	return h, u, call
}

func labelledOrder(id, label string, milliCores int64) Order {
	o := testOrder(id, 1)
	o.Steps[0].Label, o.Steps[0].Needs.MilliCores = label, milliCores
	return o
}

// answerNext answers the open calls to an upstream as its next incarnation does, and returns the notices.
func answerNext(h *Holder, now time.Time, calls []Call, startedAt time.Time) []Notice {
	var notices []Notice
	for range 2 {
		var out Effects
		for _, c := range calls {
			h.HandleResult(now, &CallResult{Call: c, Status: CallOK, Clock: time.Second, StartedAt: startedAt}, &out)
		}
		calls, notices = out.Calls, append(notices, out.Notices...)
	}
	return notices
}

// assertDescribesNothing checks that notices of an incarnation carry no fact of a former one.
func assertDescribesNothing(t *testing.T, notices []Notice, startedAt time.Time) {
	t.Helper()
	for _, n := range notices {
		if n.Upstream.StartedAt.Equal(startedAt) {
			assert.Empty(t, n.Upstream.Service)
			assert.Empty(t, n.Upstream.Labels)
			assert.Empty(t, n.Upstream.Rack)
			assert.Zero(t, n.Upstream.Capacity)
		}
	}
}

// TestRestartInAnswer guards against tasks on an upstream without the label, the service or the
// capacity that they need: an answer tells of a new incarnation, which may be of another kind, before
// its first report arrives.
func TestRestartInAnswer(t *testing.T) {
	h, u, call := newLabelled(t, "b")
	now := call.SentAt.Add(time.Second)
	restartedAt := u.StartedAt.Add(time.Second)
	notices := answerNext(h, now, []Call{{Kind: HoldCall, Upstream: u.ID, Address: u.Address, SentAt: now}}, restartedAt)
	require.Equal(t, active, h.upstreams[u.ID].phase)
	require.NotEmpty(t, notices, "the other VMs are not told")
	assertDescribesNothing(t, append(notices, h.Notices()...), restartedAt)
	for _, label := range []string{"", "b"} {
		started, _ := submitAt(h, now, labelledOrder("job"+label, label, 1000))
		assert.Empty(t, started, "started by what a former incarnation has reported")
	}

	next := u
	next.StartedAt, next.Sequence, next.Clock, next.Labels, next.Capacity.MilliCores = restartedAt, 0, time.Second, []string{"a", "r1-1"}, 8000
	var out Effects
	h.HandleHeartbeat(now, next, &out)
	require.Len(t, out.Notices, 1, "the other VMs are not told of the first report")
	assert.Equal(t, next.Labels, out.Notices[0].Upstream.Labels)
	for id, test := range map[string]struct {
		label      string
		milliCores int64
		starts     int
	}{
		"former-label":    {"b", 1000, 0},
		"former-capacity": {"a", 9000, 0},
		"new-label":       {"a", 1000, 1},
	} {
		started, _ := submitAt(h, now, labelledOrder(id, test.label, test.milliCores))
		assert.Len(t, started, test.starts, id)
	}
}

// TestRestartInNotice guards against the same on a VM that learns of the restart from the holder: it
// knows reports of the former incarnation and takes the upstream later.
func TestRestartInNotice(t *testing.T) {
	h, u, call := newLabelled(t, "b")
	now := call.SentAt.Add(time.Second)
	restartedAt := u.StartedAt.Add(time.Second)
	h.upstreams[u.ID].speed, h.upstreams[u.ID].failureRate = 2, 0.5
	h.HandleNotice(now, "2", Notice{Upstream: u.unreported(u.Address, restartedAt)}, &Effects{})
	tracked := h.upstreams[u.ID]
	require.Equal(t, restartedAt, tracked.StartedAt)
	assert.EqualValues(t, 1, tracked.speed)
	assert.Zero(t, tracked.failureRate)
	assertDescribesNothing(t, append(answerNext(h, now, callsAt(h, now.Add(assignInterval)), restartedAt), h.Notices()...), restartedAt)
	started, _ := submitAt(h, now.Add(assignInterval), labelledOrder("job", "b", 1000))
	assert.Empty(t, started, "started by what a former incarnation has reported")

	u.Sequence = 9
	h.HandleNotice(now, "2", Notice{Upstream: u}, &Effects{})
	assert.Empty(t, tracked.Labels, "a late notice of the former incarnation is taken")
	next := u
	next.StartedAt, next.Sequence = restartedAt, 3
	h.HandleNotice(now, "2", Notice{Upstream: next}, &Effects{})
	assert.Equal(t, Ready, tracked.State)
	h.HandleNotice(now, "2", Notice{Upstream: u.unreported(u.Address, restartedAt)}, &Effects{})
	assert.Equal(t, Ready, tracked.State, "the report is replaced by that of a VM without one")
}

// TestRestartWhileStateVMWasDown guards against the same on a VM that returns with what its disk has
// of a former incarnation.
func TestRestartWhileStateVMWasDown(t *testing.T) {
	before, u, call := newLabelled(t, "b")
	restartedAt := u.StartedAt.Add(time.Second)
	now := call.SentAt.Add(10 * time.Second)
	h := New(before.config)
	h.SetPeers(before.peers)
	for _, n := range before.Notices() {
		h.Restore(now, n)
	}
	now = now.Add(DefaultTiming().Settle + assignInterval)
	answerNext(h, now, callsAt(h, now), restartedAt)
	require.Equal(t, active, h.upstreams[u.ID].phase)
	started, _ := submitAt(h, now, labelledOrder("job", "b", 1000))
	assert.Empty(t, started, "started by what a former incarnation has reported")
}

// TestReportsWithoutState guards against facts of an unknown incarnation: what has no state of its own
// describes nothing.
func TestReportsWithoutState(t *testing.T) {
	u := testUpstream("u", "a")
	bare := u.unreported(u.Address, u.StartedAt)
	require.NoError(t, bare.Validate(testStart))
	for name, change := range map[string]func(*Upstream){
		"labels":   func(u *Upstream) { u.Labels = []string{"b"} },
		"service":  func(u *Upstream) { u.Service = "booking" },
		"capacity": func(u *Upstream) { u.Capacity.MilliCores = 1 },
		"rack":     func(u *Upstream) { u.Rack = "r1-1" },
		"sequence": func(u *Upstream) { u.Sequence = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			changed := bare
			change(&changed)
			require.ErrorIs(t, changed.Validate(testStart), ErrInvalidUpstream)
		})
	}
}

// assertListedFirst checks that an upstream gets no new run after a sign that it may have restarted before it has
// listed its runs, and then only if it is still itself.
func assertListedFirst(t *testing.T, sign func(h *Holder, now time.Time, u Upstream)) {
	t.Helper()
	for name, test := range map[string]struct {
		restarts bool
		starts   int
	}{
		"restarted":    {true, 0},
		"still itself": {false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			h, u, call := newLabelled(t, "b")
			now := call.SentAt.Add(2 * time.Second)
			sign(h, now, u)
			started, _ := submitAt(h, now, labelledOrder("early", "b", 1000))
			assert.Empty(t, started, "started before the upstream has answered")
			startedAt := u.StartedAt
			if test.restarts {
				startedAt = now.Add(-time.Second)
			}
			now = now.Add(20 * time.Millisecond)
			answerNext(h, now, callsAt(h, now), startedAt)
			started, _ = submitAt(h, now, labelledOrder("late", "b", 1000))
			assert.Len(t, started, test.starts)
		})
	}
}

// TestRestartDuringStall guards against tasks on an upstream without the label that they need: it has
// restarted as another kind while the VM that holds it was frozen, and nothing ran there whose loss
// would tell.
func TestRestartDuringStall(t *testing.T) {
	assertListedFirst(t, func(h *Holder, now time.Time, _ Upstream) { h.HandleStall(now, 2*time.Second, &Effects{}) })
}

// TestRestartOfIdleUpstream guards against the same where no VM was frozen: the end of an idle connection
// tells of the restart.
func TestRestartOfIdleUpstream(t *testing.T) {
	assertListedFirst(t, func(h *Holder, now time.Time, u Upstream) { h.HandleConnectionEnd(now, u.Address) })
}

// TestRestartInAnswerToStart guards against more tasks on an upstream that has restarted as another
// kind: the answer to a start carries no start time, but a clock that has begun at another moment.
func TestRestartInAnswerToStart(t *testing.T) {
	h, u, call := newLabelled(t, "b")
	now := call.SentAt.Add(10 * time.Second)
	var out Effects
	h.EntrySeen(now, "entry", "1", &out)
	h.HandleResult(now, &CallResult{
		Call: Call{Kind: HoldCall, Upstream: u.ID, Token: call.Token, SentAt: now}, Status: CallOK, Clock: 10 * time.Second, StartedAt: u.StartedAt,
	}, &out)
	out.Reset()
	h.Submit(now, "entry", labelledOrder("first", "b", 1000), &out)
	require.Len(t, out.Calls, 1)
	start := out.Calls[0]
	out.Reset()
	h.HandleResult(now, &CallResult{Call: start, Status: CallOK, Clock: time.Second}, &out)
	started, _ := submitAt(h, now, labelledOrder("second", "b", 1000))
	assert.Empty(t, started, "started by what a former incarnation has reported")
	calls := callsAt(h, now.Add(20*time.Millisecond))
	require.Len(t, calls, 1, "the list is not asked for")
	assert.Equal(t, HoldCall, calls[0].Kind)
	assert.Zero(t, calls[0].Wait)
}

// TestListFromBeforeADoubt guards against a list that the former incarnation has given: the connection ends
// after it was asked for.
func TestListFromBeforeADoubt(t *testing.T) {
	h, u, call := newLabelled(t, "b")
	now := call.SentAt.Add(2 * time.Second)
	h.HandleConnectionEnd(now, u.Address)
	now = now.Add(20 * time.Millisecond)
	asked := callsAt(h, now)
	require.Len(t, asked, 1)
	h.HandleConnectionEnd(now.Add(time.Millisecond), u.Address)
	answerNext(h, now.Add(2*time.Millisecond), asked, u.StartedAt)
	started, _ := submitAt(h, now.Add(2*time.Millisecond), labelledOrder("job", "b", 1000))
	assert.Empty(t, started)
	assert.Len(t, callsAt(h, now.Add(20*time.Millisecond)), 1, "the list is not asked for again")
}
