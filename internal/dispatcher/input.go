package dispatcher

import (
	"net/netip"
	"time"

	"bronzedrift.example/bronzedrift/internal/recorder"
	"bronzedrift.example/bronzedrift/internal/router"
)

// Input is an event for the Dispatcher to process. Exactly one of the other fields than QueuedAt is set.
type Input struct {
	// QueuedAt is when the input was queued, zero if it has not waited.
	QueuedAt    time.Time
	Submit      *Submission
	CallerQuery *CallerQuery
	Announce    *Upstream
	Verdict     *router.Verdict
	Received    *Received
	PeerLost    string
	PeerUp      string
	TaskEnd     *TaskEnd
	FenceEnd    *FenceEnd
	// Configure replaces the teams and services.
	Configure *Configuration
	// Evacuations are the latest changes of all data centres that were ever
	// evacuated.
	Evacuations []Evacuation
	Drain       bool
	Tick        bool
}

// Configuration holds the teams and services in force.
type Configuration struct {
	Teams    []Team
	Services []Service
}

// Submission is a job that a caller submitted at this entry. Waiter identifies
// the caller's connection in the Reply.
type Submission struct {
	Waiter uint64
	Job    *Job
}

// CallerQuery is a caller's lookup or cancellation of a job.
type CallerQuery struct {
	Waiter uint64
	Kind   QueryKind
	JobID  string
	Home   string
}

// Received is a message from another entry.
type Received struct {
	From    string
	Message Message
}

// EndKind is how the run of a task at an upstream ended.
type EndKind int

// The kinds of ends. EndedNotStarted is reported only if it is proven.
// EndedSuperseded is also proven not started: the upstream has seen a higher
// epoch of the range. So is EndedRestarted: the upstream remembers tasks since
// another time than the start named.
const (
	EndedComplete EndKind = iota
	EndedFailed
	EndedNotStarted
	EndedSuperseded
	EndedRestarted
	EndedUnknown
)

// TaskEnd reports the end of a start or a probe.
type TaskEnd struct {
	JobID       string
	Task        int
	Upstream    string
	Kind        EndKind
	Epoch       int64
	HigherEpoch int64
	Elapsed     time.Duration
	Status      int
	Payload     []byte
	Messages    int
	// HasCrashed is set with EndedUnknown if the process of the upstream has ended since the
	// start.
	HasCrashed bool
	// ExpectedSince and MemorySince are set with EndedRestarted: the MemorySince of the start,
	// and that of the upstream which refused it.
	ExpectedSince time.Time
	MemorySince   time.Time
	// LostAge is, with HasCrashed, how long before this end the first sign of it was noticed.
	LostAge time.Duration
}

// FenceEnd is the outcome of a request to an upstream to fence a range: it is
// fenced, the request failed, or it was fenced before under HigherEpoch.
// MemorySince is the time since when Started is complete, StartedAt when the
// memory of the incarnation that has answered begins, zero if it does not say so.
type FenceEnd struct {
	Range       string
	Epoch       int64
	Upstream    string
	Address     netip.AddrPort
	OK          bool
	HigherEpoch int64
	MemorySince time.Time
	Started     []string
	StartedAt   time.Time
	// ExpectedSince is the MemorySince of the request.
	ExpectedSince time.Time
}

// Effects lists the actions that the daemon has to carry out after an input.
type Effects struct {
	Sends   []Send
	Starts  []Start
	Probes  []Probe
	Fences  []FenceRange
	Stops   []StopTask
	Replies []Reply
	Events  []recorder.Event
}

// Reset empties the effects and keeps their allocated memory.
func (e *Effects) Reset() {
	clear(e.Sends)
	clear(e.Starts)
	clear(e.Probes)
	clear(e.Fences)
	clear(e.Replies)
	clear(e.Events)
	e.Sends, e.Starts, e.Probes = e.Sends[:0], e.Starts[:0], e.Probes[:0]
	e.Fences, e.Stops = e.Fences[:0], e.Stops[:0]
	e.Replies, e.Events = e.Replies[:0], e.Events[:0]
}

// Send is a message to another entry.
type Send struct {
	To      string
	Message Message
}

// Start is one task to start at an upstream under a range's epoch.
type Start struct {
	JobID    string
	Task     int
	Upstream string
	Address  netip.AddrPort
	Fencing  bool
	Range    string
	Epoch    int64
	// Timeout is the time left until the job's deadline.
	Timeout         time.Duration
	ExpectedRunTime time.Duration
	Repeatable      bool
	// MemorySince is when the upstream's memory of tasks begins, as last
	// announced before the start. An upstream that has restarted since then
	// refuses the start. Zero allows any incarnation.
	MemorySince time.Time
	Payload     []byte
}

// Probe asks an upstream for the outcome of a task that an earlier owner
// started there.
type Probe struct {
	JobID    string
	Task     int
	Upstream string
	Address  netip.AddrPort
	Epoch    int64
	Timeout  time.Duration
	// MemorySince is when the memory of the incarnation begins that has started
	// the task. Another one cannot tell whether it has run.
	MemorySince time.Time
}

// FenceRange asks an upstream to refuse lower epochs of a range.
type FenceRange struct {
	Range    string
	Epoch    int64
	Upstream string
	Address  netip.AddrPort
	Delay    time.Duration
	// MemorySince is as in Start, but any incarnation takes the fence.
	MemorySince time.Time
}

// StopTask asks an upstream to stop a running task.
type StopTask struct {
	TaskID  string
	Address netip.AddrPort
}

// Reply answers a waiting caller.
type Reply struct {
	Waiter uint64
	Answer *Answer
}
