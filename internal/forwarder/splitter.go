package forwarder

import (
	"slices"
	"sort"
	"time"

	"bronzedrift.example/bronzedrift/internal/holder"
)

// candidate is a holder that may be given work.
type candidate struct {
	vm      string
	isLocal bool
	hasRack bool
	// places counts the tasks of the job's size that fit there now.
	places int
	wait   time.Duration
}

// candidates returns the holders within reach with upstreams, the best first: of
// those with room for n tasks the one of this data centre, else the one with the
// shortest wait.
func (f *Forwarder) candidates(now time.Time, o *holder.Order, n int, except []string) []candidate {
	step := &o.Steps[0]
	var list []candidate
	for _, p := range f.peers.Heard(now) {
		if p.IsLeaving || p.Load.TotalMilliCores == 0 || slices.Contains(except, p.VM) {
			continue
		}
		s := f.sent[p.VM]
		if !s.at.Equal(p.HeardAt) {
			s = sentLoad{at: p.HeardAt}
			f.sent[p.VM] = s
		}
		list = append(list, candidate{
			vm: p.VM, isLocal: p.DataCentre == f.dataCentre,
			hasRack: step.DataRack != "" && slices.Contains(p.Load.Racks, step.DataRack),
			places:  p.Load.PlacesFor(step.Needs.MilliCores) - int(s.milliCores/max(1, step.Needs.MilliCores)),
			wait:    p.Load.Backlog,
		})
	}
	hasRoom := func(c candidate) bool { return c.places >= n && c.wait == 0 }
	sort.SliceStable(list, func(i, k int) bool {
		a, b := list[i], list[k]
		switch {
		case hasRoom(a) != hasRoom(b):
			return hasRoom(a)
		case a.hasRack != b.hasRack:
			return a.hasRack
		case hasRoom(a) && a.isLocal != b.isLocal:
			return a.isLocal
		case !hasRoom(a) && a.wait != b.wait:
			return a.wait < b.wait
		}
		return a.places > b.places
	})
	return list
}

// choose returns the best holder for a part, empty if there is none. Once one has
// refused it, those are left out that would refuse it by their last heartbeat: in a rush
// each order that is looked at in vain takes time from the others.
func (f *Forwarder) choose(now time.Time, p *part) string {
	list := f.candidates(now, &p.order, p.order.Steps[0].Count, p.tried)
	for _, c := range list {
		if len(p.tried) == 0 || p.order.IsUrgent() || c.wait+p.order.Chain() <= p.order.Objective {
			return c.vm
		}
	}
	return ""
}

// splitShare is the least share of a job's tasks for which there are places now, in
// per cent, that lets the job be split: below it one holder decides on the whole.
const splitShare = 50

// split divides the tasks of a job over holders where none has room for all of
// them: a wide job then does not wait for places of one data centre while others
// have some.
func (f *Forwarder) split(now time.Time, j *job) {
	n := j.order.Steps[0].Count
	list := f.candidates(now, &j.order, n, nil)
	total := 0
	for _, c := range list {
		total += max(0, c.places)
	}
	isWhole := len(j.order.Steps) > 1 || n == 1 || j.order.Steps[0].PerUpstream > 0 || len(list) < 2 ||
		list[0].places >= n || j.order.Steps[0].DataRack != "" || total*100 < n*splitShare
	if isWhole {
		j.addPart(0, n, "")
		return
	}
	sort.SliceStable(list, func(i, k int) bool {
		if list[i].isLocal != list[k].isLocal {
			return list[i].isLocal
		}
		return list[i].places > list[k].places
	})
	first := 0
	for i, c := range list {
		count := min(max(0, c.places), n-first)
		if total < n {
			count = n * max(0, c.places) / total
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

// addPart adds a part with some of the tasks of the first step.
func (j *job) addPart(first, count int, vm string) {
	o := j.order
	o.Part, o.First = len(j.parts), first
	o.Steps = slices.Clone(j.order.Steps)
	o.Steps[0].Count = count
	if vm != "" {
		o.AcceptLate = true
	}
	j.parts = append(j.parts, &part{job: j, order: o, to: vm})
	j.left++
}

func (f *Forwarder) countSent(vm string, milliCores int64) {
	s := f.sent[vm]
	s.milliCores += milliCores
	f.sent[vm] = s
}
