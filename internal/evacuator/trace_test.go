package evacuator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// The trace: four data centres of equal size, of which one is evacuated and comes back cold.
const (
	traceStep          = 5 * time.Millisecond
	traceDataCentres   = 4
	traceUpstreams     = 40
	traceSlots         = 2
	traceRunTime       = 200 * time.Millisecond
	traceObjective     = 380 * time.Millisecond
	traceDigestEvery   = 100 * time.Millisecond
	traceEvacuateAt    = 5 * time.Second
	traceCancelAt      = 15 * time.Second
	traceEnd           = 25 * time.Second
	traceColdFactor    = 3.0
	traceColdTime      = 4 * time.Second
	traceOffers        = 3
	traceAbandonFactor = 3
)

// policy is a way to evacuate a data centre and to take it back.
type policy struct {
	// access is nil for the Evacuator.
	access func(at time.Duration) Access
	// admitsAll lets jobs wait without a bound.
	admitsAll bool
}

// stopAndReturnAtOnce closes and opens all upstreams at one stroke.
func stopAndReturnAtOnce(at time.Duration) Access {
	if at >= traceEvacuateAt && at < traceCancelAt {
		return Closed
	}
	return Open
}

type traceUpstream struct {
	name string
	runs []traceRun
}

type traceRun struct {
	arrivedAt, startedAt, endsAt time.Duration
}

type traceCentre struct {
	upstreams []*traceUpstream
	queue     []time.Duration
	evacuator *Evacuator
	// digestFree is the number of free slots in the latest digest.
	digestFree int
}

type trace struct {
	policy  policy
	random  *rand.Rand
	centres []*traceCentre
	at      time.Duration
	// onTime and all count jobs by the second in which they arrived.
	onTime, all map[int]int
	lateStarts  int
}

func runTrace(p policy, load float64, seed uint64) *trace {
	tr := &trace{policy: p, random: rand.New(rand.NewPCG(seed, 2)), onTime: map[int]int{}, all: map[int]int{}}
	for i := range traceDataCentres {
		c := &traceCentre{evacuator: running()}
		for k := range traceUpstreams {
			c.upstreams = append(c.upstreams, &traceUpstream{name: fmt.Sprintf("%d-%d", i, k)})
		}
		tr.centres = append(tr.centres, c)
	}
	perStep := load * traceDataCentres * traceUpstreams * traceSlots * float64(traceStep) / float64(traceRunTime)
	for ; tr.at < traceEnd; tr.at += traceStep {
		tr.step()
		for n := tr.poisson(perStep); n > 0; n-- {
			tr.offer(tr.random.IntN(traceDataCentres))
		}
	}
	return tr
}

func (tr *trace) poisson(mean float64) int {
	n := 0
	for left := mean - tr.random.ExpFloat64(); left > 0; left -= tr.random.ExpFloat64() {
		n++
	}
	return n
}

func (tr *trace) now() time.Time { return start.Add(tr.at) }

func (tr *trace) step() {
	if tr.policy.access == nil && tr.at == traceEvacuateAt {
		tr.update(evacuationOf("0", 1, true))
	}
	if tr.policy.access == nil && tr.at == traceCancelAt {
		tr.update(evacuationOf("0", 2, false))
	}
	for i, c := range tr.centres {
		c.evacuator.Tick(tr.now())
		for _, u := range c.upstreams {
			tr.endRuns(i, u)
		}
		tr.place(i, c)
		if tr.at%traceDigestEvery == 0 {
			c.digestFree = tr.freeSlots(i, c)
		}
	}
}

func (tr *trace) update(change func(*Evacuator, time.Time)) {
	for _, c := range tr.centres {
		change(c.evacuator, tr.now())
	}
}

func evacuationOf(dataCentre string, revision uint64, active bool) func(*Evacuator, time.Time) {
	return func(e *Evacuator, now time.Time) { e.Update(now, evacuation(revision, dataCentre, active, now)) }
}

func (tr *trace) endRuns(centre int, u *traceUpstream) {
	left := u.runs[:0]
	for _, r := range u.runs {
		if r.endsAt > tr.at {
			left = append(left, r)
			continue
		}
		tr.centres[centre].evacuator.ObserveRun(fmt.Sprint(centre), traceRunTime, r.endsAt-r.startedAt)
		if r.endsAt-r.arrivedAt <= traceObjective {
			tr.onTime[int(r.arrivedAt/time.Second)]++
		}
	}
	u.runs = left
}

func (tr *trace) access(centre int, u *traceUpstream) Access {
	switch {
	case centre != 0:
		return Open
	case tr.policy.access != nil:
		return tr.policy.access(tr.at)
	}
	return tr.centres[centre].evacuator.Access("0", u.name)
}

func (tr *trace) freeSlots(centre int, c *traceCentre) int {
	free := 0
	for _, u := range c.upstreams {
		if tr.access(centre, u) == Open {
			free += traceSlots - len(u.runs)
		}
	}
	return free - len(c.queue)
}

