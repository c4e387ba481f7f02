package holder

import (
	"time"
)

// HandleResult processes the response to a call.
func (h *Holder) HandleResult(now time.Time, r *CallResult, out *Effects) {
	h.out = out
	u := h.upstreams[r.Call.Upstream]
	if u == nil {
		return
	}
	if u.isOfLaterIncarnation(r) {
		h.handleRestart(now, u, u.unreported(r.Call.Address, r.StartedAt), "answer", now.Add(-r.Clock))
		if r.Call.Kind == StartCall {
			h.handleStartResult(now, u, r)
		}
		if u.phase == taking {
			h.sendHold(now, u, 0)
		}
		return
	}
	if !r.StartedAt.IsZero() && r.StartedAt.Before(u.StartedAt) {
		return
	}
	// Figures of a call that was sent before a restart are those of the former incarnation's
	// clock, whichever of the two has answered.
	isLocated := false
	if !r.Call.SentAt.Before(u.restartedAt) {
		u.settleLease(now, r)
		isLocated = u.fitsClock(now, r, h.config.Timing.ClockDrift)
		if isLocated && r.Clock > 0 {
			u.observeClock(now, r.Clock, h.config.Timing.ClockDrift)
			u.observeCeiling(now, r, h.config.Timing.ClockDrift)
		}
		if !isLocated {
			u.doubt(now)
		}
		if r.Status == CallOK && isLocated {
			u.confirmedLeaseEnd = max(u.confirmedLeaseEnd, r.Call.LeaseUntil)
		}
	}
	if r.Status != CallOtherIncarnation {
		h.observeSign(now, u, r, isLocated)
		h.observeAnswer(now, u, r)
	} else if r.Call.Address == u.Address && !r.Call.SentAt.Before(u.restartedAt) {
		// An answer from a former address, or to a call from before a restart, says nothing of
		// the current incarnation.
		h.handleReplacedUpstream(now, u)
		return
	}
	if r.Status == CallFenced {
		h.handleFencedCall(now, u, r)
	}
	switch r.Call.Kind {
	case StartCall:
		if run := u.runs[runKey{r.Call.Task, r.Call.Run}]; run != nil {
			run.isLocated = isLocated && r.Status == CallOK
		}
		h.handleStartResult(now, u, r)
	case StopCall:
		h.handleStopResult(now, u, r)
	case HoldCall:
		h.handleHoldResult(now, u, r)
	}
	if h.needsPlacement {
		h.placeTasks(now)
	}
}

// isOfLaterIncarnation reports whether a later incarnation than the known one has given an answer.
// The times of their starts are of the clocks of their hosts, but no former incarnation answers a
// call that was sent once the known one had been heard of.
func (u *trackedUpstream) isOfLaterIncarnation(r *CallResult) bool {
	if r.StartedAt.IsZero() || u.StartedAt.IsZero() || r.StartedAt.Equal(u.StartedAt) {
		return false
	}
	return r.StartedAt.After(u.StartedAt) || r.Call.SentAt.After(u.restartedAt)
}

// handleReplacedUpstream removes an upstream whose address another instance now uses.
func (h *Holder) handleReplacedUpstream(now time.Time, u *trackedUpstream) {
	h.removeUpstream(now, u, lossReplaced, "another incarnation answers at its address")
}

func (h *Holder) handleFencedCall(now time.Time, u *trackedUpstream, r *CallResult) {
	if r.Call.Token == u.token && u.phase != notHeld {
		h.loseHold(now, u)
	}
}

