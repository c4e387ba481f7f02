package dispatcher

import (
	"slices"
	"time"

	"bronzedrift.example/bronzedrift/internal/recorder"
	"bronzedrift.example/bronzedrift/internal/scheduler"
)

// claim is this entry's right to start tasks of a range under an epoch. It is
// complete once every upstream has fenced lower epochs and reported the tasks
// it had started under them.
type claim struct {
	rangeName string
	epoch     int64
	claimedAt time.Time
	// effectiveAt is when every known upstream that can fence had acknowledged
	// the fence of the range or a request to it had failed. A job first submitted later cannot have been started under an
	// earlier claim.
	effectiveAt time.Time
	// ackedMemorySince holds the upstreams that have acknowledged the fence
	// and when the memory of each begins.
	ackedMemorySince map[string]time.Time
	fenceFailures    map[string]int
	// startedTasks holds the tasks started under earlier epochs by their ids.
	startedTasks     map[string]earlierStart
	completeRecorded bool
	// reclaimAt is set once another entry has claimed the range under a higher
	// epoch: this claim is then no longer in force, and the range may be
	// claimed again from reclaimAt on, under an epoch above highestEpoch.
	reclaimAt    time.Time
	highestEpoch int64
}

// earlierStart is the incarnation of an upstream that has started a task under an
// earlier epoch.
type earlierStart struct {
	upstream    string
	memorySince time.Time
}

const (
	// claimWait is how long a job that needs a complete claim waits for it.
	claimWait = time.Second
	// fenceRetryBase is the delay before a failed fence request to an upstream
	// is first sent again; it doubles up to fenceRetryMax.
	fenceRetryBase = 250 * time.Millisecond
	fenceRetryMax  = 5 * time.Second
	// reclaimDelay prevents two entries that both hold a range from claiming
	// it from each other in an endless loop.
	reclaimDelay = 500 * time.Millisecond
)

// updateClaim claims a range that this entry now holds, and releases one that
// another entry now holds.
func (d *Dispatcher) updateClaim(now time.Time, rangeName string) {
	holder, ok := d.router.Holder(rangeName)
	c := d.claims[rangeName]
	isOurs := ok && holder == d.config.VM
	switch {
	case !isOurs && c != nil:
		d.releaseRange(now, rangeName)
	case !isOurs:
	case c == nil:
		if d.hasHelloFromNextHolder(rangeName) {
			d.claimRange(now, rangeName, 0)
		}
	case c.reclaimAt.IsZero():
		d.updateEffective(now, c)
	case !now.Before(c.reclaimAt) && d.isLinkedToNextHolder(rangeName):
		d.claimRange(now, rangeName, c.highestEpoch)
	}
}

// hasHelloFromNextHolder reports whether the next holder, the entry that would
// hold a range instead of this one, has sent its hello since this entry started.
// Until then the range may belong to the next holder, and claiming it would take
// it away.
func (d *Dispatcher) hasHelloFromNextHolder(rangeName string) bool {
	nextHolder, ok := d.router.NextHolder(rangeName, d.config.VM)
	_, helloReceived := d.peerStartedAt[nextHolder]
	return !ok || helloReceived
}

// isLinkedToNextHolder reports whether this entry would be notified if the next
// holder took over its range.
func (d *Dispatcher) isLinkedToNextHolder(rangeName string) bool {
	nextHolder, ok := d.router.NextHolder(rangeName, d.config.VM)
	return !ok || d.linked[nextHolder]
}

// updateEffective sets effectiveAt once every known upstream that can fence has
// acknowledged the fence of the range or a request to it has failed. If no
// upstream is known, it first waits for announcements.
func (d *Dispatcher) updateEffective(now time.Time, c *claim) {
	if !c.effectiveAt.IsZero() || len(d.upstreams) == 0 && !d.isAnnouncementWaitOver(now) || !d.isEveryFenceTried(c) {
		return
	}
	for name, u := range d.upstreams {
		if _, acked := c.ackedMemorySince[name]; u.mayFence() && !acked && c.fenceFailures[name] == 0 {
			return
		}
	}
	c.effectiveAt = now
	d.resolvePending(now)
}

// isEveryFenceTried reports whether every fence request may have been
// acknowledged or have failed. It compares counts only, and so may be true too
// early, so that not every acknowledgement iterates over all upstreams.
func (d *Dispatcher) isEveryFenceTried(c *claim) bool {
	return len(c.ackedMemorySince)+len(c.fenceFailures) >= d.fencingCount
}

// isAnnouncementWaitOver reports whether upstreams have had time for their
// first announcements since this entry started.
func (d *Dispatcher) isAnnouncementWaitOver(now time.Time) bool {
	return !now.Before(d.startedAt.Add(d.config.Limits.AnnouncementWait))
}

