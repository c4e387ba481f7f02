package acceptor

import (
	"net"
	"sync"
	"time"
)

// IdentifyingListener accepts connections whose other ends identify themselves. It bounds the number of
// those that have not, and the time that they have for it.
type IdentifyingListener struct {
	net.Listener
	places  chan struct{}
	timeout time.Duration
	done    chan struct{}
	once    sync.Once
}

// NewIdentifyingListener returns a listener that has at most a number of connections whose other ends have not
// identified themselves, each for at most timeout.
func NewIdentifyingListener(l net.Listener, places int, timeout time.Duration) *IdentifyingListener {
	return &IdentifyingListener{Listener: l, places: make(chan struct{}, places), timeout: timeout, done: make(chan struct{})}
}

// IdentifyingConn is a connection of an IdentifyingListener.
type IdentifyingConn struct {
	net.Conn
	timer *time.Timer
	place sync.Once
	free  func()
}

// Accept waits for a place and for a connection, which is an *IdentifyingConn.
func (l *IdentifyingListener) Accept() (net.Conn, error) {
	select {
	case l.places <- struct{}{}:
	case <-l.done:
		return nil, net.ErrClosed
	}
	nc, err := l.Listener.Accept()
	if err != nil {
		<-l.places
		return nil, err
	}
	c := &IdentifyingConn{Conn: nc, free: func() { <-l.places }}
	c.timer = time.AfterFunc(l.timeout, func() {
		_ = nc.Close()
		c.place.Do(c.free)
	})
	return c, nil
}

// Identified gives the place to another connection: the other end of this one is known.
func (c *IdentifyingConn) Identified() {
	c.timer.Stop()
	c.place.Do(c.free)
}

// Close closes the connection.
func (c *IdentifyingConn) Close() error {
	c.Identified()
	return c.Conn.Close()
}

// Close stops Accept.
func (l *IdentifyingListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}