func (h *Holder) handleStartResult(now time.Time, u *trackedUpstream, result *CallResult) {
	if result.Status != CallUnanswered && result.Status != CallNotSent {
		h.startAnswerTime.observe(now.Sub(result.Call.SentAt))
	}
	r := u.runs[runKey{result.Call.Task, result.Call.Run}]
	if r == nil || r.state != starting && r.state != unanswered && r.state != unconfirmed {
		return
	}
	t := r.task
	switch result.Status {
	case CallOK:
		if r.state != unconfirmed {
			h.confirmStart(now, u, r)
		}
		return
	case CallUnanswered:
		if r.state == starting {
			h.handleUnansweredStart(now, u, r, result.Text)
		}
		return
	case CallInvalid:
		h.logDecision(Decision{Event: "start-invalid", Job: t.job.ID, Task: t.name, Run: r.number, Upstream: u.ID, Reason: result.Text, IsFault: true})
		u.removeRun(r)
		h.handleTaskFailure(now, u, r)
		return
	case CallUnhealthy, CallNotSent:
		u.failures++
		t.avoid = append(t.avoid, u.ID)
		if u.failures >= pauseAfterFailures || result.Status == CallNotSent {
			h.pause(now, u)
		}
	case CallNoCapacity:
		u.pausedUntil = now.Add(h.config.Timing.StopTime)
	case CallLeaseExpired:
		t.avoid = append(t.avoid, u.ID)
	}
	h.logDecision(Decision{Event: "start-refused", Job: t.job.ID, Task: t.name, Run: r.number, Upstream: u.ID, Reason: statusName(result.Status)})
	u.removeRun(r)
	h.requeueOrFinish(now, r)
}

func statusName(s CallStatus) string {
	switch s {
	case CallFenced:
		return "fenced"
	case CallRunNumberUsed:
		return "run number used"
	case CallLeaseExpired:
		return "lease has passed"
	case CallNoCapacity:
		return "no room"
	case CallUnhealthy:
		return "unhealthy"
	case CallNotSent:
		return "no connection"
	case CallOtherIncarnation:
		return "another upstream"
	}
	return "unanswered"
}

func (h *Holder) handleStopResult(now time.Time, u *trackedUpstream, result *CallResult) {
	r := u.runs[runKey{result.Call.Task, result.Call.Run}]
	if r == nil {
		return
	}
	r.stopPending = false
	if r.token < u.token && result.Call.Token < u.token {
		// It may have been confirmed by a former incarnation.
		return
	}
	if result.Status != CallOK {
		r.state = unconfirmed
		return
	}
	r.state = stopConfirmed
	r.confirmedAt = now
	if !u.holdPending || u.holdSentAt.Before(now) {
		u.holdRetryAt = time.Time{}
	}
	if u.phase != taking && !r.hasStarted {
		// A run that never started does not end, so a pending hold call won't report it.
		h.sendHold(now, u, 0)
	}
}

func (h *Holder) handleHoldResult(now time.Time, u *trackedUpstream, result *CallResult) {
	if result.Call.Token != u.token || u.phase == notHeld {
		return
	}
	isNewest := result.Call.SentAt.Equal(u.holdSentAt)
	if isNewest {
		u.holdPending = false
	}
	if result.Status != CallOK {
		// Where calls overlap, the newest one has no result yet.
		if isNewest || u.phase == active && !u.answeredAt.After(result.Call.SentAt) {
			h.handleHoldFailure(now, u, result)
		}
		return
	}
	h.needsPlacement = h.needsPlacement || u.isUnresponsive
	u.isUnresponsive, u.listedAt = false, now
	if !u.doubtedAt.IsZero() && !result.Call.SentAt.Before(u.doubtedAt) {
		u.doubtedAt, h.needsPlacement = time.Time{}, true
	}
	if u.fencedAt.IsZero() {
		u.fencedAt = now
	}
	u.ackedEnd = max(u.ackedEnd, result.Call.LastEnd)
	endedRuns := h.processEnds(now, u, result.Ended)
	h.reconcileRuns(now, u, result, endedRuns)
}

// handleHoldFailure ends a failed attempt to take an upstream. An upstream that is held
// gets no new runs until it responds again.
func (h *Holder) handleHoldFailure(now time.Time, u *trackedUpstream, result *CallResult) {
	h.logDecision(Decision{Event: "hold-failed", Upstream: u.ID, Reason: result.Text, IsFault: true})
	if u.phase == taking {
		h.setPhase(u, notHeld)
		u.holder, u.isUnresponsive = "", false
		u.failedTakes++
		u.takeAllowedAt = now.Add(takeRetryDelay)
		return
	}
	u.failedHolds++
	switch {
	case u.failedHolds < h.maxFailedHolds() || u.answeredAt.After(result.Call.SentAt):
		u.holdRetryAt = time.Time{}
	case u.isUnresponsive:
		u.holdRetryAt = now.Add(probeInterval)
	default:
		u.isUnresponsive = true
		u.holdRetryAt = now.Add(holdRetryDelay)
	}
}

