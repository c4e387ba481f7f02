package keeper

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"bronzedrift.example/bronzedrift/internal/recorder"
)

// acknowledgementTime is the time within which a change must be acknowledged.
const acknowledgementTime = 4 * time.Second

func (g *lossyGroup) elections() int {
	n := 0
	for _, name := range g.present() {
		vm := g.vms[name]
		vm.mu.Lock()
		for _, e := range vm.events {
			if e.Number == recorder.ElectionWon {
				n++
			}
		}
		vm.mu.Unlock()
	}
	return n
}

// TestSlowDisksKeepALeader guards against elections that go on while the disks of all state
// VMs are slow: a replica that waits for its disk must not take its leader for lost, nor its
// followers.
func TestSlowDisksKeepALeader(t *testing.T) {
	for _, syncTime := range []time.Duration{200 * time.Millisecond, 270 * time.Millisecond, 500 * time.Millisecond, time.Second} {
		t.Run(syncTime.String(), func(t *testing.T) { assertStableLeader(t, syncTime) })
	}
}

// assertStableLeader changes and reads the configuration for a while, with and without a loss
// of power before. There may be one more election, each change must be acknowledged in time,
// and in the end each VM must answer a read.
func assertStableLeader(t *testing.T, syncTime time.Duration) {
	t.Helper()
	for name, losesPower := range map[string]bool{"while they run": false, "after a loss of power": true} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= 3; seed++ {
				inLossyGroup(t, seed, func(_ *testing.T, g *lossyGroup) {
					for _, vm := range g.present() {
						g.disk(vm).setFault(syncTime, 0, 0)
					}
					if losesPower {
						g.killVMs(g.present(), true, 200, 1500)
						g.calm()
					}
					time.Sleep(10 * time.Second)
					g.assertChanges(syncTime)
				})
			}
		})
	}
}

func (g *lossyGroup) assertChanges(syncTime time.Duration) {
	const changes = 20
	before := g.elections()
	for i := range changes {
		startedAt := time.Now()
		for time.Since(startedAt) < acknowledgementTime && !g.send(g.pick(), uint64(i+1)) {
			g.tracef("change %d is sent again", i+1)
		}
		assert.LessOrEqual(g.t, time.Since(startedAt), acknowledgementTime, "time until change %d was acknowledged", i+1)
		time.Sleep(500 * time.Millisecond)
	}
	assert.LessOrEqual(g.t, g.elections()-before, 1)
	time.Sleep(3 * syncTime)
	assert.LessOrEqual(g.t, g.awaitAnswers(10*time.Second), recoveryTime, "time until each state VM answered")
}
