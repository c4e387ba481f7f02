//go:build knownred

package keeper

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bronzedrift.example/bronzedrift/internal/configurer"
	"bronzedrift.example/bronzedrift/internal/messenger/wire"
)

const (
	// changeTime and readTime are how long a caller waits for an answer.
	changeTime = 3 * time.Second
	readTime   = 900 * time.Millisecond
)

func versioned(version uint64, size int) configurer.Change {
	return configurer.Change{ID: fmt.Sprint("version-", version), Version: version, Text: bytes.Repeat([]byte("x"), size)}
}

func (c *testCluster) change(vm string, ch configurer.Change, wait time.Duration) (configurer.Outcome, error) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	return c.keeper(vm).Change(ctx, ch)
}

func (c *testCluster) mustChange(vm string, ch configurer.Change) configurer.Outcome {
	c.t.Helper()
	o, err := c.change(vm, ch, changeTime)
	require.NoError(c.t, err)
	return o
}

func (c *testCluster) mustRead(vm string, version uint64) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), readTime)
	defer cancel()
	current, err := c.keeper(vm).ReadCurrent(ctx)
	if assert.NoError(c.t, err, "read at %s", vm) {
		assert.Equal(c.t, version, current.Version)
		assert.Equal(c.t, versioned(version, len(current.Text)).Text, current.Text)
		assert.NotEmpty(c.t, current.Text)
	}
}

// blockDisk restarts a state VM with a disk that has no room until the returned function is
// called.
func (c *testCluster) blockDisk(vm string) (unblock func()) {
	var isFull atomic.Bool
	c.kill(vm)
	disk := c.vms[vm].disk
	write := disk.Append
	disk.Append = func(name string, data []byte) error {
		if isFull.Load() {
			return errors.New("no space left on device")
		}
		return write(name, data)
	}
	c.start(vm)
	time.Sleep(settleTime)
	isFull.Store(true)
	return func() { isFull.Store(false) }
}

func (c *testCluster) logLength(vm string) int {
	status, _, err := c.keeper(vm).Status(context.Background())
	require.NoError(c.t, err)
	return status.LogLength
}

// TestRequestsPassABlockedDisk guards against a state VM that answers no read and no change
// while its own disk is full, although the other state VMs could.
func TestRequestsPassABlockedDisk(t *testing.T) {
	inCluster(t, 3, 0, func(_ *testing.T, c *testCluster) {
		blocked := c.follower()
		unblock := c.blockDisk(blocked)
		defer unblock()
		healthy := c.leader()
		c.mustChange(healthy, versioned(1, 100))
		time.Sleep(time.Second)
		c.mustRead(blocked, 1)
		c.mustChange(blocked, versioned(2, 100))
		c.mustRead(blocked, 2)
		c.mustRead(healthy, 2)
	})
}

// TestRequestsPassALostLink guards against a state VM that answers no read and no change while it
// does not reach the leader, although it reaches another state VM that does.
func TestRequestsPassALostLink(t *testing.T) {
	inCluster(t, 3, 0, func(_ *testing.T, c *testCluster) {
		leader := c.leader()
		c.mustChange(leader, versioned(1, 100))
		cutOff := c.follower()
		c.setLink(cutOff, leader, false)
		time.Sleep(settleTime)
		require.Equal(c.t, leader, c.leader())
		c.mustRead(cutOff, 1)
		c.mustChange(cutOff, versioned(2, 100))
		c.mustRead(cutOff, 2)
	})
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
		assert.LessOrEqual(t, <-calls, 1)
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
		k.enqueue(input{run: func(time.Time) { k.active = configurer.Configuration{} }})
		c.mustRead("e1", 1)
		assert.LessOrEqual(t, sent.Load(), int64(size))
	})
}
