package holder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bronzedrift.example/bronzedrift/internal/planner"
)

// A large task waits while the upstreams, each of 16 cores, are full with two tasks of 8 cores.
const (
	reservingFleet    = 20
	largeCores        = 16_000
	smallCores        = 8000
	largeSlack        = 600 * time.Millisecond
	minReservingDelay = largeSlack / 4
	roundInterval     = 20 * time.Millisecond
)

// reservingHolder is a holder with full upstreams at which a large task waits.
type reservingHolder struct {
	t   *testing.T
	h   *Holder
	now time.Time
	out Effects
	// runs are the tasks that run, by upstream.
	runs map[string][]RunState
	ends map[string]uint64
}

func newReservingHolder(t *testing.T, looksAhead bool) *reservingHolder {
	t.Helper()
	cores := make([]int64, reservingFleet)
	for i := range cores {
		cores[i] = largeCores
	}
	h, now := newActiveFleet(t, cores...)
	h.planner = New(Config{LooksAhead: looksAhead}).planner
	r := &reservingHolder{t: t, h: h, now: now, runs: map[string][]RunState{}, ends: map[string]uint64{}}
	r.submit("fill", 2*reservingFleet, smallCores, 500*time.Millisecond, time.Second)
	require.Len(t, r.runs, reservingFleet)
	r.submit("large", 1, largeCores, 400*time.Millisecond, 400*time.Millisecond+largeSlack)
	r.now = r.now.Add(minReservingDelay)
	return r
}

// submit submits a job that is admitted however long it has to wait.
func (r *reservingHolder) submit(id string, count int, cores int64, estimate, objective time.Duration) {
	o := routeOrder(id, "r", count, cores)
	o.Steps[0].Estimate, o.Objective, o.Force = estimate, objective, true
	r.h.EntrySeen(r.now, "entry", "1", &r.out)
	r.h.Submit(r.now, "entry", o, &r.out)
	r.answerStarts()
}

func (r *reservingHolder) tick() {
	r.now = r.now.Add(roundInterval)
	r.h.EntrySeen(r.now, "entry", "1", &r.out)
	r.h.Tick(r.now, &r.out)
	r.answerStarts()
}

func (r *reservingHolder) answerStarts() {
	calls := r.out.Calls
	r.out.Calls = nil
	for _, c := range calls {
		if c.Kind != StartCall {
			continue
		}
		r.runs[c.Upstream] = append(r.runs[c.Upstream], RunState{Task: c.Task, Run: c.Run})
		r.h.HandleResult(r.now, &CallResult{Call: c, Status: CallOK, Clock: clockAt(r.now), StartedAt: testStart}, &r.out)
	}
}

// endRun ends the first run on an upstream.
func (r *reservingHolder) endRun(upstream string) { r.endRunAs(upstream, EndDone) }

func (r *reservingHolder) endRunAs(upstream string, how EndKind) {
	r.ends[upstream]++
	u, ended := r.h.upstreams[upstream], r.runs[upstream][0]
	r.runs[upstream] = r.runs[upstream][1:]
	r.h.HandleResult(r.now, &CallResult{
		Call: Call{Kind: HoldCall, Upstream: upstream, Token: u.token, SentAt: r.now}, Status: CallOK, Clock: clockAt(r.now), StartedAt: testStart,
		Running: r.runs[upstream], Ended: []RunEnd{{Number: r.ends[upstream], Task: ended.Task, Run: ended.Run, How: how}},
	}, &r.out)
	r.answerStarts()
}

// reservedOn returns the upstream of the latest reservation of the large task.
func (r *reservingHolder) reservedOn() string {
	last := ""
	for _, d := range r.out.Decisions {
		if d.Event == "capacity-reserved" && d.Job == "large" {
			last = d.Upstream
		}
	}
	return last
}

// startedOn returns the upstream on which the first task of a job has started.
func (r *reservingHolder) startedOn(job string) string {
	for upstream, tasks := range r.runs {
		for _, task := range tasks {
			if task.Task == job+".0.0.0" {
				return upstream
			}
		}
	}
	return ""
}

