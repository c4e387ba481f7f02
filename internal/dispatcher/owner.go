package dispatcher

import (
	"fmt"
	"time"

	"bronzedrift.example/bronzedrift/internal/recorder"
	"bronzedrift.example/bronzedrift/internal/shedder"
)

// handleSubmission handles a job that a caller submitted at this entry.
func (d *Dispatcher) handleSubmission(now time.Time, s *Submission) {
	d.counts.Submitted++
	j := s.Job
	if j.Home == "" {
		j.Home = d.router.Home(j.ID)
	}
	w := waiter{connection: s.Waiter, receivedAt: now, deadline: now.Add(j.Timeout)}
	d.recordEvent(recorder.Event{Number: recorder.JobSubmitted, Job: j.ID, Team: j.Team, Task: recorder.NoTask})
	if !d.router.HasDataCentre(j.Home) {
		d.refuse(w, j, Malformed, NotRun, fmt.Sprintf("home: %q is not a configured data centre", j.Home))
		return
	}
	d.route(now, j, w, 0, d.router.IsDraining(d.config.VM))
}

// maxHops limits how often a submission is forwarded while entries disagree on
// its owner.
const maxHops = 4

// route passes a submission to its owner, which may be this entry.
func (d *Dispatcher) route(now time.Time, j *Job, w waiter, hops int, joinOnly bool) {
	if known := d.jobs[j.ID]; known != nil && known.state != jobMoved {
		known.mayHaveCopy = known.mayHaveCopy || wasAtOtherOwner(&w, hops)
		d.joinKnown(known, j, w, joinOnly)
		return
	}
	rangeName := d.router.Range(j.Home, j.ID)
	holder, ok := d.router.Holder(rangeName)
	switch {
	case ok && holder == d.config.VM && !d.router.IsDraining(holder):
		d.takeOwnership(now, j, w, rangeName, hops, joinOnly)
	case !ok || holder == d.config.VM:
		d.refuseDraining(j, w, rangeName)
	case hops >= maxHops:
		d.counts.BouncedForwards++
		d.refuse(w, j, OutcomeUnknown, Unknown, "the entries disagree on the owner of this job; submit it again")
	default:
		if refused := d.refusalOf(j, rangeName, &w, hops); refused != nil {
			d.reply(w, refused)
			return
		}
		d.forwardJob(now, j, w, holder, hops+1, joinOnly)
	}
}

// wasAtOtherOwner reports whether a submission was forwarded to another owner
// before: it came back here or took more than one hop.
func wasAtOtherOwner(w *waiter, hops int) bool {
	return hops > 1 || w.wasForwarded || w.peer == "" && hops > 0
}

// joinKnown answers a resubmission from the known job with the same id.
func (d *Dispatcher) joinKnown(known *job, j *Job, w waiter, joinOnly bool) {
	if known.Digest != j.Digest {
		d.refuse(w, j, ReusedID, NotRun, "job-id: used before with other content")
		return
	}
	d.counts.Joined++
	d.recordEvent(recorder.Event{Number: recorder.JobJoined, Job: j.ID, Team: j.Team, Task: recorder.NoTask})
	if known.answer != nil {
		d.reply(w, known.answer)
		return
	}
	known.joinOnly = known.joinOnly && joinOnly
	known.join(w)
}

// refuseDraining refuses a submission because every entry that is up is
// stopping. NotRun is proven only if the submission has never left this entry
// and no other entry can have received it before.
func (d *Dispatcher) refuseDraining(j *Job, w waiter, rangeName string) {
	ran := Unknown
	c := d.claims[rangeName]
	isAfterClaim := c != nil && d.isAfterClaim(c, j.Submitted)
	if w.peer == "" && (isAfterClaim || d.isOnlyPossibleOwner(j)) {
		ran = NotRun
	}
	d.refuse(w, j, Draining, ran, "this entry is stopping; submit the job to another")
}

