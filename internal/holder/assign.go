package holder

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// HandleHeartbeat processes a heartbeat that an upstream has sent to this VM.
func (h *Holder) HandleHeartbeat(now time.Time, u Upstream, out *Effects) {
	h.out = out
	known := h.mergeHeartbeat(now, u, true)
	if known == nil {
		return
	}
	known.lastHeartbeatAt = now
	if known.failedTakes > 0 {
		known.failedTakes = 0
		known.takeAllowedAt = h.remoteTakeAt(now, known)
	}
}

// remoteTakeAt returns the earliest time at which an upstream whose heartbeat was
// just received may be taken. One in another data centre is delayed: after a
// partition heals, its heartbeats arrive before those of the VMs there, one of which
// should hold it.
func (h *Holder) remoteTakeAt(now time.Time, u *trackedUpstream) time.Time {
	if u.DataCentre == h.config.DataCentre {
		return now
	}
	return now.Add(remoteTakeDelay)
}

// UpstreamLeft processes the announcement of an upstream's shutdown. The sequence number is
// set to the maximum so that heartbeats still in flight don't bring the upstream back.
func (h *Holder) UpstreamLeft(now time.Time, id string, out *Effects) {
	h.out = out
	u := h.upstreams[id]
	if u == nil || u.State == Gone {
		return
	}
	last := u.Upstream
	last.State, last.Sequence = Gone, math.MaxUint64
	h.mergeHeartbeat(now, last, true)
}

// HandleNotice processes another VM's notice about an upstream.
func (h *Holder) HandleNotice(now time.Time, from string, n Notice, out *Effects) {
	h.out = out
	u := h.mergeHeartbeat(now, n.Upstream, false)
	if u == nil {
		return
	}
	switch {
	case n.Holder == from && n.Token >= u.token && u.phase == notHeld:
		if u.holder == "" && u.takeAllowedAt.After(now.Add(noticedTakeDelay)) {
			u.takeAllowedAt = now.Add(noticedTakeDelay)
		}
		u.holder, u.token = n.Holder, n.Token
		u.noticedAt = now
	case n.Holder == from && n.Token > u.token:
		h.loseHold(now, u)
		u.holder, u.token = n.Holder, n.Token
		u.noticedAt, u.takeAllowedAt = now, now.Add(noticedTakeDelay)
	case n.Holder == "" && u.holder == from:
		u.holder = ""
	}
}

// Restore adds an upstream that an earlier incarnation of this VM knew. Heartbeats and
// notices replace it. One that had left stays out of use. Later tokens of this VM are above
// the token of the notice.
func (h *Holder) Restore(now time.Time, n Notice) {
	h.lastTokenMillis = max(h.lastTokenMillis, n.Token>>tokenVMBits)
	u := n.Upstream
	if h.upstreams[u.ID] != nil {
		return
	}
	u.Clock = 0
	known := &trackedUpstream{
		incarnation: newIncarnation(u), token: n.Token, runs: map[runKey]*run{}, lastHeartbeatAt: now, access: h.evacuator.Access(u.DataCentre, u.ID),
	}
	if u.State == Gone {
		known.tombstoneAt = now
	}
	known.takeAllowedAt = h.remoteTakeAt(now, known)
	h.upstreams[u.ID] = known
}

// StateOf returns the state of an upstream, Unreported if it is not known.
func (h *Holder) StateOf(id string) State {
	if u := h.upstreams[id]; u != nil {
		return u.State
	}
	return 0
}

