// Package quarantiner keeps the record of the upstreams that were lost, and of the tasks under
// which they crashed. A task is a suspect after one crash, and is given up once enough
// crashes point to it. Crashes at a moment at which more upstreams were lost than chance
// explains point to no task. The record is a set of facts: VMs exchange them in any order and
// as often as they like.
package quarantiner

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Crash records that an upstream crashed while a task ran there.
type Crash struct {
	Task string
	// Kind groups tasks that are alike, such as those of one route.
	Kind     string
	Upstream string
	// StartedAt identifies the incarnation of the upstream.
	StartedAt time.Time
	// IsAlone is set if nothing else ran there, IsLatest if nothing was started there after
	// the task.
	IsAlone, IsLatest bool
}

// Manner says in which way the task of a crash was involved.
func (q *Quarantiner) Manner(c *Crash) string {
	switch {
	case q.HasCommonCause(c.Upstream, c.StartedAt):
		return "common cause"
	case c.IsAlone:
		return "alone"
	case c.IsLatest:
		return "latest start"
	}
	return "beside others"
}

const (
	// MaxCrashes is the number of crashes after which a task is given up.
	MaxCrashes = 2
	// maxExcused is the number of crashes with a common cause after which a task is a suspect:
	// deadly tasks that start at the same time look so.
	maxExcused = 2
	// retention is how long a task is remembered after its latest crash: longer than any
	// caller goes on sending its job.
	retention = time.Minute
	// maxTasks bounds the number of remembered tasks.
	maxTasks = 8192
	// maxCrashesPerTask bounds the crashes that are remembered for one task.
	maxCrashesPerTask = 8
)

// Quarantiner is the record of one VM. It is not safe for concurrent use.
type Quarantiner struct {
	records map[string]*record
	// queue holds the tasks in the order of their latest crash. One with several crashes
	// is in it several times.
	queue []expiry
	// losses holds the losses of upstreams, lossOrder their keys from the oldest on.
	losses    map[incarnation]*loss
	lossOrder []incarnation
	// open are the tasks with at least MaxCrashes crashes that are not decided on.
	open map[string]bool
}

type record struct {
	crashes []Crash
	at      time.Time
}

type expiry struct {
	task string
	at   time.Time
}

// New returns an empty Quarantiner.
func New() *Quarantiner {
	return &Quarantiner{records: map[string]*record{}, losses: map[incarnation]*loss{}, open: map[string]bool{}}
}

// Record adds a crash and reports whether it was new.
func (q *Quarantiner) Record(now time.Time, c Crash) bool {
	q.purge(now)
	r := q.records[c.Task]
	if r == nil {
		r = &record{}
		q.records[c.Task] = r
	}
	if len(r.crashes) >= maxCrashesPerTask || r.indexOf(c.Upstream, c.StartedAt) >= 0 {
		return false
	}
	r.crashes = append(r.crashes, c)
	r.at = now
	q.queue = append(q.queue, expiry{c.Task, now})
	if len(r.crashes) >= MaxCrashes {
		q.open[c.Task] = true
	}
	for len(q.records) > maxTasks {
		q.dropOldest()
	}
	return true
}

func (r *record) indexOf(upstream string, startedAt time.Time) int {
	return slices.IndexFunc(r.crashes, func(c Crash) bool { return c.Upstream == upstream && c.StartedAt.Equal(startedAt) })
}

// Retract removes the crash of an upstream from the record of a task: that incarnation is
// alive.
func (q *Quarantiner) Retract(task, upstream string, startedAt time.Time) {
	r := q.records[task]
	if r == nil {
		return
	}
	if i := r.indexOf(upstream, startedAt); i >= 0 {
		r.crashes = slices.Delete(r.crashes, i, i+1)
	}
}

// retractAll removes the crash of an upstream from the records of all tasks.
func (q *Quarantiner) retractAll(upstream string, startedAt time.Time) {
	for task := range q.records {
		q.Retract(task, upstream, startedAt)
	}
}

// reconsider opens the decision on the tasks under which an upstream crashed, and adds them to
// a set.
func (q *Quarantiner) reconsider(upstream string, startedAt time.Time, tasks map[string]bool) {
	for task, r := range q.records {
		if r.indexOf(upstream, startedAt) < 0 {
			continue
		}
		tasks[task] = true
		if len(r.crashes) >= MaxCrashes {
			q.open[task] = true
		}
	}
}

// purge drops the tasks whose latest crash is older than retention, and older losses.
func (q *Quarantiner) purge(now time.Time) {
	for len(q.lossOrder) > 0 && now.Sub(q.losses[q.lossOrder[0]].recordedAt) > retention+evidenceTime {
		q.removeLoss(q.lossOrder[0])
	}
	for len(q.queue) > 0 && now.Sub(q.queue[0].at) > retention {
		q.dropOldest()
	}
}

