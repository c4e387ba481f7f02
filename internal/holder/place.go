package holder

import (
	"math"
	"slices"
	"time"

	"bronzedrift.example/bronzedrift/internal/evacuator"
)

// placeTasks starts waiting tasks as far as capacity allows. Started jobs precede others;
// among equals, jobs that can still be on time precede late ones, then urgent jobs the
// less urgent, then those with the earlier latest start.
func (h *Holder) placeTasks(now time.Time) {
	h.updateHotKinds()
	h.isolateUpstreams(now)
	h.beginReservations(now)
	if len(h.queue) == 0 {
		return
	}
	h.needsPlacement = false
	slices.SortStableFunc(h.queue, func(a, b *job) int { return comparePrecedence(now, a, b) })
	remaining := h.queue[:0:0]
	unplaced := unplaceable{}
	for i, j := range h.queue {
		if i >= maxQueueScan {
			remaining = append(remaining, h.queue[i:]...)
			break
		}
		if !h.placeJob(now, j, unplaced) {
			remaining = append(remaining, j)
		}
	}
	h.queue = remaining
}

// comparePrecedence is negative if the tasks of a are placed before those of b.
func comparePrecedence(now time.Time, a, b *job) int {
	switch aLate, bLate := a.latestStart.Before(now), b.latestStart.Before(now); {
	case a.started != b.started:
		return compareFlag(a.started)
	case aLate != bLate:
		return compareFlag(bLate)
	case a.IsUrgent() != b.IsUrgent():
		return compareFlag(a.IsUrgent())
	}
	return a.latestStart.Compare(b.latestStart)
}

// compareFlag is the result of a comparison in which the one that has a flag comes first.
func compareFlag(isOfA bool) int {
	if isOfA {
		return -1
	}
	return 1
}

// unplaceable holds, by service and label, the latest needs in a round for which no
// upstream had the capacity. Tasks that need as much or more are not tried again.
type unplaceable map[taskClass]Capacity

type taskClass struct{ service, label string }

// excludes reports whether the tasks of a step can't be placed either.
func (u unplaceable) excludes(j *job, step *Step) bool {
	least, ok := u[taskClass{j.Service, step.Label}]
	return ok && least.fitsIn(step.Needs)
}

// placeJob starts the startable tasks of a job and reports whether no task is left waiting
// for capacity or for an earlier step.
func (h *Holder) placeJob(now time.Time, j *job, unplaced unplaceable) bool {
	isWaiting := false
	j.eachStartableTask(func(t *task) bool {
		if h.quarantine.IsSuspect(t.name) {
			u := h.chooseIsolated(now, t)
			if u == nil || !h.mayTrySuspect(now, t) {
				isWaiting = true
				return true
			}
			h.startTask(now, u, t)
			h.idleIsolated--
			if h.quarantine.IsProbable(t.name) {
				h.probableBusy[j.Service]++
			}
			return true
		}
		step := &j.Steps[t.step]
		if unplaced.excludes(j, step) {
			isWaiting = true
			h.reserve(now, t, step)
			return false
		}
		u, isFull := h.chooseUpstream(now, t)
		if u == nil {
			isWaiting = true
			if isFull {
				unplaced[taskClass{j.Service, step.Label}] = step.Needs
				h.reserve(now, t, step)
			}
			return false
		}
		h.startTask(now, u, t)
		return true
	})
	if isWaiting {
		h.evacuator.NoteShortage()
	}
	return !isWaiting && !j.hasBlockedStep()
}

// hasBlockedStep reports whether a step waits for an earlier one.
func (j *job) hasBlockedStep() bool {
	for s := range j.steps {
		if !j.isStepReady(s) {
			return true
		}
	}
	return false
}

// chooseUpstream returns the upstream on which a task is expected to end first. One of a hot
// kind gets the least valuable upstream on which it is on time, and others avoid such ones.
// It returns nil if the task has to wait; isFull is set if no upstream has the capacity.
// Equal ones are taken in turn: the loss of an upstream shows only where something runs, and
// losses that few upstreams show are not known to have a common cause.
func (h *Holder) chooseUpstream(now time.Time, t *task) (best *trackedUpstream, isFull bool) {
	var bestRank placeRank
	isFull = true
	step := &t.job.Steps[t.step]
	held := h.lookHeld()
	h.firstChoice++
	for i := range held {
		u := held[(h.firstChoice+i)%len(held)]
		if u.isIsolated || !u.hasCapacity(now, t.job, step) {
			continue
		}
		isFull = false
		if !h.mayRun(u, t, step) || !h.leavesReservation(now, u, t, step) {
			continue
		}
		rank := h.rank(now, u, t, step)
		if best == nil || rank.isBetterThan(&bestRank) {
			best, bestRank = u, rank
		}
	}
	if best != nil && h.isWorthWaiting(now, t, step, bestRank.end) {
		return nil, false
	}
	return best, isFull
}

