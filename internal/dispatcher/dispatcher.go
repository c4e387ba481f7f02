package dispatcher

import (
	"math/rand/v2"
	"time"

	"bronzedrift.example/bronzedrift/internal/limiter"
	"bronzedrift.example/bronzedrift/internal/quarantiner"
	"bronzedrift.example/bronzedrift/internal/recorder"
	"bronzedrift.example/bronzedrift/internal/router"
	"bronzedrift.example/bronzedrift/internal/scheduler"
	"bronzedrift.example/bronzedrift/internal/shedder"
)

// Weighting selects which of the two objectives, response time or number of
// messages, wins where a decision trades one for the other.
type Weighting string

// Supported weightings.
const (
	ByResponseTime Weighting = "response-time"
	ByMessages     Weighting = "messages"
)

// Limits bounds the memory an entry uses and the time it waits.
type Limits struct {
	MaxQueuedTasks   int
	AnswerBytes      int
	JobIDRetention   time.Duration
	ClockSkew        time.Duration
	AnnouncementWait time.Duration
}

// Config holds the settings with which a Dispatcher is created.
type Config struct {
	VM         string
	DataCentre string
	Entries    []router.VM
	Teams      []Team
	Services   []Service
	Limits     Limits
	Weighting  Weighting
	Policy     scheduler.Policy
	Seed       uint64
}

// Dispatcher makes the decisions of one entry. It is not safe for concurrent
// use.
type Dispatcher struct {
	config        Config
	startedAt     time.Time
	router        *router.Router
	teams         map[string]Team
	services      map[string]Service
	upstreams     map[string]*Upstream
	shedder       *shedder.Shedder
	fencingCount  int
	unusableSince map[string]time.Time
	linked        map[string]bool
	peerStartedAt map[string]time.Time
	// offeredServices are those that the known incarnations of each upstream have offered.
	offeredServices  map[string][]string
	claims           map[string]*claim
	jobs             map[string]*job
	runs             map[runKey]scheduler.Release
	pending          map[string]*job
	deadlines        deadlineHeap
	keptAnswers      []keptAnswer
	keptBytes        int
	refusals         map[string]refusal
	refusalQueue     []refusal
	forgottenThrough time.Time
	forwards         map[uint64]*forward
	lastRequest      uint64
	localLessors     map[string]*lessor
	lessorVMs        map[string]string
	loads            map[string]LoadReport
	retries          *limiter.RetryBudget
	quarantine       *quarantiner.Quarantiner
	backoff          []retry
	random           *rand.Rand
	queuedTasks      int
	counts           Counts
	effects          *Effects
	loopback         []Received
	loopbackHead     int
	lastSlowTick     time.Time
	lastAuditAt      time.Time
	demandShortfalls map[string]int
	lastInputAt      time.Time
	catchUpUntil     time.Time
	deferredGrants   []deferredGrant
	linkLostAt       map[string]time.Time
	incarnations     uint64
	incarnationOf    map[string]uint64
	confirmed        map[string]uint64
	isConfirming     map[string]bool
	evacuations      map[string]Evacuation
}

// slowTickInterval is the time between two runs of the periodic checks that
// are not needed on every tick.
const slowTickInterval = 50 * time.Millisecond

// Counts holds the totals reported by status and metrics.
type Counts struct {
	Submitted       uint64
	Answered        uint64
	Refused         uint64
	Forwarded       uint64
	BouncedForwards uint64
	Joined          uint64
	TasksStarted    uint64
	TasksRefused    uint64
	TasksRetried    uint64
	GrantsReceived  uint64
	GrantsUnused    uint64
}

// New returns the Dispatcher of an entry whose process starts at now.
func New(now time.Time, c Config) *Dispatcher {
	d := &Dispatcher{
		config:           c,
		startedAt:        now,
		router:           router.New(c.Entries),
		teams:            map[string]Team{},
		services:         map[string]Service{},
		upstreams:        map[string]*Upstream{},
		shedder:          shedder.New(),
		unusableSince:    map[string]time.Time{},
		linked:           map[string]bool{},
		peerStartedAt:    map[string]time.Time{},
		offeredServices:  map[string][]string{},
		claims:           map[string]*claim{},
		jobs:             map[string]*job{},
		runs:             map[runKey]scheduler.Release{},
		pending:          map[string]*job{},
		forwards:         map[uint64]*forward{},
		refusals:         map[string]refusal{},
		localLessors:     map[string]*lessor{},
		lessorVMs:        map[string]string{},
		loads:            map[string]LoadReport{},
		demandShortfalls: map[string]int{},
		linkLostAt:       map[string]time.Time{},
		incarnationOf:    map[string]uint64{},
		confirmed:        map[string]uint64{},
		isConfirming:     map[string]bool{},
		evacuations:      map[string]Evacuation{},
		lastRequest:      uint64(now.UnixNano()),
		retries:          limiter.NewRetryBudget(),
		quarantine:       quarantiner.New(),
		random:           rand.New(rand.NewPCG(c.Seed, uint64(len(c.VM)))),
	}
	d.configure(&Configuration{Teams: c.Teams, Services: c.Services})
	d.localLessor(c.DataCentre)
	return d
}

