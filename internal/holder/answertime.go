package holder

import "time"

// answerTime estimates how long upstreams take to answer a start, in the way in which
// TCP estimates its retransmission timeout. A busy VM reads answers late, and must not
// mistake that for unanswered starts.
type answerTime struct {
	mean, deviation time.Duration
}

const (
	// The newest answer has the weights 1/8 and 1/4 of RFC 6298, and the timeout allows
	// for four deviations as there.
	meanDivisor         = 8
	deviationDivisor    = 4
	deviationMultiplier = 4
)

// observe adds the time that the answer to a start took.
func (a *answerTime) observe(d time.Duration) {
	off := d - a.mean
	a.mean += off / meanDivisor
	a.deviation += (max(off, -off) - a.deviation) / deviationDivisor
}

// maxStartTimeout bounds the wait for the answer to a start. The lease that ends before it is shorter
// than the one that runs live on.
const maxStartTimeout = 300 * time.Millisecond

// timeout returns how long to wait for an answer.
func (a *answerTime) timeout() time.Duration {
	return min(max(minStartTimeout, a.mean+deviationMultiplier*a.deviation), maxStartTimeout)
}
