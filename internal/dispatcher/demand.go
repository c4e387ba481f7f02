package dispatcher

import (
	"time"

	"bronzedrift.example/bronzedrift/internal/scheduler"
)

// requestSlots requests slots for all waiting tasks of a job. If the team has
// a quota, the home lessor must admit the job first.
func (d *Dispatcher) requestSlots(j *job) {
	total := 0
	for g := range j.groups {
		total += len(j.groups[g].waiting)
	}
	d.queuedTasks += total
	if total == 0 {
		return
	}
	team := d.teams[j.Team]
	if (team.TasksInFlight > 0 || team.StartsPerSecond > 0) && j.admission == admissionNone {
		if lessor, ok := d.router.Lessor(j.Home); ok {
			j.admission = admissionRequested
			d.requestAdmission(j, lessor)
			return
		}
	}
	if j.admission != admissionRequested {
		d.requestAllGroups(j)
	}
}

func (d *Dispatcher) requestAdmission(j *job, lessor string) {
	d.send(lessor, Message{Demand: &scheduler.Demand{
		Job: j.ID, Holder: d.config.VM, Team: j.Team, Service: j.Service, DataCentre: j.Home,
		Count: len(j.tasks), AdmissionOnly: true,
	}})
}

func (d *Dispatcher) requestAllGroups(j *job) {
	for g := range j.groups {
		d.requestGroup(j, g, len(j.groups[g].waiting))
	}
}

// handleAdmission handles the home lessor's decision on a job under its team's
// quota.
func (d *Dispatcher) handleAdmission(now time.Time, a *Admission) {
	j := d.jobs[a.Job]
	if j == nil || j.admission != admissionRequested || j.state != jobQueued {
		return
	}
	if !a.OK {
		j.admission = admissionNone
		d.failOverQuota(now, j, a.RetryAfter)
		return
	}
	j.admission = admissionGranted
	d.requestAllGroups(j)
}

func (d *Dispatcher) failOverQuota(now time.Time, j *job, retryAfter time.Duration) {
	d.withdraw(j)
	d.counts.Refused++
	d.endJob(now, j, &Answer{
		JobID: j.ID, Home: j.Home, Outcome: Failed, Ran: d.provenRan(j), Reason: OverQuota,
		Message: "team: the quota is used up", RetryAfter: retryAfter,
	})
}

// returnQuota returns the quota of a job that has ended or moved.
func (d *Dispatcher) returnQuota(j *job) {
	if j.admission != admissionGranted {
		return
	}
	j.admission = admissionNone
	if lessor, ok := d.router.Lessor(j.Home); ok {
		d.send(lessor, Message{Settlement: &Settlement{DataCentre: j.Home, Team: j.Team, Count: len(j.tasks)}})
	}
}

// requestGroup splits the demand for count tasks of a group among the data
// centres.
func (d *Dispatcher) requestGroup(j *job, group, count int) {
	shares := d.splitDemand(j, &j.groups[group], count)
	for _, s := range shares {
		d.sendDemand(j, group, s.dataCentre, s.count)
	}
}

// sendDemand asks the lessor of one data centre for count slots.
func (d *Dispatcher) sendDemand(j *job, index int, dataCentre string, count int) {
	if count <= 0 {
		return
	}
	g := &j.groups[index]
	g.requested[dataCentre] += count
	lessor, ok := d.router.Lessor(dataCentre)
	if !ok {
		return
	}
	d.send(lessor, Message{Demand: &scheduler.Demand{
		Job: demandID(j.ID, index), Holder: d.config.VM, Team: j.Team, Service: j.Service, DataCentre: dataCentre,
		Shape: g.shape, Count: count, DeclaredRunTime: g.meanDeclared, Work: j.totalWork, Arrival: j.arrivedAt,
	}})
}

// withdraw withdraws all waiting demands of a job.
func (d *Dispatcher) withdraw(j *job) {
	if j.state != jobQueued {
		return
	}
	for i := range j.groups {
		g := &j.groups[i]
		d.queuedTasks -= len(g.waiting)
		g.waiting = nil
		for _, dc := range d.router.DataCentres() {
			d.withdrawFrom(j, i, dc, g.requested[dc])
		}
	}
}

func (d *Dispatcher) withdrawFrom(j *job, group int, dataCentre string, count int) {
	if count <= 0 {
		return
	}
	g := &j.groups[group]
	g.requested[dataCentre] -= count
	if lessor, ok := d.router.Lessor(dataCentre); ok {
		d.send(lessor, Message{Withdraw: &Withdraw{DataCentre: dataCentre, Job: demandID(j.ID, group), Count: count}})
	}
}

// demandShare is the part of a demand that one data centre is asked for.
type demandShare struct {
	dataCentre string
	count      int
}

const (
	// remoteMarginResponse and remoteMarginMessages are, for each weighting,
	// how much wait a task must save by running in another data centre. They
	// allow for the round trip and the age of that data centre's load report.
	remoteMarginResponse = 5 * time.Millisecond
	remoteMarginMessages = 100 * time.Millisecond
	// assumedRunTime is the run time of tasks that declare none.
	assumedRunTime = 250 * time.Millisecond
)

func (d *Dispatcher) remoteMargin() time.Duration {
	if d.config.Weighting == ByMessages {
		return remoteMarginMessages
	}
	return remoteMarginResponse
}

