package holder

import (
	"slices"
	"time"

	"bronzedrift.example/bronzedrift/internal/evacuator"
)

// trackedUpstream is a known upstream, whether held or not, with the runs that this
// VM has there.
type trackedUpstream struct {
	incarnation
	// holder is the VM known to hold the upstream, and token its fencing token.
	holder string
	token  uint64
	// refusedToken is this VM's latest token that the upstream refused.
	refusedToken    uint64
	noticedAt       time.Time
	lastHeartbeatAt time.Time
	phase           phase
	takeAllowedAt   time.Time
	// tombstoneAt is when the upstream left.
	tombstoneAt time.Time
	// failedTakes counts the failed attempts to take the upstream since its last
	// first-hand heartbeat.
	failedTakes int
	used        Capacity
	runs        map[runKey]*run
	// preferred is the VM that should hold the upstream, for preferredVersion of the peers.
	preferred        string
	preferredVersion int
	// mayHaveStops is false if no stop of one of the runs was requested.
	mayHaveStops bool
	// leaseEnd is the end, on the upstream's clock, of the latest lease that has reached the
	// upstream or may have. pendingLeases are those of calls without a result yet.
	leaseEnd      time.Duration
	pendingLeases []time.Duration
	// confirmedLeaseEnd is the end of the latest lease in a call that was answered.
	confirmedLeaseEnd time.Duration
	// formerLeasesEndAt is when the leases of calls to the former incarnation that the current
	// one may have carried out have certainly ended. They count on the former one's clock.
	formerLeasesEndAt time.Time
	// lastCallEndsAt is when the latest call that grants a lease has certainly ended, and
	// lastArrivalAt the latest time at which one of those with a result can have arrived.
	lastCallEndsAt, lastArrivalAt time.Time
	// restartedAt is when the latest restart was noticed, and formerStartedAt identifies the
	// incarnation before it.
	restartedAt, formerStartedAt time.Time
	// answeredAt is when a call was last answered, and failedHolds the number of hold calls
	// that failed since.
	answeredAt time.Time
	// aliveAt is when the known incarnation has last answered.
	aliveAt     time.Time
	failedHolds int
	holdPending bool
	holdSentAt  time.Time
	holdRetryAt time.Time
	// fencedAt is when the upstream first listed its runs under the token.
	fencedAt time.Time
	// isUnresponsive is set while the latest hold call has failed.
	isUnresponsive bool
	// doubtedAt is when it became doubtful that the known incarnation is the current one, zero once the
	// upstream has listed its runs since.
	doubtedAt time.Time
	// loss is the evidence since lostAt that the upstream has lost its runs, and firstSign
	// the first one.
	loss, firstSign lossKind
	lostAt          time.Time
	// refusedAt is when a connection was first refused since lostAt.
	refusedAt time.Time
	// isSignLate is set if this VM was paused before the first sign, and isLossTold once the
	// loss is recorded.
	isSignLate, isLossTold bool
	// isJudged is set once the loss has been judged, and crash if it was a crash.
	isJudged bool
	crash    *crash
	// departed are runs that were removed before the loss could be judged.
	departed []exposure
	// isIsolated is set while only suspects may run there, one at a time.
	isIsolated bool
	// access says which tasks may start there while the data centre is evacuated.
	access evacuator.Access
}

type phase int

const (
	notHeld phase = iota
	taking
	active
	releasing
	// departing: the upstream has announced its end, and its runs are stopped. No lease is renewed.
	departing
)

func (p phase) String() string {
	switch p {
	case notHeld:
		return "not held"
	case taking:
		return "taking"
	case active:
		return "active"
	case releasing:
		return "releasing"
	case departing:
		return "departing"
	}
	return ""
}

// clock is a lower bound of an upstream's monotonic clock.
type clock struct {
	base time.Duration
	at   time.Time
}

func (c clock) isKnown() bool { return !c.at.IsZero() }

// upperBound returns the highest possible reading of a clock that may run fast by drift against
// the one of this VM.
func (c clock) upperBound(now time.Time, drift float64) time.Duration {
	return c.base + time.Duration(float64(now.Sub(c.at))*(1+drift))
}