// place starts waiting jobs. A job that can't be of use any more is dropped.
func (tr *trace) place(centre int, c *traceCentre) {
	for len(c.queue) > 0 {
		u := tr.freeUpstream(centre, c)
		if u == nil {
			return
		}
		arrivedAt := c.queue[0]
		c.queue = c.queue[1:]
		if tr.at-arrivedAt > traceAbandonFactor*traceObjective {
			continue
		}
		if centre == 0 && tr.at > traceEvacuateAt+deadline && tr.at < traceCancelAt {
			tr.lateStarts++
		}
		took := time.Duration((0.6 + 0.8*tr.random.Float64()) * float64(traceRunTime))
		if centre == 0 && tr.at >= traceCancelAt && tr.at < traceCancelAt+traceColdTime {
			took = time.Duration(float64(took) * traceColdFactor)
		}
		u.runs = append(u.runs, traceRun{arrivedAt: arrivedAt, startedAt: tr.at, endsAt: tr.at + took})
	}
}

func (tr *trace) freeUpstream(centre int, c *traceCentre) *traceUpstream {
	for _, u := range c.upstreams {
		if len(u.runs) < traceSlots && tr.access(centre, u) == Open {
			return u
		}
	}
	return nil
}

// offer submits a job to its own data centre, or to those with the most free slots by their
// latest digests. A holder admits it if it is expected to be on time.
func (tr *trace) offer(own int) {
	tr.all[int(tr.at/time.Second)]++
	tried := map[int]bool{}
	next := own
	if tr.centres[own].digestFree <= 0 {
		next = tr.mostFree(tried)
	}
	for range traceOffers {
		tried[next] = true
		c := tr.centres[next]
		isOpen := next != 0 || tr.openUpstreams(c) > 0
		if isOpen && (tr.policy.admitsAll || tr.expectedWait(next, c)+traceRunTime <= traceObjective) {
			c.queue = append(c.queue, tr.at)
			tr.place(next, c)
			return
		}
		c.evacuator.NoteShortage()
		next = tr.mostFree(tried)
	}
}

func (tr *trace) openUpstreams(c *traceCentre) int {
	n := 0
	for _, u := range c.upstreams {
		if tr.access(0, u) == Open {
			n++
		}
	}
	return n
}

func (tr *trace) mostFree(tried map[int]bool) int {
	best := -1
	for i, c := range tr.centres {
		if !tried[i] && (best < 0 || c.digestFree > tr.centres[best].digestFree) {
			best = i
		}
	}
	if best < 0 {
		return 1
	}
	return best
}

func (tr *trace) expectedWait(centre int, c *traceCentre) time.Duration {
	missing := 1 - tr.freeSlots(centre, c)
	if missing <= 0 {
		return 0
	}
	slots := traceUpstreams * traceSlots
	if centre == 0 {
		slots = max(1, tr.openUpstreams(c)*traceSlots)
	}
	return traceRunTime * time.Duration(missing) / time.Duration(slots)
}

// onTimeShare returns the share of the jobs that arrived in some seconds and were on time.
func (tr *trace) onTimeShare(from, to time.Duration) float64 {
	onTime, all := 0, 0
	for second := int(from / time.Second); second < int(to/time.Second); second++ {
		onTime += tr.onTime[second]
		all += tr.all[second]
	}
	return float64(onTime) / float64(all)
}

// traceSeeds is the number of seeds over which shares are averaged.
const traceSeeds = 20

// meanOnTime returns the mean share of jobs on time while the data centre is being evacuated,
// while work returns, and in all.
func meanOnTime(t *testing.T, p policy, load float64) (evacuating, returning, all float64) {
	t.Helper()
	for seed := range uint64(traceSeeds) {
		tr := runTrace(p, load, seed)
		assert.True(t, p.access != nil || tr.lateStarts == 0, "starts after the deadline")
		evacuating += tr.onTimeShare(traceEvacuateAt, traceEvacuateAt+deadline) / traceSeeds
		returning += tr.onTimeShare(traceCancelAt, traceCancelAt+5*time.Second) / traceSeeds
		all += tr.onTimeShare(0, traceEnd-time.Second) / traceSeeds
	}
	return evacuating, returning, all
}

// TestQuarterOfTheCapacityEmptied guards against an evacuation, and a return of cold upstreams,
// that cost callers more than two plain policies: stopping and returning at one stroke, and
// doing so while refusing nothing.
func TestQuarterOfTheCapacityEmptied(t *testing.T) {
	for _, load := range []float64{0.7, 0.9} {
		t.Run(fmt.Sprintf("load %.1f", load), func(t *testing.T) {
			evacuating, returning, all := meanOnTime(t, policy{}, load)
			t.Logf("in steps: evacuating %.3f, returning %.3f, in all %.3f", evacuating, returning, all)
			for name, plain := range map[string]policy{
				"at one stroke": {access: stopAndReturnAtOnce}, "refusing nothing": {access: stopAndReturnAtOnce, admitsAll: true},
			} {
				plainEvacuating, plainReturning, plainAll := meanOnTime(t, plain, load)
				t.Logf("%s: evacuating %.3f, returning %.3f, in all %.3f", name, plainEvacuating, plainReturning, plainAll)
				assert.GreaterOrEqual(t, evacuating, plainEvacuating, name)
				assert.GreaterOrEqual(t, returning, plainReturning, name)
				assert.GreaterOrEqual(t, all, plainAll, name)
			}
		})
	}
}
