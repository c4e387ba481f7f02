package scheduler

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// firstOffer is how many slots of an upstream are offered when its data centre returns
	// from an evacuation.
	firstOffer = 1
	// maxReturnSlowdown is how much longer than expected a run may take to raise the offer. An
	// upstream that is still cold is slower and gets no more work until the expectation has
	// adapted to its speed.
	maxReturnSlowdown = 2
)

// BeginReturn offers only few slots of each upstream, as they may be cold after an evacuation.
// Each run that takes about as long as expected raises the offer of its upstream by the slots of
// the run, so that the offer can double in the time of a run.
func (s *Scheduler) BeginReturn() {
	for _, name := range slices.Sorted(maps.Keys(s.upstreams)) {
		s.BeginReturnOf(name)
	}
}

// BeginReturnOf is BeginReturn for one upstream.
func (s *Scheduler) BeginReturnOf(name string) {
	u := s.upstreams[name]
	if u == nil {
		return
	}
	u.returning = true
	s.setOffer(u, firstOffer)
	s.unblockPools()
}

// raiseOffer raises the offer of an upstream that returns after a run. It must be called before
// the run is added to the measured speed.
func (s *Scheduler) raiseOffer(u *upstream, p *pool, r Release, expected time.Duration) {
	if !u.returning {
		return
	}
	member := memberIn(u.memberships, p)
	if member == nil {
		return
	}
	usual := expected.Seconds() * math.Exp(member.logSlowdown)
	if r.Elapsed.Seconds() <= maxReturnSlowdown*usual {
		s.setOffer(u, u.offered+max(1, r.Shape.Slots))
	}
}

// setOffer sets the number of slots that an upstream offers and updates the totals of its pools.
func (s *Scheduler) setOffer(u *upstream, offered int) {
	offeredBefore, freeBefore := u.offered, u.freeSlots()
	u.offered = offered
	u.updateOffer()
	for _, member := range u.memberships {
		member.pool.totalSlots += u.offered - offeredBefore
		if member.freeIndex != noIndex {
			member.pool.freeSlots += u.freeSlots() - freeBefore
		}
	}
	s.updateFreeLists(u)
}

// updateOffer bounds the offer by the capacity. The return ends when all slots are offered.
func (u *upstream) updateOffer() {
	if !u.returning || u.offered >= u.Capacity.Slots {
		u.returning = false
		u.offered = u.Capacity.Slots
	}
}
