package messenger

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"bronzedrift.example/bronzedrift/internal/acceptor"
	"bronzedrift.example/bronzedrift/internal/dispatcher"
	"bronzedrift.example/bronzedrift/internal/messenger/wire"
	"bronzedrift.example/bronzedrift/internal/recorder"
)

const (
	// dialTimeout covers many round trips of a few milliseconds. It is short so
	// that a VM that was unreachable is dialled again soon after it is back; each
	// attempt costs one packet.
	dialTimeout              = 150 * time.Millisecond
	minRedialDelay           = 50 * time.Millisecond
	maxRedialDelay           = 150 * time.Millisecond
	defaultHeartbeatInterval = 250 * time.Millisecond
	defaultSilenceTimeout    = time.Second
	maxFrameMessages         = 512
	// maxFrameContentBytes limits a frame of several messages, so that others need not wait long
	// behind it, and maxQueuedLogBytes the memory of a queue.
	maxFrameContentBytes = 64 << 10
	maxQueuedLogBytes    = 8 << 20
	// maxKeptBufferBytes is the largest buffer that is kept for the next frame.
	maxKeptBufferBytes = 1 << 20
	readBufferBytes    = 64 << 10
	handshakeTimeout   = time.Second
	// inboundIdleFactor is the multiple of the silence timeout after which an accepted session on
	// which not even pings arrive is closed. Its peer has dialled anew long before.
	inboundIdleFactor = 4
	streamWindowSize  = 1 << 20
)

// link sends messages to one peer over a session that this VM dials.
type link struct {
	messenger *Messenger
	peer      Peer
	queue     chan outboundMessage
	// logs holds the messages of the log apart, since they may be large: the others need
	// not wait behind all of them.
	logs logQueue
	// bulk holds pushes, requests and responses apart from the messages of the replica, of
	// which only the order matters.
	bulk     logQueue
	overflow chan struct{}
	// peerDialled receives when the peer has dialled this VM. It ends a back-off
	// or a pending connection attempt, so that the peer is dialled at once.
	peerDialled chan struct{}
	stop        context.CancelFunc
}

// outboundMessage is one queued message. Exactly one field is set: a message of
// the dispatcher, of the replica, a push, request or response of the configuration (bulk), or
// between entries and holders.
type outboundMessage struct {
	message *dispatcher.Message
	log     []byte
	bulk    []byte
	relay   *wire.Relay
}

func newLink(m *Messenger, p Peer) *link {
	return &link{
		messenger: m, peer: p,
		queue:       make(chan outboundMessage, m.config.QueueLength),
		logs:        newLogQueue(),
		bulk:        newLogQueue(),
		overflow:    make(chan struct{}, 1),
		peerDialled: make(chan struct{}, 1),
		stop:        func() {},
	}
}

// enqueue queues a message. If the queue is full it returns false and has the
// session closed, so that both ends start over on a new one. A message of the log that
// finds no room is only dropped, since its sender repeats it.
func (l *link) enqueue(o outboundMessage) bool {
	if o.log != nil {
		return l.enqueueLog(l.logs, o.log)
	}
	if o.bulk != nil {
		return l.enqueueLog(l.bulk, o.bulk)
	}
	select {
	case l.queue <- o:
		return true
	default:
	}
	select {
	case l.overflow <- struct{}{}:
	default:
	}
	return false
}

func (l *link) enqueueLog(q logQueue, payload []byte) bool {
	isQueued, isFirstLoss := q.add(payload)
	if isQueued {
		return true
	}
	l.messenger.Counts.LogsDropped.Add(1)
	if isFirstLoss {
		l.messenger.handlers.Event(recorder.Event{Number: recorder.LogQueueFull, Peer: l.peer.VM, Task: recorder.NoTask})
	}
	return false
}

// run dials the peer, sends until the session ends, and repeats until the context
// ends.
func (l *link) run(ctx context.Context) {
	delay := minRedialDelay
	for ctx.Err() == nil {
		stream, session, err := l.dial(ctx)
		if err == nil {
			delay = minRedialDelay
			l.discardQueue()
			l.messenger.handlers.PeerUp(l.peer.VM)
			l.sendFrames(ctx, stream, session)
			_ = session.Close()
			l.messenger.handlers.PeerLost(l.peer.VM)
		}
		if ctx.Err() != nil {
			return
		}
		if refused := l.messenger.handlers.PeerRefused; refused != nil && errors.Is(err, syscall.ECONNREFUSED) {
			refused(l.peer.VM)
		}
		delay = l.backOff(ctx, delay)
	}
}

