package holder

import (
	"net/netip"
	"time"

	"bronzedrift.example/bronzedrift/internal/quarantiner"
)

// CallKind is the kind of a call to an upstream.
type CallKind int

// The kinds of calls.
const (
	StartCall CallKind = iota + 1
	StopCall
	HoldCall
)

func (k CallKind) String() string {
	switch k {
	case StartCall:
		return "start"
	case StopCall:
		return "stop"
	case HoldCall:
		return "hold"
	}
	return ""
}

// Call is one request to an upstream.
type Call struct {
	Kind     CallKind
	Upstream string
	Address  netip.AddrPort
	Token    uint64
	Task     string
	Run      int
	Spec     string
	// LeaseUntil is the end of the lease on the upstream's own clock; zero renews no lease.
	LeaseUntil time.Duration
	// LastEnd acknowledges the run ends up to this number.
	LastEnd uint64
	// Wait is how long the upstream may hold the call open for a run to end.
	Wait time.Duration
	// Timeout bounds the whole call.
	Timeout time.Duration
	SentAt  time.Time
}

// CallStatus is the outcome of a call.
type CallStatus int

// The outcomes of a call.
const (
	CallOK CallStatus = iota + 1
	// CallFenced: another VM has used a higher token.
	CallFenced
	// CallRunNumberUsed: the upstream has already seen this or a higher run number of the task.
	CallRunNumberUsed
	// CallLeaseExpired: the requested lease has already expired.
	CallLeaseExpired
	// CallNoCapacity: the upstream has too little free capacity for the task.
	CallNoCapacity
	// CallUnhealthy: the upstream refused the call and did nothing.
	CallUnhealthy
	// CallInvalid: the upstream rejected the call as malformed.
	CallInvalid
	// CallOtherIncarnation: an instance with another id answered at the upstream's address.
	CallOtherIncarnation
	// CallNotSent: no connection was made, so nothing has reached the upstream.
	CallNotSent
	// CallUnanswered: no usable answer came; the call may take effect, now or seconds later.
	CallUnanswered
)

// RunState is one run that an upstream lists as running.
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

// EndKind is the way in which a run ended.
type EndKind int

// The ways in which a run ends.
const (
	EndDone EndKind = iota + 1
	EndFailed
	EndStopped
	// EndLeaseExpired: the lease of the run has expired.
	EndLeaseExpired
)

// CallResult is the response to a call.
type CallResult struct {
	Call   Call
	Status CallStatus
	// Sign tells more about a call that was not answered.
	Sign Sign
	// Clock is the upstream's clock when it responded, zero without a response.
	Clock     time.Duration
	StartedAt time.Time
	Running   []RunState
	Ended     []RunEnd
	Text      string
	// HasDialled is set if the call opened a connection.
	HasDialled bool
}

// Reply is an answer addressed to an entry.
type Reply struct {
	Entry  string
	Answer Answer
}

// Handover passes an upstream on to the VM that should hold it.
type Handover struct {
	To       string
	Upstream string
	Token    uint64
}

// Decision is one event for the log.
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
	// Evidence is what a decision about a crash rests on, and Age the time since the last
	// answer of the upstream.
	Evidence string
	Age      time.Duration
	// IsFault marks events that are kept in preference to others when the log drops some.
	IsFault bool
}

// Effects collects the calls, messages and log events that an input gives rise to.
type Effects struct {
	Calls     []Call
	Replies   []Reply
	Notices   []Notice
	Handovers []Handover
	// Losses are what was just found out of lost upstreams, and Crashes the records of what
	// ran there, both for the other VMs.
	Losses    []quarantiner.Loss
	Crashes   []quarantiner.Crash
	Decisions []Decision
}

// Reset empties the effects for the next input.
func (e *Effects) Reset() {
	*e = Effects{
		Calls: e.Calls[:0], Replies: e.Replies[:0], Notices: e.Notices[:0],
		Handovers: e.Handovers[:0], Losses: e.Losses[:0], Crashes: e.Crashes[:0], Decisions: e.Decisions[:0],
	}
}
