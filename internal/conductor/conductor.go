// Package conductor runs a VM: the forwarder of an entry, or the holder and the
// replicated configuration of a state VM. A single goroutine owns the state of
// forwarder and holder; the network, the configuration and the disk have goroutines
// of their own.
package conductor

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"

	"bronzedrift.example/bronzedrift/internal/balancer"
	"bronzedrift.example/bronzedrift/internal/configurer"
	"bronzedrift.example/bronzedrift/internal/forwarder"
	"bronzedrift.example/bronzedrift/internal/holder"
	"bronzedrift.example/bronzedrift/internal/keeper"
	"bronzedrift.example/bronzedrift/internal/messenger"
	"bronzedrift.example/bronzedrift/internal/messenger/wire"
	"bronzedrift.example/bronzedrift/internal/recorder"
	"bronzedrift.example/bronzedrift/internal/replicator"
	"bronzedrift.example/bronzedrift/internal/shedder"
	"bronzedrift.example/bronzedrift/internal/storer"
	"bronzedrift.example/bronzedrift/internal/supervisor"
	"bronzedrift.example/bronzedrift/internal/tracker"
)

// Config configures a Conductor.
type Config struct {
	// Name identifies the VM in recorded events.
	Name       string
	DataCentre string
	// Inner is the address of the inner protocol. Other VMs use it as the VM's name.
	Inner netip.AddrPort
	// InnerListen is the address to bind if other VMs reach Inner through a proxy that
	// identifies VMs by the address that they dial from.
	InnerListen netip.AddrPort
	// Seeds are the inner addresses of some state VMs; they may be out of date.
	Seeds []netip.AddrPort
	// IsState makes this VM a state VM: it stores the configuration and holds upstreams.
	IsState bool
	// IsFounding makes the seeds the initial members of the group of state VMs.
	IsFounding bool
	// ToleratedFailures is how many state VMs may fail at the same time.
	ToleratedFailures int
	DataFolder        string
	Timing            holder.Timing
	// EvacuationDeadline is the time from the acknowledgement of an evacuation after which no
	// task may start in the data centre; zero means the default of package holder.
	EvacuationDeadline time.Duration
	// LooksAhead lets waiting tasks reserve capacity that is expected to come free.
	LooksAhead bool
	// SharesCapacity gives each kind of job and each data centre its share under overload.
	SharesCapacity bool
	// BalancesLoad lets entries draw the holder of a job in proportion to the free slots that
	// holders probably have, instead of taking the one that reports the most.
	BalancesLoad bool
}

// Handlers are the callbacks of a Conductor.
type Handlers struct {
	// CallUpstream sends a request to an upstream and blocks until the answer or the timeout.
	CallUpstream func(ctx context.Context, c holder.Call) holder.CallResult
	// Apply puts a version of the configuration in force on this VM.
	Apply func(configurer.Configuration)
}

