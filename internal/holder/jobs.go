package holder

import (
	"slices"
	"time"

	"bronzedrift.example/bronzedrift/internal/evacuator"
)

// Submit accepts an order. A repeated order joins its running job, or gets the answer
// that was given before.
func (h *Holder) Submit(now time.Time, entryVM string, o Order, out *Effects) {
	h.out = out
	if r, ok := h.answers[o.Key()]; ok && r.appliesTo(entryVM, &o) {
		r.answer.Attempt = o.Attempt
		h.out.Replies = append(h.out.Replies, Reply{entryVM, r.answer})
		return
	}
	if at, ok := h.cancelled[o.ID]; ok && now.Sub(at) <= cancelTTL {
		h.out.Replies = append(h.out.Replies, Reply{entryVM, Answer{ID: o.ID, Part: o.Part, Attempt: o.Attempt, Outcome: Cancelled}})
		return
	}
	if w, ok := h.withdrawn[o.Key()]; ok && w.entry == entryVM && o.Attempt <= w.attempt {
		h.logDecision(Decision{Event: "job-withdrawn", Job: o.ID, Request: o.Request, Peer: entryVM, Reason: "before it came"})
		return
	}
	if j := h.jobs[o.Key()]; j != nil {
		h.handleResend(now, entryVM, j, &o)
		return
	}
	j := newJob(now, entryVM, o)
	if t := h.givenUpTask(now, j); t != nil {
		h.logGivenUp(now, t)
		j.started = true
		h.finish(now, j, Answer{Outcome: Failed, Reason: givenUpReason})
		return
	}
	if h.isShed(&o) {
		h.refuseOrder(now, entryVM, &o, &Answer{Outcome: Busy, Wait: overloadWait, Reason: OverloadedReason})
		return
	}
	wait, refusal := h.checkAdmission(now, &o)
	if refusal != nil {
		h.refuseOrder(now, entryVM, &o, refusal)
		return
	}
	h.jobs[o.Key()] = j
	h.queue = append(h.queue, j)
	h.logDecision(Decision{Event: "job-admitted", Job: o.ID, Request: o.Request, Peer: entryVM, Wait: wait})
	h.placeTasks(now)
}

// handleResend handles a further order for a job that is under way. The same order
// from the same entry continues the job. One from another entry, or for other tasks, is
// a new attempt of the caller: it is refused until the runs of the previous one have ended.
func (h *Holder) handleResend(now time.Time, entryVM string, j *job, o *Order) {
	if j.entry == entryVM && j.taskRange() == o.taskRange() {
		j.Attempt = o.Attempt
		return
	}
	if !j.abandoned {
		h.logDecision(Decision{Event: "job-superseded", Job: j.ID, Request: o.Request, Peer: entryVM})
		h.abandonJob(now, j, Answer{Outcome: Lost, Reason: "another entry has sent the job"})
	}
	h.out.Replies = append(h.out.Replies, Reply{entryVM, Answer{
		ID: o.ID, Part: o.Part, Attempt: o.Attempt, Outcome: Busy, Started: j.started, Wait: h.config.Timing.StopTime,
		Reason: "a former try is ending",
	}})
}

// SubmitKnown accepts an order only if it is known. A new one is refused for the
// given reason: it came late, or the VM is overloaded.
func (h *Holder) SubmitKnown(now time.Time, entryVM string, o Order, reason string, out *Effects) {
	r, isAnswered := h.answers[o.Key()]
	if h.jobs[o.Key()] != nil || isAnswered && r.appliesTo(entryVM, &o) {
		h.Submit(now, entryVM, o, out)
		return
	}
	h.out = out
	h.refuseOrder(now, entryVM, &o, &Answer{Outcome: Busy, Wait: overloadWait, Reason: reason})
}

// refuseOrder answers an order of which nothing was started, and keeps the answer for
// resends of the same attempt.
func (h *Holder) refuseOrder(now time.Time, entryVM string, o *Order, a *Answer) {
	h.logDecision(Decision{Event: "job-refused", Job: o.ID, Request: o.Request, Peer: entryVM, Reason: a.Reason, Wait: a.Wait})
	a.ID, a.Part, a.Attempt = o.ID, o.Part, o.Attempt
	h.answers[o.Key()] = cachedAnswer{entryVM, *a, o.taskRange(), now}
	h.out.Replies = append(h.out.Replies, Reply{entryVM, *a})
}

// OverloadedReason is the reason of the answer to a job that a VM refuses for want of processor time.
const OverloadedReason = "this VM is short of processor time"

// isShed reports whether a new order is refused since this VM is short of processor time. A part of a
// job that has begun elsewhere is not.
func (h *Holder) isShed(o *Order) bool {
	s := h.config.Shedder
	if s == nil {
		return false
	}
	work := o.Work()
	s.ObserveOffer(work)
	return !o.Force && s.Level().Refuses(o.ID, work)
}

// overloadWait is the wait reported by an overloaded VM.
const overloadWait = 500 * time.Millisecond

