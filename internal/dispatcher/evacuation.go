package dispatcher

import (
	"fmt"
	"sort"
	"time"

	"bronzedrift.example/bronzedrift/internal/recorder"
	"bronzedrift.example/bronzedrift/internal/router"
	"bronzedrift.example/bronzedrift/internal/scheduler"
)

// Evacuation is the latest change of one data centre that was evacuated at some
// time. While it is active, no task is started on upstreams of the data centre.
type Evacuation struct {
	DataCentre string
	Active     bool
	Revision   uint64
	ChangedAt  time.Time
}

const (
	// returnPeriod is how long after a cancellation an entry that becomes the
	// lessor of the data centre begins the return of its upstreams from the
	// first step.
	returnPeriod = 30 * time.Second
	// evacuatedRetryAfter is the least time after which a job that was refused
	// because of evacuations may be submitted again. Up to the same time is
	// added at random, so that callers do not all return at once.
	evacuatedRetryAfter = 3 * time.Second
)

const evacuatedMessage = "all data centres that could run the tasks are evacuated"

// handleEvacuations puts a newer set of evacuations into force. Data centres that
// the set does not name keep their state.
func (d *Dispatcher) handleEvacuations(now time.Time, set []Evacuation) {
	changed := false
	for _, e := range set {
		known := d.evacuations[e.DataCentre]
		if e.Revision <= known.Revision {
			continue
		}
		d.evacuations[e.DataCentre] = e
		changed = true
		d.recordEvent(recorder.Event{Number: recorder.EvacuationChanged, Task: recorder.NoTask, Text: e.text()})
		if known.Active || e.isReturning(now) {
			d.beginReturn(e.DataCentre)
		}
	}
	if changed {
		d.moveEvacuatedDemands(now)
	}
}

func (e *Evacuation) text() string {
	state := "serving"
	if e.Active {
		state = "evacuated"
	}
	return fmt.Sprintf("%s is %s, revision %d", e.DataCentre, state, e.Revision)
}

// isReturning reports whether the evacuation was cancelled a short time ago.
func (e *Evacuation) isReturning(now time.Time) bool {
	return !e.Active && e.Revision > 0 && now.Sub(e.ChangedAt) < returnPeriod
}

// beginReturn begins the return of the upstreams of a data centre if this entry is
// its lessor and the data centre is not evacuated.
func (d *Dispatcher) beginReturn(dataCentre string) {
	if d.isLessor(dataCentre) && !d.isEvacuated(dataCentre) {
		d.localLessors[dataCentre].scheduler.BeginReturn()
	}
}

func (d *Dispatcher) isEvacuated(dataCentre string) bool {
	return d.evacuations[dataCentre].Active
}

func (d *Dispatcher) isAnyEvacuated() bool {
	for _, e := range d.evacuations {
		if e.Active {
			return true
		}
	}
	return false
}

// offeredLoad returns the load that a lessor reports: an evacuated data centre
// offers no slots.
func (d *Dispatcher) offeredLoad(dataCentre string, l scheduler.Load) scheduler.Load {
	if d.isEvacuated(dataCentre) {
		l.Slots, l.FreeSlots = 0, 0
	}
	return l
}

// moveEvacuatedDemands moves the demands of queued jobs from evacuated data centres
// to others. A job that can run nowhere else is refused if nothing of it has been
// started. Otherwise its running tasks go on, and the rest waits for the end of
// the evacuation or the job's timeout.
func (d *Dispatcher) moveEvacuatedDemands(now time.Time) {
	check := d.newEvacuationCheck(now)
	for _, j := range d.jobsToMove() {
		if check.isJobEvacuated(j.Job) && d.provenRan(j) == NotRun && d.isAbsenceProven(now, j) {
			d.refuseEvacuated(now, j)
			continue
		}
		for g := range j.groups {
			d.moveGroup(j, g, check)
		}
	}
}

// jobsToMove returns the queued jobs with a demand at an evacuated data centre or
// with waiting tasks that no demand covers.
func (d *Dispatcher) jobsToMove() []*job {
	var list []*job
	for _, j := range d.deadlines {
		if j.state != jobQueued || j.admission == admissionRequested {
			continue
		}
		for g := range j.groups {
			if atEvacuated, uncovered := d.misplaced(&j.groups[g]); atEvacuated+uncovered > 0 {
				list = append(list, j)
				break
			}
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].ID < list[b].ID })
	return list
}

// misplaced returns how many tasks of a group wait at evacuated data centres, and
// how many are covered by no demand.
func (d *Dispatcher) misplaced(g *group) (atEvacuated, uncovered int) {
	uncovered = len(g.waiting)
	for dc, count := range g.requested {
		uncovered -= count
		if d.isEvacuated(dc) {
			atEvacuated += count
		}
	}
	return atEvacuated, max(0, uncovered)
}

// moveGroup requests slots elsewhere for the tasks of a group that wait at evacuated
// data centres. If there is no other data centre for them, they stay there.
func (d *Dispatcher) moveGroup(j *job, index int, check *evacuationCheck) {
	g := &j.groups[index]
	atEvacuated, uncovered := d.misplaced(g)
	if atEvacuated > 0 && !check.isEvacuated(placement{j.Service, g.shape}) && len(d.servingCandidates(j, g)) > 0 {
		for _, dc := range d.router.DataCentres() {
			if d.isEvacuated(dc) {
				d.withdrawFrom(j, index, dc, g.requested[dc])
			}
		}
		uncovered += atEvacuated
	}
	if uncovered > 0 {
		d.requestGroup(j, index, uncovered)
	}
}

