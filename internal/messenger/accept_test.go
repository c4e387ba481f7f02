package messenger

import (
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bronzedrift.example/bronzedrift/internal/dispatcher"
)

// failingListener returns errors from Accept before it accepts connections.
type failingListener struct {
	net.Listener
	err      error
	failures atomic.Int32
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: l.err}
	}
	return l.Listener.Accept()
}

// An error of one connection, or descriptors that have run out for a moment, must not cut a
// VM off from the messages of all others for as long as its process runs.
func TestAcceptErrorsKeepTheListener(t *testing.T) {
	for name, err := range map[string]error{
		"too many open files": syscall.EMFILE,
		"network unreachable": syscall.ENETUNREACH,
		"connection aborted":  syscall.ECONNABORTED,
	} {
		t.Run(name, func(t *testing.T) {
			peers := testPeers()
			receiver := newTestNode(t, "a", "secret", peers[0].Inner, peers, func(m *Messenger) {
				l := &failingListener{Listener: m.listener, err: err}
				l.failures.Store(3)
				m.listener = l
			})
			sender := newTestNode(t, "b", "secret", peers[1].Inner, peers)
			require.Eventually(t, func() bool {
				sender.Send("a", dispatcher.Message{Withdraw: &dispatcher.Withdraw{Job: "j"}})
				return len(receiver.received) > 0
			}, 5*time.Second, 20*time.Millisecond)
			assert.Equal(t, "j", (<-receiver.received).Withdraw.Job)
		})
	}
}
