//go:build review2

// Command standins-2 runs one case of the second review: processes of the project with stand-ins for
// clients, runners and the operator.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// reviewCase is one case: rule is the one that it may break.
type reviewCase struct {
	rule string
	run  func(d *deployment, hasTrouble bool) error
}

var cases = map[string]reviewCase{
	"cancelled-kill":   {"UNASKED", runCancelledKill},
	"cancelled-freeze": {"UNASKED", runCancelledFreeze},
	"new-kind":         {"ROUTE", runNewKind},
}

// maxRunTime ends a run that hangs.
const maxRunTime = 110 * time.Second

// init keeps the main goroutine on the thread that starts the processes: they end with it.
func init() { runtime.LockOSThread() }

func main() {
	name := flag.String("case", "", "the case to run")
	program := flag.String("program", "target/bronzedrift-node", "the project's program")
	recordFile := flag.String("record", "record.txt", "where to write what was sent, answered and run")
	flag.Parse()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(maxRunTime):
		}
		fmt.Println("not run to the end")
		// The processes end with this one.
		os.Exit(exitNotRun)
	}()
	os.Exit(runCase(*name, *program, *recordFile))
}

func runCase(name, program, recordFile string) int {
	c, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitNotRun
	}
	r, err := newRecord(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = r.file.Close() }()
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	} else {
		fmt.Println("settings, data and logs:", folder)
	}
	program, err = filepath.Abs(program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	d, err := newDeployment(program, folder, r, 4)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	hasTrouble := os.Getenv("TROUBLE") != "0"
	r.add("case", name, "trouble", hasTrouble)
	err = c.run(d, hasTrouble)
	d.stop()
	if err != nil {
		r.add("not-run", name, "error", err)
		fmt.Println("not run:", err)
		return exitNotRun
	}
	if breaks := r.result(c.rule); len(breaks) > 0 {
		fmt.Printf("%s broken %d times in %d starts; the first: %s\n", c.rule, len(breaks), r.starts, breaks[0])
		return exitBroken
	}
	fmt.Printf("%s held in %d starts\n", c.rule, r.starts)
	return exitHeld
}
