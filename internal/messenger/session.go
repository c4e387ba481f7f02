package messenger

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

// sessionConn is the connection below a yamux session. When yamux closes the session, it wakes
// the blocked calls of the streams first, and they poll without a pause until the receive loop
// has ended and the streams are closed. On a VM with one core the polling takes the processor
// time that the receive loop needs to end. The passed deadline ends the calls instead.
type sessionConn struct {
	net.Conn
	stream atomic.Pointer[yamux.Stream]
}

// Close ends the calls on the stream of the session and closes the connection.
func (c *sessionConn) Close() error {
	if stream := c.stream.Load(); stream != nil {
		_ = stream.SetDeadline(passedDeadline)
	}
	return c.Conn.Close()
}

var passedDeadline = time.Unix(1, 0)
