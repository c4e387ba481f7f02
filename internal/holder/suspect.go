package holder

import (
	"slices"
	"strings"
	"time"

	"bronzedrift.example/bronzedrift/internal/quarantiner"
)

const (
	// At most one in isolatedShare of the upstreams is kept for suspects, and at most one in
	// probableShare runs a probable one or was lost to one: their further attempts leave the
	// other upstreams to innocent tasks.
	isolatedShare = 6
	probableShare = 12
	// maxWaitingSuspects is about how many suspects are counted in a round of placement: more
	// than any VM can isolate upstreams for.
	maxWaitingSuspects = 32
	// minHotCrashes upstreams that are lost by one kind of job at the same time make it a hot
	// kind. Its tasks run on the upstreams that cost the others least.
	minHotCrashes = 1
	// minRefusedCrashes is the number of upstreams that a kind of job may always crash.
	minRefusedCrashes = 2
	// A kind of job that has crashed maxCrashedShare of the upstreams, by their value, is
	// refused until one of them is back, and with maxCrashedShareQueued where others wait.
	maxCrashedShare       = 0.35
	maxCrashedShareQueued = 0.15
	// confinedWait is the wait reported for a confined kind of job.
	confinedWait = time.Second
)

// crash is what is known of the crash of an upstream that is not back yet.
type crash struct {
	// kind is the kind of job whose run was the latest there.
	kind string
	// isBySuspect is set if a suspect was the only run.
	isBySuspect bool
}

// givenUpReason is the reason of the answer to a job with a task that is given up.
const givenUpReason = "upstreams have crashed under a task"

// exposure is a run that may have been on an upstream when that was lost.
type exposure struct {
	task   *task
	number int
	sentAt time.Time
}

// maxDeparted bounds the exposures that are kept for one upstream.
const maxDeparted = 64

// exposures returns the runs that may have been there when the upstream was lost. A start
// whose call is still open has not been carried out before, or the call would have ended.
func (u *trackedUpstream) exposures() []exposure {
	list := slices.Clone(u.departed)
	for _, r := range u.runs {
		list = r.appendExposure(list)
	}
	return list
}

func (r *run) appendExposure(list []exposure) []exposure {
	if r.state == starting {
		return list
	}
	return append(list, exposure{r.task, r.number, r.sentAt})
}

// keepExposures remembers runs whose leases have expired while nothing is known of their
// upstream. The news of a crash may come later.
func (u *trackedUpstream) keepExposures(lapsed []*run) {
	if u.phase == notHeld {
		return
	}
	for _, r := range lapsed {
		u.departed = r.appendExposure(u.departed)
	}
	u.departed = u.departed[max(0, len(u.departed)-maxDeparted):]
}

// runsLoneSuspect reports whether a suspect was the only run on a lost upstream.
func (h *Holder) runsLoneSuspect(u *trackedUpstream) bool {
	exposed := u.exposures()
	return len(exposed) == 1 && h.quarantine.IsSuspect(exposed[0].task.name)
}

func latestExposure(list []exposure) exposure {
	return slices.MaxFunc(list, func(a, b exposure) int {
		if c := a.sentAt.Compare(b.sentAt); c != 0 {
			return c
		}
		return strings.Compare(b.task.name, a.task.name)
	})
}

// judgeLoss records a crash for each task that ran on a lost upstream. It is called once for
// each loss, before the runs are removed. Whether it counts against a task is decided as the
// evidence of other losses comes in.
func (h *Holder) judgeLoss(now time.Time, u *trackedUpstream, kind lossKind) {
	exposed := u.exposures()
	// What runs on an upstream that another VM holds is known to that one.
	if u.isJudged || u.phase == notHeld || len(exposed) == 0 || !u.isCrash(now, kind) {
		return
	}
	u.isJudged = true
	if !u.isLossTold {
		h.tellLoss(now, u, now)
	}
	latest := latestExposure(exposed)
	h.setCrash(u, &crash{kind: latest.task.job.Route, isBySuspect: h.runsLoneSuspect(u)})
	for _, e := range exposed {
		j := e.task.job
		c := quarantiner.Crash{
			Task: e.task.name, Kind: j.Route, Upstream: u.ID, StartedAt: u.StartedAt,
			IsAlone: len(exposed) == 1, IsLatest: e == latest,
		}
		if !h.quarantine.Record(now, c) {
			continue
		}
		h.out.Crashes = append(h.out.Crashes, c)
		h.logDecision(Decision{
			Event: "task-suspected", Job: j.ID, Request: j.Request, Task: e.task.name, Run: e.number, Upstream: u.ID,
			Reason: h.quarantine.Manner(&c), Wait: now.Sub(e.sentAt), Evidence: u.evidence(kind), Age: u.aliveAge(now), IsFault: true,
		})
		h.giveUpIfDecided(now, e.task)
	}
	h.excuseCrash(u)
}

