//go:build knownred

package keeper

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"bronzedrift.example/bronzedrift/internal/configurer"
	"bronzedrift.example/bronzedrift/internal/messenger/wire"
)

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
