package dispatcher

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"bronzedrift.example/bronzedrift/internal/quarantiner"
	"bronzedrift.example/bronzedrift/internal/recorder"
	"bronzedrift.example/bronzedrift/internal/scheduler"
)

// probeEpoch marks the ends of probes, for which this entry holds no slot
// lease.
const probeEpoch = 0

// demandID returns the id of a group's demand at a lessor.
func demandID(jobID string, group int) string {
	return jobID + "/" + strconv.Itoa(group)
}

func parseDemandID(id string) (jobID string, group int) {
	i := strings.LastIndexByte(id, '/')
	if i < 0 {
		return id, 0
	}
	group, err := strconv.Atoi(id[i+1:])
	if err != nil {
		return id, 0
	}
	return id[:i], group
}

// handleGrant starts the next waiting task of a job on a granted slot, or
// returns the lease if no task is left. A lease that arrives after a stall, or
// before the next holder has confirmed the upstream's incarnation, waits.
func (d *Dispatcher) handleGrant(now time.Time, from string, g *scheduler.Grant) {
	if now.Before(d.catchUpUntil) {
		d.deferredGrants = append(d.deferredGrants, deferredGrant{from: from, grant: g})
		return
	}
	jobID, index := parseDemandID(g.Job)
	j := d.jobs[jobID]
	u := d.upstreams[g.Upstream]
	if j != nil && u != nil && !d.isConfirmed(u, j.rangeName) && d.isLinkedToNextHolder(j.rangeName) {
		d.deferredGrants = append(d.deferredGrants, deferredGrant{from: from, grant: g})
		return
	}
	d.counts.GrantsReceived++
	if j == nil || index >= len(j.groups) || u == nil {
		d.returnUnusedGrant(from, g, scheduler.Unused)
		return
	}
	gr := &j.groups[index]
	gr.requested[u.DataCentre] = max(0, gr.requested[u.DataCentre]-1)
	switch {
	case j.state != jobQueued || len(gr.waiting) == 0 || !d.holdsClaimOf(j):
		d.returnUnusedGrant(from, g, scheduler.Unused)
	case !d.isConfirmed(u, j.rangeName):
		d.returnUnusedGrant(from, g, scheduler.Refused)
		d.requestMissing(j, index)
	case d.isEvacuated(u.DataCentre):
		d.returnEvacuatedGrant(from, j, index, g)
	default:
		d.startTask(now, j, gr, u, g)
		d.rebalance(j, index, u.DataCentre)
	}
}

// returnUnusedGrant returns a lease that started no task; with the outcome
// Refused, the lessor does not use the upstream for a while.
func (d *Dispatcher) returnUnusedGrant(from string, g *scheduler.Grant, outcome scheduler.Outcome) {
	d.counts.GrantsUnused++
	r := &scheduler.Release{Holder: d.config.VM, Upstream: g.Upstream, Team: g.Team, Shape: g.Shape, Outcome: outcome}
	if jobID, _ := parseDemandID(g.Job); d.jobs[jobID] != nil {
		r.Service = d.jobs[jobID].Service
	}
	d.send(from, Message{Release: r})
}

// requestMissing requests slots for the waiting tasks that no demand covers,
// after a lease was returned because the incarnation of its upstream cannot be
// confirmed.
func (d *Dispatcher) requestMissing(j *job, index int) {
	g := &j.groups[index]
	requested := 0
	for _, count := range g.requested {
		requested += count
	}
	if missing := len(g.waiting) - requested; missing > 0 {
		d.requestGroup(j, index, missing)
	}
}

