package sharer

import (
	"math"
	"time"
)

// bucket holds the demand and the credit of one origin of a kind. Credit grows at the rate
// of the limit; each admitted job is charged, also outside overload, so that whoever causes
// an overload is refused first when it begins.
type bucket struct {
	kind     *kind
	origin   string
	seenAt   time.Time
	demand   rate
	admitted rate
	refused  rate
	// meanWork is the mean work of a job.
	meanWork float64
	// share and limit are work per second: what the origin is entitled to, and what it may
	// use now beyond that. isRated is set when they have been computed.
	share, limit float64
	isRated      bool
	credit       float64
	refilledAt   time.Time
}

const (
	// burstWindow and burstJobs are the credit that a bucket can hold: the limit of this
	// time and so many jobs. It absorbs random clusters of arrivals within the share. With
	// 500 ms and 2 jobs, the trace refused up to 7% of a kind of 8 large jobs per second.
	burstWindow = 250 * time.Millisecond
	burstJobs   = 8
	// meanWeight is the weight of a job in the mean work and the mean slack.
	meanWeight = 0.1
	// minRetryAfter and maxRetryAfter bound the time that a refused caller is told.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

func (b *bucket) isSeen(now time.Time) bool {
	return !b.seenAt.IsZero() && now.Sub(b.seenAt) <= bucketTTL
}

func (b *bucket) countDemand(now time.Time, work float64) {
	b.demand.add(now, work)
	if b.meanWork == 0 {
		b.meanWork = work
	}
	b.meanWork += meanWeight * (work - b.meanWork)
}

func (b *bucket) maxCredit() float64 {
	return b.limit*burstWindow.Seconds() + burstJobs*b.meanWork
}

// setShare sets the share and the limit. The length of the queue limits only those above
// their share.
func (b *bucket) setShare(now time.Time, share, limit float64) {
	b.refill(now)
	b.share, b.limit = share, limit
	if b.demand.at(now) <= share {
		b.limit = max(share, limit)
	}
	if !b.isRated {
		b.isRated = true
		b.credit = b.maxCredit()
	}
}

func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.credit = min(b.credit+b.limit*min(elapsed, bucketTTL).Seconds(), b.maxCredit())
		b.refilledAt = now
	}
}

// charge takes the work of a job from the credit. Debt is bounded as credit is, so that jobs
// that were admitted into idle capacity are not held against their origin for long.
func (b *bucket) charge(now time.Time, work float64) {
	b.admitted.add(now, work)
	b.credit = min(max(b.credit-work, -max(b.maxCredit(), work)), b.maxCredit())
}

func (b *bucket) mayUse(now time.Time) bool {
	return !b.isRated || b.credit > 0 || b.demand.at(now) <= max(b.share, b.limit)
}

// retryAfter is the time until the bucket has credit again, plus a random part of the time
// in which the work refused lately could be done, so that refused callers come back spread.
func (b *bucket) retryAfter(now time.Time, random float64) time.Duration {
	refused := b.refused.at(now) * rateTau.Seconds()
	seconds := maxRetryAfter.Seconds()
	if b.limit > 0 {
		seconds = min(seconds, (random*max(refused, b.meanWork)-b.credit)/b.limit)
	}
	wait := time.Duration(seconds * float64(time.Second))
	if wait >= maxRetryAfter {
		return maxRetryAfter/2 + time.Duration(random*float64(maxRetryAfter/2))
	}
	return max(wait, minRetryAfter+time.Duration(random*float64(minRetryAfter)))
}

// rateTau is the time constant of the rates of work: 5 to 75 jobs of a kind on one holder.
const rateTau = time.Second

// rate is an exponentially decaying mean of work per second.
type rate struct {
	value float64
	since time.Time
}

func (r *rate) at(now time.Time) float64 {
	return r.value * decay(now.Sub(r.since), rateTau)
}

func (r *rate) add(now time.Time, work float64) {
	r.value = max(0, r.at(now)+work/rateTau.Seconds())
	if now.After(r.since) {
		r.since = now
	}
}

func decay(elapsed, tau time.Duration) float64 {
	return math.Exp(-max(0, elapsed.Seconds()) / tau.Seconds())
}