// checkAdmission returns the expected wait of an order for capacity, and its refusal if it can't be
// served here in time, or nil.
func (h *Holder) checkAdmission(now time.Time, o *Order) (wait time.Duration, refusal *Answer) {
	if h.draining {
		return 0, &Answer{Outcome: Busy, Reason: "leaving"}
	}
	fits, isServed := h.fitsAnywhere(o)
	if !fits && h.isClosedTo(o) {
		h.evacuator.NoteShortage()
		return 0, &Answer{Outcome: Busy, Reason: EvacuatedReason, Wait: noUpstreamWait}
	}
	if !isServed {
		return 0, &Answer{Outcome: Busy, Reason: "no upstream", Wait: noUpstreamWait}
	}
	if !fits {
		return 0, &Answer{Outcome: Busy, Reason: "no upstream fits a task", Wait: noUpstreamWait}
	}
	wait = h.expectedWait(now, o)
	if !o.Force && h.isConfined(o, wait) {
		return wait, &Answer{Outcome: Busy, Reason: "its kind of job crashes upstreams", Wait: confinedWait}
	}
	if refusal, isDecided := h.checkShare(now, o, wait); isDecided {
		return wait, refusal
	}
	limit := o.Objective
	if o.AcceptLate {
		limit = min(lateAdmissionTenths*o.Objective/10, o.Remaining)
	}
	if !o.Force && wait > 0 && wait+o.CriticalPath() > limit {
		h.evacuator.NoteShortage()
		h.returnShare(now, o)
		return wait, &Answer{Outcome: Busy, Reason: "queue", Wait: wait}
	}
	return wait, nil
}

const (
	// noUpstreamWait is the wait reported while no upstream is held: about the time
	// within which upstreams send their next heartbeat.
	noUpstreamWait = time.Second
	// lateAdmissionTenths is the maximum expected time to the end of a job with
	// AcceptLate, which no other holder would accept, in tenths of its objective. Jobs
	// that end later would delay those that can still be on time.
	lateAdmissionTenths = 15
)

// fitsAnywhere reports whether each step fits a ready upstream that is held, and
// whether any such upstream of the service exists.
func (h *Holder) fitsAnywhere(o *Order) (fits, isServed bool) {
	fits = true
	for _, s := range o.Steps {
		stepFits := false
		for _, u := range h.lookHeld() {
			if u.phase != active || u.Service != o.Service || u.State != Ready || u.access != evacuator.Open {
				continue
			}
			isServed = true
			if u.hasLabel(s.Label) && s.Needs.fitsIn(u.Capacity) {
				stepFits = true
				break
			}
		}
		fits = fits && stepFits
	}
	return fits, isServed
}

// CancelJob abandons a job that its caller has cancelled, and refuses later orders for it.
func (h *Holder) CancelJob(now time.Time, entryVM, id string, out *Effects) {
	h.out = out
	h.cancelled[id] = now
	h.abandonCancelled(now, entryVM, id)
}

func (h *Holder) abandonCancelled(now time.Time, peer, id string) {
	for key, j := range h.jobs {
		if key.ID == id && !j.abandoned {
			h.logDecision(Decision{Event: "job-cancelled", Job: id, Request: j.Request, Peer: peer})
			h.abandonJob(now, j, Answer{Outcome: Cancelled})
		}
	}
}

// Cancellation is a caller's cancellation of a job.
type Cancellation struct {
	JobID string
	At    time.Time
}

// Cancellations returns those for which orders are still refused, for a VM on a new link.
func (h *Holder) Cancellations(now time.Time) []Cancellation {
	var list []Cancellation
	for id, at := range h.cancelled {
		if now.Sub(at) <= cancelTTL {
			list = append(list, Cancellation{id, at})
		}
	}
	return list
}

// HandleCancellations adds cancellations that another VM has been told of.
func (h *Holder) HandleCancellations(now time.Time, from string, list []Cancellation, out *Effects) {
	h.out = out
	for _, c := range list {
		if now.Sub(c.At) > cancelTTL || !c.At.After(h.cancelled[c.JobID]) {
			continue
		}
		h.cancelled[c.JobID] = c.At
		h.abandonCancelled(now, from, c.JobID)
	}
}

// Withdraw abandons a part of a job that its entry no longer wants, up to an attempt.
// The withdrawal is remembered if it arrives before its order, which may have taken
// another path through the network.
func (h *Holder) Withdraw(now time.Time, entryVM, id string, part, attempt int, out *Effects) {
	h.out = out
	j := h.jobs[Key{id, part}]
	if j == nil {
		h.withdrawn[Key{id, part}] = withdrawal{entryVM, attempt, now}
		return
	}
	if j.entry != entryVM || j.abandoned || attempt < j.Attempt {
		return
	}
	h.logDecision(Decision{Event: "job-withdrawn", Job: id, Request: j.Request, Peer: entryVM})
	h.abandonJob(now, j, Answer{Outcome: Lost, Reason: "its entry gave the job up"})
}