// placeRank ranks an upstream for a task. The fields count in their order.
type placeRank struct {
	// isRisky is set for an upstream with tasks of a hot kind, unless the task is of one too.
	isRisky bool
	// isLate and value are used for tasks of a hot kind alone.
	isLate bool
	value  float64
	end    time.Duration
	left   int64
}

func (h *Holder) rank(now time.Time, u *trackedUpstream, t *task, s *Step) placeRank {
	r := placeRank{end: h.penalizedRunTime(u, t, s), left: u.coresLeft(s)}
	if h.isHot(t.job.Route) {
		r.isLate = r.end > t.job.arrivedAt.Add(t.job.Objective).Sub(now)
		if !r.isLate {
			r.value = u.value()
		}
		return r
	}
	r.isRisky = h.runsHot(u)
	return r
}

func (r *placeRank) isBetterThan(o *placeRank) bool {
	switch {
	case r.isRisky != o.isRisky:
		return o.isRisky
	case r.isLate != o.isLate:
		return o.isLate
	case r.value != o.value:
		return r.value < o.value
	case r.end != o.end:
		return r.end < o.end
	}
	return r.left < o.left
}

// penalizedRunTime is the expected run time, with a penalty if the task has already
// failed on the upstream.
func (h *Holder) penalizedRunTime(u *trackedUpstream, t *task, s *Step) time.Duration {
	end := h.expectedRunTime(u, s)
	if slices.Contains(t.avoid, u.ID) {
		end *= avoidPenalty
	}
	return end
}

// isWorthWaiting reports whether a task that would miss its objective on the best free
// upstream is expected to meet it on one where capacity will be free soon.
func (h *Holder) isWorthWaiting(now time.Time, t *task, s *Step, bestEnd time.Duration) bool {
	left := t.job.arrivedAt.Add(t.job.Objective).Sub(now)
	if bestEnd <= left || h.bestRunTime(t, s) > left {
		return false
	}
	for _, u := range h.lookHeld() {
		if u.Service != t.job.Service || !u.isOperational(now) || !u.admits(t.job) || !u.hasLabel(s.Label) {
			continue
		}
		wait, ok := u.nextSlotIn(now, s)
		if ok && wait+h.penalizedRunTime(u, t, s) <= left {
			return true
		}
	}
	return false
}

// bestRunTime is the shortest expected run time of a task on any held upstream.
func (h *Holder) bestRunTime(t *task, s *Step) time.Duration {
	best := time.Duration(math.MaxInt64)
	for _, u := range h.lookHeld() {
		if u.phase == active && u.Service == t.job.Service && u.admits(t.job) {
			best = min(best, h.penalizedRunTime(u, t, s))
		}
	}
	return best
}

// nextSlotIn is the expected time until a run ends that frees enough capacity for a
// task. Overdue runs are ignored, since their end can't be predicted.
func (u *trackedUpstream) nextSlotIn(now time.Time, s *Step) (time.Duration, bool) {
	free := u.Capacity.minus(u.used)
	best, found := time.Duration(0), false
	for _, r := range u.runs {
		wait := r.sentAt.Add(r.expected).Sub(now)
		if wait < 0 || !s.Needs.fitsIn(free.plus(r.needs)) {
			continue
		}
		if !found || wait < best {
			best, found = wait, true
		}
	}
	return best, found
}

// lastAttemptFailureRate is the failure rate above which an upstream is not given the
// last attempt of a task: waiting a little for another one is better.
const lastAttemptFailureRate = 0.1

// avoidPenalty multiplies the expected run time on an upstream where the task has failed.
const avoidPenalty = 4

func (u *trackedUpstream) coresLeft(s *Step) int64 {
	return u.Capacity.MilliCores - u.used.MilliCores - s.Needs.MilliCores
}

func (u *trackedUpstream) hasCapacity(now time.Time, j *job, s *Step) bool {
	return u.Service == j.Service && u.used.plus(s.Needs).fitsIn(u.Capacity) && u.isOperational(now) && u.admits(j) && u.hasLabel(s.Label)
}

// mayRun reports whether an upstream with free capacity may be given a task. One with
// pauseAfterFailures or more consecutive failures is given one run at a time.
func (h *Holder) mayRun(u *trackedUpstream, t *task, s *Step) bool {
	if u.failures >= pauseAfterFailures && len(u.runs) > 0 {
		return false
	}
	if t.failures > 0 && t.failures+1 >= t.job.MaxAttempts && u.failureRate > lastAttemptFailureRate {
		return false
	}
	return s.PerUpstream == 0 || u.runsOfStep(t.job, t.step) < s.PerUpstream
}

func (u *trackedUpstream) runsOfStep(j *job, step int) int {
	n := 0
	for _, r := range u.runs {
		if r.task.job == j && r.task.step == step {
			n++
		}
	}
	return n
}

// expectedRunTime is the expected run time of a step's task on an upstream.
func (h *Holder) expectedRunTime(u *trackedUpstream, s *Step) time.Duration {
	d := time.Duration(float64(s.Estimate) / u.speed)
	if s.DataRack != "" && s.DataRack != u.Rack {
		d = time.Duration(float64(d) * h.config.Timing.RemoteFactor)
	}
	return d
}

