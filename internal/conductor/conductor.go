// Package conductor runs the decisions of one VM: as an entry those of the
// forwarder, as a state VM those of the holder and of the configuration. One
// goroutine decides; around it a goroutine for each duty.
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

	"bronzedrift.example/bronzedrift/internal/configurer"
	"bronzedrift.example/bronzedrift/internal/forwarder"
	"bronzedrift.example/bronzedrift/internal/holder"
	"bronzedrift.example/bronzedrift/internal/keeper"
	"bronzedrift.example/bronzedrift/internal/messenger"
	"bronzedrift.example/bronzedrift/internal/messenger/wire"
	"bronzedrift.example/bronzedrift/internal/recorder"
	"bronzedrift.example/bronzedrift/internal/replicator"
	"bronzedrift.example/bronzedrift/internal/storer"
	"bronzedrift.example/bronzedrift/internal/supervisor"
	"bronzedrift.example/bronzedrift/internal/tracker"
)

// Config is what a Conductor is told at its start.
type Config struct {
	// Name is the VM's name in logs.
	Name       string
	DataCentre string
	// Inner is the address of the inner protocol, which names the VM to others.
	Inner netip.AddrPort
	// InnerListen is where the inner protocol is bound if others reach Inner over a
	// proxy, which tells VMs apart by the addresses that they dial from.
	InnerListen netip.AddrPort
	// Seeds are inner addresses of state VMs, which may be out of date.
	Seeds []netip.AddrPort
	// IsState says that the VM keeps the configuration and holds upstreams.
	IsState bool
	// IsFounding says that the seeds begin the group of state VMs together.
	IsFounding bool
	// Tolerated is how many state VMs may be lost at the same time.
	Tolerated  int
	DataFolder string
	Timing     holder.Timing
}

// Handlers are what a Conductor calls.
type Handlers struct {
	// CallUpstream carries out an order; it blocks until the answer or timeout.
	CallUpstream func(ctx context.Context, c holder.Call) holder.CallResult
	// Apply puts a version of the configuration in force on this VM.
	Apply func(configurer.Configuration)
}

// Conductor is one running VM.
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
	inputs      chan func(now time.Time)
	done        chan struct{}
	ctx         context.Context
	version     atomic.Uint64
	stateVMs    atomic.Pointer[[]string]
	// recalled are the VMs that an earlier life of this one has known.
	recalled   []string
	allHeardAt time.Time
	hasSettled bool
	hadRoom    bool
	ready      atomic.Bool
	idle       atomic.Bool
	leaving    bool
	beats      int
	absence    absence
	// witnessedAt is when no state VM was heard directly last.
	witnessedAt time.Time
	// local are messages of this VM to itself.
	local     []func(now time.Time)
	startedAt time.Time
	lastAt    time.Time
	beatAt    time.Time
	forgetAt  time.Time
	// untold are the VMs on new links that were not told of the upstreams yet.
	untold     map[string]bool
	sessions   map[uint64]*session
	closedTo   uint64
	waiters    map[uint64]chan forwarder.Response
	waiter     uint64
	holderOut  holder.Effects
	forwardOut forwarder.Effects
	metrics    metrics
	budget     *recorder.Budget
}

// session is what is known of one inbound session's delay.
type session struct {
	offset time.Duration
	usedAt time.Time
}

const (
	// inputRing and linkRing hold about a second of messages at the largest load.
	inputRing = 16_384
	linkRing  = 16_384
	// tickEvery is short against the 60 ms of the shortest tasks.
	tickEvery = 20 * time.Millisecond
	// stallGap is the standstill after which a holder does not trust what it has
	// promised; shorter ones occur on a busy VM.
	stallGap = 300 * time.Millisecond
	// lateOrder is the delay on the way after which an order is not taken: its
	// entry may have given it to another holder.
	lateOrder = 300 * time.Millisecond
	// lateHop is that delay for one of the two parts of a way over a third VM.
	lateHop = lateOrder / 2
	// linkHeartbeat and linkSilence replace a link that swallows what is sent.
	linkHeartbeat = 250 * time.Millisecond
	linkSilence   = 350 * time.Millisecond
	// maxBehind is the number of waiting inputs above which a VM takes no new jobs:
	// at about 200 us each it is then 50 ms behind, well before leases lapse.
	maxBehind = 250
	// forgetEvery is how often VMs and sessions that are long gone are looked for.
	forgetEvery = time.Second
	// entriesEvery is how many heartbeats apart entries are told of each other.
	entriesEvery = 10
	// logLines and logFaults bound the lines of decisions in a second: at about
	// 5 us each they cost at most 1% of a core.
	logLines  = 1500
	logFaults = 500
	// eventRing is the number of events kept in memory.
	eventRing = 512
	// failureDecay is the time in seconds over which suture forgets failures.
	failureDecay = 30
)

