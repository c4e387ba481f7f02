// Package tracker knows which VMs are within reach. A VM lives by its
// heartbeats, which also name the state VMs that their sender has heard, so that
// VMs find each other from a few seeds and a VM that cannot be heard directly is
// not taken for lost while others hear it.
package tracker

import (
	"slices"
	"sort"
	"time"

	"bronzedrift.example/bronzedrift/internal/holder"
)

// Heartbeat is what a VM says of itself.
type Heartbeat struct {
	VM          string
	Incarnation string
	DataCentre  string
	IsState     bool
	// IsLeaving says that the VM is stopping.
	IsLeaving bool
	// IsReady says that the VM can hold upstreams.
	IsReady bool
	// Configuration is the version in force there.
	Configuration uint64
	Neighbours    []Neighbour
	Load          holder.Load
}

// Neighbour is a VM that the sender of a heartbeat has heard: a state VM, or an
// entry of the receiver's data centre.
type Neighbour struct {
	VM          string
	Incarnation string
	DataCentre  string
	HeardAgo    time.Duration
	IsLeaving   bool
	IsState     bool
	// IsRelayed says that the sender hears it over a third VM.
	IsRelayed bool
}

// Peer is what is known of another VM.
type Peer struct {
	Heartbeat
	// HeardAt is when the VM's own heartbeat was last heard, SeenAt when it or
	// another VM that heard it.
	HeardAt time.Time
	SeenAt  time.Time
	// DirectAt is when it was last heard over a link of its own, ViaAt when over
	// the VM Via.
	DirectAt time.Time
	Via      string
	ViaAt    time.Time
}

// Tracker holds the peers. It is not safe for concurrent use.
type Tracker struct {
	self  string
	peers map[string]*Peer
}

const (
	// HeartbeatEvery is the pause between heartbeats.
	HeartbeatEvery = 100 * time.Millisecond
	// Silence after which a VM is not within reach: three lost heartbeats, and
	// what delays one.
	Silence = 400 * time.Millisecond
	// evidenceSilence is Silence and the way over a third VM, whose heartbeat is as
	// old as the pause between two at most.
	evidenceSilence = Silence + HeartbeatEvery
	// forgetAfter is the silence after which a VM is forgotten.
	forgetAfter = 20 * time.Second
)

// New returns a Tracker of a VM that knows nobody.
func New(self string) *Tracker { return &Tracker{self: self, peers: map[string]*Peer{}} }

// News is what a heartbeat has changed.
type News struct {
	// Found are state VMs that were not known.
	Found []string
	// HasRestarted says that the sender is another process than before.
	HasRestarted bool
}

// Hear takes a heartbeat, which came over the VM via if that is not empty.
func (t *Tracker) Hear(now time.Time, h Heartbeat, via string) News {
	var news News
	p := t.peers[h.VM]
	if p == nil {
		p = &Peer{}
		t.peers[h.VM] = p
		if h.IsState {
			news.Found = append(news.Found, h.VM)
		}
	}
	news.HasRestarted = p.Incarnation != "" && p.Incarnation != h.Incarnation
	p.Heartbeat = h
	p.HeardAt, p.SeenAt = now, now
	if via == "" {
		p.DirectAt = now
	} else {
		p.Via, p.ViaAt = via, now
	}
	for _, n := range h.Neighbours {
		if n.VM != t.self && t.hearOf(now, n) {
			news.Found = append(news.Found, n.VM)
		}
	}
	return news
}

// Refuse notes that a VM does not take connections: it has ended, or is cut off in a
// way that says so. Others may hear it still.
func (t *Tracker) Refuse(vm string) {
	if p := t.peers[vm]; p != nil {
		p.HeardAt, p.DirectAt = time.Time{}, time.Time{}
	}
}

// hearOf takes what another VM says of a third one, and reports whether that is a
// state VM that was not known.
func (t *Tracker) hearOf(now time.Time, n Neighbour) bool {
	p := t.peers[n.VM]
	if p == nil {
		t.peers[n.VM] = &Peer{
			Heartbeat: Heartbeat{VM: n.VM, DataCentre: n.DataCentre, IsState: n.IsState, IsLeaving: n.IsLeaving},
			SeenAt:    now.Add(-n.HeardAgo),
		}
		return n.IsState
	}
	isSameLife := p.Incarnation == n.Incarnation || p.HeardAt.IsZero()
	if at := now.Add(-n.HeardAgo); isSameLife && at.After(p.SeenAt) {
		p.SeenAt = at
		p.IsLeaving = n.IsLeaving
	}
	return false
}