// losingFailedHolds is the number of failed hold calls after which an upstream counts as
// unresponsive while calls are being lost. Otherwise it is one.
const losingFailedHolds = 3

// maxFailedHolds is the number of consecutive failed hold calls without any answer after
// which an upstream counts as unresponsive.
func (h *Holder) maxFailedHolds() int {
	if h.isLosingCalls() {
		return losingFailedHolds
	}
	return 1
}

const (
	// holdRetryDelay is the delay after a failed renewal; it is short enough for several
	// retries within a lease.
	holdRetryDelay = 20 * time.Millisecond
	// takeRetryDelay is the delay after a failed attempt to take an upstream; each attempt
	// opens a connection.
	takeRetryDelay = 300 * time.Millisecond
)

// processEnds handles the run ends that were not seen before, and returns all listed ones.
func (h *Holder) processEnds(now time.Time, u *trackedUpstream, ends []RunEnd) map[runKey]bool {
	ended := map[runKey]bool{}
	for _, e := range ends {
		key := runKey{e.Task, e.Run}
		ended[key] = true
		if e.Number <= u.lastEnd {
			continue
		}
		u.lastEnd = e.Number
		u.lastEndAt = now
		r := u.runs[key]
		if r == nil {
			continue
		}
		u.removeRun(r)
		h.needsPlacement = true
		h.handleRunEnd(now, u, r, e.How)
	}
	return ended
}

// maxStrayStops limits the unknown runs that are stopped for one list; the next lists show the rest.
const maxStrayStops = 64

// maxListedEnds is the maximum number of ended runs in one list.
const maxListedEnds = 500

// reconcileRuns stops listed runs that this VM doesn't know, and removes known ones
// that are no longer listed, unless an unknown run of the task has yet to stop. An upstream that is being taken becomes active once it
// lists no unknown run.
func (h *Holder) reconcileRuns(now time.Time, u *trackedUpstream, result *CallResult, ended map[runKey]bool) {
	present := map[runKey]bool{}
	unknownTasks := map[string]bool{}
	for _, s := range result.Running {
		key := runKey{s.Task, s.Run}
		present[key] = true
		r := u.runs[key]
		if r != nil {
			r.percent = s.Percent
			if !r.isListed {
				r.isListed = true
				// It was not on a former incarnation that has crashed.
				h.quarantine.Retract(r.task.name, u.ID, u.formerStartedAt)
			}
			if r.state == starting || r.state == unanswered {
				h.confirmStart(now, u, r)
			}
			continue
		}
		if ended[key] {
			continue
		}
		unknownTasks[s.Task] = true
		if len(unknownTasks) > maxStrayStops {
			continue
		}
		h.out.Calls = append(h.out.Calls, Call{
			Kind: StopCall, Upstream: u.ID, Address: u.Address, Token: u.token, Task: s.Task, Run: s.Run,
			Timeout: h.config.Timing.CallTimeout, SentAt: now,
		})
	}
	for key, r := range u.runs {
		event := r.eventIfUnlisted(result)
		if present[key] || event == "" || unknownTasks[key.task] {
			continue
		}
		h.logDecision(Decision{Event: event, Job: r.task.job.ID, Task: r.task.name, Run: r.number, Upstream: u.ID, Wait: now.Sub(r.sentAt)})
		u.removeRun(r)
		h.requeueOrFinish(now, r)
	}
	if u.phase != taking {
		return
	}
	// No lease is renewed while the upstream is taken: what is listed for longer does not run.
	if len(unknownTasks) > 0 && now.Sub(u.fencedAt) <= h.config.Timing.longestLease() {
		u.holdRetryAt = now.Add(h.config.Timing.StopTime)
		return
	}
	h.setPhase(u, active)
	h.needsPlacement = true
	h.logDecision(Decision{Event: "upstream-held", Upstream: u.ID})
	h.out.Notices = append(h.out.Notices, Notice{Upstream: u.Upstream, Holder: h.config.VM, Token: u.token})
}

