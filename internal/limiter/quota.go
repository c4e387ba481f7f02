package limiter

import (
	"time"

	"golang.org/x/time/rate"
)

// Quota bounds one team's tasks in flight and its starts per second in one data centre.
// The bounds are the data centre's share of the team's quota.
type Quota struct {
	inFlight    int
	maxInFlight float64
	startRate   *rate.Limiter
}

// startBurstWindow is the period whose allowed starts a team may make all at once.
const startBurstWindow = time.Second

// NewQuota returns a quota; a bound of zero means unlimited.
func NewQuota(maxInFlight int, startsPerSecond float64) *Quota {
	q := &Quota{}
	q.SetBounds(time.Time{}, float64(maxInFlight), startsPerSecond)
	return q
}

// SetBounds changes the bounds when the data centre's share of the team's quota changes.
func (q *Quota) SetBounds(now time.Time, maxInFlight, startsPerSecond float64) {
	q.maxInFlight = maxInFlight
	if startsPerSecond <= 0 {
		q.startRate = nil
		return
	}
	burst := max(1, int(startsPerSecond*startBurstWindow.Seconds()))
	if q.startRate == nil {
		q.startRate = rate.NewLimiter(rate.Limit(startsPerSecond), burst)
		return
	}
	q.startRate.SetLimitAt(now, rate.Limit(startsPerSecond))
	q.startRate.SetBurstAt(now, burst)
}

// Take reserves count tasks, or returns the time after which a retry may succeed.
func (q *Quota) Take(now time.Time, count int) (retryAfter time.Duration, ok bool) {
	if q.maxInFlight > 0 && float64(q.inFlight+count) > q.maxInFlight {
		return time.Second, false
	}
	if q.startRate != nil && !q.startRate.AllowN(now, count) {
		missing := float64(count) - q.startRate.TokensAt(now)
		wait := time.Duration(missing / float64(q.startRate.Limit()) * float64(time.Second))
		return max(wait, time.Millisecond), false
	}
	q.inFlight += count
	return 0, true
}

// Restore counts tasks that were admitted earlier as in flight, without checking the bounds.
func (q *Quota) Restore(count int) {
	q.inFlight += count
}

// Return releases count tasks that have ended or were withdrawn.
func (q *Quota) Return(count int) {
	q.inFlight = max(0, q.inFlight-count)
}

// InFlight returns the number of tasks admitted and not yet ended.
func (q *Quota) InFlight() int {
	return q.inFlight
}