// Conductor runs one VM.
type Conductor struct {
	config      Config
	handlers    Handlers
	log         zerolog.Logger
	now         func() time.Time
	incarnation string
	messenger   *messenger.Messenger
	keeper      *keeper.Keeper
	ring        *recorder.Ring
	disk        *storer.Disk
	peers       *tracker.Tracker
	holder      *holder.Holder
	forwarder   *forwarder.Forwarder
	inputs      chan input
	done        chan struct{}
	ctx         context.Context
	version     atomic.Uint64
	stateVMs    atomic.Pointer[[]string]
	// linkedMembers are the VMs to which there are links since they are members of the log.
	linkedMembers []string
	// restoredVMs are the VMs that were known before this VM restarted.
	restoredVMs []string
	// allReachableSince is since when all restoredVMs are directly reachable, zero while
	// one of them is not.
	allReachableSince time.Time
	settled           bool
	heldUpstreams     bool
	ready             atomic.Bool
	idle              atomic.Bool
	draining          bool
	heartbeatCount    int
	stateVMMonitor    stateVMMonitor
	// noStateVMAt is the last time at which no state VM was directly reachable.
	noStateVMAt time.Time
	// localMessages are messages between the forwarder and the holder of this VM.
	localMessages []func(now time.Time)
	startedAt     time.Time
	lastInputAt   time.Time
	// inputWait is how long the current input has waited.
	inputWait time.Duration
	// isTickQueued is set while a tick waits behind other inputs.
	isTickQueued    bool
	lastHeartbeatAt time.Time
	lastCleanupAt   time.Time
	// unsyncedPeers are the VMs on new links that were not yet sent the known upstreams.
	unsyncedPeers map[string]bool
	sessions      map[uint64]*session
	// lastClosedSession is the highest session number whose messages are dropped after a
	// stall.
	lastClosedSession uint64
	waiters           map[uint64]chan forwarder.Response
	// cancelWaiters are the callers that wait for the outcome of a cancellation.
	cancelWaiters    map[uint64]chan bool
	lastWaiter       uint64
	holderEffects    holder.Effects
	forwarderEffects forwarder.Effects
	metrics          metrics
	lateness         latenessMeter
	shedder          *shedder.Shedder
	countedLooks     uint64
	calls            callCounter
	budget           *recorder.Budget
	guard            supervisor.Guard
	memoryRequests   chan chan struct{}
}

// session tracks the message delay of one inbound session.
type session struct {
	minOffset  time.Duration
	lastUsedAt time.Time
}

const (
	// inputQueueSize and linkQueueSize hold about a second of messages at peak load.
	inputQueueSize = 16_384
	linkQueueSize  = 16_384
	// tickInterval is short compared with the 60 ms of the shortest tasks.
	tickInterval = 20 * time.Millisecond
	// stallThreshold is the pause of this process after which a holder abandons its
	// jobs. Shorter pauses occur on a busy VM.
	stallThreshold = 300 * time.Millisecond
	// maxMessageDelay is the network delay above which an order is refused: its entry
	// may have given the job to another holder.
	maxMessageDelay = 300 * time.Millisecond
	// maxHopDelay limits the delay of each of the two hops of a relayed message.
	maxHopDelay = maxMessageDelay / 2
	// linkHeartbeatInterval and linkTimeout detect links that silently drop messages,
	// so that they are replaced.
	linkHeartbeatInterval = 250 * time.Millisecond
	linkTimeout           = 350 * time.Millisecond
	// maxOrderWait is the wait of an order for the decisions above which it is refused if it is
	// new, well before leases lapse.
	maxOrderWait = 50 * time.Millisecond
	// cleanupInterval is the interval at which stale VMs and sessions are removed.
	cleanupInterval = time.Second
	// heartbeatsPerEntryList is the number of heartbeats after which a state VM lists
	// the known entries in its heartbeat to entries.
	heartbeatsPerEntryList = 10
	// maxLogLinesPerSecond and maxFaultLinesPerSecond limit the logging of decisions to
	// 1% of a core, at about 5 us a line.
	maxLogLinesPerSecond   = 1500
	maxFaultLinesPerSecond = 500
	// eventRingSize is the number of events kept in memory.
	eventRingSize = 512
	// failureDecaySeconds is the time over which the supervisor forgets failures.
	failureDecaySeconds = 30
)

// tokenEpoch is the time from which fencing tokens count milliseconds.
var tokenEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// New returns a Conductor whose inner listener is already open.
func New(c Config, h Handlers, now func() time.Time, log zerolog.Logger) (*Conductor, error) {
	self := c.Inner.String()
	d := &Conductor{
		config: c, handlers: h, log: log, now: now, incarnation: uuid.NewString(),
		ring: recorder.New(c.Name, eventRingSize), peers: tracker.New(self),
		inputs: make(chan input, inputQueueSize), done: make(chan struct{}),
		sessions: map[uint64]*session{}, unsyncedPeers: map[string]bool{}, waiters: map[uint64]chan forwarder.Response{}, cancelWaiters: map[uint64]chan bool{}, metrics: newMetrics(),
		budget:         recorder.NewBudget(maxLogLinesPerSecond, maxFaultLinesPerSecond),
		memoryRequests: make(chan chan struct{}, memoryRequestQueueSize), shedder: shedder.New(),
	}
	d.startedAt = now()
	d.lastInputAt = d.startedAt
	d.lateness, d.calls = newLatenessMeter(d.metrics.registry, d.startedAt), newCallCounter(d.metrics.registry)
	d.stateVMMonitor.startedAt = d.startedAt
	d.holder = holder.New(d.holderConfig())
	d.forwarder = forwarder.New(c.DataCentre, c.Timing, d.peers, d.newBalancer())
	d.stateVMs.Store(&[]string{})
	if err := d.openMessenger(); err != nil {
		return nil, err
	}
	if err := d.openKeeper(); err != nil {
		return nil, err
	}
	return d, nil
}

