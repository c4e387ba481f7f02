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
