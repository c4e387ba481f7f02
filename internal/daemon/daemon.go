// Package daemon runs one bronzedrift daemon: the decisions of an entry in one
// goroutine, and around it a supervised goroutine for each duty.
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

	"bronzedrift.example/bronzedrift/internal/dispatcher"
	"bronzedrift.example/bronzedrift/internal/keeper"
	"bronzedrift.example/bronzedrift/internal/listener"
	"bronzedrift.example/bronzedrift/internal/loader"
	"bronzedrift.example/bronzedrift/internal/messenger"
	"bronzedrift.example/bronzedrift/internal/recorder"
	"bronzedrift.example/bronzedrift/internal/sender"
	"bronzedrift.example/bronzedrift/internal/supervisor"
)

// Daemon is one running daemon.
type Daemon struct {
	settings  *loader.Settings
	log       zerolog.Logger
	now       func() time.Time
	ring      *recorder.Ring
	decisions *dispatcher.Dispatcher
	messenger *messenger.Messenger
	sender    *sender.Sender
	listener  *listener.Listener
	keeper    *keeper.Keeper
	version   atomic.Uint64
	registry  *prometheus.Registry
	inputs    chan dispatcher.Input
	inspects  chan func(*dispatcher.Dispatcher)
	waiters   waiters
	snapshot  atomic.Pointer[dispatcher.Snapshot]
	started   time.Time
	tasks     sync.WaitGroup
	stopping  chan struct{}
	done      chan struct{}
	stopOnce  sync.Once
}

const (
	inputRing     = 8192
	messageRing   = 65_536
	tickEvery     = 10 * time.Millisecond
	idlePoll      = 20 * time.Millisecond
	shutdownGrace = 2 * time.Second
	failureDecay  = 30
)

// New builds a daemon from checked settings. Its inner listener is open when
// New returns.
func New(s *loader.Settings, log zerolog.Logger) (*Daemon, error) {
	d := &Daemon{
		settings: s,
		log:      log.With().Str("vm", s.VM).Logger(),
		now:      time.Now,
		ring:     recorder.New(s.VM, s.Limits.Events),
		inputs:   make(chan dispatcher.Input, inputRing),
		inspects: make(chan func(*dispatcher.Dispatcher)),
		waiters:  newWaiters(),
		stopping: make(chan struct{}),
		done:     make(chan struct{}),
	}
	d.started = d.now()
	d.decisions = dispatcher.New(d.started, d.config())
	d.sender = sender.New(sender.Config{
		IdleConnections: s.Limits.ConnectionsPerUpstream, ResultBytes: s.Limits.ResultBytes, Now: d.now,
	})
	if err := d.openListener(); err != nil {
		return nil, err
	}
	if err := d.openKeeper(); err != nil {
		return nil, err
	}
	if err := d.openMessenger(); err != nil {
		return nil, err
	}
	d.registry = d.newRegistry()
	return d, nil
}

func (d *Daemon) config() dispatcher.Config {
	s := d.settings
	return dispatcher.Config{
		VM: s.VM, DataCentre: s.DataCentre, Entries: s.Entries(), Teams: s.Teams, Services: s.Services,
		Limits: dispatcher.Limits{
			QueueTasks: s.Limits.QueueTasks, AnswerBytes: s.Limits.AnswerBytes, IDMemory: s.Limits.IDMemory,
			ClockSkew: s.Limits.ClockSkew, AnnouncementWait: s.Limits.AnnouncementWait,
		},
		Weighting: s.Weighting, Policy: s.Policy, Seed: rand.Uint64(),
	}
}

func (d *Daemon) openMessenger() error {
	s := d.settings
	secret, err := loader.Secret(s.Secrets.InnerFile)
	if err != nil {
		return fmt.Errorf("daemon: inner secret: %w", err)
	}
	var peers []messenger.Peer
	for _, p := range s.Peers {
		peers = append(peers, messenger.Peer{VM: p.VM, DataCentre: p.DataCentre, Inner: p.Inner})
	}
	d.messenger, err = messenger.New(messenger.Config{
		VM: s.VM, DataCentre: s.DataCentre, Listen: s.Listen.Inner, Peers: peers,
		Secret: secret, RingSize: messageRing,
	}, messenger.Handlers{
		Message: func(from string, m dispatcher.Message) {
			d.put(dispatcher.Input{Received: &dispatcher.Received{From: from, Message: m}})
		},
		Log: d.receiveState,
		PeerUp: func(vm string) {
			d.put(dispatcher.Input{PeerUp: vm})
			d.keeper.PeerUp(vm)
		},
		PeerLost: func(vm string) { d.put(dispatcher.Input{PeerLost: vm}) },
		Event:    d.event,
		Clock:    d.ring.Clock,
		Observe:  func(c recorder.Clock) { d.ring.Observe(d.now(), c) },
	})
	if err != nil {
		return fmt.Errorf("daemon: %w", err)
	}
	return nil
}

