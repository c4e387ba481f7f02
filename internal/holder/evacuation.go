package holder

import (
	"fmt"
	"slices"
	"time"

	"bronzedrift.example/bronzedrift/internal/configurer"
	"bronzedrift.example/bronzedrift/internal/evacuator"
)

// DefaultEvacuationDeadline applies if no deadline is configured.
const DefaultEvacuationDeadline = 5 * time.Second

// EvacuatedReason is the reason of the answer to a job whose data centre is evacuated.
const EvacuatedReason = "the data centre is evacuated"

// SetEvacuations puts a newer set of evacuations in force. What runs is not stopped. Jobs that
// have not started go back to their entries as the upstreams are closed to them.
func (h *Holder) SetEvacuations(now time.Time, set configurer.EvacuationSet, out *Effects) {
	h.out = out
	h.evacuator.Update(now, set)
	h.updateAccess()
}

// updateAccess applies the evacuations to the known upstreams.
func (h *Holder) updateAccess() {
	changes := map[string]int{}
	for _, u := range h.look() {
		before := u.access
		u.access = h.evacuator.Access(u.DataCentre, u.ID)
		if u.access != before {
			h.needsPlacement = true
		}
		if u.access != before && u.phase == active {
			changes[u.DataCentre]++
		}
	}
	for dataCentre, changed := range changes {
		h.logDecision(Decision{
			Event:  "evacuation-step",
			Reason: fmt.Sprintf("%s: %d upstreams changed, %.0f%% are open", dataCentre, changed, 100*h.evacuator.OpenShare(dataCentre)),
		})
	}
}

// admits reports whether tasks of a job may start on an upstream while its data centre is
// evacuated.
func (u *trackedUpstream) admits(j *job) bool {
	return u.access == evacuator.Open || u.access == evacuator.StartedJobs && j.started
}

// isClosedTo reports whether an evacuation has closed all held upstreams that fit one of the
// steps of an order.
func (h *Holder) isClosedTo(o *Order) bool {
	for i := range o.Steps {
		if h.isStepClosed(o, i, false) {
			return true
		}
	}
	return false
}

// isClosedToRest is isClosedTo for the steps of a job that are not done.
func (h *Holder) isClosedToRest(j *job) bool {
	for s, tasks := range j.steps {
		isDone := !slices.ContainsFunc(tasks, func(t *task) bool { return !t.done })
		if !isDone && h.isStepClosed(&j.Order, s, j.started) {
			return true
		}
	}
	return false
}

func (h *Holder) isStepClosed(o *Order, step int, started bool) bool {
	s := &o.Steps[step]
	isHeld := false
	for _, u := range h.lookHeld() {
		if u.phase != active || u.Service != o.Service || !u.hasLabel(s.Label) || !s.Needs.fitsIn(u.Capacity) {
			continue
		}
		if u.access == evacuator.Open || u.access == evacuator.StartedJobs && started {
			return false
		}
		isHeld = true
	}
	return isHeld
}

// isEvacuated reports whether an evacuation has closed all held upstreams to new jobs, or all known
// ones, which this VM may take, if none is held.
func (h *Holder) isEvacuated() bool {
	holds := false
	for _, u := range h.lookHeld() {
		if u.State == Gone || u.phase != active {
			continue
		}
		if u.access == evacuator.Open {
			return false
		}
		holds = true
	}
	if holds {
		return true
	}
	knows := false
	for _, u := range h.look() {
		if u.State == Gone {
			continue
		}
		if u.access == evacuator.Open {
			return false
		}
		knows = true
	}
	return knows
}

// RunsIn returns the number of runs on the held upstreams of a data centre.
func (h *Holder) RunsIn(dataCentre string) int {
	runs := 0
	for _, u := range h.lookHeld() {
		if u.DataCentre == dataCentre && u.phase != notHeld {
			runs += len(u.runs)
		}
	}
	return runs
}
