package holder

import (
	"strconv"
	"time"
)

// job is an accepted order.
type job struct {
	Order
	entry     string
	arrivedAt time.Time
	// latestStart is the latest start at which the job is expected to meet its objective.
	latestStart time.Time
	steps       [][]*task
	tasksLeft   int
	started     bool
	// abandoned is set once the job's runs are being stopped; answer is sent when the
	// last of them has gone.
	abandoned bool
	answer    Answer
	runCount  int
}

// task is one task of a job.
type task struct {
	job      *job
	step     int
	name     string
	done     bool
	run      *run
	nextRun  int
	failures int
	avoid    []string
	// reservedOn is the upstream of the latest reservation, for the log.
	reservedOn string
}

// run is one start of a task on an upstream.
type run struct {
	task     *task
	upstream string
	number   int
	state    runState
	needs    Capacity
	sentAt   time.Time
	// token is the fencing token of the start.
	token       uint64
	confirmedAt time.Time
	expected    time.Duration
	percent     int
	// discarded is set once the job no longer needs the run and it has to be stopped.
	discarded bool
	// voidAfter is the reading of the upstream's clock after which a start that has not taken
	// effect never will. It is zero if only a stop or a list under a later token makes the start void.
	voidAfter time.Duration
	// stopRequestedAt is when the first stop was sent.
	stopRequestedAt time.Time
	stopPending     bool
	// isStuck is set once the run has been stopped because it takes too long.
	isStuck bool
	// hasStarted is set once the start has been confirmed, and isListed once the upstream has
	// listed the run: only a list tells for sure which incarnation it is from. isLocated is set
	// if the clock in the answer to the start was that of the known one.
	hasStarted, isListed, isLocated bool
}

type runState int

const (
	starting runState = iota + 1
	running
	// unanswered: a start was not answered. The next list of runs tells whether it took effect.
	unanswered
	// unconfirmed: a stop is not confirmed yet.
	unconfirmed
	// stopConfirmed: the upstream has confirmed the stop but not yet listed the end.
	stopConfirmed
)

func (s runState) String() string {
	switch s {
	case starting:
		return "starting"
	case running:
		return "running"
	case unanswered:
		return "start unanswered"
	case unconfirmed:
		return "stop unconfirmed"
	case stopConfirmed:
		return "stop confirmed"
	}
	return ""
}

type runKey struct {
	task string
	run  int
}

func (r *run) key() runKey { return runKey{r.task.name, r.number} }

func newJob(now time.Time, entry string, o Order) *job {
	j := &job{Order: o, entry: entry, arrivedAt: now, latestStart: now.Add(o.Objective - o.CriticalPath())}
	for s, step := range o.Steps {
		tasks := make([]*task, step.Count)
		for i := range tasks {
			tasks[i] = &task{
				job: j, step: s, nextRun: 1,
				name: o.ID + ".0." + strconv.Itoa(s) + "." + strconv.Itoa(o.First+i),
			}
		}
		j.steps = append(j.steps, tasks)
		j.tasksLeft += step.Count
	}
	return j
}

// isStepReady reports whether all tasks of the steps that a step depends on are done.
func (j *job) isStepReady(step int) bool {
	for _, before := range j.Steps[step].After {
		for _, t := range j.steps[before] {
			if !t.done {
				return false
			}
		}
	}
	return true
}

// eachStartableTask calls f for each task that may start now, until f returns false.
func (j *job) eachStartableTask(f func(t *task) bool) {
	for s, tasks := range j.steps {
		if !j.isStepReady(s) {
			continue
		}
		for _, t := range tasks {
			if !t.done && t.run == nil && !f(t) {
				return
			}
		}
	}
}

// abandonAt is the time after which an answer is of no use to the caller.
func (j *job) abandonAt() time.Time {
	return j.arrivedAt.Add(min(AbandonFactor*j.Objective, j.Remaining))
}