// startTask starts the first waiting task of a group at an upstream.
func (d *Dispatcher) startTask(now time.Time, j *job, g *group, u *Upstream, grant *scheduler.Grant) {
	i := g.waiting[0]
	g.waiting = g.waiting[1:]
	d.queuedTasks--
	t := &j.tasks[i]
	t.phase = taskRunning
	t.upstream = u.Name
	t.attempts++
	j.possibleStarts++
	j.runningTasks++
	d.counts.TasksStarted++
	if t.attempts == 1 {
		d.retries.Start()
	}
	d.recordEvent(recorder.Event{Number: recorder.TaskStarted, Job: j.ID, Task: i, Team: j.Team, Upstream: u.Name})
	d.runs[runKey{j.ID, i, j.epoch}] = scheduler.Release{
		Holder: d.config.VM, Upstream: u.Name, Team: j.Team, Service: j.Service,
		Shape: j.Tasks[i].Shape, DeclaredRunTime: j.Tasks[i].DeclaredRunTime,
	}
	d.effects.Starts = append(d.effects.Starts, Start{
		JobID: j.ID, Task: i, Upstream: u.Name, Address: u.Address, Fencing: u.HasCapability(Fence),
		Range: j.rangeName, Epoch: j.epoch, Timeout: j.deadline.Sub(now),
		ExpectedRunTime: expectedRunTime(grant, j.Tasks[i].DeclaredRunTime, g.meanDeclared), Repeatable: j.Repeatable, MemorySince: u.MemorySince, Payload: j.Tasks[i].Payload,
	})
}

// maxDeclaredRatio limits how far a declared run time shifts the expected one,
// up or down.
const maxDeclaredRatio = 4

// expectedRunTime scales the expected run time of a group's mean task to one
// task by their declared run times.
func expectedRunTime(g *scheduler.Grant, declared, meanDeclared time.Duration) time.Duration {
	if declared <= 0 || meanDeclared <= 0 {
		return g.Expected
	}
	ratio := math.Pow(float64(declared)/float64(meanDeclared), g.Slope)
	ratio = min(maxDeclaredRatio, max(1.0/maxDeclaredRatio, ratio))
	return time.Duration(float64(g.Expected) * ratio)
}

// handleTaskEnd handles the end of a start or a probe.
func (d *Dispatcher) handleTaskEnd(now time.Time, e *TaskEnd) {
	d.releaseSlot(e)
	if e.Kind == EndedRestarted {
		d.learnRestart(now, e.Upstream, e.ExpectedSince, e.MemorySince)
	}
	j := d.jobs[e.JobID]
	if j == nil || e.Task >= len(j.tasks) {
		return
	}
	t := &j.tasks[e.Task]
	if t.phase != taskRunning || t.upstream != e.Upstream {
		return
	}
	j.runningTasks--
	if e.Kind == EndedSuperseded {
		d.handleSuperseded(now, j.rangeName, e.Epoch, e.HigherEpoch)
	}
	if j.state == jobQueued || j.state == jobPending {
		d.applyTaskEnd(now, j, t, e)
	} else {
		t.phase = taskDone
	}
	if j.state == jobMoved && j.runningTasks == 0 {
		d.forgetJob(j)
	}
}

// runKey identifies one start of a task.
type runKey struct {
	jobID string
	task  int
	epoch int64
}

// releaseSlot returns the slot lease of an ended start to its lessor.
func (d *Dispatcher) releaseSlot(e *TaskEnd) {
	key := runKey{e.JobID, e.Task, e.Epoch}
	r, ok := d.runs[key]
	if !ok {
		return
	}
	delete(d.runs, key)
	r.Elapsed, r.Outcome = e.Elapsed, leaseOutcome(e.Kind)
	if j := d.jobs[e.JobID]; r.Outcome == scheduler.Failed && j != nil && j.state == jobEnded {
		// A task stopped because its job ended is not a failure of its upstream.
		r.Outcome = scheduler.Unused
	}
	if lessor, ok := d.lessorOfUpstream(r.Upstream); ok {
		d.send(lessor, Message{Release: &r})
	}
}

func leaseOutcome(k EndKind) scheduler.Outcome {
	switch k {
	case EndedComplete:
		return scheduler.Succeeded
	case EndedSuperseded, EndedRestarted:
		return scheduler.Unused
	case EndedNotStarted:
		return scheduler.Refused
	}
	return scheduler.Failed
}