// excuseCrash forgets the crash of an upstream that was lost together with others: its kind of
// job is not the cause.
func (h *Holder) excuseCrash(u *trackedUpstream) {
	if u.crash == nil || !h.quarantine.HasCommonCause(u.ID, u.StartedAt) {
		return
	}
	h.setCrash(u, nil)
	h.logDecision(Decision{Event: "common-loss", Upstream: u.ID, Reason: u.loss.String(), IsFault: true})
}

// retractLoss takes back what was recorded for a loss, since the same incarnation answers.
func (h *Holder) retractLoss(now time.Time, u *trackedUpstream) {
	if u.isJudged {
		for _, e := range u.exposures() {
			h.quarantine.Retract(e.task.name, u.ID, u.StartedAt)
		}
	}
	if u.isLossTold {
		h.recordLoss(now, quarantiner.Loss{Upstream: u.ID, StartedAt: u.StartedAt, IsTakenBack: true})
	}
	h.forgetLoss(u)
}

func (h *Holder) forgetLoss(u *trackedUpstream) {
	u.loss, u.lostAt, u.refusedAt = notLost, time.Time{}, time.Time{}
	u.isJudged, u.isLossTold, u.departed = false, false, nil
	h.setCrash(u, nil)
}

// setCrash sets what is known of the crash of an upstream, nil if it has not crashed or is back.
func (h *Holder) setCrash(u *trackedUpstream, c *crash) {
	u.crash = c
	if c == nil {
		delete(h.crashed, u)
		return
	}
	h.crashed[u] = true
	h.noteLeftover(u)
}

// HandleCrashes adds crashes that another VM has recorded.
func (h *Holder) HandleCrashes(now time.Time, crashes []quarantiner.Crash, out *Effects) {
	h.out = out
	for _, c := range crashes {
		if !h.quarantine.Record(now, c) {
			continue
		}
		if u := h.upstreams[c.Upstream]; u != nil && c.IsLatest && !h.quarantine.HasCommonCause(c.Upstream, c.StartedAt) && u.phase == notHeld && u.StartedAt.Equal(c.StartedAt) {
			h.setCrash(u, &crash{kind: c.Kind, isBySuspect: c.IsAlone && h.quarantine.Crashes(c.Task) > 1})
		}
		h.giveUpNamed(now, c.Task)
	}
}

// giveUpNamed fails the jobs here that have a task that must not start again.
func (h *Holder) giveUpNamed(now time.Time, task string) {
	id, _, _ := strings.Cut(task, ".")
	for key, j := range h.jobs {
		if key.ID != id {
			continue
		}
		if t := j.taskNamed(task); t != nil {
			h.giveUpIfDecided(now, t)
		}
	}
}

// giveUpDecided fails the jobs whose tasks have been decided on since the latest tick.
func (h *Holder) giveUpDecided(now time.Time) {
	for _, task := range h.quarantine.Decided(now) {
		h.giveUpNamed(now, task)
	}
}

// Crashes returns the recorded crashes, for a VM on a new link.
func (h *Holder) Crashes(now time.Time) []quarantiner.Crash { return h.quarantine.All(now) }

func (j *job) taskNamed(name string) *task {
	for _, tasks := range j.steps {
		for _, t := range tasks {
			if t.name == name {
				return t
			}
		}
	}
	return nil
}

// giveUpIfDecided fails the job of a task that must not start again.
func (h *Holder) giveUpIfDecided(now time.Time, t *task) {
	if t.done || t.job.abandoned || h.jobs[t.job.Key()] != t.job || !h.quarantine.IsGivenUp(now, t.name) {
		return
	}
	h.logGivenUp(now, t)
	h.abandonJob(now, t.job, Answer{Outcome: Failed, Reason: givenUpReason})
}