// lowerBound returns the lowest possible reading of a clock that may run slow by drift.
func (c clock) lowerBound(now time.Time, drift float64) time.Duration {
	return c.base + time.Duration(float64(now.Sub(c.at))*(1-drift))
}

// clockResolution is the resolution of the readings of an upstream's clock.
const clockResolution = time.Millisecond

// fitsClock reports whether an answer can come from the incarnation whose clock is known.
// Answers to starts and stops carry no start time; the clock of another incarnation has begun
// at another moment.
func (u *trackedUpstream) fitsClock(now time.Time, r *CallResult, drift float64) bool {
	if r.Clock <= 0 || !r.StartedAt.IsZero() {
		return true
	}
	if u.clock.isKnown() && r.Clock+clockResolution < u.clock.lowerBound(r.Call.SentAt, drift) {
		return false
	}
	return !u.clockCeiling.isKnown() || r.Clock-clockResolution <= u.clockCeiling.upperBound(now, drift)
}

// observeCeiling keeps the answer that gives the lowest upper bound: its reading was taken
// after the call was sent.
func (u *trackedUpstream) observeCeiling(now time.Time, r *CallResult, drift float64) {
	ceiling := clock{base: r.Clock, at: r.Call.SentAt}
	if !u.clockCeiling.isKnown() || ceiling.upperBound(now, drift) < u.clockCeiling.upperBound(now, drift) {
		u.clockCeiling = ceiling
	}
}

// observeClock keeps the reading that gives the highest lower bound.
func (u *trackedUpstream) observeClock(now time.Time, reading time.Duration, drift float64) {
	if reading <= 0 {
		return
	}
	if !u.clock.isKnown() || reading >= u.clock.lowerBound(now, drift) {
		u.clock = clock{base: reading, at: now}
	}
}

// isSilent reports whether nothing has come from the upstream for a time. An upstream whose
// heartbeats are late, or reach another VM, is alive while it answers calls.
func (u *trackedUpstream) isSilent(now time.Time, limit time.Duration) bool {
	return now.Sub(u.lastHeartbeatAt) > limit && now.Sub(u.answeredAt) > limit
}

func (u *trackedUpstream) holderIfHeld(vm string) string {
	if u.phase == active || u.phase == releasing {
		return vm
	}
	return ""
}

// isUsable reports whether runs of jobs that have not started yet may start there.
func (u *trackedUpstream) isUsable(now time.Time) bool {
	return u.access == evacuator.Open && u.isOperational(now)
}

// isOperational reports whether new runs may start there, evacuations aside.
func (u *trackedUpstream) isOperational(now time.Time) bool {
	return u.phase == active && u.State == Ready && !now.Before(u.pausedUntil) && !u.isUnresponsive && u.doubtedAt.IsZero() && !u.hasUnconfirmedStop(now)
}

// isUsableSoon reports whether new runs may start there now, or as soon as the
// pending call that takes the upstream is answered.
func (u *trackedUpstream) isUsableSoon(now time.Time) bool {
	return u.isUsable(now) || u.phase == taking && u.State == Ready && u.failedTakes == 0 && u.access == evacuator.Open
}

// hasUnconfirmedStop reports whether the stop of a run has gone unconfirmed for too
// long. No lease is renewed then, so that the run ends when its lease expires.
func (u *trackedUpstream) hasUnconfirmedStop(now time.Time) bool {
	if !u.mayHaveStops {
		return false
	}
	u.mayHaveStops = false
	for _, r := range u.runs {
		u.mayHaveStops = u.mayHaveStops || !r.stopRequestedAt.IsZero()
		if r.state == unconfirmed && !r.stopRequestedAt.IsZero() && now.Sub(r.stopRequestedAt) > stopConfirmLimit {
			return true
		}
	}
	return false
}

// lapsedRuns returns the runs whose leases have certainly ended.
func (u *trackedUpstream) lapsedRuns(now time.Time, t *Timing) []*run {
	if len(u.runs) == 0 || !u.knownLeasesExpired(now, t.ClockDrift) {
		return nil
	}
	var lapsed []*run
	for _, r := range u.runs {
		if !now.Before(u.otherLeasesEndAt(r, t)) {
			lapsed = append(lapsed, r)
		}
	}
	return lapsed
}

