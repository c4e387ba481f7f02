package supervisor

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestGuard(t *testing.T) {
	start := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	fail := func() { panic("bad input") }

	t.Run("returns nil without a panic", func(t *testing.T) {
		ran := false
		require.NoError(t, (&Guard{}).Run(start, func() { ran = true }))
		assert.True(t, ran)
	})
	t.Run("returns the panic and the stack", func(t *testing.T) {
		var failure *PanicError
		require.ErrorAs(t, (&Guard{}).Run(start, fail), &failure)
		assert.Equal(t, "bad input", failure.Value)
		assert.Contains(t, failure.Stack, "guard_test.go")
	})
	t.Run("panics when there are too many at once", func(t *testing.T) {
		var g Guard
		for range maxPanics {
			require.Error(t, g.Run(start, fail))
		}
		assert.Panics(t, func() { _ = g.Run(start, fail) })
	})
	t.Run("forgets old panics", func(t *testing.T) {
		var g Guard
		for i := range 3 * maxPanics {
			require.Error(t, g.Run(start.Add(time.Duration(i)*panicWindow/maxPanics*2), fail))
		}
	})
}