// applyTaskEnd updates an unfinished job after the end of one of its tasks.
func (d *Dispatcher) applyTaskEnd(now time.Time, j *job, t *taskState, e *TaskEnd) {
	switch e.Kind {
	case EndedComplete:
		t.phase = taskDone
		t.result = e.Payload
		j.completedTasks++
		j.provenStarts++
		d.recordEvent(recorder.Event{Number: recorder.TaskEnded, Job: j.ID, Task: e.Task, Upstream: e.Upstream})
		d.completeIfDone(now, j)
	case EndedFailed:
		t.phase = taskDone
		j.provenStarts++
		d.recordEvent(recorder.Event{Number: recorder.TaskFailed, Job: j.ID, Task: e.Task, Upstream: e.Upstream})
		d.fail(now, j, TaskFailed, DidRun, fmt.Sprintf("task %d failed at upstream %s with status %d", e.Task, e.Upstream, e.Status))
	case EndedSuperseded:
		t.phase = taskWaiting
		j.possibleStarts--
		if j.state == jobQueued {
			d.moveOrSuspend(now, j)
		}
	case EndedNotStarted:
		j.possibleStarts--
		d.counts.TasksRefused++
		d.recordEvent(recorder.Event{Number: recorder.TaskNotStarted, Job: j.ID, Task: e.Task, Upstream: e.Upstream})
		d.retryOrFail(now, j, t, e, Overloaded, d.provenRan(j), noUpstreamTookTask)
	case EndedRestarted:
		j.possibleStarts--
		d.counts.TasksRefused++
		d.recordEvent(recorder.Event{Number: recorder.TaskNotStarted, Job: j.ID, Task: e.Task, Upstream: e.Upstream})
		d.retryRestarted(now, j, t, e)
	case EndedUnknown:
		d.recordEvent(recorder.Event{Number: recorder.TaskOutcomeUnknown, Job: j.ID, Task: e.Task, Upstream: e.Upstream})
		d.handleUnknownOutcome(now, j, t, e)
	}
}

// handleUnknownOutcome retries a task whose outcome is unknown only if its job
// is marked repeatable; otherwise the job fails with OutcomeUnknown.
func (d *Dispatcher) handleUnknownOutcome(now time.Time, j *job, t *taskState, e *TaskEnd) {
	ran := j.ran()
	message := fmt.Sprintf("the outcome of task %d at upstream %s is unknown", e.Task, e.Upstream)
	if e.HasCrashed && j.Repeatable {
		d.recordCrash(now, j, e)
	}
	if j.Repeatable {
		d.retryOrFail(now, j, t, e, OutcomeUnknown, ran, message)
		return
	}
	t.phase = taskDone
	d.fail(now, j, OutcomeUnknown, ran, message)
}

// recordCrash records that an upstream crashed under a task. What other entries had started
// there is not known, so that only an upstream with one slot proves that the task was alone.
// The crash lies between the start of the task and the first sign of it. An upstream may be
// back, and crash again, before its new incarnation is announced: that is another loss.
func (d *Dispatcher) recordCrash(now time.Time, j *job, e *TaskEnd) {
	startedAt := d.recordLoss(now, quarantiner.Loss{
		Upstream: e.Upstream, Earliest: now.Add(-e.Elapsed), Latest: now.Add(-e.LostAge), Jobs: []string{j.ID},
	})
	c := quarantiner.Crash{Task: TaskID(j.ID, e.Task), Kind: j.Service, Upstream: e.Upstream, StartedAt: startedAt}
	if u := d.upstreams[e.Upstream]; u != nil {
		c.IsAlone = u.Capacity.Slots == 1
	}
	d.quarantine.Record(now, c)
}

// recordLoss records the loss of an upstream and returns when the incarnation that was lost was
// first known to be so, which identifies it.
func (d *Dispatcher) recordLoss(now time.Time, l quarantiner.Loss) time.Time {
	startedAt, ok := d.quarantine.LossOf(l.Upstream, l.Earliest, l.Latest)
	if !ok {
		startedAt = now
	}
	l.StartedAt = startedAt
	d.quarantine.RecordLoss(now, l)
	return startedAt
}

// giveUp fails a job with a task that must not start again.
func (d *Dispatcher) giveUp(now time.Time, j *job, task int) {
	name := TaskID(j.ID, task)
	upstream := d.quarantine.Latest(name)
	j.tasks[task].phase = taskDone
	d.recordEvent(recorder.Event{
		Number: recorder.TaskGivenUp, Job: j.ID, Task: task, Upstream: upstream, Text: d.quarantine.Describe(now, name),
	})
	d.fail(now, j, TaskFailed, DidRun, fmt.Sprintf("upstreams have crashed under task %d, at last %s", task, upstream))
}

