package holder

import (
	"strconv"
	"time"
)

// job is an order under way.
type job struct {
	Order
	entry     string
	arrivedAt time.Time
	steps     [][]*task
	left      int
	started   bool
	// stopping says that the job is given up and waits for its runs to be gone.
	stopping bool
	answer   Answer
	runs     int
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
}

// run is one start of a task on an upstream.
type run struct {
	task     *task
	number   int
	state    runState
	needs    Capacity
	sentAt   time.Time
	settled  time.Time
	expected time.Duration
	percent  int
	// discarded says that its end decides nothing any more.
	discarded bool
	// doubtedAt is when the run was first told to stop.
	doubtedAt time.Time
	stopOut   bool
	straggler bool
	// hasStarted says that the start was answered.
	hasStarted bool
}

type runState int

const (
	starting runState = iota + 1
	running
	// doubtful: the start was not answered, or a stop is not confirmed.
	doubtful
	// stopping: the upstream has confirmed the stop, the end is not listed yet.
	stopping
)

type runKey struct {
	task string
	run  int
}

func (r *run) key() runKey { return runKey{r.task.name, r.number} }

func newJob(now time.Time, entry string, o Order) *job {
	j := &job{Order: o, entry: entry, arrivedAt: now}
	for s, step := range o.Steps {
		tasks := make([]*task, step.Count)
		for i := range tasks {
			tasks[i] = &task{
				job: j, step: s, nextRun: 1,
				name: o.ID + ".0." + strconv.Itoa(s) + "." + strconv.Itoa(o.First+i),
			}
		}
		j.steps = append(j.steps, tasks)
		j.left += step.Count
	}
	return j
}

// isReady reports whether the steps before a step have ended.
func (j *job) isReady(step int) bool {
	for _, before := range j.Steps[step].After {
		for _, t := range j.steps[before] {
			if !t.done {
				return false
			}
		}
	}
	return true
}

// waiting calls a function for each task that may start now until it says stop.
func (j *job) waiting(f func(t *task) bool) {
	for s, tasks := range j.steps {
		if !j.isReady(s) {
			continue
		}
		for _, t := range tasks {
			if !t.done && t.run == nil && !f(t) {
				return
			}
		}
	}
}

// latestStart is when the job has to start to be on time by its estimate.
func (j *job) latestStart() time.Time {
	return j.arrivedAt.Add(j.Objective - j.Chain())
}

// giveUpAt is when an answer is of no use any more.
func (j *job) giveUpAt() time.Time {
	return j.arrivedAt.Add(min(LateFactor*j.Objective, j.Remaining))
}