// Handle processes one input and appends the resulting effects to out.
func (d *Dispatcher) Handle(now time.Time, in *Input, out *Effects) {
	d.effects = out
	d.detectStall(now)
	if !in.QueuedAt.IsZero() {
		d.shedder.ObserveWait(now.Sub(in.QueuedAt))
	}
	d.handleInput(now, in)
	d.processFollowUps(now)
	d.effects = nil
}

func (d *Dispatcher) handleInput(now time.Time, in *Input) {
	switch {
	case in.Submit != nil:
		d.handleSubmission(now, in.Submit)
	case in.CallerQuery != nil:
		d.handleCallerQuery(now, in.CallerQuery)
	case in.TaskEnd != nil:
		d.handleTaskEnd(now, in.TaskEnd)
	case in.Received != nil:
		d.handleMessage(now, in.Received)
	case in.FenceEnd != nil:
		d.handleFenceEnd(now, in.FenceEnd)
	case in.Announce != nil:
		d.handleAnnouncement(now, in.Announce, true)
	case in.Verdict != nil:
		d.handleVerdict(now, in.Verdict)
	case in.PeerUp != "":
		d.handlePeerUp(now, in.PeerUp)
	case in.PeerLost != "":
		d.handlePeerLost(now, in.PeerLost)
	case in.Configure != nil:
		d.configure(in.Configure)
	case in.Evacuations != nil:
		d.handleEvacuations(now, in.Evacuations)
	case in.Drain:
		d.startDrain(now)
	case in.Tick:
		d.shedder.Update(now)
		d.tick(now)
	}
}

// configure replaces the teams and services. Jobs that were admitted before
// continue.
func (d *Dispatcher) configure(c *Configuration) {
	clear(d.teams)
	clear(d.services)
	for _, t := range c.Teams {
		d.teams[t.Name] = t
	}
	for _, s := range c.Services {
		d.services[s.Name] = s
	}
}

// processFollowUps delivers the messages that this entry sent to itself and
// grants slots until there are no more of either.
func (d *Dispatcher) processFollowUps(now time.Time) {
	for {
		for d.loopbackHead < len(d.loopback) {
			m := d.loopback[d.loopbackHead]
			d.loopbackHead++
			d.handleMessage(now, &m)
		}
		d.loopback, d.loopbackHead = d.loopback[:0], 0
		if !d.grantNext(now) {
			return
		}
	}
}

func (d *Dispatcher) handleMessage(now time.Time, r *Received) {
	m := &r.Message
	switch {
	case m.Grant != nil:
		d.handleGrant(now, r.From, m.Grant)
	case m.Release != nil:
		d.handleRelease(now, r.From, m.Release)
	case m.Demand != nil:
		d.handleDemand(now, r.From, m.Demand)
	case m.Withdraw != nil:
		d.localLessor(m.Withdraw.DataCentre).scheduler.Withdraw(r.From, m.Withdraw.Job, m.Withdraw.Count)
	case m.Forward != nil:
		d.handleForward(now, r.From, m.Forward)
	case m.Reply != nil:
		d.handleReply(now, m.Reply)
	case m.Query != nil:
		d.handleQuery(now, r.From, m.Query)
	case m.Admission != nil:
		d.handleAdmission(now, m.Admission)
	case m.Settlement != nil:
		d.localLessor(m.Settlement.DataCentre).returnQuota(r.From, m.Settlement.Team, m.Settlement.Count)
	case m.Load != nil:
		d.handleLoadReport(r.From, m.Load)
	case m.Holdings != nil:
		d.handleHoldings(now, r.From, m.Holdings)
	case m.Announce != nil:
		d.handleAnnouncement(now, m.Announce, false)
	case m.Verdict != nil:
		d.applyVerdict(now, *m.Verdict)
	case m.Hello != nil:
		d.handleHello(now, m.Hello)
	}
}

