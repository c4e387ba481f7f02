package messenger

import (
	"bufio"
	"bytes"
	"context"
	"math"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bronzedrift.example/bronzedrift/internal/dispatcher"
	"bronzedrift.example/bronzedrift/internal/messenger/wire"
	"bronzedrift.example/bronzedrift/internal/recorder"
	"bronzedrift.example/bronzedrift/internal/router"
	"bronzedrift.example/bronzedrift/internal/scheduler"
)

func TestCodecRoundTrip(t *testing.T) {
	at := time.Unix(0, 1_767_268_800_123_456_789)
	shape := scheduler.Shape{Slots: 2, MilliCores: 500, MemoryBytes: 7, Accelerators: 1}
	job := &dispatcher.Job{
		ID: "j", Submitted: at, Team: "t", Service: "s", Home: "h", Repeatable: true, Timeout: time.Second,
		Tasks: []dispatcher.Task{{Payload: []byte("1"), Shape: shape, DeclaredRunTime: time.Minute}}, Digest: 1 << 63,
	}
	for name, m := range map[string]dispatcher.Message{
		"hello":    {Hello: &dispatcher.Hello{VM: "a", Started: at, Draining: true}},
		"announce": {Announce: &dispatcher.Upstream{Name: "u", Address: netip.MustParseAddrPort("[::1]:7"), DataCentre: "d", Rack: "r", Capacity: shape, Services: []string{"s"}, Capabilities: []dispatcher.Capability{dispatcher.Fence}, Leaving: true, MemorySince: at, Announced: at}},
		"verdict":  {Verdict: &router.Verdict{Kind: router.SubjectVM, Name: "a", Down: true, Sequence: 9}},
		"forward":  {Forward: &dispatcher.Forward{Request: 1, Hops: 2, Job: job, JoinOnly: true, TimeLeft: time.Second, Received: at}},
		"query":    {Query: &dispatcher.Query{Request: 1, Hops: 2, Kind: dispatcher.Cancel, JobID: "j", Home: "h"}},
		"reply":    {Reply: &dispatcher.ForwardReply{Request: 1, Answer: &dispatcher.Answer{JobID: "j", Home: "h", Outcome: dispatcher.Complete, Ran: dispatcher.DidRun, Reason: dispatcher.Draining, Message: "m", RetryAfter: 3, Results: [][]byte{[]byte("1")}}}},
		"demand":   {Demand: &scheduler.Demand{Job: "j/0", Team: "t", Service: "s", DataCentre: "d", Shape: shape, Count: 3, DeclaredRunTime: 4, Work: 5, Arrival: at, AdmissionOnly: true}},
		"withdraw": {Withdraw: &dispatcher.Withdraw{DataCentre: "d", Job: "j/0", Count: 2}},
		"admitted": {Admission: &dispatcher.Admission{Job: "j", OK: true, RetryAfter: 5}},
		"settle":   {Settlement: &dispatcher.Settlement{DataCentre: "d", Team: "t", Count: 2}},
		"grant":    {Grant: &scheduler.Grant{Job: "j/0", Upstream: "u", Team: "t", Shape: shape, Expected: 6, Slope: 0.5}},
		"release":  {Release: &scheduler.Release{Upstream: "u", Team: "t", Service: "s", Shape: shape, DeclaredRunTime: 1, Elapsed: 2, Outcome: scheduler.Failed}},
		"holdings": {Holdings: &dispatcher.Holdings{DataCentre: "d", Leases: []dispatcher.Lease{{Upstream: "u", Team: "t", Shape: shape}}, Admitted: []dispatcher.Settlement{{Team: "t", Count: 1}}}},
		"load":     {Load: &dispatcher.LoadReport{DataCentre: "d", Services: []scheduler.Load{{Service: "s", Slots: 1, FreeSlots: 2, Waiting: 3, ExpectedWait: 4}}, Teams: []dispatcher.TeamLoad{{Team: "t", RecentDemand: 1.5}}}},
	} {
		t.Run(name, func(t *testing.T) {
			decoded, err := decode(encode(&m))
			require.NoError(t, err)
			assert.Equal(t, m, decoded)
		})
	}
}

// testNode is the messenger of one VM, with the events that its handlers received.
type testNode struct {
	*Messenger
	received chan dispatcher.Message
	up, lost chan string
	stop     context.CancelFunc
}

