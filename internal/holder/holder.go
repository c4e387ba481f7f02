package holder

import (
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"bronzedrift.example/bronzedrift/internal/evacuator"
	"bronzedrift.example/bronzedrift/internal/planner"
	"bronzedrift.example/bronzedrift/internal/quarantiner"
	"bronzedrift.example/bronzedrift/internal/sharer"
	"bronzedrift.example/bronzedrift/internal/shedder"
)

// Config holds the settings of a Holder.
type Config struct {
	VM         string
	DataCentre string
	Timing     Timing
	// TokenEpoch is the time from which fencing tokens count milliseconds.
	TokenEpoch time.Time
	// MaxTakeAttempts is the number of failed attempts after which a VM stops trying to
	// take an upstream until it receives another heartbeat from that upstream: one behind
	// a partition is left to the VMs on its side.
	MaxTakeAttempts int
	// RetakeDelay is the delay before an upstream is taken back from an unreachable VM.
	RetakeDelay time.Duration
	// OnlyOwnDataCentre keeps a VM from holding upstreams of other data centres,
	// where it can't tell which VM holds them.
	OnlyOwnDataCentre bool
	// EvacuationDeadline is the time from the acknowledgement of an evacuation after which no
	// task may start in the data centre; zero means DefaultEvacuationDeadline.
	EvacuationDeadline time.Duration
	// LooksAhead lets tasks that fit nowhere reserve capacity that is expected to come free.
	LooksAhead bool
	// SharesCapacity gives each kind of job and each origin its fair share under overload.
	SharesCapacity bool
	// Shedder is nil if orders are not refused for want of processor time.
	Shedder *shedder.Shedder
}

// Peer is a reachable VM.
type Peer struct {
	VM         string
	DataCentre string
	// CanHold is set if the VM may be assigned upstreams.
	CanHold bool
	// IsReady is set if it takes upstreams now.
	IsReady bool
}

// Holder assigns upstreams to its VM and places the tasks of jobs on them. It is not
// safe for concurrent use.
type Holder struct {
	config    Config
	upstreams map[string]*trackedUpstream
	// held are those of the upstreams that are not in phase notHeld, sorted by their ids, and
	// crashed those with a crash. Decisions that come with each task look at these alone.
	held    []*trackedUpstream
	crashed map[*trackedUpstream]bool
	// leftovers are the upstreams that are not held any more and have runs of this VM or a crash.
	leftovers map[*trackedUpstream]bool
	// firstChoice is the index in held of the first upstream that the latest choice has looked at.
	firstChoice int
	// maintained is reused by ticks.
	maintained []*trackedUpstream
	jobs       map[Key]*job
	queue      []*job
	answers    map[Key]cachedAnswer
	cancelled  map[string]time.Time
	// withdrawn holds the parts that an entry withdrew before their orders arrived.
	withdrawn map[Key]withdrawal
	entries   map[string]*entry
	peers     []Peer
	// reachable has the names of peers. peersVersion counts what changes preferred holders.
	reachable    map[string]bool
	peersVersion int
	draining     bool
	// needsPlacement is set if capacity became free or a task became startable since
	// tasks were last placed.
	needsPlacement bool
	// lastTickAt is the time of the latest tick, and tickedOnTime is set if that came at
	// most maxTickGap after the one before.
	lastTickAt   time.Time
	tickedOnTime bool
	// readUntil is the time up to which what has arrived is handled at a tick, zero if all is.
	readUntil       time.Time
	startAnswerTime answerTime
	lostShare       float64
	lastAssignAt    time.Time
	lastNoticeAt    time.Time
	// lastTokenMillis is the highest time in a token of this VM.
	lastTokenMillis uint64
	quarantine      *quarantiner.Quarantiner
	// hotKinds are the kinds of jobs that are crashing upstreams.
	hotKinds map[string]bool
	// probableBusy counts the upstreams that run probable suspects or were lost to them.
	probableBusy map[string]int
	// hasIsolated is set if an upstream was isolated at the last round of placement.
	hasIsolated bool
	// idleIsolated is the number of isolated upstreams without runs in a round of placement.
	idleIsolated int
	evacuator    *evacuator.Evacuator
	// planner is nil if placement does not look ahead. servers and serverRuns are reused
	// between its calls.
	planner    *planner.Planner
	servers    []planner.Server
	serverRuns []planner.Run
	// sharer is nil if capacity is not shared out under overload.
	sharer *sharer.Sharer
	// looks counts the upstreams that decisions have looked at.
	looks uint64
	out   *Effects
}

