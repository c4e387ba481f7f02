package keeper

import (
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// An operator must be able to tell a disk that refuses writes from a group without a leader
// while the replica waits for that disk.
func TestConditionWhileDiskRefuses(t *testing.T) {
	inCluster(t, 3, 0, func(t *testing.T, c *testCluster) {
		name := c.follower()
		disk := c.vms[name].disk
		var refuses atomic.Bool
		c.kill(name)
		works := disk.Append
		disk.Append = func(file string, data []byte) error {
			if refuses.Load() {
				return errors.New("no space left on device")
			}
			return works(file, data)
		}
		c.start(name)
		time.Sleep(settleTime)
		refuses.Store(true)
		c.mustOrder(c.leader(), "a", true)
		time.Sleep(time.Second)
		blocked, ok := c.keeper(name).Condition()
		require.True(t, ok)
		assert.False(t, blocked.DiskRefusedSince.IsZero(), "the refused write is not shown")
		assert.Greater(t, time.Since(blocked.At), 500*time.Millisecond, "the replica is shown as idle")
		refuses.Store(false)
		time.Sleep(settleTime)
		recovered, _ := c.keeper(name).Condition()
		assert.True(t, recovered.DiskRefusedSince.IsZero())
		assert.True(t, recovered.IsMember)
		assert.Equal(t, 3, recovered.Voters)
	})
}

// The sizes that the condition shows are those on the disk.
func TestConditionShowsSizes(t *testing.T) {
	inCluster(t, 3, 0, func(t *testing.T, c *testCluster) {
		leader := c.leader()
		before, _ := c.keeper(leader).Condition()
		c.mustOrder(leader, "a", true)
		time.Sleep(settleTime)
		after, _ := c.keeper(leader).Condition()
		assert.Greater(t, after.LogBytes, before.LogBytes)
		assert.Greater(t, after.LogEntries, before.LogEntries)
		assert.Equal(t, 3, after.ReachableVoters)
		assert.NotEmpty(t, after.LeaderVM)
	})
}
