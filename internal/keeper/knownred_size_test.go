//go:build knownred

package keeper

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"bronzedrift.example/bronzedrift/internal/configurer"
)

// The history of the own engine must not fill the disks, and its snapshot must not grow with
// the number of large versions.
func TestLargeHistoryFitsOnDisk(t *testing.T) {
	const changes = 110
	inServiceCluster(t, serviceDiskBytes, func(t *testing.T, c *testCluster, disks map[string]*limitedDisk) {
		for i := range changes {
			c.change(c.states[i%len(c.states)], configurer.Change{
				ID: fmt.Sprint("change-", i), BaseVersion: uint64(i), Text: textOf(i+1, largeTextBytes),
			})
		}
		c.assertRead(changes, largeTextBytes)
		for _, vm := range c.states {
			size := make(chan int, 1)
			k := c.keeper(vm)
			k.enqueue(input{run: func(time.Time) {
				state, _ := k.stateMachine.Snapshot()
				size <- len(state)
			}})
			assert.LessOrEqual(t, <-size, maxTextBytes, "%s: bytes of a snapshot", vm)
			assert.Less(t, disks[vm].peak, serviceDiskBytes/2, vm)
		}
	})
}
