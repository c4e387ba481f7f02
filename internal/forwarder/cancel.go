package forwarder

import (
	"time"
)

// cancellation is a caller's cancellation of a job that is not confirmed yet by all VMs that
// may start its tasks.
type cancellation struct {
	jobID string
	// waiter is the caller to answer.
	waiter    uint64
	confirmed map[string]bool
	nextAt    time.Time
	expiresAt time.Time
}

// CancelOutcome is the answer to one caller that has cancelled a job. Unless it is confirmed,
// tasks of the job may still start.
type CancelOutcome struct {
	Waiter      uint64
	IsConfirmed bool
}

const (
	// cancelResendInterval is the pause before a cancellation is sent again to VMs that have
	// not confirmed it: several round trips, and shorter than the reconnection of a link.
	cancelResendInterval = 200 * time.Millisecond
	// cancelTimeout leaves the caller time to send the cancellation to another entry.
	cancelTimeout = time.Second
)

// Cancel cancels a job, on behalf of its caller, at all VMs that may start its tasks. The
// outcome is an effect of this call or of a later one.
func (f *Forwarder) Cancel(now time.Time, id string, waiter uint64, out *Effects) {
	f.out = out
	c := &cancellation{jobID: id, waiter: waiter, confirmed: map[string]bool{}, expiresAt: now.Add(cancelTimeout)}
	f.cancellations = append(f.cancellations, c)
	f.sendCancellation(now, c)
}

// CancelConfirmed handles the confirmation of a VM that starts no more tasks of a job.
func (f *Forwarder) CancelConfirmed(now time.Time, from, id string, out *Effects) {
	f.out = out
	for _, c := range f.cancellations {
		if c.jobID == id {
			c.confirmed[from] = true
		}
	}
	f.checkCancellations(now)
}

func (f *Forwarder) sendCancellation(now time.Time, c *cancellation) {
	c.nextAt = now.Add(cancelResendInterval)
	for _, vm := range f.peers.Known() {
		if !c.confirmed[vm] {
			f.out.Sends = append(f.out.Sends, Send{To: vm, Cancel: &Cancel{ID: c.jobID, AllParts: true}})
		}
	}
}

// checkCancellations answers the callers whose cancellation is confirmed or has timed out, and
// resends the others.
func (f *Forwarder) checkCancellations(now time.Time) {
	remaining := f.cancellations[:0]
	for _, c := range f.cancellations {
		isConfirmed := f.isCancelConfirmed(now, c)
		switch {
		case isConfirmed, !now.Before(c.expiresAt):
			f.out.Cancellations = append(f.out.Cancellations, CancelOutcome{c.waiter, isConfirmed})
			continue
		case !now.Before(c.nextAt):
			f.sendCancellation(now, c)
		}
		remaining = append(remaining, c)
	}
	clear(f.cancellations[len(remaining):])
	f.cancellations = remaining
}

// isCancelConfirmed reports whether no VM is left that may start tasks of the job: all VMs
// that are reachable, and the state VMs that others reach, have confirmed. An entry that
// reaches less than half of the state VMs may be behind a partition.
func (f *Forwarder) isCancelConfirmed(now time.Time, c *cancellation) bool {
	for _, p := range f.peers.Reachable(now) {
		if !c.confirmed[p.VM] {
			return false
		}
	}
	for _, p := range f.peers.LiveStateVMs(now) {
		if !c.confirmed[p.VM] {
			return false
		}
	}
	states, confirmed := f.peers.StateVMs(), 0
	for _, vm := range states {
		if c.confirmed[vm] {
			confirmed++
		}
	}
	return 2*confirmed >= len(states) && confirmed > 0
}