// tokenEpoch is the beginning of the time in which fencing tokens count.
var tokenEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// New builds a Conductor. Its inner listener is open when New returns.
func New(c Config, h Handlers, now func() time.Time, log zerolog.Logger) (*Conductor, error) {
	self := c.Inner.String()
	d := &Conductor{
		config: c, handlers: h, log: log, now: now, incarnation: uuid.NewString(),
		ring: recorder.New(c.Name, eventRing), peers: tracker.New(self),
		inputs: make(chan func(time.Time), inputRing), done: make(chan struct{}),
		sessions: map[uint64]*session{}, untold: map[string]bool{}, waiters: map[uint64]chan forwarder.Response{}, metrics: newMetrics(),
		budget: recorder.NewBudget(logLines, logFaults),
	}
	d.startedAt = now()
	d.lastAt = d.startedAt
	d.absence.startedAt = d.startedAt
	d.holder = holder.New(holderConfig(&c))
	d.forwarder = forwarder.New(c.DataCentre, c.Timing, d.peers)
	d.stateVMs.Store(&[]string{})
	if err := d.openMessenger(); err != nil {
		return nil, err
	}
	if err := d.openKeeper(); err != nil {
		return nil, err
	}
	return d, nil
}

// holderConfig tells the holder of an entry, to which no upstream reports, to rely
// on what others have said.
func holderConfig(c *Config) holder.Config {
	h := holder.Config{
		VM: c.Inner.String(), DataCentre: c.DataCentre, Timing: c.Timing, TokenEpoch: tokenEpoch, BlindTries: blindTries,
		StrangerDelay: strangerDelay,
	}
	if !c.IsState {
		h.BlindTries = math.MaxInt
		h.OnlyOwnDataCentre = true
		h.StrangerDelay = entryStrangerDelay
		h.Timing.UpstreamSilence = standInMemory
	}
	return h
}

const (
	// blindTries covers a lost message, not a partition.
	blindTries = 2
	// strangerDelay leaves an entry that is cut off from all VMs its share of the
	// upstreams for about as long as partitions last; where the taker is really
	// gone, a data centre misses that share meanwhile.
	strangerDelay = 3 * time.Second
	// entryStrangerDelay is short, since an entry that hears nobody has callers
	// that nobody else serves.
	entryStrangerDelay = 200 * time.Millisecond
	// standInMemory is how long an entry remembers upstreams that it hears
	// nothing of, because no state VM is there.
	standInMemory = time.Minute
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
		RingSize: linkRing, AdmitsAll: true, Heartbeat: linkHeartbeat, Silence: linkSilence,
	}, messenger.Handlers{
		Log:         d.receiveState,
		Relay:       d.receive,
		PeerUp:      d.peerUp,
		PeerLost:    func(vm string) { d.event(recorder.Event{Number: recorder.LinkLost, Peer: vm, Task: recorder.NoTask}) },
		PeerRefused: func(vm string) { d.put(func(time.Time) { d.peers.Refuse(vm) }) },
		Event:       d.event,
		Clock:       d.ring.Clock,
		Observe:     func(c recorder.Clock) { d.ring.Observe(d.now(), c) },
	})
	if err != nil {
		return fmt.Errorf("conductor: %w", err)
	}
	d.messenger = m
	return nil
}

