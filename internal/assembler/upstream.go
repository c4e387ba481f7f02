package assembler

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"bronzedrift.example/bronzedrift/internal/acceptor"
	"bronzedrift.example/bronzedrift/internal/listener"
	"bronzedrift.example/bronzedrift/internal/loader"
	"bronzedrift.example/bronzedrift/pkg/runner"
)

// UpstreamConfig describes a fake upstream.
type UpstreamConfig struct {
	Name       string
	DataCentre string
	Listen     netip.AddrPort
	Slots      int
	// Slowdown multiplies the run times of tasks.
	Slowdown float64
	// FailsAll makes the upstream fail every task at once.
	FailsAll bool
	// QueueBeyondSlots makes tasks wait at the upstream for a free slot instead of
	// being refused.
	QueueBeyondSlots bool
}

// FakeUpstream is a fake upstream. It returns a task's payload as the result, after
// the run time that the payload sets.
type FakeUpstream struct {
	*runner.Runner
	Config  UpstreamConfig
	Address netip.AddrPort
	socket  net.Listener
}

// errTaskFailed is the result of every task if UpstreamConfig.FailsAll is set.
var errTaskFailed = errors.New("assembler: this upstream fails every task")

const (
	fakeCores             = 32
	fakeMemoryBytes       = 128 << 30
	upstreamShutdownGrace = 100 * time.Millisecond
)

// NewFakeUpstream opens the listener of a fake upstream of one service.
func NewFakeUpstream(c UpstreamConfig, service string, entries []netip.AddrPort) (*FakeUpstream, error) {
	if !c.Listen.IsValid() {
		c.Listen = netip.MustParseAddrPort("127.0.0.1:0")
	}
	socket, err := net.Listen("tcp", c.Listen.String())
	if err != nil {
		return nil, errors.Join(errors.New("assembler: opening the upstream listener"), err)
	}
	u := &FakeUpstream{Config: c, Address: socket.Addr().(*net.TCPAddr).AddrPort(), socket: socket}
	u.Runner = runner.New(runner.Config{
		Name: c.Name, Address: u.Address, DataCentre: c.DataCentre, Rack: "rack-1",
		Slots: c.Slots, Cores: fakeCores, MemoryBytes: fakeMemoryBytes,
		Services: []string{service}, Capabilities: []string{"fence", "stop"},
		Entries: entries, QueueBeyondSlots: c.QueueBeyondSlots, Run: u.run,
	})
	return u, nil
}

// Serve runs the upstream until the context ends.
func (u *FakeUpstream) Serve(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		u.Announce(ctx)
	}()
	a := acceptor.New(acceptor.Config{Limits: acceptor.DefaultLimits(), Now: time.Now})
	_ = listener.Serve(ctx, a.NewServer(u.socket, acceptor.Address{
		Name: "upstream", IsMain: true, Handler: u.Handler(), Refuse: listener.RefuseBusy,
		MaxBody: func(*http.Request) int64 { return loader.Defaults().Limits.MaxBodyBytes },
	}), upstreamShutdownGrace)
	<-done
}

// runTimeJSON is the part of a payload that a fake upstream reads.
type runTimeJSON struct {
	RunTime string `json:"run-time"`
}

func (u *FakeUpstream) run(ctx context.Context, t runner.Task) ([]byte, error) {
	if u.Config.FailsAll {
		return nil, errTaskFailed
	}
	run := time.Duration(float64(runTimeOf(t.Payload)) * u.Config.Slowdown)
	if run <= 0 {
		return t.Payload, nil
	}
	timer := time.NewTimer(run)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-timer.C:
		return t.Payload, nil
	}
}

func runTimeOf(payload []byte) time.Duration {
	var p runTimeJSON
	if json.Unmarshal(payload, &p) != nil {
		return 0
	}
	d, err := time.ParseDuration(p.RunTime)
	if err != nil {
		return 0
	}
	return d
}

// Handler returns the HTTP handler of the upstream.
func (u *FakeUpstream) Handler() http.Handler { return u.Runner.Handler() }