// knownLeasesExpired reports whether all leases that count on the known clock have ended.
func (u *trackedUpstream) knownLeasesExpired(now time.Time, drift float64) bool {
	end := u.leaseEnd
	for _, lease := range u.pendingLeases {
		end = max(end, lease)
	}
	if end == 0 && !u.formerLeasesEndAt.IsZero() {
		// The current incarnation has been granted no lease on its own clock.
		return true
	}
	return u.clock.isKnown() && u.clock.lowerBound(now, drift) > end
}

// otherLeasesEndAt returns when the leases have ended that a run may live on and that count on
// another clock than the known one: those of calls to a former incarnation, unless the run was
// started later, and those of calls to an incarnation that is not known here if the run may be
// on one.
func (u *trackedUpstream) otherLeasesEndAt(r *run, t *Timing) time.Time {
	isLocated := r.isListed || r.isLocated
	var end time.Time
	if r.token < u.token || !isLocated {
		end = u.formerLeasesEndAt
	}
	if isLocated {
		return end
	}
	arrival := u.lastArrivalAt
	if len(u.pendingLeases) > 0 && u.lastCallEndsAt.After(arrival) {
		arrival = u.lastCallEndsAt
	}
	if unlocated := arrival.Add(t.longestLease()); unlocated.After(end) {
		return unlocated
	}
	return end
}

// recordCall records that a call with a lease may reach the upstream until its timeout.
func (u *trackedUpstream) recordCall(c *Call) {
	if end := c.SentAt.Add(c.Timeout); c.LeaseUntil > 0 && end.After(u.lastCallEndsAt) {
		u.lastCallEndsAt = end
	}
}

// endFormerLeases replaces the leases, which count on the clock of an incarnation that has ended,
// by the time at which the next one has certainly ended the runs of calls to the former.
func (u *trackedUpstream) endFormerLeases(now time.Time, t *Timing) {
	u.leaseEnd, u.pendingLeases, u.confirmedLeaseEnd = 0, nil, 0
	u.formerLeasesEndAt = time.Time{}
	if len(u.runs) == 0 && !now.Before(u.lastCallEndsAt) {
		return
	}
	u.formerLeasesEndAt = now.Add(t.longestLease())
	if u.lastCallEndsAt.After(now) {
		u.formerLeasesEndAt = u.lastCallEndsAt.Add(t.longestLease())
	}
}

// settleLease records whether the lease of a call may have reached the upstream: a call that
// was not sent grants none.
func (u *trackedUpstream) settleLease(now time.Time, r *CallResult) {
	i := slices.Index(u.pendingLeases, r.Call.LeaseUntil)
	if i < 0 {
		return
	}
	u.pendingLeases = slices.Delete(u.pendingLeases, i, i+1)
	if r.Status != CallNotSent {
		u.leaseEnd = max(u.leaseEnd, r.Call.LeaseUntil)
		u.lastArrivalAt = now
	}
}

// extendLease records and returns the end of a new lease on the upstream's clock. It counts
// from the lowest possible reading, so that the lease never lasts longer than Timing.Lease.
func (h *Holder) extendLease(now time.Time, u *trackedUpstream) time.Duration {
	until := u.clock.lowerBound(now, h.config.Timing.ClockDrift) + h.config.Timing.Lease
	u.pendingLeases = append(u.pendingLeases, until)
	return until
}

// startLeaseTenths is the lease of a start in tenths of the wait for its answer, so that an
// unanswered start is void when the runs are listed, also if the upstream's clock runs slow.
const startLeaseTenths = 7

// grantStartLease returns the lease of a start and, if an unanswered start becomes void by
// itself, the reading of the upstream's clock after which it is. A start that is carried out
// after its lease is refused, so that a short lease makes a lost start harmless without a
// stop. The run lives on the lease of all runs, which must last until it is renewed.
func (h *Holder) grantStartLease(now time.Time, u *trackedUpstream) (lease, voidAfter time.Duration) {
	clock := u.clock.lowerBound(now, h.config.Timing.ClockDrift)
	if u.confirmedLeaseEnd-clock < h.config.Timing.Lease/2 {
		return h.extendLease(now, u), 0
	}
	lease = clock + h.startAnswerTime.timeout()*startLeaseTenths/10
	u.pendingLeases = append(u.pendingLeases, lease)
	return lease, lease
}