// returnEvacuatedGrant returns a slot lease on an upstream of an evacuated data
// centre, whose lessor has not learned of the evacuation or already of its end.
// Without another data centre, the next check of the evacuations requests the slot
// again, since requesting it at once would be answered by the same lease at once.
func (d *Dispatcher) returnEvacuatedGrant(from string, j *job, index int, g *scheduler.Grant) {
	d.returnUnusedGrant(from, g, scheduler.Unused)
	if len(d.servingCandidates(j, &j.groups[index])) > 0 {
		d.requestMissing(j, index)
	}
}

// placement is what decides in which data centres a task can run.
type placement struct {
	service string
	shape   scheduler.Shape
}

// evacuationCheck tells which tasks could run in evacuated data centres only. It
// remembers its findings, so that a pass over many jobs scans the upstreams once
// for each placement.
type evacuationCheck struct {
	d        *Dispatcher
	now      time.Time
	findings map[placement]bool
}

func (d *Dispatcher) newEvacuationCheck(now time.Time) *evacuationCheck {
	return &evacuationCheck{d: d, now: now, findings: map[placement]bool{}}
}

// isJobEvacuated reports whether some task of a job could run in evacuated data
// centres only.
func (c *evacuationCheck) isJobEvacuated(s *Job) bool {
	for i := range s.Tasks {
		if i > 0 && s.Tasks[i].Shape == s.Tasks[i-1].Shape {
			continue
		}
		if c.isEvacuated(placement{s.Service, s.Tasks[i].Shape}) {
			return true
		}
	}
	return false
}

func (c *evacuationCheck) isEvacuated(p placement) bool {
	finding, ok := c.findings[p]
	if !ok {
		finding = c.d.isPlacementEvacuated(c.now, p)
		c.findings[p] = finding
	}
	return finding
}

func (d *Dispatcher) isPlacementEvacuated(now time.Time, p placement) bool {
	evacuated := false
	for name, u := range d.upstreams {
		if u.Leaving || !u.Capacity.Fits(p.shape) || !u.offers(p.service) || d.router.IsDown(router.SubjectUpstream, name) {
			continue
		}
		if d.isEvacuated(u.DataCentre) {
			evacuated = true
			continue
		}
		if d.mayReachLessor(now, u.DataCentre) {
			return false
		}
	}
	return evacuated
}

// mayReachLessor reports whether the lessor of a data centre is reachable, or was
// until a short time ago: a link that was lost is usually open again soon.
func (d *Dispatcher) mayReachLessor(now time.Time, dataCentre string) bool {
	if d.isLessorReachable(dataCentre) {
		return true
	}
	vm, ok := d.router.Lessor(dataCentre)
	lostAt := d.startedAt
	if at, wasLinked := d.linkLostAt[vm]; wasLinked {
		lostAt = at
	}
	return ok && now.Sub(lostAt) < unreachableWait
}

// refuseEvacuated refuses a job of which nothing has been started.
func (d *Dispatcher) refuseEvacuated(now time.Time, j *job) {
	d.withdraw(j)
	d.counts.Refused++
	jitter := time.Duration(d.random.Int64N(int64(evacuatedRetryAfter)))
	d.endJob(now, j, &Answer{
		JobID: j.ID, Home: j.Home, Outcome: Failed, Ran: NotRun, Reason: Evacuated,
		Message: evacuatedMessage, RetryAfter: evacuatedRetryAfter + jitter,
	})
}

// EvacuationView is an evacuation and the number of tasks that this entry started
// on upstreams of the data centre and that still run.
type EvacuationView struct {
	Evacuation
	RunningTasks int
}

// evacuationViews returns the known evacuations, sorted by data centre.
func (d *Dispatcher) evacuationViews() []EvacuationView {
	if len(d.evacuations) == 0 {
		return nil
	}
	running := d.runningByDataCentre()
	list := make([]EvacuationView, 0, len(d.evacuations))
	for dc, e := range d.evacuations {
		list = append(list, EvacuationView{Evacuation: e, RunningTasks: running[dc]})
	}
	sort.Slice(list, func(a, b int) bool { return list[a].DataCentre < list[b].DataCentre })
	return list
}

// runningByDataCentre counts the starts of this entry whose end is not known, and
// the inherited tasks that are awaited.
func (d *Dispatcher) runningByDataCentre() map[string]int {
	running := map[string]int{}
	for _, r := range d.runs {
		running[d.dataCentreOfUpstream(r.Upstream)]++
	}
	for _, j := range d.jobs {
		for i := range j.tasks {
			t := &j.tasks[i]
			if _, isOwn := d.runs[runKey{j.ID, i, j.epoch}]; t.phase == taskRunning && !isOwn {
				running[d.dataCentreOfUpstream(t.upstream)]++
			}
		}
	}
	return running
}

func (d *Dispatcher) dataCentreOfUpstream(name string) string {
	if u := d.upstreams[name]; u != nil {
		return u.DataCentre
	}
	return ""
}