// isOnlyPossibleOwner reports whether this is the only configured entry and
// has been responsible for the job since before its first submission.
func (d *Dispatcher) isOnlyPossibleOwner(j *Job) bool {
	oldest := d.startedAt.Add(d.config.Limits.ClockSkew)
	return len(d.router.VMs()) == 1 && !j.Submitted.Before(oldest) && j.Submitted.After(d.forgottenThrough)
}

// takeOwnership accepts or refuses a job of a range that this entry holds.
func (d *Dispatcher) takeOwnership(now time.Time, s *Job, w waiter, rangeName string, hops int, joinOnly bool) {
	limits := d.config.Limits
	switch {
	case s.Submitted.After(now.Add(limits.ClockSkew)):
		d.refuse(w, s, SubmittedTooEarly, NotRun, fmt.Sprintf(
			"submitted-at: %s is later than this daemon's time %s by more than the allowed skew of %s",
			s.Submitted.UTC().Format(time.RFC3339Nano), now.UTC().Format(time.RFC3339Nano), limits.ClockSkew))
		return
	case s.Submitted.Before(now.Add(-limits.JobIDRetention)), !s.Submitted.After(d.forgottenThrough):
		d.refuse(w, s, OutcomeUnknown, Unknown, fmt.Sprintf(
			"job-id: older than the memory of ids, which is at most %s; nothing was started by this submission, the outcome of an earlier one is unknown", limits.JobIDRetention))
		return
	}
	if !now.Before(w.deadline) {
		d.refuse(w, s, TimedOut, Unknown, "the job's timeout was over before its owner was found")
		return
	}
	if refused := d.refusalOf(s, rangeName, &w, hops); refused != nil {
		d.reply(w, refused)
		return
	}
	if !d.isConfigured(s, w) {
		return
	}
	if d.claims[rangeName] == nil {
		d.updateClaim(now, rangeName)
	}
	j := newJob(now, s, rangeName, w.deadline)
	j.joinOnly = joinOnly
	j.mayHaveCopy = wasAtOtherOwner(&w, hops)
	j.join(w)
	d.jobs[s.ID] = j
	d.deadlines.add(j)
	j.pendingUntil = now.Add(claimWait + limits.AnnouncementWait)
	d.pending[s.ID] = j
	d.resolve(now, j)
}

// isConfigured reports whether the team and the service of a job are
// configured, and refuses the job otherwise.
func (d *Dispatcher) isConfigured(s *Job, w waiter) bool {
	if _, ok := d.teams[s.Team]; !ok {
		d.refuse(w, s, UnknownTeam, NotRun, fmt.Sprintf("team: %q is not configured", s.Team))
		return false
	}
	if _, ok := d.services[s.Service]; !ok {
		d.refuse(w, s, UnknownService, NotRun, fmt.Sprintf("service: %q is not configured", s.Service))
		return false
	}
	return true
}

// resolvePending checks again the jobs that wait for a claim or for the first
// announcements.
func (d *Dispatcher) resolvePending(now time.Time) {
	for _, j := range d.orderedPending() {
		d.resolve(now, j)
	}
}

// resolve admits a pending job as soon as it is known which of its tasks
// earlier owners have started.
func (d *Dispatcher) resolve(now time.Time, j *job) {
	c := d.claims[j.rangeName]
	if c == nil {
		return
	}
	if !c.reclaimAt.IsZero() || !d.isAfterClaim(c, j.Submitted) {
		switch d.checkEarlierStarts(now, c, j.Job) {
		case startsPending:
			return
		case startsUnknown:
			d.fail(now, j, OutcomeUnknown, Unknown,
				"nothing was started by this submission; the outcome of an earlier one is unknown")
			return
		}
	}
	d.admit(now, j, c)
}