// sendHold asks for the lists of runs and ends, acknowledges ends, and renews the
// leases unless the stop of a run is overdue or the upstream has announced its end.
func (h *Holder) sendHold(now time.Time, u *trackedUpstream, wait time.Duration) {
	c := Call{
		Kind: HoldCall, Upstream: u.ID, Address: u.Address, Token: u.token, LastEnd: u.lastEnd,
		Wait: wait, Timeout: wait + max(h.config.Timing.CallTimeout, h.startAnswerTime.timeout()), SentAt: now,
	}
	if u.phase == active && (wait == 0 || h.isLosingCalls()) {
		c.Timeout = wait + h.startAnswerTime.timeout()
	}
	if u.phase != taking && u.phase != departing && u.clock.isKnown() && !u.hasUnconfirmedStop(now) {
		c.LeaseUntil = h.extendLease(now, u)
	}
	u.holdPending, u.holdSentAt = true, now
	u.recordCall(&c)
	h.out.Calls = append(h.out.Calls, c)
}

// maintainUpstreams maintains the held upstreams and the leftovers.
func (h *Holder) maintainUpstreams(now time.Time) {
	h.maintained = append(h.maintained[:0], h.lookHeld()...)
	for u := range h.leftovers {
		if u.phase != notHeld || len(u.runs) == 0 && u.crash == nil {
			delete(h.leftovers, u)
			continue
		}
		h.maintained = append(h.maintained, u)
	}
	for _, u := range h.maintained {
		h.maintainUpstream(now, u)
	}
}

// maintainUpstream renews leases, acknowledges ends, stops stuck runs and removes
// those whose leases have expired. An upstream that is being released is handed over
// once its last run has ended.
func (h *Holder) maintainUpstream(now time.Time, u *trackedUpstream) {
	h.excuseCrash(u)
	if u.phase == notHeld && len(u.runs) == 0 {
		return
	}
	if u.phase == departing && len(u.runs) == 0 {
		h.removeUpstream(now, u, lossLeft, "the upstream has left")
		return
	}
	h.tellSilence(now, u)
	if u.loss == lossRefused && now.Sub(u.refusedAt) >= lossSettle {
		h.judgeLoss(now, u, u.loss)
	}
	if u.phase == releasing && len(u.runs) == 0 && u.ackedEnd == u.lastEnd && !u.holdPending {
		h.release(now, u)
		return
	}
	if lapsed := u.lapsedRuns(now, &h.config.Timing); len(lapsed) > 0 {
		h.logDecision(Decision{Event: "leases-lapsed", Upstream: u.ID, IsFault: true})
		h.pause(now, u)
		u.keepExposures(lapsed)
		kind := u.loss
		if u.State == Gone {
			kind = lossLeft
		}
		for _, r := range lapsed {
			h.removeLostRun(now, u, r, kind)
		}
	}
	if u.phase == notHeld {
		return
	}
	for _, r := range u.runs {
		h.maintainRun(now, u, r)
	}
	if u.holdPending && u.phase == taking && now.Sub(u.restartedAt) < maxFencing && h.readUntil.Sub(u.holdSentAt) >= h.startAnswerTime.timeout() {
		h.sendHold(now, u, 0)
		return
	}
	if u.phase == active && u.holdSentAt.Before(u.doubtedAt) {
		h.sendHold(now, u, 0)
		return
	}
	if u.holdPending && u.phase == active && !u.isUnresponsive && h.isLosingCalls() && len(u.runs) > 0 && now.Sub(u.holdSentAt) >= losingHoldInterval {
		h.sendHold(now, u, h.holdWait())
		return
	}
	if u.holdPending {
		h.relistOverdueRuns(now, u)
		return
	}
	if now.Before(u.holdRetryAt) {
		return
	}
	switch {
	case u.phase == taking, u.isUnresponsive, !u.doubtedAt.IsZero():
		h.sendHold(now, u, 0)
	case u.hasStoppingRun():
		h.sendHold(now, u, h.config.Timing.StopTime)
	case len(u.runs) > 0:
		h.sendHold(now, u, h.holdWait())
	case u.lastEnd > u.ackedEnd && now.Sub(u.lastEndAt) >= endAckDelay:
		h.sendHold(now, u, 0)
	}
}

