package keeper

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestFounderKilledAtItsFirstStart guards against a founder that never joins, or a group that
// never forms: it is killed, or loses its power, while it writes the founding state, and starts
// again without being a founder.
func TestFounderKilledAtItsFirstStart(t *testing.T) {
	for seed := uint64(1); seed <= 30; seed++ {
		inLossyGroup(t, seed, func(t *testing.T, g *lossyGroup) {
			all := g.present()
			for _, name := range all {
				g.down(name)
				g.setDisk(name, newVolatileDisk(seed))
			}
			for _, name := range all {
				g.vms[name].founder = name <= "s3"
				g.later(g.duration(0, 300), func() { g.up(name) })
			}
			time.Sleep(300*time.Millisecond + g.duration(0, 150))
			g.down("s1")
			g.vms["s1"].founder = false
			if seed%2 == 0 {
				g.disk("s1").losePower()
			}
			g.later(g.duration(100, 1000), func() { g.up("s1") })
			g.calm()
			g.acknowledgeOne()
			assert.LessOrEqual(t, g.awaitAnswers(10*time.Second), recoveryTime, "seed %d", seed)
			time.Sleep(replacementTime)
			g.assertVoters()
		})
	}
}
