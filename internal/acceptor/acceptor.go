// Package acceptor serves HTTP to clients that the system does not control. It bounds what they hold
// together: connections, heads, bodies and the descriptors and bytes that these take. While something is
// short of room it closes the clients that stand still, never a request that goes on.
package acceptor

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
)

// Limits bound what the clients of a process hold together.
type Limits struct {
	// Connections is the number of connections at all addresses.
	Connections int
	// BodyBytes bounds the bodies that are larger than SmallBodyBytes.
	BodyBytes int64
	// HeadTimeout bounds the time of a head, IdleTimeout that between requests, and BodyTimeout
	// that without a byte of a body.
	HeadTimeout, IdleTimeout, BodyTimeout time.Duration
	// StallTimeout is the time without progress after which a client may be closed while others wait.
	StallTimeout time.Duration
	// BodyRate is the number of bytes of a body in a second below which that may happen too.
	BodyRate int64
	// WaitTimeout bounds the wait for room for a body.
	WaitTimeout time.Duration
}

// SmallBodyBytes is the size up to which a body counts as part of its connection.
const SmallBodyBytes = 8 << 10

const (
	// DefaultHeadBytes is the largest head of a request where an address sets no other limit.
	DefaultHeadBytes = 16 << 10
	// connectionBytes is what a connection may hold beside larger bodies: its head, as read and as
	// decoded, a small body and what the server needs for it.
	connectionBytes = 48 << 10
	// maxWaiting is the number of bodies that may wait for room.
	maxWaiting = 64
	// receiveBufferBytes bounds what a connection holds before it is read.
	receiveBufferBytes = 64 << 10
)

// DefaultLimits returns limits for a process without a limit of its memory.
func DefaultLimits() Limits {
	return Limits{
		Connections: 16_384, BodyBytes: 128 << 20, HeadTimeout: 5 * time.Second, IdleTimeout: 2 * time.Minute,
		BodyTimeout: 10 * time.Second, StallTimeout: time.Second, BodyRate: 8 << 10, WaitTimeout: 2 * time.Second,
	}
}

const (
	// memoryShare of the memory of a process may be held by larger bodies, and connectionShare by
	// connections.
	memoryShare     = 5
	connectionShare = 3
	// descriptorShare of the descriptors may be taken by connections of clients.
	descriptorShare = 2
)

// Within returns the limits for a process with a number of descriptors and bytes of memory, of which zero
// is not limited. The largest body that any address takes always has room.
func (l Limits) Within(descriptors int, memory, largestBody int64) Limits {
	if descriptors > 0 {
		l.Connections = min(l.Connections, descriptors/descriptorShare)
	}
	if memory > 0 {
		l.Connections = min(l.Connections, int(memory/connectionShare/connectionBytes))
		l.BodyBytes = memory / memoryShare
	}
	l.Connections = max(l.Connections, minConnections)
	l.BodyBytes = max(l.BodyBytes, largestBody)
	return l
}

// minConnections is shared out even if that is more than the share of the descriptors.
const minConnections = 32

// Config holds the settings of an Acceptor.
type Config struct {
	Limits Limits
	Now    func() time.Time
	// Closed is called for closed connections and refused requests: at most once a second for each
	// address and kind, with the number since the last call.
	Closed func(address string, kind Kind, count int)
}

// Address is what is served at one address.
type Address struct {
	// Name is that of the address in logs and metrics.
	Name    string
	Handler http.Handler
	// IsMain is set for the address that serves the most. It gets the connections that the others
	// have no part of.
	IsMain bool
	// MaxBody returns the limit in bytes of a request's body, and MaxHead that of heads. Without MaxBody no
	// request has a body, without MaxHead the limit is DefaultHeadBytes.
	MaxBody func(r *http.Request) int64
	MaxHead func() int
	// Refuse writes the answer to a request for whose body there is no room. Nothing of the body has been
	// used.
	Refuse func(w http.ResponseWriter, r *http.Request)
}

