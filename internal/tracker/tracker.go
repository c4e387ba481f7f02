// Package tracker keeps track of which VMs are reachable. Reachability is based on
// heartbeats. They also name the state VMs from which their sender receives heartbeats, so
// that VMs discover each other from a few seeds, and a VM whose heartbeats do not arrive
// directly is not considered lost while others receive them.
package tracker

import (
	"slices"
	"sort"
	"time"

	"bronzedrift.example/bronzedrift/internal/holder"
)

// Heartbeat is the state that a VM reports periodically.
type Heartbeat struct {
	VM          string
	Incarnation string
	DataCentre  string
	IsState     bool
	// IsLeaving is set while the VM is stopping.
	IsLeaving bool
	// IsReady is set if the VM can hold upstreams.
	IsReady bool
	// Configuration is the configuration version in force at the VM.
	Configuration uint64
	// Evacuations is the revision of the evacuations in force at the VM.
	Evacuations uint64
	Neighbours  []Neighbour
	Load        holder.Load
}

// Neighbour is a VM from which the sender of a heartbeat receives heartbeats: a state VM,
// an entry of the receiver's data centre, or one of a few entries of each other one.
type Neighbour struct {
	VM           string
	Incarnation  string
	DataCentre   string
	HeartbeatAge time.Duration
	IsLeaving    bool
	IsState      bool
	// IsRelayed is set if its heartbeats reach the sender over a third VM.
	IsRelayed bool
}

// Peer holds the last heartbeat of another VM and when it was received.
type Peer struct {
	Heartbeat
	// ReceivedAt is when the VM's own heartbeat was last received. SeenAt also takes into
	// account when other VMs received it.
	ReceivedAt time.Time
	SeenAt     time.Time
	// DirectAt is when a heartbeat was last received over the direct link, ViaAt when
	// over the VM Via.
	DirectAt time.Time
	Via      string
	ViaAt    time.Time
}

// Tracker holds the known peers of a VM. It is not safe for concurrent use.
type Tracker struct {
	self  string
	peers map[string]*Peer
}

const (
	// HeartbeatInterval is the interval between heartbeats.
	HeartbeatInterval = 100 * time.Millisecond
	// UnreachableAfter is the time without heartbeats after which a VM is unreachable:
	// three lost heartbeats and the delay of one.
	UnreachableAfter = 400 * time.Millisecond
	// neighbourUnreachableAfter is the timeout for VMs that are only reported by others.
	// It adds to UnreachableAfter the age of the report, which is at most one heartbeat
	// interval.
	neighbourUnreachableAfter = UnreachableAfter + HeartbeatInterval
	// forgetAfter is the time after which a VM that nobody reports is removed.
	forgetAfter = 20 * time.Second
)

// New returns a Tracker for the VM self, without peers.
func New(self string) *Tracker { return &Tracker{self: self, peers: map[string]*Peer{}} }

// HeartbeatResult is what changed with a received heartbeat.
type HeartbeatResult struct {
	// Found lists state VMs that were not known before.
	Found []string
	// HasRestarted is set if the sender's incarnation has changed.
	HasRestarted bool
}

// HandleHeartbeat handles a received heartbeat. If via is not empty, that VM has relayed it.
func (t *Tracker) HandleHeartbeat(now time.Time, h Heartbeat, via string) HeartbeatResult {
	var result HeartbeatResult
	p := t.peers[h.VM]
	if p == nil {
		p = &Peer{}
		t.peers[h.VM] = p
		if h.IsState {
			result.Found = append(result.Found, h.VM)
		}
	}
	result.HasRestarted = p.Incarnation != "" && p.Incarnation != h.Incarnation
	p.Heartbeat = h
	p.ReceivedAt, p.SeenAt = now, now
	if via == "" {
		p.DirectAt = now
	} else {
		p.Via, p.ViaAt = via, now
	}
	for _, n := range h.Neighbours {
		if n.VM != t.self && t.mergeNeighbour(now, n) {
			result.Found = append(result.Found, n.VM)
		}
	}
	return result
}

// MarkUnreachable records that a VM refuses connections: its process has ended, or the
// network rejects connections to it. Other VMs may still receive its heartbeats.
func (t *Tracker) MarkUnreachable(vm string) {
	if p := t.peers[vm]; p != nil {
		p.ReceivedAt, p.DirectAt = time.Time{}, time.Time{}
	}
}

