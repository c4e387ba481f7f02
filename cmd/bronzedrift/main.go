// Command bronzedrift is the command-line client for operators.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"bronzedrift.example/bronzedrift/internal/commander"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := commander.New().ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "bronzedrift:", err)
	}
	os.Exit(commander.ExitCode(err))
}
