// Package sharer decides under overload which jobs are admitted, so that each kind of job
// and each origin within a kind gets its weighted max-min fair share of the capacity.
package sharer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Request describes a job, or a part of one, that is offered for admission.
type Request struct {
	// Kind is the route or service of the job, and Origin the data centre or team of its caller.
	Kind, Origin string
	// Work is the expected work in core-seconds.
	Work float64
	// Value is the weight of the kind; anything but a positive number counts as 1.
	Value float64
	// Slack is the time that the kind's objective leaves for waiting.
	Slack time.Duration
	// Repeat is set for a job that was offered here shortly before and was not admitted.
	// It does not count as new demand.
	Repeat bool
	// Force is set for work that is admitted in any case; it is charged to its share.
	Force bool
}

// Verdict is the decision on a request.
type Verdict struct {
	Admit bool
	// RetryAfter and Reason are set if the job is refused.
	RetryAfter time.Duration
	Reason     string
}

// Share is the state of one origin of a kind, in core-seconds per second.
type Share struct {
	Kind, Origin string
	// Demand is the work that is offered, without repeated offers.
	Demand float64
	// Share is the work that is not refused, including what others lend, and Limit the
	// work that is admitted now, which also depends on the length of the queue.
	Share, Limit float64
	// Admitted and Refused is the work of admitted jobs and of refused offers.
	Admitted, Refused float64
}

// Config holds the dependencies of a Sharer.
type Config struct {
	// Random returns numbers in [0, 1) that spread RetryAfter; nil is math/rand.
	Random func() float64
	// ByArrival is set if waiting jobs start in the order of their arrival, and not by the
	// latest start that meets their objective. Then the queue has to be shorter.
	ByArrival bool
}

// Sharer keeps the demand of the kinds and origins; it is not safe for concurrent use.
type Sharer struct {
	config     Config
	capacity   float64
	capacityAt time.Time
	offered    demandWindow
	overloaded bool
	// belowSince is when the offered work fell below the end of overload, or zero.
	belowSince time.Time
	wait       time.Duration
	waitAt     time.Time
	kinds      []*kind
	buckets    map[bucketKey]*bucket
	overflow   *bucket
	// scale is the learnt ratio of the true capacity to the one announced.
	scale    float64
	sharedAt time.Time
	sweptAt  time.Time
	// kindClaims and originClaims are reused by each computation of the shares.
	kindClaims, originClaims []claim
}

type bucketKey struct{ kind, origin string }

type kind struct {
	name   string
	weight float64
	// slack is the mean slack of the jobs, in seconds.
	slack   float64
	buckets []*bucket
}

const (
	// capacityTTL is how long a capacity holds. Without a current one nothing is refused.
	capacityTTL = time.Second
	// endLoad and endDelay are the hysteresis of overload: it ends after the offered work
	// was below this share of the capacity for this time.
	endLoad  = 0.95
	endDelay = 500 * time.Millisecond
	// shareInterval is the time between two computations of the shares: short against
	// the time constant of the demand, long against the time between two offers.
	shareInterval = 20 * time.Millisecond
	// bucketTTL is how long a kind and origin that makes no offers is remembered.
	bucketTTL = 10 * time.Second
	// maxBuckets is the maximum number of pairs of kind and origin. Others share one bucket.
	maxBuckets = 1024
	// sweepInterval is the time between two removals of unused buckets.
	sweepInterval = time.Second
	// overflowName is the kind and origin of the shared bucket.
	overflowName = "(other)"
)

const overShareReason = "over its share of the capacity"

// New returns a Sharer that admits everything until it is given a capacity.
func New(c Config) *Sharer {
	if c.Random == nil {
		c.Random = rand.Float64
	}
	s := &Sharer{config: c, scale: 1, buckets: map[bucketKey]*bucket{}}
	s.overflow = s.addBucket(s.kindOf(overflowName), overflowName)
	return s
}

// SetCapacity sets the work per second that can be done, in core-seconds; it holds for a second.
func (s *Sharer) SetCapacity(now time.Time, coresPerSecond float64) {
	s.advance(now)
	if math.IsNaN(coresPerSecond) || math.IsInf(coresPerSecond, 0) {
		return
	}
	if !s.hasCapacity(now) {
		s.forgetCredit()
	}
	s.capacity, s.capacityAt = max(0, coresPerSecond), now
}

// forgetCredit gives all buckets full credit at the next computation of the shares: what was
// admitted without a capacity is not held against anybody.
func (s *Sharer) forgetCredit() {
	for _, k := range s.kinds {
		for _, b := range k.buckets {
			b.isRated, b.credit = false, 0
		}
	}
	s.sharedAt, s.scale = time.Time{}, 1
}

// Offer decides on a job that would wait so long for capacity, and charges it to its share
// if it is admitted.
func (s *Sharer) Offer(now time.Time, r Request, wait time.Duration) Verdict {
	s.advance(now)
	work := workOf(&r)
	b := s.bucketOf(now, &r)
	if !r.Repeat {
		s.offered.add(work)
		b.countDemand(now, work)
	}
	s.observeWait(now, wait)
	s.updateShares(now)
	b.refill(now)
	if s.hasCapacity(now) && s.offered.rate(now) > s.capacity && wait > r.Slack {
		s.overloaded, s.belowSince = true, time.Time{}
	}
	// Without a wait, capacity would stand idle if the job were refused.
	if !s.overloaded || r.Force || wait <= 0 || b.mayUse(now) {
		b.charge(now, work)
		return Verdict{Admit: true}
	}
	b.refused.add(now, work)
	return Verdict{RetryAfter: b.retryAfter(now, s.config.Random()), Reason: overShareReason}
}

