package measurer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bronzedrift.example/bronzedrift/internal/assembler"
	"bronzedrift.example/bronzedrift/pkg/runner"
)

// Baseline is a simple load-balancing policy to compare the daemons with.
type Baseline string

// The supported baselines.
const (
	RandomChoice Baseline = "random"
	RoundRobin   Baseline = "round-robin"
	TwoChoices   Baseline = "two-choices"
)

// Baselines returns all baselines.
func Baselines() []Baseline { return []Baseline{RandomChoice, RoundRobin, TwoChoices} }

// balancer sends each task immediately to the upstream that its baseline
// selects; the task queues there for a slot. TwoChoices compares only the tasks
// that this balancer itself has in flight.
type balancer struct {
	baseline  Baseline
	upstreams []*assembler.FakeUpstream
	client    *http.Client
	mu        sync.Mutex
	random    *rand.Rand
	next      int
	inFlight  []int
	tasksSent atomic.Uint64
}

const maxIdleConnsPerHost = 64

func newBalancer(b Baseline, upstreams []*assembler.FakeUpstream, seed uint64) *balancer {
	return &balancer{
		baseline: b, upstreams: upstreams, inFlight: make([]int, len(upstreams)),
		random: rand.New(rand.NewPCG(seed, 3)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost}},
	}
}

func (b *balancer) choose() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := len(b.upstreams)
	chosen := b.random.IntN(n)
	switch b.baseline {
	case RoundRobin:
		chosen = b.next % n
		b.next++
	case TwoChoices:
		if other := b.random.IntN(n); b.inFlight[other] < b.inFlight[chosen] {
			chosen = other
		}
	}
	b.inFlight[chosen]++
	return chosen
}

func (b *balancer) release(chosen int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight[chosen]--
}

// runJob sends all tasks of a job concurrently, waits for them to end and
// returns the last error.
func (b *balancer) runJob(ctx context.Context, j *Job) error {
	errs := make(chan error, len(j.Tasks))
	for _, t := range j.Tasks {
		go func() { errs <- b.runTask(ctx, t) }()
	}
	var lastErr error
	for range j.Tasks {
		if err := <-errs; err != nil {
			lastErr = err
		}
	}
	return lastErr
}

func (b *balancer) runTask(ctx context.Context, t Task) error {
	chosen := b.choose()
	defer b.release(chosen)
	url := fmt.Sprintf("http://%s/v1/tasks/%s-%d", b.upstreams[chosen].Address, b.baseline, b.tasksSent.Add(1))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(taskPayload(t.RunTime)))
	if err != nil {
		return fmt.Errorf("measurer: creating the task request: %w", err)
	}
	req.Header.Set(runner.HeaderOwner, string(b.baseline))
	req.Header.Set(runner.HeaderEpoch, "1")
	req.Header.Set(runner.HeaderLease, time.Minute.String())
	res, err := b.client.Do(req)
	if err != nil {
		return fmt.Errorf("measurer: sending the task: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.Copy(io.Discard, res.Body)
	if err == nil && res.StatusCode != http.StatusOK {
		return fmt.Errorf("measurer: task ended with status %d", res.StatusCode)
	}
	return err
}

func taskPayload(runTime time.Duration) []byte {
	return fmt.Appendf(nil, `{"run-time":%q}`, runTime)
}
