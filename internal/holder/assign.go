package holder

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Report takes a heartbeat that an upstream has sent to this VM.
func (h *Holder) Report(now time.Time, u Upstream, out *Effects) {
	h.out = out
	known := h.learn(now, u, true)
	if known == nil {
		return
	}
	known.heardAt = now
	if known.takeTries > 0 {
		known.takeTries = 0
		known.retakeAt = h.remoteTakeAt(now, known)
	}
}

// remoteTakeAt returns when an upstream that has just been heard may be taken: one
// of another data centre only once its own VMs had time to be heard too, since
// after a partition it is heard before they are.
func (h *Holder) remoteTakeAt(now time.Time, u *held) time.Time {
	if u.DataCentre == h.config.DataCentre {
		return now
	}
	return now.Add(remoteTakeDelay)
}

// Left forgets an upstream that has said that it ends, whatever its messages
// that are still under way say.
func (h *Holder) Left(now time.Time, id string, out *Effects) {
	h.out = out
	u := h.upstreams[id]
	if u == nil || u.State == Gone {
		return
	}
	last := u.Upstream
	last.State, last.Sequence = Gone, math.MaxUint64
	h.learn(now, last, true)
}

// Notice takes what another VM says of an upstream.
func (h *Holder) Notice(now time.Time, from string, n Notice, out *Effects) {
	h.out = out
	u := h.learn(now, n.Upstream, false)
	if u == nil {
		return
	}
	switch {
	case n.Holder == from && n.Token >= u.token && u.phase == notHeld:
		if u.holder == "" && u.retakeAt.After(now.Add(retakeDelay)) {
			u.retakeAt = now.Add(retakeDelay)
		}
		u.holder, u.token = n.Holder, n.Token
		u.noticedAt = now
	case n.Holder == from && n.Token > u.token:
		h.fenced(now, u)
		u.holder, u.token = n.Holder, n.Token
		u.noticedAt, u.retakeAt = now, now.Add(retakeDelay)
	case n.Holder == "" && u.holder == from:
		u.holder = ""
	}
}

// learn keeps a heartbeat that is newer than what is known. Others are told only of
// what the upstream has said to this VM: each tells all.
func (h *Holder) learn(now time.Time, n Upstream, isFirstHand bool) *held {
	u := h.upstreams[n.ID]
	if u == nil {
		if n.State == Gone {
			return nil
		}
		u = &held{Upstream: n, runs: map[runKey]*run{}, speed: 1}
		h.upstreams[n.ID] = u
		u.heardAt = now
		u.retakeAt = h.remoteTakeAt(now, u)
		u.observeClock(now, n.Clock)
		h.decide(Decision{Event: "upstream-learnt", Upstream: n.ID, Reason: n.Address.String()})
		if isFirstHand {
			h.out.Notices = append(h.out.Notices, Notice{Upstream: n})
		}
		return u
	}
	if !n.isNewerThan(&u.Upstream) {
		return u
	}
	before := u.Upstream
	if n.Born.After(before.Born) && !before.Born.IsZero() {
		h.reborn(now, u)
	}
	u.Upstream = n
	u.heardAt = now
	u.observeClock(now, n.Clock)
	if n.changes(&before) {
		h.decide(Decision{Event: "upstream-changed", Upstream: n.ID, Reason: stateName(n.State)})
		if isFirstHand {
			h.out.Notices = append(h.out.Notices, Notice{Upstream: n, Holder: u.holderIfOurs(h.config.VM), Token: u.token})
		}
	}
	if n.State == Gone {
		h.drop(now, u, "the upstream has left")
		return nil
	}
	return u
}

func stateName(s State) string {
	switch s {
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	case Gone:
		return "gone"
	}
	return "unknown"
}