// Acceptor bounds what the clients of all its servers hold. It is safe for concurrent use.
type Acceptor struct {
	config Config
	// startedAt is when the acceptor was made. Its connections keep times as what has passed since, which
	// steps of the wall clock do not change.
	startedAt time.Time
	bodies    *semaphore.Weighted
	// reserved is what is acquired of bodies, for the metrics.
	reserved atomic.Int64
	waiting  atomic.Int64
	// isReclaiming is set while room is made for waiting bodies.
	isReclaiming atomic.Bool
	closings     *closings
	mu           sync.Mutex
	servers      []*Server
	// shortSince is when the present shortage began or this process last stood still in it, and
	// lookedAt when clients that stand still were last looked for.
	shortSince, lookedAt time.Time
}

// New returns an Acceptor without servers.
func New(c Config) *Acceptor {
	a := &Acceptor{config: c, startedAt: c.Now(), bodies: semaphore.NewWeighted(c.Limits.BodyBytes)}
	a.closings = newClosings(a)
	return a
}

// elapsed returns the nanoseconds from startedAt to a time, and timeAt the time after so many.
func (a *Acceptor) elapsed(t time.Time) int64 { return int64(t.Sub(a.startedAt)) }

func (a *Acceptor) timeAt(elapsed int64) time.Time { return a.startedAt.Add(time.Duration(elapsed)) }

// Server serves one address.
type Server struct {
	acceptor *Acceptor
	address  Address
	listener *boundedListener
	http     *http.Server
}

// otherShare of the connections is the part of each address that is not the main one.
const otherShare = 16

// NewServer returns a server for an open socket.
func (a *Acceptor) NewServer(socket net.Listener, address Address) *Server {
	s := &Server{acceptor: a, address: address}
	part := max(minConnections/4, a.config.Limits.Connections/otherShare)
	if address.IsMain {
		part = max(1, a.config.Limits.Connections-otherAddresses*part)
	}
	s.listener = newBoundedListener(socket, s, part)
	s.http = &http.Server{
		Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: a.config.Limits.HeadTimeout, IdleTimeout: a.config.Limits.IdleTimeout,
		ConnState: s.observeState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	a.mu.Lock()
	a.servers = append(a.servers, s)
	a.mu.Unlock()
	return s
}

// otherAddresses is the largest number of addresses beside the main one.
const otherAddresses = 3

type connKey struct{}

// Serve serves until Shutdown or Close.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("acceptor: serve %s: %w", s.address.Name, err)
	}
	return nil
}

// Shutdown takes no more requests and waits for those in progress.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return fmt.Errorf("acceptor: shut down %s: %w", s.address.Name, err)
	}
	return nil
}

// Close closes all connections.
func (s *Server) Close() error { return s.http.Close() }

// serve reads the body of a request within the limits and passes both to the handler.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	c, _ := r.Context().Value(connKey{}).(*conn)
	if c == nil {
		s.address.Handler.ServeHTTP(w, r)
		return
	}
	if r.ContentLength == 0 || r.Body == http.NoBody {
		c.setPhase(handling)
		s.address.Handler.ServeHTTP(w, r)
		return
	}
	rest := r.Body
	body, release, err := s.readBody(c, r)
	defer release()
	c.setPhase(handling)
	r.Body = body
	var tooLarge *http.MaxBytesError
	isNoRoom := errors.Is(err, errNoRoom)
	switch {
	case isNoRoom || errors.As(err, &tooLarge):
		w.Header().Set("Connection", "close")
		defer c.drain(w, rest)
	case err != nil:
		w.Header().Set("Connection", "close")
		// The server would wait for the rest of the body before it answers.
		_ = c.SetReadDeadline(s.acceptor.config.Now())
	}
	if isNoRoom {
		s.acceptor.closings.add(s.address.Name, NoRoom)
		s.address.Refuse(w, r)
		return
	}
	s.address.Handler.ServeHTTP(w, r)
}

// observeState notes the end of a request, which the handlers do not see.
func (s *Server) observeState(nc net.Conn, state http.ConnState) {
	c, _ := nc.(*conn)
	if c == nil {
		return
	}
	if state == http.StateIdle {
		c.setPhase(idle)
	}
}
