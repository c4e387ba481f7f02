// Command bronzedrift-soak runs the real programs under injected faults and checks the
// guarantees of the system.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"bronzedrift.example/bronzedrift/platform/soaker"
)

// Exit codes.
const (
	exitFailure   = 1
	exitViolation = 3
)

func main() {
	c := soaker.Config{StateVMs: 4}
	scale, isQuiet := 1, false
	command := &cobra.Command{
		Use:           "bronzedrift-soak --seed N --duration D",
		Short:         "Run the real programs on this machine under faults drawn from a seed, and check their guarantees",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			c.Entries, c.Upstreams, c.Rate = 6*scale, 24*scale, c.Rate*float64(scale)
			if !isQuiet {
				c.Progress = os.Stderr
			}
			return run(c)
		},
	}
	flags := command.Flags()
	flags.Uint64Var(&c.Seed, "seed", 1, "seed of the faults and of the load")
	flags.DurationVar(&c.Duration, "duration", time.Minute, "time in which faults are injected; about 30 s of recovery follow")
	flags.Float64Var(&c.Rate, "rate", 30, "jobs per second, multiplied by the scale")
	flags.BoolVar(&c.HasRestarts, "restarts", true, "restart many upstreams at once, in series")
	flags.BoolVar(&c.HasSlowVMs, "slow-vms", true, "give a VM a quarter of its processor for some seconds, once a cycle")
	flags.IntVar(&c.MaxRoutes, "max-routes", 0, "number of routes that configurations grow to, with faults of state VMs and the platform's limits; 0 for one route")
	flags.IntVar(&scale, "scale", 1, "factor for the numbers of entries and upstreams, at most 8")
	flags.StringVar(&c.Program, "program", "", "path of the bronzedrift-node executable; built from source if empty")
	flags.BoolVar(&isQuiet, "quiet", false, "do not print a line for each fault")
	if err := command.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		if errors.Is(err, soaker.ErrViolation) {
			os.Exit(exitViolation)
		}
		os.Exit(exitFailure)
	}
}

func run(c soaker.Config) error {
	folder, err := os.MkdirTemp("", "bronzedrift-soak-")
	if err != nil {
		return err
	}
	c.Folder = folder
	if c.Program == "" {
		c.Program = filepath.Join(folder, "bronzedrift-node")
		build := exec.Command("go", "build", "-o", c.Program, "./platform/bronzedrift-node")
		build.Stderr = os.Stderr
		if err := build.Run(); err != nil {
			return fmt.Errorf("bronzedrift-soak: building bronzedrift-node: %w", err)
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s := soaker.New(c)
	err = s.Run(ctx)
	if reportErr := s.Report(os.Stdout); reportErr != nil {
		return reportErr
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "logs of the processes:", folder)
		return err
	}
	return os.RemoveAll(folder)
}
