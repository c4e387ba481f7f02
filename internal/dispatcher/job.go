// Package dispatcher decides what one entry does with jobs: which entry owns
// them, whether they may run, where each task starts and what is answered. It
// reads no clock, opens no socket and starts no goroutine: the current time is
// passed in with each input, and all actions are returned as effects.
package dispatcher

import (
	"net/netip"
	"strconv"
	"time"

	"bronzedrift.example/bronzedrift/internal/scheduler"
)

// Job is a caller's submission.
type Job struct {
	ID         string
	Submitted  time.Time
	Team       string
	Service    string
	Home       string
	Repeatable bool
	Timeout    time.Duration
	Tasks      []Task
	Digest     uint64
}

// Task is one unit of work of a job.
type Task struct {
	Payload         []byte
	Shape           scheduler.Shape
	DeclaredRunTime time.Duration
}

// TaskID returns the id under which an upstream knows a task.
func TaskID(jobID string, index int) string {
	return jobID + "." + strconv.Itoa(index)
}

// Outcome is the state of a job as reported to its caller.
type Outcome string

// The outcomes of a job.
const (
	Complete Outcome = "complete"
	Failed   Outcome = "failed"
	Running  Outcome = "running"
)

// Ran says whether any task of a job is known to have started.
type Ran string

// The values of Ran. NotRun is reported only if it is proven.
const (
	DidRun  Ran = "ran"
	NotRun  Ran = "not-run"
	Unknown Ran = "unknown"
)

// Answer is the reply to a caller about a job.
type Answer struct {
	JobID      string
	Home       string
	Outcome    Outcome
	Ran        Ran
	Reason     Reason
	Message    string
	RetryAfter time.Duration
	Results    [][]byte
}

// Reason is the cause of a refusal or a failure.
type Reason string

// The reasons of refusals and failures.
const (
	NoReason          Reason = ""
	Malformed         Reason = "malformed"
	UnknownTeam       Reason = "unknown-team"
	UnknownService    Reason = "unknown-service"
	UnknownJob        Reason = "unknown-job"
	ReusedID          Reason = "reused-id"
	TooLarge          Reason = "too-large"
	NeverFits         Reason = "never-fits"
	OverQuota         Reason = "over-quota"
	Cancelled         Reason = "cancelled"
	TaskFailed        Reason = "task-failed"
	Draining          Reason = "draining"
	Evacuated         Reason = "evacuated"
	Overloaded        Reason = "overloaded"
	TimedOut          Reason = "timed-out"
	OutcomeUnknown    Reason = "outcome-unknown"
	HomeUnreachable   Reason = "home-unreachable"
	SubmittedTooEarly Reason = "submitted-at-out-of-range"
)

// Capability is an operation on tasks, beyond running them, that an upstream
// supports.
type Capability string

// The capabilities of upstreams.
const (
	Fence      Capability = "fence"
	Stop       Capability = "stop"
	Checkpoint Capability = "checkpoint"
	Throttle   Capability = "throttle"
)

// Upstream is a back end as described by its announcement.
type Upstream struct {
	Name         string
	Address      netip.AddrPort
	DataCentre   string
	Rack         string
	Capacity     scheduler.Shape
	Services     []string
	Capabilities []Capability
	Leaving      bool
	// MemorySince is when the upstream's memory of tasks begins, zero if it is
	// not announced.
	MemorySince time.Time
	// Announced is when an entry received the announcement, or learned of an incarnation that has
	// announced nothing yet.
	Announced time.Time
}

// IsAnnounced reports whether the incarnation has announced itself. Of one that is known from an
// answer only, neither services nor capacity nor capabilities are known, and nothing is started there.
func (u *Upstream) IsAnnounced() bool { return u.Capacity.Slots > 0 }

// unannounced returns the upstream in another incarnation, whose memory begins at since.
func (u *Upstream) unannounced(now, since time.Time) *Upstream {
	return &Upstream{Name: u.Name, Address: u.Address, DataCentre: u.DataCentre, MemorySince: since, Announced: now}
}

// replaces reports whether an announcement is used in place of the known one. A direct one has come
// from the upstream itself. Of one incarnation its own announcement is used, whenever it arrives.
func (u *Upstream) replaces(known *Upstream, direct bool) bool {
	if u.IsAnnounced() != known.IsAnnounced() && IsSameMemory(u.MemorySince, known.MemorySince) {
		return u.IsAnnounced()
	}
	return direct || u.Announced.After(known.Announced)
}

// mayFence reports whether the upstream can fence or has not announced whether it can.
func (u *Upstream) mayFence() bool { return u.HasCapability(Fence) || !u.IsAnnounced() }

// HasCapability reports whether the upstream announced a capability.
func (u *Upstream) HasCapability(c Capability) bool {
	for _, have := range u.Capabilities {
		if have == c {
			return true
		}
	}
	return false
}

// Team is a customer with its quota; a limit of zero means unlimited.
type Team struct {
	Name            string
	TasksInFlight   int
	StartsPerSecond float64
}

// Service is a kind of work that upstreams offer.
type Service struct {
	Name    string
	Timeout time.Duration
}
