package daemon

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"bronzedrift.example/bronzedrift/internal/configurer"
	"bronzedrift.example/bronzedrift/internal/dispatcher"
	"bronzedrift.example/bronzedrift/internal/keeper"
	"bronzedrift.example/bronzedrift/internal/loader"
	"bronzedrift.example/bronzedrift/internal/messenger"
	"bronzedrift.example/bronzedrift/internal/messenger/wire"
	"bronzedrift.example/bronzedrift/internal/recorder"
)

// newTestMessenger returns a Messenger of a VM that is not served, and its address.
func newTestMessenger(t *testing.T, vm string, peers []messenger.Peer, log func(payload []byte)) (*messenger.Messenger, netip.AddrPort) {
	t.Helper()
	listen := freeAddr(t)
	m, err := messenger.New(messenger.Config{
		VM: vm, Listen: listen, Peers: peers, Secret: "secret", QueueLength: 16,
	}, messenger.Handlers{
		Message: func(string, dispatcher.Message) {}, Log: func(_ string, payload []byte) { log(payload) },
		PeerUp: func(string) {}, PeerLost: func(string) {}, Event: func(recorder.Event) {},
		Clock: func() recorder.Clock { return recorder.Clock{} }, ObserveClock: func(recorder.Clock) {},
	})
	require.NoError(t, err)
	return m, listen
}

// freeAddr returns an address on which nothing listens.
func freeAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	return netip.MustParseAddrPort(l.Addr().String())
}

// serve runs f until the test ends.
func serve(t *testing.T, f func(ctx context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = f(ctx) })
	t.Cleanup(func() { cancel(); running.Wait() })
}

// TestDaemonRepeatsPushWithoutRoom guards against a VM that stays on an old configuration, since
// the link had no room for the push and the daemon did not repeat it.
func TestDaemonRepeatsPushWithoutRoom(t *testing.T) {
	const fullBytes, textBytes = 8 << 20, 4 << 10
	versions := make(chan uint64, 100)
	receiver, inner := newTestMessenger(t, "b", []messenger.Peer{{VM: "a"}}, func(payload []byte) {
		m := &wire.StateMessage{}
		if proto.Unmarshal(payload, m) == nil && m.GetConfiguration() != nil {
			versions <- m.GetConfiguration().GetVersion()
		}
	})
	d := &Daemon{settings: &loader.Settings{VM: "a", Peers: []loader.Peer{{VM: "b"}}}}
	d.messenger, _ = newTestMessenger(t, "a", []messenger.Peer{{VM: "b", Inner: inner}}, func([]byte) {})
	activated := make(chan uint64, 1)
	var err error
	d.keeper, err = keeper.New(keeper.Config{VM: "a", Now: time.Now, StateVMs: func() []string { return nil }}, keeper.Handlers{
		Send: d.sendStateMessage, Broadcast: d.broadcastStateMessage,
		Activate: func(c configurer.Configuration) { activated <- c.Version }, Event: func(recorder.Event) {},
	})
	require.NoError(t, err)
	d.sendStateMessage("b", &wire.StateMessage{Configuration: &wire.Configuration{Version: 1, Text: make([]byte, fullBytes)}})
	serve(t, d.keeper.Serve)
	d.keeper.Receive("c", &wire.StateMessage{Configuration: &wire.Configuration{Version: 2, Text: make([]byte, textBytes)}})
	require.EqualValues(t, 2, <-activated)
	time.Sleep(100 * time.Millisecond)
	serve(t, receiver.Serve)
	// The link discards what was queued before. Its PeerUp does not reach the keeper in this test.
	serve(t, d.messenger.Serve)
	select {
	case version := <-versions:
		assert.EqualValues(t, 2, version)
	case <-time.After(10 * time.Second):
		t.Error("the push is not repeated")
	}
}
