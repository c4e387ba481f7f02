package forwarder

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"bronzedrift.example/bronzedrift/internal/holder"
)

// runTraffic submits jobs at random for a duration. Like real callers, it resubmits jobs
// without a definite answer to another entry after resubmitDelay.
func (sim *simulation) runTraffic(d time.Duration) { sim.runTrafficFor(d, 6*time.Second) }

// runTrafficFor submits jobs for d, and goes on for rest after that.
func (sim *simulation) runTrafficFor(d, rest time.Duration) {
	sim.run(1500*time.Millisecond, nil)
	jobs := 0
	resubmitAt := map[string]time.Time{}
	lastEntries := map[string]int{}
	sim.run(d, func() {
		if sim.rng.IntN(sim.meanArrivalMillis) == 0 {
			jobs++
			sim.submitToEntry(fmt.Sprintf("%016x", jobs), sim.rng.IntN(len(sim.entries)), lastEntries)
		}
		sim.resubmit(resubmitAt, lastEntries)
	})
	sim.run(rest, func() { sim.resubmit(resubmitAt, lastEntries) })
}

const resubmitDelay = 1300 * time.Millisecond

func (sim *simulation) submitToEntry(id string, entry int, lastEntries map[string]int) {
	lastEntries[id] = entry
	sim.submit(sim.entries[entry], id, 1+sim.rng.IntN(4), 3*time.Second)
}

// resubmit resubmits jobs whose entry crashed or answered Unknown.
func (sim *simulation) resubmit(resubmitAt map[string]time.Time, lastEntries map[string]int) {
	for id, entry := range lastEntries {
		e := sim.entries[entry]
		responses := sim.answered[id]
		isUnclear := len(responses) > 0 && responses[len(responses)-1].Result == Unknown
		hasCrashed := !sim.now.Before(e.startedAt) && sim.now.Before(e.downUntil)
		at, isDue := resubmitAt[id]
		switch {
		case isDue && !sim.now.Before(at):
			delete(resubmitAt, id)
			sim.answered[id] = nil
			sim.submitToEntry(id, (entry+1)%len(sim.entries), lastEntries)
		case !isDue && len(responses) == 0 && hasCrashed, !isDue && isUnclear:
			resubmitAt[id] = sim.now.Add(resubmitDelay)
		}
	}
}

// killEntry takes an entry down for a duration, after which it restarts.
func (sim *simulation) killEntry(e *entryVM, d time.Duration) {
	e.downUntil = sim.now.Add(d)
	sim.startEntry(e)
}

func (sim *simulation) killHolder(h *holderVM, d time.Duration) {
	h.downUntil = sim.now.Add(d)
	sim.startHolder(h)
	h.startedAt = sim.now.Add(d)
	h.lastTick = h.startedAt
}

// assertGuarantees checks that no task ran twice at the same time, that no started job was
// reported as not run, that no job was reported as cancelled, and that some completed.
func assertGuarantees(t *testing.T, sim *simulation) {
	t.Helper()
	assert.Empty(t, sim.concurrentRuns, "two runs of a task at the same time")
	assert.Empty(t, sim.falseNotRun, "reported as not run, although a task had started")
	completed := 0
	for id, responses := range sim.answered {
		for _, v := range responses {
			assert.NotEqual(t, Cancelled, v.Result, "nobody has cancelled %s", id)
			if v.Result == Completed {
				completed++
				break
			}
		}
	}
	assert.Positive(t, completed, "no job was completed")
	t.Logf("%d jobs, %d completed", len(sim.answered), completed)
}

