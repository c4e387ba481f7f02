package dispatcher

import "sort"

// The functions below return map contents in a fixed order, so that equal
// inputs produce equal effects.

func (d *Dispatcher) orderedUpstreams() []*Upstream {
	list := make([]*Upstream, 0, len(d.upstreams))
	for _, u := range d.upstreams {
		list = append(list, u)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Name < list[b].Name })
	return list
}

func (d *Dispatcher) orderedJobs() []*job {
	return sortJobs(d.jobs)
}

func (d *Dispatcher) orderedPending() []*job {
	if len(d.pending) == 0 {
		return nil
	}
	return sortJobs(d.pending)
}

func sortJobs(jobs map[string]*job) []*job {
	list := make([]*job, 0, len(jobs))
	for _, j := range jobs {
		list = append(list, j)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].ID < list[b].ID })
	return list
}

func (d *Dispatcher) orderedForwards() []*forward {
	if len(d.forwards) == 0 {
		return nil
	}
	list := make([]*forward, 0, len(d.forwards))
	for _, f := range d.forwards {
		list = append(list, f)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].request < list[b].request })
	return list
}