// claimRange claims a range under an epoch greater than above and asks all
// upstreams to fence it.
func (d *Dispatcher) claimRange(now time.Time, rangeName string, above int64) {
	c := &claim{
		rangeName:        rangeName,
		epoch:            max(now.UnixMicro(), above+1),
		claimedAt:        now,
		ackedMemorySince: map[string]time.Time{},
		fenceFailures:    map[string]int{},
		startedTasks:     map[string]earlierStart{},
	}
	d.claims[rangeName] = c
	d.recordEvent(recorder.Event{Number: recorder.RangeClaimed, Peer: rangeName, Task: recorder.NoTask})
	for _, u := range d.orderedUpstreams() {
		d.sendFence(c, u, 0)
	}
}

// releaseRange drops the claim of a range. Jobs with unstarted tasks move to
// the new holder; the others finish here.
func (d *Dispatcher) releaseRange(now time.Time, rangeName string) {
	delete(d.claims, rangeName)
	d.recordEvent(recorder.Event{Number: recorder.RangeReleased, Peer: rangeName, Task: recorder.NoTask})
	for _, j := range d.orderedJobs() {
		if j.rangeName == rangeName && j.answer == nil && j.hasUnstarted() {
			d.move(now, j)
		}
	}
}

// handleSuperseded handles the evidence that another entry has claimed a range
// under a higher epoch. If this entry still holds the range in its own view,
// it claims the range again after reclaimDelay.
func (d *Dispatcher) handleSuperseded(now time.Time, rangeName string, epoch, higher int64) {
	c := d.claims[rangeName]
	if c == nil || c.epoch != epoch || !c.reclaimAt.IsZero() {
		return
	}
	d.recordEvent(recorder.Event{Number: recorder.RangeLost, Peer: rangeName, Task: recorder.NoTask})
	c.reclaimAt = now.Add(reclaimDelay)
	c.highestEpoch = max(c.epoch, higher)
	for _, j := range d.orderedJobs() {
		if j.rangeName == rangeName && j.answer == nil && j.hasUnstarted() {
			d.suspend(now, j)
		}
	}
}

// holdsClaimOf reports whether the claim under which a job was admitted is
// still in force.
func (d *Dispatcher) holdsClaimOf(j *job) bool {
	c := d.claims[j.rangeName]
	return c != nil && c.reclaimAt.IsZero() && c.epoch == j.epoch
}

// isStartedByOtherOwner reports whether another owner may have started a task
// that waits here for a retry. If the range was lost while the start was in
// progress here, another owner may have started the task before the start here
// proved not to have happened.
func (d *Dispatcher) isStartedByOtherOwner(j *job, task int) bool {
	c := d.claims[j.rangeName]
	if c == nil {
		return true
	}
	_, started := c.startedTasks[TaskID(j.ID, task)]
	return started
}

// moveOrSuspend stops starting tasks of a job whose claim is no longer in
// force: the job moves to the new holder or waits for the next claim.
func (d *Dispatcher) moveOrSuspend(now time.Time, j *job) {
	if d.claims[j.rangeName] == nil {
		d.move(now, j)
		return
	}
	d.suspend(now, j)
	d.resolve(now, j)
}

const (
	// stallThreshold is the time without any input, ticks included, after
	// which this entry may have been declared down and another may have taken
	// over its ranges.
	stallThreshold = 250 * time.Millisecond
	// stallCatchUp is how long nothing is started after a stall, so that the
	// inputs that arrived meanwhile are processed first: they may report a
	// verdict, a newer claim, or an upstream that has restarted and lost its
	// fences.
	stallCatchUp = 100 * time.Millisecond
)

// detectStall delays all starts after a stall until the inputs that arrived
// meanwhile have been read.
func (d *Dispatcher) detectStall(now time.Time) {
	last := d.lastInputAt
	d.lastInputAt = now
	if !last.IsZero() && now.Sub(last) >= stallThreshold {
		d.catchUpUntil = now.Add(stallCatchUp)
	}
}

// deferredGrant is a slot lease that arrived while nothing may be started, or nothing
// on its upstream.
type deferredGrant struct {
	from  string
	grant *scheduler.Grant
}

// processDeferredGrants uses the slot leases that were deferred.
func (d *Dispatcher) processDeferredGrants(now time.Time) {
	if len(d.deferredGrants) == 0 || now.Before(d.catchUpUntil) {
		return
	}
	deferred := d.deferredGrants
	d.deferredGrants = nil
	for _, g := range deferred {
		d.handleGrant(now, g.from, g.grant)
	}
}

func (d *Dispatcher) sendFence(c *claim, u *Upstream, delay time.Duration) {
	if !u.mayFence() {
		return
	}
	delete(c.ackedMemorySince, u.Name)
	d.effects.Fences = append(d.effects.Fences, FenceRange{
		Range: c.rangeName, Epoch: c.epoch, Upstream: u.Name, Address: u.Address, Delay: delay,
		MemorySince: u.MemorySince,
	})
}

// fenceAllRanges asks an upstream that is new or has restarted to fence all
// ranges claimed here.
func (d *Dispatcher) fenceAllRanges(u *Upstream) {
	for _, vm := range d.router.VMs() {
		if c := d.claims[vm.Name]; c != nil {
			d.sendFence(c, u, 0)
		}
	}
}

