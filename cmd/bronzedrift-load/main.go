// Command bronzedrift-load measures daemons with seeded job traces and runs fake
// upstreams.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"bronzedrift.example/bronzedrift/internal/assembler"
	"bronzedrift.example/bronzedrift/internal/dispatcher"
	"bronzedrift.example/bronzedrift/internal/measurer"
	"bronzedrift.example/bronzedrift/internal/scheduler"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	root := &cobra.Command{
		Use:           "bronzedrift-load",
		Short:         "Measure bronzedrift and run fake upstreams",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newRunCommand(), newUpstreamsCommand(), newSlopesCommand())
	err := root.ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "bronzedrift-load:", err)
		os.Exit(1)
	}
}

// runFlags are the flags of `bronzedrift-load run`.
type runFlags struct {
	entries     string
	team        string
	service     string
	loads       string
	seed        uint64
	duration    time.Duration
	timeout     time.Duration
	upstreams   int
	slots       int
	entryCounts string
	slowShare   float64
	failShare   float64
	misdeclared bool
	baselines   bool
	weighting   string
	sizeWeight  float64
	patience    float64
	json        bool
}

func newRunCommand() *cobra.Command {
	f := &runFlags{}
	policy := scheduler.DefaultPolicy()
	c := &cobra.Command{
		Use:   "run",
		Short: "Run a seeded job trace and compare its response times with the ideal",
		Example: `  bronzedrift-load run --loads 0.5,0.7,0.9 --seed 1
  bronzedrift-load run --entries 127.0.0.1:7101,127.0.0.1:7201 --team presa-dijeli --service booking`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return f.runTraces(c.Context()) },
	}
	fs := c.Flags()
	fs.StringVar(&f.entries, "entries", "", "addresses of running entries, separated by commas; if empty, entries are started in this process")
	fs.StringVar(&f.team, "team", measurer.MeasuredTeam, "team of the jobs")
	fs.StringVar(&f.service, "service", measurer.MeasuredService, "service of the jobs")
	fs.StringVar(&f.loads, "loads", "0.7", "loads as shares of the slots' capacity, separated by commas")
	fs.Uint64Var(&f.seed, "seed", 1, "seed of the trace")
	fs.DurationVar(&f.duration, "duration", 10*time.Second, "duration of the trace")
	fs.DurationVar(&f.timeout, "timeout", 60*time.Second, "timeout of each job")
	fs.IntVar(&f.upstreams, "upstreams", 50, "number of fake upstreams")
	fs.IntVar(&f.slots, "slots", 8, "slots of each fake upstream")
	fs.StringVar(&f.entryCounts, "entry-counts", "2,2,2,1", "numbers of entries per data centre, separated by commas")
	fs.Float64Var(&f.slowShare, "slow-share", 0, "share of the upstreams that are 4 times slower")
	fs.Float64Var(&f.failShare, "fail-share", 0, "share of the upstreams that fail every task")
	fs.BoolVar(&f.misdeclared, "misdeclared", false, "declare run times that are wrong by a factor of up to 10")
	fs.BoolVar(&f.baselines, "baselines", true, "also run the baselines")
	fs.StringVar(&f.weighting, "weighting", string(dispatcher.ByResponseTime), "which measure decisions favour: response-time or messages")
	fs.Float64Var(&f.sizeWeight, "size-weight", policy.SizeWeight, "weight of a job's remaining work against its age in the queue order")
	fs.Float64Var(&f.patience, "patience", policy.Patience, "how readily a task waits for a faster upstream; 0 takes any free slot")
	fs.BoolVar(&f.json, "json", false, "print the reports as JSON")
	return c
}

func (f *runFlags) runTraces(ctx context.Context) error {
	loads, err := parseFloats(f.loads)
	if err != nil {
		return err
	}
	counts, err := parseInts(f.entryCounts)
	if err != nil {
		return err
	}
	config := measurer.SweepConfig{
		Seed: f.seed, Loads: loads, Duration: f.duration, Timeout: f.timeout, Entries: counts,
		Upstreams: measurer.UpstreamsConfig{
			Seed: f.seed, Count: f.upstreams, Slots: f.slots, DataCentres: len(counts),
			SlowShare: f.slowShare, FailShare: f.failShare,
		},
		Misdeclared: f.misdeclared, Weighting: dispatcher.Weighting(f.weighting),
		Policy: scheduler.Policy{SizeWeight: f.sizeWeight, Patience: f.patience},
	}
	if f.baselines {
		config.Baselines = measurer.Baselines()
	}
	if !f.json {
		config.Progress = func(text string) { fmt.Fprintln(os.Stderr, text) }
	}
	var reports []measurer.Report
	if f.entries == "" {
		reports, err = measurer.Sweep(ctx, config)
	} else {
		reports, err = f.runAgainstEntries(ctx, config)
	}
	if err != nil {
		return err
	}
	if f.json {
		return json.NewEncoder(os.Stdout).Encode(reports)
	}
	return measurer.WriteReports(os.Stdout, reports)
}