// newTestNode starts the messenger of a VM, after it was changed by configure.
func newTestNode(t *testing.T, vm, secret string, listen netip.AddrPort, peers []Peer, configure ...func(*Messenger)) *testNode {
	t.Helper()
	n := &testNode{received: make(chan dispatcher.Message, 100), up: make(chan string, 10), lost: make(chan string, 10)}
	m, err := New(Config{VM: vm, Listen: listen, Peers: peers, Secret: secret, QueueLength: 100}, Handlers{
		Message:      func(_ string, m dispatcher.Message) { n.received <- m },
		Log:          func(string, []byte) {},
		PeerUp:       func(vm string) { n.up <- vm },
		PeerLost:     func(vm string) { n.lost <- vm },
		Event:        func(recorder.Event) {},
		Clock:        func() recorder.Clock { return recorder.Clock{} },
		ObserveClock: func(recorder.Clock) {},
	})
	require.NoError(t, err)
	n.Messenger = m
	for _, change := range configure {
		change(m)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = m.Serve(ctx)
	}()
	n.stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(n.stop)
	return n
}

// TestInvalidAnnouncementIsLeftOut guards against a link that ends again and again, since a peer repeats
// the announcement of an upstream that can't be used, and against peers that miss the others.
func TestInvalidAnnouncementIsLeftOut(t *testing.T) {
	now := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	valid := func() *wire.Upstream {
		return &wire.Upstream{Name: "u", Address: "127.0.0.1:9", Announced: now.UnixNano(), Started: now.UnixNano()}
	}
	for name, change := range map[string]func(u *wire.Upstream){
		"port out of range": func(u *wire.Upstream) { u.Address = "127.0.0.1:99999" },
		"no port":           func(u *wire.Upstream) { u.Address = "127.0.0.1:0" },
		"this VM":           func(u *wire.Upstream) { u.Address = "0.0.0.0:9" },
		"started too late":  func(u *wire.Upstream) { u.Started = math.MaxInt64 },
		"started too early": func(u *wire.Upstream) { u.Started = math.MinInt64 },
		"no name":           func(u *wire.Upstream) { u.Name = "" },
	} {
		t.Run(name, func(t *testing.T) {
			var names []string
			events := 0
			m := &Messenger{handlers: Handlers{
				Message: func(_ string, m dispatcher.Message) { names = append(names, m.Announce.Name) },
				Event:   func(recorder.Event) { events++ },
			}}
			odd := valid()
			change(odd)
			frame := &wire.Frame{Messages: []*wire.Message{
				{Body: &wire.Message_Announce{Announce: odd}}, {Body: &wire.Message_Announce{Announce: valid()}},
			}}
			assert.True(t, m.deliver("peer", 1, frame), "the link ends")
			assert.Equal(t, []string{"u"}, names)
			assert.Equal(t, 1, events)
		})
	}
}

// TestMessageThatCannotBeEncoded guards against a link that ends again and again, since one message has a
// string that is not UTF-8.
func TestMessageThatCannotBeEncoded(t *testing.T) {
	peers := testPeers()
	a := newTestNode(t, "a", "secret", peers[0].Inner, peers)
	b := newTestNode(t, "b", "secret", peers[1].Inner, peers)
	assert.Equal(t, "b", awaitName(t, a.up))
	require.True(t, a.Send("b", dispatcher.Message{Announce: &dispatcher.Upstream{Name: "u", Rack: "\xff"}}))
	require.True(t, a.Send("b", dispatcher.Message{Settlement: &dispatcher.Settlement{Count: 7}}))
	select {
	case m := <-b.received:
		require.NotNil(t, m.Settlement)
		assert.Equal(t, 7, m.Settlement.Count)
	case vm := <-a.lost:
		assert.Fail(t, "the link has ended", vm)
	}
}

func testPeers() []Peer {
	return []Peer{
		{VM: "a", Inner: netip.MustParseAddrPort("127.77.1.1:17001")},
		{VM: "b", Inner: netip.MustParseAddrPort("127.77.1.2:17001")},
	}
}

func awaitName(t *testing.T, c chan string) string {
	t.Helper()
	select {
	case s := <-c:
		return s
	case <-time.After(10 * time.Second):
		require.Fail(t, "no event within 10 s")
		return ""
	}
}

