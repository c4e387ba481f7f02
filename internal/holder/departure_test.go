package holder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// departingUpstream is an upstream with one run that announces its end at leftAt and whose process
// may go on for a while. Its clock runs slow.
type departingUpstream struct {
	holder    *Holder
	upstream  Upstream
	now       time.Time
	leftAt    time.Time
	start     Call
	leaseEnd  time.Duration
	isRunning bool
	ended     []RunEnd
	// isMute is set if it answers no call, and isDown once its process has ended.
	isMute, isDown bool
	pending        []Call
	out            Effects
	// movedAt is when the task was started elsewhere, and endedAt when the run has ended.
	movedAt, endedAt time.Time
}

const departureStep = 5 * time.Millisecond

// newDepartingUpstream returns the upstream after its announcement.
func newDepartingUpstream(t *testing.T) *departingUpstream {
	t.Helper()
	h, now := newActiveFleet(t, 4000, 4000)
	d := &departingUpstream{holder: h, now: now, isRunning: true}
	order := testOrder("job", 1)
	order.Steps[0].Estimate, order.Objective, order.Remaining = time.Minute, time.Minute, time.Minute
	h.EntrySeen(d.now, "entry", "1", &d.out)
	d.out.Reset()
	h.Submit(d.now, "entry", order, &d.out)
	require.Len(t, d.out.Calls, 1)
	d.start = d.out.Calls[0]
	d.upstream = h.upstreams[d.start.Upstream].Upstream
	for range 100 {
		d.step()
	}
	require.True(t, d.isRunning)
	d.out.Reset()
	d.leftAt = d.now
	h.UpstreamLeft(d.now, d.upstream.ID, &d.out)
	return d
}

func (d *departingUpstream) clock() time.Duration {
	return time.Second + time.Duration(float64(d.now.Sub(testStart))*(1-DefaultTiming().ClockDrift))
}

// step delivers the calls of the latest step, answers them, and goes on to the next one.
func (d *departingUpstream) step() {
	d.now = d.now.Add(departureStep)
	if d.isRunning && (d.isDown || d.leaseEnd > 0 && d.clock() > d.leaseEnd) {
		d.endRun(EndLeaseExpired)
	}
	delivered := d.out.Calls
	d.out.Reset()
	for _, c := range delivered {
		if c.Upstream != d.upstream.ID {
			d.holder.HandleResult(d.now, &CallResult{Call: c, Status: CallOK, Clock: d.clock(), StartedAt: testStart}, &d.out)
			continue
		}
		if d.isMute {
			d.pending = append(d.pending, c)
			continue
		}
		d.holder.HandleResult(d.now, d.answer(c), &d.out)
	}
	for len(d.pending) > 0 && !d.now.Before(d.pending[0].SentAt.Add(d.pending[0].Timeout)) {
		d.holder.HandleResult(d.now, &CallResult{Call: d.pending[0], Status: CallUnanswered}, &d.out)
		d.pending = d.pending[1:]
	}
	d.holder.EntrySeen(d.now, "entry", "1", &d.out)
	d.holder.Tick(d.now, &d.out)
	for _, c := range d.out.Calls {
		if c.Kind == StartCall && c.Task == d.start.Task && c.Upstream != d.upstream.ID && d.movedAt.IsZero() {
			d.movedAt = d.now
		}
	}
}

func (d *departingUpstream) answer(c Call) *CallResult {
	if d.isDown {
		return &CallResult{Call: c, Status: CallNotSent, Sign: ConnectionRefused}
	}
	d.leaseEnd = max(d.leaseEnd, c.LeaseUntil)
	r := &CallResult{Call: c, Status: CallOK, Clock: d.clock(), StartedAt: testStart}
	switch c.Kind {
	case StopCall:
		d.endRun(EndStopped)
	case HoldCall:
		if d.isRunning {
			r.Running = []RunState{{Task: d.start.Task, Run: d.start.Run}}
		}
		r.Ended = d.ended
	}
	return r
}

