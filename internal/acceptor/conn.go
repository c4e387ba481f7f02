package acceptor

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

// phase is what a connection is doing.
type phase int32

const (
	// idle: it is between requests, or the head of one has begun.
	idle phase = iota
	readingBody
	// waiting: its body waits for room.
	waiting
	// handling: the request is complete, and the handler has not returned.
	handling
)

// conn is a connection whose progress is followed.
type conn struct {
	net.Conn
	server *Server
	phase  atomic.Int32
	// since is when the phase began, and progressAt when a byte was last read, as Acceptor.elapsed.
	since, progressAt atomic.Int64
	// received counts the bytes of the phase.
	received atomic.Int64
	// hasServed is set once a request was complete.
	hasServed atomic.Bool
	// writingSince is when the write in progress began, likewise, zero without one.
	writingSince atomic.Int64
	closing      sync.Once
	closeErr     error
}

func newConn(nc net.Conn, s *Server) *conn {
	c := &conn{Conn: nc, server: s}
	if tcp, ok := nc.(*net.TCPConn); ok {
		// Without it the connection holds more unread bytes.
		_ = tcp.SetReadBuffer(receiveBufferBytes)
	}
	c.setPhase(idle)
	return c
}

func (c *conn) now() int64 {
	a := c.server.acceptor
	return a.elapsed(a.config.Now())
}

func (c *conn) setPhase(p phase) {
	now := c.now()
	c.since.Store(now)
	c.progressAt.Store(now)
	c.received.Store(0)
	c.phase.Store(int32(p))
	if p == handling {
		c.hasServed.Store(true)
	}
}

// expectBody bounds the time until the next bytes of a body.
func (c *conn) expectBody() {
	a := c.server.acceptor
	_ = c.SetReadDeadline(a.config.Now().Add(a.config.Limits.BodyTimeout))
}

// endBody removes the deadline of the body, which would end the request.
func (c *conn) endBody() { _ = c.SetReadDeadline(time.Time{}) }

const (
	// restTimeout bounds the time for which the rest of a refused request is read, and restPause that
	// without a byte of it.
	restTimeout = time.Second
	restPause   = 100 * time.Millisecond
)

// drain sends the answer to a refused request and reads the rest of its body, since a client that is
// still sending would lose the answer with the connection.
func (c *conn) drain(w http.ResponseWriter, rest io.Reader) {
	end := c.server.acceptor.config.Now().Add(restTimeout)
	c.setPhase(readingBody)
	if http.NewResponseController(w).Flush() != nil {
		return
	}
	for now := c.server.acceptor.config.Now(); now.Before(end); now = c.server.acceptor.config.Now() {
		if c.SetReadDeadline(now.Add(restPause)) != nil {
			return
		}
		if _, err := io.CopyN(io.Discard, rest, readStep); err != nil {
			return
		}
		runtime.Gosched()
	}
}

// Read reads and records the progress. It ends a head that is over its limit.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.progressAt.Store(c.now())
		received := c.received.Add(int64(n))
		if phase(c.phase.Load()) == idle && received > int64(c.server.maxHead()) {
			c.refuseHead()
			return 0, io.EOF
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && phase(c.phase.Load()) == idle && c.received.Load() > 0 {
		c.server.acceptor.closings.add(c.server.address.Name, HeadTimedOut)
	}
	return n, err
}

// readAhead is what the server may read beyond a head at once.
const readAhead = 4 << 10

func (s *Server) maxHead() int {
	limit := DefaultHeadBytes
	if s.address.MaxHead != nil {
		limit = s.address.MaxHead()
	}
	return limit + readAhead
}

const headRefusal = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\nthe head is too large"

// refuseHead answers a head that is too large, and reads on for a moment so that the answer arrives.
func (c *conn) refuseHead() {
	c.server.acceptor.closings.add(c.server.address.Name, HeadTooLarge)
	_ = c.SetDeadline(c.server.acceptor.config.Now().Add(restTimeout))
	// A client that does not read gets no answer.
	if _, err := c.Conn.Write([]byte(headRefusal)); err != nil {
		return
	}
	if c.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, receiveBufferBytes)
	}
}

// CloseWrite ends the answers, and lets the server read on so that the last one arrives.
func (c *conn) CloseWrite() error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.ErrUnsupported
	}
	return tcp.CloseWrite()
}

// Write writes and records how long that takes.
func (c *conn) Write(p []byte) (int, error) {
	c.writingSince.Store(max(1, c.now()))
	n, err := c.Conn.Write(p)
	c.writingSince.Store(0)
	return n, err
}

// Close closes the connection once and gives its place to another one.
func (c *conn) Close() error {
	c.closing.Do(func() {
		c.closeErr = c.Conn.Close()
		c.server.listener.remove(c)
	})
	return c.closeErr
}

// standing returns the kind of closing that fits a connection which has stood still within a request since
// a time or longer.
func (c *conn) standing(now, since time.Time, l *Limits) (Kind, bool) {
	if began := c.writingSince.Load(); began != 0 && now.Sub(c.later(began, since)) >= l.StallTimeout {
		return AnswerNotRead, true
	}
	if phase(c.phase.Load()) != readingBody {
		return "", false
	}
	if now.Sub(c.later(c.progressAt.Load(), since)) >= l.StallTimeout {
		return BodyStalled, true
	}
	elapsed := now.Sub(c.server.acceptor.timeAt(c.since.Load())) - l.StallTimeout
	return BodyStalled, elapsed > 0 && float64(c.received.Load()) < elapsed.Seconds()*float64(l.BodyRate)
}

// later returns the later one of a time of the connection and another time.
func (c *conn) later(elapsed int64, t time.Time) time.Time {
	if at := c.server.acceptor.timeAt(elapsed); at.After(t) {
		return at
	}
	return t
}

// maxInactive returns for how long a connection may be between requests while there is no place for
// others. The first request follows a connection at once, or after one packet that was lost.
func (c *conn) maxInactive() time.Duration {
	limit := c.server.acceptor.config.Limits.StallTimeout
	if c.hasServed.Load() {
		return limit
	}
	return limit / 4
}

// inactiveFor returns for how long a connection has been between requests.
func (c *conn) inactiveFor(now time.Time) time.Duration {
	if phase(c.phase.Load()) != idle || c.received.Load() > 0 {
		return 0
	}
	return now.Sub(c.server.acceptor.timeAt(c.progressAt.Load()))
}
