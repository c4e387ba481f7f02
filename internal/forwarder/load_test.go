package forwarder

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// countResults returns the number of jobs whose last answer was r.
func (sim *simulation) countResults(r Result) int {
	n := 0
	for _, responses := range sim.answered {
		if len(responses) > 0 && responses[len(responses)-1].Result == r {
			n++
		}
	}
	return n
}

// TestFastFailingUpstreams covers grey failures: some upstreams fail a share of their runs
// right away while they report to be healthy. A fast failure frees its slot, so a choice
// by free slots alone would send them most of the work.
func TestFastFailingUpstreams(t *testing.T) {
	for seed := range uint64(3) {
		sim := newSimulation(t, seed, 4, 3, 16)
		sim.meanArrivalMillis, sim.maxAttempts = 25, 2
		for _, u := range sim.upstreams[:3] {
			u.failShare = 0.5
		}
		sim.runTraffic(12 * time.Second)
		assertGuarantees(t, sim)
		failed := sim.countResults(Failed)
		t.Logf("%d failed", failed)
		assert.LessOrEqual(t, failed, len(sim.answered)/100, "more than 1% failed although most upstreams are healthy")
	}
}

// TestUpstreamsLostInBurst partitions a quarter of the upstreams during traffic: nine
// tenths of the jobs must still complete on the remaining ones.
func TestUpstreamsLostInBurst(t *testing.T) {
	for seed := range uint64(3) {
		sim := newSimulation(t, seed, 4, 3, 16)
		sim.schedule(3*time.Second, func() { sim.partitionUpstreams(4, 6*time.Second) })
		sim.runTraffic(10 * time.Second)
		assertGuarantees(t, sim)
		assert.GreaterOrEqual(t, sim.countResults(Completed), len(sim.answered)*9/10)
	}
}

// TestWideJobs submits jobs with more tasks than one holder has free slots, while all
// holders together have enough: all tasks must start at once.
func TestWideJobs(t *testing.T) {
	const (
		tasks    = 30
		taskTime = 200 * time.Millisecond
		// objective is the production objective for this kind of job. The slowest upstream
		// needs 286 ms per task, so a second wave of tasks would miss it.
		objective = taskTime*16/10 + 60*time.Millisecond
	)
	sim := newSimulation(t, 1, 4, 3, 12)
	sim.run(2*time.Second, nil)
	for i := range 10 {
		id := fmt.Sprintf("%016x", i)
		sim.submitTasks(sim.entries[i%4], uint64(1000+i), id, tasks, taskTime, 3*time.Second)
		sim.run(400*time.Millisecond, nil)
		assert.LessOrEqual(t, sim.answerTime[id], objective)
	}
	assertGuarantees(t, sim)
	assert.Equal(t, 10, sim.countResults(Completed))
}

// TestLostPartIsReassigned kills one of the holders of a wide job: the parts of the others
// continue, and the job completes.
func TestLostPartIsReassigned(t *testing.T) {
	sim := newSimulation(t, 1, 4, 3, 12)
	sim.run(2*time.Second, nil)
	sim.submitTasks(sim.entries[0], 1000, "0", 20, 900*time.Millisecond, 6*time.Second)
	sim.schedule(300*time.Millisecond, func() { sim.killHolder(sim.holders[2], time.Second) })
	sim.run(6*time.Second, nil)
	assertGuarantees(t, sim)
	assert.Equal(t, 1, sim.countResults(Completed))
}
