// Package messenger implements the inner protocol between VMs. It keeps one link
// to each peer and sends batches of messages over it, in order and at most once;
// messages of the replicated log keep an order of their own.
// A link whose peer stops answering is closed and dialled again. The messages
// lost with it are not resent here: every message can be repeated, and its
// sender repeats it if it is still needed.
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

	"bronzedrift.example/bronzedrift/internal/acceptor"
	"bronzedrift.example/bronzedrift/internal/dispatcher"
	"bronzedrift.example/bronzedrift/internal/messenger/wire"
	"bronzedrift.example/bronzedrift/internal/recorder"
)

// Peer is another VM that this one exchanges messages with.
type Peer struct {
	VM         string
	DataCentre string
	Inner      netip.AddrPort
}

// Config holds the settings of a Messenger.
type Config struct {
	VM         string
	DataCentre string
	Listen     netip.AddrPort
	// DialFrom is the local address of dialled links. If it is not valid, the
	// system chooses one.
	DialFrom    netip.Addr
	Peers       []Peer
	Secret      string
	QueueLength int
	// AcceptUnknownPeers accepts VMs that are not among the peers. Such a VM must
	// be named by its inner address, and becomes a peer under it.
	AcceptUnknownPeers bool
	// HeartbeatInterval is the interval of keep-alive pings, and SilenceTimeout the
	// time without an answer after which a session is closed. Zero selects the
	// default.
	HeartbeatInterval, SilenceTimeout time.Duration
}

// Handlers are called from the goroutines of the links and must not block for
// long.
type Handlers struct {
	Message func(from string, m dispatcher.Message)
	Log     func(from string, payload []byte)
	// Relay receives a message between entries and holders. Session is the number
	// of the inbound session that it arrived on.
	Relay    func(from string, session uint64, r *wire.Relay)
	PeerUp   func(vm string)
	PeerLost func(vm string)
	// PeerRefused, if set, is called when a peer refuses a connection because
	// nothing listens on its port.
	PeerRefused  func(vm string)
	Event        func(recorder.Event)
	Clock        func() recorder.Clock
	ObserveClock func(recorder.Clock)
}

// Errors of the handshake.
var (
	ErrWrongSecret     = errors.New("messenger: the peer's secret is not ours")
	ErrUnknownPeer     = errors.New("messenger: the peer is not in the settings")
	ErrProtocolVersion = errors.New("messenger: the peer speaks another version")
)

// After an error of Accept, which may concern one connection or descriptors that have run out,
// the next attempt follows after minAcceptDelay, doubled up to maxAcceptDelay by further errors.
const (
	minAcceptDelay     = 5 * time.Millisecond
	maxAcceptDelay     = time.Second
	maxAcceptDoublings = 8
)

const (
	// maxUnidentified bounds the accepted connections whose peers have not sent a greeting. All VMs of a
	// deployment may start at the same moment.
	maxUnidentified = 256
	// identifyTimeout is above the time of a greeting that is sent again over a link with losses.
	identifyTimeout = 2 * handshakeTimeout
)

// protocolVersion is the version of the inner protocol.
const protocolVersion = 1

// Messenger holds the links to all peers and accepts their sessions.
type Messenger struct {
	config       Config
	handlers     Handlers
	mu           sync.RWMutex
	links        map[string]*link
	serveCtx     context.Context
	goroutines   sync.WaitGroup
	listener     net.Listener
	inboundConns sync.Map
	sessionID    atomic.Uint64 // of the latest inbound session
	Counts       Counts
}

// Counts holds the totals of messages, frames and bytes sent and received. LogsDropped are
// the messages of the log for which a link had no room.
type Counts struct {
	LogsDropped      atomic.Uint64
	MessagesSent     atomic.Uint64
	FramesSent       atomic.Uint64
	BytesSent        atomic.Uint64
	MessagesReceived atomic.Uint64
	BytesReceived    atomic.Uint64
}

