package holder

import (
	"math"
	"slices"
	"sort"
	"time"
)

// place starts waiting tasks as far as there is room: jobs that can still be on
// time first, those with the least time left before the others.
func (h *Holder) place(now time.Time) {
	if len(h.queue) == 0 {
		return
	}
	h.isPlacing = false
	sort.SliceStable(h.queue, func(i, k int) bool { return isBefore(now, h.queue[i], h.queue[k]) })
	placed := h.queue[:0:0]
	full := shapes{}
	for i, j := range h.queue {
		if i >= queueScan {
			placed = append(placed, h.queue[i:]...)
			break
		}
		if !h.placeJob(now, j, full) {
			placed = append(placed, j)
		}
	}
	h.queue = placed
}

func isBefore(now time.Time, a, b *job) bool {
	aStart, bStart := a.latestStart(), b.latestStart()
	aLate, bLate := aStart.Before(now), bStart.Before(now)
	switch {
	case a.started != b.started:
		return a.started
	case aLate != bLate:
		return bLate
	case a.IsUrgent() != b.IsUrgent():
		return a.IsUrgent()
	}
	return aStart.Before(bStart)
}

// shapes are the smallest tasks that found no place in a round, by service and
// label: no larger one finds any.
type shapes map[shape]Capacity

type shape struct{ service, label string }

// excludes reports whether a task of a step cannot find a place either.
func (s shapes) excludes(j *job, step *Step) bool {
	least, ok := s[shape{j.Service, step.Label}]
	return ok && least.fits(step.Needs)
}

// placeJob starts what it can of a job and reports whether nothing of it waits.
func (h *Holder) placeJob(now time.Time, j *job, full shapes) bool {
	waits := false
	j.waiting(func(t *task) bool {
		step := &j.Steps[t.step]
		if full.excludes(j, step) {
			waits = true
			return false
		}
		u, isFull := h.choose(now, t)
		if u == nil {
			waits = true
			if isFull {
				full[shape{j.Service, step.Label}] = step.Needs
			}
			return false
		}
		h.start(now, u, t)
		return true
	})
	return !waits && !j.hasBlockedStep()
}

// hasBlockedStep reports whether a step waits for an earlier one.
func (j *job) hasBlockedStep() bool {
	for s := range j.steps {
		if !j.isReady(s) {
			return true
		}
	}
	return false
}

// choose returns the upstream on which a task would end first, or whether none has
// room for it.
func (h *Holder) choose(now time.Time, t *task) (best *held, isFull bool) {
	var bestEnd time.Duration
	isFull = true
	step := &t.job.Steps[t.step]
	for _, u := range h.upstreams {
		if !u.hasRoom(now, t.job.Service, step) {
			continue
		}
		isFull = false
		if !h.mayRun(u, t, step) {
			continue
		}
		end := h.weighedTime(u, t, step)
		if best == nil || end < bestEnd || end == bestEnd && u.leftover(step) < best.leftover(step) {
			best, bestEnd = u, end
		}
	}
	if best != nil && h.isWorthWaiting(now, t, step, bestEnd) {
		return nil, false
	}
	return best, isFull
}

// weighedTime is the expected run time, longer by what counts against the upstream.
func (h *Holder) weighedTime(u *held, t *task, s *Step) time.Duration {
	end := h.runTime(u, s)
	if slices.Contains(t.avoid, u.ID) {
		end *= avoidFactor
	}
	return end
}

// isWorthWaiting reports whether a task that would miss its objective on the best
// free upstream is expected to meet it on one that has a place soon.
func (h *Holder) isWorthWaiting(now time.Time, t *task, s *Step, bestEnd time.Duration) bool {
	left := t.job.arrivedAt.Add(t.job.Objective).Sub(now)
	if bestEnd <= left || h.runTimeAtBest(t, s) > left {
		return false
	}
	for _, u := range h.upstreams {
		if u.Service != t.job.Service || !u.isUsable(now) || !u.hasLabel(s.Label) {
			continue
		}
		wait, ok := u.placeIn(now, s)
		if ok && wait+h.weighedTime(u, t, s) <= left {
			return true
		}
	}
	return false
}

// runTimeAtBest is the shortest time that a task can take on any upstream.
func (h *Holder) runTimeAtBest(t *task, s *Step) time.Duration {
	best := time.Duration(math.MaxInt64)
	for _, u := range h.upstreams {
		if u.phase == active && u.Service == t.job.Service {
			best = min(best, h.weighedTime(u, t, s))
		}
	}
	return best
}

// placeIn is the time until the first run on an upstream ends whose place is
// large enough. A run that is overdue says nothing.
func (u *held) placeIn(now time.Time, s *Step) (time.Duration, bool) {
	free := u.Capacity.minus(u.used)
	best, found := time.Duration(0), false
	for _, r := range u.runs {
		wait := r.sentAt.Add(r.expected).Sub(now)
		if wait < 0 || !s.Needs.fits(free.plus(r.needs)) {
			continue
		}
		if !found || wait < best {
			best, found = wait, true
		}
	}
	return best, found
}

// suspectRate is the share of failed runs above which an upstream does not get the
// last attempt of a task: it is worth a short wait for another one.
const suspectRate = 0.1

// avoidFactor weighs against an upstream on which the task has failed.
const avoidFactor = 4

