package forwarder

import (
	"slices"
	"sort"
	"time"

	"bronzedrift.example/bronzedrift/internal/holder"
)

// candidate is a holder that a part may be assigned to.
type candidate struct {
	vm          string
	isLocal     bool
	hasDataRack bool
	// freeSlots is the number of tasks of the job's size that the holder can start now.
	freeSlots int
	wait      time.Duration
}

// candidates returns the reachable holders that have upstreams, best first. The sort keys
// are, in this order:
//   - capacity for n tasks now, that is, enough free slots and no backlog
//   - upstreams in the data rack of the first step
//   - this data centre among holders with capacity, the shortest wait among the others
//   - the most free slots
//
// Free slots do not include those for orders sent since the holder's last heartbeat.
func (f *Forwarder) candidates(now time.Time, o *holder.Order, n int, except []string) []candidate {
	step := &o.Steps[0]
	var list []candidate
	for _, p := range f.peers.Reachable(now) {
		if p.IsLeaving || p.Load.TotalMilliCores == 0 || slices.Contains(except, p.VM) {
			continue
		}
		s := f.sentLoads[p.VM]
		if !s.heartbeatAt.Equal(p.ReceivedAt) {
			s = sentLoad{heartbeatAt: p.ReceivedAt}
			f.sentLoads[p.VM] = s
		}
		list = append(list, candidate{
			vm: p.VM, isLocal: p.DataCentre == f.dataCentre,
			hasDataRack: step.DataRack != "" && slices.Contains(p.Load.Racks, step.DataRack),
			freeSlots:   p.Load.FreeSlotsFor(step.Needs.MilliCores) - int(s.milliCores/max(1, step.Needs.MilliCores)),
			wait:        p.Load.Backlog,
		})
	}
	hasCapacity := func(c candidate) bool { return c.freeSlots >= n && c.wait == 0 }
	sort.SliceStable(list, func(i, k int) bool {
		a, b := list[i], list[k]
		switch {
		case hasCapacity(a) != hasCapacity(b):
			return hasCapacity(a)
		case a.hasDataRack != b.hasDataRack:
			return a.hasDataRack
		case hasCapacity(a) && a.isLocal != b.isLocal:
			return a.isLocal
		case !hasCapacity(a) && a.wait != b.wait:
			return a.wait < b.wait
		}
		return a.freeSlots > b.freeSlots
	})
	return list
}

// chooseHolder returns the best holder for a part, or an empty string if there is none.
// After a first refusal it skips holders that would also refuse the part according to
// their last heartbeat, since under load each order that is refused takes time from other
// orders. Urgent jobs are offered to these holders too.
func (f *Forwarder) chooseHolder(now time.Time, p *part) string {
	list := f.candidates(now, &p.order, p.order.Steps[0].Count, p.triedHolders)
	for _, c := range list {
		if len(p.triedHolders) == 0 || p.order.IsUrgent() || c.wait+p.order.CriticalPath() <= p.order.Objective {
			return c.vm
		}
	}
	return ""
}

// minSplitPercent is the percentage of a job's tasks that must find free slots now for the
// job to be split. Below it, one holder decides on the whole job.
const minSplitPercent = 50

// split divides the tasks of a job among holders if none has free slots for all of them,
// so that a wide job does not wait for slots in one data centre while others have some. If
// there are fewer free slots than tasks in all, each holder gets a share of the tasks in
// proportion to its free slots, and the last one the rest.
func (f *Forwarder) split(now time.Time, j *job) {
	n := j.order.Steps[0].Count
	list := f.candidates(now, &j.order, n, nil)
	total := 0
	for _, c := range list {
		total += max(0, c.freeSlots)
	}
	keepTogether := len(j.order.Steps) > 1 || n == 1 || j.order.Steps[0].PerUpstream > 0 || len(list) < 2 ||
		list[0].freeSlots >= n || j.order.Steps[0].DataRack != "" || total*100 < n*minSplitPercent
	if keepTogether {
		j.addPart(0, n, "")
		return
	}
	sort.SliceStable(list, func(i, k int) bool {
		if list[i].isLocal != list[k].isLocal {
			return list[i].isLocal
		}
		return list[i].freeSlots > list[k].freeSlots
	})
	first := 0
	for i, c := range list {
		count := min(max(0, c.freeSlots), n-first)
		if total < n {
			count = n * max(0, c.freeSlots) / total
		}
		if i == len(list)-1 {
			count = n - first
		}
		if count > 0 {
			j.addPart(first, count, c.vm)
			first += count
		}
	}
}

// addPart adds a part with count tasks of the first step, starting at index first.
func (j *job) addPart(first, count int, vm string) {
	o := j.order
	o.Part, o.First = len(j.parts), first
	o.Steps = slices.Clone(j.order.Steps)
	o.Steps[0].Count = count
	if vm != "" {
		o.AcceptLate = true
	}
	j.parts = append(j.parts, &part{job: j, order: o, holder: vm})
	j.unfinishedParts++
}

func (f *Forwarder) addSentLoad(vm string, milliCores int64) {
	s := f.sentLoads[vm]
	s.milliCores += milliCores
	f.sentLoads[vm] = s
}
