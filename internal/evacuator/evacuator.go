// Package evacuator decides which upstreams of a data centre may be given work while the data
// centre is being evacuated, and while work returns to it. It reads no clock: each VM that
// holds upstreams has an Evacuator of its own, and the evacuations are agreed on elsewhere.
package evacuator

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"bronzedrift.example/bronzedrift/internal/configurer"
)

// Config holds the settings of an Evacuator.
type Config struct {
	// Deadline is the time from the acknowledgement of an evacuation after which no task may
	// start in the data centre.
	Deadline time.Duration
}

// Access says which tasks may start on an upstream.
type Access int

// The kinds of access, from the least restricted.
const (
	Open Access = iota
	// StartedJobs: only the tasks of jobs that have started, so that none of them is cut short.
	StartedJobs
	Closed
)

// Evacuator holds the phase of each data centre that is or was evacuated. It is not safe for
// concurrent use.
type Evacuator struct {
	config   Config
	revision uint64
	// startedAt is the time of the first call.
	startedAt time.Time
	// isShort is set if capacity has been short since the latest tick.
	isShort     bool
	dataCentres map[string]*dataCentre
}

// dataCentre is a data centre that is being evacuated, is evacuated, or to which work returns.
type dataCentre struct {
	phase    phase
	revision uint64
	// changedAt is when this VM learned of the latest change, or before that if an evacuation
	// would otherwise miss its deadline.
	changedAt time.Time
	// openSteps of the steps upstreams are open; stepAt is when the latest step was taken.
	openSteps int
	stepAt    time.Time
	// runs counts the runs that have ended since windowAt, and slowRuns those that took longer
	// than maxSlowdown times the expected time.
	windowAt       time.Time
	runs, slowRuns int
}

type phase int

const (
	closing phase = iota + 1
	evacuated
	returning
)

const (
	// steps is the number of groups into which the upstreams of a data centre are divided. At
	// 70% load, closing one group of eight in one of four data centres moves 3% of the load.
	steps = 8
	// closingShare is the part of the deadline in which the steps are taken, and
	// startedShare the part in which jobs that have started may still start tasks. The rest is
	// for VMs that learn of the evacuation late: they count from when they learn of it, and at
	// the latest from lateShare of the deadline after the order. What remains then, a tenth, is
	// for start calls that are on their way.
	closingShare = 0.25
	startedShare = 0.5
	lateShare    = 0.4
	// minStep is the shortest time between two steps of a return. It covers the run of a short
	// task and two heartbeats, so that the effect of a step is seen before the next one.
	minStep = 250 * time.Millisecond
	// maxStep is the longest time that slow runs delay the next step: the upstreams may be slow
	// for another reason than that they are cold.
	maxStep = 2 * time.Second
	// minRuns is the number of ended runs of a window that decide on the next step.
	minRuns = 8
	// maxSlowdown is the ratio of run time to expected time above which a run is slow:
	// estimates are off by up to 40%.
	maxSlowdown = 1.5
	// maxReturn is longer than any return takes: the open steps double three times.
	maxReturn = 4 * maxStep
	// startupTime is the time in which a started VM gets the set in force from its disk or from
	// its first links.
	startupTime = 5 * time.Second
)

// New returns an Evacuator that knows no evacuations.
func New(c Config) *Evacuator {
	return &Evacuator{config: c, dataCentres: map[string]*dataCentre{}}
}

// Update applies a newer set of evacuations; one that is not newer is ignored. The first set
// of a VM that has just started tells of the past: a data centre is then closed at once. Work
// returns from the first step to one whose evacuation was cancelled a moment ago, also if the set
// on the disk was older.
func (e *Evacuator) Update(now time.Time, set configurer.EvacuationSet) {
	if set.Revision <= e.revision {
		return
	}
	e.noteStart(now)
	isStarting := now.Sub(e.startedAt) < startupTime
	before := e.revision
	isFirst := before == 0 && isStarting
	e.revision = set.Revision
	for _, v := range set.Evacuations {
		known := e.dataCentres[v.DataCentre]
		switch {
		case known != nil && known.revision >= v.Revision:
		case v.Active:
			e.evacuate(now, &v, isFirst)
		case known != nil:
			known.revision = v.Revision
			known.startReturn(now)
		case isStarting && v.Revision > before && age(now, v.ChangedAt) < maxReturn:
			d := &dataCentre{revision: v.Revision}
			d.startReturn(now)
			e.dataCentres[v.DataCentre] = d
		}
	}
}

// age returns how long ago a wall clock reading was taken, by the clock of another VM that may
// be ahead.
func age(now, at time.Time) time.Duration { return max(now.Sub(at), at.Sub(now)) }

