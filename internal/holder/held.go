package holder

import (
	"time"
)

// held is an upstream and what this VM has there.
type held struct {
	Upstream
	// holder and token are of the VM that is known to hold the upstream.
	holder string
	token  uint64
	// refused is the token of this VM that was refused last.
	refused   uint64
	noticedAt time.Time
	heardAt   time.Time
	phase     phase
	retakeAt  time.Time
	// tombstoneAt is when the upstream left.
	tombstoneAt time.Time
	// takeTries counts the attempts to take the upstream that failed since it
	// was last heard at first hand.
	takeTries int
	used      Capacity
	runs      map[runKey]*run
	clock     clock
	// leaseEnd is the latest lease given, on the upstream's clock.
	leaseEnd          time.Duration
	lastEnd, ackedEnd uint64
	endsAt            time.Time
	holdOut           bool
	holdSentAt        time.Time
	holdRetryAt       time.Time
	// listedAt is when the upstream last told what runs there.
	listedAt time.Time
	// isSilent says that it left the last such call unanswered.
	isSilent bool
	speed    float64
	// failRate is the share of runs that failed lately.
	failRate    float64
	failures    int
	pausedUntil time.Time
}

type phase int

const (
	notHeld phase = iota
	taking
	active
	releasing
)

// clock is a lower bound of an upstream's steady clock.
type clock struct {
	base time.Duration
	at   time.Time
}

func (c clock) isKnown() bool { return !c.at.IsZero() }

// atLeast returns the least that the clock shows if it may run slow.
func (c clock) atLeast(now time.Time, drift float64) time.Duration {
	return c.base + time.Duration(float64(now.Sub(c.at))*(1-drift))
}

// observeClock keeps the reading that bounds the clock best.
func (u *held) observeClock(now time.Time, reading time.Duration) {
	if reading <= 0 {
		return
	}
	if !u.clock.isKnown() || reading >= u.clock.atLeast(now, DefaultTiming().ClockDrift) {
		u.clock = clock{base: reading, at: now}
	}
}

func (u *held) holderIfOurs(vm string) string {
	if u.phase == active || u.phase == releasing {
		return vm
	}
	return ""
}

// isUsable reports whether new runs may start there.
func (u *held) isUsable(now time.Time) bool {
	return u.phase == active && u.State == Ready && !now.Before(u.pausedUntil) && !u.isSilent && !u.hasDoubt(now)
}

// isAtHand reports whether new runs may start there now, or as soon as the call that
// takes it is answered.
func (u *held) isAtHand(now time.Time) bool {
	return u.isUsable(now) || u.phase == taking && u.State == Ready && u.takeTries == 0
}

// hasDoubt reports whether a run there goes on against our will, as stops of it
// are not confirmed. Then no lease is renewed, so that it ends with its lease.
func (u *held) hasDoubt(now time.Time) bool {
	for _, r := range u.runs {
		if r.state == doubtful && !r.doubtedAt.IsZero() && now.Sub(r.doubtedAt) > doubtLimit {
			return true
		}
	}
	return false
}

// hasLapsed reports whether all leases have surely ended.
func (u *held) hasLapsed(now time.Time, drift float64) bool {
	return u.clock.isKnown() && u.clock.atLeast(now, drift) > u.leaseEnd
}

// lease returns the end of a new lease on the upstream's clock.
func (h *Holder) lease(now time.Time, u *held) time.Duration {
	until := u.clock.atLeast(now, 0) + h.config.Timing.Lease
	u.leaseEnd = max(u.leaseEnd, until)
	return until
}

// hold lists runs and ends, acknowledges ends, and renews leases where there are
// runs that nobody doubts.
func (h *Holder) hold(now time.Time, u *held, wait time.Duration) {
	c := Call{
		Kind: HoldCall, Upstream: u.ID, Address: u.Address, Token: u.token, LastEnd: u.lastEnd,
		Wait: wait, Timeout: wait + h.config.Timing.CallTimeout, SentAt: now,
	}
	if u.phase != taking && len(u.runs) > 0 && u.clock.isKnown() && !u.hasDoubt(now) {
		c.LeaseUntil = h.lease(now, u)
	}
	u.holdOut, u.holdSentAt = true, now
	h.out.Calls = append(h.out.Calls, c)
}

// tend renews, acknowledges, stops what is stuck, and gives up what has lapsed.
func (h *Holder) tend(now time.Time, u *held) {
	if u.phase == notHeld && len(u.runs) == 0 {
		return
	}
	if u.phase == releasing && len(u.runs) == 0 && u.ackedEnd == u.lastEnd && !u.holdOut {
		h.release(now, u)
		return
	}
	if len(u.runs) > 0 && u.hasLapsed(now, h.config.Timing.ClockDrift) {
		h.decide(Decision{Event: "leases-lapsed", Upstream: u.ID, IsFault: true})
		h.pause(now, u)
		h.loseRuns(now, u)
	}
	if u.phase == notHeld {
		return
	}
	for _, r := range u.runs {
		h.tendRun(now, u, r)
	}
	if u.holdOut {
		h.askAgain(now, u)
		return
	}
	if now.Before(u.holdRetryAt) {
		return
	}
	switch {
	case u.phase == taking, u.isSilent:
		h.hold(now, u, 0)
	case u.hasStopping():
		h.hold(now, u, h.config.Timing.StopTime)
	case len(u.runs) > 0:
		h.hold(now, u, h.config.Timing.HoldWait)
	case u.lastEnd > u.ackedEnd && now.Sub(u.endsAt) >= endAckDelay:
		h.hold(now, u, 0)
	}
}

