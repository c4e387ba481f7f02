package holder

import (
	"slices"
	"time"
)

// Submit takes an order. One that is under way or answered already is joined.
func (h *Holder) Submit(now time.Time, entryVM string, o Order, out *Effects) {
	h.out = out
	if r, ok := h.answers[o.Key()]; ok && r.isFor(entryVM, &o) {
		r.answer.Attempt = o.Attempt
		h.out.Replies = append(h.out.Replies, Reply{entryVM, r.answer})
		return
	}
	if at, ok := h.cancelled[o.ID]; ok && now.Sub(at) <= cancelMemory {
		h.out.Replies = append(h.out.Replies, Reply{entryVM, Answer{ID: o.ID, Part: o.Part, Attempt: o.Attempt, Outcome: Cancelled}})
		return
	}
	if w, ok := h.withdrawn[o.Key()]; ok && w.entry == entryVM && o.Attempt <= w.attempt {
		h.decide(Decision{Event: "job-withdrawn", Job: o.ID, Request: o.Request, Peer: entryVM, Reason: "before it came"})
		return
	}
	if j := h.jobs[o.Key()]; j != nil {
		h.rejoin(now, entryVM, j, &o)
		return
	}
	if refusal := h.refuse(now, &o); refusal != nil {
		h.refuseOrder(now, entryVM, &o, refusal)
		return
	}
	j := newJob(now, entryVM, o)
	h.jobs[o.Key()] = j
	h.queue = append(h.queue, j)
	h.decide(Decision{Event: "job-admitted", Job: o.ID, Request: o.Request, Peer: entryVM, Wait: h.backlog(now)})
	h.place(now)
}

// rejoin goes on with a job that its entry sends again. One that another entry
// sends, or with other tasks, is a new try of the caller: what runs here of the
// former one ends first.
func (h *Holder) rejoin(now time.Time, entryVM string, j *job, o *Order) {
	if j.entry == entryVM && j.tasks() == o.tasks() {
		j.Attempt = o.Attempt
		return
	}
	if !j.stopping {
		h.decide(Decision{Event: "job-superseded", Job: j.ID, Request: o.Request, Peer: entryVM})
		h.giveUp(now, j, Answer{Outcome: Lost, Reason: "another entry has sent the job"})
	}
	h.out.Replies = append(h.out.Replies, Reply{entryVM, Answer{
		ID: o.ID, Part: o.Part, Attempt: o.Attempt, Outcome: Busy, Started: j.started, Wait: h.config.Timing.StopTime,
		Reason: "a former try is ending",
	}})
}

// SubmitUnlessNew takes an order that is known, and refuses a new one for a reason of
// this VM: it came late, or the VM is behind with its work.
func (h *Holder) SubmitUnlessNew(now time.Time, entryVM string, o Order, reason string, out *Effects) {
	r, isAnswered := h.answers[o.Key()]
	if h.jobs[o.Key()] != nil || isAnswered && r.isFor(entryVM, &o) {
		h.Submit(now, entryVM, o, out)
		return
	}
	h.out = out
	h.refuseOrder(now, entryVM, &o, &Answer{Outcome: Busy, Wait: behindWait, Reason: reason})
}

// refuseOrder answers an order of which nothing was started, and keeps the answer for
// the same attempt.
func (h *Holder) refuseOrder(now time.Time, entryVM string, o *Order, a *Answer) {
	h.decide(Decision{Event: "job-refused", Job: o.ID, Request: o.Request, Peer: entryVM, Reason: a.Reason, Wait: a.Wait})
	a.ID, a.Part, a.Attempt = o.ID, o.Part, o.Attempt
	h.answers[o.Key()] = remembered{entryVM, *a, o.tasks(), now}
	h.out.Replies = append(h.out.Replies, Reply{entryVM, *a})
}

// behindWait is the wait told by a VM that is behind with its work.
const behindWait = 500 * time.Millisecond

// refuse returns the answer to an order that cannot be served here in time.
func (h *Holder) refuse(now time.Time, o *Order) *Answer {
	if h.leaving {
		return &Answer{Outcome: Busy, Reason: "leaving"}
	}
	usable, ever := h.fitsAnywhere(o)
	if !ever {
		return &Answer{Outcome: Busy, Reason: "no upstream", Wait: noUpstreamWait}
	}
	if !usable {
		return &Answer{Outcome: Busy, Reason: "no upstream fits a task", Wait: noUpstreamWait}
	}
	wait := h.expectedWait(now, o)
	limit := o.Objective
	if o.AcceptLate {
		limit = min(lateAdmission*o.Objective/10, o.Remaining)
	}
	if !o.Force && wait > 0 && wait+o.Chain() > limit {
		return &Answer{Outcome: Busy, Reason: "queue", Wait: wait}
	}
	return nil
}

const (
	// noUpstreamWait is the wait told while no upstream is held: about the time
	// in which upstreams report again.
	noUpstreamWait = time.Second
	// lateAdmission tenths of the objective is how late a job may be expected to
	// end when no other holder would take it: later ones would delay those that
	// can still be on time.
	lateAdmission = 15
)

