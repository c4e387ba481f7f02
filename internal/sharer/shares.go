package sharer

import "time"

const (
	// minTargetWait and maxTargetWait bound the wait aimed at during overload, which is the
	// mean slack of the offered work: kinds with less slack start first. With half of it,
	// the trace left 0.5 to 0.9% more of the capacity unused.
	minTargetWait = 10 * time.Millisecond
	maxTargetWait = 400 * time.Millisecond
	// minTargetShare is the part of the demand of which the shortest slack counts if jobs
	// start in the order of their arrival. The wait aimed at is then that slack: with the
	// mean slack, half as many jobs of the trace were on time as without shares.
	minTargetShare = 0.01
	// waitHorizon is the time in which a difference from the wait aimed at is corrected.
	// With 50 ms, the trace refused origins within their share more often.
	waitHorizon = 200 * time.Millisecond
	// learnTime is the time constant with which the true capacity is learnt. With 2 s, the
	// backlog from the beginning of an overload was taken for a lack of capacity.
	learnTime = 5 * time.Second
	// minScale and maxScale bound the ratio of the true capacity to the one announced.
	// Estimates that are off by 40% lie well within.
	minScale = 0.5
	maxScale = 2
	// minAdmission is the least part of the capacity that is shared out, however long the
	// queue is.
	minAdmission = 0.25
)

// claim is the demand of a kind or an origin in the division of a capacity.
type claim struct {
	demand, weight float64
	isMet          bool
}

// updateShares computes the share and the limit of each origin.
func (s *Sharer) updateShares(now time.Time) {
	elapsed := now.Sub(s.sharedAt)
	if !s.hasCapacity(now) || elapsed < shareInterval {
		return
	}
	s.sharedAt = now
	s.removeUnused(now)
	s.kindClaims = s.kindClaims[:0]
	for _, k := range s.kinds {
		total := 0.0
		for _, b := range k.buckets {
			total += b.demand.at(now)
		}
		s.kindClaims = append(s.kindClaims, claim{demand: total, weight: k.weight})
	}
	target := s.targetWait()
	if s.overloaded {
		s.learnScale(now, elapsed, target)
	}
	// Those above their share pay for a queue that is too long and use one that is too
	// short; the shares themselves follow the learnt capacity.
	admission := max(minAdmission, s.scale+(target-s.wait).Seconds()/waitHorizon.Seconds())
	shareLevel := fairLevel(s.kindClaims, s.capacity*s.scale)
	limitLevel := fairLevel(s.kindClaims, s.capacity*min(admission, maxScale))
	for _, k := range s.kinds {
		s.originClaims = s.originClaims[:0]
		for _, b := range k.buckets {
			s.originClaims = append(s.originClaims, claim{demand: b.demand.at(now), weight: 1})
		}
		share := fairLevel(s.originClaims, shareLevel*k.weight)
		limit := fairLevel(s.originClaims, limitLevel*k.weight)
		for _, b := range k.buckets {
			b.setShare(now, share, limit)
		}
	}
}

// targetWait is the expected wait aimed at during overload.
func (s *Sharer) targetWait() time.Duration {
	slack, total, shortest := 0.0, 0.0, maxTargetWait.Seconds()
	for i, k := range s.kinds {
		slack += s.kindClaims[i].demand * k.slack
		total += s.kindClaims[i].demand
	}
	for i, k := range s.kinds {
		if s.kindClaims[i].demand >= minTargetShare*total && k.slack > 0 {
			shortest = min(shortest, k.slack)
		}
	}
	seconds := slack / max(total, 1e-9)
	if s.config.ByArrival {
		seconds = shortest
	}
	return min(max(minTargetWait, time.Duration(seconds*float64(time.Second))), maxTargetWait)
}

// learnScale corrects the ratio of the true capacity to the one announced: the queue shrinks
// if more is done than was announced. It also shrinks if too little is offered, from which
// nothing is learnt.
func (s *Sharer) learnScale(now time.Time, elapsed, target time.Duration) {
	deviation := min(max(-1, (target-s.wait).Seconds()/target.Seconds()), 1)
	if deviation > 0 && s.offered.rate(now) < s.capacity*s.scale {
		return
	}
	step := min(elapsed, 2*shareInterval).Seconds() / learnTime.Seconds()
	s.scale = min(max(minScale, s.scale*(1+deviation*step)), maxScale)
}

// fairLevel divides a capacity among claims by weighted max-min fairness. A claim gets at
// most the level times its weight. If all demands are met, the level includes what is left.
func fairLevel(claims []claim, capacity float64) float64 {
	rest, highest, totalWeight := capacity, 0.0, 0.0
	for i := range claims {
		c := &claims[i]
		c.isMet = false
		totalWeight += c.weight
		highest = max(highest, c.demand/c.weight)
	}
	for {
		weight := 0.0
		for i := range claims {
			if !claims[i].isMet {
				weight += claims[i].weight
			}
		}
		if weight == 0 {
			return highest + rest/totalWeight
		}
		level, isFinal := rest/weight, true
		for i := range claims {
			c := &claims[i]
			if c.isMet || c.demand > level*c.weight {
				continue
			}
			c.isMet, isFinal = true, false
			rest = max(0, rest-c.demand)
		}
		if isFinal {
			return level
		}
	}
}
