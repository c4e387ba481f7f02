package dispatcher

import (
	"time"

	"bronzedrift.example/bronzedrift/internal/limiter"
	"bronzedrift.example/bronzedrift/internal/recorder"
	"bronzedrift.example/bronzedrift/internal/router"
	"bronzedrift.example/bronzedrift/internal/scheduler"
)

// lessor leases the slots of one data centre's upstreams to the entries. Every
// entry keeps this state for its own data centre, but only the active one
// grants.
type lessor struct {
	dataCentre string
	scheduler  *scheduler.Scheduler
	active     bool
	grantAfter time.Time
	quotas     map[string]*limiter.Quota
	shares     map[string]*quotaShare
	// admitted counts the admitted tasks in flight by holder and team.
	admitted        map[string]map[string]int
	teamDemands     map[string]float64
	orphanReleaseAt map[string]time.Time
	lastReportAt    time.Time
	lastReport      []scheduler.Load
}

const (
	// lessorGrace is how long a new lessor collects the leases in use before
	// it grants any.
	lessorGrace = 30 * time.Millisecond
	// orphanLeaseTTL is how long the leases of an entry that is down remain in
	// use.
	orphanLeaseTTL = time.Second
	// maxReportInterval and minReportInterval bound the time between two load
	// reports.
	maxReportInterval = time.Second
	minReportInterval = 50 * time.Millisecond
	// demandDecay is the factor applied to a team's demand at each report.
	demandDecay = 0.8
	// quotaDemandFloor is added to the demand of each data centre, in tasks,
	// so that one without demand keeps a small share of each quota.
	quotaDemandFloor = 1.0
)

func newLessor(dataCentre string, policy scheduler.Policy) *lessor {
	return &lessor{
		dataCentre:      dataCentre,
		scheduler:       scheduler.New(policy),
		quotas:          map[string]*limiter.Quota{},
		shares:          map[string]*quotaShare{},
		admitted:        map[string]map[string]int{},
		teamDemands:     map[string]float64{},
		orphanReleaseAt: map[string]time.Time{},
	}
}

func (l *lessor) announce(u *Upstream, down bool) {
	l.scheduler.Announce(scheduler.Upstream{
		Name: u.Name, Capacity: u.Capacity, Services: u.Services, Leaving: u.Leaving, StartedAt: u.MemorySince,
	})
	l.scheduler.SetDown(u.Name, down)
}

// orphanLeases withdraws the demands of an entry that is down at once, and
// schedules the release of its leases for when the tasks it started have had
// time to end.
func (l *lessor) orphanLeases(now time.Time, vm string) {
	l.scheduler.WithdrawHolder(vm)
	l.orphanReleaseAt[vm] = now.Add(orphanLeaseTTL)
}

// recordAdmission adds to the tasks of a team in flight at a holder.
func (l *lessor) recordAdmission(holder, team string, count int) {
	if l.admitted[holder] == nil {
		l.admitted[holder] = map[string]int{}
	}
	l.admitted[holder][team] += count
}

// returnQuota returns the quota of tasks that were admitted for a holder.
func (l *lessor) returnQuota(holder, team string, count int) {
	count = min(count, l.admitted[holder][team])
	if q := l.quotas[team]; q != nil && count > 0 {
		q.Return(count)
		l.admitted[holder][team] -= count
	}
}

// releaseHolder releases all leases and all quota of a holder.
func (l *lessor) releaseHolder(holder string) {
	l.scheduler.ReleaseHolder(holder)
	for team, count := range l.admitted[holder] {
		l.returnQuota(holder, team, count)
	}
	delete(l.admitted, holder)
}

// localLessor returns the lessor state kept here for a data centre and creates
// it if there is none.
func (d *Dispatcher) localLessor(dataCentre string) *lessor {
	l := d.localLessors[dataCentre]
	if l != nil {
		return l
	}
	l = newLessor(dataCentre, d.config.Policy)
	d.localLessors[dataCentre] = l
	for _, u := range d.orderedUpstreams() {
		if u.DataCentre == dataCentre {
			l.announce(u, d.router.IsDown(router.SubjectUpstream, u.Name))
		}
	}
	return l
}

func (d *Dispatcher) isLessor(dataCentre string) bool {
	l := d.localLessors[dataCentre]
	return l != nil && l.active
}

// isLessorReachable reports whether the lessor of a data centre is this entry
// or a linked peer.
func (d *Dispatcher) isLessorReachable(dataCentre string) bool {
	vm, ok := d.router.Lessor(dataCentre)
	return ok && (vm == d.config.VM || d.linked[vm])
}