// entry is a VM that submits jobs.
type entry struct {
	incarnation   string
	lastMessageAt time.Time
}

// withdrawal records that an entry withdrew a part, up to and including an attempt.
type withdrawal struct {
	entry   string
	attempt int
	at      time.Time
}

// cachedAnswer is an answer kept for repeated orders.
type cachedAnswer struct {
	entry     string
	answer    Answer
	taskRange [2]int
	at        time.Time
}

// appliesTo reports whether the answer also answers an order. Completed and Failed apply
// to every entry and attempt that orders the same tasks; other outcomes apply only to
// the attempts of the same entry up to the answered one.
func (r *cachedAnswer) appliesTo(entryVM string, o *Order) bool {
	if r.answer.Outcome == Completed || r.answer.Outcome == Failed {
		return r.taskRange == o.taskRange()
	}
	return r.entry == entryVM && r.answer.Attempt >= o.Attempt
}

// New returns a Holder without upstreams and jobs.
func New(c Config) *Holder {
	deadline := c.EvacuationDeadline
	if deadline <= 0 {
		deadline = DefaultEvacuationDeadline
	}
	h := &Holder{
		evacuator: evacuator.New(evacuator.Config{Deadline: deadline}),
		config:    c, upstreams: map[string]*trackedUpstream{}, crashed: map[*trackedUpstream]bool{}, leftovers: map[*trackedUpstream]bool{}, reachable: map[string]bool{}, peersVersion: 1, jobs: map[Key]*job{},
		answers: map[Key]cachedAnswer{}, cancelled: map[string]time.Time{}, withdrawn: map[Key]withdrawal{}, entries: map[string]*entry{},
		quarantine: quarantiner.New(), hotKinds: map[string]bool{}, probableBusy: map[string]int{},
	}
	if c.LooksAhead {
		h.planner = planner.New(planner.Config{SizeClasses: SizeClasses})
	}
	if c.SharesCapacity {
		h.sharer = sharer.New(sharer.Config{})
	}
	return h
}

// EntrySeen records that an entry was running at the given time, which is when it sent
// the message just received. Jobs of an earlier incarnation of the entry are abandoned.
func (h *Holder) EntrySeen(now time.Time, vm, incarnation string, out *Effects) {
	h.out = out
	e := h.entries[vm]
	if e != nil && e.incarnation == incarnation && now.Before(e.lastMessageAt) {
		return
	}
	if e != nil && e.incarnation != incarnation {
		h.abandonEntryJobs(now, vm, "the entry has restarted")
		maps.DeleteFunc(h.withdrawn, func(_ Key, w withdrawal) bool { return w.entry == vm })
	}
	h.entries[vm] = &entry{incarnation: incarnation, lastMessageAt: now}
}

// Looks returns how many upstreams decisions have looked at since the start: what they cost.
func (h *Holder) Looks() uint64 { return h.looks }

// look returns the known upstreams and counts that all of them are looked at.
func (h *Holder) look() map[string]*trackedUpstream {
	h.looks += uint64(len(h.upstreams))
	return h.upstreams
}

// lookHeld returns the held upstreams and counts that all of them are looked at. The phases must not
// change while they are.
func (h *Holder) lookHeld() []*trackedUpstream {
	h.looks += uint64(len(h.held))
	return h.held
}