// backOff waits before the next dial and returns the delay for the one after it.
func (l *link) backOff(ctx context.Context, delay time.Duration) time.Duration {
	select {
	case <-ctx.Done():
	case <-l.peerDialled:
		return minRedialDelay
	case <-time.After(delay):
	}
	return min(2*delay, maxRedialDelay)
}

// discardQueue drops the messages queued for a session that has ended. PeerUp
// announces the next one, on which the senders repeat what is still needed.
func (l *link) discardQueue() {
	l.logs.discard()
	l.bulk.discard()
	for {
		select {
		case <-l.queue:
		case <-l.overflow:
		default:
			return
		}
	}
}

func (l *link) dial(ctx context.Context) (*yamux.Stream, *yamux.Session, error) {
	tcp, err := l.connect(ctx)
	if err != nil {
		return nil, nil, fmt.Errorf("messenger: dialling %s: %w", l.peer.VM, err)
	}
	conn := &sessionConn{Conn: tcp}
	session, err := yamux.Client(conn, l.messenger.sessionConfig(true))
	if err != nil {
		_ = conn.Close()
		return nil, nil, fmt.Errorf("messenger: session with %s: %w", l.peer.VM, err)
	}
	stream, err := l.handshake(session, conn)
	if err != nil {
		_ = session.Close()
		return nil, nil, err
	}
	return stream, session, nil
}

// connect opens a TCP connection. If the peer dials this VM meanwhile, it has
// just started and the packets sent to it before are lost: the attempt is
// cancelled, so that a new one begins at once.
func (l *link) connect(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	connected := make(chan struct{})
	defer close(connected)
	go func() {
		select {
		case <-l.peerDialled:
			cancel()
			select {
			case l.peerDialled <- struct{}{}:
			default:
			}
		case <-connected:
		}
	}()
	var dialer net.Dialer
	if from := l.messenger.config.DialFrom; from.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(from, 0))
	}
	return dialer.DialContext(ctx, "tcp", l.peer.Inner.String())
}

// handshake opens the stream of a session, sends the greeting and waits for the
// peer's, which shows that the peer has accepted it.
func (l *link) handshake(session *yamux.Session, conn *sessionConn) (*yamux.Stream, error) {
	stream, err := session.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("messenger: stream to %s: %w", l.peer.VM, err)
	}
	conn.stream.Store(stream)
	c := l.messenger.config
	greeting := &wire.Greeting{Vm: c.VM, DataCentre: c.DataCentre, Secret: c.Secret, Version: protocolVersion}
	_ = stream.SetDeadline(time.Now().Add(handshakeTimeout))
	if _, err := writeFrame(stream, nil, greeting); err != nil {
		return nil, fmt.Errorf("messenger: sending the handshake to %s: %w", l.peer.VM, err)
	}
	var response wire.Greeting
	if _, err := readFrame(bufio.NewReader(stream), &response); err != nil {
		return nil, fmt.Errorf("messenger: reading the handshake of %s: %w", l.peer.VM, err)
	}
	if !l.messenger.secretMatches(response.GetSecret()) {
		return nil, ErrWrongSecret
	}
	_ = stream.SetDeadline(time.Time{})
	return stream, nil
}

// sendFrames sends the queued messages until the session ends, as many in one
// frame as are waiting.
func (l *link) sendFrames(ctx context.Context, stream *yamux.Stream, session *yamux.Session) {
	var buffer []byte
	var sequence uint64
	w := &progressWriter{stream: stream, session: session, timeout: l.messenger.silenceTimeout()}
	for {
		var frame *wire.Frame
		select {
		case <-ctx.Done():
			return
		case <-session.CloseChan():
			return
		case <-l.overflow:
			l.messenger.handlers.Event(recorder.Event{Number: recorder.RingFull, Peer: l.peer.VM, Task: recorder.NoTask})
			return
		case first := <-l.queue:
			frame = l.nextFrame(first, sequence+1)
		case first := <-l.logs.messages:
			frame = l.nextLogFrame(l.logs, first, sequence+1)
		case first := <-l.bulk.messages:
			frame = l.nextLogFrame(l.bulk, first, sequence+1)
		}
		sequence++
		var err error
		buffer, err = writeFrame(w, buffer, frame)
		if errors.Is(err, errNotEncodable) {
			l.dropNotEncodable(frame)
			buffer, err = writeFrame(w, buffer, frame)
		}
		if err != nil {
			return
		}
		l.messenger.countSent(frame, len(buffer))
		if cap(buffer) > maxKeptBufferBytes {
			buffer = nil
		}
	}
}

