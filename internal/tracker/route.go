package tracker

import "time"

// Route returns the VM over which messages reach another one that is not heard
// directly. It is empty where they go over its own link, or no way is known: an
// entry that hears no state VM itself reaches them over an entry that does, and
// is answered the same way.
func (t *Tracker) Route(now time.Time, vm string) string {
	p := t.peers[vm]
	if p == nil || t.isDirect(now, p) {
		return ""
	}
	if p.Via != "" && now.Sub(p.ViaAt) < Silence && t.IsDirect(now, p.Via) {
		return p.Via
	}
	if !p.IsState || t.HearsStateVM(now) {
		return ""
	}
	best := ""
	for name, q := range t.peers {
		if !q.IsState && !q.IsLeaving && t.isDirect(now, q) && q.hears(vm) && (best == "" || name < best) {
			best = name
		}
	}
	return best
}

// IsDirect reports whether a VM is heard over a link of its own.
func (t *Tracker) IsDirect(now time.Time, vm string) bool {
	p := t.peers[vm]
	return p != nil && t.isDirect(now, p)
}

func (t *Tracker) isDirect(now time.Time, p *Peer) bool {
	return !p.DirectAt.IsZero() && now.Sub(p.DirectAt) < Silence
}

// HearsStateVM reports whether a state VM is heard directly.
func (t *Tracker) HearsStateVM(now time.Time) bool {
	for _, p := range t.peers {
		if p.IsState && t.isDirect(now, p) {
			return true
		}
	}
	return false
}

// HearsStateVM reports whether a VM has said last that it hears a state VM directly.
func (p *Peer) HearsStateVM() bool {
	for _, n := range p.Neighbours {
		if n.IsState && !n.IsRelayed {
			return true
		}
	}
	return false
}

// hears reports whether a VM has said last that it hears another one directly.
func (p *Peer) hears(vm string) bool {
	for _, n := range p.Neighbours {
		if n.VM == vm && !n.IsRelayed && n.HeardAgo < Silence {
			return true
		}
	}
	return false
}