// Return gives back the share of a job that was admitted but has not run.
func (s *Sharer) Return(now time.Time, r Request) {
	b := s.buckets[bucketKey{r.Kind, r.Origin}]
	if b == nil {
		b = s.overflow
	}
	if !b.isRated {
		return
	}
	b.refill(now)
	b.charge(now, -workOf(&r))
}

// Overloaded reports whether jobs beyond their share are refused.
func (s *Sharer) Overloaded(now time.Time) bool {
	s.advance(now)
	return s.overloaded
}

// Snapshot returns the shares of the kinds and origins seen lately, sorted by kind and origin.
func (s *Sharer) Snapshot(now time.Time) []Share {
	s.advance(now)
	s.updateShares(now)
	var shares []Share
	for _, k := range s.kinds {
		for _, b := range k.buckets {
			if !b.isSeen(now) {
				continue
			}
			shares = append(shares, Share{
				Kind: k.name, Origin: b.origin, Demand: b.demand.at(now), Share: b.share, Limit: b.limit,
				Admitted: b.admitted.at(now), Refused: b.refused.at(now),
			})
		}
	}
	slices.SortFunc(shares, func(a, b Share) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Origin, b.Origin))
	})
	return shares
}

// advance moves the demand window to the present and ends an overload that is over.
func (s *Sharer) advance(now time.Time) {
	if !s.hasCapacity(now) {
		s.offered.advance(now, func(time.Time) {})
		s.overloaded, s.belowSince = false, time.Time{}
		return
	}
	s.offered.advance(now, s.checkEnd)
	s.checkEnd(now)
}

func (s *Sharer) checkEnd(at time.Time) {
	switch {
	case !s.overloaded:
	case s.offered.rate(at) >= endLoad*s.capacity:
		s.belowSince = time.Time{}
	case s.belowSince.IsZero():
		s.belowSince = at
	case at.Sub(s.belowSince) >= endDelay:
		s.overloaded, s.belowSince = false, time.Time{}
	}
}

func (s *Sharer) hasCapacity(now time.Time) bool {
	return !s.capacityAt.IsZero() && now.Sub(s.capacityAt) < capacityTTL
}

// waitTau is the time constant of the mean of the expected waits. It evens out that large
// jobs are told longer waits than small ones, and is short against the objectives.
const waitTau = 50 * time.Millisecond

func (s *Sharer) observeWait(now time.Time, wait time.Duration) {
	wait = max(0, wait)
	remaining := decay(now.Sub(s.waitAt), waitTau)
	s.wait = wait + time.Duration(remaining*float64(s.wait-wait))
	s.waitAt = now
}

// bucketOf returns the bucket of a request, or the shared one if there are too many.
func (s *Sharer) bucketOf(now time.Time, r *Request) *bucket {
	b := s.buckets[bucketKey{r.Kind, r.Origin}]
	if b == nil {
		b = s.newBucket(now, r)
	}
	b.seenAt = now
	if b != s.overflow {
		b.kind.weight = weightOf(r.Value)
	}
	b.kind.observeSlack(r.Slack)
	return b
}

func (k *kind) observeSlack(slack time.Duration) {
	seconds := max(0, slack.Seconds())
	if k.slack == 0 {
		k.slack = seconds
	}
	k.slack += meanWeight * (seconds - k.slack)
}

func (s *Sharer) newBucket(now time.Time, r *Request) *bucket {
	if len(s.buckets) >= maxBuckets {
		s.removeUnused(now)
	}
	if len(s.buckets) >= maxBuckets {
		return s.overflow
	}
	b := s.addBucket(s.kindOf(r.Kind), r.Origin)
	s.buckets[bucketKey{r.Kind, r.Origin}] = b
	return b
}

// kindOf returns the kind of that name and creates it if there is none. The kind of the
// shared bucket comes first and is not found by its name.
func (s *Sharer) kindOf(name string) *kind {
	for i, k := range s.kinds {
		if i > 0 && k.name == name {
			return k
		}
	}
	k := &kind{name: name, weight: 1}
	s.kinds = append(s.kinds, k)
	return k
}

func (s *Sharer) addBucket(k *kind, origin string) *bucket {
	b := &bucket{kind: k, origin: origin}
	k.buckets = append(k.buckets, b)
	return b
}

// removeUnused forgets the kinds and origins that have made no offers lately.
func (s *Sharer) removeUnused(now time.Time) {
	if now.Sub(s.sweptAt) < sweepInterval {
		return
	}
	s.sweptAt = now
	for _, k := range s.kinds[1:] {
		k.buckets = slices.DeleteFunc(k.buckets, func(b *bucket) bool {
			if b.isSeen(now) {
				return false
			}
			delete(s.buckets, bucketKey{k.name, b.origin})
			return true
		})
	}
	s.kinds = slices.DeleteFunc(s.kinds, func(k *kind) bool { return len(k.buckets) == 0 })
}

const (
	// maxWork and maxWeight keep sums of malformed figures within their type.
	maxWork   = 1e9
	maxWeight = 1e6
)

func workOf(r *Request) float64 {
	if r.Work > 0 {
		return min(r.Work, maxWork)
	}
	return 0
}

func weightOf(value float64) float64 {
	if value > 0 {
		return min(max(value, 1/maxWeight), maxWeight)
	}
	return 1
}
