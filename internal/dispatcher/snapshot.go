package dispatcher

import (
	"bronzedrift.example/bronzedrift/internal/router"
	"bronzedrift.example/bronzedrift/internal/scheduler"
)

// Snapshot is the state of an entry as shown by status and metrics.
type Snapshot struct {
	Counts          Counts
	Draining        bool
	Jobs            int
	QueuedTasks     int
	RunningTasks    int
	KeptAnswers     int
	KeptAnswerBytes int
	Lessor          string
	Ranges          []RangeView
	Links           []LinkView
	Verdicts        []router.Verdict
	Upstreams       []UpstreamView
	Loads           []LoadView
	Evacuations     []EvacuationView
}

// RangeView is a range claimed by an entry.
type RangeView struct {
	Name     string
	Epoch    int64
	Complete bool
}

// LinkView is the state of the link to another entry.
type LinkView struct {
	VM string
	Up bool
}

// UpstreamView is an announced upstream and whether a verdict declares it
// down.
type UpstreamView struct {
	Upstream
	Down bool
}

// LoadView is the latest known load of a service in a data centre.
type LoadView struct {
	DataCentre string
	Load       scheduler.Load
}

// Snapshot returns the totals, without the lists.
func (d *Dispatcher) Snapshot() Snapshot {
	return Snapshot{
		Counts: d.counts, Draining: d.router.IsDraining(d.config.VM),
		Jobs: len(d.deadlines), QueuedTasks: d.queuedTasks, RunningTasks: len(d.runs),
		KeptAnswers: len(d.keptAnswers), KeptAnswerBytes: d.keptBytes,
	}
}

// FullSnapshot returns the totals and the lists.
func (d *Dispatcher) FullSnapshot() Snapshot {
	s := d.Snapshot()
	s.Lessor = d.lessorVMs[d.config.DataCentre]
	s.Evacuations = d.evacuationViews()
	s.Verdicts = d.router.Verdicts()
	for _, vm := range d.router.VMs() {
		if c := d.claims[vm.Name]; c != nil {
			s.Ranges = append(s.Ranges, RangeView{Name: vm.Name, Epoch: c.epoch, Complete: d.isFencedEverywhere(c)})
		}
		if vm.Name != d.config.VM {
			s.Links = append(s.Links, LinkView{VM: vm.Name, Up: d.linked[vm.Name]})
		}
	}
	for _, u := range d.orderedUpstreams() {
		s.Upstreams = append(s.Upstreams, UpstreamView{Upstream: *u, Down: d.router.IsDown(router.SubjectUpstream, u.Name)})
	}
	for _, dc := range d.router.DataCentres() {
		for _, l := range d.loads[dc].Services {
			s.Loads = append(s.Loads, LoadView{DataCentre: dc, Load: l})
		}
	}
	return s
}