// observeAnswer updates the share of calls that were lost: left unanswered by an upstream
// that has answered another call within recentAnswer.
func (h *Holder) observeAnswer(now time.Time, u *trackedUpstream, r *CallResult) {
	lost := 0.0
	switch r.Status {
	case CallNotSent:
		return
	case CallUnanswered:
		if now.Sub(u.answeredAt) > recentAnswer {
			return
		}
		lost = 1
	default:
		u.answeredAt, u.failedHolds = now, 0
	}
	h.lostShare += (lost - h.lostShare) * lostShareGain
}

const (
	// lostShareGain is the weight of the newest call in the share of lost calls.
	lostShareGain = 1.0 / 64
	// recentAnswer is the age of the latest answer of an upstream up to which its unanswered
	// calls count as lost. An upstream that has not answered for longer is out of reach.
	recentAnswer = 400 * time.Millisecond
	// losingShare is the share of lost calls above which ends of runs are asked for more
	// often, since the call that would report them may be lost.
	losingShare = 0.02
	// losingHoldDivisor shortens Timing.HoldWait while calls are lost.
	losingHoldDivisor = 2
	// losingHoldInterval is the interval between hold calls while calls are lost.
	losingHoldInterval = 30 * time.Millisecond
)

// isLosingCalls reports whether calls are being lost. A VM that is behind with its work may
// read answers too late, and must not add to that work.
func (h *Holder) isLosingCalls() bool { return h.lostShare > losingShare && h.tickedOnTime }

// holdWait is how long an upstream may hold a call open for a run to end.
func (h *Holder) holdWait() time.Duration {
	if h.isLosingCalls() {
		return h.config.Timing.HoldWait / losingHoldDivisor
	}
	return h.config.Timing.HoldWait
}

// relistOverdueRuns sends a second hold call while one is pending. The pending one may be
// lost if a run is overdue, or may miss a stop that was confirmed after it was sent. Calls to an
// upstream that does not answer must not overlap: each may renew the leases.
func (h *Holder) relistOverdueRuns(now time.Time, u *trackedUpstream) {
	if u.phase == taking || u.isUnresponsive {
		return
	}
	sinceHold := h.readUntil.Sub(u.holdSentAt)
	for _, r := range u.runs {
		isStopped := r.state == stopConfirmed && u.holdSentAt.Before(r.confirmedAt) && (!r.hasStarted || now.Sub(r.confirmedAt) > h.config.Timing.StopTime)
		due := r.sentAt.Add(time.Duration(float64(r.expected) * overdueFactor))
		isOverdue := r.state == running && h.readUntil.After(due) && sinceHold > overdueInterval
		if isStopped || isOverdue {
			h.sendHold(now, u, 0)
			return
		}
	}
}

func (u *trackedUpstream) hasStoppingRun() bool {
	for _, r := range u.runs {
		if r.state == stopConfirmed || r.state == unconfirmed {
			return true
		}
	}
	return false
}

// maintainRun repeats a stop that is not confirmed, and stops a run that is stuck or
// whose start has gone unanswered for too long.
func (h *Holder) maintainRun(now time.Time, u *trackedUpstream, r *run) {
	limit := r.expected*stuckFactor + stuckSlack
	switch {
	case r.state == starting && h.tickedOnTime && h.readUntil.Sub(r.sentAt) > h.startAnswerTime.timeout():
		h.handleUnansweredStart(now, u, r, "no answer yet")
	case r.state == unanswered && h.readUntil.Sub(u.holdSentAt) >= h.listInterval(u):
		h.sendHold(now, u, 0)
	case r.state == unconfirmed && !u.mayStop(r) && u.holdSentAt.Before(u.lostAt):
		// An answer tells whether it has restarted. The pending hold call may wait for long.
		h.sendHold(now, u, 0)
	case r.state == unconfirmed && !r.stopPending && u.mayStop(r):
		h.sendStop(now, u, r)
	case r.state == running && !r.isStuck && now.Sub(r.sentAt) > limit && now.Sub(u.listedAt) < maxListAge && !r.isProgressing(now):
		r.isStuck = true
		u.lowerSpeed(now, r)
		h.logDecision(Decision{
			Event: "run-stuck", Job: r.task.job.ID, Task: r.task.name, Run: r.number, Upstream: u.ID,
			Wait: now.Sub(r.sentAt), IsFault: true,
		})
		u.failures++
		h.pause(now, u)
		h.sendStop(now, u, r)
	}
}