// dropOldest removes the oldest entry of the queue, and its task if that had no later crash.
func (q *Quarantiner) dropOldest() {
	e := q.queue[0]
	q.queue = q.queue[1:]
	if r := q.records[e.task]; r != nil && !r.at.After(e.at) {
		delete(q.records, e.task)
		delete(q.open, e.task)
	}
}

// IsEmpty reports whether no task is remembered.
func (q *Quarantiner) IsEmpty() bool { return len(q.records) == 0 }

// Crashes returns how many crashes count against a task.
func (q *Quarantiner) Crashes(task string) int { return len(q.counted(task)) }

// counted returns the crashes that count against a task: those without a common cause.
func (q *Quarantiner) counted(task string) []Crash {
	r := q.records[task]
	if r == nil {
		return nil
	}
	counted := make([]Crash, 0, len(r.crashes))
	for _, c := range r.crashes {
		if !q.HasCommonCause(c.Upstream, c.StartedAt) {
			counted = append(counted, c)
		}
	}
	return counted
}

// excused returns the number of crashes with a common cause.
func (q *Quarantiner) excused(task string) int {
	r, n := q.records[task], 0
	if r == nil {
		return 0
	}
	for _, c := range r.crashes {
		if q.HasCommonCause(c.Upstream, c.StartedAt) {
			n++
		}
	}
	return n
}

// IsSuspect reports whether the next run of a task has to be alone on an upstream.
func (q *Quarantiner) IsSuspect(task string) bool {
	return q.records[task] != nil && (q.Crashes(task) > 0 || q.excused(task) >= maxExcused)
}

// IsProbable reports whether a task was alone, or the latest one, during a crash.
func (q *Quarantiner) IsProbable(task string) bool {
	return q.records[task] != nil && slices.ContainsFunc(q.counted(task), func(c Crash) bool { return c.IsAlone || c.IsLatest })
}

// IsGivenUp reports whether a task must not start again, as is known for sure.
func (q *Quarantiner) IsGivenUp(now time.Time, task string) bool {
	return q.hasEnough(task) && !q.IsAwaited(now, task)
}

// IsAwaited reports whether a task must not start since its crashes are enough to give it up,
// while it is not yet known whether they have a common cause.
func (q *Quarantiner) IsAwaited(now time.Time, task string) bool {
	if !q.hasEnough(task) {
		return false
	}
	for _, c := range q.counted(task) {
		if l := q.losses[incarnationOf(c.Upstream, c.StartedAt)]; l != nil && now.Sub(l.recordedAt) < evidenceTime {
			return true
		}
	}
	return false
}

// hasEnough reports whether the crashes that count are enough to give a task up. MaxCrashes are
// enough if the task ran alone during one of them, or was the latest one each time. Otherwise
// another task may have caused them, and one more decides.
func (q *Quarantiner) hasEnough(task string) bool {
	if q.records[task] == nil {
		return false
	}
	crashes := q.counted(task)
	if len(crashes) < MaxCrashes {
		return false
	}
	wasAlone, latest := false, 0
	for _, c := range crashes {
		wasAlone = wasAlone || c.IsAlone
		if c.IsLatest || c.IsAlone {
			latest++
		}
	}
	return wasAlone || latest >= MaxCrashes || len(crashes) > MaxCrashes
}

// Decided returns the tasks that are given up since the latest call.
func (q *Quarantiner) Decided(now time.Time) []string {
	var tasks []string
	for task := range q.open {
		if q.IsAwaited(now, task) {
			continue
		}
		delete(q.open, task)
		if q.hasEnough(task) {
			tasks = append(tasks, task)
		}
	}
	slices.Sort(tasks)
	return tasks
}

// Latest returns the upstream of the crash of a task that was recorded last, or "".
func (q *Quarantiner) Latest(task string) string {
	r := q.records[task]
	if r == nil || len(r.crashes) == 0 {
		return ""
	}
	return r.crashes[len(r.crashes)-1].Upstream
}

// Describe lists the crashes of a task, for the log: the manner, the upstream, and the bounds of
// the age of the crash.
func (q *Quarantiner) Describe(now time.Time, task string) string {
	r := q.records[task]
	if r == nil {
		return ""
	}
	parts := make([]string, len(r.crashes))
	for i := range r.crashes {
		c := &r.crashes[i]
		parts[i] = fmt.Sprintf("%s on %s", q.Manner(c), c.Upstream)
		if l := q.losses[incarnationOf(c.Upstream, c.StartedAt)]; l != nil {
			parts[i] += fmt.Sprintf(" %d to %d ms ago", now.Sub(l.Latest).Milliseconds(), now.Sub(l.Earliest).Milliseconds())
		}
	}
	return strings.Join(parts, ", ")
}

// All returns all recorded crashes, for a VM on a new link.
func (q *Quarantiner) All(now time.Time) []Crash {
	q.purge(now)
	var all []Crash
	for _, r := range q.records {
		all = append(all, r.crashes...)
	}
	return all
}