func TestLinkDeliversInOrderAndReconnects(t *testing.T) {
	peers := testPeers()
	a := newTestNode(t, "a", "secret", peers[0].Inner, peers)
	b := newTestNode(t, "b", "secret", peers[1].Inner, peers)
	assert.Equal(t, "b", awaitName(t, a.up))
	for i := range 50 {
		require.True(t, a.Send("b", dispatcher.Message{Settlement: &dispatcher.Settlement{Count: i}}))
	}
	for i := range 50 {
		m := <-b.received
		assert.Equal(t, i, m.Settlement.Count, "messages arrive once and in order")
	}
	b.stop()
	assert.Equal(t, "b", awaitName(t, a.lost))
	newTestNode(t, "b", "secret", peers[1].Inner, peers)
	assert.Equal(t, "b", awaitName(t, a.up), "the link is established again")
}

func TestWrongSecretIsRefused(t *testing.T) {
	peers := testPeers()
	a := newTestNode(t, "a", "secret", peers[0].Inner, peers)
	newTestNode(t, "b", "other", peers[1].Inner, peers)
	select {
	case <-a.up:
		assert.Fail(t, "a link was established with a wrong secret")
	case <-time.After(300 * time.Millisecond):
	}
}

func FuzzDecode(f *testing.F) {
	var seed bytes.Buffer
	_, _ = writeFrame(&seed, nil, &wire.Frame{Sequence: 1, Messages: []*wire.Message{
		encode(&dispatcher.Message{Hello: &dispatcher.Hello{VM: "a"}}),
	}})
	f.Add(seed.Bytes())
	f.Add([]byte{0, 0, 0, 2, 8, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		frame := &wire.Frame{}
		if _, err := readFrame(bufio.NewReader(bytes.NewReader(data)), frame); err != nil {
			return
		}
		for _, w := range frame.GetMessages() {
			if m, err := decode(w); err == nil {
				assert.NotNil(t, encode(&m))
			}
		}
	})
}

// tcpProxy forwards connections to an address. It numbers them from 1 in the
// order in which it accepts them, and discards the data of those up to mutedUpTo
// without closing them.
type tcpProxy struct {
	mutedUpTo atomic.Int64
	accepted  atomic.Int64
}

func newTCPProxy(t *testing.T, listen, target netip.AddrPort) *tcpProxy {
	t.Helper()
	p := &tcpProxy{}
	listener, err := net.Listen("tcp", listen.String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			number := p.accepted.Add(1)
			backend, err := net.Dial("tcp", target.String())
			if err != nil {
				_ = conn.Close()
				continue
			}
			go p.forward(number, conn, backend)
			go p.forward(number, backend, conn)
		}
	}()
	return p
}

func (p *tcpProxy) forward(number int64, from, to net.Conn) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if number <= p.mutedUpTo.Load() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// A peer may become unreachable without closing its connections. The link must
// then be reported as lost and replaced, and messages of the old connection must
// not arrive on the new one.
func TestSilentLinkIsReplaced(t *testing.T) {
	peers := testPeers()
	proxied := netip.MustParseAddrPort("127.77.1.3:17001")
	b := newTestNode(t, "b", "secret", proxied, peers)
	proxy := newTCPProxy(t, peers[1].Inner, proxied)
	a := newTestNode(t, "a", "secret", peers[0].Inner, peers)
	require.Equal(t, "b", awaitName(t, a.up))
	proxy.mutedUpTo.Store(proxy.accepted.Load())
	a.Send("b", dispatcher.Message{Settlement: &dispatcher.Settlement{Count: 1}})
	assert.Equal(t, "b", awaitName(t, a.lost), "the link that stopped answering is reported as lost")
	assert.Equal(t, "b", awaitName(t, a.up), "a new connection replaces it")
	a.Send("b", dispatcher.Message{Settlement: &dispatcher.Settlement{Count: 2}})
	m := <-b.received
	assert.Equal(t, 2, m.Settlement.Count, "a message dropped on the old connection is not delivered later")
}

// writeRecorder records the sizes of writes.
type writeRecorder struct{ sizes []int }

func (w *writeRecorder) Write(b []byte) (int, error) {
	w.sizes = append(w.sizes, len(b))
	return len(b), nil
}

// TestLargeFramesAreWrittenInParts: pings of the session must pass between the parts of a
// large frame, or the peer would close the link as silent.
func TestLargeFramesAreWrittenInParts(t *testing.T) {
	const size = 1 << 20
	var w writeRecorder
	_, err := writeFrame(&w, nil, &wire.Frame{Messages: []*wire.Message{{Body: &wire.Message_Log{Log: make([]byte, size)}}}})
	require.NoError(t, err)
	total := 0
	for _, n := range w.sizes {
		assert.LessOrEqual(t, n, maxWriteBytes)
		total += n
	}
	assert.Greater(t, total, size)
}
