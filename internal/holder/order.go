package holder

import (
	"time"

	"bronzedrift.example/bronzedrift/internal/shedder"
)

// Order is a job, or a part of one, as an entry submits it to a holder.
type Order struct {
	ID string
	// Part numbers the parts of a job that are given to different holders, and First is
	// the index in the job of the part's first task.
	Part, First int
	// Request is the caller's id of the request, for logs.
	Request string
	// Attempt counts the holders to which the job was submitted, from 0.
	Attempt int
	Route   string
	Service string
	Spec    string
	Steps   []Step
	// MaxAttempts is the maximum number of failed runs of one task.
	MaxAttempts int
	// Objective is the time from arrival within which the answer is on time.
	Objective time.Duration
	// Remaining is the time left until the caller's deadline.
	Remaining time.Duration
	Priority  int
	// AcceptLate asks to accept the job though it will miss its objective.
	AcceptLate bool
	// Origin is the data centre of the entry, or the team of the caller: those who share the
	// capacity under overload.
	Origin string
	// Force asks to accept a part however long it has to wait, since other parts of its
	// job are running.
	Force bool
}

// Bounds of an order. They keep sums of its figures within their types.
const (
	// MaxTasks is the maximum number of tasks of a job.
	MaxTasks = 10_000
	// MaxCapacity is the maximum of each figure of a Capacity.
	MaxCapacity = 1_000_000_000
	// MaxEstimate is the maximum estimated run time of a task.
	MaxEstimate = 24 * time.Hour
)

// IsUrgent reports whether the job has the highest priority.
func (o *Order) IsUrgent() bool { return o.Priority == 0 }

// Work returns what the job costs the VMs that serve it.
func (o *Order) Work() float64 {
	tasks := 0
	for i := range o.Steps {
		tasks += o.Steps[i].Count
	}
	return shedder.Work(tasks, o.Priority)
}

// Key returns the key of the order's part.
func (o *Order) Key() Key { return Key{o.ID, o.Part} }

// Key identifies a part of a job.
type Key struct {
	ID   string
	Part int
}

// taskRange returns the first task's index and the number of tasks of the first step.
func (o *Order) taskRange() [2]int { return [2]int{o.First, o.Steps[0].Count} }

// Step is a group of identical tasks.
type Step struct {
	Count    int
	Needs    Capacity
	Estimate time.Duration
	// After lists the steps of which all tasks must be done first.
	After []int
	// Label is required of the upstream; empty means none.
	Label string
	// DataRack is the rack where the tasks run at full speed; empty means any.
	DataRack string
	// PerUpstream is the maximum number of the step's tasks on one upstream; 0 means
	// unlimited.
	PerUpstream int
}

// CriticalPath returns the estimated run time of the critical path through the steps.
func (o *Order) CriticalPath() time.Duration {
	ends := make([]time.Duration, len(o.Steps))
	longest := time.Duration(0)
	for i, s := range o.Steps {
		for _, before := range s.After {
			ends[i] = max(ends[i], ends[before])
		}
		ends[i] += s.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// MilliCores returns the total demand of the steps without dependencies.
func (o *Order) MilliCores() int64 {
	total := int64(0)
	for _, s := range o.Steps {
		if len(s.After) == 0 {
			total += int64(s.Count) * s.Needs.MilliCores
		}
	}
	return total
}

// Outcome is the outcome of a job at one holder.
type Outcome int

// The outcomes.
const (
	// Completed: every task is done.
	Completed Outcome = iota + 1
	// Failed: a task has used up its attempts, or can never run.
	Failed
	// Cancelled: the caller has cancelled the job.
	Cancelled
	// Busy: nothing of this order has started, and it would have to wait too long.
	Busy
	// Lost: the holder has abandoned the job, and nothing of it is running.
	Lost
)

// Answer is a holder's answer to the entry of a job.
type Answer struct {
	// Incarnation is that of the VM that answers. It is empty for an answer of this VM.
	Incarnation string

	ID      string
	Part    int
	Attempt int
	Outcome Outcome
	// Started is set if a task of the job was started or may have been.
	Started bool
	// Wait is the expected wait for capacity where the outcome is Busy.
	Wait   time.Duration
	Reason string
}
