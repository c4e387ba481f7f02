package planner

import (
	"slices"
	"time"
)

// Stats counts reservations since New.
type Stats struct {
	Classes []ClassStats
}

// ClassStats counts the reservations of the tasks of one size class.
type ClassStats struct {
	// UpTo is the upper bound of the class in MilliCores; 0 means none.
	UpTo int64
	// Reservations counts a task once for each round in which it reserves.
	Reservations int
	// Late counts reservations whose time had passed when the next round began: a run that
	// they were based on had overrun.
	Late int
	// ReservedCoreSeconds is the reserved capacity times the time until the next round.
	ReservedCoreSeconds float64
	// IdleCoreSeconds is the part of it that was free. It includes capacity that no other
	// task could have used.
	IdleCoreSeconds float64
}

// Stats returns a copy of the figures since New.
func (p *Planner) Stats() Stats {
	return Stats{Classes: slices.Clone(p.stats.Classes)}
}

func newStats(bounds []int64) Stats {
	s := Stats{Classes: make([]ClassStats, len(bounds)+1)}
	for i, b := range bounds {
		s.Classes[i].UpTo = b
	}
	return s
}

func (s *Stats) classOf(needs Capacity) int {
	last := len(s.Classes) - 1
	for i := range s.Classes[:last] {
		if needs.MilliCores <= s.Classes[i].UpTo {
			return i
		}
	}
	return last
}

// countRound adds the figures of the round that ends now.
func (p *Planner) countRound(now time.Time) {
	seconds := max(0, now.Sub(p.now).Seconds())
	for i := range p.reserved {
		r := &p.reserved[i]
		c := &p.stats.Classes[r.class]
		if r.At.Before(now) {
			c.Late++
		}
		cores := float64(r.Needs.MilliCores) / 1000
		c.ReservedCoreSeconds += cores * seconds
		c.IdleCoreSeconds += min(cores, float64(max(0, r.free.MilliCores))/1000) * seconds
	}
}
