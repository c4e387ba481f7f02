package holder

import (
	"time"

	"bronzedrift.example/bronzedrift/internal/sharer"
)

// shareCapacity tells the sharer what the held upstreams can do.
func (h *Holder) shareCapacity(now time.Time) {
	if h.sharer == nil {
		return
	}
	cores := 0.0
	for _, u := range h.lookHeld() {
		if u.isUsableSoon(now) {
			cores += u.speed * float64(u.Capacity.MilliCores) / milliCoresPerCore * packingShare
		}
	}
	h.sharer.SetCapacity(now, cores)
}

const milliCoresPerCore = 1000

// shareRequest describes an order to the sharer. An order that was refused here lately is a
// repeated offer.
func (h *Holder) shareRequest(o *Order) sharer.Request {
	work := 0.0
	for _, s := range o.Steps {
		work += float64(s.Count) * s.Estimate.Seconds() * float64(s.Needs.MilliCores) / milliCoresPerCore
	}
	_, isRepeated := h.answers[o.Key()]
	return sharer.Request{
		Kind: o.Route, Origin: o.Origin, Work: work, Slack: o.Objective - o.CriticalPath(), Repeat: isRepeated, Force: o.Force,
	}
}

// checkShare returns the refusal of an order that is beyond its share of the capacity, or nil,
// and whether that decides: under overload the shares do, since a bound on the queue refuses
// whoever comes last. What it admits otherwise has to be given back if the order is refused
// after all.
func (h *Holder) checkShare(now time.Time, o *Order, wait time.Duration) (refusal *Answer, isDecided bool) {
	if h.sharer == nil {
		return nil, false
	}
	v := h.sharer.Offer(now, h.shareRequest(o), wait)
	if !v.Admit {
		return &Answer{Outcome: Busy, Reason: v.Reason, Wait: v.RetryAfter}, true
	}
	return nil, h.sharer.Overloaded(now)
}

// returnShare gives back the share of an order that was admitted but has not run.
func (h *Holder) returnShare(now time.Time, o *Order) {
	if h.sharer != nil {
		h.sharer.Return(now, h.shareRequest(o))
	}
}

// Shares returns the shares of the kinds of jobs and their origins, nil if none are kept.
func (h *Holder) Shares(now time.Time) []sharer.Share {
	if h.sharer == nil {
		return nil
	}
	return h.sharer.Snapshot(now)
}