func (e *Evacuator) evacuate(now time.Time, v *configurer.Evacuation, isFirst bool) {
	d := e.dataCentres[v.DataCentre]
	if d == nil {
		d = &dataCentre{openSteps: steps}
		e.dataCentres[v.DataCentre] = d
	}
	d.revision = v.Revision
	if d.phase == closing || d.phase == evacuated {
		return
	}
	since := now.Add(-e.lateness(now, v.ChangedAt))
	d.phase, d.changedAt, d.stepAt = closing, since, since
	if isFirst {
		d.phase, d.openSteps, d.changedAt = evacuated, 0, time.Time{}
		return
	}
	e.close(now, d)
}

// lateness returns by how much this VM has learned of an order later than the time that the
// deadline leaves for that. The wall clock of the VM that proposed the order may differ by as much
// as that time before the steps are affected.
func (e *Evacuator) lateness(now, orderedAt time.Time) time.Duration {
	late := now.Sub(orderedAt) - e.share(lateShare)
	return min(max(0, late), e.config.Deadline)
}

// startReturn opens the first step, or goes on from the steps that are still open.
func (d *dataCentre) startReturn(now time.Time) {
	if d.phase == returning {
		return
	}
	d.phase, d.changedAt, d.stepAt = returning, now, now
	d.openSteps = max(1, d.openSteps)
	d.windowAt, d.runs, d.slowRuns = now, 0, 0
}

func (e *Evacuator) noteStart(now time.Time) {
	if e.startedAt.IsZero() {
		e.startedAt = now
	}
}

// Tick takes the steps that are due, and reports whether the access of any upstream may have
// changed.
func (e *Evacuator) Tick(now time.Time) bool {
	e.noteStart(now)
	hasChanged := false
	for name, d := range e.dataCentres {
		switch d.phase {
		case closing:
			hasChanged = e.close(now, d) || hasChanged
		case returning:
			hasChanged = d.reopen(now, e.isShort) || hasChanged
			if d.openSteps >= steps {
				delete(e.dataCentres, name)
			}
		}
	}
	e.isShort = false
	return hasChanged
}

// close takes the steps of an evacuation that are due.
func (e *Evacuator) close(now time.Time, d *dataCentre) bool {
	interval := e.share(closingShare) / steps
	before := d.openSteps
	for d.openSteps > 0 && now.Sub(d.stepAt) >= interval {
		d.openSteps--
		d.stepAt = d.stepAt.Add(interval)
	}
	if now.Sub(d.changedAt) >= e.share(startedShare) {
		d.phase, d.openSteps = evacuated, 0
		return true
	}
	return d.openSteps != before
}

func (e *Evacuator) share(fraction float64) time.Duration {
	return time.Duration(fraction * float64(e.config.Deadline))
}

// reopen doubles the open steps once the runs of the latest window are not slow, or capacity is
// short: a late answer is better than none.
func (d *dataCentre) reopen(now time.Time, isShort bool) bool {
	sinceStep := now.Sub(d.stepAt)
	isSlow := d.runs >= minRuns && d.slowRuns*2 > d.runs
	switch {
	case isShort:
	case now.Sub(d.windowAt) < minStep:
		return false
	case d.runs < minRuns && sinceStep < 2*minStep:
		return false
	}
	d.windowAt, d.runs, d.slowRuns = now, 0, 0
	if isSlow && sinceStep < maxStep && !isShort {
		return false
	}
	d.openSteps = min(steps, 2*d.openSteps)
	d.stepAt = now
	return true
}

// NoteShortage records that a job waits or is refused since too few upstreams are open.
func (e *Evacuator) NoteShortage() { e.isShort = true }

// ObserveRun records a run that has ended on an upstream of a data centre.
func (e *Evacuator) ObserveRun(dataCentre string, expected, took time.Duration) {
	d := e.dataCentres[dataCentre]
	if d == nil || d.phase != returning || expected <= 0 {
		return
	}
	d.runs++
	if float64(took) > maxSlowdown*float64(expected) {
		d.slowRuns++
	}
}

// Access returns which tasks may start on an upstream of a data centre.
func (e *Evacuator) Access(dataCentre, upstream string) Access {
	d := e.dataCentres[dataCentre]
	switch {
	case d == nil || int(xxhash.Sum64String(upstream)%steps) < d.openSteps:
		return Open
	case d.phase == closing:
		return StartedJobs
	}
	return Closed
}

// IsEvacuated reports whether a data centre is being evacuated or is evacuated.
func (e *Evacuator) IsEvacuated(dataCentre string) bool {
	d := e.dataCentres[dataCentre]
	return d != nil && d.phase != returning
}

// OpenShare returns the share of a data centre's upstreams that are open.
func (e *Evacuator) OpenShare(dataCentre string) float64 {
	if d := e.dataCentres[dataCentre]; d != nil {
		return float64(d.openSteps) / steps
	}
	return 1
}

// Names returns the data centres that are not fully open, in no particular order.
func (e *Evacuator) Names() []string {
	names := make([]string, 0, len(e.dataCentres))
	for name := range e.dataCentres {
		names = append(names, name)
	}
	return names
}
