package messenger

import (
	"encoding/binary"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

// sessionConn is the connection below a yamux session.
//
// When yamux closes the session, it wakes the blocked calls of the streams first, and they poll
// without a pause until the receive loop has ended and the streams are closed. On a VM with one
// core the polling takes the processor time that the receive loop needs to end. The passed
// deadline ends the calls instead.
//
// yamux writes the header and the body of a message apart. Write joins them, which saves a system
// call and a packet for each message.
type sessionConn struct {
	net.Conn
	stream atomic.Pointer[yamux.Stream]
	// pending is a header that waits for its body. Only the send loop of the session writes.
	pending []byte
	// idle, if set, closes the connection unless it is reset, as each Read does.
	idle      *time.Timer
	idleLimit time.Duration
}

// The header of a yamux message has its type at yamuxTypeOffset and its length at
// yamuxLengthOffset. A body follows if the type is yamuxTypeData and the length is not zero.
const (
	yamuxHeaderSize   = 12
	yamuxTypeOffset   = 1
	yamuxLengthOffset = 8
	yamuxTypeData     = 0
)

// closeIfIdle closes the connection once nothing has been read for a time.
func (c *sessionConn) closeIfIdle(limit time.Duration) {
	c.idleLimit = limit
	c.idle = time.AfterFunc(limit, func() { _ = c.Close() })
}

// Read implements io.Reader.
func (c *sessionConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.idle != nil && err == nil {
		c.idle.Reset(c.idleLimit)
	}
	return n, err
}

// Write implements io.Writer. It keeps a header that is followed by a body until that is written.
func (c *sessionConn) Write(b []byte) (int, error) {
	if len(c.pending) == 0 && precedesBody(b) {
		c.pending = append(c.pending, b...)
		return len(b), nil
	}
	if len(c.pending) == 0 {
		return c.Conn.Write(b)
	}
	c.pending = append(c.pending, b...)
	_, err := c.Conn.Write(c.pending)
	c.pending = c.pending[:0]
	if err != nil {
		return 0, err
	}
	return len(b), nil
}

// precedesBody reports whether b, which does not follow a header, is one that a body follows.
func precedesBody(b []byte) bool {
	return len(b) == yamuxHeaderSize && b[yamuxTypeOffset] == yamuxTypeData && binary.BigEndian.Uint32(b[yamuxLengthOffset:]) > 0
}

// Close ends the calls on the stream of the session and closes the connection.
func (c *sessionConn) Close() error {
	if c.idle != nil {
		c.idle.Stop()
	}
	if stream := c.stream.Load(); stream != nil {
		_ = stream.SetDeadline(passedDeadline)
	}
	return c.Conn.Close()
}

var passedDeadline = time.Unix(1, 0)
