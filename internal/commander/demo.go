package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"bronzedrift.example/bronzedrift/internal/assembler"
	"bronzedrift.example/bronzedrift/internal/dispatcher"
	"bronzedrift.example/bronzedrift/internal/loader"
	"bronzedrift.example/bronzedrift/internal/measurer"
	"bronzedrift.example/bronzedrift/internal/scheduler"
)

// demoFlags are the flags of `bronzedrift demo`.
type demoFlags struct {
	serve    bool
	asJSON   bool
	seed     uint64
	duration time.Duration
	load     float64
}

const (
	demoTeam        = "presa-dijeli"
	demoService     = "booking"
	demoUpstreams   = 10
	demoSlots       = 8
	demoJobTimeout  = 30 * time.Second
	demoDataCentres = 2
)

// demoEntries is the number of entries in each data centre.
var demoEntries = []int{2, 1}

func newDemoCommand() *cobra.Command {
	f := &demoFlags{}
	c := &cobra.Command{
		Use:   "demo",
		Short: "Run three entries, a state VM and ten simulated upstreams in one process and submit jobs",
		Example: `  bronzedrift demo
  bronzedrift demo --serve --json`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return f.run(c) },
	}
	c.Flags().BoolVar(&f.serve, "serve", false, "keep running until interrupted and print the addresses")
	c.Flags().BoolVar(&f.asJSON, "json", false, "print JSON")
	c.Flags().Uint64Var(&f.seed, "seed", 1, "seed of the generated jobs and of the upstreams' speeds")
	c.Flags().DurationVar(&f.duration, "duration", 5*time.Second, "how long to submit jobs")
	c.Flags().Float64Var(&f.load, "load", 0.6, "offered load as a share of the upstreams' capacity")
	return c
}

func (f *demoFlags) run(c *cobra.Command) error {
	ctx := c.Context()
	upstreams := measurer.NewUpstreams(measurer.UpstreamsConfig{
		Seed: f.seed, Count: demoUpstreams, Slots: demoSlots, DataCentres: demoDataCentres,
	})
	limits := loader.Defaults().Limits
	// All daemons run in one process and share its clock.
	limits.ClockSkew = 0
	dataFolder, err := os.MkdirTemp("", "bronzedrift-demo-")
	if err != nil {
		return fmt.Errorf("commander: data folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(dataFolder) }()
	cluster, err := assembler.New(ctx, assembler.Config{
		DataFolder: dataFolder,
		Entries:    demoEntries, Upstreams: upstreams, Team: dispatcher.Team{Name: demoTeam}, Service: demoService,
		Policy: scheduler.DefaultPolicy(), Limits: limits, Log: zerolog.Nop(),
	})
	if err != nil {
		return err
	}
	defer cluster.Close()
	if f.serve {
		return f.serveUntilInterrupted(ctx, c, cluster)
	}
	return f.submitJobs(ctx, c, cluster, upstreams)
}

// demoJSON is the first line that `demo --serve --json` prints.
type demoJSON struct {
	Entries   []string `json:"entries"`
	Upstreams []string `json:"upstreams"`
	Operators []string `json:"operators"`
	Metrics   []string `json:"metrics"`
	Team      string   `json:"team"`
	Service   string   `json:"service"`
}

func (f *demoFlags) serveUntilInterrupted(ctx context.Context, c *cobra.Command, cluster *assembler.Cluster) error {
	d := demoJSON{Team: demoTeam, Service: demoService}
	for _, s := range cluster.Settings {
		if s.Has(loader.Entry) {
			d.Entries = append(d.Entries, s.Listen.Callers.String())
		}
		d.Operators = append(d.Operators, s.Listen.Operators.String())
		d.Metrics = append(d.Metrics, s.Listen.Metrics.String())
	}
	for _, u := range cluster.Upstreams {
		d.Upstreams = append(d.Upstreams, u.Address.String())
	}
	out := c.OutOrStdout()
	if f.asJSON {
		if err := json.NewEncoder(out).Encode(d); err != nil {
			return fmt.Errorf("commander: %w", err)
		}
	} else {
		_, _ = fmt.Fprintln(out, "entries:  ", d.Entries)
		_, _ = fmt.Fprintln(out, "operators:", d.Operators)
		_, _ = fmt.Fprintln(out, "metrics:  ", d.Metrics)
		_, _ = fmt.Fprintln(out, "upstreams:", d.Upstreams)
		_, _ = fmt.Fprintf(out, "\nTry:\n  bronzedrift submit --entries %s --team %s --service %s --payload '{\"run-time\":\"200ms\"}'\n"+
			"  bronzedrift status --operators %s\n\nInterrupt to stop.\n", d.Entries[0], d.Team, d.Service, d.Operators[0])
	}
	<-ctx.Done()
	return nil
}

func (f *demoFlags) submitJobs(ctx context.Context, c *cobra.Command, cluster *assembler.Cluster, upstreams []assembler.UpstreamConfig) error {
	trace := measurer.NewTrace(measurer.TraceConfig{Seed: f.seed, Duration: f.duration, Load: f.load}, upstreams)
	target := measurer.Target{
		Entries: cluster.CallerAddresses(), Team: demoTeam, Service: demoService, Timeout: demoJobTimeout,
	}
	if !f.asJSON {
		target.Progress = f.progressPrinter(c, len(trace))
	}
	figures, err := measurer.ReplayOnCluster(ctx, cluster, target, trace, measurer.Ideal(trace, upstreams))
	if err != nil {
		return err
	}
	if f.asJSON {
		return printJSON(c, figures)
	}
	out := c.OutOrStdout()
	_, _ = fmt.Fprintf(out, "\n%d of %d jobs completed, %d failed, %d unanswered\n",
		figures.Complete, figures.Jobs, figures.Failed, figures.Unanswered)
	_, _ = fmt.Fprintf(out, "response time p50 %s (%.2f times the ideal), p99 %s (%.2f times the ideal)\n",
		figures.P50.Round(time.Millisecond), figures.OverIdeal.P50, figures.P99.Round(time.Millisecond), figures.OverIdeal.P99)
	_, _ = fmt.Fprintf(out, "wasted messages %.2f%%\n", 100*figures.Messages.WastedShare)
	if figures.Complete != figures.Jobs {
		return &ExitError{ExitFailure, "not all jobs completed"}
	}
	return nil
}

func (f *demoFlags) progressPrinter(c *cobra.Command, total int) func(int) {
	step := max(1, total/20)
	return func(done int) {
		if done%step == 0 || done == total {
			_, _ = fmt.Fprintf(c.OutOrStdout(), "\r%d of %d jobs submitted", done, total)
		}
	}
}
