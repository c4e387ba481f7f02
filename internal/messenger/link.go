package messenger

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/hashicorp/yamux"

	"bronzedrift.example/bronzedrift/internal/dispatcher"
	"bronzedrift.example/bronzedrift/internal/messenger/wire"
	"bronzedrift.example/bronzedrift/internal/recorder"
)

const (
	// dialTimeout is many round trips of a few milliseconds; a VM that was dark is
	// dialled anew soon after it is back, at one packet for each try.
	dialTimeout      = 150 * time.Millisecond
	redialDelay      = 50 * time.Millisecond
	redialMax        = 150 * time.Millisecond
	heartbeat        = 250 * time.Millisecond
	silenceTimeout   = time.Second
	maxBatch         = 512
	readBufferBytes  = 64 << 10
	greetingTimeout  = time.Second
	streamWindowSize = 1 << 20
)

// link sends to one peer over a session that this VM dials.
type link struct {
	messenger *Messenger
	peer      Peer
	ring      chan outgoing
	overflow  chan struct{}
	// wake ends a pause between dials: the peer has just dialled this VM.
	wake chan struct{}
	stop context.CancelFunc
}

// outgoing is one message for a peer: the dispatcher's, the log's, or one
// between entries and holders.
type outgoing struct {
	message *dispatcher.Message
	log     []byte
	relay   *wire.Relay
}

func newLink(m *Messenger, p Peer) *link {
	return &link{
		messenger: m, peer: p,
		ring:     make(chan outgoing, m.config.RingSize),
		overflow: make(chan struct{}, 1),
		wake:     make(chan struct{}, 1),
		stop:     func() {},
	}
}

// offer queues a message, or breaks the link so that both ends start anew.
func (l *link) offer(o outgoing) bool {
	select {
	case l.ring <- o:
		return true
	default:
	}
	select {
	case l.overflow <- struct{}{}:
	default:
	}
	return false
}

// run dials the peer again and again and sends until the link breaks.
func (l *link) run(ctx context.Context) {
	delay := redialDelay
	for ctx.Err() == nil {
		stream, session, err := l.dial(ctx)
		if err == nil {
			delay = redialDelay
			l.drainRing()
			l.messenger.handlers.PeerUp(l.peer.VM)
			l.pump(ctx, stream, session)
			_ = session.Close()
			l.messenger.handlers.PeerLost(l.peer.VM)
		}
		if ctx.Err() != nil {
			return
		}
		if refused := l.messenger.handlers.PeerRefused; refused != nil && errors.Is(err, syscall.ECONNREFUSED) {
			refused(l.peer.VM)
		}
		delay = l.pause(ctx, delay)
	}
}

func (l *link) pause(ctx context.Context, delay time.Duration) time.Duration {
	select {
	case <-ctx.Done():
	case <-l.wake:
		return redialDelay
	case <-time.After(delay):
	}
	return min(2*delay, redialMax)
}

// drainRing drops what was queued for a session that has ended: the peer is
// told anew on the next one.
func (l *link) drainRing() {
	for {
		select {
		case <-l.ring:
		case <-l.overflow:
		default:
			return
		}
	}
}

func (l *link) dial(ctx context.Context) (*yamux.Stream, *yamux.Session, error) {
	conn, err := l.connect(ctx)
	if err != nil {
		return nil, nil, fmt.Errorf("messenger: dialling %s: %w", l.peer.VM, err)
	}
	session, err := yamux.Client(conn, l.messenger.sessionConfig())
	if err != nil {
		_ = conn.Close()
		return nil, nil, fmt.Errorf("messenger: session with %s: %w", l.peer.VM, err)
	}
	stream, err := l.greet(session)
	if err != nil {
		_ = session.Close()
		return nil, nil, err
	}
	return stream, session, nil
}