func (h *Holder) logGivenUp(now time.Time, t *task) {
	h.logDecision(Decision{
		Event: "task-given-up", Job: t.job.ID, Request: t.job.Request, Task: t.name, Run: t.nextRun - 1,
		Upstream: h.quarantine.Latest(t.name), Evidence: h.quarantine.Describe(now, t.name), IsFault: true,
	})
}

// givenUpTask returns a task of a new job that an earlier submission has given up, or nil.
func (h *Holder) givenUpTask(now time.Time, j *job) *task {
	for _, tasks := range j.steps {
		for _, t := range tasks {
			if h.quarantine.IsGivenUp(now, t.name) {
				return t
			}
		}
	}
	return nil
}

// isolateUpstreams keeps upstreams free for the suspects that wait, and releases them when
// none is left or when they can't be used.
func (h *Holder) isolateUpstreams(now time.Time) {
	h.idleIsolated = 0
	if !h.hasIsolated && (h.quarantine.IsEmpty() || !h.hasWaitingSuspect()) {
		return
	}
	h.countProbable()
	suspects := h.waitingSuspects(now)
	waiting, isolated := map[string]int{}, map[string]int{}
	for _, t := range suspects {
		waiting[t.job.Service]++
	}
	for _, u := range h.lookHeld() {
		isIdle := len(u.runs) == 0
		if waiting[u.Service] == 0 && !u.runsSuspect(h) || isIdle && !u.isUsable(now) {
			u.isIsolated = false
		}
		if u.isIsolated {
			isolated[u.Service]++
		}
	}
	for _, t := range suspects {
		service := t.job.Service
		if isolated[service] >= min(waiting[service], h.shareOf(service, isolatedShare)) {
			continue
		}
		if u := h.nextIsolated(now, t); u != nil {
			u.isIsolated = true
			isolated[service]++
			h.logDecision(Decision{Event: "upstream-isolated", Job: t.job.ID, Task: t.name, Upstream: u.ID, IsFault: true})
		}
	}
	h.hasIsolated = false
	for _, u := range h.lookHeld() {
		h.hasIsolated = h.hasIsolated || u.isIsolated
		if u.isIsolated && len(u.runs) == 0 {
			h.idleIsolated++
		}
	}
}

// hasWaitingSuspect reports whether a suspect waits for an upstream.
func (h *Holder) hasWaitingSuspect() bool {
	for _, j := range h.queue {
		hasSuspect := false
		j.eachStartableTask(func(t *task) bool {
			hasSuspect = h.quarantine.IsSuspect(t.name)
			return !hasSuspect
		})
		if hasSuspect {
			return true
		}
	}
	return false
}

// waitingSuspects returns the suspects that may start as soon as an upstream is free for them.
func (h *Holder) waitingSuspects(now time.Time) []*task {
	var suspects []*task
	for _, j := range h.queue {
		if len(suspects) >= maxWaitingSuspects {
			break
		}
		j.eachStartableTask(func(t *task) bool {
			if h.quarantine.IsSuspect(t.name) && h.mayTrySuspect(now, t) {
				suspects = append(suspects, t)
			}
			return true
		})
	}
	return suspects
}

// shareOf returns the number of upstreams that are one in share of those held, at least one.
func (h *Holder) shareOf(service string, share int) int {
	held := 0
	for _, u := range h.lookHeld() {
		if u.Service == service && u.phase == active {
			held++
		}
	}
	return max(1, held/share)
}

// mayTrySuspect reports whether a suspect may start. Probable ones wait while others of them
// run or have just crashed an upstream, and one waits whose crashes may be enough.
func (h *Holder) mayTrySuspect(now time.Time, t *task) bool {
	if h.quarantine.IsAwaited(now, t.name) {
		return false
	}
	service := t.job.Service
	return !h.quarantine.IsProbable(t.name) || h.probableBusy[service] < h.shareOf(service, probableShare)
}

// countProbable counts, by service, the upstreams that run probable suspects or were lost to
// them. It is done once for each round of placement.
func (h *Holder) countProbable() {
	clear(h.probableBusy)
	for _, u := range h.lookHeld() {
		if u.phase == active && (u.crash == nil && u.isIsolated && h.runsProbable(u) || u.crash != nil && u.crash.isBySuspect) {
			h.probableBusy[u.Service]++
		}
	}
}

