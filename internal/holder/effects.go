package holder

import (
	"net/netip"
	"time"
)

// CallKind is an order to an upstream.
type CallKind int

// The kinds of calls.
const (
	StartCall CallKind = iota + 1
	StopCall
	HoldCall
)

// Call is one order to an upstream.
type Call struct {
	Kind     CallKind
	Upstream string
	Address  netip.AddrPort
	Token    uint64
	Task     string
	Run      int
	Spec     string
	// LeaseUntil is on the upstream's own clock; zero extends no lease.
	LeaseUntil time.Duration
	// LastEnd acknowledges the ends up to this number.
	LastEnd uint64
	// Wait is how long the upstream may wait for an end before it answers.
	Wait time.Duration
	// Timeout bounds the call.
	Timeout time.Duration
	SentAt  time.Time
}

// CallStatus is how a call ended.
type CallStatus int

// The ends of a call.
const (
	CallOK CallStatus = iota + 1
	// CallFenced: another VM has used a higher token.
	CallFenced
	// CallOld: a run with this or a higher number was there.
	CallOld
	// CallLate: the lease asked for has passed already.
	CallLate
	// CallNoRoom: the task does not fit.
	CallNoRoom
	// CallUnhealthy: the upstream refused work, and has done nothing.
	CallUnhealthy
	// CallInvalid: the upstream did not understand the call.
	CallInvalid
	// CallOtherLife: another life of the upstream answered.
	CallOtherLife
	// CallNotSent: no connection was made, nothing has reached the upstream.
	CallNotSent
	// CallUnanswered: the call may be carried out, now or seconds later.
	CallUnanswered
)

// RunState is one run that an upstream lists as present.
type RunState struct {
	Task    string
	Run     int
	Percent int
}

// RunEnd is one ended run that an upstream lists.
type RunEnd struct {
	Number uint64
	Task   string
	Run    int
	How    EndKind
}

// EndKind is how a run ended.
type EndKind int

// The ends of a run.
const (
	EndDone EndKind = iota + 1
	EndFailed
	EndStopped
	EndLapsed
)

// CallResult is the answer to a call.
type CallResult struct {
	Call   Call
	Status CallStatus
	// Clock is the upstream's clock when it answered, zero without an answer.
	Clock   time.Duration
	Born    time.Time
	Running []RunState
	Ended   []RunEnd
	Text    string
}

// Reply is an answer for an entry.
type Reply struct {
	Entry  string
	Answer Answer
}

// Handover passes an upstream to the VM that should hold it.
type Handover struct {
	To       string
	Upstream string
	Token    uint64
}

// Decision is one line for the log.
type Decision struct {
	Event    string
	Job      string
	Request  string
	Task     string
	Run      int
	Upstream string
	Peer     string
	Reason   string
	Wait     time.Duration
	// IsFault says that the line is kept before others when lines are dropped.
	IsFault bool
}

// Effects is what has to be done after an input.
type Effects struct {
	Calls     []Call
	Replies   []Reply
	Notices   []Notice
	Handovers []Handover
	Decisions []Decision
}

// Reset empties the effects for the next input.
func (e *Effects) Reset() {
	*e = Effects{
		Calls: e.Calls[:0], Replies: e.Replies[:0], Notices: e.Notices[:0],
		Handovers: e.Handovers[:0], Decisions: e.Decisions[:0],
	}
}