// drop forgets an upstream; what ran there is gone.
func (h *Holder) drop(now time.Time, u *held, reason string) {
	h.decide(Decision{Event: "upstream-gone", Upstream: u.ID, Reason: reason})
	h.loseRuns(now, u)
	u.phase = notHeld
	u.tombstoneAt = now
	if u.State != Gone {
		delete(h.upstreams, u.ID)
	}
}

// assign takes and gives up upstreams as the VMs within reach change.
func (h *Holder) assign(now time.Time) {
	// Without an entry within reach no job can come here.
	settled := h.isReady(h.config.VM) && len(h.entries) > 0
	for id, u := range h.upstreams {
		if u.State == Gone {
			if now.Sub(u.tombstoneAt) > cancelMemory {
				delete(h.upstreams, id)
			}
			continue
		}
		if now.Sub(u.heardAt) > h.config.Timing.UpstreamSilence && len(u.runs) == 0 {
			h.drop(now, u, "the upstream is silent")
			continue
		}
		rightful := h.rightful(u)
		switch u.phase {
		case notHeld:
			if u.holder == h.config.VM {
				u.holder = ""
				h.out.Notices = append(h.out.Notices, Notice{Upstream: u.Upstream})
			}
			if settled && rightful == h.config.VM && !h.isHeldElsewhere(now, u) &&
				!now.Before(u.retakeAt) && u.takeTries < h.config.BlindTries {
				h.take(now, u)
			}
		case active:
			if rightful != h.config.VM && h.isReady(rightful) && h.mayRelease() {
				u.phase = releasing
			}
		case releasing:
			if rightful == h.config.VM {
				u.phase = active
			}
		}
	}
}

// releaseShare is the part of the upstreams held that is handed over at a time,
// since those take no new runs until the present ones have ended.
const releaseShare = 4

func (h *Holder) isReady(vm string) bool {
	for _, p := range h.peers {
		if p.VM == vm {
			return p.IsReady
		}
	}
	return false
}

// mayRelease reports whether one more upstream may be handed over now.
func (h *Holder) mayRelease() bool {
	if h.leaving {
		return true
	}
	holds, releases := 0, 0
	for _, u := range h.upstreams {
		switch u.phase {
		case active:
			holds++
		case releasing:
			holds++
			releases++
		}
	}
	return releases < (holds+releaseShare-1)/releaseShare
}

// isHeldElsewhere reports whether a VM within reach has said lately that it
// holds the upstream.
func (h *Holder) isHeldElsewhere(now time.Time, u *held) bool {
	if u.holder == "" || u.holder == h.config.VM {
		return false
	}
	for _, p := range h.peers {
		if p.VM == u.holder {
			return now.Sub(u.noticedAt) < noticeMemory
		}
	}
	return false
}

// HolderLost is called when a VM has restarted and holds nothing any more.
func (h *Holder) HolderLost(vm string) {
	for _, u := range h.upstreams {
		if u.holder == vm {
			u.holder = ""
		}
	}
}

// rightful returns the VM that should hold an upstream: by rendezvous hash among
// the VMs within reach in its data centre, or among all if there is none.
func (h *Holder) rightful(u *held) string {
	best, bestScore, bestLocal := "", uint64(0), false
	for _, p := range h.peers {
		if !p.CanHold || h.leaving && p.VM == h.config.VM {
			continue
		}
		local := p.DataCentre == u.DataCentre
		if h.config.OnlyOwnDataCentre && p.VM == h.config.VM && !local {
			continue
		}
		score := xxhash.Sum64String(p.VM + "/" + u.ID)
		if best == "" || local && !bestLocal || local == bestLocal && score > bestScore {
			best, bestScore, bestLocal = p.VM, score, local
		}
	}
	return best
}

// fencedStep is added to a token that was refused by one that is not known, in
// milliseconds: the other VM's clock may be ahead by some seconds.
const fencedStep = 5000

// tokenBits are the low bits of a token, which differ by VM.
const tokenBits = 12