// mergeNeighbour updates a peer from another VM's heartbeat, and reports whether the peer
// is a state VM that was not known before. If this VM has received a heartbeat of the peer
// itself, reports of another incarnation are ignored.
func (t *Tracker) mergeNeighbour(now time.Time, n Neighbour) bool {
	p := t.peers[n.VM]
	if p == nil {
		t.peers[n.VM] = &Peer{
			Heartbeat: Heartbeat{VM: n.VM, DataCentre: n.DataCentre, IsState: n.IsState, IsLeaving: n.IsLeaving},
			SeenAt:    now.Add(-n.HeartbeatAge),
		}
		return n.IsState
	}
	isSameIncarnation := p.Incarnation == n.Incarnation || p.ReceivedAt.IsZero()
	if at := now.Add(-n.HeartbeatAge); isSameIncarnation && at.After(p.SeenAt) {
		p.SeenAt = at
		p.IsLeaving = n.IsLeaving
	}
	return false
}

// Peer returns a known VM, or nil.
func (t *Tracker) Peer(vm string) *Peer { return t.peers[vm] }

// IsReachable reports whether a VM is reachable, directly or over a third VM.
func (t *Tracker) IsReachable(now time.Time, vm string) bool {
	p := t.peers[vm]
	return p != nil && !p.ReceivedAt.IsZero() && now.Sub(p.ReceivedAt) < UnreachableAfter
}

// Reachable returns the reachable VMs, sorted by name.
func (t *Tracker) Reachable(now time.Time) []*Peer {
	var list []*Peer
	for vm, p := range t.peers {
		if t.IsReachable(now, vm) {
			list = append(list, p)
		}
	}
	sort.Slice(list, func(i, k int) bool { return list[i].VM < list[k].VM })
	return list
}

// Known returns the names of all known VMs.
func (t *Tracker) Known() []string {
	list := make([]string, 0, len(t.peers))
	for vm := range t.peers {
		list = append(list, vm)
	}
	return list
}

// StateVMs returns the names of all known state VMs, sorted.
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

// LiveStateVMs returns the state VMs that are reachable from this VM or from others, except
// those that are stopping.
func (t *Tracker) LiveStateVMs(now time.Time) []holder.Peer {
	var list []holder.Peer
	for vm, p := range t.peers {
		if p.IsState && !p.IsLeaving && now.Sub(p.SeenAt) < neighbourUnreachableAfter {
			list = append(list, holder.Peer{VM: vm, DataCentre: p.DataCentre, CanHold: true, IsReady: p.IsReady})
		}
	}
	sort.Slice(list, func(i, k int) bool { return list[i].VM < list[k].VM })
	return list
}

// MaxRemoteEntries is how many entries of each other data centre a heartbeat names at
// most. An entry that loses its last state VM links to as many, which may relay its
// messages.
const MaxRemoteEntries = 2

// Neighbours returns the VMs to be named in a heartbeat: the reachable state VMs and, if
// dataCentre is not empty, its reachable entries and a few of each other data centre.
func (t *Tracker) Neighbours(now time.Time, dataCentre string) []Neighbour {
	var list []Neighbour
	others := map[string]int{}
	for vm, p := range t.peers {
		if !t.IsReachable(now, vm) || !p.IsState && dataCentre == "" {
			continue
		}
		if !p.IsState && p.DataCentre != dataCentre {
			others[p.DataCentre]++
			if others[p.DataCentre] > MaxRemoteEntries {
				continue
			}
		}
		list = append(list, Neighbour{
			VM: vm, Incarnation: p.Incarnation, DataCentre: p.DataCentre,
			HeartbeatAge: now.Sub(p.ReceivedAt), IsLeaving: p.IsLeaving, IsState: p.IsState,
			IsRelayed: !t.isDirect(now, p),
		})
	}
	return list
}

// All returns all known VMs, sorted by name, without their volatile state.
func (t *Tracker) All() []Neighbour {
	list := make([]Neighbour, 0, len(t.peers))
	for vm, p := range t.peers {
		list = append(list, Neighbour{VM: vm, DataCentre: p.DataCentre, IsState: p.IsState})
	}
	sort.Slice(list, func(i, k int) bool { return list[i].VM < list[k].VM })
	return list
}

// Restore adds a VM that an earlier incarnation of this one knew. The VM does not count as
// alive until a heartbeat of it is received.
func (t *Tracker) Restore(now time.Time, n Neighbour) {
	if n.VM == t.self || t.peers[n.VM] != nil {
		return
	}
	t.peers[n.VM] = &Peer{
		Heartbeat: Heartbeat{VM: n.VM, DataCentre: n.DataCentre, IsState: n.IsState},
		SeenAt:    now.Add(-neighbourUnreachableAfter),
	}
}

// Entries returns the known entries, sorted by name.
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

// Forget removes and returns the VMs that nobody has reported for forgetAfter.
func (t *Tracker) Forget(now time.Time) []string {
	var forgotten []string
	for vm, p := range t.peers {
		if now.Sub(p.SeenAt) > forgetAfter {
			delete(t.peers, vm)
			forgotten = append(forgotten, vm)
		}
	}
	return forgotten
}
