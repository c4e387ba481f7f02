// Package planner keeps capacity for waiting tasks that fit nowhere. Such a task reserves a
// server, and other tasks start there only if they do not delay it.
// It reads no clock, opens no socket and starts no goroutine.
package planner

import (
	"slices"
	"time"
)

// Run is a running task.
type Run struct {
	Needs Capacity
	// EndsAt is the expected end. A run whose expected end is in the past has overrun.
	EndsAt time.Time
}

// Server is a server that may run the task for which a reservation is asked.
type Server struct {
	ID             string
	Capacity, Used Capacity
	// Speed divides the run times of tasks; 0 means 1.
	Speed float64
	Runs  []Run
}

// Task is a waiting task.
type Task struct {
	Needs Capacity
	// RunTime is the expected run time at speed 1.
	RunTime time.Duration
	// LatestStart is the latest start that meets the objective at speed 1.
	WaitsSince, LatestStart time.Time
	// GiveUpAt is when the caller gives up; zero means never.
	GiveUpAt time.Time
}

// Reservation keeps capacity of a server for a task from a future time on.
type Reservation struct {
	Server string
	At     time.Time
	Needs  Capacity
}

const (
	// maxReservedShare bounds the reserved share of the servers, and with it the capacity that
	// is idle because of wrong estimates.
	maxReservedShare = 0.1
	// minWaitedShare is the share of its slack that a task waits before it may reserve. Most
	// tasks start earlier without a reservation.
	minWaitedShare = 0.25
	// maxAttemptsFactor times the number of servers that may be reserved is how often Reserve
	// looks through the servers in a round. It bounds the cost when no server is suitable.
	maxAttemptsFactor = 2
)

// bounds are the rules of reservations. Traces compare New's with others.
type bounds struct {
	maxReservedShare, minWaitedShare float64
	// isObjectiveMet demands that a task still meets its objective at the reserved time.
	isObjectiveMet bool
	// isFirstStart selects the server by the expected start instead of the missing capacity.
	isFirstStart bool
}

// Config holds the settings of a Planner.
type Config struct {
	// SizeClasses holds the upper bounds in MilliCores, ascending, of the classes of Stats. A
	// last class holds the larger tasks.
	SizeClasses []int64
}

// Planner holds the reservations of one placement round. It is not safe for concurrent use.
type Planner struct {
	bounds      bounds
	now         time.Time
	maxReserved int
	attempts    int
	reserved    []reservation
	index       index
	// ends is reused between calls of Reserve.
	ends  []Run
	stats Stats
}

type reservation struct {
	Reservation
	class int
	// released is the capacity that runs free until the reserved time.
	released Capacity
	// free is the free capacity of the server when it was last seen in this round.
	free Capacity
}

// New returns a Planner without reservations.
func New(c Config) *Planner {
	return &Planner{
		bounds: bounds{maxReservedShare: maxReservedShare, minWaitedShare: minWaitedShare, isObjectiveMet: true},
		index:  index{positions: map[string]int{}},
		stats:  newStats(c.SizeClasses),
	}
}

// Begin starts a placement round among a number of servers and forgets all reservations.
func (p *Planner) Begin(now time.Time, servers int) {
	if len(p.reserved) > 0 {
		p.countRound(now)
		p.reserved = p.reserved[:0]
		p.index.clear()
	}
	p.now = now
	p.attempts = 0
	p.maxReserved = int(float64(servers) * p.bounds.maxReservedShare)
}

// MayReserve reports whether a task is within the bounds that do not depend on a server, so
// that callers list the servers for Reserve only if it can succeed.
func (p *Planner) MayReserve(now time.Time, t *Task) bool {
	if len(p.reserved) >= p.maxReserved || p.attempts >= maxAttemptsFactor*p.maxReserved {
		return false
	}
	slack := t.LatestStart.Sub(t.WaitsSince)
	return now.Sub(t.WaitsSince) >= time.Duration(float64(slack)*p.bounds.minWaitedShare)
}

