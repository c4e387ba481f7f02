package holder

import (
	"time"

	"bronzedrift.example/bronzedrift/internal/planner"
)

// SizeClasses are the upper bounds, in thousandths of a core, of the size classes of tasks in
// the figures on reservations. A last class has the larger tasks.
var SizeClasses = []int64{4000, 8000, 16_000}

// beginReservations starts a round of placement without reservations.
func (h *Holder) beginReservations(now time.Time) {
	if h.planner == nil {
		return
	}
	usable := 0
	for _, u := range h.lookHeld() {
		if u.isUsable(now) {
			usable++
		}
	}
	h.planner.Begin(now, usable)
}

// leavesReservation reports whether a task that fits on an upstream delays no task that has
// reserved capacity there.
func (h *Holder) leavesReservation(now time.Time, u *trackedUpstream, t *task, s *Step) bool {
	if h.planner == nil {
		return true
	}
	endsAt := now.Add(h.penalizedRunTime(u, t, s))
	return h.planner.MayStart(u.ID, planned(u.Capacity.minus(u.used)), planned(s.Needs), endsAt)
}

// reserve asks for capacity that is expected to come free for a task that fits nowhere.
func (h *Holder) reserve(now time.Time, t *task, s *Step) {
	if h.planner == nil {
		return
	}
	j := t.job
	p := planner.Task{
		Needs: planned(s.Needs), RunTime: s.Estimate, WaitsSince: j.arrivedAt, LatestStart: j.latestStart, GiveUpAt: j.abandonAt(),
	}
	if !h.planner.MayReserve(now, &p) {
		return
	}
	r, ok := h.planner.Reserve(now, &p, h.reservable(now, t, s))
	if !ok || t.reservedOn == r.Server {
		return
	}
	t.reservedOn = r.Server
	h.logDecision(Decision{
		Event: "capacity-reserved", Job: j.ID, Request: j.Request, Task: t.name, Upstream: r.Server, Wait: r.At.Sub(now),
	})
}

// reservable lists the upstreams that may run a task, with what runs there.
func (h *Holder) reservable(now time.Time, t *task, s *Step) []planner.Server {
	h.servers, h.serverRuns = h.servers[:0], h.serverRuns[:0]
	for _, u := range h.lookHeld() {
		if u.Service != t.job.Service || u.isIsolated || !u.isOperational(now) || !u.admits(t.job) || !u.hasLabel(s.Label) || !h.mayRun(u, t, s) {
			continue
		}
		first := len(h.serverRuns)
		for _, r := range u.runs {
			h.serverRuns = append(h.serverRuns, planner.Run{Needs: planned(r.needs), EndsAt: r.sentAt.Add(r.expected)})
		}
		h.servers = append(h.servers, planner.Server{
			ID: u.ID, Capacity: planned(u.Capacity), Used: planned(u.used), Speed: u.speed, Runs: h.serverRuns[first:len(h.serverRuns):len(h.serverRuns)],
		})
	}
	return h.servers
}

func planned(c Capacity) planner.Capacity {
	return planner.Capacity{MilliCores: c.MilliCores, MemoryMB: c.MemoryMB, Accelerators: c.Accelerators}
}

// Reservations returns the figures on reservations, empty if placement does not look ahead.
func (h *Holder) Reservations() planner.Stats {
	if h.planner == nil {
		return planner.Stats{}
	}
	return h.planner.Stats()
}
