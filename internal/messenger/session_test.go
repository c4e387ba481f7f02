package messenger

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// stuckConn is a connection whose pending Read goes on for a time after Close, as on a VM that
// has no processor time left for it.
type stuckConn struct {
	net.Conn
	delay time.Duration
}

func (c *stuckConn) Close() error {
	time.AfterFunc(c.delay, func() { _ = c.Conn.Close() })
	return nil
}

// TestClosedSessionEndsReads guards against readers that poll a closed session until its receive
// loop has ended: they took all the processor time of a VM that lost its links.
func TestClosedSessionEndsReads(t *testing.T) {
	const stuckFor = 500 * time.Millisecond
	a, b := net.Pipe()
	defer func() { _ = b.Close() }()
	go func() { _, _ = io.Copy(io.Discard, b) }()
	config := yamux.DefaultConfig()
	config.LogOutput, config.EnableKeepAlive = io.Discard, false
	conn := &sessionConn{Conn: &stuckConn{Conn: a, delay: stuckFor}}
	session, err := yamux.Client(conn, config)
	require.NoError(t, err)
	stream, err := session.OpenStream()
	require.NoError(t, err)
	conn.stream.Store(stream)
	ended := make(chan time.Time, 1)
	go func() {
		_, err := stream.Read(make([]byte, 1))
		assert.Error(t, err)
		ended <- time.Now()
	}()
	time.Sleep(20 * time.Millisecond)
	closedAt := time.Now()
	go func() { _ = session.Close() }()
	assert.Less(t, (<-ended).Sub(closedAt), stuckFor/2, "the read went on after the session was closed")
	_, err = (&progressWriter{stream: stream, session: session, timeout: time.Second}).Write([]byte("x"))
	assert.ErrorIs(t, err, yamux.ErrSessionShutdown)
}
