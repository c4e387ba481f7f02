// Package messenger is the inner protocol: it keeps one link to each other VM
// and carries batches of messages over it, in order and at most once. A link
// that goes silent is closed and opened anew; what was lost with it is repeated
// by those who need it, since every message can be repeated.
package messenger

import (
	"context"
	"crypto/subtle"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"bronzedrift.example/bronzedrift/internal/dispatcher"
	"bronzedrift.example/bronzedrift/internal/messenger/wire"
	"bronzedrift.example/bronzedrift/internal/recorder"
)

// Peer is another VM of the system.
type Peer struct {
	VM         string
	DataCentre string
	Inner      netip.AddrPort
}

// Config is what a Messenger is told at its start.
type Config struct {
	VM         string
	DataCentre string
	Listen     netip.AddrPort
	// DialFrom is the address that links are dialled from; any where it is not set.
	DialFrom netip.Addr
	Peers    []Peer
	Secret   string
	RingSize int
	// AdmitsAll lets VMs link that are not among the peers; each becomes a peer
	// under the inner address that it names as its VM.
	AdmitsAll bool
	// Heartbeat and Silence override the defaults where they are not zero.
	Heartbeat, Silence time.Duration
}

// Handlers are called by the links. None may block for long.
type Handlers struct {
	Message func(from string, m dispatcher.Message)
	Log     func(from string, payload []byte)
	// Relay takes a message between entries and holders. Session numbers the
	// inbound session that it came on.
	Relay    func(from string, session uint64, r *wire.Relay)
	PeerUp   func(vm string)
	PeerLost func(vm string)
	// PeerRefused is called where a peer's port has no listener, if it is set.
	PeerRefused func(vm string)
	Event       func(recorder.Event)
	Clock       func() recorder.Clock
	Observe     func(recorder.Clock)
}

// Errors of links.
var (
	ErrSecret  = errors.New("messenger: the peer's secret is not ours")
	ErrPeer    = errors.New("messenger: the peer is not in the settings")
	ErrVersion = errors.New("messenger: the peer speaks another version")
)

// version is the version of the inner protocol.
const version = 1

// Messenger keeps the links to all peers.
type Messenger struct {
	config   Config
	handlers Handlers
	mu       sync.RWMutex
	links    map[string]*link
	serving  context.Context
	running  sync.WaitGroup
	listener net.Listener
	sessions sync.Map
	session  atomic.Uint64
	Counts   Counts
}

// Counts are the totals of messages and bytes sent and received.
type Counts struct {
	MessagesSent     atomic.Uint64
	FramesSent       atomic.Uint64
	BytesSent        atomic.Uint64
	MessagesReceived atomic.Uint64
	BytesReceived    atomic.Uint64
}

// New opens the listener of a Messenger; Serve runs it.
func New(c Config, h Handlers) (*Messenger, error) {
	listener, err := net.Listen("tcp", c.Listen.String())
	if err != nil {
		return nil, errors.Join(errors.New("messenger: the inner listener cannot be opened"), err)
	}
	m := &Messenger{config: c, handlers: h, links: map[string]*link{}, listener: listener}
	for _, p := range c.Peers {
		if p.VM != c.VM {
			m.links[p.VM] = newLink(m, p)
		}
	}
	return m, nil
}

// Send queues a message for a peer. It reports false, and closes the link,
// where the ring of the link is full or the peer is unknown.
func (m *Messenger) Send(to string, msg dispatcher.Message) bool {
	return m.offer(to, outgoing{message: &msg})
}

// SendLog queues a message of the replicated log for a peer.
func (m *Messenger) SendLog(to string, payload []byte) bool {
	return m.offer(to, outgoing{log: payload})
}

// SendRelay queues a message between entries and holders for a peer.
func (m *Messenger) SendRelay(to string, r *wire.Relay) bool {
	return m.offer(to, outgoing{relay: r})
}

func (m *Messenger) offer(to string, o outgoing) bool {
	m.mu.RLock()
	l := m.links[to]
	m.mu.RUnlock()
	return l != nil && l.offer(o)
}

// AddPeer links a VM that was learnt after the start. A known one is left alone.
func (m *Messenger) AddPeer(p Peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[p.VM] != nil || p.VM == m.config.VM {
		return
	}
	l := newLink(m, p)
	m.links[p.VM] = l
	if m.serving != nil && m.serving.Err() == nil {
		m.start(l)
	}
}

// RemovePeer ends the link to a VM.
func (m *Messenger) RemovePeer(vm string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.links[vm]; l != nil {
		delete(m.links, vm)
		l.stop()
	}
}

// CloseInbound closes the sessions that peers have dialled, with what was sent
// on them and not read yet.
func (m *Messenger) CloseInbound() {
	m.sessions.Range(func(key, _ any) bool {
		_ = key.(net.Conn).Close()
		return true
	})
}

// start runs a link; the caller holds the lock.
func (m *Messenger) start(l *link) {
	ctx, cancel := context.WithCancel(m.serving)
	l.stop = cancel
	m.running.Go(func() { l.run(ctx) })
}

// Serve runs all links until the context ends. Each VM dials every peer and
// sends on the link it dialled; it receives on the links it accepted.
func (m *Messenger) Serve(ctx context.Context) error {
	m.mu.Lock()
	m.serving = ctx
	for _, l := range m.links {
		m.start(l)
	}
	m.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { m.close() })
	defer stop()
	for {
		conn, err := m.listener.Accept()
		if err != nil {
			m.close()
			m.running.Wait()
			return ctx.Err()
		}
		m.running.Go(func() { m.receive(ctx, conn) })
	}
}

func (m *Messenger) close() {
	_ = m.listener.Close()
	m.CloseInbound()
}

func (m *Messenger) isSecret(s string) bool {
	return subtle.ConstantTimeCompare([]byte(s), []byte(m.config.Secret)) == 1
}
