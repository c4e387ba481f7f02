// Command bronzedrift is the command-line client for operators.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"bronzedrift.example/bronzedrift/internal/commander"
	"bronzedrift.example/bronzedrift/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	forms := []commander.Form{{Name: "platform", Check: platform.CheckConfiguration}}
	err := commander.New(forms...).ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "bronzedrift:", err)
	}
	os.Exit(commander.ExitCode(err))
}
