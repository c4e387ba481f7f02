//go:build review

// Command stand runs one case of the review: the project's programs as separate processes, with
// stand-ins for runners, clients, the operator and the network.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime ends a case that hangs.
const maxRunTime = 110 * time.Second

// errNotRun is returned by a case that could not run.
var errNotRun = errors.New("the case could not run")

var cases = map[string]func(w *world) error{
	"lost-cancel": lostCancel,
	"late-start":  lateStart,
	"lost-leave":  lostLeave,
	"reborn-kind": rebornKind,
	"late-leave":  lateLeave,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, recordPath string) int {
	w, err := newWorld(recordPath, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	// A reader of the output that has gone must not end this process before those that it started.
	signal.Ignore(syscall.SIGPIPE)
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	ended := make(chan error, 1)
	go func() { ended <- cases[name](w) }()
	select {
	case err = <-ended:
	case s := <-stopped:
		err = fmt.Errorf("%w: %s", errNotRun, s)
	case <-time.After(maxRunTime):
		err = fmt.Errorf("%w: no end after %s", errNotRun, maxRunTime)
	}
	broken := w.record.brokenRules()
	switch {
	case err != nil:
		w.record.add("result", "not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case len(broken) > 0:
		for _, b := range broken {
			fmt.Println("broken:", b)
		}
		w.record.add("result", "broken")
		return exitBroken
	}
	w.record.add("result", "held")
	fmt.Println("held")
	return exitHeld
}
