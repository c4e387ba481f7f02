// Package daemon runs one bronzedrift process: a single goroutine that owns the
// dispatcher, and supervised goroutines for the HTTP listeners, the inner
// protocol and the replicated configuration.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"

	"bronzedrift.example/bronzedrift/internal/acceptor"
	"bronzedrift.example/bronzedrift/internal/dispatcher"
	"bronzedrift.example/bronzedrift/internal/keeper"
	"bronzedrift.example/bronzedrift/internal/listener"
	"bronzedrift.example/bronzedrift/internal/loader"
	"bronzedrift.example/bronzedrift/internal/messenger"
	"bronzedrift.example/bronzedrift/internal/recorder"
	"bronzedrift.example/bronzedrift/internal/sender"
	"bronzedrift.example/bronzedrift/internal/supervisor"
)

// Daemon connects the dispatcher of one VM with its listeners, its peers and
// its upstreams.
type Daemon struct {
	settings       *loader.Settings
	log            zerolog.Logger
	now            func() time.Time
	eventRing      *recorder.Ring
	disp           *dispatcher.Dispatcher
	guard          supervisor.Guard
	messenger      *messenger.Messenger
	sender         *sender.Sender
	listener       *listener.Listener
	acceptor       *acceptor.Acceptor
	keeper         *keeper.Keeper
	configVersion  atomic.Uint64
	registry       *prometheus.Registry
	evacuated      *prometheus.GaugeVec
	inputs         chan dispatcher.Input
	inspections    chan func(*dispatcher.Dispatcher)
	waiters        waiters
	snapshot       atomic.Pointer[dispatcher.Snapshot]
	startedAt      time.Time
	upstreamCalls  sync.WaitGroup
	drainRequested chan struct{}
	done           chan struct{}
	drainOnce      sync.Once
}

const (
	inputQueueLength    = 8192
	linkQueueLength     = 65_536
	tickInterval        = 10 * time.Millisecond
	idlePollInterval    = 20 * time.Millisecond
	shutdownGrace       = 2 * time.Second
	failureDecaySeconds = 30
)

// New builds a daemon from validated settings. Its inner listener is open when
// New returns.
func New(s *loader.Settings, log zerolog.Logger) (*Daemon, error) {
	d := &Daemon{
		settings:       s,
		log:            log.With().Str("vm", s.VM).Logger(),
		now:            time.Now,
		eventRing:      recorder.New(s.VM, s.Limits.Events),
		inputs:         make(chan dispatcher.Input, inputQueueLength),
		inspections:    make(chan func(*dispatcher.Dispatcher)),
		waiters:        newWaiters(),
		drainRequested: make(chan struct{}),
		done:           make(chan struct{}),
	}
	d.startedAt = d.now()
	d.evacuated = d.newEvacuatedGauge()
	d.disp = dispatcher.New(d.startedAt, d.dispatcherConfig())
	d.sender = sender.New(sender.Config{
		MaxIdleConnections: s.Limits.ConnectionsPerUpstream, MaxResultBytes: s.Limits.MaxResultBytes, Now: d.now,
	})
	d.acceptor = d.newAcceptor()
	if err := d.initListener(); err != nil {
		return nil, err
	}
	if err := d.initKeeper(); err != nil {
		return nil, err
	}
	if err := d.initMessenger(); err != nil {
		return nil, err
	}
	d.registry = d.newRegistry()
	return d, nil
}

func (d *Daemon) dispatcherConfig() dispatcher.Config {
	s := d.settings
	return dispatcher.Config{
		VM: s.VM, DataCentre: s.DataCentre, Entries: s.Entries(), Teams: s.Teams, Services: s.Services,
		Limits: dispatcher.Limits{
			MaxQueuedTasks: s.Limits.MaxQueuedTasks, AnswerBytes: s.Limits.AnswerBytes, JobIDRetention: s.Limits.JobIDRetention,
			ClockSkew: s.Limits.ClockSkew, AnnouncementWait: s.Limits.AnnouncementWait,
		},
		Weighting: s.Weighting, Policy: s.Policy, Seed: rand.Uint64(),
	}
}

func (d *Daemon) initMessenger() error {
	s := d.settings
	secret, err := loader.ReadSecret(s.Secrets.InnerFile)
	if err != nil {
		return fmt.Errorf("daemon: reading the inner secret: %w", err)
	}
	var peers []messenger.Peer
	for _, p := range s.Peers {
		peers = append(peers, messenger.Peer{VM: p.VM, DataCentre: p.DataCentre, Inner: p.Inner})
	}
	d.messenger, err = messenger.New(messenger.Config{
		VM: s.VM, DataCentre: s.DataCentre, Listen: s.Listen.Inner, Peers: peers,
		Secret: secret, QueueLength: linkQueueLength,
	}, messenger.Handlers{
		Message: func(from string, m dispatcher.Message) {
			d.enqueue(dispatcher.Input{Received: &dispatcher.Received{From: from, Message: m}})
		},
		Log: d.receiveStateMessage,
		PeerUp: func(vm string) {
			d.enqueue(dispatcher.Input{PeerUp: vm})
			d.keeper.PeerUp(vm)
		},
		PeerLost:     func(vm string) { d.enqueue(dispatcher.Input{PeerLost: vm}) },
		Event:        d.record,
		Clock:        d.eventRing.Clock,
		ObserveClock: func(c recorder.Clock) { d.eventRing.Observe(d.now(), c) },
	})
	if err != nil {
		return fmt.Errorf("daemon: %w", err)
	}
	return nil
}

