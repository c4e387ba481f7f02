// Package holder decides what runs on the upstreams that a VM holds. It takes an
// upstream under a fencing token, places the tasks of jobs on it, renews its leases
// and processes the ends of its runs. Exactly one VM at a time holds an upstream; the
// upstream itself enforces that by refusing lower tokens. The package reads no clock
// and opens no socket: calls to upstreams and answers to entries are returned as
// Effects.
package holder

import (
	"net/netip"
	"slices"
	"time"
)

// Capacity is what an upstream offers or a task needs.
type Capacity struct {
	MilliCores   int64
	MemoryMB     int64
	Accelerators int64
}

// IsValid reports whether no figure is negative or above MaxCapacity.
func (c Capacity) IsValid() bool {
	for _, n := range []int64{c.MilliCores, c.MemoryMB, c.Accelerators} {
		if n < 0 || n > MaxCapacity {
			return false
		}
	}
	return true
}

func (c Capacity) plus(o Capacity) Capacity {
	return Capacity{c.MilliCores + o.MilliCores, c.MemoryMB + o.MemoryMB, c.Accelerators + o.Accelerators}
}

func (c Capacity) minus(o Capacity) Capacity {
	return Capacity{c.MilliCores - o.MilliCores, c.MemoryMB - o.MemoryMB, c.Accelerators - o.Accelerators}
}

func (c Capacity) fitsIn(in Capacity) bool {
	return c.MilliCores <= in.MilliCores && c.MemoryMB <= in.MemoryMB && c.Accelerators <= in.Accelerators
}

// State is the state that an upstream reports of itself.
type State int

// The states of an upstream.
const (
	Ready State = iota + 1
	Draining
	Gone
)

// Upstream is the state of an upstream from its own heartbeats.
type Upstream struct {
	ID         string
	Service    string
	Address    netip.AddrPort
	DataCentre string
	Rack       string
	Labels     []string
	Capacity   Capacity
	State      State
	// StartedAt is when this incarnation of the upstream started, zero if it doesn't report it.
	StartedAt time.Time
	// Sequence orders the heartbeats of one incarnation.
	Sequence uint64
	// Clock is the upstream's monotonic clock when it sent the heartbeat.
	Clock time.Duration
}

// isNewerThan reports whether a heartbeat replaces another: by a later incarnation or,
// within one, by a higher sequence number.
func (u *Upstream) isNewerThan(o *Upstream) bool {
	if !u.StartedAt.Equal(o.StartedAt) {
		return u.StartedAt.After(o.StartedAt)
	}
	return u.Sequence > o.Sequence
}

// needsNotice reports whether other VMs must be notified of the heartbeat at once.
func (u *Upstream) needsNotice(o *Upstream) bool {
	return u.State != o.State || !u.StartedAt.Equal(o.StartedAt) || u.Address != o.Address || u.Capacity != o.Capacity
}

func (u *Upstream) hasLabel(label string) bool {
	return label == "" || slices.Contains(u.Labels, label)
}

// Notice is a heartbeat forwarded between VMs, with the holder of the upstream.
type Notice struct {
	Upstream Upstream
	Holder   string
	Token    uint64
}
