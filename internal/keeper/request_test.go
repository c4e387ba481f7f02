package keeper

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bronzedrift.example/bronzedrift/internal/configurer"
	"bronzedrift.example/bronzedrift/internal/messenger/wire"
)

func (c *testCluster) logLength(vm string) int {
	status, _, err := c.keeper(vm).Status(context.Background())
	require.NoError(c.t, err)
	return status.LogLength
}

// TestRepeatedChangeIsProposedOnce guards against a log and memory that fill with the same change,
// sent again while it can't be committed.
func TestRepeatedChangeIsProposedOnce(t *testing.T) {
	inCluster(t, 3, 0, func(t *testing.T, c *testCluster) {
		leader := c.leader()
		before := c.logLength(leader)
		c.drop(func(_, _ string, m *wire.StateMessage) bool { return len(m.GetLog().GetEntries()) > 0 })
		for range 10 {
			_, err := c.change(leader, versioned(1, 1000), time.Second)
			require.ErrorIs(t, err, ErrUnavailable)
		}
		require.Equal(t, leader, c.leader())
		assert.LessOrEqual(t, c.logLength(leader)-before, 1)
		c.release()
		c.mustChange(c.follower(), versioned(1, 1000))
		c.mustRead(leader, 1)
	})
}

// TestCallsOfTheLeaderAreBounded guards against memory that fills with the requests of callers
// that are gone.
func TestCallsOfTheLeaderAreBounded(t *testing.T) {
	inCluster(t, 3, 0, func(t *testing.T, c *testCluster) {
		leader := c.leader()
		c.drop(func(_, _ string, m *wire.StateMessage) bool { return len(m.GetLog().GetEntries()) > 0 })
		for range 10 {
			_, err := c.change(leader, versioned(1, 1000), time.Second)
			require.ErrorIs(t, err, ErrUnavailable)
		}
		time.Sleep(callTTL + time.Second)
		calls, texts := make(chan int, 1), make(chan int, 1)
		k := c.keeper(leader)
		k.enqueue(input{run: func(time.Time) {
			n := 0
			for _, call := range k.leaderCalls {
				n += len(call.request.GetChange().GetText())
			}
			calls <- len(k.leaderCalls)
			texts <- n
		}})
		assert.Zero(t, <-calls)
		assert.Zero(t, <-texts)
	})
}

// TestOldVersionNeedsNoEntry guards against a log that grows by changes that have no effect.
func TestOldVersionNeedsNoEntry(t *testing.T) {
	inCluster(t, 3, 0, func(t *testing.T, c *testCluster) {
		c.mustChange(c.follower(), versioned(5, 1000))
		before := c.logLength(c.leader())
		for _, version := range []uint64{5, 3} {
			o := c.mustChange(c.follower(), versioned(version, 1000))
			assert.Equal(t, configurer.Superseded, o.Kind)
			assert.EqualValues(t, 5, o.Version)
		}
		assert.Equal(t, before, c.logLength(c.leader()))
	})
}

// TestReadSendsNoTextThatIsKnown guards against links that fill with the text of the
// configuration, sent again to a state VM that has it.
func TestReadSendsNoTextThatIsKnown(t *testing.T) {
	inCluster(t, 3, 0, func(t *testing.T, c *testCluster) {
		const size = 400 << 10
		c.mustChange(c.follower(), versioned(1, size))
		time.Sleep(time.Second)
		var sent atomic.Int64
		c.drop(func(_, _ string, m *wire.StateMessage) bool {
			sent.Add(int64(len(m.GetResponse().GetState().GetCurrent().GetText())))
			return false
		})
		for range 10 {
			c.mustRead(c.follower(), 1)
		}
		assert.Zero(t, sent.Load())
	})
}

// TestRepeatedReadIsAnsweredOnce guards against a text that is sent again for each repeat of a
// read while the first answer is on a narrow link.
func TestRepeatedReadIsAnsweredOnce(t *testing.T) {
	inCluster(t, 3, 1, func(t *testing.T, c *testCluster) {
		const size = 400 << 10
		c.mustChange(c.follower(), versioned(1, size))
		time.Sleep(time.Second)
		var sent atomic.Int64
		c.setLinks(func(m *wire.StateMessage) (time.Duration, bool) {
			n := len(m.GetResponse().GetState().GetCurrent().GetText())
			sent.Add(int64(n))
			if n > 0 {
				return 850 * time.Millisecond, false
			}
			return linkLatency, false
		})
		// An entry whose configuration is older asks for the newest one.
		k := c.keeper("e1")
		k.enqueue(input{run: func(time.Time) { k.setActive(configurer.Configuration{}) }})
		c.mustRead("e1", 1)
		assert.LessOrEqual(t, sent.Load(), int64(size))
	})
}