// retry is a task that waits for its back-off before it is queued again.
type retry struct {
	due  time.Time
	job  *job
	task int
}

const (
	retryBase        = 5 * time.Millisecond
	retryMax         = 200 * time.Millisecond
	maxAttempts      = 8
	retryBudgetSpent = "; the budget for retries is spent"

	noUpstreamTookTask = "no upstream took the task"
)

// retryOrFail queues a task again after a back-off with jitter, or fails the
// job if its attempts or the retry budget are used up.
func (d *Dispatcher) retryOrFail(now time.Time, j *job, t *taskState, e *TaskEnd, reason Reason, ran Ran, message string) {
	if t.attempts >= maxAttempts || !d.retries.Take() {
		t.phase = taskDone
		d.fail(now, j, reason, ran, message+retryBudgetSpent)
		return
	}
	base := min(retryMax, retryBase<<min(t.attempts, 6))
	delay := base/2 + time.Duration(d.random.Int64N(int64(base)))
	d.retryAt(now.Add(delay), j, t, e.Task)
}

// retryRestarted queues a task again that a new incarnation of an upstream has
// refused. Such refusals are no sign of overload and come in numbers when many
// upstreams restart: they spend nothing of the retry budget and need no back-off.
func (d *Dispatcher) retryRestarted(now time.Time, j *job, t *taskState, e *TaskEnd) {
	if t.attempts >= maxAttempts {
		t.phase = taskDone
		d.fail(now, j, Overloaded, d.provenRan(j), noUpstreamTookTask)
		return
	}
	d.retryAt(now, j, t, e.Task)
}

func (d *Dispatcher) retryAt(due time.Time, j *job, t *taskState, task int) {
	d.counts.TasksRetried++
	t.phase = taskBackoff
	d.backoff = append(d.backoff, retry{due: due, job: j, task: task})
	d.recordEvent(recorder.Event{Number: recorder.TaskRetried, Job: j.ID, Task: task})
}

func (d *Dispatcher) processRetries(now time.Time) {
	remaining := d.backoff[:0]
	for _, r := range d.backoff {
		switch {
		case r.job.state != jobQueued || r.job.tasks[r.task].phase != taskBackoff:
		case now.Before(r.due):
			remaining = append(remaining, r)
		case !d.holdsClaimOf(r.job), d.isStartedByOtherOwner(r.job, r.task):
			r.job.tasks[r.task].phase = taskWaiting
			d.moveOrSuspend(now, r.job)
		case d.quarantine.IsAwaited(now, TaskID(r.job.ID, r.task)):
			remaining = append(remaining, r)
		case d.quarantine.IsGivenUp(now, TaskID(r.job.ID, r.task)):
			d.giveUp(now, r.job, r.task)
		default:
			d.requeue(r.job, r.task)
		}
	}
	clear(d.backoff[len(remaining):])
	d.backoff = remaining
}

// requeue requests a slot for one task again.
func (d *Dispatcher) requeue(j *job, task int) {
	t := &j.tasks[task]
	t.phase = taskWaiting
	if t.group >= len(j.groups) || j.groups[t.group].shape != j.Tasks[task].Shape {
		t.group = len(j.groups)
		j.groups = append(j.groups, group{shape: j.Tasks[task].Shape, requested: map[string]int{}})
	}
	g := &j.groups[t.group]
	g.meanDeclared = j.Tasks[task].DeclaredRunTime
	g.waiting = append(g.waiting, task)
	d.queuedTasks++
	d.requestGroup(j, t.group, 1)
}

// stopRunning asks the upstreams that support it to stop the running tasks of
// a failed job.
func (d *Dispatcher) stopRunning(j *job) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.phase != taskRunning {
			continue
		}
		if u := d.upstreams[t.upstream]; u != nil && u.HasCapability(Stop) {
			d.effects.Stops = append(d.effects.Stops, StopTask{TaskID: TaskID(j.ID, i), Address: u.Address})
		}
	}
}
