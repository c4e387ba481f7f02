package measurer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"bronzedrift.example/bronzedrift/internal/assembler"
	"bronzedrift.example/bronzedrift/internal/dispatcher"
	"bronzedrift.example/bronzedrift/internal/loader"
	"bronzedrift.example/bronzedrift/internal/scheduler"
)

// SweepConfig configures a measurement at several loads in one process.
type SweepConfig struct {
	Seed        uint64
	Loads       []float64
	Duration    time.Duration
	Timeout     time.Duration
	Upstreams   UpstreamsConfig
	Entries     []int
	Misdeclared bool
	Baselines   []Baseline
	Policy      scheduler.Policy
	Weighting   dispatcher.Weighting
	Progress    func(text string)
}

// The team and service of the clusters that a measurement starts.
const (
	MeasuredTeam    = "measured"
	MeasuredService = "booking"
)

const (
	warmUpLoad = 0.5
	warmUpTime = 3 * time.Second
)

// Sweep measures each load on a new cluster, and the baselines with the same
// trace on identical upstreams.
func Sweep(ctx context.Context, c SweepConfig) ([]Report, error) {
	var reports []Report
	for _, load := range c.Loads {
		r, err := c.measure(ctx, load)
		if err != nil {
			return reports, err
		}
		reports = append(reports, r)
	}
	return reports, nil
}

func (c *SweepConfig) measure(ctx context.Context, load float64) (Report, error) {
	upstreams := NewUpstreams(c.Upstreams)
	trace := NewTrace(TraceConfig{Seed: c.Seed, Duration: c.Duration, Load: load, Misdeclared: c.Misdeclared}, upstreams)
	ideal := Ideal(trace, upstreams)
	r := Report{Load: load, Seed: c.Seed, Jobs: len(trace), Ideal: mean(ideal)}
	for _, j := range trace {
		r.Tasks += len(j.Tasks)
	}
	figures, err := c.driveAll(ctx, upstreams, trace, ideal)
	if err != nil {
		return r, err
	}
	r.Figures = figures
	return r, nil
}

// driveAll replays the trace through the cluster and the baselines at the same
// time, so that all of them run under the same machine load.
func (c *SweepConfig) driveAll(ctx context.Context, upstreams []assembler.UpstreamConfig, trace []Job, ideal []time.Duration) ([]Figures, error) {
	cluster, err := assembler.New(ctx, assembler.Config{
		Entries: c.Entries, Upstreams: upstreams, Team: dispatcher.Team{Name: MeasuredTeam},
		Service: MeasuredService, Policy: c.Policy, Weighting: c.Weighting,
		Limits: loader.Defaults().Limits, Log: zerolog.Nop(),
	})
	if err != nil {
		return nil, fmt.Errorf("measurer: starting the cluster: %w", err)
	}
	defer cluster.Close()
	target := Target{Entries: cluster.CallerAddresses(), Team: MeasuredTeam, Service: MeasuredService, Timeout: c.Timeout}
	c.warmUp(ctx, target, upstreams)
	figures := make([]Figures, 1+len(c.Baselines))
	errs := make([]error, 1+len(c.Baselines))
	var wg sync.WaitGroup
	wg.Go(func() {
		target.Progress = c.progressReporter(len(trace))
		figures[0], errs[0] = ReplayOnCluster(ctx, cluster, target, trace, ideal)
	})
	for i, b := range c.Baselines {
		wg.Go(func() { figures[i+1], errs[i+1] = ReplayOnBaseline(ctx, b, upstreams, c.Seed, trace, ideal) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return figures, nil
}

// warmUp runs a short trace so that the daemons have learnt the speeds of the
// upstreams, which they lack only in their first seconds.
func (c *SweepConfig) warmUp(ctx context.Context, t Target, upstreams []assembler.UpstreamConfig) {
	trace := NewTrace(TraceConfig{
		Seed: c.Seed + 1_000_003, Duration: warmUpTime, Load: warmUpLoad, Misdeclared: c.Misdeclared,
	}, upstreams)
	Replay(ctx, t, trace, Ideal(trace, upstreams))
}

func (c *SweepConfig) progressReporter(total int) func(int) {
	if c.Progress == nil {
		return nil
	}
	step := max(1, total/10)
	return func(done int) {
		if done%step == 0 {
			c.Progress(fmt.Sprintf("%d of %d jobs sent", done, total))
		}
	}
}

func mean(list []time.Duration) time.Duration {
	if len(list) == 0 {
		return 0
	}
	var total time.Duration
	for _, d := range list {
		total += d
	}
	return total / time.Duration(len(list))
}