// setPhase changes the phase of an upstream.
func (h *Holder) setPhase(u *trackedUpstream, p phase) {
	wasHeld, isHeld := u.phase != notHeld, p != notHeld
	u.phase = p
	if wasHeld == isHeld {
		return
	}
	u.isIsolated = false
	h.noteLeftover(u)
	i, _ := slices.BinarySearchFunc(h.held, u.ID, func(other *trackedUpstream, id string) int { return strings.Compare(other.ID, id) })
	if isHeld {
		h.held = slices.Insert(h.held, i, u)
		return
	}
	h.held = slices.Delete(h.held, i, i+1)
}

// noteLeftover lists an upstream that is not held if ticks still have to maintain it.
func (h *Holder) noteLeftover(u *trackedUpstream) {
	if u.phase == notHeld && (len(u.runs) > 0 || u.crash != nil) {
		h.leftovers[u] = true
	}
}

// forget removes an upstream that is not held.
func (h *Holder) forget(u *trackedUpstream) {
	delete(h.upstreams, u.ID)
	delete(h.crashed, u)
	delete(h.leftovers, u)
}

// SetReadUntil sets the time up to which what has arrived will have been handled at the next tick. What
// a late VM has not read yet is not silence of an upstream.
func (h *Holder) SetReadUntil(t time.Time) { h.readUntil = t }

// SetPeers sets the reachable VMs, including this one if it may hold upstreams.
func (h *Holder) SetPeers(peers []Peer) {
	if slices.Equal(h.peers, peers) {
		return
	}
	h.peers = peers
	h.peersVersion++
	clear(h.reachable)
	for _, p := range peers {
		h.reachable[p.VM] = true
	}
}

// Drain stops new work here; upstreams are handed over as their runs end.
func (h *Holder) Drain() {
	h.draining = true
	h.peersVersion++
}

// IsIdle reports whether this VM holds no upstream and has no job.
func (h *Holder) IsIdle() bool {
	for _, u := range h.lookHeld() {
		if u.phase != notHeld {
			return false
		}
	}
	return len(h.jobs) == 0
}

// HandleStall is called after this VM was stalled. All jobs are abandoned, since what their
// entries have decided in the meantime is unknown. The held upstreams list their runs before they
// are used again, since they may have restarted. The steps of evacuations that fell due are
// taken before the next order.
func (h *Holder) HandleStall(now time.Time, gap time.Duration, out *Effects) {
	h.out = out
	h.logDecision(Decision{Event: "stalled", Wait: gap, IsFault: true})
	for vm := range h.entries {
		h.abandonEntryJobs(now, vm, "this VM stood still")
	}
	for _, u := range h.lookHeld() {
		u.doubt(now)
	}
	if h.evacuator.Tick(now) {
		h.updateAccess()
	}
}

// Tick performs what is due at the given time rather than in response to a message.
func (h *Holder) Tick(now time.Time, out *Effects) {
	h.out = out
	h.tickedOnTime = now.Sub(h.lastTickAt) <= maxTickGap
	h.lastTickAt = now
	if h.readUntil.IsZero() || h.readUntil.After(now) {
		h.readUntil = now
	}
	defer func() { h.readUntil = time.Time{} }()
	for vm, e := range h.entries {
		if now.Sub(e.lastMessageAt) > h.config.Timing.Silence {
			h.abandonEntryJobs(now, vm, "the entry is silent")
			delete(h.entries, vm)
		}
	}
	if s := h.config.Shedder; s != nil {
		s.Update(now)
	}
	if now.Sub(h.lastAssignAt) >= assignInterval {
		h.lastAssignAt = now
		h.assignUpstreams(now)
		h.purgeExpired(now)
		h.shareCapacity(now)
	}
	if now.Sub(h.lastNoticeAt) >= noticeInterval {
		h.lastNoticeAt = now
		h.resendNotices()
	}
	h.maintainUpstreams(now)
	if h.evacuator.Tick(now) {
		h.updateAccess()
	}
	h.giveUpDecided(now)
	h.placeTasks(now)
	h.abandonLateJobs(now)
}