// fitsAnywhere reports whether each step fits an upstream that is usable, and
// whether any upstream of the service is held.
func (h *Holder) fitsAnywhere(o *Order) (fits, isServed bool) {
	fits = true
	for _, s := range o.Steps {
		stepFits := false
		for _, u := range h.upstreams {
			if u.phase != active || u.Service != o.Service || u.State != Ready {
				continue
			}
			isServed = true
			if u.hasLabel(s.Label) && s.Needs.fits(u.Capacity) {
				stepFits = true
				break
			}
		}
		fits = fits && stepFits
	}
	return fits, isServed
}

// CancelJob gives up a job that its caller has cancelled, and refuses it from now on.
func (h *Holder) CancelJob(now time.Time, entryVM, id string, out *Effects) {
	h.out = out
	h.cancelled[id] = now
	for key, j := range h.jobs {
		if key.ID == id && !j.stopping {
			h.decide(Decision{Event: "job-cancelled", Job: id, Request: j.Request, Peer: entryVM})
			h.giveUp(now, j, Answer{Outcome: Cancelled})
		}
	}
}

// Withdraw gives up a part of a job that its entry does not want any more, up to an
// attempt. The order may come later, if the two went different ways.
func (h *Holder) Withdraw(now time.Time, entryVM, id string, part, attempt int, out *Effects) {
	h.out = out
	j := h.jobs[Key{id, part}]
	if j == nil {
		h.withdrawn[Key{id, part}] = withdrawal{entryVM, attempt, now}
		return
	}
	if j.entry != entryVM || j.stopping || attempt < j.Attempt {
		return
	}
	h.decide(Decision{Event: "job-withdrawn", Job: id, Request: j.Request, Peer: entryVM})
	h.giveUp(now, j, Answer{Outcome: Lost, Reason: "its entry gave the job up"})
}

// abandon gives up the jobs of an entry.
func (h *Holder) abandon(now time.Time, vm, reason string) {
	for _, j := range h.jobs {
		if j.entry != vm || j.stopping {
			continue
		}
		h.decide(Decision{Event: "job-abandoned", Job: j.ID, Request: j.Request, Peer: vm, Reason: reason, IsFault: true})
		h.giveUp(now, j, Answer{Outcome: Lost, Reason: reason})
	}
}

// giveUp stops all runs of a job, and answers when they are gone.
func (h *Holder) giveUp(now time.Time, j *job, a Answer) {
	j.stopping, j.answer = true, a
	h.unqueue(j)
	for _, tasks := range j.steps {
		for _, t := range tasks {
			if r := t.run; r != nil {
				h.discard(now, r)
			}
		}
	}
	if j.runs == 0 || a.Outcome == Failed || a.Outcome == Cancelled {
		h.finish(now, j, a)
	}
}

// discard stops a run whose end decides nothing any more.
func (h *Holder) discard(now time.Time, r *run) {
	r.discarded = true
	if r.state != running {
		return
	}
	for _, u := range h.upstreams {
		if u.runs[r.key()] == r {
			r.state = doubtful
			h.stop(now, u, r)
			return
		}
	}
}

// finish answers a job and forgets it.
func (h *Holder) finish(now time.Time, j *job, a Answer) {
	a.ID, a.Part, a.Attempt, a.Started = j.ID, j.Part, j.Attempt, j.started
	delete(h.jobs, j.Key())
	h.unqueue(j)
	h.answers[j.Key()] = remembered{j.entry, a, j.tasks(), now}
	h.decide(Decision{
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

func (h *Holder) unqueue(j *job) {
	if i := slices.Index(h.queue, j); i >= 0 {
		h.queue = slices.Delete(h.queue, i, i+1)
	}
}

// afterRun puts a task whose run has gone without being done back in the queue,
// and ends a job that waited for its runs to be gone.
func (h *Holder) afterRun(now time.Time, r *run) {
	h.isPlacing = true
	j := r.task.job
	if h.jobs[j.Key()] != j {
		return
	}
	if j.stopping {
		if j.runs == 0 {
			h.finish(now, j, j.answer)
		}
		return
	}
	if !slices.Contains(h.queue, j) {
		h.queue = append(h.queue, j)
	}
}

// dropLate gives up jobs that wait and cannot end in time to be of use.
func (h *Holder) dropLate(now time.Time) {
	for _, j := range slices.Clone(h.queue) {
		switch {
		case !j.started && now.Add(j.Chain()).After(j.giveUpAt()):
			h.giveUp(now, j, Answer{Outcome: Busy, Reason: "no place came free in time", Wait: h.backlog(now)})
		case now.After(j.arrivedAt.Add(j.Remaining)):
			h.giveUp(now, j, Answer{Outcome: Lost, Reason: "the caller's deadline has passed"})
		case j.runs == 0 && now.Sub(j.arrivedAt) > strandedAfter && !h.serves(j.Service):
			h.giveUp(now, j, Answer{Outcome: Lost, Reason: "no upstream is held here any more"})
		}
	}
}

// strandedAfter is how long a job waits here though no upstream of its service
// is held: longer than taking one lasts.
const strandedAfter = 100 * time.Millisecond

func (h *Holder) serves(service string) bool {
	for _, u := range h.upstreams {
		if u.phase == active && u.Service == service {
			return true
		}
	}
	return false
}
