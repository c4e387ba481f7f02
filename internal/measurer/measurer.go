package measurer

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bronzedrift.example/bronzedrift/internal/assembler"
	"bronzedrift.example/bronzedrift/pkg/caller"
)

// Figures summarizes how the jobs of a trace ended under one dispatch method,
// with their response times and message counts.
type Figures struct {
	Name       string        `json:"name"`
	Jobs       int           `json:"jobs"`
	Complete   int           `json:"complete"`
	Failed     int           `json:"failed"`
	Unanswered int           `json:"no-answer"`
	Mean       time.Duration `json:"mean"`
	P50        time.Duration `json:"p50"`
	P99        time.Duration `json:"p99"`
	P999       time.Duration `json:"p999"`
	OverIdeal  Ratios        `json:"over-ideal"`
	Messages   Messages      `json:"messages"`
}

// Ratios holds response times divided by those of the ideal queue.
type Ratios struct {
	Mean float64 `json:"mean"`
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
}

// Messages counts the messages of a measurement by kind; a request and its answer
// count as one.
type Messages struct {
	Submissions     uint64  `json:"submissions"`
	Inner           uint64  `json:"inner"`
	Starts          uint64  `json:"starts"`
	RefusedStarts   uint64  `json:"refused-starts"`
	BouncedForwards uint64  `json:"bounced-forwards"`
	UnusedGrants    uint64  `json:"unused-grants"`
	Repeats         uint64  `json:"repeats"`
	Probes          uint64  `json:"probes"`
	Duplicates      uint64  `json:"duplicates"`
	WastedShare     float64 `json:"wasted-share"`
	InnerPerTask    float64 `json:"inner-per-task"`
}

func (m *Messages) computeRatios() {
	wasted := m.RefusedStarts + m.BouncedForwards + m.UnusedGrants + m.Repeats + m.Probes + m.Duplicates
	all := m.Submissions + m.Inner + m.Starts + m.Probes
	if all > 0 {
		m.WastedShare = float64(wasted) / float64(all)
	}
	if m.Starts > 0 {
		m.InnerPerTask = float64(m.Inner) / float64(m.Starts)
	}
}

// outcome describes how one job of a trace ended.
type outcome struct {
	response time.Duration
	complete bool
	answered bool
}

const (
	histogramMin    = int64(time.Microsecond)
	histogramMax    = int64(10 * time.Minute)
	histogramDigits = 3
)

// summarize counts the outcomes and compares the response times of the completed
// jobs with the ideal response times of the same jobs.
func summarize(name string, outcomes []outcome, ideal []time.Duration) Figures {
	f := Figures{Name: name, Jobs: len(outcomes)}
	actual := hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
	reference := hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
	for i, o := range outcomes {
		switch {
		case !o.answered:
			f.Unanswered++
		case !o.complete:
			f.Failed++
		default:
			f.Complete++
			_ = actual.RecordValue(int64(o.response))
			_ = reference.RecordValue(int64(max(ideal[i], time.Microsecond)))
		}
	}
	f.Mean = time.Duration(actual.Mean())
	f.P50, f.P99, f.P999 = percentile(actual, 50), percentile(actual, 99), percentile(actual, 99.9)
	if f.Complete > 0 {
		f.OverIdeal = Ratios{
			Mean: actual.Mean() / reference.Mean(),
			P50:  float64(f.P50) / float64(percentile(reference, 50)),
			P99:  float64(f.P99) / float64(percentile(reference, 99)),
			P999: float64(f.P999) / float64(percentile(reference, 99.9)),
		}
	}
	return f
}

func percentile(h *hdrhistogram.Histogram, p float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(p))
}

// replay sends the jobs of a trace open-loop: each at its arrival time, whether or
// not earlier jobs have ended.
func replay(ctx context.Context, trace []Job, send func(ctx context.Context, j *Job) outcome, progress func(done int)) []outcome {
	outcomes := make([]outcome, len(trace))
	var wg sync.WaitGroup
	start := time.Now()
	for i := range trace {
		if wait := trace[i].Arrival - time.Since(start); wait > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(wait):
			}
		}
		if ctx.Err() != nil {
			break
		}
		wg.Go(func() {
			sent := time.Now()
			o := send(ctx, &trace[i])
			o.response = time.Since(sent)
			outcomes[i] = o
		})
		if progress != nil {
			progress(i + 1)
		}
	}
	wg.Wait()
	return outcomes
}

