//go:build knownred

package keeper

import (
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
		for _, restarts := range []bool{false, true} {
			t.Run(syncTime.String(), func(t *testing.T) {
				for seed := uint64(1); seed <= 5; seed++ {
					inLossyGroup(t, seed, func(t *testing.T, g *lossyGroup) {
						for _, name := range g.present() {
							g.disks[name].setFault(syncTime, 0, 0)
						}
						if restarts {
							g.killVMs(g.present(), true, 200, 1500)
							g.calm()
						}
						time.Sleep(10 * time.Second)
						before := g.elections()
						acked, reads := 0, 0
						for i := range 20 {
							if g.send(g.pick(), uint64(i+1)) {
								acked++
							}
							if g.read(g.pick()) {
								reads++
							}
							time.Sleep(500 * time.Millisecond)
						}
						elections := g.elections() - before
						t.Logf("%v restarts %t seed %d: %d elections before, %d then; %d acked, %d reads of 20", syncTime, restarts, seed, before, elections, acked, reads)
						assert.LessOrEqual(t, elections, 1)
					})
				}
			})
		}
	}
}