func (d *Dispatcher) handleFenceEnd(now time.Time, f *FenceEnd) {
	c := d.claims[f.Range]
	u := d.upstreams[f.Upstream]
	if c == nil || c.epoch != f.Epoch || u == nil || u.Address != f.Address {
		return
	}
	switch {
	case f.HigherEpoch > f.Epoch:
		d.handleSuperseded(now, f.Range, f.Epoch, f.HigherEpoch)
	case !f.OK:
		d.retryFence(now, c, u)
	default:
		d.handleFenceAck(now, c, u, f)
	}
}

// retryFence sends a failed fence request again with exponential back-off.
func (d *Dispatcher) retryFence(now time.Time, c *claim, u *Upstream) {
	if c.fenceFailures[u.Name] == 0 {
		d.recordEvent(recorder.Event{Number: recorder.FenceFailed, Upstream: u.Name, Peer: c.rangeName, Task: recorder.NoTask})
	}
	delay := min(fenceRetryMax, fenceRetryBase<<min(c.fenceFailures[u.Name], 8))
	c.fenceFailures[u.Name]++
	d.updateEffective(now, c)
	d.sendFence(c, u, delay)
}

// handleFenceAck records the tasks that an upstream has started. The range is fenced
// there only if the announced incarnation has answered; a later one is fenced again
// as announced, and of a former one the fence is gone.
func (d *Dispatcher) handleFenceAck(now time.Time, c *claim, u *Upstream, f *FenceEnd) {
	since := f.StartedAt
	if since.IsZero() {
		since = f.ExpectedSince
	}
	for _, taskID := range f.Started {
		c.startedTasks[taskID] = earlierStart{upstream: f.Upstream, memorySince: since}
	}
	if !IsSameMemory(f.StartedAt, u.MemorySince) {
		d.learnRestart(now, u.Name, f.ExpectedSince, f.StartedAt)
		return
	}
	c.ackedMemorySince[f.Upstream] = f.MemorySince
	if !d.isEveryFenceTried(c) {
		return
	}
	if !c.completeRecorded && d.isFencedEverywhere(c) {
		c.completeRecorded = true
		d.recordEvent(recorder.Event{Number: recorder.RangeClaimComplete, Peer: c.rangeName, Task: recorder.NoTask})
	}
	d.updateEffective(now, c)
	d.resolvePending(now)
}

func (d *Dispatcher) isFencedEverywhere(c *claim) bool {
	if len(c.ackedMemorySince) < len(d.upstreams) {
		return false
	}
	for name := range d.upstreams {
		if _, ok := c.ackedMemorySince[name]; !ok {
			return false
		}
	}
	return true
}

// startKnowledge says whether all earlier starts of a job's tasks are known.
type startKnowledge int

const (
	startsKnown startKnowledge = iota
	startsPending
	startsUnknown
)

// isAfterClaim reports whether a job was first submitted after the claim of
// its range took effect, so that no other entry can have been asked to run it.
func (d *Dispatcher) isAfterClaim(c *claim, submitted time.Time) bool {
	return !c.effectiveAt.IsZero() && !submitted.Before(c.effectiveAt.Add(d.config.Limits.ClockSkew))
}

// checkEarlierStarts returns whether every start of the job's tasks under
// earlier epochs is known: each upstream that may have run one has fenced the
// range, and its memory reaches back before the job's first submission.
func (d *Dispatcher) checkEarlierStarts(now time.Time, c *claim, j *Job) startKnowledge {
	if !c.reclaimAt.IsZero() {
		return startsPending
	}
	result := startsKnown
	if !d.isAnnouncementWaitOver(now) {
		result = startsPending
	}
	memoryNeededSince := j.Submitted.Add(-d.config.Limits.ClockSkew)
	for name, u := range d.upstreams {
		since, ok := c.ackedMemorySince[name]
		if !d.hasOffered(name, j.Service) && (ok || u.IsAnnounced()) {
			continue
		}
		switch {
		case !u.mayFence(), ok && since.After(memoryNeededSince):
			return startsUnknown
		case !ok && now.Before(c.claimedAt.Add(claimWait)):
			result = startsPending
		case !ok:
			return startsUnknown
		}
	}
	return result
}

func (u *Upstream) offers(service string) bool { return slices.Contains(u.Services, service) }

// noteServices adds the services of an announcement to those that incarnations of the upstream
// have offered.
func (d *Dispatcher) noteServices(u *Upstream) {
	for _, service := range u.Services {
		if !d.hasOffered(u.Name, service) {
			d.offeredServices[u.Name] = append(d.offeredServices[u.Name], service)
		}
	}
}

// hasOffered reports whether any known incarnation of an upstream, and so one that may have run an
// earlier start, has offered a service.
func (d *Dispatcher) hasOffered(upstream, service string) bool {
	return slices.Contains(d.offeredServices[upstream], service)
}
