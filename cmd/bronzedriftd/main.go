// Command bronzedriftd runs the bronzedrift daemon.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"bronzedrift.example/bronzedrift/internal/daemon"
	"bronzedrift.example/bronzedrift/internal/loader"
)

// Exit codes.
const (
	exitFailure  = 1
	exitSettings = 2
)

func main() {
	var settingsFile string
	command := &cobra.Command{
		Use:           "bronzedriftd --settings FILE",
		Short:         "Run a bronzedrift daemon until SIGTERM or SIGINT",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return run(settingsFile) },
	}
	command.Flags().StringVar(&settingsFile, "settings", "", "settings file, JSON with comments")
	_ = command.MarkFlagRequired("settings")
	if err := command.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var settingErr *loader.SettingError
	if errors.As(err, &settingErr) {
		return exitSettings
	}
	return exitFailure
}

func run(settingsFile string) error {
	settings, err := loader.Load(settingsFile)
	if err != nil {
		return err
	}
	d, err := daemon.New(settings, zerolog.New(os.Stderr).With().Timestamp().Logger())
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return d.Run(ctx)
}