// admit queues a job. If nothing of it has been started yet, it is first
// checked against the capacity of the upstreams and the load.
func (d *Dispatcher) admit(now time.Time, j *job, c *claim) {
	inherited := d.markInherited(j, c)
	if inherited == 0 && j.possibleStarts == 0 {
		if j.joinOnly {
			d.fail(now, j, Draining, NotRun, "the entry that was asked is stopping; submit the job to another")
			return
		}
		if d.isWaitingForAnnouncements(now, j) {
			return
		}
		if !d.isAdmissible(now, j) {
			return
		}
	}
	delete(d.pending, j.ID)
	j.state = jobQueued
	j.epoch = c.epoch
	j.groupWaiting(d.config.Weighting == ByResponseTime)
	d.recordEvent(recorder.Event{Number: recorder.JobAdmitted, Job: j.ID, Team: j.Team, Task: recorder.NoTask})
	d.probeInherited(now, j)
	d.requestSlots(j)
	d.completeIfDone(now, j)
}

// markInherited marks the tasks that an earlier owner started and returns
// their number.
func (d *Dispatcher) markInherited(j *job, c *claim) int {
	count := 0
	for i := range j.tasks {
		if j.tasks[i].phase != taskWaiting {
			continue
		}
		if s, ok := c.startedTasks[TaskID(j.ID, i)]; ok {
			j.tasks[i].phase = taskInherited
			j.tasks[i].upstream, j.tasks[i].memorySince = s.upstream, s.memorySince
			count++
		}
	}
	return count
}

func (d *Dispatcher) probeInherited(now time.Time, j *job) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.phase != taskInherited {
			continue
		}
		u := d.upstreams[t.upstream]
		if u == nil {
			continue
		}
		t.phase = taskRunning
		j.runningTasks++
		j.possibleStarts++
		j.provenStarts++
		d.recordEvent(recorder.Event{Number: recorder.TaskInherited, Job: j.ID, Task: i, Upstream: u.Name})
		d.effects.Probes = append(d.effects.Probes, Probe{
			JobID: j.ID, Task: i, Upstream: u.Name, Address: u.Address,
			Epoch: probeEpoch, Timeout: j.deadline.Sub(now), MemorySince: t.memorySince,
		})
	}
}

// isWaitingForAnnouncements reports whether some task of the job fits no
// announced upstream yet, or only those of evacuated data centres, and the wait for
// the first announcements is not over.
func (d *Dispatcher) isWaitingForAnnouncements(now time.Time, j *job) bool {
	return !d.isAnnouncementWaitOver(now) && (!d.hasCapacity(j.Job) || d.isJobEvacuated(now, j.Job))
}

// isJobEvacuated reports whether some task of a job could run in evacuated data
// centres only.
func (d *Dispatcher) isJobEvacuated(now time.Time, s *Job) bool {
	return d.isAnyEvacuated() && d.newEvacuationCheck(now).isJobEvacuated(s)
}

// hasCapacity reports whether each task of a job fits the total capacity of some announced
// upstream, or an upstream has restarted and not announced its capacity yet.
func (d *Dispatcher) hasCapacity(s *Job) bool {
	for i := range s.Tasks {
		if i > 0 && s.Tasks[i].Shape == s.Tasks[i-1].Shape {
			continue
		}
		if !d.hasTaskCapacity(s.Service, &s.Tasks[i]) {
			return false
		}
	}
	return true
}

func (d *Dispatcher) hasTaskCapacity(service string, t *Task) bool {
	for _, u := range d.upstreams {
		if u.Capacity.Fits(t.Shape) && u.offers(service) || !u.IsAnnounced() && d.hasOffered(u.Name, service) {
			return true
		}
	}
	return false
}

// isAdmissible reports whether a job can run and be answered in time, and
// refuses it otherwise. A job of which another entry may hold a copy is not
// refused because of evacuations or waits: the answer could only be Unknown, and
// would be kept.
func (d *Dispatcher) isAdmissible(now time.Time, j *job) bool {
	if !d.hasCapacity(j.Job) {
		d.fail(now, j, NeverFits, NotRun, "tasks: no announced upstream of the service could ever hold a task of this size")
		return false
	}
	ran := d.provenRanBefore(j)
	if d.queuedTasks+len(j.Tasks) > d.config.Limits.MaxQueuedTasks {
		d.fail(now, j, Overloaded, ran, "the queue of this entry is full")
		return false
	}
	if ran != NotRun {
		return true
	}
	if d.isJobEvacuated(now, j.Job) {
		if !d.isAbsenceProven(now, j) {
			return true
		}
		d.refuseEvacuated(now, j)
		return false
	}
	if d.isShed(j) {
		d.fail(now, j, Overloaded, NotRun, "this entry is short of processor time")
		return false
	}
	if wait := d.shortestWait(j.Service); wait > j.Timeout {
		d.fail(now, j, Overloaded, NotRun, fmt.Sprintf("the expected wait of %s exceeds the timeout", wait.Round(time.Millisecond)))
		return false
	}
	return true
}

