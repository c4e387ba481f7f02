package dispatcher

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bronzedrift.example/bronzedrift/internal/router"
)

// faultScenario is a simulation without random faults, the owner of the
// submitted jobs and the entry that takes over from it.
type faultScenario struct {
	*simulation
	t         *testing.T
	owner     *node
	successor *node
	sequence  uint64
}

// newFaultScenario simulates four entries in two data centres, whose claims
// are in effect.
func newFaultScenario(t *testing.T) *faultScenario {
	t.Helper()
	s := &faultScenario{simulation: newSimulation(1, testEntries[:4], 3), t: t}
	s.lossless = true
	s.runFor(2 * time.Second)
	s.owner, s.successor = s.nodeOf("a-1"), s.nodeOf("a-2")
	return s
}

func (s *faultScenario) runFor(d time.Duration) {
	s.runUntil(s.now.Add(d))
}

// job returns the caller of a job in the owner's range.
func (s *faultScenario) job(tasks int) *fakeCaller {
	for {
		c := s.newCaller(tasks, jobTimeout)
		if s.owner.d.router.Range("a", c.job.ID) == s.owner.vm.Name {
			c.job.Home = "a"
			return c
		}
	}
}

// submitAt submits the job at an entry as the caller's next attempt.
func (s *faultScenario) submitAt(n *node, c *fakeCaller) {
	c.attempt++
	j := c.job
	s.input(n, Input{Submit: &Submission{Waiter: waiterOf(c.job.ID, c.attempt), Job: &j}})
}

func (s *faultScenario) declareDown(n *node, down bool) {
	s.announceVerdict(n, down, &s.sequence)
}

func (s *faultScenario) startsOf(c *fakeCaller) int {
	total := 0
	for i := range c.job.Tasks {
		for _, u := range s.upstreams {
			total += u.starts[TaskID(c.job.ID, i)]
		}
	}
	return total
}

func (s *faultScenario) answer(c *fakeCaller) *Answer {
	s.t.Helper()
	require.NotEmpty(s.t, c.answers, "the caller has an answer")
	require.Empty(s.t, s.violations())
	return c.answers[len(c.answers)-1]
}

