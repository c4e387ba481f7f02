// Package recorder keeps the newest events of a daemon in a ring of fixed size. Events are
// numbered by kind and ordered by a logical clock, so that a job can be followed across VMs.
package recorder

import "time"

// Number identifies a kind of event in docs/EVENTS.md.
type Number int

// The events. Numbers are never reused.
const (
	DaemonStarted       Number = 101
	DaemonStopped       Number = 102
	DrainStarted        Number = 103
	DrainEnded          Number = 104
	SettingsRefused     Number = 105
	DutyRestarted       Number = 106
	ListenerReady       Number = 107
	LinkUp              Number = 201
	LinkLost            Number = 202
	LinkRefused         Number = 203
	RingFull            Number = 204
	JobSubmitted        Number = 301
	JobForwarded        Number = 302
	JobAdmitted         Number = 303
	JobJoined           Number = 304
	JobRefused          Number = 305
	JobAnswered         Number = 306
	JobCancelled        Number = 307
	JobMoved            Number = 308
	TaskStarted         Number = 401
	TaskEnded           Number = 402
	TaskFailed          Number = 403
	TaskNotStarted      Number = 404
	TaskOutcomeUnknown  Number = 405
	TaskInherited       Number = 406
	TaskRetried         Number = 407
	RangeClaimed        Number = 501
	RangeClaimComplete  Number = 502
	RangeLost           Number = 503
	RangeReleased       Number = 504
	FenceFailed         Number = 505
	UpstreamAnnounced   Number = 601
	UpstreamLeaving     Number = 602
	VerdictObeyed       Number = 603
	VerdictOutOfDate    Number = 604
	LessorChanged       Number = 605
	SecretRefused       Number = 701
	ConfigurationInUse  Number = 702
	ElectionWon         Number = 703
	LogTailCut          Number = 704
	ConfigurationChange Number = 705
	DiskRefused         Number = 706
)

// Event is one recorded occurrence of a kind of event.
type Event struct {
	Number   Number
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