// dropNotEncodable drops the messages of a frame that can't be encoded: they would end this link, and
// the next one too if they are sent again.
func (l *link) dropNotEncodable(frame *wire.Frame) {
	frame.Messages = slices.DeleteFunc(frame.Messages, func(m *wire.Message) bool {
		_, err := proto.Marshal(m)
		if err != nil {
			l.messenger.handlers.Event(recorder.Event{Number: recorder.LinkRefused, Peer: l.peer.VM, Text: err.Error(), Task: recorder.NoTask})
		}
		return err != nil
	})
}

// progressWriter fails if a single write takes longer than the timeout: a large frame on a
// narrow link may take longer than that as a whole.
type progressWriter struct {
	stream  *yamux.Stream
	session *yamux.Session
	timeout time.Duration
}

// Write implements io.Writer.
func (w *progressWriter) Write(b []byte) (int, error) {
	if w.session.IsClosed() {
		return 0, yamux.ErrSessionShutdown
	}
	_ = w.stream.SetWriteDeadline(time.Now().Add(w.timeout))
	return w.stream.Write(b)
}

func (m *Messenger) countSent(frame *wire.Frame, size int) {
	m.Counts.FramesSent.Add(1)
	m.Counts.MessagesSent.Add(uint64(len(frame.GetMessages())))
	m.Counts.BytesSent.Add(uint64(size))
}

// nextFrame builds a frame of the first message and those queued behind it.
func (l *link) nextFrame(first outboundMessage, sequence uint64) *wire.Frame {
	frame := l.newFrame(first, sequence)
	size := proto.Size(frame.Messages[0])
	for len(frame.Messages) < maxFrameMessages && size < maxFrameContentBytes {
		select {
		case next := <-l.queue:
			m := encodeOutbound(next)
			size += proto.Size(m)
			frame.Messages = append(frame.Messages, m)
		default:
			return frame
		}
	}
	return frame
}

// nextLogFrame builds a frame of the first message of a queue and those queued behind it.
func (l *link) nextLogFrame(q logQueue, first []byte, sequence uint64) *wire.Frame {
	q.taken(first)
	frame := l.newFrame(outboundMessage{log: first}, sequence)
	size := len(first)
	for len(frame.Messages) < maxFrameMessages && size < maxFrameContentBytes {
		select {
		case next := <-q.messages:
			q.taken(next)
			size += len(next)
			frame.Messages = append(frame.Messages, encodeOutbound(outboundMessage{log: next}))
		default:
			return frame
		}
	}
	return frame
}

func (l *link) newFrame(first outboundMessage, sequence uint64) *wire.Frame {
	clock := l.messenger.handlers.Clock()
	return &wire.Frame{
		Sequence: sequence, ClockWall: unixNano(clock.Wall), ClockCounter: clock.Counter,
		Messages: []*wire.Message{encodeOutbound(first)},
	}
}

func encodeOutbound(o outboundMessage) *wire.Message {
	switch {
	case o.relay != nil:
		return &wire.Message{Body: &wire.Message_Relay{Relay: o.relay}}
	case o.bulk != nil:
		return &wire.Message{Body: &wire.Message_Log{Log: o.bulk}}
	case o.message == nil:
		return &wire.Message{Body: &wire.Message_Log{Log: o.log}}
	}
	return encode(o.message)
}

// receive accepts a session that a peer dialled and passes its messages to the
// handlers.
func (m *Messenger) receive(ctx context.Context, tcp net.Conn) {
	conn := &sessionConn{Conn: tcp}
	conn.closeIfIdle(inboundIdleFactor * m.silenceTimeout())
	m.inboundConns.Store(conn, nil)
	defer m.inboundConns.Delete(conn)
	defer func() { _ = conn.Close() }()
	session, err := yamux.Server(conn, m.sessionConfig(false))
	if err != nil {
		return
	}
	defer func() { _ = session.Close() }()
	stream, err := session.AcceptStream()
	if err != nil {
		return
	}
	conn.stream.Store(stream)
	reader := bufio.NewReaderSize(stream, readBufferBytes)
	from, err := m.acceptHandshake(stream, reader)
	if err != nil {
		m.handlers.Event(recorder.Event{
			Number: recorder.LinkRefused, Peer: conn.RemoteAddr().String(), Text: err.Error(), Task: recorder.NoTask,
		})
		return
	}
	if c, ok := tcp.(*acceptor.IdentifyingConn); ok {
		c.Identified()
	}
	m.readFrames(ctx, from, reader)
}