func (d *Conductor) openKeeper() error {
	c := keeper.Config{
		VM: d.config.Inner.String(), Timing: replicator.DefaultTiming(), Seed: rand.Uint64(), Now: d.now,
		StateVMs: func() []string { return *d.stateVMs.Load() }, Voters: 2*d.config.Tolerated + 1,
	}
	if d.config.IsState {
		disk, err := storer.NewFolder(d.config.DataFolder)
		if err != nil {
			return fmt.Errorf("conductor: %w", err)
		}
		c.Disk = disk
		d.disk = disk
		d.recall(disk)
	}
	if d.config.IsFounding {
		for _, s := range d.config.Seeds {
			c.Founders = append(c.Founders, s.String())
		}
	}
	k, err := keeper.New(c, keeper.Handlers{
		Send: d.sendState, Spread: d.spreadState, Apply: d.apply, Event: d.event,
	})
	if err != nil {
		return fmt.Errorf("conductor: %w", err)
	}
	d.keeper = k
	return nil
}

// Run runs the VM until the context ends.
func (d *Conductor) Run(ctx context.Context) error {
	defer close(d.done)
	d.ctx = ctx
	duties := suture.New("conductor", suture.Spec{
		EventHook: d.supervised, FailureDecay: failureDecay, PassThroughPanics: true,
	})
	duties.Add(supervisor.Duty{Name: "decisions", Run: d.decide})
	duties.Add(supervisor.Duty{Name: "messenger", Run: d.messenger.Serve})
	duties.Add(supervisor.Duty{Name: "keeper", Run: d.keeper.Serve})
	if d.disk != nil {
		duties.Add(supervisor.Duty{Name: "memory", Run: d.remember})
	}
	d.event(recorder.Event{Number: recorder.DaemonStarted, Task: recorder.NoTask})
	err := duties.Serve(ctx)
	d.event(recorder.Event{Number: recorder.DaemonStopped, Task: recorder.NoTask})
	if err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("conductor: %w", err)
	}
	return nil
}

func (d *Conductor) supervised(e suture.Event) {
	if text := supervisor.Failure(e); text != "" {
		d.event(recorder.Event{Number: recorder.DutyRestarted, Text: text, Task: recorder.NoTask})
	}
}

// decide is the goroutine of the decisions: it alone touches them.
func (d *Conductor) decide(ctx context.Context) error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		var input func(time.Time)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case input = <-d.inputs:
		case <-ticker.C:
			input = d.tick
		}
		now := d.now()
		d.checkStall(now)
		input(now)
		d.carryOut(now)
		for len(d.local) > 0 {
			message := d.local[0]
			d.local = d.local[1:]
			message(now)
			d.carryOut(now)
		}
	}
}

// checkStall gives up what a holder cannot answer for after a standstill.
func (d *Conductor) checkStall(now time.Time) {
	gap := now.Sub(d.lastAt)
	d.lastAt = now
	if gap < stallGap {
		return
	}
	if d.config.IsState {
		// What came meanwhile may be from sessions whose delay is not known.
		for number := range d.sessions {
			d.closedTo = max(d.closedTo, number)
		}
		d.sessions = map[uint64]*session{}
		d.messenger.CloseInbound()
	}
	d.holder.Stall(now, gap, &d.holderOut)
}

func (d *Conductor) tick(now time.Time) {
	d.standIn(now)
	d.holder.SetPeers(d.withinReach(now))
	d.holder.Tick(now, &d.holderOut)
	if !d.config.IsState {
		d.holder.Hear(now, d.config.Inner.String(), d.incarnation, &d.holderOut)
		d.forwarder.Tick(now, &d.forwardOut)
	}
	if now.Sub(d.beatAt) >= tracker.HeartbeatEvery || d.hasRoomNow() {
		d.beatAt = now
		d.beat(now)
	}
	if now.Sub(d.forgetAt) >= forgetEvery {
		d.forgetAt = now
		d.forget(now)
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

// passOn hands a message on to a VM that its sender does not reach. The time at
// which it is sent becomes that of this VM, so that its receiver can tell how long
// the second part of the way took.
func (d *Conductor) passOn(now time.Time, from string, delay time.Duration, r *wire.Relay) {
	if delay > lateHop || r.GetOrigin() != from || !d.peers.IsDirect(now, r.GetTarget()) {
		return
	}
	r.SentAt = now.UnixNano()
	d.messenger.SendRelay(r.GetTarget(), r)
}

// put hands an input to the decisions and waits while their ring is full.
func (d *Conductor) put(input func(now time.Time)) bool {
	select {
	case d.inputs <- input:
		return true
	case <-d.done:
		return false
	}
}