func TestFaults(t *testing.T) {
	const started = 5 * time.Millisecond
	for name, c := range map[string]struct {
		tasks   int
		run     func(s *faultScenario, c *fakeCaller)
		outcome Outcome
		ran     Ran
		reason  Reason
		starts  int
	}{
		"no fault": {tasks: 3, starts: 3, outcome: Complete, ran: DidRun, run: func(s *faultScenario, c *fakeCaller) {
			s.submitAt(s.owner, c)
		}},
		"the owner crashes before it receives the job": {tasks: 3, starts: 3, outcome: Complete, ran: DidRun, run: func(s *faultScenario, c *fakeCaller) {
			s.killNode(s.owner)
			s.submitAt(s.successor, c)
			s.runFor(100 * time.Millisecond)
			s.declareDown(s.owner, true)
		}},
		"the owner crashes after the tasks have started": {tasks: 3, starts: 3, outcome: Complete, ran: DidRun, run: func(s *faultScenario, c *fakeCaller) {
			s.submitAt(s.owner, c)
			s.runFor(started)
			s.killNode(s.owner)
			s.declareDown(s.owner, true)
			s.submitAt(s.successor, c)
		}},
		"the owner of a forwarded job crashes before it answers": {tasks: 3, starts: 3, outcome: Complete, ran: DidRun, run: func(s *faultScenario, c *fakeCaller) {
			s.submitAt(s.nodeOf("b-1"), c)
			s.runFor(300 * time.Millisecond)
			s.killNode(s.owner)
			s.runFor(50 * time.Millisecond)
			s.declareDown(s.owner, true)
		}},
		"the owner crashes and is not declared down": {tasks: 1, starts: 0, outcome: Failed, ran: Unknown, reason: HomeUnreachable, run: func(s *faultScenario, c *fakeCaller) {
			s.killNode(s.owner)
			s.runFor(50 * time.Millisecond)
			s.submitAt(s.successor, c)
		}},
		"the owner and its successor crash": {tasks: 3, starts: 3, outcome: Complete, ran: DidRun, run: func(s *faultScenario, c *fakeCaller) {
			s.submitAt(s.owner, c)
			s.runFor(started)
			s.killNode(s.owner)
			s.declareDown(s.owner, true)
			s.runFor(started)
			s.killNode(s.successor)
			s.declareDown(s.successor, true)
			s.submitAt(s.nodeOf("b-2"), c)
		}},
		"an isolated owner starts nothing after a takeover": {tasks: 3, starts: 3, outcome: Complete, ran: DidRun, run: func(s *faultScenario, c *fakeCaller) {
			s.isolate(s.owner, true)
			s.runFor(started)
			s.declareDown(s.owner, true)
			s.runFor(100 * time.Millisecond)
			s.submitAt(s.owner, c)
			s.runFor(50 * time.Millisecond)
			assert.Zero(s.t, s.startsOf(c))
			s.submitAt(s.successor, c)
		}},
		"an isolated owner is replaced while its job runs": {tasks: 3, starts: 3, outcome: Complete, ran: DidRun, run: func(s *faultScenario, c *fakeCaller) {
			s.submitAt(s.owner, c)
			s.runFor(started)
			s.isolate(s.owner, true)
			s.declareDown(s.owner, true)
			s.submitAt(s.successor, c)
		}},
		"a healthy owner is declared down by mistake": {tasks: 6, starts: 6, outcome: Complete, ran: DidRun, run: func(s *faultScenario, c *fakeCaller) {
			s.submitAt(s.owner, c)
			s.runFor(started)
			s.declareDown(s.owner, true)
		}},
		"an older verdict arrives late": {tasks: 1, starts: 1, outcome: Complete, ran: DidRun, run: func(s *faultScenario, c *fakeCaller) {
			s.verdict(s.successor, router.SubjectVM, s.owner.vm.Name, false, 9)
			s.verdict(s.successor, router.SubjectVM, s.owner.vm.Name, true, 8)
			s.runFor(started)
			assert.False(s.t, s.owner.d.router.IsDown(router.SubjectVM, s.owner.vm.Name))
			s.submitAt(s.successor, c)
		}},
		"the owner restarts without its state": {tasks: 3, starts: 3, outcome: Complete, ran: DidRun, run: func(s *faultScenario, c *fakeCaller) {
			s.submitAt(s.owner, c)
			s.runFor(400 * time.Millisecond)
			s.killNode(s.owner)
			s.startNode(s.owner)
			s.submitAt(s.nodeOf("b-1"), c)
		}},
		"resubmitted in another data centre while it runs": {tasks: 3, starts: 3, outcome: Complete, ran: DidRun, run: func(s *faultScenario, c *fakeCaller) {
			s.submitAt(s.owner, c)
			s.runFor(started)
			s.submitAt(s.nodeOf("b-1"), c)
			s.runFor(started)
			s.submitAt(s.successor, c)
		}},
		"resubmitted after the answer": {tasks: 3, starts: 3, outcome: Complete, ran: DidRun, run: func(s *faultScenario, c *fakeCaller) {
			s.submitAt(s.owner, c)
			s.runFor(time.Second)
			s.submitAt(s.nodeOf("b-2"), c)
		}},
		"all upstreams crash while a job runs": {tasks: 1, starts: 1, outcome: Failed, ran: Unknown, reason: OutcomeUnknown, run: func(s *faultScenario, c *fakeCaller) {
			s.submitAt(s.owner, c)
			s.runFor(started)
			for _, u := range s.upstreams {
				s.crash(u)
			}
		}},
		"the upstreams restart before the owner is replaced": {tasks: 1, starts: 1, outcome: Failed, ran: Unknown, reason: OutcomeUnknown, run: func(s *faultScenario, c *fakeCaller) {
			s.submitAt(s.owner, c)
			s.runFor(started)
			for _, u := range s.upstreams {
				s.crash(u)
				s.restart(u)
			}
			s.killNode(s.owner)
			s.declareDown(s.owner, true)
			s.runFor(1200 * time.Millisecond)
			s.submitAt(s.successor, c)
		}},
		"in a partitioned data centre its own jobs complete": {tasks: 2, starts: 2, outcome: Complete, ran: DidRun, run: func(s *faultScenario, c *fakeCaller) {
			for _, n := range []*node{s.owner, s.successor} {
				s.cut(n, s.nodeOf("b-1"))
				s.cut(n, s.nodeOf("b-2"))
			}
			s.runFor(1200 * time.Millisecond)
			s.submitAt(s.successor, c)
		}},
		"jobs of a partitioned data centre fail elsewhere as home-unreachable": {tasks: 2, starts: 0, outcome: Failed, ran: Unknown, reason: HomeUnreachable, run: func(s *faultScenario, c *fakeCaller) {
			for _, n := range []*node{s.owner, s.successor} {
				s.cut(n, s.nodeOf("b-1"))
				s.cut(n, s.nodeOf("b-2"))
			}
			s.runFor(1200 * time.Millisecond)
			s.submitAt(s.nodeOf("b-1"), c)
		}},
		"a submission time in the future": {tasks: 1, starts: 0, outcome: Failed, ran: NotRun, reason: SubmittedTooEarly, run: func(s *faultScenario, c *fakeCaller) {
			c.job.Submitted = s.now.Add(time.Second)
			s.submitAt(s.owner, c)
		}},
		"a submission time before the memory of ids": {tasks: 1, starts: 0, outcome: Failed, ran: Unknown, reason: OutcomeUnknown, run: func(s *faultScenario, c *fakeCaller) {
			c.job.Submitted = s.now.Add(-time.Hour)
			s.submitAt(s.owner, c)
		}},
		"an id reused with other content": {tasks: 1, starts: 1, outcome: Failed, ran: NotRun, reason: ReusedID, run: func(s *faultScenario, c *fakeCaller) {
			s.submitAt(s.owner, c)
			s.runFor(time.Second)
			c.job.Digest++
			s.submitAt(s.successor, c)
			s.runFor(started)
			c.allowsNotRun = true
		}},
		"submitted at an entry that is stopping": {tasks: 1, starts: 0, outcome: Failed, ran: NotRun, reason: Draining, run: func(s *faultScenario, c *fakeCaller) {
			s.input(s.successor, Input{Drain: true})
			s.runFor(started)
			s.submitAt(s.successor, c)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFaultScenario(t)
			job := s.job(c.tasks)
			c.run(s, job)
			s.runFor(5 * time.Second)
			a := s.answer(job)
			assert.Equal(t, c.outcome, a.Outcome, a.Message)
			assert.Equal(t, c.ran, a.Ran, a.Message)
			assert.Equal(t, c.reason, a.Reason, a.Message)
			assert.Equal(t, c.starts, s.startsOf(job))
		})
	}
}

func TestUnusableUpstreamsAreForgotten(t *testing.T) {
	s := newFaultScenario(t)
	gone := s.upstreams[0]
	s.crash(gone)
	s.verdict(s.owner, router.SubjectUpstream, gone.info.Name, true, 1)
	s.runFor(time.Second)
	assert.Contains(t, s.owner.d.upstreams, gone.info.Name)
	s.runFor(11 * time.Minute)
	for _, n := range s.nodes {
		assert.NotContains(t, n.d.upstreams, gone.info.Name)
	}
	// A takeover needs no fence from it any more to know all earlier starts.
	job := s.job(2)
	s.submitAt(s.nodeOf("b-1"), job)
	s.runFor(20 * time.Millisecond)
	s.killNode(s.owner)
	s.declareDown(s.owner, true)
	s.runFor(5 * time.Second)
	assert.Equal(t, Complete, s.answer(job).Outcome)
}