// eventIfUnlisted returns the event by which a run goes that a list shows neither as running
// nor as ended, or "" if it may still be there or arrive.
func (r *run) eventIfUnlisted(list *CallResult) string {
	isWhole := len(list.Ended) < maxListedEnds
	isConfirmed := !r.confirmedAt.IsZero() && !r.confirmedAt.After(list.Call.SentAt)
	switch {
	case r.token < list.Call.Token && isWhole && r.hasStarted:
		return "run-vanished"
	case r.token < list.Call.Token && isWhole:
		// The upstream has refused the token of the start since it made this list.
		return "start-fenced"
	case r.state == unanswered && r.voidAfter > 0 && list.Clock > r.voidAfter && isWhole:
		return "start-void"
	case isConfirmed && (r.state == running || r.state == stopConfirmed) && r.token == list.Call.Token:
		return "run-vanished"
	}
	return ""
}

// handleRunEnd handles the end of a run that the upstream has listed.
func (h *Holder) handleRunEnd(now time.Time, u *trackedUpstream, r *run, how EndKind) {
	t := r.task
	switch how {
	case EndDone:
		u.failures = 0
		u.failureRate -= u.failureRate * failureRateGain
		u.updateSpeed(now, r)
		h.evacuator.ObserveRun(u.DataCentre, r.expected, now.Sub(r.sentAt))
		t.done = true
		t.job.tasksLeft--
		if t.job.tasksLeft == 0 && !t.job.abandoned {
			h.finish(now, t.job, Answer{Outcome: Completed})
			return
		}
		h.requeueOrFinish(now, r)
	case EndFailed:
		h.logDecision(Decision{
			Event: "run-failed", Job: t.job.ID, Task: t.name, Run: r.number, Upstream: u.ID, Wait: now.Sub(r.sentAt), IsFault: true,
		})
		if t.failures == 0 {
			u.failures++
			u.failureRate += (1 - u.failureRate) * failureRateGain
		}
		h.handleTaskFailure(now, u, r)
		if u.failures >= pauseAfterFailures {
			h.pause(now, u)
		}
	default:
		h.logDecision(Decision{
			Event: "run-ended-early", Job: t.job.ID, Task: t.name, Run: r.number, Upstream: u.ID, Reason: endName(how), Wait: now.Sub(r.sentAt),
		})
		h.requeueOrFinish(now, r)
	}
}

func endName(how EndKind) string {
	if how == EndLeaseExpired {
		return "lapsed"
	}
	return "stopped"
}

// handleTaskFailure counts a failed run, and fails the job once a task has used up its
// attempts.
func (h *Holder) handleTaskFailure(now time.Time, u *trackedUpstream, r *run) {
	t := r.task
	t.failures++
	t.avoid = append(t.avoid, u.ID)
	if t.failures >= t.job.MaxAttempts && !t.job.abandoned {
		h.logDecision(Decision{Event: "attempts-used-up", Job: t.job.ID, Request: t.job.Request, Task: t.name, Run: r.number, Upstream: u.ID, IsFault: true})
		h.abandonJob(now, t.job, Answer{Outcome: Failed, Reason: "a task has failed in each attempt"})
		return
	}
	h.requeueOrFinish(now, r)
}

// updateSpeed updates the upstream's speed with the ratio of a run's estimate to its
// actual time.
func (u *trackedUpstream) updateSpeed(now time.Time, r *run) {
	estimate := r.task.job.Steps[r.task.step].Estimate
	took := now.Sub(r.sentAt)
	if took <= 0 || estimate <= 0 {
		return
	}
	if rack := r.task.job.Steps[r.task.step].DataRack; rack != "" && rack != u.Rack {
		return
	}
	seen := min(max(float64(estimate)/float64(took), minSpeed), maxSpeed)
	u.speed = u.speed*(1-speedGain) + seen*speedGain
}