// Reserve reserves a server for a task that fits nowhere: the one where the least capacity is
// missing, among those where enough runs are expected to end in time for its objective. Free
// capacity is certain and expected ends are not, so this succeeds more often than the server
// with the earliest expected start. It returns false if the bounds allow no reservation.
func (p *Planner) Reserve(now time.Time, t *Task, servers []Server) (Reservation, bool) {
	if !p.MayReserve(now, t) {
		return Reservation{}, false
	}
	p.attempts++
	var best candidate
	// least is the free capacity below which more is missing than on the best server. It spares
	// most servers the division.
	var least Capacity
	for i := range servers {
		s := &servers[i]
		free := s.Capacity.minus(s.Used)
		// A server where the task fits was refused by the caller.
		if best.Server != "" && !least.fitsIn(free) || t.Needs.fitsIn(free) {
			continue
		}
		if _, ok := p.index.find(s.ID); ok {
			continue
		}
		c, ok := p.consider(now, t, s, free)
		if !ok || best.Server != "" && !p.isBetter(&c, &best) {
			continue
		}
		best = c
		if !p.bounds.isFirstStart {
			least = t.Needs.without(c.missing)
		}
	}
	if best.Server == "" {
		return Reservation{}, false
	}
	best.class = p.stats.classOf(t.Needs)
	p.stats.Classes[best.class].Reservations++
	p.index.add(best.Server, len(p.reserved))
	p.reserved = append(p.reserved, best.reservation)
	return best.Reservation, true
}

// MayStart reports whether a task that fits on a server now may start there: it ends before
// the reservation of the server begins, or leaves enough capacity for it.
func (p *Planner) MayStart(server string, free, needs Capacity, endsAt time.Time) bool {
	return len(p.reserved) == 0 || p.leavesReservation(server, free, needs, endsAt)
}

func (p *Planner) leavesReservation(server string, free, needs Capacity, endsAt time.Time) bool {
	i, ok := p.index.find(server)
	if !ok {
		return true
	}
	r := &p.reserved[i]
	r.free = free
	if !endsAt.After(r.At) {
		return true
	}
	// Tasks that were started here since the reservation count as if they ran until it.
	return r.Needs.plus(needs).fitsIn(free.plus(r.released))
}

// candidate is a possible reservation of a server.
type candidate struct {
	reservation
	// missing is the share of the needs that is not free.
	missing float64
	end     time.Time
}

func (p *Planner) isBetter(a, b *candidate) bool {
	if !p.bounds.isFirstStart && a.missing != b.missing {
		return a.missing < b.missing
	}
	if !a.At.Equal(b.At) {
		return a.At.Before(b.At)
	}
	return a.end.Before(b.end)
}

// consider returns the candidate of a server with so much free capacity, if there is one
// that meets the objective.
func (p *Planner) consider(now time.Time, t *Task, s *Server, free Capacity) (candidate, bool) {
	runTime := t.runTimeOn(s)
	latest := t.LatestStart.Add(t.RunTime - runTime)
	if !p.bounds.isObjectiveMet {
		latest = now.Add(unboundedDelay)
	}
	if !t.GiveUpAt.IsZero() && t.GiveUpAt.Before(latest) {
		latest = t.GiveUpAt
	}
	at, released, ok := p.earliestStart(now, latest, t, s, free)
	if !ok {
		return candidate{}, false
	}
	r := reservation{Reservation: Reservation{Server: s.ID, At: at, Needs: t.Needs}, released: released, free: free}
	return candidate{reservation: r, missing: t.Needs.shareBeyond(free), end: at.Add(runTime)}, true
}

// unboundedDelay exceeds the run time of any task.
const unboundedDelay = 30 * 24 * time.Hour

// earliestStart returns the time when so many runs of a server have ended that a task fits,
// if it is not after latest, and the capacity that they release. Runs that have overrun are
// not expected to end.
func (p *Planner) earliestStart(now, latest time.Time, t *Task, s *Server, free Capacity) (at time.Time, released Capacity, ok bool) {
	p.ends = p.ends[:0]
	for i := range s.Runs {
		r := &s.Runs[i]
		if !r.EndsAt.Before(now) && !r.EndsAt.After(latest) {
			p.ends = append(p.ends, *r)
			released = released.plus(r.Needs)
		}
	}
	if !t.Needs.fitsIn(free.plus(released)) {
		return time.Time{}, Capacity{}, false
	}
	slices.SortFunc(p.ends, func(a, b Run) int { return a.EndsAt.Compare(b.EndsAt) })
	released = Capacity{}
	for i := range p.ends {
		released = released.plus(p.ends[i].Needs)
		if t.Needs.fitsIn(free.plus(released)) {
			return p.ends[i].EndsAt, released, true
		}
	}
	return time.Time{}, Capacity{}, false
}

func (t *Task) runTimeOn(s *Server) time.Duration {
	if s.Speed <= 0 {
		return t.RunTime
	}
	return time.Duration(float64(t.RunTime) / s.Speed)
}