func (d *Dispatcher) lessorOfUpstream(name string) (string, bool) {
	u := d.upstreams[name]
	if u == nil {
		return "", false
	}
	return d.router.Lessor(u.DataCentre)
}

// checkLessor handles a change of the entry that leases the slots of a data
// centre.
func (d *Dispatcher) checkLessor(now time.Time, dataCentre string) {
	vm, ok := d.router.Lessor(dataCentre)
	if !ok || d.lessorVMs[dataCentre] == vm {
		return
	}
	d.lessorVMs[dataCentre] = vm
	d.recordEvent(recorder.Event{Number: recorder.LessorChanged, Peer: vm, Task: recorder.NoTask, Text: dataCentre})
	d.setLessorActive(now, dataCentre, vm == d.config.VM)
	d.sendHoldingsAndDemands(dataCentre, vm)
}

// setLessorActive starts or stops granting. The state is cleared when granting
// stops and not when it starts: entries that learned of the change earlier
// have already sent their holdings and demands by the time it starts.
func (d *Dispatcher) setLessorActive(now time.Time, dataCentre string, active bool) {
	if !active && d.localLessors[dataCentre] == nil {
		return
	}
	l := d.localLessor(dataCentre)
	switch {
	case active && !l.active:
		l.grantAfter = now.Add(lessorGrace)
		if e := d.evacuations[dataCentre]; e.isReturning(now) {
			l.scheduler.BeginReturn()
		}
	case !active && l.active:
		l.scheduler.Clear()
		clear(l.quotas)
		clear(l.shares)
		clear(l.admitted)
	}
	l.active = active
}

// resyncLessor sends a newly linked peer the holdings and demands of the data
// centres that it is the lessor of.
func (d *Dispatcher) resyncLessor(peer string) {
	for _, dc := range d.router.DataCentres() {
		if d.lessorVMs[dc] == peer {
			d.sendHoldingsAndDemands(dc, peer)
		}
	}
}

// auditInterval is the time between two comparisons of the demands made here
// with the waiting tasks that the lessors report.
const auditInterval = time.Second

// auditDemands sends the holdings and demands again to a lessor that has twice
// in a row reported fewer waiting tasks than this entry alone has there:
// messages to it were lost when a process ended.
func (d *Dispatcher) auditDemands(now time.Time) {
	if now.Sub(d.lastAuditAt) < auditInterval {
		return
	}
	d.lastAuditAt = now
	requested := map[string]int{}
	for _, j := range d.deadlines {
		for g := range j.groups {
			for dc, count := range j.groups[g].requested {
				requested[dc] += count
			}
		}
	}
	for _, dc := range d.router.DataCentres() {
		if requested[dc] <= d.reportedWaiting(dc) {
			d.demandShortfalls[dc] = 0
			continue
		}
		d.demandShortfalls[dc]++
		if vm, ok := d.router.Lessor(dc); ok && d.demandShortfalls[dc] > 1 {
			d.demandShortfalls[dc] = 0
			d.sendHoldingsAndDemands(dc, vm)
		}
	}
}

func (d *Dispatcher) reportedWaiting(dataCentre string) int {
	total := 0
	for _, l := range d.loads[dataCentre].Services {
		total += l.Waiting
	}
	return total
}

// redistributeDemands moves the demands made at a lessor that has become
// unreachable to data centres with a reachable lessor.
func (d *Dispatcher) redistributeDemands(peer string) {
	for _, dc := range d.router.DataCentres() {
		if d.lessorVMs[dc] != peer {
			continue
		}
		for _, j := range d.orderedJobs() {
			if j.state != jobQueued {
				continue
			}
			for g := range j.groups {
				count := j.groups[g].requested[dc]
				j.groups[g].requested[dc] = 0
				d.requestGroup(j, g, count)
			}
		}
	}
}

// sendHoldingsAndDemands sends a lessor the leases and the quota that this entry
// holds of its data centre, and the demands of all queued jobs for it.
func (d *Dispatcher) sendHoldingsAndDemands(dataCentre, lessorVM string) {
	h := &Holdings{DataCentre: dataCentre}
	for _, r := range d.runs {
		if u := d.upstreams[r.Upstream]; u != nil && u.DataCentre == dataCentre {
			h.Leases = append(h.Leases, Lease{Upstream: r.Upstream, Team: r.Team, Shape: r.Shape})
		}
	}
	jobs := d.orderedJobs()
	for _, j := range jobs {
		if j.Home != dataCentre || j.answer != nil {
			continue
		}
		if j.admission == admissionGranted {
			h.Admitted = append(h.Admitted, Settlement{Team: j.Team, Count: len(j.tasks)})
		}
	}
	d.send(lessorVM, Message{Holdings: h})
	for _, j := range jobs {
		if j.state != jobQueued {
			continue
		}
		if j.admission == admissionRequested && j.Home == dataCentre {
			d.requestAdmission(j, lessorVM)
		}
		for g := range j.groups {
			count := j.groups[g].requested[dataCentre]
			j.groups[g].requested[dataCentre] = 0
			d.sendDemand(j, g, dataCentre, count)
		}
	}
}

