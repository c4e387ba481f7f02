package conductor

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"bronzedrift.example/bronzedrift/internal/holder"
	"bronzedrift.example/bronzedrift/internal/tracker"
)

const (
	// fallbackDelay is how long an entry waits after it has dialled other entries before it
	// holds upstreams itself. It leaves time to connect and to receive a heartbeat of one that
	// reaches a state VM.
	fallbackDelay = 150 * time.Millisecond
	// fallbackLinkDelay is the silence of all state VMs after which an entry dials other
	// entries: fallbackDelay before they count as unreachable.
	fallbackLinkDelay = tracker.UnreachableAfter - fallbackDelay
	// fallbackLinkRetention is how long links between entries are kept once a state VM is
	// reachable again, since network failures often recur soon.
	fallbackLinkRetention = 2 * time.Second
	// startupWait is how long a started entry waits for the first heartbeat of a state VM.
	// After a power failure state VMs may start later, and without them the entry knows no
	// upstreams but those that another entry holds.
	startupWait = 2 * time.Second
)

// stateVMMonitor tracks whether an entry reaches any state VM.
type stateVMMonitor struct {
	startedAt time.Time
	// observedAt is when the monitor was last called, and hasSkipped is set if it passed over
	// that call.
	observedAt time.Time
	hasSkipped bool
	// unreachableSince is zero while a state VM is reachable.
	unreachableSince time.Time
	// dialledAt is when other entries were dialled, zero while a state VM is heard.
	dialledAt     time.Time
	everReachable bool
}

// stateVMChange is what an observation of the state VMs asks for.
type stateVMChange struct {
	// dial is set if other entries have to be dialled.
	dial bool
	// lost is set if the last state VM has just become unreachable.
	lost bool
}

// observe records when a state VM was last heard. After a pause of this VM, silence says
// nothing until the heartbeats that wait in its queue are read: the call is passed over, but
// not two in a row, since a slow VM comes late each time.
func (m *stateVMMonitor) observe(now, heardAt time.Time) stateVMChange {
	wasPaused := now.Sub(m.observedAt) > maxMonitorGap && !m.hasSkipped
	m.observedAt, m.hasSkipped = now, false
	silence := now.Sub(heardAt)
	switch {
	case !heardAt.IsZero() && silence < fallbackLinkDelay:
		m.unreachableSince, m.dialledAt, m.everReachable = time.Time{}, time.Time{}, true
		return stateVMChange{}
	case !heardAt.IsZero() && wasPaused:
		m.hasSkipped = true
		return stateVMChange{}
	case !heardAt.IsZero() && silence < tracker.UnreachableAfter:
		m.unreachableSince = time.Time{}
		return stateVMChange{dial: m.dial(now)}
	case !m.unreachableSince.IsZero():
		return stateVMChange{}
	}
	m.unreachableSince = now
	return stateVMChange{dial: m.dial(now), lost: true}
}

// dial reports whether other entries have to be dialled now.
func (m *stateVMMonitor) dial(now time.Time) bool {
	if !m.dialledAt.IsZero() {
		return false
	}
	m.dialledAt = now
	return true
}

// maxMonitorGap is the gap between two observations above which this VM was paused.
const maxMonitorGap = 3 * tickInterval

// allowsFallback reports whether the entry may hold upstreams itself.
func (m *stateVMMonitor) allowsFallback(now time.Time) bool {
	if m.unreachableSince.IsZero() || now.Sub(m.dialledAt) < fallbackDelay {
		return false
	}
	return m.everReachable || now.Sub(m.startedAt) >= startupWait
}

// updateFallback links an entry to other entries when no state VM is heard. They may relay its
// messages, or hold the upstreams of their data centre together with it.
func (d *Conductor) updateFallback(now time.Time) {
	if d.config.IsState {
		return
	}
	change := d.stateVMMonitor.observe(now, d.lastHeardStateVM())
	if change.lost {
		d.logDecisions([]holder.Decision{{Event: "state-vms-lost", IsFault: true}})
	}
	if !change.dial {
		return
	}
	for _, vm := range d.fallbackPeers() {
		d.openLink(vm)
	}
}

