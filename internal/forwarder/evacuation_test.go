package forwarder

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"bronzedrift.example/bronzedrift/internal/configurer"
	"bronzedrift.example/bronzedrift/internal/holder"
)

// evacuate changes the state of one of the two data centres.
func (sim *simulation) evacuate(dataCentre string, active bool) {
	set := configurer.EvacuationSet{Revision: sim.evacuations.Revision + 1}
	changed := configurer.Evacuation{DataCentre: dataCentre, Active: active, Revision: set.Revision, ChangedAt: sim.now}
	for _, name := range []string{"a", "b"} {
		known, isKnown := sim.evacuations.Find(name)
		switch {
		case name == dataCentre:
			set.Evacuations = append(set.Evacuations, changed)
		case isKnown:
			set.Evacuations = append(set.Evacuations, known)
		}
	}
	sim.evacuations = set
}

// startsBetween counts the starts in a data centre from one time after the start of the
// simulation to another.
func (sim *simulation) startsBetween(dataCentre string, from, to time.Duration) int {
	n := 0
	for _, at := range sim.startsIn[dataCentre] {
		if after := at.Sub(sim.start); after >= from && after < to {
			n++
		}
	}
	return n
}

// TestEvacuatedDataCentre evacuates one of two data centres during traffic and takes it back,
// beside the changes of holders that may come at the same time. It guards against starts after
// the deadline, runs that are stopped, jobs that wait where nothing starts any more, and work
// that does not return.
func TestEvacuatedDataCentre(t *testing.T) {
	const evacuateAt, cancelAt, end = 3 * time.Second, 11 * time.Second, 18 * time.Second
	for name, fault := range map[string]func(sim *simulation){
		"nothing else happens": func(*simulation) {},
		"a holder of it is killed before": func(sim *simulation) {
			sim.schedule(evacuateAt-100*time.Millisecond, func() { sim.killHolder(sim.holders[0], time.Second) })
		},
		"a holder of it is killed while it is empty": func(sim *simulation) {
			sim.schedule(evacuateAt+4*time.Second, func() { sim.killHolder(sim.holders[0], time.Second) })
		},
		"a holder of it freezes as the order comes": func(sim *simulation) {
			sim.schedule(evacuateAt-time.Millisecond, func() { sim.holders[0].frozenUntil = sim.now.Add(2 * time.Second) })
		},
		"a holder of it is killed while work returns": func(sim *simulation) {
			sim.schedule(cancelAt+200*time.Millisecond, func() { sim.killHolder(sim.holders[0], time.Second) })
		},
		"a holder of it is stopped in a planned way": func(sim *simulation) {
			sim.schedule(evacuateAt+200*time.Millisecond, func() { sim.holders[0].holder.Drain() })
		},
		"an entry is killed": func(sim *simulation) {
			sim.schedule(evacuateAt+100*time.Millisecond, func() { sim.killEntry(sim.entries[0], time.Second) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1, 4, 4, 24)
			sim.schedule(evacuateAt, func() { sim.evacuate("a", true) })
			sim.schedule(cancelAt, func() { sim.evacuate("a", false) })
			fault(sim)
			sim.runTraffic(end)
			assertGuarantees(t, sim)
			assert.Zero(t, sim.startsBetween("a", evacuateAt+holder.DefaultEvacuationDeadline, cancelAt), "starts after the deadline")
			assert.Positive(t, sim.startsBetween("a", cancelAt+2*time.Second, end), "no work has returned")
			assert.GreaterOrEqual(t, sim.countResults(Completed), len(sim.answered)*9/10, "the other data centre has room")
			if name == "nothing else happens" {
				assert.Zero(t, sim.stoppedRuns, "runs were stopped")

				assert.Equal(t, len(sim.answered), sim.countResults(Completed))
			}
		})
	}
}

// TestIgnoredEvacuationIsDetected checks that the assertion on starts after the deadline sees
// a holder that ignores the evacuation.
func TestIgnoredEvacuationIsDetected(t *testing.T) {
	sim := newSimulation(t, 1, 4, 4, 16)
	sim.ignoresEvacuations = sim.holders[0]
	sim.schedule(3*time.Second, func() { sim.evacuate("a", true) })
	sim.runTraffic(12 * time.Second)
	assert.Positive(t, sim.startsBetween("a", 3*time.Second+holder.DefaultEvacuationDeadline, 12*time.Second))
}

// TestLastDataCentreEvacuated guards against jobs that wait, or are held until their deadline,
// although no upstream may run them.
func TestLastDataCentreEvacuated(t *testing.T) {
	sim := newSimulation(t, 1, 4, 4, 16)
	sim.run(2*time.Second, nil)
	sim.evacuate("a", true)
	sim.run(100*time.Millisecond, nil)
	sim.evacuate("b", true)
	sim.run(holder.DefaultEvacuationDeadline, nil)
	for i := range 8 {
		sim.submitTasks(sim.entries[i%4], uint64(1000+i), fmt.Sprintf("%016x", i), 2, 200*time.Millisecond, 3*time.Second)
	}
	sim.run(200*time.Millisecond, nil)
	for i := range 8 {
		id := fmt.Sprintf("%016x", i)
		responses := sim.answered[id]
		if assert.Len(t, responses, 1, id) {
			assert.Equal(t, NotRun, responses[0].Result)
			assert.Positive(t, responses[0].RetryAfter)
			assert.Less(t, sim.answerTime[id], 20*time.Millisecond, "refused late")
		}
	}
	sim.evacuate("b", false)
	sim.run(time.Second, nil)
	sim.submitTasks(sim.entries[0], 2000, "after", 2, 200*time.Millisecond, 3*time.Second)
	sim.run(time.Second, nil)
	assert.Equal(t, Completed, sim.answered["after"][0].Result)
}

// TestQueuedJobsMove fills one data centre beyond its capacity and evacuates it: what waits
// there must start in the other one in time, and nothing may be answered as unknown.
func TestQueuedJobsMove(t *testing.T) {
	sim := newSimulation(t, 1, 4, 4, 16)
	sim.run(2*time.Second, nil)
	for i := range 40 {
		e := sim.entries[2*(i%2)]
		sim.submitTasks(e, uint64(1000+i), fmt.Sprintf("%016x", i), 2, 900*time.Millisecond, 5*time.Second)
	}
	sim.evacuate("a", true)
	sim.run(6*time.Second, nil)
	assertGuarantees(t, sim)
	assert.Zero(t, sim.countResults(Unknown))
	assert.Equal(t, 40, sim.countResults(Completed)+sim.countResults(NotRun))
}