func TestGuaranteesUnderFaults(t *testing.T) {
	for name, fault := range map[string]func(sim *simulation){
		"none": func(*simulation) {},
		"a holder is killed": func(sim *simulation) {
			sim.schedule(3*time.Second, func() { sim.killHolder(sim.holders[0], time.Second) })
		},
		"all holders are killed": func(sim *simulation) { sim.schedule(3*time.Second, sim.killAllHolders) },
		"a holder freezes": func(sim *simulation) {
			sim.schedule(3*time.Second, func() { sim.holders[0].frozenUntil = sim.now.Add(4 * time.Second) })
		},
		"a holder freezes briefly": func(sim *simulation) {
			sim.schedule(3*time.Second, func() { sim.holders[0].frozenUntil = sim.now.Add(700 * time.Millisecond) })
		},
		"a holder is partitioned": func(sim *simulation) {
			sim.schedule(3*time.Second, func() { sim.holders[0].partitionedUntil = sim.now.Add(3 * time.Second) })
		},
		"an entry is killed": func(sim *simulation) {
			sim.schedule(3*time.Second, func() { sim.killEntry(sim.entries[0], time.Second) })
		},
		"an entry freezes": func(sim *simulation) {
			sim.schedule(3*time.Second, func() { sim.entries[0].frozenUntil = sim.now.Add(2 * time.Second) })
		},
		"an entry is partitioned": func(sim *simulation) {
			sim.schedule(3*time.Second, func() { sim.entries[0].partitionedUntil = sim.now.Add(2 * time.Second) })
		},
		"upstreams are partitioned": func(sim *simulation) {
			sim.schedule(3*time.Second, func() { sim.partitionUpstreams(3, 3*time.Second) })
		},
		"upstreams go on after their departure": func(sim *simulation) { sim.departUpstreams(false) },
		"departures arrive in the next life":    func(sim *simulation) { sim.departUpstreams(true) },
		"starts arrive late":                    func(sim *simulation) { sim.lateStartShare = 0.1 },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				sim := newSimulation(t, seed, 4, 3, 12)
				fault(sim)
				sim.runTraffic(7 * time.Second)
				assertGuarantees(t, sim)
			}
		})
	}
}

// TestSkippedLeaseWaitIsDetected checks that the simulation detects concurrent runs when
// entries reassign a job before the leases of its former holder have ended.
func TestSkippedLeaseWaitIsDetected(t *testing.T) {
	found := 0
	for seed := range uint64(6) {
		sim := newSimulation(t, seed, 4, 3, 12)
		sim.skipsLeaseWait = true
		for _, e := range sim.entries {
			sim.startEntry(e)
		}
		sim.schedule(3*time.Second, func() { sim.holders[0].partitionedUntil = sim.now.Add(2 * time.Second) })
		sim.runTraffic(7 * time.Second)
		found += len(sim.concurrentRuns)
	}
	assert.Positive(t, found, "the injected fault was not detected")
}

// departUpstreams lets an upstream announce its end to one holder every 400 ms. Its process ends
// up to a second later, or has ended and been started again before the announcement arrives.
func (sim *simulation) departUpstreams(isLate bool) {
	for i := range 10 {
		u := sim.upstreams[i]
		leave := func() {
			h := sim.holders[i%len(sim.holders)]
			var out holder.Effects
			h.holder.UpstreamLeft(sim.now, u.ID, &out)
			sim.applyHolderEffects(h, &out)
		}
		end := func() { u.crashFor(20*time.Millisecond, true) }
		first, second := leave, end
		if isLate {
			first, second = end, leave
		}
		at := time.Duration(2000+400*i) * time.Millisecond
		sim.schedule(at, first)
		sim.schedule(at+time.Duration(100*(i+1))*time.Millisecond, second)
	}
}

func (sim *simulation) schedule(d time.Duration, f func()) {
	sim.pendingDeliveries = append(sim.pendingDeliveries, delivery{at: sim.now.Add(d), run: f})
}

func (sim *simulation) killAllHolders() {
	for _, h := range sim.holders {
		sim.killHolder(h, 1200*time.Millisecond)
	}
}

func (sim *simulation) partitionUpstreams(n int, d time.Duration) {
	for _, u := range sim.upstreams[:n] {
		u.partitionedUntil = sim.now.Add(d)
	}
}