func (d *departingUpstream) endRun(how EndKind) {
	if !d.isRunning {
		return
	}
	d.isRunning, d.endedAt = false, d.now
	d.ended = append(d.ended, RunEnd{Number: 1, Task: d.start.Task, Run: d.start.Run, How: how})
}

// TestTaskOfDepartingUpstreamMovesAfterItsRun guards against two runs of a task at the same time: an
// upstream that has announced its end may go on, since the answer to the announcement was lost or
// the announcement came late.
func TestTaskOfDepartingUpstreamMovesAfterItsRun(t *testing.T) {
	timing := DefaultTiming()
	lease := time.Duration(float64(timing.Lease) * (1 + timing.ClockDrift))
	for name, c := range map[string]struct {
		isMute, isDown bool
		latest         time.Duration
	}{
		"answers calls":  {latest: timing.StopTime + tickSlack},
		"answers none":   {isMute: true, latest: lease + tickSlack},
		"ends its task":  {isDown: true, latest: lease + tickSlack},
		"ends unnoticed": {isMute: true, isDown: true, latest: lease + tickSlack},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDepartingUpstream(t)
			d.isMute, d.isDown = c.isMute, c.isDown
			for d.movedAt.IsZero() && d.now.Sub(d.leftAt) < 10*time.Second {
				d.step()
				for _, call := range d.out.Calls {
					if call.Upstream == d.upstream.ID {
						assert.Zero(t, call.LeaseUntil, "its leases are renewed")
						assert.NotEqual(t, StartCall, call.Kind)
					}
				}
			}
			require.False(t, d.movedAt.IsZero(), "never started elsewhere")
			require.False(t, d.isRunning, "started elsewhere while it runs")
			assert.False(t, d.movedAt.Before(d.endedAt))
			assert.LessOrEqual(t, d.movedAt.Sub(d.leftAt), c.latest)
		})
	}
}

// TestEndBeforeDepartureCounts guards against work that is done twice: a run that has ended before
// its upstream goes is asked for, though the upstream has announced its end.
func TestEndBeforeDepartureCounts(t *testing.T) {
	d := newDepartingUpstream(t)
	d.endRun(EndDone)
	var replies []Reply
	for range 20 {
		d.step()
		replies = append(replies, d.out.Replies...)
	}
	require.Len(t, replies, 1)
	assert.Equal(t, Completed, replies[0].Answer.Outcome)
	assert.True(t, d.movedAt.IsZero(), "started again")
}

// TestDepartedUpstreamIsReleased guards against an upstream that is called for ever after its end,
// and against one that is forgotten while its late heartbeats may still come.
func TestDepartedUpstreamIsReleased(t *testing.T) {
	d := newDepartingUpstream(t)
	d.isDown = true
	for d.movedAt.IsZero() {
		d.step()
	}
	d.step()
	tracked := d.holder.upstreams[d.upstream.ID]
	require.NotNil(t, tracked)
	assert.Equal(t, notHeld, tracked.phase)
	assert.Empty(t, tracked.runs)
	d.upstream.Sequence += 2
	d.holder.HandleHeartbeat(d.now, d.upstream, &d.out)
	assert.Equal(t, Gone, d.holder.StateOf(d.upstream.ID), "a late heartbeat has brought it back")
	d.now = d.now.Add(cancelTTL + time.Second)
	callsAt(d.holder, d.now)
	assert.Zero(t, d.holder.StateOf(d.upstream.ID), "remembered for ever")
}

// TestDepartedUpstreamRestarts guards against an upstream that is not used after a planned restart
// under its id, and against runs of its former incarnation that hold up their tasks.
func TestDepartedUpstreamRestarts(t *testing.T) {
	d := newDepartingUpstream(t)
	d.isMute = true
	d.step()
	next := d.upstream
	next.StartedAt, next.Sequence, next.Clock = d.now, 1, time.Millisecond
	d.holder.HandleHeartbeat(d.now, next, &d.out)
	tracked := d.holder.upstreams[next.ID]
	assert.Empty(t, tracked.runs, "the restart proves their end")
	assert.Equal(t, taking, tracked.phase)
	assert.Equal(t, Ready, tracked.State)
}
