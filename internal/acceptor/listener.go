package acceptor

import (
	"net"
	"sync"
	"time"
)

// boundedListener accepts a number of connections at once. At the limit it closes one that stands still, or
// waits until there is one.
type boundedListener struct {
	net.Listener
	server *Server
	places chan struct{}
	done   chan struct{}
	once   sync.Once
	mu     sync.Mutex
	conns  map[*conn]struct{}
}

func newBoundedListener(l net.Listener, s *Server, connections int) *boundedListener {
	return &boundedListener{
		Listener: l, server: s, places: make(chan struct{}, connections), done: make(chan struct{}), conns: map[*conn]struct{}{},
	}
}

// retryInterval is how often a place or room is looked for while there is none.
const retryInterval = 50 * time.Millisecond

// Accept waits for a place and for a connection.
func (l *boundedListener) Accept() (net.Conn, error) {
	if err := l.takePlace(); err != nil {
		return nil, err
	}
	nc, err := l.Listener.Accept()
	if err != nil {
		<-l.places
		return nil, err
	}
	c := newConn(nc, l.server)
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

func (l *boundedListener) takePlace() error {
	select {
	case l.places <- struct{}{}:
		return nil
	default:
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case l.places <- struct{}{}:
			return nil
		case <-l.done:
			return net.ErrClosed
		case <-timer.C:
			l.freePlaces()
			timer.Reset(retryInterval)
		}
	}
}

// freePlaces closes the connections that stand still within a request, or else the one that has been between
// requests for longest.
func (l *boundedListener) freePlaces() {
	a := l.server.acceptor
	now := a.config.Now()
	since := a.observeShortage(now)
	if l.closeStanding(now, since) > 0 {
		return
	}
	var longest *conn
	var longestOver time.Duration
	l.mu.Lock()
	for c := range l.conns {
		if over := min(c.inactiveFor(now), now.Sub(since)) - c.maxInactive(); over >= longestOver {
			longest, longestOver = c, over
		}
	}
	l.mu.Unlock()
	if longest != nil {
		a.closings.add(l.server.address.Name, Inactive)
		_ = longest.Close()
	}
}

// closeStanding closes the connections that have stood still within a request for too long, counted from a
// time, and returns their number.
func (l *boundedListener) closeStanding(now, since time.Time) int {
	a := l.server.acceptor
	type closing struct {
		conn *conn
		kind Kind
	}
	var list []closing
	l.mu.Lock()
	for c := range l.conns {
		if kind, ok := c.standing(now, since, &a.config.Limits); ok {
			list = append(list, closing{c, kind})
		}
	}
	l.mu.Unlock()
	for _, c := range list {
		a.closings.add(l.server.address.Name, c.kind)
		_ = c.conn.Close()
	}
	return len(list)
}

// remove gives the place of a closed connection to another one.
func (l *boundedListener) remove(c *conn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	<-l.places
}

// count returns the number of open connections.
func (l *boundedListener) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Close stops Accept.
func (l *boundedListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// maxLookGap is the interval between two looks above which this process has stood still: what its
// clients have sent meanwhile is not read yet.
const maxLookGap = 4 * retryInterval

// observeShortage is called at each look for clients that stand still. It returns since when such
// looks have gone on without a gap.
func (a *Acceptor) observeShortage(now time.Time) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.lookedAt) > maxLookGap {
		a.shortSince = now
	}
	a.lookedAt = now
	return a.shortSince
}

// startReclaiming closes clients that stand still, at all addresses, for as long as bodies wait for room.
func (a *Acceptor) startReclaiming() {
	if !a.isReclaiming.CompareAndSwap(false, true) {
		return
	}
	go func() {
		for a.waiting.Load() > 0 {
			a.mu.Lock()
			servers := a.servers
			a.mu.Unlock()
			now := a.config.Now()
			since := a.observeShortage(now)
			for _, s := range servers {
				s.listener.closeStanding(now, since)
			}
			time.Sleep(retryInterval)
		}
		a.isReclaiming.Store(false)
		if a.waiting.Load() > 0 {
			a.startReclaiming()
		}
	}()
}