// Run runs the daemon until the context ends or a drain is requested. It then
// takes no new jobs and waits, up to the drain timeout, for those in flight.
func (d *Daemon) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	supervised := suture.New("bronzedriftd", suture.Spec{
		EventHook:         d.recordSupervisorEvent,
		FailureDecay:      failureDecaySeconds,
		Timeout:           shutdownGrace * 2,
		PassThroughPanics: true,
	})
	supervised.Add(supervisor.Duty{Name: "decisions", Run: d.runDispatcher})
	supervised.Add(supervisor.Duty{Name: "messenger", Run: d.messenger.Serve})
	supervised.Add(supervisor.Duty{Name: "keeper", Run: d.keeper.Serve})
	if err := d.addListeners(supervised); err != nil {
		return err
	}
	supervisorDone := supervised.ServeBackground(runCtx)
	d.record(recorder.Event{Number: recorder.DaemonStarted, Task: recorder.NoTask})
	select {
	case <-ctx.Done():
		d.drain(runCtx)
	case <-d.drainRequested:
		d.drain(runCtx)
	case err := <-supervisorDone:
		return fmt.Errorf("daemon: supervisor: %w", err)
	}
	d.record(recorder.Event{Number: recorder.DaemonStopped, Task: recorder.NoTask})
	close(d.done)
	cancel()
	err := <-supervisorDone
	d.sender.Close()
	if err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("daemon: supervisor: %w", err)
	}
	return nil
}

// addListeners opens the operator and metrics listeners. An entry also gets the
// caller listener, which opens later.
func (d *Daemon) addListeners(supervised *suture.Supervisor) error {
	l := d.settings.Listen
	operators, err := listen(l.Operators)
	if err != nil {
		return err
	}
	metrics, err := listen(l.Metrics)
	if err != nil {
		_ = operators.Close()
		return err
	}
	supervised.Add(supervisor.Duty{Name: "operators", Run: func(ctx context.Context) error {
		return listener.Serve(ctx, d.server(operators, acceptor.Address{
			Name: "operators", IsMain: !d.settings.Has(loader.Entry), Handler: d.listener.Operators(), MaxBody: d.listener.BodyLimit,
		}), shutdownGrace)
	}})
	supervised.Add(supervisor.Duty{Name: "metrics", Run: func(ctx context.Context) error {
		return listener.Serve(ctx, d.server(metrics, acceptor.Address{Name: "metrics", Handler: d.metricsHandler()}), shutdownGrace)
	}})
	if d.settings.Has(loader.Entry) {
		supervised.Add(supervisor.Duty{Name: "callers", Run: d.serveCallers})
	}
	return nil
}

// serveCallers opens the caller listener only after twice the allowed clock
// skew, so that the time in a new job's id is later than the start of this
// daemon.
func (d *Daemon) serveCallers(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Until(d.startedAt.Add(2 * d.settings.Limits.ClockSkew))):
	}
	socket, err := listen(d.settings.Listen.Callers)
	if err != nil {
		return err
	}
	d.record(recorder.Event{Number: recorder.ListenerReady, Text: socket.Addr().String(), Task: recorder.NoTask})
	return listener.Serve(ctx, d.server(socket, acceptor.Address{
		Name: "callers", IsMain: true, Handler: d.listener.Callers(), MaxBody: d.listener.BodyLimit,
	}), shutdownGrace)
}

func (d *Daemon) server(socket net.Listener, a acceptor.Address) *acceptor.Server {
	a.Refuse = listener.RefuseBusy
	return d.acceptor.NewServer(socket, a)
}

// newAcceptor bounds what clients hold of the descriptors and the memory of this process.
func (d *Daemon) newAcceptor() *acceptor.Acceptor {
	l := d.settings.Limits
	limits := acceptor.DefaultLimits()
	limits.Connections, limits.BodyBytes = l.ClientConnections, l.ClientBodyBytes
	descriptors, _ := acceptor.ProcessDescriptors()
	return acceptor.New(acceptor.Config{
		Limits: limits.Within(descriptors, 0, l.MaxBodyBytes), Now: d.now,
		Closed: func(address string, kind acceptor.Kind, count int) {
			d.record(recorder.Event{Number: recorder.ClientsClosed, Text: fmt.Sprintf("%s: %s, %d", address, kind, count), Task: recorder.NoTask})
		},
	})
}

func listen(a netip.AddrPort) (net.Listener, error) {
	socket, err := net.Listen("tcp", a.String())
	if err != nil {
		return nil, fmt.Errorf("daemon: listener: %w", err)
	}
	return socket, nil
}

// drain rejects new jobs and returns when those in flight have ended or the
// drain timeout is over.
func (d *Daemon) drain(ctx context.Context) {
	d.enqueue(dispatcher.Input{Drain: true})
	deadline := time.After(d.settings.Limits.DrainTimeout)
	for !d.isIdle(ctx) {
		select {
		case <-deadline:
			return
		case <-time.After(idlePollInterval):
		}
	}
	d.record(recorder.Event{Number: recorder.DrainEnded, Task: recorder.NoTask})
}

func (d *Daemon) isIdle(ctx context.Context) bool {
	idle := false
	err := d.inspect(ctx, func(disp *dispatcher.Dispatcher) { idle = disp.IsIdle() })
	return err != nil || idle && d.waiters.count() == 0
}

func (d *Daemon) recordSupervisorEvent(e suture.Event) {
	if text := supervisor.Failure(e); text != "" {
		d.record(recorder.Event{Number: recorder.DutyRestarted, Text: text, Task: recorder.NoTask})
	}
}
