package dispatcher

import (
	"time"

	"bronzedrift.example/bronzedrift/internal/router"
	"bronzedrift.example/bronzedrift/internal/scheduler"
)

// Message is what one entry sends to another. Exactly one field is set.
type Message struct {
	Hello      *Hello
	Announce   *Upstream
	Verdict    *router.Verdict
	Forward    *Forward
	Query      *Query
	Reply      *ForwardReply
	Demand     *scheduler.Demand
	Withdraw   *Withdraw
	Admission  *Admission
	Settlement *Settlement
	Grant      *scheduler.Grant
	Release    *scheduler.Release
	Holdings   *Holdings
	Load       *LoadReport
}

// Hello introduces an entry on a new link and announces a planned stop.
type Hello struct {
	VM       string
	Started  time.Time
	Draining bool
}

// Forward passes a submission on to the owner of the job.
type Forward struct {
	Request uint64
	Hops    int
	Job     *Job
	// JoinOnly asks to join the job if it is known but not to admit it,
	// because the VM that received the submission is stopping.
	JoinOnly bool
	// TimeLeft is the time left to answer.
	TimeLeft time.Duration
	// Received is when the first entry received the submission.
	Received time.Time
}

// QueryKind is the operation that a Query asks for.
type QueryKind int

// The kinds of queries.
const (
	Lookup QueryKind = iota
	Cancel
)

// Query asks another entry for the state of a job, or to cancel the job, if that
// entry owns it.
type Query struct {
	Request uint64
	Hops    int
	Kind    QueryKind
	JobID   string
	Home    string
}

// ForwardReply answers a Forward or a Query.
type ForwardReply struct {
	Request uint64
	Answer  *Answer
}

// Withdraw cancels the demand for some waiting tasks.
type Withdraw struct {
	DataCentre string
	Job        string
	Count      int
}

// Admission reports to the owner whether the home lessor admitted a job under
// its team's quota.
type Admission struct {
	Job        string
	OK         bool
	RetryAfter time.Duration
}

// Settlement is the quota held for the tasks of a team. As a message, it
// returns the quota of ended tasks to the home lessor.
type Settlement struct {
	DataCentre string
	Team       string
	Count      int
}

// Holdings lists the slot leases and the quota that an entry holds, for a
// lessor that is new or newly linked.
type Holdings struct {
	DataCentre string
	Leases     []Lease
	Admitted   []Settlement
}

// Lease is one slot lease in use.
type Lease struct {
	Upstream string
	Team     string
	Shape    scheduler.Shape
}

// LoadReport reports the load of a data centre to the other entries.
type LoadReport struct {
	DataCentre string
	Services   []scheduler.Load
	Teams      []TeamLoad
}

// TeamLoad is one team's recent demand on a data centre, in tasks; older
// demand decays with each report.
type TeamLoad struct {
	Team         string
	RecentDemand float64
}
