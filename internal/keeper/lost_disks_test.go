package keeper

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestDisksLostOneAfterTheOther guards against a group that never has a quorum again: the disk
// of a voter is lost once the last lost one has had its time to be replaced, while the list of
// voters still counts both.
func TestDisksLostOneAfterTheOther(t *testing.T) {
	for name, c := range map[string]struct{ isReplaced, othersLosePower bool }{
		"the VM is back":                            {},
		"another VM replaces it":                    {isReplaced: true},
		"the VM is back, others lose power":         {othersLosePower: true},
		"another VM replaces it, others lose power": {isReplaced: true, othersLosePower: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := *firstGroupSeed; seed < *firstGroupSeed+*groupSeedCount; seed++ {
				inLossyGroup(t, seed, func(t *testing.T, g *lossyGroup) {
					for range 3 {
						g.loseDisk(c.isReplaced, c.othersLosePower)
						g.calm()
						took := g.awaitAnswers(10 * time.Second)
						assert.LessOrEqual(t, took, recoveryTime, "seed %d: time until each state VM answered", seed)
						time.Sleep(catchUpTime - took)
					}
				})
			}
		})
	}
}

// loseDisk loses the disk of a VM, mostly of the leader, right after an acknowledgement.
func (g *lossyGroup) loseDisk(isReplaced, othersLosePower bool) {
	g.acknowledgeOne()
	lost := g.pickLeader()
	if g.number(3) == 0 {
		lost = g.pick()
	}
	if othersLosePower {
		others := slices.DeleteFunc(g.present(), func(name string) bool { return name == lost })
		g.killVMs(others, true, 200, 1500)
	}
	g.wipe(lost, isReplaced, 200, 1500)
}
