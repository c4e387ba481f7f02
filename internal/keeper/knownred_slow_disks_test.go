//go:build knownred

package keeper

import (
	"testing"
	"time"
)

// TestVerySlowDisksKeepALeader guards against changes and reads that take too long while a
// sync takes about as long as an operator waits before it sends again.
func TestVerySlowDisksKeepALeader(t *testing.T) {
	for _, syncTime := range []time.Duration{500 * time.Millisecond, time.Second} {
		t.Run(syncTime.String(), func(t *testing.T) { assertStableLeader(t, syncTime) })
	}
}
