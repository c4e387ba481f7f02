package holder

import (
	"net/netip"
	"time"
)

// incarnation is what is known of one incarnation of an upstream. A restart replaces the value as a
// whole, so that nothing known of the former incarnation is applied to the next one.
type incarnation struct {
	// Upstream is the latest report of the incarnation. Its state is Unreported before the first one.
	Upstream
	clock clock
	// clockCeiling bounds the clock from above.
	clockCeiling clock
	// lastEnd is the number of the latest run end processed, and ackedEnd that of the
	// latest one whose acknowledgement has reached the upstream.
	lastEnd, ackedEnd uint64
	lastEndAt         time.Time
	// listedAt is when the incarnation last listed its runs.
	listedAt time.Time
	speed    float64
	// failureRate is a moving average of the share of runs that failed.
	failureRate float64
	failures    int
	pausedUntil time.Time
}

// newIncarnation returns an incarnation of which only a report is known.
func newIncarnation(report Upstream) incarnation { return incarnation{Upstream: report, speed: 1} }

// unreported returns the upstream in an incarnation that has answered at an address and has not
// reported yet. The data centre, which decides who holds the upstream, is that of the host.
func (u *Upstream) unreported(address netip.AddrPort, startedAt time.Time) Upstream {
	return Upstream{ID: u.ID, Address: address, DataCentre: u.DataCentre, StartedAt: startedAt}
}

// hasAnnouncedEnd reports whether the incarnation has said that it drains or leaves.
func (u *Upstream) hasAnnouncedEnd() bool { return u.State == Draining || u.State == Gone }

// describesNothing reports whether the report has none of the facts that the upstream itself reports.
func (u *Upstream) describesNothing() bool {
	return u.Service == "" && u.Rack == "" && len(u.Labels) == 0 && u.Capacity == Capacity{} && u.Sequence == 0 && u.Clock == 0
}

// doubt keeps new runs off a held upstream until it has listed its runs, which the next tick asks for,
// since the known incarnation may not be the current one.
func (u *trackedUpstream) doubt(now time.Time) {
	if u.phase == active {
		u.doubtedAt = now
	}
}

// HandleConnectionEnd processes the end of a connection by an upstream, which may have restarted. If the
// connection was idle, no call tells of it.
func (h *Holder) HandleConnectionEnd(now time.Time, address netip.AddrPort) {
	for _, u := range h.lookHeld() {
		if u.Address == address {
			u.doubt(now)
		}
	}
}
