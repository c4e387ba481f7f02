package holder

import (
	"maps"
	"sort"
	"time"
)

// Config is what a Holder is told at its start.
type Config struct {
	VM         string
	DataCentre string
	Timing     Timing
	// TokenEpoch is the time from which fencing tokens count milliseconds.
	TokenEpoch time.Time
	// BlindTries is how often a VM tries to take an upstream that it has not
	// heard itself since: one behind a partition is left to the VMs there.
	BlindTries int
	// StrangerDelay is the pause before an upstream is taken back from a VM that is
	// not heard.
	StrangerDelay time.Duration
	// OnlyOwnDataCentre keeps a VM from holding upstreams of other data centres:
	// it cannot tell who holds those.
	OnlyOwnDataCentre bool
}

// Peer is a VM within reach.
type Peer struct {
	VM         string
	DataCentre string
	// CanHold says that the VM is to hold upstreams.
	CanHold bool
	// IsReady says that it takes upstreams now.
	IsReady bool
}

// Holder is the decisions of one VM. It is not safe for concurrent use.
type Holder struct {
	config    Config
	upstreams map[string]*held
	jobs      map[Key]*job
	queue     []*job
	answers   map[Key]remembered
	cancelled map[string]time.Time
	// withdrawn are the parts that an entry has given up before they came.
	withdrawn map[Key]withdrawal
	entries   map[string]*entry
	peers     []Peer
	leaving   bool
	// isPlacing says that a place has come free or a task waits anew since tasks
	// were placed last.
	isPlacing bool
	// tickAt is the last look at the clock, isSteady that the one before was shortly
	// before it.
	tickAt   time.Time
	isSteady bool
	patience patience
	assignAt time.Time
	noticeAt time.Time
	out      *Effects
}

// entry is one VM that hands in jobs.
type entry struct {
	incarnation string
	heardAt     time.Time
}

// withdrawal is a part that an entry has given up, up to an attempt.
type withdrawal struct {
	entry   string
	attempt int
	at      time.Time
}

// remembered is an answer kept for an order that comes again.
type remembered struct {
	entry  string
	answer Answer
	tasks  [2]int
	at     time.Time
}

// isFor reports whether the answer is also that to an order: a job that ended is
// ended for all, anything else is said of one attempt.
func (r *remembered) isFor(entryVM string, o *Order) bool {
	if r.answer.Outcome == Completed || r.answer.Outcome == Failed {
		return r.tasks == o.tasks()
	}
	return r.entry == entryVM && r.answer.Attempt >= o.Attempt
}

// New returns a Holder that holds nothing.
func New(c Config) *Holder {
	return &Holder{
		config: c, upstreams: map[string]*held{}, jobs: map[Key]*job{},
		answers: map[Key]remembered{}, cancelled: map[string]time.Time{}, withdrawn: map[Key]withdrawal{}, entries: map[string]*entry{},
	}
}

// Hear notes that an entry was alive at a time, when it has sent what has come now.
// Jobs of an earlier life of it are given up.
func (h *Holder) Hear(now time.Time, vm, incarnation string, out *Effects) {
	h.out = out
	e := h.entries[vm]
	if e != nil && e.incarnation == incarnation && now.Before(e.heardAt) {
		return
	}
	if e != nil && e.incarnation != incarnation {
		h.abandon(now, vm, "the entry has restarted")
		maps.DeleteFunc(h.withdrawn, func(_ Key, w withdrawal) bool { return w.entry == vm })
	}
	h.entries[vm] = &entry{incarnation: incarnation, heardAt: now}
}

// SetPeers says which VMs are within reach, this one included if it is to hold
// upstreams.
func (h *Holder) SetPeers(peers []Peer) { h.peers = peers }

// Leave ends new work here: upstreams are handed over as their runs end.
func (h *Holder) Leave() { h.leaving = true }

// IsIdle reports whether nothing is under way here.
func (h *Holder) IsIdle() bool {
	for _, u := range h.upstreams {
		if u.phase != notHeld {
			return false
		}
	}
	return len(h.jobs) == 0
}

