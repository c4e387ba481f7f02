package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bronzedrift.example/bronzedrift/internal/router"
)

// cancelQueuedJobs queues jobs of one task behind slots that are never
// released, cancels them all, and returns the time that took.
func cancelQueuedJobs(t testing.TB, jobs int) time.Duration {
	t.Helper()
	s := newSimulation(1, []router.VM{{Name: "a-1", DataCentre: "a"}}, 1)
	s.lossless = true
	s.runUntil(s.now.Add(2 * time.Second))
	n := s.nodes[0]
	var list []*fakeCaller
	for range jobs {
		c := s.newCaller(1, time.Hour)
		c.attempt = 1
		j := c.job
		s.input(n, Input{Submit: &Submission{Waiter: waiterOf(c.job.ID, 1), Job: &j}})
		list = append(list, c)
	}
	queued := n.d.Snapshot().QueuedTasks
	began := time.Now()
	for _, c := range list[jobs-queued:] {
		s.input(n, Input{CallerQuery: &CallerQuery{Waiter: 0, Kind: Cancel, JobID: c.job.ID}})
	}
	took := time.Since(began)
	assert.Zero(t, n.d.Snapshot().QueuedTasks)
	for _, c := range list[jobs-queued:] {
		assert.Equal(t, Cancelled, c.answers[0].Reason)
		assert.Equal(t, NotRun, c.answers[0].Ran)
	}
	return took
}

func TestCancelledJobsNeverStart(t *testing.T) {
	cancelQueuedJobs(t, 500)
}

// BenchmarkCancel measures the time of one cancellation at three queue
// lengths.
func BenchmarkCancel(b *testing.B) {
	for _, jobs := range []int{100, 1000, 9000} {
		b.Run(fmt.Sprint(jobs), func(b *testing.B) {
			var total time.Duration
			for b.Loop() {
				total += cancelQueuedJobs(b, jobs)
			}
			b.ReportMetric(float64(total.Nanoseconds())/float64(b.N*jobs), "ns/cancel")
		})
	}
}

func TestStoppedTasksAreNotUpstreamFailures(t *testing.T) {
	s := newSimulation(1, []router.VM{{Name: "a-1", DataCentre: "a"}}, 1)
	s.lossless = true
	s.runUntil(s.now.Add(2 * time.Second))
	d := s.nodes[0].d
	c := s.newCaller(2, time.Minute)
	var out Effects
	d.Handle(s.now, &Input{Submit: &Submission{Waiter: waiterOf(c.job.ID, 1), Job: &c.job}}, &out)
	starts := out.Starts
	require.Len(t, starts, 2)
	failed := func(i int) *Input {
		return &Input{TaskEnd: &TaskEnd{JobID: c.job.ID, Task: i, Upstream: starts[i].Upstream, Epoch: starts[i].Epoch, Kind: EndedFailed}}
	}
	d.Handle(s.now, &Input{CallerQuery: &CallerQuery{Kind: Cancel, JobID: c.job.ID}}, &out)
	assert.Len(t, out.Stops, 2, "both tasks are asked to stop")
	d.Handle(s.now, failed(0), &out)
	d.Handle(s.now, failed(1), &out)
	load, ok := d.localLessors["a"].scheduler.LoadOf("booking")
	require.True(t, ok)
	assert.Equal(t, 4, load.FreeSlots, "the upstream is not paused")
}