// runAgainstEntries runs the trace for each load against entries that are already
// running.
func (f *runFlags) runAgainstEntries(ctx context.Context, c measurer.SweepConfig) ([]measurer.Report, error) {
	entries, err := parseAddresses(f.entries)
	if err != nil {
		return nil, err
	}
	upstreams := measurer.NewUpstreams(c.Upstreams)
	var reports []measurer.Report
	for _, load := range c.Loads {
		trace := measurer.NewTrace(measurer.TraceConfig{
			Seed: c.Seed, Duration: c.Duration, Load: load, Misdeclared: c.Misdeclared,
		}, upstreams)
		target := measurer.Target{Entries: entries, Team: f.team, Service: f.service, Timeout: f.timeout}
		figures := measurer.Replay(ctx, target, trace, measurer.Ideal(trace, upstreams))
		reports = append(reports, measurer.Report{
			Load: load, Seed: c.Seed, Jobs: len(trace), Figures: []measurer.Figures{figures},
		})
	}
	return reports, nil
}

// upstreamsFlags are the flags of `bronzedrift-load upstreams`.
type upstreamsFlags struct {
	entries    string
	dataCentre string
	service    string
	count      int
	slots      int
	seed       uint64
}

func newUpstreamsCommand() *cobra.Command {
	f := &upstreamsFlags{}
	c := &cobra.Command{
		Use:     "upstreams",
		Short:   "Run fake upstreams of one data centre until interrupted",
		Example: `  bronzedrift-load upstreams --entries 127.0.0.1:7101 --data-centre osijek-a --count 13`,
		Args:    cobra.NoArgs,
		RunE:    func(c *cobra.Command, _ []string) error { return f.runUpstreams(c.Context()) },
	}
	fs := c.Flags()
	fs.StringVar(&f.entries, "entries", "", "addresses of the data centre's entries, separated by commas")
	fs.StringVar(&f.dataCentre, "data-centre", "", "data centre of the upstreams")
	fs.StringVar(&f.service, "service", measurer.MeasuredService, "service that the upstreams offer")
	fs.IntVar(&f.count, "count", 13, "number of upstreams")
	fs.IntVar(&f.slots, "slots", 8, "slots of each upstream")
	fs.Uint64Var(&f.seed, "seed", 1, "seed of the upstreams' speeds")
	_ = c.MarkFlagRequired("entries")
	_ = c.MarkFlagRequired("data-centre")
	return c
}

func (f *upstreamsFlags) runUpstreams(ctx context.Context) error {
	entries, err := parseAddresses(f.entries)
	if err != nil {
		return err
	}
	configs := measurer.NewUpstreams(measurer.UpstreamsConfig{Seed: f.seed, Count: f.count, Slots: f.slots, DataCentres: 1})
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	var upstreams []*assembler.FakeUpstream
	for _, c := range configs {
		c.DataCentre = f.dataCentre
		c.Name = f.dataCentre + "-" + c.Name
		u, err := assembler.NewFakeUpstream(c, f.service, entries)
		if err != nil {
			return err
		}
		fmt.Println(c.Name, u.Address)
		upstreams = append(upstreams, u)
		wg.Go(func() { u.Serve(serveCtx) })
	}
	<-ctx.Done()
	return shutDown(upstreams)
}

const shutdownTimeout = 10 * time.Second

// shutDown announces that the upstreams are leaving and waits until their tasks have
// ended.
func shutDown(upstreams []*assembler.FakeUpstream) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	errs := make([]error, len(upstreams))
	var wg sync.WaitGroup
	for i, u := range upstreams {
		wg.Go(func() { errs[i] = u.Shutdown(ctx) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

func newSlopesCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:     "slopes",
		Short:   "Measure how the cost of a daemon's state, decisions and control messages grows",
		Example: "  bronzedrift-load slopes",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			slopes, err := measurer.MeasureSlopes(c.Context())
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(os.Stdout).Encode(slopes)
			}
			return measurer.WriteSlopes(os.Stdout, slopes)
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print the slopes as JSON")
	return c
}

func parseFloats(list string) ([]float64, error) {
	var values []float64
	for _, s := range strings.Split(list, ",") {
		v, err := strconv.ParseFloat(strings.TrimSpace(s), 64)
		if err != nil {
			return nil, fmt.Errorf("%q is not a number", s)
		}
		values = append(values, v)
	}
	return values, nil
}

func parseInts(list string) ([]int, error) {
	var values []int
	for _, s := range strings.Split(list, ",") {
		v, err := strconv.Atoi(strings.TrimSpace(s))
		if err != nil {
			return nil, fmt.Errorf("%q is not an integer", s)
		}
		values = append(values, v)
	}
	return values, nil
}

func parseAddresses(list string) ([]netip.AddrPort, error) {
	var values []netip.AddrPort
	for _, s := range strings.Split(list, ",") {
		v, err := netip.ParseAddrPort(strings.TrimSpace(s))
		if err != nil {
			return nil, fmt.Errorf("%q is not an IP address with a port", s)
		}
		values = append(values, v)
	}
	return values, nil
}