// connect makes a connection. A peer that dials meanwhile has just started: what
// was sent to it before is lost, and is sent anew at once.
func (l *link) connect(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	made := make(chan struct{})
	defer close(made)
	go func() {
		select {
		case <-l.wake:
			cancel()
			select {
			case l.wake <- struct{}{}:
			default:
			}
		case <-made:
		}
	}()
	var dialer net.Dialer
	if from := l.messenger.config.DialFrom; from.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(from, 0))
	}
	return dialer.DialContext(ctx, "tcp", l.peer.Inner.String())
}

// greet opens the stream of a session and waits until the peer has taken the
// greeting.
func (l *link) greet(session *yamux.Session) (*yamux.Stream, error) {
	stream, err := session.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("messenger: stream to %s: %w", l.peer.VM, err)
	}
	c := l.messenger.config
	greeting := &wire.Greeting{Vm: c.VM, DataCentre: c.DataCentre, Secret: c.Secret, Version: version}
	_ = stream.SetDeadline(time.Now().Add(greetingTimeout))
	if _, err := writeFrame(stream, nil, greeting); err != nil {
		return nil, fmt.Errorf("messenger: greeting %s: %w", l.peer.VM, err)
	}
	var back wire.Greeting
	if _, err := readFrame(bufio.NewReader(stream), &back); err != nil {
		return nil, fmt.Errorf("messenger: greeting of %s: %w", l.peer.VM, err)
	}
	if !l.messenger.isSecret(back.GetSecret()) {
		return nil, ErrSecret
	}
	_ = stream.SetDeadline(time.Time{})
	return stream, nil
}

// pump sends what is queued, as many messages in one frame as are waiting.
func (l *link) pump(ctx context.Context, stream *yamux.Stream, session *yamux.Session) {
	var buffer []byte
	var sequence uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-session.CloseChan():
			return
		case <-l.overflow:
			l.messenger.handlers.Event(recorder.Event{Number: recorder.RingFull, Peer: l.peer.VM, Task: recorder.NoTask})
			return
		case first := <-l.ring:
			sequence++
			frame := l.batch(first, sequence)
			var err error
			_ = stream.SetWriteDeadline(time.Now().Add(l.messenger.silence()))
			if buffer, err = writeFrame(stream, buffer, frame); err != nil {
				return
			}
			l.messenger.countSent(frame, len(buffer))
		}
	}
}

func (m *Messenger) countSent(frame *wire.Frame, size int) {
	m.Counts.FramesSent.Add(1)
	m.Counts.MessagesSent.Add(uint64(len(frame.GetMessages())))
	m.Counts.BytesSent.Add(uint64(size))
}

func (l *link) batch(first outgoing, sequence uint64) *wire.Frame {
	clock := l.messenger.handlers.Clock()
	frame := &wire.Frame{
		Sequence: sequence, ClockWall: unixNano(clock.Wall), ClockCounter: clock.Counter,
		Messages: []*wire.Message{encodeOutgoing(first)},
	}
	for len(frame.Messages) < maxBatch {
		select {
		case next := <-l.ring:
			frame.Messages = append(frame.Messages, encodeOutgoing(next))
		default:
			return frame
		}
	}
	return frame
}

func encodeOutgoing(o outgoing) *wire.Message {
	switch {
	case o.relay != nil:
		return &wire.Message{Body: &wire.Message_Relay{Relay: o.relay}}
	case o.message == nil:
		return &wire.Message{Body: &wire.Message_Log{Log: o.log}}
	}
	return encode(o.message)
}

// receive takes a session that a peer dialled and hands its messages on.
func (m *Messenger) receive(ctx context.Context, conn net.Conn) {
	m.sessions.Store(conn, nil)
	defer m.sessions.Delete(conn)
	defer func() { _ = conn.Close() }()
	session, err := yamux.Server(conn, m.sessionConfig())
	if err != nil {
		return
	}
	defer func() { _ = session.Close() }()
	stream, err := session.AcceptStream()
	if err != nil {
		return
	}
	reader := bufio.NewReaderSize(stream, readBufferBytes)
	from, err := m.welcome(stream, reader)
	if err != nil {
		m.handlers.Event(recorder.Event{
			Number: recorder.LinkRefused, Peer: conn.RemoteAddr().String(), Text: err.Error(), Task: recorder.NoTask,
		})
		return
	}
	m.readFrames(ctx, from, reader)
}

