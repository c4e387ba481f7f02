package conductor

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestStandIn(t *testing.T) {
	start := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	at := start.Add
	t.Run("state VMs lost", func(t *testing.T) {
		a := absence{startedAt: start}
		assert.False(t, a.observe(at(0), true))
		assert.False(t, a.allowsStandIn(at(time.Hour)), "state VMs are heard")
		assert.True(t, a.observe(at(time.Second), false), "lost just now")
		assert.False(t, a.observe(at(time.Second), false), "told once")
		assert.False(t, a.allowsStandIn(at(time.Second)), "others are asked first")
		assert.True(t, a.allowsStandIn(at(time.Second+standInAfter)))
		a.observe(at(3*time.Second), true)
		assert.False(t, a.allowsStandIn(at(4*time.Second)), "a state VM is back")
	})
	t.Run("none heard since the start", func(t *testing.T) {
		a := absence{startedAt: start}
		a.observe(at(0), false)
		assert.False(t, a.allowsStandIn(at(standInAfter)), "state VMs may start later")
		assert.True(t, a.allowsStandIn(at(firstHearing)))
	})
}