// Run runs the daemon until the context ends, then stops gracefully: no new
// jobs, those in flight finish.
func (d *Daemon) Run(ctx context.Context) error {
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	duties := suture.New("bronzedriftd", suture.Spec{
		EventHook:         d.supervised,
		FailureDecay:      failureDecay,
		Timeout:           shutdownGrace * 2,
		PassThroughPanics: true,
	})
	duties.Add(supervisor.Duty{Name: "decisions", Run: d.decide})
	duties.Add(supervisor.Duty{Name: "messenger", Run: d.messenger.Serve})
	duties.Add(supervisor.Duty{Name: "keeper", Run: d.keeper.Serve})
	if err := d.addListeners(duties); err != nil {
		return err
	}
	ended := duties.ServeBackground(running)
	d.event(recorder.Event{Number: recorder.DaemonStarted, Task: recorder.NoTask})
	select {
	case <-ctx.Done():
		d.drain(running)
	case <-d.stopping:
		d.drain(running)
	case err := <-ended:
		return fmt.Errorf("daemon: supervisor: %w", err)
	}
	d.event(recorder.Event{Number: recorder.DaemonStopped, Task: recorder.NoTask})
	close(d.done)
	cancel()
	err := <-ended
	d.sender.Close()
	if err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("daemon: supervisor: %w", err)
	}
	return nil
}

// addListeners opens the HTTP listeners. That of the callers opens only after
// twice the allowed clock skew, so that the time in a new job's id is later
// than the start of this daemon.
func (d *Daemon) addListeners(duties *suture.Supervisor) error {
	l := d.settings.Listen
	operators, err := open(l.Operators)
	if err != nil {
		return err
	}
	metrics, err := open(l.Metrics)
	if err != nil {
		_ = operators.Close()
		return err
	}
	duties.Add(supervisor.Duty{Name: "operators", Run: func(ctx context.Context) error {
		return listener.Serve(ctx, operators, d.listener.Operators(), shutdownGrace)
	}})
	duties.Add(supervisor.Duty{Name: "metrics", Run: func(ctx context.Context) error {
		return listener.Serve(ctx, metrics, d.metricsHandler(), shutdownGrace)
	}})
	if d.settings.Has(loader.Entry) {
		duties.Add(supervisor.Duty{Name: "callers", Run: d.serveCallers})
	}
	return nil
}

func (d *Daemon) serveCallers(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Until(d.started.Add(2 * d.settings.Limits.ClockSkew))):
	}
	socket, err := open(d.settings.Listen.Callers)
	if err != nil {
		return err
	}
	d.event(recorder.Event{Number: recorder.ListenerReady, Text: socket.Addr().String(), Task: recorder.NoTask})
	return listener.Serve(ctx, socket, d.listener.Callers(), shutdownGrace)
}

func open(a netip.AddrPort) (net.Listener, error) {
	socket, err := net.Listen("tcp", a.String())
	if err != nil {
		return nil, fmt.Errorf("daemon: listener: %w", err)
	}
	return socket, nil
}

// drain stops taking jobs and returns when those in flight have ended.
func (d *Daemon) drain(ctx context.Context) {
	d.put(dispatcher.Input{Drain: true})
	deadline := time.After(d.settings.Limits.DrainTimeout)
	for !d.isIdle(ctx) {
		select {
		case <-deadline:
			return
		case <-time.After(idlePoll):
		}
	}
	d.event(recorder.Event{Number: recorder.DrainEnded, Task: recorder.NoTask})
}

func (d *Daemon) isIdle(ctx context.Context) bool {
	idle := false
	err := d.inspect(ctx, func(decisions *dispatcher.Dispatcher) { idle = decisions.IsIdle() })
	return err != nil || idle && d.waiters.count() == 0
}

func (d *Daemon) supervised(e suture.Event) {
	if text := supervisor.Failure(e); text != "" {
		d.event(recorder.Event{Number: recorder.DutyRestarted, Text: text, Task: recorder.NoTask})
	}
}
