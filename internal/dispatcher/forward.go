package dispatcher

import (
	"time"

	"bronzedrift.example/bronzedrift/internal/recorder"
)

// forward is a submission or query that another entry has to answer.
type forward struct {
	request        uint64
	job            *Job
	query          *Query
	waiter         waiter
	target         string
	hops           int
	joinOnly       bool
	sent           bool
	everSent       bool
	unsentSince    time.Time
	deadline       time.Time
	pendingReplies int
	// absenceOf is the job of which a query asks the next holder for a copy.
	absenceOf *job
	// confirms is the number of incarnations that the answer to a query confirms.
	confirms uint64
}

const (
	// unreachableWait is how long a submission waits for a link to its owner.
	unreachableWait = 1500 * time.Millisecond
	// queryTimeout limits the lookup or cancellation of a job.
	queryTimeout = 2 * time.Second
	// answerMargin is subtracted from the time given to the owner, so that its
	// answer can arrive in time; a short timeout loses at most a tenth.
	answerMargin = 20 * time.Millisecond
)

func replyBudget(remaining time.Duration) time.Duration {
	return remaining - min(answerMargin, remaining/10)
}

func (d *Dispatcher) forwardJob(now time.Time, j *Job, w waiter, target string, hops int, joinOnly bool) {
	d.counts.Forwarded++
	d.lastRequest++
	f := &forward{
		request: d.lastRequest, job: j, waiter: w, target: target, hops: hops, joinOnly: joinOnly,
		unsentSince: now, deadline: w.deadline,
	}
	d.forwards[f.request] = f
	d.recordEvent(recorder.Event{Number: recorder.JobForwarded, Job: j.ID, Peer: target, Task: recorder.NoTask})
	d.transmit(now, f)
}

// transmit sends a forward if the link to its target is up.
func (d *Dispatcher) transmit(now time.Time, f *forward) {
	if !d.linked[f.target] {
		return
	}
	f.sent, f.everSent = true, true
	if f.query != nil {
		q := *f.query
		d.send(f.target, Message{Query: &q})
		return
	}
	d.send(f.target, Message{Forward: &Forward{Request: f.request, Hops: f.hops, Job: f.job, JoinOnly: f.joinOnly, TimeLeft: replyBudget(f.waiter.deadline.Sub(now)), Received: f.waiter.receivedAt}})
}

// handleForward handles a submission that another entry has forwarded.
func (d *Dispatcher) handleForward(now time.Time, from string, f *Forward) {
	w := waiter{peer: from, request: f.Request, receivedAt: f.Received, deadline: now.Add(f.TimeLeft)}
	d.route(now, f.Job, w, f.Hops, f.JoinOnly)
}

// handleReply passes the owner's answer on to the waiter.
func (d *Dispatcher) handleReply(now time.Time, r *ForwardReply) {
	f := d.forwards[r.Request]
	if f == nil || f.jobID() != r.Answer.JobID {
		return
	}
	if f.absenceOf != nil {
		d.handleAbsence(f, r.Answer)
		return
	}
	if f.confirms > 0 {
		d.handleConfirmation(now, f)
		return
	}
	if f.query != nil && r.Answer.Reason == UnknownJob && f.pendingReplies > 1 {
		f.pendingReplies--
		return
	}
	delete(d.forwards, r.Request)
	d.reply(f.waiter, r.Answer)
}

func (f *forward) jobID() string {
	if f.job != nil {
		return f.job.ID
	}
	return f.query.JobID
}

func (d *Dispatcher) markForwardsUnsent(now time.Time, peer string) {
	for _, f := range d.orderedForwards() {
		if f.target == peer && f.sent {
			f.sent = false
			f.unsentSince = now
		}
	}
}

func (d *Dispatcher) resendForwards(now time.Time, peer string) {
	for _, f := range d.orderedForwards() {
		if f.target == peer && !f.sent {
			d.transmit(now, f)
		}
	}
}