func (h *Holder) runsProbable(u *trackedUpstream) bool {
	for _, r := range u.runs {
		if h.quarantine.IsProbable(r.task.name) {
			return true
		}
	}
	return false
}

// nextIsolated returns the upstream to keep for a suspect, or nil: for a probable one that
// whose loss costs the others least, else the one that is free first.
func (h *Holder) nextIsolated(now time.Time, t *task) *trackedUpstream {
	var best *trackedUpstream
	var bestCost float64
	step := &t.job.Steps[t.step]
	isProbable := h.quarantine.IsProbable(t.name)
	for _, u := range h.lookHeld() {
		if u.isIsolated || u.Service != t.job.Service || !u.isUsable(now) || !u.hasLabel(step.Label) || !step.Needs.fitsIn(u.Capacity) {
			continue
		}
		cost := u.value()
		if !isProbable {
			cost = float64(u.emptyIn(now) + h.expectedRunTime(u, step))
		}
		if best == nil || cost < bestCost || cost == bestCost && u.ID < best.ID {
			best, bestCost = u, cost
		}
	}
	return best
}

// emptyIn is the expected time until all runs of an upstream have ended.
func (u *trackedUpstream) emptyIn(now time.Time) time.Duration {
	wait := time.Duration(0)
	for _, r := range u.runs {
		wait = max(wait, r.sentAt.Add(r.expected).Sub(now))
	}
	return wait
}

func (u *trackedUpstream) runsSuspect(h *Holder) bool {
	for _, r := range u.runs {
		if h.quarantine.IsSuspect(r.task.name) {
			return true
		}
	}
	return false
}

// chooseIsolated returns an isolated upstream without runs for a suspect, or nil.
func (h *Holder) chooseIsolated(now time.Time, t *task) *trackedUpstream {
	if h.idleIsolated == 0 {
		return nil
	}
	step := &t.job.Steps[t.step]
	for _, u := range h.lookHeld() {
		if u.isIsolated && len(u.runs) == 0 && u.hasCapacity(now, t.job, step) {
			return u
		}
	}
	return nil
}

// crashedBy returns the share of the value of a service's upstreams that a kind of job has
// crashed, and how many upstreams these are.
func (h *Holder) crashedBy(service, kind string) (share float64, count int) {
	if len(h.crashed) == 0 {
		return 0, 0
	}
	crashed, all := 0.0, 0.0
	for _, u := range h.lookHeld() {
		if u.Service != service || u.phase == notHeld {
			continue
		}
		all += u.value()
		if u.crash != nil && u.crash.kind == kind {
			crashed += u.value()
			count++
		}
	}
	if count == 0 {
		return 0, 0
	}
	return crashed / all, count
}

// isConfined reports whether an order has to be refused since its kind of job has crashed too
// many upstreams. While there is no queue it may crash more.
func (h *Holder) isConfined(o *Order, wait time.Duration) bool {
	share, count := h.crashedBy(o.Service, o.Route)
	limit := maxCrashedShare
	if wait > 0 {
		limit = maxCrashedShareQueued
	}
	return count >= minRefusedCrashes && share >= limit
}

// isHot reports whether a kind of job is crashing upstreams.
func (h *Holder) isHot(kind string) bool { return h.hotKinds[kind] }

// updateHotKinds finds the kinds of jobs that are crashing upstreams.
func (h *Holder) updateHotKinds() {
	clear(h.hotKinds)
	if len(h.crashed) == 0 {
		return
	}
	counts := map[string]int{}
	for u := range h.crashed {
		counts[u.crash.kind]++
		if counts[u.crash.kind] >= minHotCrashes {
			h.hotKinds[u.crash.kind] = true
		}
	}
}

// runsHot reports whether tasks of a hot kind run on an upstream.
func (h *Holder) runsHot(u *trackedUpstream) bool {
	if len(h.hotKinds) == 0 {
		return false
	}
	for _, r := range u.runs {
		if h.isHot(r.task.job.Route) {
			return true
		}
	}
	return false
}

// value is the work that an upstream does in a second, in seconds of a millicore.
func (u *trackedUpstream) value() float64 { return u.speed * float64(u.Capacity.MilliCores) }