// Stall is called when this VM stood still: what its entries have decided
// meanwhile is not known, so that all jobs are given up.
func (h *Holder) Stall(now time.Time, gap time.Duration, out *Effects) {
	h.out = out
	h.decide(Decision{Event: "stalled", Wait: gap, IsFault: true})
	for vm := range h.entries {
		h.abandon(now, vm, "this VM stood still")
	}
}

// Tick lets time pass.
func (h *Holder) Tick(now time.Time, out *Effects) {
	h.out = out
	h.isSteady = now.Sub(h.tickAt) <= steadyTick
	h.tickAt = now
	for vm, e := range h.entries {
		if now.Sub(e.heardAt) > h.config.Timing.Silence {
			h.abandon(now, vm, "the entry is silent")
			delete(h.entries, vm)
		}
	}
	if now.Sub(h.assignAt) >= assignEvery {
		h.assignAt = now
		h.assign(now)
		h.forget(now)
	}
	if now.Sub(h.noticeAt) >= noticeEvery {
		h.noticeAt = now
		h.repeatNotices()
	}
	for _, u := range h.upstreams {
		h.tend(now, u)
	}
	h.place(now)
	h.dropLate(now)
}

// forget drops answers and cancellations that no message can refer to.
func (h *Holder) forget(now time.Time) {
	for id, r := range h.answers {
		if now.Sub(r.at) > answerMemory {
			delete(h.answers, id)
		}
	}
	for id, at := range h.cancelled {
		if now.Sub(at) > cancelMemory {
			delete(h.cancelled, id)
		}
	}
	maps.DeleteFunc(h.withdrawn, func(_ Key, w withdrawal) bool { return now.Sub(w.at) > answerMemory })
}

func (h *Holder) decide(d Decision) { h.out.Decisions = append(h.out.Decisions, d) }

// HasRoom reports whether any upstream is held.
func (h *Holder) HasRoom() bool {
	for _, u := range h.upstreams {
		if u.phase == active {
			return true
		}
	}
	return false
}

// Load is what a holder tells entries of its room.
type Load struct {
	FreeMilliCores  int64
	TotalMilliCores int64
	// Backlog is the expected wait for a place.
	Backlog time.Duration
	Racks   []string
	// Places counts the tasks of each of PlaceSizes that fit now.
	Places []int
	// Pending counts by route the jobs of which no task has started.
	Pending map[string]int
}

// Load returns the present load.
func (h *Holder) Load(now time.Time) Load {
	l := Load{Pending: map[string]int{}, Places: make([]int, len(PlaceSizes))}
	racks := map[string]bool{}
	for _, u := range h.upstreams {
		if !u.isUsable(now) {
			continue
		}
		l.TotalMilliCores += u.Capacity.MilliCores
		l.FreeMilliCores += max(0, u.Capacity.MilliCores-u.used.MilliCores)
		if u.Rack != "" {
			racks[u.Rack] = true
		}
		for i, size := range PlaceSizes {
			l.Places[i] += int(max(0, u.Capacity.MilliCores-u.used.MilliCores) / size)
		}
	}
	for rack := range racks {
		l.Racks = append(l.Racks, rack)
	}
	sort.Strings(l.Racks)
	l.Backlog = h.backlog(now)
	for _, j := range h.queue {
		if !j.started {
			l.Pending[j.Route]++
		}
	}
	if h.leaving {
		l.FreeMilliCores, l.TotalMilliCores, l.Places = 0, 0, nil
	}
	return l
}

// PlaceSizes are the sizes of tasks for which free places are counted, in
// thousandths of a core.
var PlaceSizes = []int64{500, 1000, 2000, 4000, 6000, 8000, 10_000, 12_000, 14_000, 16_000, 20_000, 24_000, 32_000, 64_000}

// PlacesFor returns how many tasks of a size fit now.
func (l *Load) PlacesFor(milliCores int64) int {
	for i, size := range PlaceSizes {
		if size >= milliCores && i < len(l.Places) {
			return l.Places[i]
		}
	}
	return 0
}

// Notices returns all that is known of the upstreams, for a VM on a new link.
func (h *Holder) Notices() []Notice {
	list := make([]Notice, 0, len(h.upstreams))
	for _, u := range h.upstreams {
		list = append(list, Notice{Upstream: u.Upstream, Holder: u.holderIfOurs(h.config.VM), Token: u.token})
	}
	return list
}