// rerouteForwards routes submissions again whose target is no longer the owner
// in the current view. A draining target answers the submissions that it has
// received or passes them on itself.
func (d *Dispatcher) rerouteForwards(now time.Time) {
	for _, f := range d.orderedForwards() {
		if f.job == nil {
			continue
		}
		rangeName := d.router.Range(f.job.Home, f.job.ID)
		holder, ok := d.router.Holder(rangeName)
		if !ok || holder == f.target {
			continue
		}
		if d.router.IsDraining(f.target) && f.sent {
			continue
		}
		delete(d.forwards, f.request)
		f.waiter.wasForwarded = f.waiter.wasForwarded || f.everSent
		d.route(now, f.job, f.waiter, 1, f.joinOnly)
	}
}

// expireForwards answers forwards whose deadline has passed or whose target
// has been unreachable for too long.
func (d *Dispatcher) expireForwards(now time.Time) {
	for _, f := range d.orderedForwards() {
		switch {
		case f.absenceOf != nil:
			d.expireAbsence(now, f)
		case f.confirms > 0:
			d.expireConfirmation(now, f)
		case !now.Before(f.deadline):
			delete(d.forwards, f.request)
			d.reply(f.waiter, f.failure(TimedOut, "the owner of the job has not answered in time"))
		case !f.sent && now.Sub(f.unsentSince) >= unreachableWait:
			delete(d.forwards, f.request)
			d.reply(f.waiter, f.failure(HomeUnreachable, f.unreachableMessage()))
		}
	}
}

func (f *forward) unreachableMessage() string {
	if f.everSent {
		return "the link to the owner of the job was lost; its outcome is unknown"
	}
	return "the owner of the job is unreachable; nothing was started by this submission, the outcome of an earlier one is unknown"
}

func (f *forward) failure(reason Reason, message string) *Answer {
	a := &Answer{Outcome: Failed, Ran: Unknown, Reason: reason, Message: message}
	if f.job != nil {
		a.JobID, a.Home = f.job.ID, f.job.Home
	} else {
		a.JobID, a.Home = f.query.JobID, f.query.Home
	}
	return a
}

// handleCallerQuery answers a caller's lookup or cancellation of a job from this
// entry's own jobs, or else by querying the linked entries.
func (d *Dispatcher) handleCallerQuery(now time.Time, q *CallerQuery) {
	w := waiter{connection: q.Waiter}
	if a := d.answerQuery(now, q.Kind, q.JobID); a != nil {
		d.reply(w, a)
		return
	}
	d.lastRequest++
	f := &forward{
		request: d.lastRequest, waiter: w, unsentSince: now, deadline: now.Add(queryTimeout),
		query: &Query{Request: d.lastRequest, Kind: q.Kind, JobID: q.JobID, Home: q.Home},
		sent:  true, everSent: true,
	}
	for _, vm := range d.router.VMs() {
		if vm.Name == d.config.VM || !d.linked[vm.Name] {
			continue
		}
		f.pendingReplies++
		query := *f.query
		d.send(vm.Name, Message{Query: &query})
	}
	if f.pendingReplies == 0 {
		d.reply(w, unknownJob(q.JobID))
		return
	}
	d.forwards[f.request] = f
}

func (d *Dispatcher) handleQuery(now time.Time, from string, q *Query) {
	a := d.answerQuery(now, q.Kind, q.JobID)
	if a == nil {
		a = unknownJob(q.JobID)
	}
	d.send(from, Message{Reply: &ForwardReply{Request: q.Request, Answer: a}})
}

// answerQuery cancels a job owned here if asked to and returns its state, or
// nil if the job is not known.
func (d *Dispatcher) answerQuery(now time.Time, kind QueryKind, jobID string) *Answer {
	j := d.jobs[jobID]
	if j == nil || j.state == jobMoved {
		return nil
	}
	if j.answer == nil && kind == Cancel {
		d.cancel(now, j)
	}
	if j.answer != nil {
		return j.answer
	}
	return &Answer{JobID: j.ID, Home: j.Home, Outcome: Running, Ran: j.ran()}
}

func unknownJob(jobID string) *Answer {
	return &Answer{
		JobID: jobID, Outcome: Failed, Ran: Unknown, Reason: UnknownJob,
		Message: "job-id: no entry within reach knows this job; whether it ran is unknown",
	}
}
