package forwarder

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// lostOrderPolicies are plain ways to treat a start that is not answered. They see no other
// lost call: ends of runs are known at once.
var lostOrderPolicies = map[string]time.Duration{
	"waits for an answer": traceLength,
	"retries after 200ms": 200 * time.Millisecond,
	"retries after 100ms": 100 * time.Millisecond,
}

// TestLostOrders covers upstreams that leave a share of all calls (starts, stops and holds)
// unanswered and carry them out seconds later. With up to a tenth of them lost, 95% of the
// benefit without losses remains; and at each share nine tenths of what plain policies reach
// that lose starts alone. No task runs twice at the same time.
func TestLostOrders(t *testing.T) {
	const seeds, mostLost, remaining, ofPlainPolicies = 2, 0.1, 0.95, 0.9
	mean := func(of func(seed uint64, trace []traceJob) benefit) float64 {
		sum := 0.0
		for seed := uint64(1); seed <= seeds; seed++ {
			sum += of(seed, makeTrace(seed, [3]float64{1, 1, 1})).mean()
		}
		return sum / seeds
	}
	simulate := func(share float64) float64 {
		return mean(func(seed uint64, trace []traceJob) benefit {
			return simulateTrace(t, seed, trace, func(sim *simulation) { sim.lateCallShare = share })
		})
	}
	withoutLoss := simulate(0)
	t.Logf("without losses      %.3f", withoutLoss)
	for _, share := range []float64{0.05, 0.1, 0.3, 0.5} {
		t.Run(fmt.Sprint(share), func(t *testing.T) {
			simulated := simulate(share)
			t.Logf("entries and holders %.3f", simulated)
			if share <= mostLost {
				assert.GreaterOrEqual(t, simulated, remaining*withoutLoss)
			}
			for name, retryAfter := range lostOrderPolicies {
				p := referencePolicies["earliest objective"]
				p.lostStarts, p.retryAfter = share, retryAfter
				plain := mean(func(_ uint64, trace []traceJob) benefit { return simulatePolicy(trace, p) })
				t.Logf("%s %.3f", name, plain)
				assert.GreaterOrEqual(t, simulated, ofPlainPolicies*plain, name)
			}
		})
	}
}

// TestLostAnswers covers calls that are carried out while their answer is lost. What has run
// must not run again, and what runs must not be stopped for it.
func TestLostAnswers(t *testing.T) {
	const seed, share, remaining, mostStoppedPercent = 1, 0.1, 0.95, 1
	trace := makeTrace(seed, [3]float64{1, 1, 1})
	withoutLoss := simulateTrace(t, seed, trace, nil).mean()
	var sim *simulation
	simulated := simulateTrace(t, seed, trace, func(s *simulation) {
		sim = s
		s.lostAnswerShare = share
	}).mean()
	t.Logf("without losses %.3f, with %.3f; %d tasks done, %d runs stopped", withoutLoss, simulated, len(sim.doneRuns), sim.stoppedRuns)
	assert.GreaterOrEqual(t, simulated, remaining*withoutLoss)
	for task, n := range sim.doneRuns {
		assert.Equal(t, 1, n, "task %s was done more than once", task)
	}
	assert.LessOrEqual(t, sim.stoppedRuns*100, mostStoppedPercent*len(sim.doneRuns))
}
