// Package recorder keeps the newest events of a daemon in a ring of fixed size. Events are
// numbered by kind and ordered by a logical clock, so that a job can be followed across VMs.
package recorder

import "time"

// EventNumber identifies a kind of event in docs/EVENTS.md.
type EventNumber int

// The events. Numbers are never reused.
const (
	DaemonStarted       EventNumber = 101
	DaemonStopped       EventNumber = 102
	DrainStarted        EventNumber = 103
	DrainEnded          EventNumber = 104
	SettingsRefused     EventNumber = 105
	DutyRestarted       EventNumber = 106
	ListenerReady       EventNumber = 107
	InputPanicked       EventNumber = 108
	LinkUp              EventNumber = 201
	LinkLost            EventNumber = 202
	LinkRefused         EventNumber = 203
	RingFull            EventNumber = 204
	AcceptFailed        EventNumber = 205
	LogQueueFull        EventNumber = 206
	JobSubmitted        EventNumber = 301
	JobForwarded        EventNumber = 302
	JobAdmitted         EventNumber = 303
	JobJoined           EventNumber = 304
	JobRefused          EventNumber = 305
	JobAnswered         EventNumber = 306
	JobCancelled        EventNumber = 307
	JobMoved            EventNumber = 308
	TaskStarted         EventNumber = 401
	TaskEnded           EventNumber = 402
	TaskFailed          EventNumber = 403
	TaskNotStarted      EventNumber = 404
	TaskOutcomeUnknown  EventNumber = 405
	TaskInherited       EventNumber = 406
	TaskRetried         EventNumber = 407
	TaskGivenUp         EventNumber = 408
	RangeClaimed        EventNumber = 501
	RangeClaimComplete  EventNumber = 502
	RangeLost           EventNumber = 503
	RangeReleased       EventNumber = 504
	FenceFailed         EventNumber = 505
	UpstreamAnnounced   EventNumber = 601
	UpstreamLeaving     EventNumber = 602
	VerdictObeyed       EventNumber = 603
	VerdictOutOfDate    EventNumber = 604
	LessorChanged       EventNumber = 605
	UpstreamRestarted   EventNumber = 606
	SecretRefused       EventNumber = 701
	ConfigurationInUse  EventNumber = 702
	ElectionWon         EventNumber = 703
	LogTailCut          EventNumber = 704
	ConfigurationChange EventNumber = 705
	DiskRefused         EventNumber = 706
	EvacuationChanged   EventNumber = 707
	InputDropped        EventNumber = 708
	ClientsClosed       EventNumber = 709
)

// Event is one recorded occurrence of a kind of event.
type Event struct {
	Number   EventNumber
	At       time.Time
	Clock    Clock
	VM       string
	Job      string
	Task     int
	Team     string
	Upstream string
	Peer     string
	Text     string
}

// NoTask is the Task of an event that does not concern a single task.
const NoTask = -1