// Peer returns what is known of a VM, nil if nothing is.
func (t *Tracker) Peer(vm string) *Peer { return t.peers[vm] }

// IsHeard reports whether a VM's own heartbeats come.
func (t *Tracker) IsHeard(now time.Time, vm string) bool {
	p := t.peers[vm]
	return p != nil && !p.HeardAt.IsZero() && now.Sub(p.HeardAt) < Silence
}

// Heard returns the VMs whose own heartbeats come, by name.
func (t *Tracker) Heard(now time.Time) []*Peer {
	var list []*Peer
	for vm, p := range t.peers {
		if t.IsHeard(now, vm) {
			list = append(list, p)
		}
	}
	sort.Slice(list, func(i, k int) bool { return list[i].VM < list[k].VM })
	return list
}

// Known returns all known VMs.
func (t *Tracker) Known() []string {
	list := make([]string, 0, len(t.peers))
	for vm := range t.peers {
		list = append(list, vm)
	}
	return list
}

// StateVMs returns all known state VMs.
func (t *Tracker) StateVMs() []string {
	var list []string
	for vm, p := range t.peers {
		if p.IsState {
			list = append(list, vm)
		}
	}
	slices.Sort(list)
	return list
}

// Holders returns the state VMs that are alive as far as this VM or others can
// tell.
func (t *Tracker) Holders(now time.Time) []holder.Peer {
	var list []holder.Peer
	for vm, p := range t.peers {
		if p.IsState && !p.IsLeaving && now.Sub(p.SeenAt) < evidenceSilence {
			list = append(list, holder.Peer{VM: vm, DataCentre: p.DataCentre, CanHold: true, IsReady: p.IsReady})
		}
	}
	sort.Slice(list, func(i, k int) bool { return list[i].VM < list[k].VM })
	return list
}

// Witnesses is how many entries of each other data centre an entry is told of:
// one that hears no state VM asks them.
const Witnesses = 2

// Neighbours returns the VMs to be named in a heartbeat: the state VMs heard, and, if
// a data centre is named, the entries heard of it and a few of each other one.
func (t *Tracker) Neighbours(now time.Time, dataCentre string) []Neighbour {
	var list []Neighbour
	others := map[string]int{}
	for vm, p := range t.peers {
		if !t.IsHeard(now, vm) || !p.IsState && dataCentre == "" {
			continue
		}
		if !p.IsState && p.DataCentre != dataCentre {
			others[p.DataCentre]++
			if others[p.DataCentre] > Witnesses {
				continue
			}
		}
		list = append(list, Neighbour{
			VM: vm, Incarnation: p.Incarnation, DataCentre: p.DataCentre,
			HeardAgo: now.Sub(p.HeardAt), IsLeaving: p.IsLeaving, IsState: p.IsState,
			IsRelayed: !t.isDirect(now, p),
		})
	}
	return list
}

// All returns all known VMs by name, without what a moment later is no longer so.
func (t *Tracker) All() []Neighbour {
	list := make([]Neighbour, 0, len(t.peers))
	for vm, p := range t.peers {
		list = append(list, Neighbour{VM: vm, DataCentre: p.DataCentre, IsState: p.IsState})
	}
	sort.Slice(list, func(i, k int) bool { return list[i].VM < list[k].VM })
	return list
}

// Recall learns a VM that an earlier life of this one has known, which says nothing
// of whether it is still there.
func (t *Tracker) Recall(now time.Time, n Neighbour) {
	if n.VM == t.self || t.peers[n.VM] != nil {
		return
	}
	t.peers[n.VM] = &Peer{
		Heartbeat: Heartbeat{VM: n.VM, DataCentre: n.DataCentre, IsState: n.IsState},
		SeenAt:    now.Add(-evidenceSilence),
	}
}

// Entries returns the known entries, by name.
func (t *Tracker) Entries() []*Peer {
	var list []*Peer
	for _, p := range t.peers {
		if !p.IsState {
			list = append(list, p)
		}
	}
	sort.Slice(list, func(i, k int) bool { return list[i].VM < list[k].VM })
	return list
}

// Forget drops and returns the VMs that were not seen for long.
func (t *Tracker) Forget(now time.Time) []string {
	var gone []string
	for vm, p := range t.peers {
		if now.Sub(p.SeenAt) > forgetAfter {
			delete(t.peers, vm)
			gone = append(gone, vm)
		}
	}
	return gone
}