// send queues a message to another entry, or to this one.
func (d *Dispatcher) send(to string, m Message) {
	if to == d.config.VM {
		d.loopback = append(d.loopback, Received{From: to, Message: m})
		return
	}
	d.effects.Sends = append(d.effects.Sends, Send{To: to, Message: m})
}

func (d *Dispatcher) broadcast(m Message) {
	for _, vm := range d.router.VMs() {
		if vm.Name != d.config.VM && d.linked[vm.Name] {
			d.send(vm.Name, m)
		}
	}
}

func (d *Dispatcher) recordEvent(e recorder.Event) {
	d.effects.Events = append(d.effects.Events, e)
}

func (d *Dispatcher) tick(now time.Time) {
	d.processDeferredGrants(now)
	d.expireDeadlines(now)
	d.resolvePending(now)
	d.processRetries(now)
	d.tickLessors(now)
	if now.Sub(d.lastSlowTick) < slowTickInterval {
		return
	}
	d.lastSlowTick = now
	d.checkRoles(now)
	d.expireForwards(now)
	d.requestConfirmations(now)
	d.expireWaiters(now)
	d.auditDemands(now)
	if d.isAnyEvacuated() {
		d.moveEvacuatedDemands(now)
	}
	d.forgetUpstreams(now)
	d.expireKeptAnswers(now)
	d.expireRefusals(now)
}

// handlePeerUp sends a newly linked peer the state that it may have missed.
func (d *Dispatcher) handlePeerUp(now time.Time, peer string) {
	d.linked[peer] = true
	delete(d.linkLostAt, peer)
	d.recordEvent(recorder.Event{Number: recorder.LinkUp, Peer: peer, Task: recorder.NoTask})
	for _, v := range d.router.Verdicts() {
		d.send(peer, Message{Verdict: &v})
	}
	for _, u := range d.orderedUpstreams() {
		d.send(peer, Message{Announce: u})
	}
	// The hello goes last: a peer that has received it has also received the
	// verdicts and announcements sent before it.
	d.send(peer, Message{Hello: d.ownHello()})
	d.resyncLessor(peer)
	d.resendForwards(now, peer)
}

func (d *Dispatcher) handlePeerLost(now time.Time, peer string) {
	if !d.linked[peer] {
		return
	}
	d.linked[peer] = false
	d.linkLostAt[peer] = now
	d.recordEvent(recorder.Event{Number: recorder.LinkLost, Peer: peer, Task: recorder.NoTask})
	d.markForwardsUnsent(now, peer)
	d.redistributeDemands(peer)
}

func (d *Dispatcher) ownHello() *Hello {
	return &Hello{VM: d.config.VM, Started: d.startedAt, Draining: d.router.IsDraining(d.config.VM)}
}

func (d *Dispatcher) handleHello(now time.Time, h *Hello) {
	if known, ok := d.peerStartedAt[h.VM]; ok && known.Before(h.Started) {
		for _, l := range d.localLessors {
			l.scheduler.WithdrawHolder(h.VM)
			l.releaseHolder(h.VM)
		}
	}
	d.peerStartedAt[h.VM] = h.Started
	d.resyncLessor(h.VM)
	d.markForwardsUnsent(now, h.VM)
	d.resendForwards(now, h.VM)
	d.router.SetDraining(h.VM, h.Draining)
	d.checkRoles(now)
}

// startDrain begins a planned stop: this entry takes no new jobs, and jobs
// with unstarted tasks move to the next holder of the range.
func (d *Dispatcher) startDrain(now time.Time) {
	if d.router.IsDraining(d.config.VM) {
		return
	}
	d.recordEvent(recorder.Event{Number: recorder.DrainStarted, Task: recorder.NoTask})
	d.router.SetDraining(d.config.VM, true)
	d.broadcast(Message{Hello: d.ownHello()})
	d.checkRoles(now)
}

// IsIdle reports whether no caller waits for an answer and no task runs.
func (d *Dispatcher) IsIdle() bool {
	if len(d.forwards) > 0 || len(d.runs) > 0 {
		return false
	}
	for _, j := range d.jobs {
		if j.answer == nil && j.state != jobMoved {
			return false
		}
	}
	return true
}

