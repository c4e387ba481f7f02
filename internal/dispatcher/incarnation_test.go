package dispatcher

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bronzedrift.example/bronzedrift/internal/router"
)

// restartAllUpstreams restarts all upstreams without memory before any of them announces
// itself again.
func (s *faultScenario) restartAllUpstreams() {
	for _, u := range s.upstreams {
		s.crash(u)
		s.restart(u)
	}
}

// newLessorScenario is a fault scenario whose owner also leases the slots of its data centre,
// so that it goes on starting tasks while it is isolated.
func newLessorScenario(t *testing.T) *faultScenario {
	t.Helper()
	s := newFaultScenario(t)
	if lessor, _ := s.owner.d.router.Lessor("a"); lessor != s.owner.vm.Name {
		s.owner, s.successor = s.successor, s.owner
	}
	return s
}

// TestStartMeantForFormerIncarnation guards against a task that starts twice: an isolated
// owner starts it at an upstream that has restarted, and so lost the fence of the new owner,
// before it has learned of the restart.
func TestStartMeantForFormerIncarnation(t *testing.T) {
	s := newLessorScenario(t)
	s.isolate(s.owner, true)
	s.declareDown(s.owner, true)
	s.runFor(linkTimeout + 100*time.Millisecond)
	c := s.job(1)
	s.submitAt(s.successor, c)
	s.runFor(500 * time.Millisecond)
	assert.Equal(t, Complete, s.answer(c).Outcome)
	s.restartAllUpstreams()
	s.submitAt(s.owner, c)
	s.runFor(5 * time.Second)
	assert.Empty(t, s.violations())
	assert.Equal(t, 1, s.startsOf(c))
}

// TestRefusalByNewIncarnation guards against a restart that costs the upstream its slots or
// the jobs their retries, against starts by what the former incarnation has announced, and against
// refusals of former incarnations that hide a restart.
func TestRefusalByNewIncarnation(t *testing.T) {
	s := newSimulation(1, []router.VM{{Name: "a-1", DataCentre: "a"}}, 1)
	s.lossless = true
	s.runUntil(s.now.Add(2 * time.Second))
	d := s.nodes[0].d
	u := s.upstreams[0].info
	restartedAt := s.now.Add(time.Millisecond)
	c := s.newCaller(4, time.Minute)
	var out Effects
	d.Handle(s.now, &Input{Submit: &Submission{Waiter: waiterOf(c.job.ID, 1), Job: &c.job}}, &out)
	require.Len(t, out.Starts, 4)
	refuse := func(since time.Time) {
		for _, st := range out.Starts {
			out.Fences = nil
			d.Handle(s.now, &Input{TaskEnd: &TaskEnd{
				JobID: st.JobID, Task: st.Task, Upstream: st.Upstream, Epoch: st.Epoch, Kind: EndedRestarted,
				ExpectedSince: st.MemorySince, MemorySince: since,
			}}, &out)
		}
	}
	budget := *d.retries
	refuse(restartedAt)
	assert.Equal(t, restartedAt, d.upstreams[u.Name].MemorySince)
	assert.Equal(t, budget, *d.retries, "refusals spend nothing of the retry budget")
	out.Reset()
	d.Handle(s.now, &Input{Tick: true}, &out)
	require.Empty(t, out.Starts, "started before the new incarnation has announced what it offers")
	restarted := u
	restarted.MemorySince = restartedAt
	d.Handle(s.now, &Input{Announce: &restarted}, &out)
	load, ok := d.localLessors["a"].scheduler.LoadOf("booking")
	require.True(t, ok)
	assert.Equal(t, 4, load.Slots, "the upstream is not paused")
	d.Handle(s.now, &Input{Tick: true}, &out)
	require.Len(t, out.Starts, 4)
	assert.Equal(t, restartedAt, out.Starts[0].MemorySince)

	announced := u
	announced.MemorySince = restartedAt.Add(time.Second)
	d.Handle(s.now, &Input{Announce: &announced}, &out)
	refuse(restartedAt.Add(time.Millisecond))
	assert.Equal(t, announced.MemorySince, d.upstreams[u.Name].MemorySince, "a refusal older than the announcement proves nothing")
}

// claimScenario is an entry with one upstream, whose claims are in effect, and the fences that
// it sends.
type claimScenario struct {
	*simulation
	d        *Dispatcher
	upstream Upstream
	out      Effects
}