func (h *Holder) startTask(now time.Time, u *trackedUpstream, t *task) {
	step := &t.job.Steps[t.step]
	r := &run{task: t, upstream: u.ID, number: t.nextRun, state: starting, needs: step.Needs, sentAt: now, token: u.token, expected: h.expectedRunTime(u, step)}
	lease, voidAfter := h.grantStartLease(now, u)
	r.voidAfter = voidAfter
	t.nextRun++
	t.run = r
	t.job.runCount++
	t.job.started = true
	u.runs[r.key()] = r
	u.used = u.used.plus(step.Needs)
	c := Call{
		Kind: StartCall, Upstream: u.ID, Address: u.Address, Token: u.token, Task: t.name, Run: r.number,
		Spec: t.job.Spec, LeaseUntil: lease, Timeout: max(minStartCallTimeout, h.startAnswerTime.timeout()), SentAt: now,
	}
	u.recordCall(&c)
	h.out.Calls = append(h.out.Calls, c)
	if !u.holdPending {
		u.holdRetryAt = time.Time{}
	}
	h.logDecision(Decision{Event: "task-started", Job: t.job.ID, Task: t.name, Run: r.number, Upstream: u.ID, Wait: now.Sub(t.job.arrivedAt)})
}

// minStartCallTimeout is the least timeout of a start call, which returns without waiting for the task to
// end. A call that times out costs its connection.
const minStartCallTimeout = 100 * time.Millisecond

// expectedWait is how long an order would wait for capacity here. It is zero if its
// first tasks all fit now and no job is queued ahead of it.
func (h *Holder) expectedWait(now time.Time, o *Order) time.Duration {
	wait := h.queueTime(now, func(j *job) bool { return !o.IsUrgent() || j.IsUrgent() })
	tasks := int64(0)
	for _, s := range o.Steps {
		if len(s.After) == 0 {
			tasks += int64(s.Count)
		}
	}
	free := int64(0)
	for _, u := range h.held {
		h.looks++
		if u.Service == o.Service && u.isUsableSoon(now) {
			free += h.freeSlots(u, o)
		}
		if wait == 0 && free >= tasks {
			return 0
		}
	}
	missing := max(0, tasks-free)
	return wait + h.timeToFree(now, missing*o.Steps[0].Needs.MilliCores, o)
}

// freeSlots counts the tasks of an order's first step that fit on an upstream now.
func (h *Holder) freeSlots(u *trackedUpstream, o *Order) int64 {
	s := &o.Steps[0]
	if !u.hasLabel(s.Label) || u.isIsolated {
		return 0
	}
	free := u.Capacity.minus(u.used)
	n := int64(0)
	for s.Needs.fitsIn(free) && n < int64(s.Count) {
		free = free.minus(s.Needs)
		n++
	}
	return n
}

// timeToFree is the expected time until so many cores come free, if the ends of the
// current runs are spread evenly between now and twice their mean remaining time.
func (h *Holder) timeToFree(now time.Time, milliCores int64, o *Order) time.Duration {
	if milliCores <= 0 {
		return 0
	}
	used, remaining := int64(0), time.Duration(0)
	runs := 0
	for _, u := range h.lookHeld() {
		if u.phase != active || u.Service != o.Service || u.access != evacuator.Open {
			continue
		}
		used += u.used.MilliCores
		for _, r := range u.runs {
			remaining += max(0, r.expected-now.Sub(r.sentAt))
			runs++
		}
	}
	if runs == 0 || used == 0 {
		return o.CriticalPath()
	}
	mean := remaining / time.Duration(runs)
	return time.Duration(float64(2*mean) * float64(milliCores) / float64(used))
}

// backlog is the expected time to work through the whole queue.
func (h *Holder) backlog(now time.Time) time.Duration {
	return h.queueTime(now, func(*job) bool { return true })
}

// queueTime is the expected time in which the held upstreams work through the queued
// jobs for which isCounted returns true.
func (h *Holder) queueTime(now time.Time, isCounted func(*job) bool) time.Duration {
	work := 0.0
	for _, j := range h.queue {
		if j.abandoned || !isCounted(j) {
			continue
		}
		for s := range j.steps {
			step := &j.Steps[s]
			for _, t := range j.steps[s] {
				if !t.done && t.run == nil {
					work += step.Estimate.Seconds() * float64(step.Needs.MilliCores)
				}
			}
		}
	}
	if work == 0 {
		return 0
	}
	speed := 0.0
	for _, u := range h.lookHeld() {
		if u.isUsableSoon(now) {
			speed += u.speed * float64(u.Capacity.MilliCores) * packingShare
		}
	}
	if speed == 0 {
		return noUpstreamWait
	}
	return time.Duration(work / speed * float64(time.Second))
}

// packingShare is the share of an upstream's cores that tasks of different sizes can fill.
const packingShare = 0.8