// acceptHandshake checks the greeting of a peer, answers it and returns the name
// of the peer's VM.
func (m *Messenger) acceptHandshake(stream *yamux.Stream, reader *bufio.Reader) (string, error) {
	_ = stream.SetDeadline(time.Now().Add(handshakeTimeout))
	var greeting wire.Greeting
	if _, err := readFrame(reader, &greeting); err != nil {
		return "", err
	}
	if greeting.GetVersion() != protocolVersion {
		return "", ErrProtocolVersion
	}
	if !m.secretMatches(greeting.GetSecret()) {
		return "", ErrWrongSecret
	}
	if err := m.acceptPeer(&greeting); err != nil {
		return "", err
	}
	response := &wire.Greeting{Vm: m.config.VM, DataCentre: m.config.DataCentre, Secret: m.config.Secret, Version: protocolVersion}
	if _, err := writeFrame(stream, nil, response); err != nil {
		return "", err
	}
	_ = stream.SetDeadline(time.Time{})
	return greeting.GetVm(), nil
}

// acceptPeer accepts a known peer and, if Config.AcceptUnknownPeers is set, adds
// an unknown one.
func (m *Messenger) acceptPeer(greeting *wire.Greeting) error {
	m.mu.RLock()
	l := m.links[greeting.GetVm()]
	m.mu.RUnlock()
	if l != nil {
		select {
		case l.peerDialled <- struct{}{}:
		default:
		}
		return nil
	}
	inner, err := netip.ParseAddrPort(greeting.GetVm())
	if !m.config.AcceptUnknownPeers || err != nil {
		return ErrUnknownPeer
	}
	m.AddPeer(Peer{VM: greeting.GetVm(), DataCentre: greeting.GetDataCentre(), Inner: inner})
	return nil
}

// readFrames passes the messages of a session to the handlers. Sequence numbers
// of frames rise by one; any other number ends the session, so that no frame is
// applied twice.
func (m *Messenger) readFrames(ctx context.Context, from string, reader *bufio.Reader) {
	var last uint64
	sessionID := m.sessionID.Add(1)
	for ctx.Err() == nil {
		frame := &wire.Frame{}
		size, err := readFrame(reader, frame)
		if err != nil || frame.GetSequence() != last+1 {
			return
		}
		last = frame.GetSequence()
		m.Counts.BytesReceived.Add(uint64(size))
		m.Counts.MessagesReceived.Add(uint64(len(frame.GetMessages())))
		m.handlers.ObserveClock(recorder.Clock{
			Wall: fromUnixNano(frame.GetClockWall()), Counter: frame.GetClockCounter(),
		})
		if !m.deliver(from, sessionID, frame) {
			return
		}
	}
}

// deliver passes the messages of a frame to the handlers. It returns false on a
// message that can't be decoded. An invalid announcement is left out: its sender repeats
// it on each new link.
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
			if errors.Is(err, errInvalidUpstream) {
				continue
			}
			return false
		}
		m.handlers.Message(from, msg)
	}
	return true
}

func (m *Messenger) silenceTimeout() time.Duration {
	if m.config.SilenceTimeout > 0 {
		return m.config.SilenceTimeout
	}
	return defaultSilenceTimeout
}

// sessionConfig makes yamux close a session that this VM has dialled if the peer doesn't answer
// keep-alive pings within the silence timeout. An accepted session gets the pings of its peer and
// sends none itself.
func (m *Messenger) sessionConfig(isDialled bool) *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = isDialled
	c.KeepAliveInterval = defaultHeartbeatInterval
	if m.config.HeartbeatInterval > 0 {
		c.KeepAliveInterval = m.config.HeartbeatInterval
	}
	c.ConnectionWriteTimeout = m.silenceTimeout()
	c.MaxStreamWindowSize = streamWindowSize
	c.LogOutput = io.Discard
	return c
}