// lastHeardStateVM returns when the last heartbeat of any state VM came, zero if none came.
func (d *Conductor) lastHeardStateVM() time.Time {
	var last time.Time
	for _, vm := range d.peers.StateVMs() {
		if p := d.peers.Peer(vm); p.ReceivedAt.After(last) {
			last = p.ReceivedAt
		}
	}
	return last
}

// closeFallbackLinks closes the links to other entries once this entry has reached a state
// VM directly for fallbackLinkRetention. Links that the other entry still needs to reach a
// state VM are kept.
func (d *Conductor) closeFallbackLinks(now time.Time) {
	if d.config.IsState || !d.peers.ReachesStateVM(now) {
		d.noStateVMAt = now
		return
	}
	if now.Sub(d.noStateVMAt) < fallbackLinkRetention {
		return
	}
	for _, vm := range unneededFallbackPeers(now, d.peers, d.config.Inner.String()) {
		d.messenger.RemovePeer(vm)
	}
}

// unneededFallbackPeers returns the entries that do not need this one to reach a state VM.
func unneededFallbackPeers(now time.Time, peers *tracker.Tracker, self string) []string {
	var list []string
	for _, p := range peers.Entries() {
		needsSelf := peers.IsDirect(now, p.VM) && !p.ReachesStateVM()
		if p.VM != self && !needsSelf {
			list = append(list, p.VM)
		}
	}
	return list
}

// fallbackPeers returns the known entries of this data centre and a few of each other one.
func (d *Conductor) fallbackPeers() []string {
	var list []string
	others := map[string][]*tracker.Peer{}
	for _, p := range d.peers.Entries() {
		switch {
		case p.VM == d.config.Inner.String():
		case p.DataCentre == d.config.DataCentre:
			list = append(list, p.VM)
		default:
			others[p.DataCentre] = append(others[p.DataCentre], p)
		}
	}
	for _, entries := range others {
		first := int(hash(d.config.Inner.String()) % uint64(len(entries)))
		for i := range min(tracker.MaxRemoteEntries, len(entries)) {
			list = append(list, entries[(first+i)%len(entries)].VM)
		}
	}
	return list
}

// holderPeers returns the reachable VMs and whether each can hold upstreams. State VMs can;
// in fallback mode the entries of this data centre can. An entry that reaches no other VM
// cannot tell whether the others have failed or it is cut off. It lists the other entries of
// its data centre as well, so that their shares of the upstreams are left to them.
func (d *Conductor) holderPeers(now time.Time) []holder.Peer {
	self := holder.Peer{VM: d.config.Inner.String(), DataCentre: d.config.DataCentre, CanHold: true, IsReady: d.isSettled(now)}
	list := d.peers.LiveStateVMs(now)
	inFallback := !d.config.IsState && len(list) == 0 && d.stateVMMonitor.allowsFallback(now)
	if !d.draining && (d.config.IsState || inFallback) {
		list = append(list, self)
	}
	reachesOthers := false
	for _, p := range d.peers.Reachable(now) {
		if p.IsState || p.VM == self.VM {
			continue
		}
		reachesOthers = true
		canHold := inFallback && !p.IsLeaving && p.DataCentre == d.config.DataCentre
		list = append(list, holder.Peer{VM: p.VM, DataCentre: p.DataCentre, CanHold: canHold, IsReady: canHold})
	}
	if inFallback && !reachesOthers {
		list = append(list, d.otherEntries()...)
	}
	return list
}

// otherEntries returns the other known entries of this data centre, reachable or not.
func (d *Conductor) otherEntries() []holder.Peer {
	var list []holder.Peer
	for _, p := range d.peers.Entries() {
		if p.VM != d.config.Inner.String() && p.DataCentre == d.config.DataCentre {
			list = append(list, holder.Peer{VM: p.VM, DataCentre: p.DataCentre, CanHold: true})
		}
	}
	return list
}

func hash(s string) uint64 { return xxhash.Sum64String(s) }