// splitDemand chooses how many of count tasks wait at each data centre so that
// all data centres are expected to end their part at about the same time. A
// remote data centre is asked
// only if that saves more than remoteMargin.
func (d *Dispatcher) splitDemand(j *job, g *group, count int) []demandShare {
	runTime := max(g.meanDeclared, time.Millisecond)
	if j.Tasks == nil || g.meanDeclared == 0 {
		runTime = assumedRunTime
	}
	remaining := count
	shares := d.candidates(j, g)
	if len(shares) == 1 {
		return []demandShare{{shares[0].dataCentre, count}}
	}
	result := make([]demandShare, len(shares))
	for i := range shares {
		result[i].dataCentre = shares[i].dataCentre
	}
	for remaining > 0 {
		best := 0
		for i := range shares {
			if shares[i].expectedFinish(runTime) < shares[best].expectedFinish(runTime) {
				best = i
			}
		}
		batch := min(remaining, shares[best].batchSize())
		result[best].count += batch
		shares[best].assigned += batch
		remaining -= batch
	}
	return result
}

// candidate is a data centre that could run tasks of a job.
type candidate struct {
	dataCentre   string
	slots        int
	free         int
	wait         time.Duration
	remoteMargin time.Duration
	assigned     int
}

// expectedFinish returns the expected end of the next task assigned to c.
func (c *candidate) expectedFinish(runTime time.Duration) time.Duration {
	excess := max(0, c.assigned-c.free)
	queue := time.Duration(float64(runTime) * float64(excess) / float64(max(1, c.slots)))
	wait := c.wait
	if c.assigned < c.free {
		wait = 0
	}
	return c.remoteMargin + wait + queue
}

// batchSize returns how many tasks are assigned at once, which bounds the work
// for large jobs.
func (c *candidate) batchSize() int {
	if c.assigned < c.free {
		return c.free - c.assigned
	}
	return max(1, c.slots/16)
}

// candidates returns the data centres whose lessors may be asked for slots. If
// none serves the tasks, they wait at an evacuated data centre that could, for the
// end of the evacuation, or else at home.
func (d *Dispatcher) candidates(j *job, g *group) []candidate {
	if list := d.servingCandidates(j, g); len(list) > 0 {
		return list
	}
	for _, dc := range d.router.DataCentres() {
		if d.isEvacuated(dc) && d.isLessorReachable(dc) && d.hasCapacityIn(dc, j.Service, g.shape) {
			return []candidate{{dataCentre: dc, slots: 1}}
		}
	}
	return []candidate{{dataCentre: j.Home, slots: 1}}
}

// servingCandidates returns the home data centre first, then those with a known
// load report, leaving out any that is evacuated, offers no slots or has no
// reachable lessor or no upstream for the tasks.
func (d *Dispatcher) servingCandidates(j *job, g *group) []candidate {
	var list []candidate
	for _, dc := range d.router.DataCentres() {
		if d.isEvacuated(dc) || !d.isLessorReachable(dc) || !d.hasCapacityIn(dc, j.Service, g.shape) {
			continue
		}
		c := candidate{dataCentre: dc, slots: 1}
		if dc != j.Home {
			c.remoteMargin = d.remoteMargin()
		}
		load, ok := d.loadOf(dc, j.Service)
		if !ok && dc != j.Home || ok && load.Slots == 0 {
			continue
		}
		c.slots, c.free, c.wait = max(1, load.Slots), load.FreeSlots, load.ExpectedWait
		if load.Waiting > 0 {
			c.free = 0
		}
		if dc == j.Home {
			list = append([]candidate{c}, list...)
		} else {
			list = append(list, c)
		}
	}
	return list
}

func (d *Dispatcher) hasCapacityIn(dataCentre, service string, shape scheduler.Shape) bool {
	if dataCentre == d.config.DataCentre {
		return d.localLessor(dataCentre).scheduler.HasCapacity(service, shape)
	}
	for _, u := range d.upstreams {
		if u.DataCentre == dataCentre && u.Capacity.Fits(shape) && u.offers(service) {
			return true
		}
	}
	return false
}

// loadOf returns the latest known load of a service in a data centre.
func (d *Dispatcher) loadOf(dataCentre, service string) (scheduler.Load, bool) {
	if d.isLessor(dataCentre) {
		load, ok := d.localLessors[dataCentre].scheduler.LoadOf(service)
		return d.offeredLoad(dataCentre, load), ok
	}
	for _, l := range d.loads[dataCentre].Services {
		if l.Service == service {
			return l, true
		}
	}
	return scheduler.Load{}, false
}

// shortestWait returns the shortest expected wait of a service in any data
// centre, zero if none is known.
func (d *Dispatcher) shortestWait(service string) time.Duration {
	best := time.Duration(-1)
	for _, dc := range d.router.DataCentres() {
		load, ok := d.loadOf(dc, service)
		if !ok || load.Slots == 0 {
			continue
		}
		if best < 0 || load.ExpectedWait < best {
			best = load.ExpectedWait
		}
	}
	return max(0, best)
}

// rebalanceMinTasks is the least number of waiting tasks that is worth
// rebalancing.
const rebalanceMinTasks = 2

// rebalance moves half of the tasks waiting at the data centre with most of
// them to one that has just granted the last slot requested of it.
func (d *Dispatcher) rebalance(j *job, index int, dataCentre string) {
	g := &j.groups[index]
	if d.config.Weighting == ByMessages || g.requested[dataCentre] > 0 || len(g.waiting) < rebalanceMinTasks {
		return
	}
	var busiest string
	for dc, count := range g.requested {
		if count > g.requested[busiest] || count == g.requested[busiest] && dc < busiest {
			busiest = dc
		}
	}
	count := g.requested[busiest] / 2
	if busiest == "" || count == 0 {
		return
	}
	from, _ := d.loadOf(busiest, j.Service)
	to, ok := d.loadOf(dataCentre, j.Service)
	if !ok || to.ExpectedWait+d.remoteMargin() > from.ExpectedWait && dataCentre != j.Home {
		return
	}
	d.withdrawFrom(j, index, busiest, count)
	d.sendDemand(j, index, dataCentre, count)
}
