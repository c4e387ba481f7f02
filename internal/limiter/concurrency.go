// Package limiter implements the limits that protect upstreams, teams and the network:
// concurrency limits, quotas and retry budgets. It reads no clock; callers pass the time.
package limiter

import "time"

// Concurrency is an additive-increase, multiplicative-decrease limit on the tasks
// that run on one upstream at once. It never falls below one.
type Concurrency struct {
	ceiling     float64
	limit       float64
	failures    int
	pausedUntil time.Time
}

const (
	decreaseFactor  = 0.5
	maxPauseFactor  = 8
	minFailurePause = 50 * time.Millisecond
)

// NewConcurrency returns a limit that starts at its ceiling.
func NewConcurrency(ceiling int) Concurrency {
	return Concurrency{ceiling: float64(ceiling), limit: float64(ceiling)}
}

// Limit returns the number of tasks that may run at once.
func (c *Concurrency) Limit() int {
	return max(1, int(c.limit))
}

// SetCeiling changes the highest limit when an upstream announces another number of slots.
func (c *Concurrency) SetCeiling(ceiling int) {
	if float64(ceiling) == c.ceiling {
		return
	}
	if c.limit == c.ceiling {
		c.limit = float64(ceiling)
	}
	c.ceiling = float64(ceiling)
	c.limit = min(c.limit, c.ceiling)
}

// RecordSuccess records a success, which raises the limit by its reciprocal: a limit of n rises
// by about one in n successes.
func (c *Concurrency) RecordSuccess() {
	c.failures = 0
	c.limit = min(c.ceiling, c.limit+1/max(1, c.limit))
}

// RecordFailure halves the limit and pauses the upstream. The pause starts at the expected run
// time and doubles with each consecutive failure, up to maxPauseFactor times that, so that
// an upstream that fails fast is not given more starts than one that works.
func (c *Concurrency) RecordFailure(now time.Time, expected time.Duration) {
	c.limit = max(1, c.limit*decreaseFactor)
	c.failures++
	factor := min(maxPauseFactor, 1<<min(c.failures-1, 8))
	pause := max(minFailurePause, expected) * time.Duration(factor)
	c.pausedUntil = now.Add(pause)
}

// PausedUntil returns the time before which nothing is started, zero if there is none.
func (c *Concurrency) PausedUntil() time.Time {
	return c.pausedUntil
}
