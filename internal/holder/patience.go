package holder

import "time"

// patience is how long the answers to starts may take, learnt from those that came as
// a transport learns its retransmission time: a busy VM reads its answers late, and
// must not take that for the upstreams' silence.
type patience struct {
	mean, deviation time.Duration
}

const (
	// patienceGain and deviationGain are the weights of the newest answer, those of
	// RFC 6298; deviations are counted four times as there.
	patienceGain     = 8
	deviationGain    = 4
	deviationsWaited = 4
)

// observe takes the time in which a start was answered.
func (p *patience) observe(d time.Duration) {
	off := d - p.mean
	p.mean += off / patienceGain
	p.deviation += (max(off, -off) - p.deviation) / deviationGain
}

// limit returns how long to wait for an answer.
func (p *patience) limit() time.Duration {
	return min(max(startPatience, p.mean+deviationsWaited*p.deviation), startTimeout)
}