func newClaimScenario(t *testing.T) *claimScenario {
	t.Helper()
	s := &claimScenario{simulation: newSimulation(1, []router.VM{{Name: "a-1", DataCentre: "a"}}, 1)}
	s.lossless = true
	s.runUntil(s.now.Add(2 * time.Second))
	s.d, s.upstream = s.nodes[0].d, s.upstreams[0].info
	return s
}

// announceRestart announces a restart at a time and returns the fence that it causes.
func (s *claimScenario) announceRestart(t *testing.T, since time.Time) FenceRange {
	t.Helper()
	s.upstream.MemorySince = since
	u := s.upstream
	s.out.Reset()
	s.d.Handle(s.now, &Input{Announce: &u}, &s.out)
	require.Len(t, s.out.Fences, 1)
	return s.out.Fences[0]
}

// acknowledge answers a fence as the incarnation that remembers tasks since a time.
func (s *claimScenario) acknowledge(f FenceRange, since time.Time, started ...string) {
	s.out.Reset()
	s.d.Handle(s.now, &Input{FenceEnd: &FenceEnd{
		Range: f.Range, Epoch: f.Epoch, Upstream: f.Upstream, Address: f.Address, OK: true,
		ExpectedSince: f.MemorySince, StartedAt: since, MemorySince: since, Started: started,
	}}, &s.out)
}

// TestFenceOfFormerIncarnation guards against a task that starts although an earlier owner may
// have started it: the fence that allows it was acknowledged by an incarnation that is gone.
func TestFenceOfFormerIncarnation(t *testing.T) {
	s := newClaimScenario(t)
	first := s.announceRestart(t, s.now.Add(-time.Second))
	s.announceRestart(t, s.now)
	s.acknowledge(first, first.MemorySince)
	c := s.newCaller(1, jobTimeout)
	c.job.Submitted = s.now.Add(-500 * time.Millisecond)
	// The job is older than the claim's effect, so that the fences decide on its earlier starts.
	s.d.claims["a-1"].effectiveAt = s.now
	s.out.Reset()
	s.d.Handle(s.now, &Input{Submit: &Submission{Waiter: waiterOf(c.job.ID, 1), Job: &c.job}}, &s.out)
	assert.Empty(t, s.out.Starts)
	require.Len(t, s.out.Replies, 1)
	assert.Equal(t, OutcomeUnknown, s.out.Replies[0].Answer.Reason)
}

// TestFenceByUnannouncedIncarnation guards against an upstream that is taken for fenced with the
// memory of the announced incarnation although it has restarted since.
func TestFenceByUnannouncedIncarnation(t *testing.T) {
	s := newClaimScenario(t)
	first := s.announceRestart(t, s.now.Add(-time.Second))
	s.acknowledge(first, s.now)
	assert.Equal(t, s.now, s.d.upstreams[s.upstream.Name].MemorySince)
	require.Len(t, s.out.Fences, 1)
	assert.NotContains(t, s.d.claims["a-1"].ackedMemorySince, s.upstream.Name)
	s.acknowledge(s.out.Fences[0], s.now)
	assert.Contains(t, s.d.claims["a-1"].ackedMemorySince, s.upstream.Name)
}

// TestProbeNamesIncarnation guards against a task that starts twice because the incarnation
// that is asked for its outcome is not the one that started it: a stop may have fenced the id
// there.
func TestProbeNamesIncarnation(t *testing.T) {
	s := newClaimScenario(t)
	first := s.announceRestart(t, s.now.Add(-time.Second))
	c := s.newCaller(1, jobTimeout)
	s.acknowledge(first, first.MemorySince, TaskID(c.job.ID, 0))
	second := s.announceRestart(t, s.now)
	s.acknowledge(second, second.MemorySince)
	s.out.Reset()
	s.d.Handle(s.now, &Input{Submit: &Submission{Waiter: waiterOf(c.job.ID, 1), Job: &c.job}}, &s.out)
	require.Len(t, s.out.Probes, 1)
	assert.Equal(t, first.MemorySince, s.out.Probes[0].MemorySince)
}