// holderConfig returns the configuration of the VM's holder. Since upstreams do not report
// to entries, the holder of an entry knows them only from notices of other VMs, and does
// not limit the attempts at taking one.
func (d *Conductor) holderConfig() holder.Config {
	c := &d.config
	h := holder.Config{
		VM: c.Inner.String(), DataCentre: c.DataCentre, Timing: c.Timing, TokenEpoch: tokenEpoch, MaxTakeAttempts: maxTakeAttempts,
		RetakeDelay: retakeDelay, EvacuationDeadline: c.EvacuationDeadline, LooksAhead: c.LooksAhead, SharesCapacity: c.SharesCapacity, Shedder: d.shedder,
	}
	if !c.IsState {
		h.MaxTakeAttempts = math.MaxInt
		h.OnlyOwnDataCentre = true
		h.RetakeDelay = entryRetakeDelay
		h.Timing.UpstreamSilence = entryUpstreamRetention
	}
	return h
}

// newBalancer returns nil if entries do not balance the load.
func (d *Conductor) newBalancer() *balancer.Balancer {
	if !d.config.BalancesLoad {
		return nil
	}
	return balancer.New(balancer.Config{Entries: func() int { return len(d.peers.Entries()) }}, rand.Uint64())
}

const (
	// maxTakeAttempts is the number of attempts at taking an upstream that has not
	// reported to this VM. The second one covers a lost message. After that, the upstream is
	// taken to be behind a partition and is left to the VMs on its side.
	maxTakeAttempts = 2
	// retakeDelay is the pause before a state VM takes back an upstream that another VM
	// has taken. An entry that is cut off from all VMs keeps its share of the upstreams for
	// this long, which is about how long partitions last. If the entry has failed instead,
	// its data centre lacks these upstreams for that time.
	retakeDelay = 3 * time.Second
	// entryRetakeDelay is short, since an entry that reaches no other VM has callers
	// that no other entry serves.
	entryRetakeDelay = 200 * time.Millisecond
	// entryUpstreamRetention is how long an entry remembers upstreams without a notice
	// of them, as happens while no state VM is reachable.
	entryUpstreamRetention = time.Minute
)

func (d *Conductor) openMessenger() error {
	var peers []messenger.Peer
	for _, s := range d.config.Seeds {
		peers = append(peers, messenger.Peer{VM: s.String(), Inner: s})
	}
	listen, dialFrom := d.config.Inner, netip.Addr{}
	if d.config.InnerListen.IsValid() {
		listen, dialFrom = d.config.InnerListen, d.config.Inner.Addr()
	}
	m, err := messenger.New(messenger.Config{
		VM: d.config.Inner.String(), DataCentre: d.config.DataCentre, Listen: listen, DialFrom: dialFrom, Peers: peers,
		QueueLength: linkQueueSize, AcceptUnknownPeers: true, HeartbeatInterval: linkHeartbeatInterval, SilenceTimeout: linkTimeout,
	}, messenger.Handlers{
		Log:    d.receiveState,
		Relay:  d.receive,
		PeerUp: d.peerUp,
		PeerLost: func(vm string) {
			d.recordEvent(recorder.Event{Number: recorder.LinkLost, Peer: vm, Task: recorder.NoTask})
		},
		PeerRefused:  func(vm string) { d.enqueue(messageInput, func(time.Time) { d.peers.MarkUnreachable(vm) }) },
		Event:        d.recordEvent,
		Clock:        d.ring.Clock,
		ObserveClock: func(c recorder.Clock) { d.ring.Observe(d.now(), c) },
	})
	if err != nil {
		return fmt.Errorf("conductor: opening the messenger: %w", err)
	}
	d.messenger = m
	d.metrics.addLinks(&m.Counts)
	return nil
}