// abandonEntryJobs abandons all jobs of an entry.
func (h *Holder) abandonEntryJobs(now time.Time, vm, reason string) {
	for _, j := range h.jobs {
		if j.entry != vm || j.abandoned {
			continue
		}
		h.logDecision(Decision{Event: "job-abandoned", Job: j.ID, Request: j.Request, Peer: vm, Reason: reason, IsFault: true})
		h.abandonJob(now, j, Answer{Outcome: Lost, Reason: reason})
	}
}

// abandonJob stops all runs of a job. Failed and Cancelled are answered at once,
// other outcomes when the runs have gone.
func (h *Holder) abandonJob(now time.Time, j *job, a Answer) {
	j.abandoned, j.answer = true, a
	h.dequeue(j)
	for _, tasks := range j.steps {
		for _, t := range tasks {
			if r := t.run; r != nil {
				h.discard(now, r)
			}
		}
	}
	if j.runCount == 0 || a.Outcome == Failed || a.Outcome == Cancelled {
		h.finish(now, j, a)
	}
}

// discard stops a run that its job no longer needs. One whose start is still open is stopped
// when the answer arrives or times out. One without an answer is stopped at once: the list that
// would show it may not arrive either, while the calls that ask for it renew its lease.
func (h *Holder) discard(now time.Time, r *run) {
	r.discarded = true
	if r.state != running && r.state != unanswered {
		return
	}
	if u := h.upstreams[r.upstream]; u != nil && u.runs[r.key()] == r {
		r.state = unconfirmed
		h.sendStop(now, u, r)
	}
}

// finish answers a job and forgets it.
func (h *Holder) finish(now time.Time, j *job, a Answer) {
	a.ID, a.Part, a.Attempt, a.Started = j.ID, j.Part, j.Attempt, j.started
	delete(h.jobs, j.Key())
	h.dequeue(j)
	if !j.started {
		h.returnShare(now, &j.Order)
	}
	h.answers[j.Key()] = cachedAnswer{j.entry, a, j.taskRange(), now}
	h.logDecision(Decision{
		Event: "job-" + outcomeName(a.Outcome), Job: j.ID, Request: j.Request, Peer: j.entry, Reason: a.Reason,
		Wait: now.Sub(j.arrivedAt), IsFault: a.Outcome != Completed,
	})
	h.out.Replies = append(h.out.Replies, Reply{j.entry, a})
}

func outcomeName(o Outcome) string {
	switch o {
	case Completed:
		return "completed"
	case Failed:
		return "failed"
	case Cancelled:
		return "cancelled"
	case Busy:
		return "busy"
	}
	return "lost"
}

func (h *Holder) dequeue(j *job) {
	if i := slices.Index(h.queue, j); i >= 0 {
		h.queue = slices.Delete(h.queue, i, i+1)
	}
}

// requeueOrFinish is called when a run has gone. It puts the job back in the queue,
// or answers an abandoned job whose last run this was.
func (h *Holder) requeueOrFinish(now time.Time, r *run) {
	h.needsPlacement = true
	j := r.task.job
	if h.jobs[j.Key()] != j {
		return
	}
	if j.abandoned {
		if j.runCount == 0 {
			h.finish(now, j, j.answer)
		}
		return
	}
	if !slices.Contains(h.queue, j) {
		h.queue = append(h.queue, j)
	}
}

// abandonLateJobs abandons queued jobs that can't end in time to be of use.
func (h *Holder) abandonLateJobs(now time.Time) {
	for _, j := range slices.Clone(h.queue) {
		switch {
		case !j.started && h.isClosedToRest(j):
			h.abandonJob(now, j, Answer{Outcome: Busy, Reason: EvacuatedReason, Wait: noUpstreamWait})
		case j.runCount == 0 && h.isClosedToRest(j):
			h.abandonJob(now, j, Answer{Outcome: Lost, Reason: EvacuatedReason})
		case !j.started && now.Add(j.CriticalPath()).After(j.abandonAt()):
			h.abandonJob(now, j, Answer{Outcome: Busy, Reason: "no place came free in time", Wait: h.backlog(now)})
		case now.After(j.arrivedAt.Add(j.Remaining)):
			h.abandonJob(now, j, Answer{Outcome: Lost, Reason: "the caller's deadline has passed"})
		case j.runCount == 0 && now.Sub(j.arrivedAt) > maxWaitWithoutUpstream && !h.holdsService(j.Service):
			h.abandonJob(now, j, Answer{Outcome: Lost, Reason: "no upstream is held here any more"})
		}
	}
}

// maxWaitWithoutUpstream is how long a job waits here while no upstream of its service
// is held: longer than it takes to take one.
const maxWaitWithoutUpstream = 100 * time.Millisecond

func (h *Holder) holdsService(service string) bool {
	for _, u := range h.lookHeld() {
		if u.phase == active && u.Service == service {
			return true
		}
	}
	return false
}