// isFree reports whether 8 free cores of an upstream may be used for a long task.
func (r *reservingHolder) isFree(upstream string) bool {
	c := planner.Capacity{MilliCores: smallCores}
	return r.h.planner.MayStart(upstream, c, c, r.now.Add(time.Minute))
}

// idleCoreSeconds returns the capacity that was idle while reserved.
func (r *reservingHolder) idleCoreSeconds() float64 {
	sum := 0.0
	for _, c := range r.h.Reservations().Classes {
		sum += c.IdleCoreSeconds
	}
	return sum
}

// TestLargeTaskReserves guards against a large task that waits while small ones take each gap,
// and against reservations where a configuration does not ask for them.
func TestLargeTaskReserves(t *testing.T) {
	for name, looksAhead := range map[string]bool{"on": true, "off": false} {
		t.Run(name, func(t *testing.T) {
			r := newReservingHolder(t, looksAhead)
			r.endRun("u3")
			r.submit("small", 1, smallCores, 900*time.Millisecond, 3*time.Second)
			if !looksAhead {
				assert.Equal(t, "u3", r.startedOn("small"))
				assert.Empty(t, r.reservedOn())
				assert.Empty(t, r.h.Reservations().Classes)
				return
			}
			assert.Equal(t, "u3", r.reservedOn())
			assert.Empty(t, r.startedOn("small"), "it would delay the large task")
			r.submit("short", 1, smallCores, 100*time.Millisecond, time.Second)
			assert.Equal(t, "u3", r.startedOn("short"), "it ends before the reservation begins")
			r.endRun("u3")
			r.endRun("u3")
			assert.Equal(t, "u3", r.startedOn("large"))
		})
	}
}

// TestReservedUpstreamLost guards against a reservation that outlasts its upstream, and against
// a large task that does not reserve another one.
func TestReservedUpstreamLost(t *testing.T) {
	r := newReservingHolder(t, true)
	r.endRun("u3")
	require.Equal(t, "u3", r.reservedOn())
	require.False(t, r.isFree("u3"))
	r.h.UpstreamLeft(r.now, "u3", &r.out)
	r.endRunAs("u3", EndStopped)
	r.tick()
	assert.True(t, r.isFree("u3"), "reserved in the round after the loss")
	r.endRun("u5")
	require.Len(t, r.runs["u5"], 2, "the task that was lost with the upstream goes first")
	r.endRun("u6")
	assert.Equal(t, "u6", r.reservedOn())
	r.endRun("u6")
	assert.Equal(t, "u6", r.startedOn("large"))
}

// TestReservingJobCancelled guards against capacity that stays reserved for a job that is gone,
// and against idle time that is counted for it.
func TestReservingJobCancelled(t *testing.T) {
	t.Run("another job waits", func(t *testing.T) {
		r := newReservingHolder(t, true)
		r.endRun("u3")
		r.submit("small", 1, smallCores, 900*time.Millisecond, 3*time.Second)
		require.Empty(t, r.startedOn("small"))
		r.h.CancelJob(r.now, "entry", "large", &r.out)
		r.tick()
		assert.Equal(t, "u3", r.startedOn("small"), "not started in the next round")
	})
	t.Run("no other job waits", func(t *testing.T) {
		r := newReservingHolder(t, true)
		r.endRun("u3")
		require.Equal(t, "u3", r.reservedOn())
		r.h.CancelJob(r.now, "entry", "large", &r.out)
		cancelledAt := r.now
		for range 10 {
			r.tick()
		}
		assert.True(t, r.isFree("u3"), "reserved %s after the job was cancelled", r.now.Sub(cancelledAt))
		r.submit("small", 1, smallCores, 900*time.Millisecond, 3*time.Second)
		assert.Equal(t, "u3", r.startedOn("small"))
		assert.LessOrEqual(t, r.idleCoreSeconds(), smallCores/1000*roundInterval.Seconds(), "8 cores for a round")
	})
}