func (d *Conductor) openKeeper() error {
	c := keeper.Config{
		VM: d.config.Inner.String(), Timing: replicator.DefaultTiming(), Seed: rand.Uint64(), Now: d.now,
		StateVMs: func() []string { return *d.stateVMs.Load() }, Voters: 2*d.config.ToleratedFailures + 1,
	}
	if d.config.IsState {
		disk, err := storer.NewFolderDisk(d.config.DataFolder)
		if err != nil {
			return fmt.Errorf("conductor: opening the data folder: %w", err)
		}
		c.Disk = disk
		d.disk = disk
		d.restoreMemory(disk)
	}
	if d.config.IsFounding {
		for _, s := range d.config.Seeds {
			c.Founders = append(c.Founders, s.String())
		}
	}
	k, err := keeper.New(c, keeper.Handlers{
		Send: d.sendState, Broadcast: d.broadcastState, Activate: d.apply, ActivateEvacuations: d.applyEvacuations, Event: d.recordEvent,
	})
	if err != nil {
		return fmt.Errorf("conductor: opening the keeper: %w", err)
	}
	d.keeper = k
	d.linkMembers()
	// What the disk holds is in force before this VM takes upstreams.
	if set := k.Evacuations(); set.Revision > 0 {
		d.holder.SetEvacuations(d.startedAt, set, &d.holderEffects)
	}
	return nil
}

// Run runs the VM until the context ends.
func (d *Conductor) Run(ctx context.Context) error {
	defer close(d.done)
	d.ctx = ctx
	duties := suture.New("conductor", suture.Spec{
		EventHook: d.recordDutyFailure, FailureDecay: failureDecaySeconds, PassThroughPanics: true,
	})
	duties.Add(supervisor.Duty{Name: "decisions", Run: d.runDecisions})
	duties.Add(supervisor.Duty{Name: "messenger", Run: d.messenger.Serve})
	duties.Add(supervisor.Duty{Name: "keeper", Run: d.keeper.Serve})
	if d.disk != nil {
		duties.Add(supervisor.Duty{Name: "memory", Run: d.persistMemory})
	}
	d.recordEvent(recorder.Event{Number: recorder.DaemonStarted, Task: recorder.NoTask})
	err := duties.Serve(ctx)
	d.recordEvent(recorder.Event{Number: recorder.DaemonStopped, Task: recorder.NoTask})
	if err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("conductor: %w", err)
	}
	return nil
}

func (d *Conductor) recordDutyFailure(e suture.Event) {
	if text := supervisor.Failure(e); text != "" {
		d.recordEvent(recorder.Event{Number: recorder.DutyRestarted, Text: text, Task: recorder.NoTask})
	}
}

// runDecisions runs all inputs and ticks in turn. Its goroutine is the only one that
// accesses the state of forwarder, holder and tracker.
func (d *Conductor) runDecisions(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var in input
		select {
		case <-ctx.Done():
			return ctx.Err()
		case in = <-d.inputs:
		case <-ticker.C:
			in = input{kind: tickInput, queuedAt: d.now(), run: d.beat}
		}
		now := d.now()
		d.checkStall(now)
		d.inputWait = now.Sub(in.queuedAt)
		d.shedder.ObserveWait(d.inputWait)
		d.handleInput(now, in.run)
		d.lateness.observe(&in, now, d.now())
	}
}