// isShed reports whether a new job is refused since this entry is short of processor time.
func (d *Dispatcher) isShed(j *job) bool {
	work := shedder.Work(len(j.Tasks), 0)
	d.shedder.ObserveOffer(work)
	return d.shedder.Level().Refuses(j.ID, work)
}

// suspend makes a job pending again after its range was lost, since the other
// holder may have started the tasks that were not started here.
func (d *Dispatcher) suspend(now time.Time, j *job) {
	if j.state != jobQueued {
		return
	}
	d.withdraw(j)
	j.state = jobPending
	j.pendingUntil = now.Add(reclaimDelay + claimWait)
	for i := range j.tasks {
		if j.tasks[i].phase == taskBackoff {
			j.tasks[i].phase = taskWaiting
		}
	}
	d.pending[j.ID] = j
}

// move passes a job whose range is now held by another entry to that entry,
// which learns from the upstreams what was started here. The waiters are
// forwarded to the new owner.
func (d *Dispatcher) move(now time.Time, j *job) {
	d.recordEvent(recorder.Event{Number: recorder.JobMoved, Job: j.ID, Task: recorder.NoTask})
	d.withdraw(j)
	waiters := j.waiters
	j.waiters = nil
	j.state = jobMoved
	delete(d.pending, j.ID)
	d.deadlines.remove(j)
	d.returnQuota(j)
	if j.runningTasks == 0 {
		d.forgetJob(j)
	}
	for _, w := range waiters {
		d.route(now, j.Job, w, 1, j.joinOnly)
	}
}

func (d *Dispatcher) forgetJob(j *job) {
	if d.jobs[j.ID] == j {
		delete(d.jobs, j.ID)
	}
}

// expireDeadlines answers the jobs whose deadline has passed and the pending
// ones that have waited long enough for knowledge of earlier starts.
func (d *Dispatcher) expireDeadlines(now time.Time) {
	for len(d.deadlines) > 0 && !now.Before(d.deadlines[0].deadline) {
		j := d.deadlines[0]
		d.fail(now, j, TimedOut, d.provenRan(j), "the job's timeout is over")
	}
	for _, j := range d.orderedPending() {
		if !now.Before(j.pendingUntil) {
			d.fail(now, j, OutcomeUnknown, j.ranPending(),
				"nothing was started by this submission; the outcome of an earlier one is unknown")
		}
	}
}

// expireWaiters answers the callers at this entry whose own deadline has passed
// before that of the job. The job has the deadline of the submission that
// created it, and its other waiters may have earlier ones.
func (d *Dispatcher) expireWaiters(now time.Time) {
	for _, j := range d.deadlines {
		remaining := j.waiters[:0]
		for _, w := range j.waiters {
			if w.peer != "" || now.Before(w.deadline) {
				remaining = append(remaining, w)
				continue
			}
			d.reply(w, &Answer{
				JobID: j.ID, Home: j.Home, Outcome: Failed, Ran: j.ranPending(), Reason: TimedOut,
				Message: "the timeout of this submission is over; an earlier or later one still runs",
			})
		}
		j.waiters = remaining
	}
}

