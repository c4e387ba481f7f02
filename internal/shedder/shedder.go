// Package shedder decides which jobs a VM refuses when its processor is short: as many as it
// takes to keep the rest prompt, first those that cost it the most work for their priority.
package shedder

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// TargetWait is the mean wait of inputs that a VM keeps to: a task of some 50 ms waits several
	// times, for its order, the answer to its start and its end, and is still on time.
	TargetWait = 10 * time.Millisecond
	// Interval is the interval at which the pressure changes.
	Interval = 100 * time.Millisecond
	// maxRise and maxFall bound the change of the pressure in an interval. It falls slower than it
	// rises, so that returning load does not make the VM late again at once.
	maxRise = 0.1
	maxFall = 0.03
	// maxPressure leaves work that shows whether the VM is still late.
	maxPressure = 0.95
	// meanGain is the weight of the newest job in the mean work of jobs.
	meanGain = 1.0 / 64
)

// Work is what a job costs a VM, in tasks. A lower priority, which has the higher number, makes a job
// count for more.
func Work(tasks, priority int) float64 { return float64(1+max(0, tasks)) * float64(1+max(0, priority)) }

// Level says which jobs are refused: a job of work w with the share Level x w. Zero refuses none.
type Level float64

// Refuses reports whether a job is refused. All parts of a job, and its repeats, get the same verdict
// at all VMs that have the same level.
func (l Level) Refuses(job string, work float64) bool {
	if l <= 0 {
		return false
	}
	return float64(xxhash.Sum64String(job))/math.MaxUint64 < float64(l)*work
}

// Shedder adapts the level of a VM to how late it is. It is not safe for concurrent use.
type Shedder struct {
	// pressure is the share of the offered work to refuse.
	pressure  float64
	meanWork  float64
	waits     time.Duration
	inputs    int
	updatedAt time.Time
}

// New returns a Shedder that refuses nothing.
func New() *Shedder { return &Shedder{} }

// ObserveWait records how long an input has waited until it was handled.
func (s *Shedder) ObserveWait(wait time.Duration) {
	s.waits += max(0, wait)
	s.inputs++
}

// ObserveOffer records the work of a job that was offered, whether it is refused or not.
func (s *Shedder) ObserveOffer(work float64) {
	if s.meanWork == 0 {
		s.meanWork = work
	}
	s.meanWork += (work - s.meanWork) * meanGain
}

// Update adapts the pressure if Interval has passed.
func (s *Shedder) Update(now time.Time) {
	if now.Sub(s.updatedAt) < Interval {
		return
	}
	s.updatedAt = now
	wait := time.Duration(0)
	if s.inputs > 0 {
		wait = s.waits / time.Duration(s.inputs)
	}
	s.waits, s.inputs = 0, 0
	change := maxRise * (float64(wait)/float64(TargetWait) - 1)
	s.pressure = max(0, min(s.pressure+max(-maxFall, min(change, maxRise)), maxPressure))
}

// Level returns the current level.
func (s *Shedder) Level() Level {
	if s.pressure == 0 || s.meanWork == 0 {
		return 0
	}
	return Level(s.pressure / s.meanWork)
}

// Pressure returns the share of the offered work that is refused.
func (s *Shedder) Pressure() float64 { return s.pressure }