// mergeHeartbeat stores a heartbeat if it is newer than the known one. Only first-hand
// heartbeats, which the upstream sent to this VM itself, cause notices: each VM sends its
// notices to all others.
func (h *Holder) mergeHeartbeat(now time.Time, n Upstream, isFirstHand bool) *trackedUpstream {
	u := h.upstreams[n.ID]
	if u == nil {
		if n.State == Gone {
			return nil
		}
		u = &trackedUpstream{incarnation: newIncarnation(n), runs: map[runKey]*run{}, access: h.evacuator.Access(n.DataCentre, n.ID)}
		h.upstreams[n.ID] = u
		u.lastHeartbeatAt = now
		u.takeAllowedAt = h.remoteTakeAt(now, u)
		u.observeClock(now, n.Clock, h.config.Timing.ClockDrift)
		h.logDecision(Decision{Event: "upstream-learnt", Upstream: n.ID, Reason: n.Address.String()})
		if isFirstHand {
			h.out.Notices = append(h.out.Notices, Notice{Upstream: n})
		}
		return u
	}
	if !n.isNewerThan(&u.Upstream) {
		return u
	}
	before := u.Upstream
	hasRestarted := n.StartedAt.After(before.StartedAt) && !before.StartedAt.IsZero()
	if hasRestarted {
		news := "notice"
		if isFirstHand {
			news = "heartbeat"
		}
		h.handleRestart(now, u, n, news, now.Add(-n.Clock))
	} else {
		u.Upstream = n
	}
	if n.DataCentre != before.DataCentre {
		u.preferredVersion = 0
	}
	u.access = h.evacuator.Access(n.DataCentre, n.ID)
	u.lastHeartbeatAt = now
	u.observeClock(now, n.Clock, h.config.Timing.ClockDrift)
	if hasRestarted && u.phase == taking && u.State != Gone {
		h.sendHold(now, u, 0)
	}
	if n.needsNotice(&before) {
		h.logDecision(Decision{Event: "upstream-changed", Upstream: n.ID, Reason: stateName(n.State)})
		if isFirstHand {
			h.out.Notices = append(h.out.Notices, Notice{Upstream: n, Holder: u.holderIfHeld(h.config.VM), Token: u.token})
		}
	}
	if n.State == Gone {
		h.handleDeparture(now, u)
		return nil
	}
	return u
}

func stateName(s State) string {
	switch s {
	case Unreported:
		return "unreported"
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	case Gone:
		return "gone"
	}
	return "unknown"
}

// removeUpstream removes an upstream and all runs on it, none of which can go on. One that has announced its
// shutdown is kept for cancelTTL, so that late heartbeats don't bring it back.
func (h *Holder) removeUpstream(now time.Time, u *trackedUpstream, kind lossKind, reason string) {
	h.logDecision(Decision{Event: "upstream-gone", Upstream: u.ID, Reason: reason})
	h.judgeLoss(now, u, kind)
	h.removeLostRuns(now, u, kind)
	u.endFormerLeases(now, &h.config.Timing)
	h.setPhase(u, notHeld)
	u.tombstoneAt = now
	if u.State != Gone {
		h.forget(u)
	}
}

// assignUpstreams takes and releases upstreams as the set of reachable VMs changes.
func (h *Holder) assignUpstreams(now time.Time) {
	// Without a reachable entry no job can arrive here.
	canTake := h.isPeerReady(h.config.VM) && len(h.entries) > 0
	for _, u := range h.look() {
		if u.State == Gone && u.phase == notHeld {
			if now.Sub(u.tombstoneAt) > cancelTTL && len(u.runs) == 0 {
				h.forget(u)
			}
			continue
		}
		if u.isSilent(now, h.config.Timing.UpstreamSilence) && len(u.runs) == 0 {
			h.removeUpstream(now, u, lossSilent, "the upstream is silent")
			continue
		}
		preferred := h.preferredHolder(u)
		switch u.phase {
		case notHeld:
			if u.holder == h.config.VM {
				u.holder = ""
				h.out.Notices = append(h.out.Notices, Notice{Upstream: u.Upstream})
			}
			if canTake && preferred == h.config.VM && !h.isHeldElsewhere(now, u) &&
				!now.Before(u.takeAllowedAt) && u.failedTakes < h.config.MaxTakeAttempts {
				h.take(now, u)
			}
		case active:
			if preferred != h.config.VM && h.isPeerReady(preferred) && h.mayRelease() {
				h.setPhase(u, releasing)
			}
		case releasing:
			if preferred == h.config.VM {
				h.setPhase(u, active)
			}
		}
	}
}

