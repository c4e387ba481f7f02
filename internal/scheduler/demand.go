package scheduler

import "time"

// Demand is a request of a job for slots of a data centre.
type Demand struct {
	Job     string
	Holder  string
	Team    string
	Service string
	// DataCentre is the data centre whose slots are requested.
	DataCentre      string
	Shape           Shape
	Count           int
	DeclaredRunTime time.Duration
	// Work is the total declared run time of all tasks of the job. The demand may be for
	// only a part of them.
	Work    time.Duration
	Arrival time.Time
	// AdmissionOnly requests only admission under the team's quota, and no slots.
	AdmissionOnly bool
}

// demand is a waiting Demand with its position in the queue of its team.
type demand struct {
	Demand
	expected  time.Duration
	sortKey   int64
	heapIndex int
	queue     *teamQueue
	pool      *pool
}

// demandHeap is a binary min-heap of demands by sort key.
type demandHeap []*demand

func (h *demandHeap) push(d *demand) {
	d.heapIndex = len(*h)
	*h = append(*h, d)
	h.siftUp(d.heapIndex)
}

func (h *demandHeap) remove(d *demand) {
	i, last := d.heapIndex, len(*h)-1
	h.swap(i, last)
	(*h)[last] = nil
	*h = (*h)[:last]
	d.heapIndex = noIndex
	if i < last {
		h.fix(i)
	}
}

func (h *demandHeap) fix(i int) {
	h.siftUp(i)
	h.siftDown(i)
}

func (h *demandHeap) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if (*h)[parent].sortKey <= (*h)[i].sortKey {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *demandHeap) siftDown(i int) {
	for {
		child := 2*i + 1
		if child >= len(*h) {
			return
		}
		if child+1 < len(*h) && (*h)[child+1].sortKey < (*h)[child].sortKey {
			child++
		}
		if (*h)[i].sortKey <= (*h)[child].sortKey {
			return
		}
		h.swap(i, child)
		i = child
	}
}

func (h *demandHeap) swap(i, j int) {
	(*h)[i], (*h)[j] = (*h)[j], (*h)[i]
	(*h)[i].heapIndex, (*h)[j].heapIndex = i, j
}
