// Package holder decides what runs on the upstreams that a VM holds. It takes an
// upstream under a fencing token, places the tasks of jobs on it, renews its leases
// and processes the ends of its runs. Exactly one VM at a time holds an upstream; the
// upstream itself enforces that by refusing lower tokens. The package reads no clock
// and opens no socket: calls to upstreams and answers to entries are returned as
// Effects.
package holder

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"bronzedrift.example/bronzedrift/internal/validator"
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
	// Unreported: the incarnation has answered a call, and no report of it has arrived. Its service,
	// labels and capacity are not known, and nothing is started there.
	Unreported State = iota
	Ready
	Draining
	Gone
)

// Upstream is the state of one incarnation of an upstream from its own heartbeats.
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

// ErrInvalidUpstream is returned for an upstream with a value that none can have.
var ErrInvalidUpstream = errors.New("holder: invalid upstream")

const (
	// MaxSequence leaves room for the sequence number of a departure, which is above that of
	// each heartbeat.
	MaxSequence = 1 << 62
	// MaxClock is a century, the longest that an upstream's clock may have run.
	MaxClock = 100 * 365 * 24 * time.Hour
	// MaxToken leaves room for the tokens that follow it.
	MaxToken = 1 << 62
	// maxLabels limits the labels of an upstream, which are sent to all VMs.
	maxLabels = 64
)

// Validate checks an upstream that another program has described, whether it is read from a
// heartbeat, from another VM or from the disk. Its error wraps ErrInvalidUpstream.
func (u *Upstream) Validate(now time.Time) error {
	switch {
	case !validator.IsName(u.ID), !validator.IsText(u.Service, validator.MaxNameBytes), !validator.IsText(u.DataCentre, validator.MaxNameBytes):
		return fmt.Errorf("%w: id, service or data centre", ErrInvalidUpstream)
	case u.State < Unreported || u.State > Gone:
		return fmt.Errorf("%w: state %d", ErrInvalidUpstream, u.State)
	case u.State == Unreported && !u.describesNothing():
		return fmt.Errorf("%w: no state, but a description", ErrInvalidUpstream)
	case !validator.IsDialable(u.Address):
		return fmt.Errorf("%w: address %s", ErrInvalidUpstream, u.Address)
	case !u.Capacity.IsValid():
		return fmt.Errorf("%w: capacity", ErrInvalidUpstream)
	case !validator.IsStartTime(now, u.StartedAt):
		return fmt.Errorf("%w: start time", ErrInvalidUpstream)
	case u.Clock < 0 || u.Clock > MaxClock:
		return fmt.Errorf("%w: clock", ErrInvalidUpstream)
	case u.Sequence > MaxSequence && u.State != Gone:
		return fmt.Errorf("%w: sequence number", ErrInvalidUpstream)
	case len(u.Labels) > maxLabels:
		return fmt.Errorf("%w: %d labels", ErrInvalidUpstream, len(u.Labels))
	}
	for _, text := range append([]string{u.Rack}, u.Labels...) {
		if !validator.IsText(text, validator.MaxNameBytes) {
			return fmt.Errorf("%w: a label", ErrInvalidUpstream)
		}
	}
	return nil
}

// isNewerThan reports whether a heartbeat replaces another: by a later incarnation or,
// within one, by being the first or by a higher sequence number.
func (u *Upstream) isNewerThan(o *Upstream) bool {
	switch {
	case !u.StartedAt.Equal(o.StartedAt):
		return u.StartedAt.After(o.StartedAt)
	case u.State == Unreported || o.State == Unreported:
		return u.State != Unreported
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
