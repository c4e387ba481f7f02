package holder

import "time"

// Timing bounds how long a run may go on once a link between its caller and its
// upstream is lost. Silence, a stop and Lease together are shorter than the time after
// which a caller submits a job again.
type Timing struct {
	// Silence is the time without a message from an entry after which its jobs are abandoned.
	Silence time.Duration
	// Lease is how long the runs on an upstream may go on after a lease is granted.
	Lease time.Duration
	// MaxLease is the longest lease that an upstream grants from the arrival of a call,
	// whatever the call asks for.
	MaxLease time.Duration
	// HoldWait is how long an upstream may hold a call open for a run to end.
	HoldWait time.Duration
	// CallTimeout is the timeout of a call, in addition to the Wait of the call.
	CallTimeout time.Duration
	// StopTime is how long an upstream takes to stop a run.
	StopTime time.Duration
	// ClockDrift is the fraction by which an upstream's clock may run slow.
	ClockDrift float64
	// Settle is how long a VM waits for notices after its start before it takes upstreams.
	Settle time.Duration
	// UpstreamSilence is the time without a heartbeat after which an upstream is forgotten.
	UpstreamSilence time.Duration
	// RemoteFactor is the factor by which a task takes longer away from its data.
	RemoteFactor float64
}

// DefaultTiming suits callers that submit a job again after 1.3 s.
func DefaultTiming() Timing {
	return Timing{
		Silence: 400 * time.Millisecond, Lease: 600 * time.Millisecond, MaxLease: time.Second, HoldWait: 200 * time.Millisecond,
		CallTimeout: 100 * time.Millisecond, StopTime: 50 * time.Millisecond, ClockDrift: 0.02,
		Settle: 250 * time.Millisecond, UpstreamSilence: 6 * time.Second, RemoteFactor: 3,
	}
}

// longestLease is how long a lease may last after the arrival of a call that asks for it on
// the clock of another incarnation.
func (t *Timing) longestLease() time.Duration {
	return time.Duration(float64(t.MaxLease) * (1 + t.ClockDrift))
}

// MaxRunAfterLoss returns how long a run may go on after the last message to its holder.
func (t Timing) MaxRunAfterLoss() time.Duration {
	lease := time.Duration(float64(t.Lease) * (1 + t.ClockDrift))
	return t.Silence + tickSlack + stopConfirmLimit + lease
}

const (
	// tickSlack is the longest time between when a timed decision is due and the tick that
	// makes it.
	tickSlack = 50 * time.Millisecond
	// stopConfirmLimit is how long leases are renewed while the stop of a run is not
	// confirmed; it allows for two lost stops.
	stopConfirmLimit = 200 * time.Millisecond
	// minStartTimeout is the minimum wait for the answer to a start: many round trips,
	// and short enough for a task of 60 ms to be on time on another upstream.
	minStartTimeout = 20 * time.Millisecond
	// maxTickGap is the longest gap between two ticks after which the answers that arrived
	// in between are assumed to have been read. After a longer one, no start times out at
	// that tick.
	maxTickGap = 50 * time.Millisecond
	// maxFencing is how long the call that takes a restarted upstream is repeated before its
	// answer, since the call may be lost: as long as one may take.
	maxFencing = 100 * time.Millisecond
	// probeInterval is the interval between calls to an unresponsive upstream.
	probeInterval = 200 * time.Millisecond
	// The runs are listed again if one has taken overdueFactor times its expected run
	// time and the pending hold call is older than overdueInterval, as it may be lost.
	overdueFactor   = 1.5
	overdueInterval = 60 * time.Millisecond
	// maxListAge is the maximum age of the list of runs for a run on it to count as stuck.
	maxListAge = 100 * time.Millisecond
	// answerTTL is how long answers are kept for resent orders.
	answerTTL = 5 * time.Second
	// cancelTTL is how long orders for a cancelled job are refused: longer than a
	// caller's message can be in flight. An upstream that has left is remembered as long.
	cancelTTL = 15 * time.Second
	// noticeInterval is how often a VM repeats to the others which upstreams it holds.
	noticeInterval = 2 * time.Second
	// noticeTTL is how long such a notice is valid; one may be lost.
	noticeTTL = noticeInterval + noticeInterval/2
	// assignInterval is how often the assignment of upstreams is reconsidered.
	assignInterval = 100 * time.Millisecond
	// noticedTakeDelay is the delay before an upstream is taken again after a notice from
	// another VM that holds it.
	noticedTakeDelay = time.Second
	// remoteTakeDelay is the delay before an upstream in another data centre is taken; it
	// covers a reconnect and a heartbeat.
	remoteTakeDelay = 600 * time.Millisecond
	// endAckDelay is how long the acknowledgement of a run's end waits for another call
	// that can carry it.
	endAckDelay = 40 * time.Millisecond
	// AbandonFactor is the multiple of the objective after which an answer is of no use to
	// its caller.
	AbandonFactor = 3
	// A run counts as stuck after stuckFactor times its expected run time and
	// stuckSlack: estimates are off by up to 40%.
	stuckFactor = 3
	stuckSlack  = 100 * time.Millisecond
	// minPause and maxPause bound the pause of a failing upstream.
	minPause = 250 * time.Millisecond
	maxPause = 3 * time.Second
	// pauseAfterFailures is the number of consecutive failures that start a pause.
	pauseAfterFailures = 2
	// speedGain is the weight of the newest run in an upstream's estimated speed.
	speedGain = 0.2
	// failureRateGain is the weight of the newest run in an upstream's failure rate.
	failureRateGain = 0.15
	// minSpeed and maxSpeed bound the estimated speed.
	minSpeed, maxSpeed = 0.1, 4.0
	// maxQueueScan is the maximum number of queued jobs that one round tries to place.
	maxQueueScan = 64
)
