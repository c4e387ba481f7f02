package dispatcher

import "time"

// refusal is an answer that a job did not run. Copies of the submission that
// were in transit when it was given must not run the job afterwards.
type refusal struct {
	answer *Answer
	at     time.Time
}

const (
	refusalTTL  = 30 * time.Second
	maxRefusals = 100_000
)

func (d *Dispatcher) rememberRefusal(now time.Time, a *Answer) {
	d.refusals[a.JobID] = refusal{answer: a, at: now}
	d.refusalQueue = append(d.refusalQueue, refusal{answer: a, at: now})
	d.expireRefusals(now)
}

func (d *Dispatcher) expireRefusals(now time.Time) {
	for len(d.refusalQueue) > 0 && (len(d.refusalQueue) > maxRefusals || now.Sub(d.refusalQueue[0].at) > refusalTTL) {
		oldest := d.refusalQueue[0]
		d.refusalQueue[0] = refusal{}
		d.refusalQueue = d.refusalQueue[1:]
		if d.refusals[oldest.answer.JobID].at.Equal(oldest.at) {
			delete(d.refusals, oldest.answer.JobID)
		}
	}
}

// refusalOf returns the refusal of a job if it was given after the waiter's
// submission was received, otherwise nil. The clock of another entry may
// differ by the allowed skew. If the submission was at another owner or this entry
// has not held the range ever since the refusal, another one may have run the job
// meanwhile. This entry may not have noticed that, since it learns of a lost range
// only when an upstream refuses its epoch.
func (d *Dispatcher) refusalOf(j *Job, rangeName string, w *waiter, hops int) *Answer {
	r, ok := d.refusals[j.ID]
	if !ok {
		return nil
	}
	limit := r.at
	if w.peer != "" {
		limit = limit.Add(d.config.Limits.ClockSkew)
	}
	if w.receivedAt.After(limit) {
		return nil
	}
	if c := d.claims[rangeName]; wasAtOtherOwner(w, hops) || c == nil || !c.reclaimAt.IsZero() || c.claimedAt.After(r.at) {
		return &Answer{
			JobID: j.ID, Home: j.Home, Outcome: Failed, Ran: Unknown, Reason: OutcomeUnknown,
			Message: "the job was refused by this entry, and another one may have run it afterwards; submit it again",
		}
	}
	return r.answer
}
