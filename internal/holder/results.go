package holder

import (
	"time"
)

// Result takes the answer to a call.
func (h *Holder) Result(now time.Time, r *CallResult, out *Effects) {
	h.out = out
	u := h.upstreams[r.Call.Upstream]
	if u == nil {
		return
	}
	if r.Born.After(u.Born) && !u.Born.IsZero() {
		h.reborn(now, u)
		u.Born = r.Born
		return
	}
	if !r.Born.IsZero() && r.Born.Before(u.Born) {
		return
	}
	if r.Clock > 0 {
		u.observeClock(now, r.Clock)
	}
	if r.Status == CallOtherLife {
		h.otherLife(now, u)
		return
	}
	if r.Status == CallFenced {
		h.fencedCall(now, u, r)
	}
	switch r.Call.Kind {
	case StartCall:
		h.startResult(now, u, r)
	case StopCall:
		h.stopResult(now, u, r)
	case HoldCall:
		h.holdResult(now, u, r)
	}
	if h.isPlacing {
		h.place(now)
	}
}

// otherLife drops an upstream whose address belongs to another one by now.
func (h *Holder) otherLife(now time.Time, u *held) {
	h.drop(now, u, "another life answers at its address")
}

func (h *Holder) fencedCall(now time.Time, u *held, r *CallResult) {
	if r.Call.Token == u.token && u.phase != notHeld {
		h.fenced(now, u)
	}
}

func (h *Holder) startResult(now time.Time, u *held, result *CallResult) {
	if result.Status != CallUnanswered && result.Status != CallNotSent {
		h.patience.observe(now.Sub(result.Call.SentAt))
	}
	r := u.runs[runKey{result.Call.Task, result.Call.Run}]
	if r == nil || r.state != starting && r.state != doubtful {
		return
	}
	t := r.task
	switch result.Status {
	case CallOK:
		if r.state == starting {
			r.state = running
			r.settled = now
			r.hasStarted = true
		}
		if r.discarded && !r.stopOut {
			r.state = doubtful
			h.stop(now, u, r)
		}
		return
	case CallUnanswered:
		if r.state == starting {
			h.doubtStart(now, u, r, result.Text)
		}
		return
	case CallInvalid:
		h.decide(Decision{Event: "start-invalid", Job: t.job.ID, Task: t.name, Run: r.number, Upstream: u.ID, Reason: result.Text, IsFault: true})
		u.free(r)
		h.taskFailed(now, u, r)
		return
	case CallUnhealthy, CallNotSent:
		u.failures++
		t.avoid = append(t.avoid, u.ID)
		if u.failures >= pauseAfter || result.Status == CallNotSent {
			h.pause(now, u)
		}
	case CallNoRoom, CallLate:
		u.pausedUntil = now.Add(h.config.Timing.StopTime)
	}
	h.decide(Decision{Event: "start-refused", Job: t.job.ID, Task: t.name, Run: r.number, Upstream: u.ID, Reason: statusName(result.Status)})
	u.free(r)
	h.afterRun(now, r)
}

func statusName(s CallStatus) string {
	switch s {
	case CallFenced:
		return "fenced"
	case CallOld:
		return "run number used"
	case CallLate:
		return "lease has passed"
	case CallNoRoom:
		return "no room"
	case CallUnhealthy:
		return "unhealthy"
	case CallNotSent:
		return "no connection"
	}
	return "unanswered"
}

func (h *Holder) stopResult(now time.Time, u *held, result *CallResult) {
	r := u.runs[runKey{result.Call.Task, result.Call.Run}]
	if r == nil {
		return
	}
	r.stopOut = false
	if result.Status != CallOK {
		r.state = doubtful
		return
	}
	r.state = stopping
	r.settled = now
	if !u.holdOut || u.holdSentAt.Before(now) {
		u.holdRetryAt = time.Time{}
	}
	if u.phase != taking && !r.hasStarted {
		// A run that was never there does not end, so that no waiting call tells.
		h.hold(now, u, 0)
	}
}

func (h *Holder) holdResult(now time.Time, u *held, result *CallResult) {
	if result.Call.Token != u.token || u.phase == notHeld {
		return
	}
	isNewest := result.Call.SentAt.Equal(u.holdSentAt)
	if isNewest {
		u.holdOut = false
	}
	if result.Status != CallOK {
		if isNewest {
			h.holdFailed(now, u, result)
		}
		return
	}
	h.isPlacing = h.isPlacing || u.isSilent
	u.isSilent, u.listedAt = false, now
	u.ackedEnd = max(u.ackedEnd, result.Call.LastEnd)
	ended := h.takeEnds(now, u, result.Ended)
	h.takeRunning(now, u, result, ended)
}

// holdFailed keeps new runs away until the upstream answers again.
func (h *Holder) holdFailed(now time.Time, u *held, result *CallResult) {
	h.decide(Decision{Event: "hold-failed", Upstream: u.ID, Reason: result.Text, IsFault: true})
	if u.phase == taking {
		u.phase, u.holder, u.isSilent = notHeld, "", false
		u.takeTries++
		u.retakeAt = now.Add(takeRetry)
		return
	}
	u.holdRetryAt = now.Add(holdRetry)
	if u.isSilent {
		u.holdRetryAt = now.Add(probeEvery)
	}
	u.isSilent = true
}