// welcome checks the greeting of a peer and answers it.
func (m *Messenger) welcome(stream *yamux.Stream, reader *bufio.Reader) (string, error) {
	_ = stream.SetDeadline(time.Now().Add(greetingTimeout))
	var greeting wire.Greeting
	if _, err := readFrame(reader, &greeting); err != nil {
		return "", err
	}
	if greeting.GetVersion() != version {
		return "", ErrVersion
	}
	if !m.isSecret(greeting.GetSecret()) {
		return "", ErrSecret
	}
	if err := m.admit(&greeting); err != nil {
		return "", err
	}
	back := &wire.Greeting{Vm: m.config.VM, DataCentre: m.config.DataCentre, Secret: m.config.Secret, Version: version}
	if _, err := writeFrame(stream, nil, back); err != nil {
		return "", err
	}
	_ = stream.SetDeadline(time.Time{})
	return greeting.GetVm(), nil
}

// admit accepts a known peer, or any where the messenger admits all.
func (m *Messenger) admit(greeting *wire.Greeting) error {
	m.mu.RLock()
	l := m.links[greeting.GetVm()]
	m.mu.RUnlock()
	if l != nil {
		select {
		case l.wake <- struct{}{}:
		default:
		}
		return nil
	}
	inner, err := netip.ParseAddrPort(greeting.GetVm())
	if !m.config.AdmitsAll || err != nil {
		return ErrPeer
	}
	m.AddPeer(Peer{VM: greeting.GetVm(), DataCentre: greeting.GetDataCentre(), Inner: inner})
	return nil
}

// readFrames hands on the messages of a session. Sequence numbers rise by one,
// so that a frame is never applied twice.
func (m *Messenger) readFrames(ctx context.Context, from string, reader *bufio.Reader) {
	var last uint64
	session := m.session.Add(1)
	for ctx.Err() == nil {
		frame := &wire.Frame{}
		size, err := readFrame(reader, frame)
		if err != nil || frame.GetSequence() != last+1 {
			return
		}
		last = frame.GetSequence()
		m.Counts.BytesReceived.Add(uint64(size))
		m.Counts.MessagesReceived.Add(uint64(len(frame.GetMessages())))
		m.handlers.Observe(recorder.Clock{
			Wall: fromUnixNano(frame.GetClockWall()), Counter: frame.GetClockCounter(),
		})
		if !m.deliver(from, session, frame) {
			return
		}
	}
}

func (m *Messenger) deliver(from string, session uint64, frame *wire.Frame) bool {
	for _, w := range frame.GetMessages() {
		if log, ok := w.GetBody().(*wire.Message_Log); ok {
			m.handlers.Log(from, log.Log)
			continue
		}
		if relay, ok := w.GetBody().(*wire.Message_Relay); ok && m.handlers.Relay != nil {
			m.handlers.Relay(from, session, relay.Relay)
			continue
		}
		msg, err := decode(w)
		if err != nil {
			m.handlers.Event(recorder.Event{Number: recorder.LinkRefused, Peer: from, Text: err.Error(), Task: recorder.NoTask})
			return false
		}
		m.handlers.Message(from, msg)
	}
	return true
}

func (m *Messenger) silence() time.Duration {
	if m.config.Silence > 0 {
		return m.config.Silence
	}
	return silenceTimeout
}

// sessionConfig closes a session whose peer leaves heartbeats unanswered.
func (m *Messenger) sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = true
	c.KeepAliveInterval = heartbeat
	if m.config.Heartbeat > 0 {
		c.KeepAliveInterval = m.config.Heartbeat
	}
	c.ConnectionWriteTimeout = m.silence()
	c.MaxStreamWindowSize = streamWindowSize
	c.LogOutput = io.Discard
	return c
}
