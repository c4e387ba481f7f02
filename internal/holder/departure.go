package holder

import "time"

// handleDeparture processes the announced end of an upstream. The announcement does not prove that the
// process has ended: the upstream may not have got the answer and announce its end again, or the
// announcement may be late. What runs there is stopped, and no lease is renewed. A task starts elsewhere
// once its run is known to have ended.
func (h *Holder) handleDeparture(now time.Time, u *trackedUpstream) {
	u.tombstoneAt = now
	if len(u.runs) == 0 {
		h.removeUpstream(now, u, lossLeft, "the upstream has left")
		return
	}
	h.logDecision(Decision{Event: "upstream-departing", Upstream: u.ID, Reason: u.phase.String(), Wait: now.Sub(u.answeredAt)})
	if u.phase == notHeld {
		// Only the holder may stop the runs. Their leases are not renewed by this VM.
		return
	}
	h.setPhase(u, departing)
	for _, r := range u.runs {
		// A start without an answer is stopped once a list shows it.
		if r.state == running {
			h.stopRun(now, u, r)
		}
	}
}

// stopRun stops a run unless the next incarnation of its upstream may have it.
func (h *Holder) stopRun(now time.Time, u *trackedUpstream, r *run) {
	r.state = unconfirmed
	if !r.stopPending && u.mayStop(r) {
		h.sendStop(now, u, r)
	}
}
