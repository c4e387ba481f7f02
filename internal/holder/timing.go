package holder

import "time"

// Timing bounds how long each link of the chain from a caller to a run lasts
// once it is lost. The sum of Silence, a stop and Lease is shorter than the time
// after which a caller sends a job again.
type Timing struct {
	// Silence of an entry after which its jobs are stopped.
	Silence time.Duration
	// Lease of the runs on an upstream.
	Lease time.Duration
	// HoldWait is how long an upstream may wait for an end.
	HoldWait time.Duration
	// CallTimeout bounds a call beyond its own wait.
	CallTimeout time.Duration
	// StopTime is how long an upstream takes to stop a run.
	StopTime time.Duration
	// ClockDrift is the share by which an upstream's clock may run slow.
	ClockDrift float64
	// Settle is how long a VM that started listens before it takes upstreams.
	Settle time.Duration
	// UpstreamSilence is the silence after which an upstream is forgotten.
	UpstreamSilence time.Duration
	// RemoteFactor is how many times as long a task takes away from its data.
	RemoteFactor float64
}

// DefaultTiming suits callers that send a job again after 1.3 s.
func DefaultTiming() Timing {
	return Timing{
		Silence: 400 * time.Millisecond, Lease: 600 * time.Millisecond, HoldWait: 200 * time.Millisecond,
		CallTimeout: 100 * time.Millisecond, StopTime: 50 * time.Millisecond, ClockDrift: 0.02,
		Settle: 250 * time.Millisecond, UpstreamSilence: 6 * time.Second, RemoteFactor: 3,
	}
}

// Chain returns how long after the last word to a holder a run may still go on.
func (t Timing) Chain() time.Duration {
	lease := time.Duration(float64(t.Lease) * (1 + t.ClockDrift))
	return t.Silence + tickSlack + doubtLimit + lease
}

const (
	// tickSlack is by how much a decision that waits for time may be late.
	tickSlack = 50 * time.Millisecond
	// doubtLimit is how long leases are renewed beside a run whose stop is not
	// confirmed: two lost stops.
	doubtLimit = 200 * time.Millisecond
	// startPatience is how long the answer to a start may take at least: many round
	// trips, and short enough for a task of 60 ms to be on time elsewhere.
	startPatience = 30 * time.Millisecond
	// steadyTick is the pause between two looks at the clock up to which answers
	// that have come were read in between.
	steadyTick = 50 * time.Millisecond
	// probeEvery is the pause between calls to an upstream that has not answered.
	probeEvery = 200 * time.Millisecond
	// overdueFactor times its expected run time, and overdueEvery, is when the end
	// of a run is asked for though a call waits for it: that call may be lost.
	overdueFactor = 1.5
	overdueEvery  = 60 * time.Millisecond
	// freshness is the age of the last list of runs up to which a run that is not
	// listed as ended counts as stuck.
	freshness = 100 * time.Millisecond
	// answerMemory is how long answers are kept for orders that come again.
	answerMemory = 5 * time.Second
	// cancelMemory is how long the id of a cancelled job refuses new orders:
	// longer than a caller's message can be under way.
	cancelMemory = 15 * time.Second
	// noticeEvery is how often a VM repeats to the others what it holds.
	noticeEvery = 2 * time.Second
	// noticeMemory is how long such a word counts: one may be lost.
	noticeMemory = noticeEvery + noticeEvery/2
	// assignEvery is how often holders of upstreams are reconsidered.
	assignEvery = 100 * time.Millisecond
	// retakeDelay is the pause before an upstream is taken again after another
	// VM was seen to have it.
	retakeDelay = time.Second
	// remoteTakeDelay covers a link that is dialled anew and a heartbeat.
	remoteTakeDelay = 600 * time.Millisecond
	// endAckDelay lets the acknowledgement of an end ride on the next call.
	endAckDelay = 40 * time.Millisecond
	// LateFactor times the objective is the time after which an answer is of no
	// use to its caller.
	LateFactor = 3
	// stragglerFactor times its expected run time, and stragglerSlack, is when a
	// run counts as stuck: estimates are off by up to 40%.
	stragglerFactor = 3
	stragglerSlack  = 100 * time.Millisecond
	// pauseFirst and pauseMost bound the pause of an upstream that fails.
	pauseFirst = 250 * time.Millisecond
	pauseMost  = 3 * time.Second
	// pauseAfter is the number of failures in a row that begin a pause.
	pauseAfter = 2
	// speedGain is the weight of the newest run in an upstream's learnt speed.
	speedGain = 0.2
	// failGain is the weight of the newest run in an upstream's share of failures.
	failGain = 0.15
	// speedLeast and speedMost bound the learnt speed.
	speedLeast, speedMost = 0.1, 4.0
	// queueScan bounds how many waiting jobs one round tries to place.
	queueScan = 64
)