// isProgressing reports whether the total run time, projected from the reported
// progress, is less than twice the time that the run has taken so far.
func (r *run) isProgressing(now time.Time) bool {
	if r.percent <= 0 {
		return false
	}
	elapsed := now.Sub(r.sentAt)
	return elapsed*100/time.Duration(r.percent) < 2*elapsed
}

// handleUnansweredStart asks for the list of runs if the start becomes void by itself, and
// stops the run otherwise. The start may still take effect, so the task moves to another
// upstream only once it is known not to.
func (h *Holder) handleUnansweredStart(now time.Time, u *trackedUpstream, r *run, text string) {
	h.logDecision(Decision{
		Event: "start-unanswered", Job: r.task.job.ID, Task: r.task.name, Run: r.number, Upstream: u.ID, Reason: text, IsFault: true,
	})
	r.task.avoid = append(r.task.avoid, u.ID)
	if r.voidAfter > 0 && u.phase != notHeld {
		r.state = unanswered
		h.sendHold(now, u, 0)
		return
	}
	if u.phase == notHeld {
		r.state = unconfirmed
		return
	}
	h.stopRun(now, u, r)
}

// mayStop reports whether a run whose start is not answered may be stopped. Once a connection
// has ended, the next incarnation may run it, and the list of runs tells that first.
func (u *trackedUpstream) mayStop(r *run) bool { return r.discarded || u.loss < lossEnded }

// listInterval is the interval between lists of runs while a start is unanswered.
func (h *Holder) listInterval(u *trackedUpstream) time.Duration {
	if u.isUnresponsive {
		return probeInterval
	}
	return h.startAnswerTime.timeout()
}

// confirmStart records that a start has taken effect. A run that its job no longer needs, or whose
// upstream has announced its end, is stopped.
func (h *Holder) confirmStart(now time.Time, u *trackedUpstream, r *run) {
	r.state, r.confirmedAt, r.hasStarted = running, now, true
	if r.discarded && !r.stopPending || u.phase == departing {
		h.stopRun(now, u, r)
	}
}

// lowerSpeed lowers the upstream's estimated speed for a run that takes too long.
func (u *trackedUpstream) lowerSpeed(now time.Time, r *run) {
	estimate := r.task.job.Steps[r.task.step].Estimate
	seen := float64(estimate) / float64(now.Sub(r.sentAt))
	u.speed = max(minSpeed, min(u.speed, (u.speed+seen)/2))
}

func (h *Holder) sendStop(now time.Time, u *trackedUpstream, r *run) {
	r.stopPending, u.mayHaveStops = true, true
	if r.stopRequestedAt.IsZero() {
		r.stopRequestedAt = now
	}
	h.out.Calls = append(h.out.Calls, Call{
		Kind: StopCall, Upstream: u.ID, Address: u.Address, Token: u.token, Task: r.task.name, Run: r.number,
		Timeout: h.startAnswerTime.timeout(), SentAt: now,
	})
}

// pause keeps new runs off an upstream for a time that doubles with consecutive
// failures. It limits load and doesn't mean that the upstream is down.
func (h *Holder) pause(now time.Time, u *trackedUpstream) {
	d := minPause
	for i := pauseAfterFailures; i < u.failures && d < maxPause; i++ {
		d *= 2
	}
	u.pausedUntil = now.Add(min(d, maxPause))
	h.logDecision(Decision{Event: "upstream-paused", Upstream: u.ID, Wait: min(d, maxPause), IsFault: true})
}

// removeRun removes a run from an upstream and frees its capacity.
func (u *trackedUpstream) removeRun(r *run) {
	if _, ok := u.runs[r.key()]; !ok {
		return
	}
	delete(u.runs, r.key())
	u.used = u.used.minus(r.needs)
	if r.task.run == r {
		r.task.run = nil
	}
	r.task.job.runCount--
}
