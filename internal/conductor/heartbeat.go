package conductor

import (
	"time"

	"bronzedrift.example/bronzedrift/internal/messenger/wire"
	"bronzedrift.example/bronzedrift/internal/tracker"
)

func (d *Conductor) isIdle() bool {
	return d.holder.IsIdle() && d.forwarder.Count() == 0
}

// isReady reports whether callers are served here: a configuration is in force
// and a holder with upstreams is within reach.
func (d *Conductor) isReady(now time.Time) bool {
	if d.leaving || d.version.Load() == 0 {
		return false
	}
	for _, p := range d.peers.Heard(now) {
		if p.Load.TotalMilliCores > 0 {
			return true
		}
	}
	return false
}

// isSettled reports whether this VM has listened long enough to know who holds
// what: until all VMs are heard that it has known before, since each tells what it
// holds before its first heartbeat; for a time otherwise, less where all seeds were heard.
func (d *Conductor) isSettled(now time.Time) bool {
	switch {
	case len(d.recalled) == 0 || !d.hearsAll(now, d.recalled):
		d.allHeardAt = time.Time{}
	case d.allHeardAt.IsZero():
		d.allHeardAt = now
	}
	if !d.allHeardAt.IsZero() && now.Sub(d.allHeardAt) >= noticesWait {
		d.hasSettled = true
	}
	if d.hasSettled {
		return true
	}
	age := now.Sub(d.startedAt)
	settle := d.config.Timing.Settle
	if age < settle || age >= settlePatience*settle {
		return age >= settle
	}
	for _, s := range d.config.Seeds {
		if s != d.config.Inner && !d.peers.IsHeard(now, s.String()) {
			return false
		}
	}
	return true
}

func (d *Conductor) hearsAll(now time.Time, vms []string) bool {
	for _, vm := range vms {
		if !d.peers.IsDirect(now, vm) {
			return false
		}
	}
	return true
}

// hasRoomNow reports whether this VM has begun to hold upstreams since the last
// heartbeat: callers wait for that.
func (d *Conductor) hasRoomNow() bool {
	has := d.holder.HasRoom()
	isNew := has && !d.hadRoom
	d.hadRoom = has
	return isNew
}

// noticesWait is how long what VMs hold may come after their first heartbeat, on the
// same link.
const noticesWait = 2 * tickEvery

// settlePatience times the settling time is how long a VM waits for its seeds.
const settlePatience = 2

// heartbeat returns what this VM tells all peers.
func (d *Conductor) heartbeat(now time.Time) tracker.Heartbeat {
	return tracker.Heartbeat{
		VM: d.config.Inner.String(), Incarnation: d.incarnation,
		DataCentre: d.config.DataCentre, IsState: d.config.IsState, IsLeaving: d.leaving, IsReady: d.isSettled(now),
		Configuration: d.version.Load(), Neighbours: d.peers.Neighbours(now, ""), Load: d.holder.Load(now),
	}
}

// beat tells all peers that this VM is alive, and what it offers. State VMs also
// tell entries, more seldom, of the other entries of their data centre.
func (d *Conductor) beat(now time.Time) {
	h := d.heartbeat(now)
	if !d.config.IsState {
		d.peers.Hear(now, h, "")
	}
	pulse := encodeHeartbeat(&h)
	d.beats++
	withEntries := d.config.IsState && d.beats%entriesEvery == 0
	full := map[string]*wire.Pulse{}
	for _, vm := range d.peers.Known() {
		p := d.peers.Peer(vm)
		if !withEntries || p.IsState {
			d.send(now, vm, &wire.Relay{Body: &wire.Relay_Pulse{Pulse: pulse}})
			continue
		}
		if full[p.DataCentre] == nil {
			h.Neighbours = d.peers.Neighbours(now, p.DataCentre)
			full[p.DataCentre] = encodeHeartbeat(&h)
		}
		d.send(now, vm, &wire.Relay{Body: &wire.Relay_Pulse{Pulse: full[p.DataCentre]}})
	}
	for _, s := range d.config.Seeds {
		if d.peers.Peer(s.String()) == nil {
			d.send(now, s.String(), &wire.Relay{Body: &wire.Relay_Pulse{Pulse: pulse}})
		}
	}
}

func (d *Conductor) forget(now time.Time) {
	for _, vm := range d.peers.Forget(now) {
		if !d.isSeed(vm) {
			d.messenger.RemovePeer(vm)
		}
	}
	d.dropWitnesses(now)
	for number, s := range d.sessions {
		if now.Sub(s.usedAt) > forgetAfter {
			delete(d.sessions, number)
		}
	}
	d.publishStateVMs()
}

// forgetAfter is the silence after which an inbound session is forgotten.
const forgetAfter = time.Minute

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