// handleAnnouncement processes an upstream's announcement. It is direct if it
// came from the upstream itself and not from a peer.
func (d *Dispatcher) handleAnnouncement(now time.Time, u *Upstream, direct bool) {
	known := d.upstreams[u.Name]
	if known != nil && !u.replaces(known, direct) {
		return
	}
	changed := known == nil || !known.isSame(u)
	isNew := known == nil || known.Address != u.Address || !known.MemorySince.Equal(u.MemorySince)
	d.upstreams[u.Name] = u
	if !changed {
		return
	}
	d.updateFencingCount(known, u)
	d.noteServices(u)
	if direct {
		d.broadcast(Message{Announce: u})
	}
	d.recordAnnouncement(u)
	if l := d.localLessors[u.DataCentre]; l != nil {
		l.announce(u, d.router.IsDown(router.SubjectUpstream, u.Name))
		if e := d.evacuations[u.DataCentre]; l.active && known == nil && e.isReturning(now) {
			l.scheduler.BeginReturnOf(u.Name)
		}
	}
	if isNew {
		d.numberIncarnation(now, u)
		d.fenceAllRanges(u)
	}
}

// forgetUpstreams removes upstreams that have been leaving or down for longer
// than ids are remembered. No job that could have started there is owned any
// more; if such an upstream announces itself again, it is treated as a new
// one.
func (d *Dispatcher) forgetUpstreams(now time.Time) {
	for name, u := range d.upstreams {
		if !u.Leaving && !d.router.IsDown(router.SubjectUpstream, name) {
			delete(d.unusableSince, name)
			continue
		}
		since, ok := d.unusableSince[name]
		switch {
		case !ok:
			d.unusableSince[name] = now
		case now.Sub(since) > d.config.Limits.JobIDRetention:
			d.forgetUpstream(u)
		}
	}
}

func (d *Dispatcher) forgetUpstream(u *Upstream) {
	delete(d.upstreams, u.Name)
	delete(d.unusableSince, u.Name)
	delete(d.incarnationOf, u.Name)
	delete(d.offeredServices, u.Name)
	if u.mayFence() {
		d.fencingCount--
	}
	for _, c := range d.claims {
		delete(c.ackedMemorySince, u.Name)
		delete(c.fenceFailures, u.Name)
	}
	if l := d.localLessors[u.DataCentre]; l != nil {
		l.scheduler.Remove(u.Name)
	}
}

// updateFencingCount maintains the number of upstreams that may fence.
func (d *Dispatcher) updateFencingCount(known, u *Upstream) {
	if known != nil && known.mayFence() {
		d.fencingCount--
	}
	if u.mayFence() {
		d.fencingCount++
	}
}

func (d *Dispatcher) recordAnnouncement(u *Upstream) {
	number := recorder.UpstreamAnnounced
	switch {
	case !u.IsAnnounced():
		number = recorder.UpstreamRestarted
	case u.Leaving:
		number = recorder.UpstreamLeaving
	}
	d.recordEvent(recorder.Event{Number: number, Upstream: u.Name, Task: recorder.NoTask})
}

// isSame reports whether two announcements carry the same data. It compares
// capabilities by number only.
func (u *Upstream) isSame(o *Upstream) bool {
	return u.Address == o.Address && u.DataCentre == o.DataCentre && u.Rack == o.Rack &&
		u.Capacity == o.Capacity && u.Leaving == o.Leaving && u.MemorySince.Equal(o.MemorySince) &&
		equalStrings(u.Services, o.Services) && len(u.Capabilities) == len(o.Capabilities)
}

func equalStrings(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// handleVerdict applies a verdict of the monitoring group that this entry
// received and broadcasts it to the peers unless it is out of date.
func (d *Dispatcher) handleVerdict(now time.Time, v *router.Verdict) {
	if d.applyVerdict(now, *v) {
		d.broadcast(Message{Verdict: v})
	}
}

func (d *Dispatcher) applyVerdict(now time.Time, v router.Verdict) bool {
	if !d.router.Apply(v) {
		d.recordEvent(recorder.Event{Number: recorder.VerdictOutOfDate, Upstream: v.Name, Task: recorder.NoTask})
		return false
	}
	d.recordEvent(recorder.Event{Number: recorder.VerdictObeyed, Upstream: v.Name, Task: recorder.NoTask, Text: v.Text()})
	if v.Kind == router.SubjectUpstream {
		for _, l := range d.localLessors {
			l.scheduler.SetDown(v.Name, v.Down)
		}
		return true
	}
	if v.Down {
		for _, l := range d.localLessors {
			l.orphanLeases(now, v.Name)
		}
	}
	d.checkRoles(now)
	return true
}

// checkRoles updates claims, lessor roles and the targets of forwards to the
// current view of the VMs.
func (d *Dispatcher) checkRoles(now time.Time) {
	for _, vm := range d.router.VMs() {
		d.updateClaim(now, vm.Name)
	}
	for _, dc := range d.router.DataCentres() {
		d.checkLessor(now, dc)
	}
	d.rerouteForwards(now)
}