// New creates a Messenger and opens its listener. Serve runs it.
func New(c Config, h Handlers) (*Messenger, error) {
	listener, err := net.Listen("tcp", c.Listen.String())
	if err != nil {
		return nil, errors.Join(errors.New("messenger: opening the inner listener"), err)
	}
	m := &Messenger{config: c, handlers: h, links: map[string]*link{}, listener: acceptor.NewIdentifyingListener(listener, maxUnidentified, identifyTimeout)}
	for _, p := range c.Peers {
		if p.VM != c.VM {
			m.links[p.VM] = newLink(m, p)
		}
	}
	return m, nil
}

// Send queues a message for a peer. It returns false if the peer is unknown or
// the queue of its link is full; a full queue also closes the session.
func (m *Messenger) Send(to string, msg dispatcher.Message) bool {
	return m.enqueue(to, outboundMessage{message: &msg})
}

// SendLog queues a message of the replicated log for a peer. It returns false if the peer is
// unknown or too many bytes of them wait for its link; the session goes on.
func (m *Messenger) SendLog(to string, payload []byte) bool {
	return m.enqueue(to, outboundMessage{log: payload})
}

// SendBulk queues a push, request or response of the configuration for a peer. Its result is
// that of SendLog; the messages of the replica do not wait for room behind it.
func (m *Messenger) SendBulk(to string, payload []byte) bool {
	return m.enqueue(to, outboundMessage{bulk: payload})
}

// SendRelay queues a message between entries and holders for a peer.
func (m *Messenger) SendRelay(to string, r *wire.Relay) bool {
	return m.enqueue(to, outboundMessage{relay: r})
}

func (m *Messenger) enqueue(to string, o outboundMessage) bool {
	m.mu.RLock()
	l := m.links[to]
	m.mu.RUnlock()
	return l != nil && l.enqueue(o)
}

// AddPeer opens a link to a VM discovered after the start. It does nothing if the
// VM is a peer already.
func (m *Messenger) AddPeer(p Peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[p.VM] != nil || p.VM == m.config.VM {
		return
	}
	l := newLink(m, p)
	m.links[p.VM] = l
	if m.serveCtx != nil && m.serveCtx.Err() == nil {
		m.startLink(l)
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

// CloseInbound closes the connections that peers have dialled and discards the
// messages on them that are not read yet.
func (m *Messenger) CloseInbound() {
	m.inboundConns.Range(func(key, _ any) bool {
		_ = key.(net.Conn).Close()
		return true
	})
}

// startLink runs a link in a new goroutine. The caller holds m.mu.
func (m *Messenger) startLink(l *link) {
	ctx, cancel := context.WithCancel(m.serveCtx)
	l.stop = cancel
	m.goroutines.Go(func() { l.run(ctx) })
}

// Serve runs all links until the context ends. Each VM dials every peer and
// sends on the link it dialled; it receives on the links it accepted.
func (m *Messenger) Serve(ctx context.Context) error {
	m.mu.Lock()
	m.serveCtx = ctx
	for _, l := range m.links {
		m.startLink(l)
	}
	m.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { m.close() })
	defer stop()
	for failures := 0; ; {
		conn, err := m.listener.Accept()
		switch {
		case err == nil:
			failures = 0
			m.goroutines.Go(func() { m.receive(ctx, conn) })
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			m.close()
			m.goroutines.Wait()
			return ctx.Err()
		default:
			m.handlers.Event(recorder.Event{Number: recorder.AcceptFailed, Text: err.Error(), Task: recorder.NoTask})
			sleep(ctx, min(minAcceptDelay<<failures, maxAcceptDelay))
			failures = min(failures+1, maxAcceptDoublings)
		}
	}
}

// sleep waits for a time, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (m *Messenger) close() {
	_ = m.listener.Close()
	m.CloseInbound()
}

func (m *Messenger) secretMatches(s string) bool {
	return subtle.ConstantTimeCompare([]byte(s), []byte(m.config.Secret)) == 1
}