// TestRestartDuringIsolation guards against a task that starts twice: an isolated owner learns of
// a restart from the upstream itself, before the new owner does, and starts the task at the new
// incarnation, which the new owner has not fenced.
func TestRestartDuringIsolation(t *testing.T) {
	for name, isolatedFor := range map[string]time.Duration{
		"the lost link is not noticed yet": 600 * time.Millisecond,
		"the lost link is noticed":         linkTimeout + 100*time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			s := newLessorScenario(t)
			s.isolate(s.owner, true)
			s.declareDown(s.owner, true)
			c := s.job(1)
			s.submitAt(s.successor, c)
			s.runFor(500 * time.Millisecond)
			assert.Equal(t, Complete, s.answer(c).Outcome)
			s.restartAllUpstreams()
			for _, u := range s.upstreams {
				info := u.info
				info.Announced = s.now
				s.input(s.owner, Input{Announce: &info})
			}
			s.runFor(isolatedFor - 500*time.Millisecond)
			s.submitAt(s.owner, c)
			s.runFor(5 * time.Second)
			assert.Empty(t, s.violations())
			assert.Equal(t, 1, s.startsOf(c))
		})
	}
}

// TestIncarnationAwaitsNextHolder guards against a restarted upstream that is used before the
// next holder could tell of its claim, or that loses its slots because it is not used at once.
func TestIncarnationAwaitsNextHolder(t *testing.T) {
	s := newLessorScenario(t)
	c := s.job(1)
	s.cut(s.owner, s.successor)
	s.restartAllUpstreams()
	for _, u := range s.upstreams {
		info := u.info
		info.Announced = s.now
		s.input(s.owner, Input{Announce: &info})
	}
	s.submitAt(s.owner, c)
	s.runFor(500 * time.Millisecond)
	assert.Zero(t, s.startsOf(c), "the next holder has not answered")
	s.heal(s.owner, s.successor)
	s.runFor(linkTimeout)
	assert.Equal(t, Complete, s.answer(c).Outcome)
	assert.Equal(t, 1, s.startsOf(c))
}

// learnedRestart is an entry that knows from a fence, and from no announcement, that its upstream has
// restarted.
func learnedRestart(t *testing.T) (s *claimScenario, since time.Time) {
	t.Helper()
	s = newClaimScenario(t)
	fence := s.announceRestart(t, s.now.Add(-time.Second))
	since = s.now
	s.d.Handle(s.now, &Input{FenceEnd: &FenceEnd{
		Range: fence.Range, Epoch: fence.Epoch, Upstream: fence.Upstream, Address: fence.Address, OK: true,
		ExpectedSince: fence.MemorySince, MemorySince: since, StartedAt: since,
	}}, &s.out)
	require.Equal(t, since, s.d.upstreams[s.upstream.Name].MemorySince)
	return s, since
}

// TestRestartOfAnotherKind guards against tasks on an upstream that does not offer their service: an
// answer tells of a new incarnation before that has announced what it offers.
func TestRestartOfAnotherKind(t *testing.T) {
	s, since := learnedRestart(t)
	u := s.d.upstreams[s.upstream.Name]
	assert.Empty(t, u.Services)
	assert.Empty(t, u.Capabilities)
	assert.Zero(t, u.Capacity)
	assert.Empty(t, u.Rack)
	c := s.newCaller(1, time.Minute)
	s.out.Reset()
	s.d.Handle(s.now, &Input{Submit: &Submission{Waiter: waiterOf(c.job.ID, 1), Job: &c.job}}, &s.out)
	assert.Empty(t, s.out.Starts, "started by what a former incarnation has announced")
	assert.Empty(t, s.out.Replies, "refused, though the upstream may offer the service again")

	other := s.upstream
	other.MemorySince, other.Services = since, []string{"other"}
	s.d.Handle(s.now, &Input{Announce: &other}, &s.out)
	s.d.Handle(s.now, &Input{Tick: true}, &s.out)
	assert.Empty(t, s.out.Starts)
	assert.True(t, s.d.hasOffered(other.Name, "booking"), "a former incarnation may have run earlier starts")
}

// TestAnnouncementBesideLearnedRestart guards against upstreams that stay unused, or are used by what a
// former incarnation has announced: peers tell of a restart and of its announcement in any order.
func TestAnnouncementBesideLearnedRestart(t *testing.T) {
	s, since := learnedRestart(t)
	bare := *s.d.upstreams[s.upstream.Name]
	announced := s.upstream
	announced.MemorySince, announced.Announced = since, bare.Announced.Add(-time.Millisecond)
	s.d.effects = &s.out
	s.d.handleAnnouncement(s.now, &announced, false)
	require.True(t, s.d.upstreams[announced.Name].IsAnnounced(), "an announcement that was received before is ignored")
	bare.Announced = s.now.Add(time.Second)
	s.d.handleAnnouncement(s.now, &bare, false)
	assert.True(t, s.d.upstreams[announced.Name].IsAnnounced(), "replaced by the news of a peer without it")
}