func (d *Dispatcher) handleHoldings(now time.Time, from string, h *Holdings) {
	l := d.localLessor(h.DataCentre)
	l.scheduler.WithdrawHolder(from)
	l.releaseHolder(from)
	delete(l.orphanReleaseAt, from)
	for _, held := range h.Leases {
		l.scheduler.RestoreLease(scheduler.Lease{Holder: from, Upstream: held.Upstream, Team: held.Team, Shape: held.Shape})
	}
	for _, a := range h.Admitted {
		d.quotaOf(now, l, a.Team).Restore(a.Count)
		l.recordAdmission(from, a.Team, a.Count)
	}
}

func (d *Dispatcher) handleDemand(now time.Time, from string, m *scheduler.Demand) {
	m.Holder = from
	l := d.localLessor(m.DataCentre)
	if m.AdmissionOnly {
		retryAfter, ok := d.takeQuota(now, l, m.Team, m.Count)
		if ok {
			l.recordAdmission(from, m.Team, m.Count)
		}
		d.send(from, Message{Admission: &Admission{Job: m.Job, OK: ok, RetryAfter: retryAfter}})
		return
	}
	l.scheduler.Add(*m)
}

func (d *Dispatcher) handleRelease(now time.Time, from string, r *scheduler.Release) {
	r.Holder = from
	if u := d.upstreams[r.Upstream]; u != nil {
		d.localLessor(u.DataCentre).scheduler.Release(now, *r)
	}
}

// takeQuota admits count tasks of a team under this data centre's share of the
// team's quota.
func (d *Dispatcher) takeQuota(now time.Time, l *lessor, teamName string, count int) (time.Duration, bool) {
	l.teamDemands[teamName] += float64(count)
	return d.quotaOf(now, l, teamName).Take(now, count)
}

func (d *Dispatcher) quotaOf(now time.Time, l *lessor, teamName string) *limiter.Quota {
	q := l.quotas[teamName]
	if q == nil {
		q = limiter.NewQuota(0, 0)
		l.quotas[teamName] = q
		d.updateQuotaShare(now, l, teamName)
	}
	return q
}

// quotaShare is a data centre's share of a team's quota. It falls at once but
// rises only after the other data centres have had time to lower theirs, so
// that the shares in force never add up to more than the quota.
type quotaShare struct {
	fraction float64
	// raisedFraction is the lowest fraction asked for since raiseRequestedAt;
	// it replaces fraction after quotaRaiseDelay.
	raisedFraction   float64
	raiseRequestedAt time.Time
}

// quotaRaiseDelay exceeds the longest time between two load reports.
const quotaRaiseDelay = maxReportInterval + 200*time.Millisecond

func (s *quotaShare) update(now time.Time, fraction float64) {
	switch {
	case fraction <= s.fraction:
		s.fraction, s.raiseRequestedAt = fraction, time.Time{}
	case s.raiseRequestedAt.IsZero():
		s.raisedFraction, s.raiseRequestedAt = fraction, now
	case now.Sub(s.raiseRequestedAt) < quotaRaiseDelay:
		s.raisedFraction = min(s.raisedFraction, fraction)
	default:
		s.fraction, s.raiseRequestedAt = s.raisedFraction, time.Time{}
	}
}

// updateQuotaShare sets this data centre's share of a team's quota in
// proportion to the demand that all data centres report. It begins with equal
// shares.
func (d *Dispatcher) updateQuotaShare(now time.Time, l *lessor, teamName string) {
	centres := d.router.DataCentres()
	ownDemand := quotaDemandFloor + l.teamDemands[teamName]
	total := ownDemand
	for _, dc := range centres {
		if dc != l.dataCentre {
			total += quotaDemandFloor + reportedTeamDemand(d.loads[dc], teamName)
		}
	}
	share := l.shares[teamName]
	if share == nil {
		share = &quotaShare{fraction: 1 / float64(len(centres))}
		l.shares[teamName] = share
	}
	share.update(now, ownDemand/total)
	team := d.teams[teamName]
	inFlight := float64(team.TasksInFlight) * share.fraction
	if team.TasksInFlight > 0 {
		inFlight = max(1, inFlight)
	}
	l.quotas[teamName].SetBounds(now, inFlight, team.StartsPerSecond*share.fraction)
}

