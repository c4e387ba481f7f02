package forwarder

import (
	"slices"
	"sort"
	"time"

	"bronzedrift.example/bronzedrift/internal/balancer"
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
	// digest is what the balancer is given.
	digest balancer.Digest
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
	list := f.holders(now, o, except)
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

// holders returns the reachable holders that have upstreams and do not refuse the job for want of
// processor time.
func (f *Forwarder) holders(now time.Time, o *holder.Order, except []string) []candidate {
	step, work := &o.Steps[0], o.Work()
	var list []candidate
	for _, p := range f.peers.Reachable(now) {
		if p.IsLeaving || p.Load.TotalMilliCores == 0 || slices.Contains(except, p.VM) || p.Load.ShedLevel.Refuses(o.ID, work) {
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
			digest: balancer.Digest{
				Holder: p.VM, DataCentre: p.DataCentre, Age: now.Sub(p.ReceivedAt) + linkDelay,
				FreeSlots: p.Load.FreeSlotsFor(step.Needs.MilliCores), Total: int(p.Load.TotalMilliCores / max(1, step.Needs.MilliCores)),
				Backlog: p.Load.Backlog, HasData: step.DataRack != "" && slices.Contains(p.Load.Racks, step.DataRack),
				SentTasks: int(s.milliCores / max(1, step.Needs.MilliCores)),
			},
		})
	}
	return list
}

// linkDelay is the assumed delay of a heartbeat, which does not carry the time at which it
// was sent.
const linkDelay = 2 * time.Millisecond

// assign lets the balancer choose the holders for tasks of an order.
func (f *Forwarder) assign(now time.Time, o *holder.Order, list []candidate, maySplit bool) []balancer.Assignment {
	digests := make([]balancer.Digest, len(list))
	for i := range list {
		digests[i] = list[i].digest
	}
	return f.balancer.Assign(now, balancer.Request{
		DataCentre: f.dataCentre, Tasks: o.Steps[0].Count, RunTime: o.Steps[0].Estimate, MaySplit: maySplit,
	}, digests)
}

// chooseHolder returns the best holder for a part, or an empty string if there is none.
// After a first refusal it skips holders that would also refuse the part according to
// their last heartbeat, since under load each order that is refused takes time from other
// orders. Urgent jobs are offered to these holders too.
func (f *Forwarder) chooseHolder(now time.Time, p *part) string {
	if f.balancer != nil {
		return f.drawHolder(now, p)
	}
	list := f.candidates(now, &p.order, p.order.Steps[0].Count, p.triedHolders)
	for _, c := range list {
		if len(p.triedHolders) == 0 || p.order.IsUrgent() || c.wait+p.order.CriticalPath() <= p.order.Objective {
			return c.vm
		}
	}
	return ""
}

// drawHolder is chooseHolder with a balancer.
func (f *Forwarder) drawHolder(now time.Time, p *part) string {
	list := slices.DeleteFunc(f.holders(now, &p.order, p.triedHolders), func(c candidate) bool {
		return len(p.triedHolders) > 0 && !p.order.IsUrgent() && c.wait+p.order.CriticalPath() > p.order.Objective
	})
	if assignments := f.assign(now, &p.order, list, false); len(assignments) > 0 {
		return assignments[0].Holder
	}
	return ""
}

// divide splits a job as the balancer decides.
func (f *Forwarder) divide(now time.Time, j *job) {
	step := &j.order.Steps[0]
	maySplit := len(j.order.Steps) == 1 && step.PerUpstream == 0 && step.DataRack == ""
	assignments := f.assign(now, &j.order, f.holders(now, &j.order, nil), maySplit)
	if len(assignments) < 2 {
		j.addPart(0, step.Count, "")
		if len(assignments) == 1 {
			j.parts[0].holder = assignments[0].Holder
		}
		return
	}
	for _, a := range assignments {
		j.addPart(a.First, a.Tasks, a.Holder)
	}
}

// minSplitPercent is the percentage of a job's tasks that must find free slots now for the
// job to be split. Below it, one holder decides on the whole job.
const minSplitPercent = 50

// split divides the tasks of a job among holders if none has free slots for all of them,
// so that a wide job does not wait for slots in one data centre while others have some. If
// there are fewer free slots than tasks in all, each holder gets a share of the tasks in
// proportion to its free slots, and the last one the rest.
func (f *Forwarder) split(now time.Time, j *job) {
	if f.balancer != nil {
		f.divide(now, j)
		return
	}
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
