package conductor

import (
	"slices"
	"time"

	"bronzedrift.example/bronzedrift/internal/holder"
	"bronzedrift.example/bronzedrift/internal/messenger/wire"
	"bronzedrift.example/bronzedrift/internal/tracker"
)

func (d *Conductor) isIdle() bool {
	return d.holder.IsIdle() && d.forwarder.Count() == 0
}

// isReady reports whether this VM can serve callers: a configuration is in force and a
// holder with upstreams is reachable. If all upstreams are evacuated, callers get their refusal
// from here as well as from any other VM.
func (d *Conductor) isReady(now time.Time) bool {
	if d.draining || d.version.Load() == 0 {
		return false
	}
	for _, p := range d.peers.Reachable(now) {
		if p.Load.TotalMilliCores > 0 || p.Load.IsEvacuated {
			return true
		}
	}
	return false
}

// isSettled reports whether this VM has waited long enough after its start to know which
// VM holds which upstream. That is so once all VMs known before the restart have been
// directly reachable for noticeGracePeriod, since each sends its notices before its first
// heartbeat or shortly after. Otherwise this VM waits for the settling time, and up to
// maxSettleFactor times that until the seeds are reachable.
func (d *Conductor) isSettled(now time.Time) bool {
	switch {
	case len(d.restoredVMs) == 0 || !d.areDirectlyReachable(now, d.restoredVMs):
		d.allReachableSince = time.Time{}
	case d.allReachableSince.IsZero():
		d.allReachableSince = now
	}
	if !d.allReachableSince.IsZero() && now.Sub(d.allReachableSince) >= noticeGracePeriod {
		d.settled = true
	}
	if d.settled {
		return true
	}
	age := now.Sub(d.startedAt)
	settle := d.config.Timing.Settle
	if age < settle || age >= maxSettleFactor*settle {
		return age >= settle
	}
	for _, s := range d.config.Seeds {
		if s != d.config.Inner && !d.peers.IsReachable(now, s.String()) {
			return false
		}
	}
	return true
}

func (d *Conductor) areDirectlyReachable(now time.Time, vms []string) bool {
	for _, vm := range vms {
		if !d.peers.IsDirect(now, vm) {
			return false
		}
	}
	return true
}

// hasStartedHolding reports whether this VM has begun to hold upstreams since the last
// call. The next heartbeat is then sent at once, because entries send this VM no orders
// before it, and callers may be waiting.
func (d *Conductor) hasStartedHolding() bool {
	has := d.holder.HoldsUpstreams()
	isNew := has && !d.heldUpstreams
	d.heldUpstreams = has
	return isNew
}

// noticeGracePeriod is how long after the first heartbeat of a VM its notices may still
// arrive on the same link.
const noticeGracePeriod = 2 * tickInterval

// maxSettleFactor limits the wait for the seeds, as a multiple of the settling time.
const maxSettleFactor = 2

// currentHeartbeat returns the heartbeat to send to all peers.
func (d *Conductor) currentHeartbeat(now time.Time) tracker.Heartbeat {
	return tracker.Heartbeat{
		VM: d.config.Inner.String(), Incarnation: d.incarnation,
		DataCentre: d.config.DataCentre, IsState: d.config.IsState, IsLeaving: d.draining, IsReady: d.isSettled(now),
		Configuration: d.version.Load(), Evacuations: d.keeper.Evacuations().Revision, Neighbours: d.peers.Neighbours(now, ""), Load: d.holder.Load(now),
	}
}

// sendHeartbeats sends a heartbeat to all peers. At longer intervals, state VMs include
// the entries in the heartbeats to entries: those of the receiver's data centre and a few
// of each other one.
func (d *Conductor) sendHeartbeats(now time.Time) {
	h := d.currentHeartbeat(now)
	if !d.config.IsState {
		// The forwarder looks for holders among the peers, and this VM may be one.
		d.peers.HandleHeartbeat(now, h, "")
	}
	pulse := encodeHeartbeat(&h)
	d.heartbeatCount++
	withEntries := d.config.IsState && d.heartbeatCount%heartbeatsPerEntryList == 0
	pulseByDataCentre := map[string]*wire.Pulse{}
	for _, vm := range d.peers.Known() {
		p := d.peers.Peer(vm)
		if !withEntries || p.IsState {
			d.send(now, vm, &wire.Relay{Body: &wire.Relay_Pulse{Pulse: pulse}})
			continue
		}
		if pulseByDataCentre[p.DataCentre] == nil {
			h.Neighbours = d.peers.Neighbours(now, p.DataCentre)
			pulseByDataCentre[p.DataCentre] = encodeHeartbeat(&h)
		}
		d.send(now, vm, &wire.Relay{Body: &wire.Relay_Pulse{Pulse: pulseByDataCentre[p.DataCentre]}})
	}
	for _, s := range d.config.Seeds {
		if d.peers.Peer(s.String()) == nil {
			d.send(now, s.String(), &wire.Relay{Body: &wire.Relay_Pulse{Pulse: pulse}})
		}
	}
}

func (d *Conductor) cleanUp(now time.Time) {
	for _, vm := range d.peers.Forget(now) {
		if !d.isSeed(vm) && !slices.Contains(d.linkedMembers, vm) {
			d.messenger.RemovePeer(vm)
		}
	}
	d.linkMembers()
	d.closeFallbackLinks(now)
	d.updateGauges(now)
	if report, isLate := d.lateness.report(now); isLate {
		d.logDecisions([]holder.Decision{report})
	}
	for number, s := range d.sessions {
		if now.Sub(s.lastUsedAt) > sessionRetention {
			delete(d.sessions, number)
		}
	}
	d.publishStateVMs()
}

// linkMembers opens links to the members of the replicated log, which needs them to elect a
// leader even if no VM has reported them. It closes those to VMs that are neither members nor
// known any more.
func (d *Conductor) linkMembers() {
	members := d.keeper.MemberVMs()
	for _, vm := range members {
		d.openLink(vm)
	}
	for _, vm := range d.linkedMembers {
		if !slices.Contains(members, vm) && d.peers.Peer(vm) == nil && !d.isSeed(vm) {
			d.messenger.RemovePeer(vm)
		}
	}
	d.linkedMembers = members
}

// sessionRetention is how long an inbound session without messages is kept.
const sessionRetention = time.Minute

func (d *Conductor) isSeed(vm string) bool {
	for _, s := range d.config.Seeds {
		if s.String() == vm {
			return true
		}
	}
	return false
}

func (d *Conductor) publishStateVMs() {
	list := d.peers.StateVMs()
	for _, s := range d.config.Seeds {
		if d.peers.Peer(s.String()) == nil && s != d.config.Inner {
			list = append(list, s.String())
		}
	}
	d.stateVMs.Store(&list)
}
