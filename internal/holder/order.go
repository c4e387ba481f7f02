package holder

import "time"

// Order is a job as an entry hands it to a holder.
type Order struct {
	ID string
	// Part numbers the parts of a job that different holders run, and First is the
	// index of the part's first task in the job.
	Part, First int
	// Request is the caller's name of the request, for logs.
	Request string
	// Attempt counts the holders that were given the job, from 0.
	Attempt int
	Route   string
	Service string
	Spec    string
	Steps   []Step
	// MaxAttempts bounds the failed runs of one task.
	MaxAttempts int
	// Objective is the time from arrival within which the answer is on time.
	Objective time.Duration
	// Remaining is how long the caller still waits.
	Remaining time.Duration
	Priority  int
	// AcceptLate asks to take the job though it will miss its objective.
	AcceptLate bool
	// Force asks to take a part however long it waits, since others of its job run.
	Force bool
}

// IsUrgent reports whether the job goes before those of other priorities.
func (o *Order) IsUrgent() bool { return o.Priority == 0 }

// Key names a part of a job.
func (o *Order) Key() Key { return Key{o.ID, o.Part} }

// Key names a part of a job.
type Key struct {
	ID   string
	Part int
}

// tasks returns the first task's index and the number of tasks of the first step.
func (o *Order) tasks() [2]int { return [2]int{o.First, o.Steps[0].Count} }

// Step is a group of equal tasks.
type Step struct {
	Count    int
	Needs    Capacity
	Estimate time.Duration
	// After lists the steps whose tasks must all have ended first.
	After []int
	// Label is required of the upstream, empty for none.
	Label string
	// DataRack is where the tasks run at full speed, empty for anywhere.
	DataRack string
	// PerUpstream bounds the tasks of the step on one upstream; 0 is no bound.
	PerUpstream int
}

// Chain returns the run time of the longest chain of steps by the estimates.
func (o *Order) Chain() time.Duration {
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

// MilliCores returns what the tasks of the first steps ask for together.
func (o *Order) MilliCores() int64 {
	total := int64(0)
	for _, s := range o.Steps {
		if len(s.After) == 0 {
			total += int64(s.Count) * s.Needs.MilliCores
		}
	}
	return total
}

// Outcome is how a holder is done with a job.
type Outcome int

// The outcomes.
const (
	// Completed says that every task is done.
	Completed Outcome = iota + 1
	// Failed says that a task has used up its attempts, or can never run.
	Failed
	// Cancelled says that the caller gave the job up.
	Cancelled
	// Busy says that nothing of this order has started, and that it would take too long.
	Busy
	// Lost says that the job was given up here, and that nothing of it runs.
	Lost
)

// Answer is what a holder tells the entry of a job.
type Answer struct {
	ID      string
	Part    int
	Attempt int
	Outcome Outcome
	// Started says that a task of the job was started or may have been.
	Started bool
	// Wait is the expected wait for a place, where the outcome is Busy.
	Wait   time.Duration
	Reason string
}