// beat sends the heartbeats that are due and queues a tick behind the inputs that have arrived, so
// that what a tick takes for silence is not an answer that waits. A tick that waits counts for
// those that fall due meanwhile.
func (d *Conductor) beat(now time.Time) {
	if now.Sub(d.lastHeartbeatAt) >= tracker.HeartbeatInterval {
		d.lastHeartbeatAt = now
		d.sendHeartbeats(now)
	}
	if d.isTickQueued {
		return
	}
	tick := input{kind: tickInput, queuedAt: now, run: func(handledAt time.Time) {
		d.isTickQueued = false
		d.holder.SetReadUntil(now)
		d.tick(handledAt)
	}}
	select {
	case d.inputs <- tick:
		d.isTickQueued = true
	default:
		d.tick(now)
	}
}

// handleInput runs one input, and the messages that it causes between the forwarder and
// the holder of this VM. A panic drops the rest of the input. What was decided before it
// is still sent, since the state already counts on it.
func (d *Conductor) handleInput(now time.Time, input func(time.Time)) {
	d.runGuarded(now, input)
	d.applyEffects(now)
	for len(d.localMessages) > 0 {
		message := d.localMessages[0]
		d.localMessages = d.localMessages[1:]
		d.runGuarded(now, message)
		d.applyEffects(now)
	}
}

func (d *Conductor) runGuarded(now time.Time, input func(time.Time)) {
	if err := d.guard.Run(now, func() { input(now) }); err != nil {
		d.recordEvent(recorder.Event{Number: recorder.InputPanicked, Text: err.Error(), Task: recorder.NoTask})
	}
}

// checkStall abandons all jobs of this VM's holder if this process was paused: the entries
// that sent them may have given them to other holders meanwhile.
func (d *Conductor) checkStall(now time.Time) {
	gap := now.Sub(d.lastInputAt)
	d.lastInputAt = now
	if gap < stallThreshold {
		return
	}
	if d.config.IsState {
		// Drop the messages that were queued during the pause, whose delay is unknown.
		for number := range d.sessions {
			d.lastClosedSession = max(d.lastClosedSession, number)
		}
		d.sessions = map[uint64]*session{}
		d.messenger.CloseInbound()
	}
	d.holder.HandleStall(now, gap, &d.holderEffects)
}

func (d *Conductor) tick(now time.Time) {
	d.updateFallback(now)
	d.holder.SetPeers(d.holderPeers(now))
	d.holder.Tick(now, &d.holderEffects)
	if !d.config.IsState {
		d.holder.EntrySeen(now, d.config.Inner.String(), d.incarnation, &d.holderEffects)
		d.forwarder.Tick(now, &d.forwarderEffects)
	}
	if d.hasStartedHolding() {
		d.lastHeartbeatAt = now
		d.sendHeartbeats(now)
	}
	if now.Sub(d.lastCleanupAt) >= cleanupInterval {
		d.lastCleanupAt = now
		d.cleanUp(now)
	}
	d.ready.Store(d.isReady(now))
	d.idle.Store(d.isIdle())
}

func (d *Conductor) send(now time.Time, to string, r *wire.Relay) {
	if to == d.config.Inner.String() {
		return
	}
	r.SentAt = now.UnixNano()
	r.Incarnation = d.incarnation
	if via := d.peers.Route(now, to); via != "" {
		r.Origin, r.Target = d.config.Inner.String(), to
		to = via
	}
	d.messenger.SendRelay(to, r)
}

// relay forwards a message to a VM that its sender does not reach. It replaces the
// send time by that of this VM, so that the receiver can measure the second hop.
func (d *Conductor) relay(now time.Time, from string, delay time.Duration, r *wire.Relay) {
	if delay > maxHopDelay || r.GetOrigin() != from || !d.peers.IsDirect(now, r.GetTarget()) {
		return
	}
	r.SentAt = now.UnixNano()
	d.messenger.SendRelay(r.GetTarget(), r)
}

// enqueue adds an input for runDecisions and blocks while the queue is full. It
// reports false if the Conductor has stopped.
func (d *Conductor) enqueue(kind inputKind, run func(now time.Time)) bool {
	select {
	case d.inputs <- input{kind: kind, queuedAt: d.now(), run: run}:
		return true
	case <-d.done:
		return false
	}
}