// provenRan returns what is proven about the starts of a job. NotRun is proven
// only while this entry certainly holds the job's range: while the link to the
// next holder was lost or this entry stalled, the next holder may have taken over
// the range and started a task. Since a lost link is noticed only after a silence,
// NotRun is never proven for a job of which another entry may hold a copy.
func (d *Dispatcher) provenRan(j *job) Ran {
	switch ran := j.ran(); {
	case j.state == jobPending:
		return j.ranPending()
	case ran == NotRun && (d.mayHaveCopy(j) || !d.holdsClaimOf(j) || !d.isLinkedToNextHolder(j.rangeName) || j.arrivedAt.Before(d.catchUpUntil)):
		return Unknown
	default:
		return ran
	}
}

// provenRanBefore returns what is proven about the starts of a job that has not been
// admitted and of which no earlier starts are known.
func (d *Dispatcher) provenRanBefore(j *job) Ran {
	if d.mayHaveCopy(j) || !d.isLinkedToNextHolder(j.rangeName) || j.arrivedAt.Before(d.catchUpUntil) {
		return Unknown
	}
	return NotRun
}

// mayHaveCopy reports whether another entry may hold a copy of a job. A former holder
// that was called down may be stalled only: it moves its jobs once it resumes, so
// that it may have one of each job that was submitted before the claim took effect.
func (d *Dispatcher) mayHaveCopy(j *job) bool {
	c := d.claims[j.rangeName]
	return j.mayHaveCopy || d.isResubmission(j) && (c == nil || !d.isAfterClaim(c, j.Submitted))
}

func (j *job) ranPending() Ran {
	if j.provenStarts > 0 {
		return DidRun
	}
	return Unknown
}

// fail ends a job that is not complete with a failure.
func (d *Dispatcher) fail(now time.Time, j *job, reason Reason, ran Ran, message string) {
	if j.answer != nil {
		return
	}
	if ran == NotRun {
		d.counts.Refused++
	}
	d.withdraw(j)
	d.stopRunning(j)
	d.endJob(now, j, &Answer{
		JobID: j.ID, Home: j.Home, Outcome: Failed, Ran: ran, Reason: reason, Message: message,
	})
}

// endJob stores the answer of a job and sends it to all waiters.
func (d *Dispatcher) endJob(now time.Time, j *job, a *Answer) {
	j.answer = a
	j.state = jobEnded
	delete(d.pending, j.ID)
	d.deadlines.remove(j)
	d.returnQuota(j)
	number := recorder.JobAnswered
	if a.Ran == NotRun {
		number = recorder.JobRefused
	}
	d.recordEvent(recorder.Event{Number: number, Job: j.ID, Team: j.Team, Task: recorder.NoTask, Text: string(a.Reason)})
	for _, w := range j.waiters {
		d.reply(w, a)
	}
	j.waiters = nil
	if a.Ran == NotRun {
		d.rememberRefusal(now, a)
		d.forgetJob(j)
		return
	}
	d.keepAnswer(now, j)
}

func (d *Dispatcher) completeIfDone(now time.Time, j *job) {
	if j.state != jobQueued || j.completedTasks < len(j.tasks) {
		return
	}
	results := make([][]byte, len(j.tasks))
	for i := range j.tasks {
		results[i] = j.tasks[i].result
	}
	d.endJob(now, j, &Answer{JobID: j.ID, Home: j.Home, Outcome: Complete, Ran: DidRun, Results: results})
}

// refuse answers a submission for which no job was created here.
func (d *Dispatcher) refuse(w waiter, j *Job, reason Reason, ran Ran, message string) {
	d.counts.Refused++
	d.recordEvent(recorder.Event{Number: recorder.JobRefused, Job: j.ID, Team: j.Team, Task: recorder.NoTask, Text: string(reason)})
	d.reply(w, &Answer{JobID: j.ID, Home: j.Home, Outcome: Failed, Ran: ran, Reason: reason, Message: message})
}

func (d *Dispatcher) reply(w waiter, a *Answer) {
	d.counts.Answered++
	if w.peer != "" {
		d.send(w.peer, Message{Reply: &ForwardReply{Request: w.request, Answer: a}})
		return
	}
	d.effects.Replies = append(d.effects.Replies, Reply{Waiter: w.connection, Answer: a})
}