// askAgain lists the runs beside a call that waits, where what that call says may
// be out of date or lost.
func (h *Holder) askAgain(now time.Time, u *held) {
	if u.phase == taking {
		return
	}
	asked := now.Sub(u.holdSentAt)
	for _, r := range u.runs {
		isStopped := r.state == stopping && u.holdSentAt.Before(r.settled) && (!r.hasStarted || now.Sub(r.settled) > h.config.Timing.StopTime)
		due := r.sentAt.Add(time.Duration(float64(r.expected) * overdueFactor))
		isOverdue := r.state == running && now.After(due) && asked > overdueEvery
		if isStopped || isOverdue {
			h.hold(now, u, 0)
			return
		}
	}
}

func (u *held) hasStopping() bool {
	for _, r := range u.runs {
		if r.state == stopping || r.state == doubtful {
			return true
		}
	}
	return false
}

// tendRun repeats a stop that is not confirmed, and stops a run that is stuck.
func (h *Holder) tendRun(now time.Time, u *held, r *run) {
	limit := r.expected*stragglerFactor + stragglerSlack
	switch {
	case r.state == starting && h.isSteady && now.Sub(r.sentAt) > h.patience.limit():
		h.doubtStart(now, u, r, "no answer yet")
	case r.state == doubtful && !r.stopOut:
		h.stop(now, u, r)
	case r.state == running && !r.straggler && now.Sub(r.sentAt) > limit && now.Sub(u.listedAt) < freshness && !r.isProgressing(now):
		r.straggler = true
		u.slowDown(now, r)
		h.decide(Decision{
			Event: "run-stuck", Job: r.task.job.ID, Task: r.task.name, Run: r.number, Upstream: u.ID,
			Wait: now.Sub(r.sentAt), IsFault: true,
		})
		u.failures++
		h.pause(now, u)
		h.stop(now, u, r)
	}
}

// isProgressing reports whether the run will end soon by its share of work done.
func (r *run) isProgressing(now time.Time) bool {
	if r.percent <= 0 {
		return false
	}
	elapsed := now.Sub(r.sentAt)
	return elapsed*100/time.Duration(r.percent) < 2*elapsed
}

// doubtStart stops a run whose start is not answered: it may be carried out now or
// later, and its task goes elsewhere once the stop is confirmed.
func (h *Holder) doubtStart(now time.Time, u *held, r *run, text string) {
	r.state = doubtful
	h.decide(Decision{
		Event: "start-unanswered", Job: r.task.job.ID, Task: r.task.name, Run: r.number, Upstream: u.ID, Reason: text, IsFault: true,
	})
	u.failures++
	r.task.avoid = append(r.task.avoid, u.ID)
	if !r.stopOut && u.phase != notHeld {
		h.stop(now, u, r)
	}
}

// slowDown learns from a run that has not ended that the upstream is slow.
func (u *held) slowDown(now time.Time, r *run) {
	estimate := r.task.job.Steps[r.task.step].Estimate
	seen := float64(estimate) / float64(now.Sub(r.sentAt))
	u.speed = max(speedLeast, min(u.speed, (u.speed+seen)/2))
}

func (h *Holder) stop(now time.Time, u *held, r *run) {
	r.stopOut = true
	if r.doubtedAt.IsZero() {
		r.doubtedAt = now
	}
	h.out.Calls = append(h.out.Calls, Call{
		Kind: StopCall, Upstream: u.ID, Address: u.Address, Token: u.token, Task: r.task.name, Run: r.number,
		Timeout: h.config.Timing.CallTimeout, SentAt: now,
	})
}

// pause keeps new runs away from an upstream for a time that grows with the
// failures in a row. It is a limit on load, not a verdict.
func (h *Holder) pause(now time.Time, u *held) {
	d := pauseFirst
	for i := pauseAfter; i < u.failures && d < pauseMost; i++ {
		d *= 2
	}
	u.pausedUntil = now.Add(min(d, pauseMost))
	h.decide(Decision{Event: "upstream-paused", Upstream: u.ID, Wait: min(d, pauseMost), IsFault: true})
}

// free takes a run off an upstream.
func (u *held) free(r *run) {
	if _, ok := u.runs[r.key()]; !ok {
		return
	}
	delete(u.runs, r.key())
	u.used = u.used.minus(r.needs)
	if r.task.run == r {
		r.task.run = nil
	}
	r.task.job.runs--
}

// loseRuns gives up all runs of an upstream, which are surely gone.
func (h *Holder) loseRuns(now time.Time, u *held) {
	for _, r := range u.runs {
		u.free(r)
		h.afterRun(now, r)
	}
}