func (u *held) leftover(s *Step) int64 {
	return u.Capacity.MilliCores - u.used.MilliCores - s.Needs.MilliCores
}

func (u *held) hasRoom(now time.Time, service string, s *Step) bool {
	return u.Service == service && u.used.plus(s.Needs).fits(u.Capacity) && u.isUsable(now) && u.hasLabel(s.Label)
}

// mayRun reports whether an upstream with room is to have a task.
func (h *Holder) mayRun(u *held, t *task, s *Step) bool {
	if u.failures >= pauseAfter && len(u.runs) > 0 {
		return false
	}
	if t.failures > 0 && t.failures+1 >= t.job.MaxAttempts && u.failRate > suspectRate {
		return false
	}
	return s.PerUpstream == 0 || u.countOf(t.job, t.step) < s.PerUpstream
}

func (u *held) countOf(j *job, step int) int {
	n := 0
	for _, r := range u.runs {
		if r.task.job == j && r.task.step == step {
			n++
		}
	}
	return n
}

// runTime is how long a task of a step is expected to run on an upstream.
func (h *Holder) runTime(u *held, s *Step) time.Duration {
	d := time.Duration(float64(s.Estimate) / u.speed)
	if s.DataRack != "" && s.DataRack != u.Rack {
		d = time.Duration(float64(d) * h.config.Timing.RemoteFactor)
	}
	return d
}

func (h *Holder) start(now time.Time, u *held, t *task) {
	step := &t.job.Steps[t.step]
	r := &run{task: t, number: t.nextRun, state: starting, needs: step.Needs, sentAt: now, expected: h.runTime(u, step)}
	t.nextRun++
	t.run = r
	t.job.runs++
	t.job.started = true
	u.runs[r.key()] = r
	u.used = u.used.plus(step.Needs)
	h.out.Calls = append(h.out.Calls, Call{
		Kind: StartCall, Upstream: u.ID, Address: u.Address, Token: u.token, Task: t.name, Run: r.number,
		Spec: t.job.Spec, LeaseUntil: h.lease(now, u), Timeout: startTimeout, SentAt: now,
	})
	if !u.holdOut {
		u.holdRetryAt = time.Time{}
	}
	h.decide(Decision{Event: "task-started", Job: t.job.ID, Task: t.name, Run: r.number, Upstream: u.ID, Wait: now.Sub(t.job.arrivedAt)})
}

// startTimeout bounds the call of a start, of which the task does not wait for the end.
const startTimeout = 100 * time.Millisecond

// expectedWait is how long an order would wait for places here: none if all its
// first tasks fit now and nothing waits before them.
func (h *Holder) expectedWait(now time.Time, o *Order) time.Duration {
	wait := h.waitFor(now, func(j *job) bool { return !o.IsUrgent() || j.IsUrgent() })
	free := int64(0)
	for _, u := range h.upstreams {
		if u.isAtHand(now) && u.Service == o.Service {
			free += h.roomFor(u, o)
		}
	}
	tasks := int64(0)
	for _, s := range o.Steps {
		if len(s.After) == 0 {
			tasks += int64(s.Count)
		}
	}
	if wait == 0 && free >= tasks {
		return 0
	}
	missing := max(0, tasks-free)
	return wait + h.drainTime(now, missing*o.Steps[0].Needs.MilliCores, o)
}

// roomFor counts the tasks of an order's first step that an upstream takes now.
func (h *Holder) roomFor(u *held, o *Order) int64 {
	s := &o.Steps[0]
	if !u.hasLabel(s.Label) {
		return 0
	}
	free := u.Capacity.minus(u.used)
	n := int64(0)
	for s.Needs.fits(free) && n < int64(s.Count) {
		free = free.minus(s.Needs)
		n++
	}
	return n
}

// drainTime is the time until places of so many cores come free: the present
// runs end one after the other, spread over their mean remaining time.
func (h *Holder) drainTime(now time.Time, milliCores int64, o *Order) time.Duration {
	if milliCores <= 0 {
		return 0
	}
	used, remaining := int64(0), time.Duration(0)
	runs := 0
	for _, u := range h.upstreams {
		if u.phase != active || u.Service != o.Service {
			continue
		}
		used += u.used.MilliCores
		for _, r := range u.runs {
			remaining += max(0, r.expected-now.Sub(r.sentAt))
			runs++
		}
	}
	if runs == 0 || used == 0 {
		return o.Chain()
	}
	mean := remaining / time.Duration(runs)
	return time.Duration(float64(2*mean) * float64(milliCores) / float64(used))
}

// backlog is the time in which the present upstreams do the work that waits.
func (h *Holder) backlog(now time.Time) time.Duration {
	return h.waitFor(now, func(*job) bool { return true })
}

// waitFor is the time in which the present upstreams do what waits of some jobs.
func (h *Holder) waitFor(now time.Time, isCounted func(*job) bool) time.Duration {
	work := 0.0
	for _, j := range h.queue {
		if j.stopping || !isCounted(j) {
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
	for _, u := range h.upstreams {
		if u.isAtHand(now) {
			speed += u.speed * float64(u.Capacity.MilliCores) * packing
		}
	}
	if speed == 0 {
		return noUpstreamWait
	}
	return time.Duration(work / speed * float64(time.Second))
}

// packing is the share of an upstream's cores that tasks of unlike sizes fill.
const packing = 0.8
