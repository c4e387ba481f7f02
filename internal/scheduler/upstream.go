package scheduler

import (
	"math"
	"time"

	"bronzedrift.example/bronzedrift/internal/limiter"
)

// Upstream is the announcement of an upstream.
type Upstream struct {
	Name     string
	Capacity Shape
	Services []string
	Leaving  bool
	// StartedAt identifies the incarnation, zero if it is not announced.
	StartedAt time.Time
}

// upstream is an announced upstream with its used capacity and its state.
type upstream struct {
	Upstream
	used Shape
	// offered is how many slots are granted: all of them, or fewer while the upstream returns
	// from an evacuation.
	offered   int
	returning bool
	running   int
	down      bool
	measurements
}

// measurements are what was learned of one incarnation of an upstream. A restart replaces the value
// as a whole.
type measurements struct {
	paused bool
	limit  limiter.Concurrency
	// memberships hold the measured speed for each service.
	memberships []*poolMember
}

func (u *upstream) acceptsTasks() bool {
	return !u.Leaving && !u.down && !u.paused &&
		u.used.Slots < u.offered && u.running < u.limit.Limit()
}

func (u *upstream) freeSlots() int {
	return u.offered - u.used.Slots
}

// poolMember is an upstream in the pool of one service, with its measured speed. Members
// are grouped into buckets by the logarithm of their slowdown.
type poolMember struct {
	upstream    *upstream
	pool        *pool
	logSlowdown float64
	samples     float64
	bucket      int
	freeIndex   int
}

const (
	bucketCount       = 32
	bucketStep        = 0.125
	bucketOffset      = 12
	minSpeedGain      = 0.05
	noIndex           = -1
	speedPriorSamples = 2
	maxLogResidual    = 2.5
)

// observe updates the member's speed from the run time of a task and the run time expected
// on an upstream of average speed.
func (m *poolMember) observe(expected, elapsed time.Duration) {
	residual := logSeconds(elapsed) - logSeconds(expected) - m.logSlowdown
	residual = min(maxLogResidual, max(-maxLogResidual, residual))
	m.samples++
	gain := max(minSpeedGain, 1/(m.samples+speedPriorSamples))
	m.logSlowdown += gain * residual
}

func (m *poolMember) speedBucket() int {
	b := int(math.Floor(m.logSlowdown/bucketStep)) + bucketOffset
	return min(bucketCount-1, max(0, b))
}

// bucketSlowdown is the run time factor at the middle of each bucket.
var bucketSlowdown = computeBucketSlowdowns()

func computeBucketSlowdowns() [bucketCount]float64 {
	var factors [bucketCount]float64
	for i := range factors {
		factors[i] = math.Exp((float64(i-bucketOffset) + 0.5) * bucketStep)
	}
	return factors
}
