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
// differ by the allowed skew.
func (d *Dispatcher) refusalOf(jobID string, w *waiter) *Answer {
	r, ok := d.refusals[jobID]
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
	return r.answer
}
