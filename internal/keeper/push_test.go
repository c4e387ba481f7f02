package keeper

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bronzedrift.example/bronzedrift/internal/messenger/wire"
)

// TestPushWithoutRoomIsRepeated guards against a VM without a replica that stays on an old
// configuration or on former evacuations, since no link had room for the push. The cluster has
// no heartbeats from which it could learn of them.
func TestPushWithoutRoomIsRepeated(t *testing.T) {
	const fullTime, repeatTime = 10 * time.Second, 2 * time.Second
	inCluster(t, 3, 1, func(t *testing.T, c *testCluster) {
		c.heartbeats.Store(false)
		c.fill(func(_, to string, m *wire.StateMessage) bool { return to == "e1" && IsPush(m) })
		c.mustChangeLarge("s1", largeChange(1, 1000))
		_, err := c.keeper("s1").Evacuate(t.Context(), "dc-a", true)
		require.NoError(t, err)
		time.Sleep(fullTime)
		_, version, err := c.keeper("e1").Status(context.Background())
		require.NoError(t, err)
		require.Zero(t, version)
		c.fill(nil)
		time.Sleep(repeatTime)
		_, version, err = c.keeper("e1").Status(context.Background())
		assert.NoError(t, err)
		assert.EqualValues(t, 1, version, "the configuration in force")
		assert.Equal(t, c.keeper("s1").Evacuations(), c.keeper("e1").Evacuations())
	})
}

// TestRepeatedPushesAreBounded guards against a Keeper that encodes a large configuration many
// times a second for a link that has no room for long, and goes on once it was sent.
func TestRepeatedPushesAreBounded(t *testing.T) {
	const fullTime, maxPushes = 10 * time.Second, 2 * 12
	inCluster(t, 1, 1, func(t *testing.T, c *testCluster) {
		var pushes atomic.Int64
		isPush := func(_, to string, m *wire.StateMessage) bool {
			if to == "e1" && m.GetConfiguration() != nil {
				pushes.Add(1)
			}
			return to == "e1" && m.GetConfiguration() != nil
		}
		c.fill(isPush)
		c.mustChangeLarge("s1", largeChange(1, 1000))
		time.Sleep(fullTime)
		assert.Greater(t, pushes.Load(), int64(1))
		assert.LessOrEqual(t, pushes.Load(), int64(maxPushes))
		c.fill(nil)
		time.Sleep(2 * time.Second)
		pushes.Store(0)
		c.fill(isPush)
		time.Sleep(fullTime)
		assert.Zero(t, pushes.Load(), "pushes after one was sent")
	})
}
