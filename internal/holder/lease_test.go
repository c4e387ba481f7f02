package holder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestLeaseOnSlowClock: however long an upstream's clock has run slow, a lease ends at most
// Timing.Lease after it was granted, since others wait only that long for its runs to end.
func TestLeaseOnSlowClock(t *testing.T) {
	const (
		duration = time.Minute
		latency  = time.Millisecond
		step     = 10 * time.Millisecond
	)
	for name, slowness := range map[string]float64{"exact": 0, "slow": 0.01, "slowest": DefaultTiming().ClockDrift} {
		t.Run(name, func(t *testing.T) {
			h, u, call := newActive(t)
			start := call.SentAt
			clock := func(now time.Time) time.Duration {
				return time.Second + time.Duration(float64(now.Sub(testStart))*(1-slowness))
			}
			order := testOrder("long", 1)
			order.Steps[0].Estimate, order.Objective, order.Remaining = duration, 2*duration, 2*duration
			var out Effects
			h.EntrySeen(start, "entry", "1", &out)
			h.Submit(start, "entry", order, &out)
			calls := out.Calls
			longest, shortest := time.Duration(0), time.Hour
			for now := start; now.Before(start.Add(duration)); now = now.Add(step) {
				for _, c := range calls {
					if c.LeaseUntil > 0 && now.After(start) {
						longest, shortest = max(longest, c.LeaseUntil-clock(c.SentAt)), min(shortest, c.LeaseUntil-clock(c.SentAt))
					}
					result := CallResult{Call: c, Status: CallOK, Clock: clock(now), StartedAt: u.StartedAt}
					if c.Kind == HoldCall {
						result.Running = []RunState{{Task: "long.0.0.0", Run: 1}}
					}
					h.HandleResult(now.Add(latency), &result, &Effects{})
				}
				calls = callsAt(h, now.Add(step))
			}
			require.NotZero(t, longest, "no lease was granted")
			assert.LessOrEqual(t, longest, DefaultTiming().Lease)
			assert.GreaterOrEqual(t, shortest, DefaultTiming().Lease*9/10)
		})
	}
}