// purgeExpired drops answers, cancellations and withdrawals that no message still in
// flight can refer to.
func (h *Holder) purgeExpired(now time.Time) {
	for id, r := range h.answers {
		if now.Sub(r.at) > answerTTL {
			delete(h.answers, id)
		}
	}
	for id, at := range h.cancelled {
		if now.Sub(at) > cancelTTL {
			delete(h.cancelled, id)
		}
	}
	maps.DeleteFunc(h.withdrawn, func(_ Key, w withdrawal) bool { return now.Sub(w.at) > answerTTL })
}

func (h *Holder) logDecision(d Decision) { h.out.Decisions = append(h.out.Decisions, d) }

// HoldsUpstreams reports whether any upstream is held and not being released.
func (h *Holder) HoldsUpstreams() bool {
	for _, u := range h.lookHeld() {
		if u.phase == active {
			return true
		}
	}
	return false
}

// Load is a holder's load as reported to entries.
type Load struct {
	FreeMilliCores  int64
	TotalMilliCores int64
	// Backlog is the expected time to work through the queue.
	Backlog time.Duration
	Racks   []string
	// FreeSlots counts, for each of SlotSizes, the tasks of that size that fit now.
	FreeSlots []int
	// Pending counts by route the jobs of which no task has started.
	Pending map[string]int
	// IsEvacuated is set if an evacuation has closed all upstreams held to new jobs, or all known
	// ones if none is held.
	IsEvacuated bool
	// ShedLevel says which jobs are refused since this VM is short of processor time.
	ShedLevel shedder.Level
}

// Load returns the current load.
func (h *Holder) Load(now time.Time) Load {
	l := Load{Pending: map[string]int{}, FreeSlots: make([]int, len(SlotSizes))}
	racks := map[string]bool{}
	for _, u := range h.lookHeld() {
		if !u.isUsable(now) {
			continue
		}
		l.TotalMilliCores += u.Capacity.MilliCores
		if u.isIsolated {
			continue
		}
		l.FreeMilliCores += max(0, u.Capacity.MilliCores-u.used.MilliCores)
		if u.Rack != "" {
			racks[u.Rack] = true
		}
		for i, size := range SlotSizes {
			l.FreeSlots[i] += int(max(0, u.Capacity.MilliCores-u.used.MilliCores) / size)
		}
	}
	for rack := range racks {
		l.Racks = append(l.Racks, rack)
	}
	l.IsEvacuated = h.isEvacuated()
	if s := h.config.Shedder; s != nil {
		l.ShedLevel = s.Level()
	}
	sort.Strings(l.Racks)
	l.Backlog = h.backlog(now)
	for _, j := range h.queue {
		if !j.started {
			l.Pending[j.Route]++
		}
	}
	if h.draining {
		l.FreeMilliCores, l.TotalMilliCores, l.FreeSlots = 0, 0, nil
	}
	return l
}

// SlotSizes are the task sizes for which free slots are counted, in thousandths of
// a core.
var SlotSizes = []int64{500, 1000, 2000, 4000, 6000, 8000, 10_000, 12_000, 14_000, 16_000, 20_000, 24_000, 32_000, 64_000}

// FreeSlotsFor returns how many tasks of a size fit now.
func (l *Load) FreeSlotsFor(milliCores int64) int {
	for i, size := range SlotSizes {
		if size >= milliCores && i < len(l.FreeSlots) {
			return l.FreeSlots[i]
		}
	}
	return 0
}

// Notices returns a notice about each known upstream, for a VM on a new link.
func (h *Holder) Notices() []Notice {
	list := make([]Notice, 0, len(h.upstreams))
	for _, u := range h.look() {
		list = append(list, Notice{Upstream: u.Upstream, Holder: u.holderIfHeld(h.config.VM), Token: u.token})
	}
	return list
}
