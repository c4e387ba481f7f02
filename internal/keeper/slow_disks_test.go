package keeper

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"bronzedrift.example/bronzedrift/internal/recorder"
)

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
		for name, restarts := range map[string]bool{"while they run": false, "after a loss of power": true} {
			t.Run(fmt.Sprint(syncTime, " ", name), func(t *testing.T) {
				for seed := uint64(1); seed <= 3; seed++ {
					inLossyGroup(t, seed, func(_ *testing.T, g *lossyGroup) {
						for _, vm := range g.present() {
							g.disks[vm].setFault(syncTime, 0, 0)
						}
						if restarts {
							g.killVMs(g.present(), true, 200, 1500)
							g.calm()
						}
						time.Sleep(10 * time.Second)
						g.assertStableLeader(syncTime)
					})
				}
			})
		}
	}
}

// assertStableLeader changes and reads the configuration for a while. There may be one more
// election, and in the end each VM must answer a read.
func (g *lossyGroup) assertStableLeader(syncTime time.Duration) {
	const requests = 20
	before, acked, reads := g.elections(), 0, 0
	for i := range requests {
		if g.send(g.pick(), uint64(i+1)) {
			acked++
		}
		if g.read(g.pick()) {
			reads++
		}
		time.Sleep(500 * time.Millisecond)
	}
	elections := g.elections() - before
	g.t.Logf("%d elections before, %d then; %d acked and %d reads of %d", before, elections, acked, reads, requests)
	assert.LessOrEqual(g.t, elections, 1)
	if syncTime < sendInterval/3 {
		assert.Equal(g.t, requests, acked)
	}
	time.Sleep(3 * syncTime)
	assert.LessOrEqual(g.t, g.awaitAnswers(10*time.Second), recoveryTime, "time until each state VM answered")
}
