package forwarder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// count returns how many jobs ended with a result.
func (w *world) count(r Result) int {
	n := 0
	for _, verdicts := range w.answered {
		if len(verdicts) > 0 && verdicts[len(verdicts)-1].Result == r {
			n++
		}
	}
	return n
}

// TestGreyUpstreams answers the pattern in which some upstreams fail a part of
// their runs at once while they report good health: a fast failure frees its place,
// so that free places alone would send them most of the work.
func TestGreyUpstreams(t *testing.T) {
	for seed := range uint64(3) {
		w := newWorld(t, seed, 4, 3, 16)
		w.arrivalEvery, w.maxAttempts = 25, 2
		for _, u := range w.upstreams[:3] {
			u.failShare = 0.5
		}
		w.traffic(12 * time.Second)
		assertPromises(t, w)
		failed := w.count(Failed)
		t.Logf("%d failed", failed)
		assert.LessOrEqual(t, failed, len(w.answered)/100, "more than 1% failed though most upstreams are sound")
	}
}

// TestUpstreamsLostInBurst answers the pattern in which a quarter of the upstreams
// is cut off while more callers come: what the rest can do is done on time.
func TestUpstreamsLostInBurst(t *testing.T) {
	for seed := range uint64(3) {
		w := newWorld(t, seed, 4, 3, 16)
		w.at(3*time.Second, func() { w.cutUpstreams(4, 6*time.Second) })
		w.traffic(10 * time.Second)
		assertPromises(t, w)
		assert.GreaterOrEqual(t, w.count(Completed), len(w.answered)*9/10)
	}
}
