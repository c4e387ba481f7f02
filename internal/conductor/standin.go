package conductor

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"bronzedrift.example/bronzedrift/internal/holder"
	"bronzedrift.example/bronzedrift/internal/tracker"
)

const (
	// standInAfter is how long an entry that hears no state VM listens to other
	// entries, which may hear one, before it holds upstreams itself: a dial, and a
	// heartbeat.
	standInAfter = 150 * time.Millisecond
	// witnessKeep is how long links between entries are kept once state VMs are
	// heard again: trouble often comes back at once.
	witnessKeep = 2 * time.Second
	// firstHearing is how long an entry that has started waits for a first word of
	// a state VM: after a loss of power these may start later, and without them the
	// entry knows of no upstreams that another entry does not hold.
	firstHearing = 2 * time.Second
)

// absence is what an entry knows of the state VMs' absence.
type absence struct {
	startedAt time.Time
	// since is when the entry lost sight of all state VMs, zero while it hears one.
	since    time.Time
	hasHeard bool
}

// observe notes whether a state VM is heard, and reports whether the last has just
// been lost.
func (a *absence) observe(now time.Time, hears bool) bool {
	if hears {
		a.since, a.hasHeard = time.Time{}, true
		return false
	}
	if !a.since.IsZero() {
		return false
	}
	a.since = now
	return true
}

// allowsStandIn reports whether the entry may hold upstreams itself.
func (a *absence) allowsStandIn(now time.Time) bool {
	if a.since.IsZero() || now.Sub(a.since) < standInAfter {
		return false
	}
	return a.hasHeard || now.Sub(a.startedAt) >= firstHearing
}

// standIn links entries to each other while they see no state VM, so that they
// hold the upstreams of their data centre meanwhile.
func (d *Conductor) standIn(now time.Time) {
	if d.config.IsState {
		return
	}
	if !d.absence.observe(now, d.hearsStateVM(now)) {
		return
	}
	d.logDecisions([]holder.Decision{{Event: "state-vms-lost", IsFault: true}})
	for _, vm := range d.witnesses() {
		d.link(vm)
	}
}

// dropWitnesses ends the links to entries that are not needed any more: both ends have
// heard a state VM for a time.
func (d *Conductor) dropWitnesses(now time.Time) {
	if d.config.IsState || !d.peers.HearsStateVM(now) {
		d.witnessedAt = now
		return
	}
	if now.Sub(d.witnessedAt) < witnessKeep {
		return
	}
	for _, vm := range unneededWitnesses(now, d.peers, d.config.Inner.String()) {
		d.messenger.RemovePeer(vm)
	}
}

// unneededWitnesses returns the entries that do not need this one to reach state VMs.
func unneededWitnesses(now time.Time, peers *tracker.Tracker, self string) []string {
	var list []string
	for _, p := range peers.Entries() {
		needsUs := peers.IsDirect(now, p.VM) && !p.HearsStateVM()
		if p.VM != self && !needsUs {
			list = append(list, p.VM)
		}
	}
	return list
}

func (d *Conductor) hearsStateVM(now time.Time) bool {
	for _, p := range d.peers.Heard(now) {
		if p.IsState {
			return true
		}
	}
	return false
}

// witnesses returns the entries of this data centre and a few of each other one.
func (d *Conductor) witnesses() []string {
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
		for i := range min(tracker.Witnesses, len(entries)) {
			list = append(list, entries[(first+i)%len(entries)].VM)
		}
	}
	return list
}

// withinReach returns the VMs within reach. To hold upstreams are the state VMs,
// or the entries of this data centre while none of those is there. An entry that hears
// no VM at all cannot tell whether it or the others are cut off: it leaves the
// other entries their shares.
func (d *Conductor) withinReach(now time.Time) []holder.Peer {
	self := holder.Peer{VM: d.config.Inner.String(), DataCentre: d.config.DataCentre, CanHold: true, IsReady: d.isSettled(now)}
	list := d.peers.Holders(now)
	standsIn := !d.config.IsState && len(list) == 0 && d.absence.allowsStandIn(now)
	if !d.leaving && (d.config.IsState || standsIn) {
		list = append(list, self)
	}
	hearsOthers := false
	for _, p := range d.peers.Heard(now) {
		if p.IsState || p.VM == self.VM {
			continue
		}
		hearsOthers = true
		canHold := standsIn && !p.IsLeaving && p.DataCentre == d.config.DataCentre
		list = append(list, holder.Peer{VM: p.VM, DataCentre: p.DataCentre, CanHold: canHold, IsReady: canHold})
	}
	if standsIn && !hearsOthers {
		list = append(list, d.unheardEntries()...)
	}
	return list
}

// unheardEntries returns the other known entries of this data centre.
func (d *Conductor) unheardEntries() []holder.Peer {
	var list []holder.Peer
	for _, p := range d.peers.Entries() {
		if p.VM != d.config.Inner.String() && p.DataCentre == d.config.DataCentre {
			list = append(list, holder.Peer{VM: p.VM, DataCentre: p.DataCentre, CanHold: true})
		}
	}
	return list
}

func hash(s string) uint64 { return xxhash.Sum64String(s) }
