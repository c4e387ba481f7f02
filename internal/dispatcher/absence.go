package dispatcher

import "time"

// absenceState is what is known about a copy of a resubmitted job at the next holder of
// its range.
type absenceState int

const (
	absenceUnasked absenceState = iota
	absenceAsked
	absenceProven
)

// isAbsenceProven reports whether a job that is to be refused because of evacuations
// cannot have been taken by the next holder. An earlier submission of the job may be
// there if the next holder has taken over the range over a link that is silent but not
// lost yet. It is asked for the job; without its answer nothing is proven.
func (d *Dispatcher) isAbsenceProven(now time.Time, j *job) bool {
	nextHolder, ok := d.router.NextHolder(j.rangeName, d.config.VM)
	if !ok || !d.isResubmission(j) || j.absence == absenceProven {
		return true
	}
	if j.absence == absenceUnasked && d.linked[nextHolder] {
		j.absence = absenceAsked
		d.askForCopy(now, j, nextHolder)
	}
	return false
}

// isResubmission reports whether a job was first submitted so long before its arrival that
// another entry may have received it meanwhile.
func (d *Dispatcher) isResubmission(j *job) bool {
	return j.arrivedAt.Sub(j.Submitted) > d.config.Limits.ClockSkew
}

func (d *Dispatcher) askForCopy(now time.Time, j *job, nextHolder string) {
	d.lastRequest++
	f := &forward{
		request: d.lastRequest, target: nextHolder, absenceOf: j, sent: true, everSent: true,
		unsentSince: now, deadline: now.Add(queryTimeout),
		query: &Query{Request: d.lastRequest, Kind: Lookup, JobID: j.ID, Home: j.Home},
	}
	d.forwards[f.request] = f
	query := *f.query
	d.send(nextHolder, Message{Query: &query})
}

// handleAbsence records whether the next holder knows the job. The next check of the
// evacuations refuses the job if it does not.
func (d *Dispatcher) handleAbsence(f *forward, a *Answer) {
	delete(d.forwards, f.request)
	f.absenceOf.absence = absenceProven
	if a.Reason != UnknownJob {
		f.absenceOf.mayHaveCopy = true
	}
}

// expireAbsence drops a query that the next holder has not answered, or whose link was
// lost, so that it is asked again.
func (d *Dispatcher) expireAbsence(now time.Time, f *forward) {
	if now.Before(f.deadline) && f.sent {
		return
	}
	delete(d.forwards, f.request)
	f.absenceOf.absence = absenceUnasked
}
