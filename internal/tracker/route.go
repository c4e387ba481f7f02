package tracker

import "time"

// Route returns the VM that relays messages to a VM that is not directly reachable. It is
// empty if messages are sent directly or no route is known. An entry that reaches no state
// VM directly uses an entry that does, and replies take the same route back.
func (t *Tracker) Route(now time.Time, vm string) string {
	p := t.peers[vm]
	if p == nil || t.isDirect(now, p) {
		return ""
	}
	if p.Via != "" && now.Sub(p.ViaAt) < UnreachableAfter && t.IsDirect(now, p.Via) {
		return p.Via
	}
	if !p.IsState || t.ReachesStateVM(now) {
		return ""
	}
	best := ""
	for name, q := range t.peers {
		if !q.IsState && !q.IsLeaving && t.isDirect(now, q) && q.reachesDirectly(vm) && (best == "" || name < best) {
			best = name
		}
	}
	return best
}

// IsDirect reports whether heartbeats of a VM arrive over the direct link to it.
func (t *Tracker) IsDirect(now time.Time, vm string) bool {
	p := t.peers[vm]
	return p != nil && t.isDirect(now, p)
}

func (t *Tracker) isDirect(now time.Time, p *Peer) bool {
	return !p.DirectAt.IsZero() && now.Sub(p.DirectAt) < UnreachableAfter
}

// ReachesStateVM reports whether any state VM is directly reachable.
func (t *Tracker) ReachesStateVM(now time.Time) bool {
	for _, p := range t.peers {
		if p.IsState && t.isDirect(now, p) {
			return true
		}
	}
	return false
}

// ReachesStateVM reports whether the peer, by its last heartbeat, directly reaches a
// state VM.
func (p *Peer) ReachesStateVM() bool {
	for _, n := range p.Neighbours {
		if n.IsState && !n.IsRelayed {
			return true
		}
	}
	return false
}

// reachesDirectly reports whether the peer, by its last heartbeat, directly reaches vm.
func (p *Peer) reachesDirectly(vm string) bool {
	for _, n := range p.Neighbours {
		if n.VM == vm && !n.IsRelayed && n.HeartbeatAge < UnreachableAfter {
			return true
		}
	}
	return false
}
