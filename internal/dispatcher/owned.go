package dispatcher

import (
	"container/heap"
	"math/bits"
	"sort"
	"time"

	"bronzedrift.example/bronzedrift/internal/scheduler"
)

// job is a submission that this entry owns, or one that has moved to another
// entry while some of its tasks still run here.
type job struct {
	*Job
	rangeName string
	epoch     int64
	arrivedAt time.Time
	deadline  time.Time
	state     jobState
	joinOnly  bool
	// mayHaveCopy is set if another entry may hold a copy of the submission.
	mayHaveCopy bool
	absence     absenceState
	tasks       []taskState
	groups      []group
	totalWork   time.Duration
	waiters     []waiter
	answer      *Answer
	// possibleStarts counts all starts except those proven not to have
	// happened, provenStarts those proven to have happened.
	possibleStarts int
	runningTasks   int
	completedTasks int
	provenStarts   int
	admission      admissionState
	pendingUntil   time.Time
	heapIndex      int
}

type jobState int

const (
	jobPending jobState = iota
	jobQueued
	jobMoved
	jobEnded
)

type admissionState int

const (
	admissionNone admissionState = iota
	admissionRequested
	admissionGranted
)

type taskPhase int

const (
	taskWaiting taskPhase = iota
	taskBackoff
	taskRunning
	// taskInherited is a task that an earlier owner started and that has not
	// been probed yet.
	taskInherited
	taskDone
)

// taskState is the state of one task of an owned job.
type taskState struct {
	phase    taskPhase
	upstream string
	// memorySince is that of the incarnation which has started an inherited task.
	memorySince time.Time
	group       int
	attempts    int
	result      []byte
}

// group is the tasks of a job with the same shape and, if groupWaiting groups by
// run time, similar declared run times. The waiting ones form one demand at each
// data centre that is asked for slots.
type group struct {
	shape        scheduler.Shape
	meanDeclared time.Duration
	waiting      []int
	requested    map[string]int
}

// waiter is a recipient of a job's answer until a deadline: the connection of
// a caller at this entry, or a request that another entry forwarded.
type waiter struct {
	connection uint64
	peer       string
	request    uint64
	// receivedAt is when the first entry received the submission.
	receivedAt time.Time
	deadline   time.Time
	// wasForwarded is set if this entry has sent the submission to another owner.
	wasForwarded bool
}

func (w *waiter) isSame(o *waiter) bool {
	return w.connection == o.connection && w.peer == o.peer && w.request == o.request
}

func newJob(now time.Time, s *Job, rangeName string, deadline time.Time) *job {
	return &job{
		Job:       s,
		rangeName: rangeName,
		arrivedAt: now,
		deadline:  deadline,
		tasks:     make([]taskState, len(s.Tasks)),
		heapIndex: -1,
	}
}

// groupKey identifies the tasks that wait in one demand.
type groupKey struct {
	shape        scheduler.Shape
	runTimeClass int
}

// runTimeClass returns the bit length of a declared run time in milliseconds,
// so that the run times within a class differ by less than a factor of two.
func runTimeClass(d time.Duration) int {
	return bits.Len64(uint64(d / time.Millisecond))
}

// groupWaiting groups the waiting tasks by shape and sorts each group by
// declared run time, longest first. With byRunTime, the tasks of a group also
// have similar declared run times, so that long ones can be kept off slow
// upstreams.
func (j *job) groupWaiting(byRunTime bool) {
	j.groups = nil
	j.totalWork = 0
	groups := map[groupKey]int{}
	for i := range j.tasks {
		if j.tasks[i].phase != taskWaiting {
			continue
		}
		key := groupKey{shape: j.Tasks[i].Shape}
		if byRunTime {
			key.runTimeClass = runTimeClass(j.Tasks[i].DeclaredRunTime)
		}
		g, ok := groups[key]
		if !ok {
			g = len(j.groups)
			groups[key] = g
			j.groups = append(j.groups, group{shape: key.shape, requested: map[string]int{}})
		}
		j.totalWork += j.Tasks[i].DeclaredRunTime * time.Duration(key.shape.Slots)
		j.tasks[i].group = g
		j.groups[g].waiting = append(j.groups[g].waiting, i)
	}
	for g := range j.groups {
		j.sortGroup(&j.groups[g])
	}
}

func (j *job) sortGroup(g *group) {
	var total time.Duration
	for _, i := range g.waiting {
		total += j.Tasks[i].DeclaredRunTime
	}
	if len(g.waiting) > 0 {
		g.meanDeclared = total / time.Duration(len(g.waiting))
	}
	sort.SliceStable(g.waiting, func(a, b int) bool {
		return j.Tasks[g.waiting[a]].DeclaredRunTime > j.Tasks[g.waiting[b]].DeclaredRunTime
	})
}

// hasUnstarted reports whether any task waits to be started or retried. It is
// always true for a pending job.
func (j *job) hasUnstarted() bool {
	if j.state == jobPending {
		return true
	}
	for i := range j.tasks {
		if p := j.tasks[i].phase; p == taskWaiting || p == taskBackoff {
			return true
		}
	}
	return false
}

// ran returns what is known about the starts of the job's tasks.
func (j *job) ran() Ran {
	switch {
	case j.provenStarts > 0:
		return DidRun
	case j.possibleStarts > 0:
		return Unknown
	}
	return NotRun
}

// join adds a waiter unless it is already present.
func (j *job) join(w waiter) {
	for i := range j.waiters {
		if j.waiters[i].isSame(&w) {
			return
		}
	}
	j.waiters = append(j.waiters, w)
}

// deadlineHeap orders owned jobs by deadline.
type deadlineHeap []*job

// Len is part of heap.Interface.
func (h deadlineHeap) Len() int { return len(h) }

// Less is part of heap.Interface.
func (h deadlineHeap) Less(a, b int) bool { return h[a].deadline.Before(h[b].deadline) }

// Swap is part of heap.Interface.
func (h deadlineHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].heapIndex, h[b].heapIndex = a, b
}

// Push is part of heap.Interface.
func (h *deadlineHeap) Push(x any) {
	j := x.(*job)
	j.heapIndex = len(*h)
	*h = append(*h, j)
}

// Pop is part of heap.Interface.
func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	j := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	j.heapIndex = -1
	return j
}

func (h *deadlineHeap) add(j *job) {
	heap.Push(h, j)
}

func (h *deadlineHeap) remove(j *job) {
	if j.heapIndex >= 0 {
		heap.Remove(h, j.heapIndex)
	}
}
