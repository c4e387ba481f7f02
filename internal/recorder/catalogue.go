package recorder

// eventKind describes a kind of event.
type eventKind struct {
	name   string
	logged bool
	fault  bool
}

// catalogue gives the name of each event, whether it is logged in addition to being kept
// in the ring, and whether it is a fault.
var catalogue = map[EventNumber]eventKind{
	DaemonStarted:       {"daemon-started", true, false},
	DaemonStopped:       {"daemon-stopped", true, false},
	DrainStarted:        {"drain-started", true, false},
	DrainEnded:          {"drain-ended", true, false},
	SettingsRefused:     {"settings-refused", true, true},
	DutyRestarted:       {"duty-restarted", true, true},
	ListenerReady:       {"listener-ready", true, false},
	InputPanicked:       {"input-panicked", true, true},
	LinkUp:              {"link-up", true, false},
	LinkLost:            {"link-lost", true, true},
	LinkRefused:         {"link-refused", true, true},
	RingFull:            {"ring-full", true, true},
	AcceptFailed:        {"accept-failed", true, true},
	LogQueueFull:        {"log-queue-full", true, true},
	JobSubmitted:        {"job-submitted", false, false},
	JobForwarded:        {"job-forwarded", false, false},
	JobAdmitted:         {"job-admitted", false, false},
	JobJoined:           {"job-joined", false, false},
	JobRefused:          {"job-refused", false, false},
	JobAnswered:         {"job-answered", false, false},
	JobCancelled:        {"job-cancelled", false, false},
	JobMoved:            {"job-moved", false, false},
	TaskStarted:         {"task-started", false, false},
	TaskEnded:           {"task-ended", false, false},
	TaskFailed:          {"task-failed", false, false},
	TaskNotStarted:      {"task-not-started", false, false},
	TaskOutcomeUnknown:  {"task-outcome-unknown", true, true},
	TaskInherited:       {"task-inherited", false, false},
	TaskRetried:         {"task-retried", false, false},
	TaskGivenUp:         {"task-given-up", true, true},
	RangeClaimed:        {"range-claimed", true, false},
	RangeClaimComplete:  {"range-claim-complete", true, false},
	RangeLost:           {"range-lost", true, true},
	RangeReleased:       {"range-released", true, false},
	FenceFailed:         {"fence-failed", true, true},
	UpstreamAnnounced:   {"upstream-announced", true, false},
	UpstreamLeaving:     {"upstream-leaving", true, false},
	VerdictObeyed:       {"verdict-obeyed", true, false},
	VerdictOutOfDate:    {"verdict-out-of-date", false, false},
	LessorChanged:       {"lessor-changed", true, false},
	UpstreamRestarted:   {"upstream-restarted", true, false},
	SecretRefused:       {"secret-refused", true, true},
	ConfigurationInUse:  {"configuration-in-use", true, false},
	ElectionWon:         {"election-won", true, false},
	LogTailCut:          {"log-tail-cut", true, true},
	ConfigurationChange: {"configuration-change", true, false},
	DiskRefused:         {"disk-refused", true, true},
	EvacuationChanged:   {"evacuation-changed", true, false},
	InputDropped:        {"input-dropped", true, true},
	ClientsClosed:       {"clients-closed", true, true},
}

// Name returns the name of the event in kebab case.
func (n EventNumber) Name() string { return catalogue[n].name }

// IsLogged reports whether the event is logged.
func (n EventNumber) IsLogged() bool { return catalogue[n].logged }

// IsFault reports whether the event is a fault.
func (n EventNumber) IsFault() bool { return catalogue[n].fault }

// Numbers returns the numbers of all events.
func Numbers() []EventNumber {
	numbers := make([]EventNumber, 0, len(catalogue))
	for n := range catalogue {
		numbers = append(numbers, n)
	}
	return numbers
}