func reportedTeamDemand(r LoadReport, team string) float64 {
	for _, t := range r.Teams {
		if t.Team == team {
			return t.RecentDemand
		}
	}
	return 0
}

// grantNext grants one slot if this entry is the lessor and a task can be
// placed.
func (d *Dispatcher) grantNext(now time.Time) bool {
	for _, dc := range d.router.DataCentres() {
		l := d.localLessors[dc]
		if l == nil || !l.active || now.Before(l.grantAfter) || d.isEvacuated(dc) {
			continue
		}
		if g, ok := l.scheduler.Next(now); ok {
			d.send(g.Holder, Message{Grant: &g})
			return true
		}
	}
	return false
}

// tickLessors sends load reports and releases the leases of entries that have
// been down for long enough.
func (d *Dispatcher) tickLessors(now time.Time) {
	for _, l := range d.localLessors {
		d.releaseOrphanedLeases(now, l)
		if l.active && now.Sub(l.lastReportAt) >= minReportInterval {
			d.sendLoadReport(now, l)
		}
	}
}

func (d *Dispatcher) releaseOrphanedLeases(now time.Time, l *lessor) {
	for vm, due := range l.orphanReleaseAt {
		if now.Before(due) {
			continue
		}
		if d.router.IsDown(router.SubjectVM, vm) {
			l.releaseHolder(vm)
		}
		delete(l.orphanReleaseAt, vm)
	}
}

// sendLoadReport sends the load of the data centre to its entries and to the
// lessors of the other data centres when it has changed, and at least once per
// maxReportInterval.
func (d *Dispatcher) sendLoadReport(now time.Time, l *lessor) {
	loads := l.scheduler.Loads()
	for i := range loads {
		loads[i] = d.offeredLoad(l.dataCentre, loads[i])
	}
	due := now.Sub(l.lastReportAt) >= maxReportInterval
	if !due && !isLoadChanged(l.lastReport, loads) {
		return
	}
	l.lastReport, l.lastReportAt = loads, now
	r := &LoadReport{DataCentre: l.dataCentre, Services: loads}
	for team := range l.quotas {
		r.Teams = append(r.Teams, TeamLoad{Team: team, RecentDemand: l.teamDemands[team]})
		d.updateQuotaShare(now, l, team)
		l.teamDemands[team] *= demandDecay
	}
	d.loads[l.dataCentre] = *r
	for _, vm := range d.router.VMs() {
		if vm.DataCentre == d.config.DataCentre {
			d.sendIfLinked(vm.Name, Message{Load: r})
		}
	}
	for _, dc := range d.router.DataCentres() {
		if vm, ok := d.router.Lessor(dc); ok && dc != d.config.DataCentre {
			d.sendIfLinked(vm, Message{Load: r})
		}
	}
}

// handleLoadReport stores a load report. A lessor relays a report from another
// data centre to the entries of its own, so that each report crosses between
// two data centres only once.
func (d *Dispatcher) handleLoadReport(from string, r *LoadReport) {
	d.loads[r.DataCentre] = *r
	if d.router.DataCentreOf(from) == d.config.DataCentre || !d.isLessor(d.config.DataCentre) {
		return
	}
	for _, vm := range d.router.VMs() {
		if vm.DataCentre == d.config.DataCentre {
			d.sendIfLinked(vm.Name, Message{Load: r})
		}
	}
}

func (d *Dispatcher) sendIfLinked(vm string, m Message) {
	if vm != d.config.VM && d.linked[vm] {
		d.send(vm, m)
	}
}

// minReportedWaitChange is how far an expected wait must change to trigger a
// report.
const minReportedWaitChange = 10 * time.Millisecond

func isLoadChanged(old, current []scheduler.Load) bool {
	if len(old) != len(current) {
		return true
	}
	for i := range current {
		if (old[i].FreeSlots == 0) != (current[i].FreeSlots == 0) || (old[i].Slots == 0) != (current[i].Slots == 0) {
			return true
		}
		if change := current[i].ExpectedWait - old[i].ExpectedWait; change > minReportedWaitChange || change < -minReportedWaitChange {
			return true
		}
	}
	return false
}
