package recorder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestBudgetUnderFlood guards against a log flooded by refusals: the limit is kept, faults
// are still logged, and dropped lines are counted by event.
func TestBudgetUnderFlood(t *testing.T) {
	now := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	b := NewBudget(10, 5)
	written := 0
	for range 1000 {
		if b.Allow(now, "job-refused", false) {
			written++
		}
	}
	assert.Equal(t, 10, written)
	assert.True(t, b.Allow(now, "run-stuck", true))
	assert.Nil(t, b.Dropped(now), "the second is not over")
	now = now.Add(time.Second)
	assert.Equal(t, map[string]int{"job-refused": 990}, b.Dropped(now))
	assert.Nil(t, b.Dropped(now))
	assert.True(t, b.Allow(now, "job-refused", false))
}