const (
	// holdRetry is the pause after a failed renewal: a lease outlasts several.
	holdRetry = 20 * time.Millisecond
	// takeRetry is the pause after a failed attempt to take an upstream, which
	// opens a connection each time.
	takeRetry = 300 * time.Millisecond
)

// takeEnds handles the ends that were not seen before.
func (h *Holder) takeEnds(now time.Time, u *held, ends []RunEnd) map[runKey]bool {
	ended := map[runKey]bool{}
	for _, e := range ends {
		key := runKey{e.Task, e.Run}
		ended[key] = true
		if e.Number <= u.lastEnd {
			continue
		}
		u.lastEnd = e.Number
		u.endsAt = now
		r := u.runs[key]
		if r == nil {
			continue
		}
		u.free(r)
		h.isPlacing = true
		h.runEnded(now, u, r, e.How)
	}
	return ended
}

// takeRunning compares what runs with what should.
func (h *Holder) takeRunning(now time.Time, u *held, result *CallResult, ended map[runKey]bool) {
	present := map[runKey]bool{}
	strangers := 0
	for _, s := range result.Running {
		key := runKey{s.Task, s.Run}
		present[key] = true
		r := u.runs[key]
		if r != nil {
			r.percent = s.Percent
			continue
		}
		if ended[key] {
			continue
		}
		strangers++
		h.out.Calls = append(h.out.Calls, Call{
			Kind: StopCall, Upstream: u.ID, Address: u.Address, Token: u.token, Task: s.Task, Run: s.Run,
			Timeout: h.config.Timing.CallTimeout, SentAt: now,
		})
	}
	for key, r := range u.runs {
		isSettled := !r.settled.IsZero() && !r.settled.After(result.Call.SentAt)
		if present[key] || !isSettled || r.state == starting || r.state == doubtful {
			continue
		}
		h.decide(Decision{Event: "run-vanished", Job: r.task.job.ID, Task: r.task.name, Run: r.number, Upstream: u.ID})
		u.free(r)
		h.afterRun(now, r)
	}
	if u.phase != taking {
		return
	}
	if strangers > 0 {
		u.holdRetryAt = now.Add(h.config.Timing.StopTime)
		return
	}
	u.phase = active
	h.isPlacing = true
	h.decide(Decision{Event: "upstream-held", Upstream: u.ID})
	h.out.Notices = append(h.out.Notices, Notice{Upstream: u.Upstream, Holder: h.config.VM, Token: u.token})
}

// runEnded handles the end of a run that the upstream has listed.
func (h *Holder) runEnded(now time.Time, u *held, r *run, how EndKind) {
	t := r.task
	switch how {
	case EndDone:
		u.failures = 0
		u.failRate -= u.failRate * failGain
		u.learnSpeed(now, r)
		t.done = true
		t.job.left--
		if t.job.left == 0 && !t.job.stopping {
			h.finish(now, t.job, Answer{Outcome: Completed})
			return
		}
		h.afterRun(now, r)
	case EndFailed:
		h.decide(Decision{
			Event: "run-failed", Job: t.job.ID, Task: t.name, Run: r.number, Upstream: u.ID, Wait: now.Sub(r.sentAt), IsFault: true,
		})
		if t.failures == 0 {
			u.failures++
			u.failRate += (1 - u.failRate) * failGain
		}
		h.taskFailed(now, u, r)
		if u.failures >= pauseAfter {
			h.pause(now, u)
		}
	default:
		h.decide(Decision{
			Event: "run-ended-early", Job: t.job.ID, Task: t.name, Run: r.number, Upstream: u.ID, Reason: endName(how), Wait: now.Sub(r.sentAt),
		})
		h.afterRun(now, r)
	}
}

func endName(how EndKind) string {
	if how == EndLapsed {
		return "lapsed"
	}
	return "stopped"
}

// taskFailed counts a failed run, after which the task or its job may be given up.
func (h *Holder) taskFailed(now time.Time, u *held, r *run) {
	t := r.task
	t.failures++
	t.avoid = append(t.avoid, u.ID)
	if t.failures >= t.job.MaxAttempts && !t.job.stopping {
		h.decide(Decision{Event: "attempts-used-up", Job: t.job.ID, Request: t.job.Request, Task: t.name, Run: r.number, Upstream: u.ID, IsFault: true})
		h.giveUp(now, t.job, Answer{Outcome: Failed, Reason: "a task has failed in each attempt"})
		return
	}
	h.afterRun(now, r)
}

// learnSpeed compares a run's time with its estimate.
func (u *held) learnSpeed(now time.Time, r *run) {
	estimate := r.task.job.Steps[r.task.step].Estimate
	took := now.Sub(r.sentAt)
	if took <= 0 || estimate <= 0 {
		return
	}
	if rack := r.task.job.Steps[r.task.step].DataRack; rack != "" && rack != u.Rack {
		return
	}
	seen := min(max(float64(estimate)/float64(took), speedLeast), speedMost)
	u.speed = u.speed*(1-speedGain) + seen*speedGain
}
