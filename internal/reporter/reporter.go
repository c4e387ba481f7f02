// Package reporter defines the JSON that daemons send to operators. Daemons encode it and
// the command line decodes it.
package reporter

import "time"

// Event is a recorded event.
type Event struct {
	Number       int       `json:"number"`
	Name         string    `json:"name"`
	At           time.Time `json:"at"`
	ClockWall    time.Time `json:"clock-wall"`
	ClockCounter uint32    `json:"clock-counter"`
	VM           string    `json:"vm"`
	Job          string    `json:"job-id,omitempty"`
	Task         *int      `json:"task,omitempty"`
	Team         string    `json:"team,omitempty"`
	Upstream     string    `json:"upstream,omitempty"`
	Peer         string    `json:"peer,omitempty"`
	Text         string    `json:"text,omitempty"`
}

// Status is the response body of /v1/status.
type Status struct {
	VM              string     `json:"vm"`
	DataCentre      string     `json:"data-centre"`
	Roles           []string   `json:"roles"`
	StartedAt       time.Time  `json:"started-at"`
	Draining        bool       `json:"draining"`
	Lessor          string     `json:"lessor"`
	Ranges          []Range    `json:"ranges"`
	Links           []Link     `json:"links"`
	Jobs            int        `json:"jobs-in-flight"`
	QueuedTasks     int        `json:"tasks-queued"`
	RunningTasks    int        `json:"tasks-running"`
	KeptAnswers     int        `json:"answers-kept"`
	KeptAnswerBytes int        `json:"answers-kept-bytes"`
	Verdicts        []Verdict  `json:"verdicts"`
	Upstreams       []Upstream `json:"upstreams"`
	Loads           []Load     `json:"loads"`
	Messages        Messages   `json:"messages"`
	Version         uint64     `json:"config-version"`
	State           *State     `json:"state,omitempty"`
	// Evacuations are the data centres that were ever evacuated, in the view of the daemon.
	Evacuations []Evacuation `json:"evacuations"`
}

// Range is a range of job IDs that the daemon owns.
type Range struct {
	Name     string `json:"name"`
	Epoch    int64  `json:"epoch"`
	Complete bool   `json:"complete"`
}

// Link is the state of the link to another VM.
type Link struct {
	VM string `json:"vm"`
	Up bool   `json:"up"`
}

// Verdict is a verdict of the monitoring group that is in force.
type Verdict struct {
	Kind     string `json:"kind"`
	Name     string `json:"name"`
	State    string `json:"state"`
	Sequence uint64 `json:"sequence"`
}

// Upstream is an announced upstream.
type Upstream struct {
	Name         string   `json:"name"`
	DataCentre   string   `json:"data-centre"`
	Address      string   `json:"address"`
	Slots        int      `json:"slots"`
	Services     []string `json:"services"`
	Capabilities []string `json:"capabilities"`
	Leaving      bool     `json:"leaving"`
	Down         bool     `json:"down"`
}

// Load is the last known load of a service in a data centre.
type Load struct {
	DataCentre string `json:"data-centre"`
	Service    string `json:"service"`
	Slots      int    `json:"slots"`
	FreeSlots  int    `json:"free-slots"`
	Waiting    int    `json:"waiting"`
	Wait       string `json:"wait"`
}

// Messages are the message totals by kind.
type Messages struct {
	InnerSent       uint64 `json:"inner-sent"`
	InnerBytes      uint64 `json:"inner-bytes"`
	Starts          uint64 `json:"starts"`
	RefusedStarts   uint64 `json:"refused-starts"`
	Superseded      uint64 `json:"superseded-starts"`
	Probes          uint64 `json:"probes"`
	Fences          uint64 `json:"fences"`
	Forwards        uint64 `json:"forwards"`
	BouncedForwards uint64 `json:"bounced-forwards"`
	UnusedGrants    uint64 `json:"unused-grants"`
	RetriedStarts   uint64 `json:"retried-starts"`
}

// State is the state of the VM's replica of the configuration.
type State struct {
	ID       string   `json:"id"`
	Role     string   `json:"role"`
	Term     uint64   `json:"term"`
	LeaderVM string   `json:"leader"`
	Commit   uint64   `json:"commit"`
	Members  []Member `json:"members"`
}

// Member is a member of the group that replicates the configuration.
type Member struct {
	ID    string `json:"id"`
	VM    string `json:"vm"`
	Voter bool   `json:"voter"`
}

// Events is the response body of /v1/events.
type Events struct {
	VM          string  `json:"vm"`
	DataCentre  string  `json:"data-centre"`
	Overwritten uint64  `json:"overrun"`
	Events      []Event `json:"events"`
}