// nextToken returns a token higher than all that are known for an upstream, and
// unlike any that another VM would choose.
func (h *Holder) nextToken(now time.Time, u *held) uint64 {
	millis := uint64(max(0, now.Sub(h.config.TokenEpoch).Milliseconds()))
	millis = max(millis, u.token>>tokenBits+1)
	if u.refused >= u.token {
		millis = max(millis, u.refused>>tokenBits+fencedStep)
	}
	return millis<<tokenBits | xxhash.Sum64String(h.config.VM)&(1<<tokenBits-1)
}

// take begins to hold an upstream: the first call fences its former holder and
// lists what runs there.
func (h *Holder) take(now time.Time, u *held) {
	u.token = h.nextToken(now, u)
	u.phase = taking
	u.holder = h.config.VM
	u.lastEnd, u.ackedEnd = 0, 0
	u.holdOut, u.holdRetryAt = false, time.Time{}
	h.decide(Decision{Event: "upstream-taking", Upstream: u.ID})
	h.hold(now, u, 0)
}

// Handover takes an upstream that its former holder has given up.
func (h *Holder) Handover(now time.Time, from string, id string, token uint64, out *Effects) {
	h.out = out
	u := h.upstreams[id]
	if u == nil || u.phase != notHeld || token < u.token {
		return
	}
	h.decide(Decision{Event: "upstream-offered", Upstream: id, Peer: from})
	u.holder, u.token = "", token
	u.retakeAt = time.Time{}
	if h.rightful(u) == h.config.VM && !h.leaving {
		h.take(now, u)
	}
}

// release gives an upstream without runs to the VM that should hold it.
func (h *Holder) release(now time.Time, u *held) {
	to := h.rightful(u)
	u.phase = notHeld
	u.holder = ""
	h.out.Notices = append(h.out.Notices, Notice{Upstream: u.Upstream, Token: u.token})
	h.decide(Decision{Event: "upstream-released", Upstream: u.ID, Peer: to})
	if to != "" && to != h.config.VM {
		u.holder, u.noticedAt = to, now
		h.out.Handovers = append(h.out.Handovers, Handover{To: to, Upstream: u.ID, Token: u.token})
	}
}

// fenced ends the hold on an upstream that another VM has taken. Its runs go on
// until that VM stops them or their leases lapse.
func (h *Holder) fenced(now time.Time, u *held) {
	h.decide(Decision{Event: "upstream-fenced", Upstream: u.ID, IsFault: true})
	u.phase = notHeld
	u.holder = ""
	h.out.Notices = append(h.out.Notices, Notice{Upstream: u.Upstream, Token: u.token})
	u.retakeAt = now.Add(h.config.StrangerDelay)
	u.refused = u.token
	for _, r := range u.runs {
		r.state = doubtful
	}
}

// reborn is called when an upstream has begun a new life: nothing runs there,
// and it has seen no token.
func (h *Holder) reborn(now time.Time, u *held) {
	h.decide(Decision{Event: "upstream-reborn", Upstream: u.ID, IsFault: len(u.runs) > 0})
	h.loseRuns(now, u)
	u.lastEnd, u.ackedEnd = 0, 0
	u.clock, u.leaseEnd = clock{}, 0
	u.speed, u.failRate, u.failures, u.pausedUntil = 1, 0, 0, time.Time{}
	if u.phase == active || u.phase == taking || u.phase == releasing {
		u.phase = taking
		u.holdOut, u.holdRetryAt = false, time.Time{}
	}
}

func (h *Holder) repeatNotices() {
	for _, u := range h.upstreams {
		if u.phase == active || u.phase == releasing {
			h.out.Notices = append(h.out.Notices, Notice{Upstream: u.Upstream, Holder: h.config.VM, Token: u.token})
		}
	}
}

// HolderOf returns the VM that should hold an upstream, empty if that is not
// known.
func (h *Holder) HolderOf(id string) string {
	if u := h.upstreams[id]; u != nil {
		return h.rightful(u)
	}
	return ""
}