// Target describes the running entries that a trace is sent to, and the jobs
// submitted to them.
type Target struct {
	Entries  []netip.AddrPort
	Team     string
	Service  string
	Timeout  time.Duration
	Progress func(done int)
}

// Replay replays a trace against running entries. The figures include the
// caller's messages but not those that the daemons send.
func Replay(ctx context.Context, t Target, trace []Job, ideal []time.Duration) Figures {
	c := caller.New(caller.Config{Entries: t.Entries})
	defer c.Close()
	outcomes := replay(ctx, trace, func(ctx context.Context, j *Job) outcome {
		ctx, cancel := context.WithTimeout(ctx, t.Timeout+time.Second)
		defer cancel()
		a, err := c.Submit(ctx, t.submission(j))
		if err != nil {
			return outcome{}
		}
		return outcome{answered: true, complete: a.IsComplete() && len(a.Results) == len(j.Tasks)}
	}, t.Progress)
	f := summarize("bronzedrift", outcomes, ideal)
	f.Messages.Submissions = uint64(len(trace)) + c.Repeats()
	f.Messages.Repeats = c.Repeats()
	return f
}

func (t *Target) submission(j *Job) caller.Job {
	s := caller.Job{Team: t.Team, Service: t.Service, Timeout: t.Timeout}
	for _, task := range j.Tasks {
		s.Tasks = append(s.Tasks, caller.Task{Payload: taskPayload(task.RunTime), ExpectedRunTime: task.DeclaredRunTime})
	}
	return s
}

// ReplayOnCluster replays a trace against a cluster in this process and also counts
// the messages of its daemons and upstreams.
func ReplayOnCluster(ctx context.Context, c *assembler.Cluster, t Target, trace []Job, ideal []time.Duration) (Figures, error) {
	before, err := c.Messages(ctx)
	if err != nil {
		return Figures{}, fmt.Errorf("measurer: reading the message counters: %w", err)
	}
	f := Replay(ctx, t, trace, ideal)
	after, err := c.Messages(ctx)
	if err != nil {
		return Figures{}, fmt.Errorf("measurer: reading the message counters: %w", err)
	}
	f.Messages.Inner = after.Inner - before.Inner
	f.Messages.Starts = after.Starts - before.Starts
	f.Messages.RefusedStarts = after.RefusedStarts - before.RefusedStarts
	f.Messages.BouncedForwards = after.BouncedForwards - before.BouncedForwards
	f.Messages.UnusedGrants = after.UnusedGrants - before.UnusedGrants
	f.Messages.Probes = after.Probes - before.Probes
	f.Messages.Duplicates = after.Joined - before.Joined
	f.Messages.computeRatios()
	return f, nil
}

// ReplayOnBaseline replays a trace through a baseline on its own set of fake
// upstreams.
func ReplayOnBaseline(ctx context.Context, b Baseline, configs []assembler.UpstreamConfig, seed uint64, trace []Job, ideal []time.Duration) (Figures, error) {
	upstreams, stop, err := startQueueingUpstreams(ctx, configs)
	if err != nil {
		return Figures{}, err
	}
	defer stop()
	balancer := newBalancer(b, upstreams, seed)
	outcomes := replay(ctx, trace, func(ctx context.Context, j *Job) outcome {
		err := balancer.runJob(ctx, j)
		return outcome{answered: true, complete: err == nil}
	}, nil)
	f := summarize(string(b), outcomes, ideal)
	f.Messages.Submissions = uint64(len(trace))
	f.Messages.Starts = balancer.tasksSent.Load()
	f.Messages.computeRatios()
	return f, nil
}

// startQueueingUpstreams starts fake upstreams that queue the tasks beyond their
// slots, and returns a function that stops them.
func startQueueingUpstreams(ctx context.Context, configs []assembler.UpstreamConfig) ([]*assembler.FakeUpstream, func(), error) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	stop := func() {
		cancel()
		wg.Wait()
	}
	var upstreams []*assembler.FakeUpstream
	for _, c := range configs {
		c.QueueBeyondSlots = true
		u, err := assembler.NewFakeUpstream(c, "baseline", nil)
		if err != nil {
			stop()
			return nil, nil, fmt.Errorf("measurer: starting an upstream: %w", err)
		}
		upstreams = append(upstreams, u)
		wg.Go(func() { u.Serve(ctx) })
	}
	return upstreams, stop, nil
}
