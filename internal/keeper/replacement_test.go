package keeper

import (
	"sync"
	"testing"
	"time"
)

// TestReplacementWhileChangesGoOn guards against a learner that never has all committed
// entries when the leader looks, and so never replaces a lost voter.
func TestReplacementWhileChangesGoOn(t *testing.T) {
	for seed := uint64(1); seed <= 2; seed++ {
		inLossyGroup(t, seed, func(_ *testing.T, g *lossyGroup) {
			var operators sync.WaitGroup
			end := time.Now().Add(replacementTime)
			for operator := range uint64(8) {
				operators.Go(func() {
					for version := operator + 1; time.Now().Before(end); version += 8 {
						if name := g.pick(); name != "" {
							g.send(name, version)
						}
					}
				})
			}
			g.wipe(g.pickLeader(), true, 200, 1500)
			operators.Wait()
			g.assertVoters()
		})
	}
}