// At most one in releaseShare of the held upstreams is released at a time, since a
// releasing upstream starts no new runs until its current ones have ended.
const releaseShare = 4

func (h *Holder) isPeerReady(vm string) bool {
	for _, p := range h.peers {
		if p.VM == vm {
			return p.IsReady
		}
	}
	return false
}

// mayRelease reports whether one more upstream may be released now.
func (h *Holder) mayRelease() bool {
	if h.draining {
		return true
	}
	holds, releases := 0, 0
	for _, u := range h.lookHeld() {
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

// isHeldElsewhere reports whether a reachable VM has recently sent a notice that it
// holds the upstream.
func (h *Holder) isHeldElsewhere(now time.Time, u *trackedUpstream) bool {
	if u.holder == "" || u.holder == h.config.VM {
		return false
	}
	return h.reachable[u.holder] && now.Sub(u.noticedAt) < noticeTTL
}

// HolderLost is called when another VM has restarted and so holds no upstream any more.
func (h *Holder) HolderLost(vm string) {
	for _, u := range h.look() {
		if u.holder == vm {
			u.holder = ""
		}
	}
}

// preferredHolder returns the VM that should hold an upstream: by rendezvous hash
// among the reachable VMs in its data centre, or among all if it has none.
func (h *Holder) preferredHolder(u *trackedUpstream) string {
	if u.preferredVersion != h.peersVersion {
		u.preferred, u.preferredVersion = h.choosePreferred(u), h.peersVersion
	}
	return u.preferred
}

func (h *Holder) choosePreferred(u *trackedUpstream) string {
	best, bestScore, bestLocal := "", uint64(0), false
	for _, p := range h.peers {
		if !p.CanHold || h.draining && p.VM == h.config.VM {
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

// refusedTokenStep is added, in milliseconds, to a token that was refused in favour
// of an unknown higher one: the other VM's clock may be ahead by some seconds.
const refusedTokenStep = 5000

// tokenVMBits is the number of low bits of a token that are derived from the VM's name.
const tokenVMBits = 12

// nextToken returns a token higher than all known ones for an upstream, and than those that this
// VM has used for any, since upstreams are forgotten. Its low bits keep two VMs from choosing the
// same token.
func (h *Holder) nextToken(now time.Time, u *trackedUpstream) uint64 {
	millis := uint64(max(0, now.Sub(h.config.TokenEpoch).Milliseconds()))
	millis = max(millis, u.token>>tokenVMBits+1, h.lastTokenMillis+1)
	if u.refusedToken >= u.token {
		millis = max(millis, u.refusedToken>>tokenVMBits+refusedTokenStep)
	}
	h.lastTokenMillis = millis
	return millis<<tokenVMBits | xxhash.Sum64String(h.config.VM)&(1<<tokenVMBits-1)
}

// take starts to hold an upstream: the first hold call fences the previous holder
// and lists the runs there.
func (h *Holder) take(now time.Time, u *trackedUpstream) {
	u.token = h.nextToken(now, u)
	h.setPhase(u, taking)
	u.fencedAt = time.Time{}
	u.holder = h.config.VM
	u.lastEnd, u.ackedEnd, u.confirmedLeaseEnd = 0, 0, 0
	u.holdPending, u.holdRetryAt = false, time.Time{}
	h.logDecision(Decision{Event: "upstream-taking", Upstream: u.ID})
	h.sendHold(now, u, 0)
}

// Handover takes an upstream that its previous holder has released.
func (h *Holder) Handover(now time.Time, from string, id string, token uint64, out *Effects) {
	h.out = out
	u := h.upstreams[id]
	if u == nil || u.phase != notHeld || token < u.token || token > MaxToken {
		return
	}
	h.logDecision(Decision{Event: "upstream-offered", Upstream: id, Peer: from})
	u.holder, u.token = "", token
	u.takeAllowedAt = time.Time{}
	if h.preferredHolder(u) == h.config.VM && !h.draining {
		h.take(now, u)
	}
}

// release hands an upstream without runs over to the VM that should hold it.
func (h *Holder) release(now time.Time, u *trackedUpstream) {
	to := h.preferredHolder(u)
	h.setPhase(u, notHeld)
	u.holder = ""
	h.out.Notices = append(h.out.Notices, Notice{Upstream: u.Upstream, Token: u.token})
	h.logDecision(Decision{Event: "upstream-released", Upstream: u.ID, Peer: to})
	if to != "" && to != h.config.VM {
		u.holder, u.noticedAt = to, now
		h.out.Handovers = append(h.out.Handovers, Handover{To: to, Upstream: u.ID, Token: u.token})
	}
}

// loseHold ends the hold on an upstream that another VM has taken. Its runs go on
// until that VM stops them or their leases expire.
func (h *Holder) loseHold(now time.Time, u *trackedUpstream) {
	h.logDecision(Decision{Event: "upstream-fenced", Upstream: u.ID, IsFault: true})
	h.setPhase(u, notHeld)
	u.holder = ""
	u.departed = nil
	h.out.Notices = append(h.out.Notices, Notice{Upstream: u.Upstream, Token: u.token})
	u.takeAllowedAt = now.Add(h.config.RetakeDelay)
	u.refusedToken = u.token
	for _, r := range u.runs {
		r.state = unconfirmed
	}
}

// handleRestart resets the state of an upstream that has a new incarnation: it has seen no
// token, and nothing runs there but starts that it has carried out or may still carry out.
// It is taken under a later token, so that its first list decides on these starts: one that
// is not listed is refused from then on. No answer or stop of the former incarnation does.
// next is the latest report of the new incarnation, or Unreported. news says what has told of the
// restart, for the log, and startedBy when the new incarnation had started at the latest.
func (h *Holder) handleRestart(now time.Time, u *trackedUpstream, next Upstream, news string, startedBy time.Time) {
	d := Decision{Event: "upstream-reborn", Upstream: u.ID, Reason: news, IsFault: len(u.runs) > 0}
	if !u.answeredAt.IsZero() {
		d.Wait = now.Sub(u.answeredAt)
	}
	h.logDecision(d)
	h.tellRestart(now, u, startedBy)
	h.judgeLoss(now, u, lossRestarted)
	h.removeLostRuns(now, u, lossRestarted)
	h.forgetLoss(u)
	u.aliveAt = now
	u.isIsolated = false
	u.restartedAt, u.formerStartedAt = now, u.StartedAt
	u.incarnation = newIncarnation(next)
	u.endFormerLeases(now, &h.config.Timing)
	for _, r := range u.runs {
		r.voidAfter, r.isListed, r.isLocated = 0, false, false
		switch {
		case u.phase != notHeld && !r.discarded && r.state != running:
			// It need not be stopped: the first list decides.
			r.state, r.stopRequestedAt = unanswered, time.Time{}
		case r.state == stopConfirmed:
			r.state = unconfirmed
		}
	}
	if u.phase != notHeld {
		u.token = h.nextToken(now, u)
		h.setPhase(u, taking)
		u.fencedAt = time.Time{}
		u.holdPending, u.holdRetryAt = false, time.Time{}
	}
}

func (h *Holder) resendNotices() {
	for _, u := range h.lookHeld() {
		if u.phase == active || u.phase == releasing {
			h.out.Notices = append(h.out.Notices, Notice{Upstream: u.Upstream, Holder: h.config.VM, Token: u.token})
		}
	}
}

// HolderOf returns the VM that should hold an upstream, or "" if it is not known.
func (h *Holder) HolderOf(id string) string {
	if u := h.upstreams[id]; u != nil {
		return h.preferredHolder(u)
	}
	return ""
}
