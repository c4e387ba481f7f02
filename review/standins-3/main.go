//go:build review3

// Command standins-3 runs the project's programs among stand-ins for clients, runners and the operator, brings
// about one disruption and checks one rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the case to play")
	program := flag.String("program", "target/bronzedrift-node", "the program of the deploy file")
	record := flag.String("record", "record.txt", "the file that takes what was sent, answered and run")
	trouble := flag.Bool("trouble", os.Getenv("TROUBLE") != "0", "bring about the disruption")
	keep := flag.String("folder", "", "folder for settings, disks and logs; kept if it is given")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		return 2
	}
	folder := *keep
	if folder == "" {
		var err error
		if folder, err = os.MkdirTemp("", "review-3-"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		defer func() { _ = os.RemoveAll(folder) }()
	}
	w, err := newWorld(folder, *program, *record, play.states, play.entries, play.runners)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.end()
	go w.giveUp(limit, folder, *keep == "")
	if play.prepare != nil {
		play.prepare(w)
	}
	if err := w.begin(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	began := time.Now()
	if err := play.play(w, *trouble); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	return w.verdict(play.rules, time.Since(began))
}

// limit is the longest that a case may take.
const limit = 110 * time.Second

// giveUp ends all processes and exits if the case takes too long or is interrupted.
func (w *world) giveUp(limit time.Duration, folder string, isTemporary bool) {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-interrupted:
	case <-time.After(limit):
	}
	w.end()
	if isTemporary {
		_ = os.RemoveAll(folder)
	}
	fmt.Fprintln(os.Stderr, "the case was interrupted or took too long")
	os.Exit(2)
}

// verdict prints the breaches of the rules and returns the exit code.
func (w *world) verdict(rules []string, took time.Duration) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := map[string]int{}
	code := 0
	for _, b := range w.breaches {
		for _, rule := range rules {
			if len(b) >= len(rule) && b[:len(rule)] == rule {
				code = 1
				count[rule]++
				if count[rule] <= 5 {
					fmt.Println("broken:", b)
				}
			}
		}
	}
	answers := map[string]int{}
	for _, o := range w.orders {
		o.mu.Lock()
		answers[o.answered]++
		o.mu.Unlock()
	}
	fmt.Println("jobs by answer:", answers, "breaches:", count, "played for", took.Round(time.Second))
	return code
}

// playCase is one case.
type playCase struct {
	states, entries, runners int
	rules                    []string
	prepare                  func(w *world)
	play                     func(w *world, trouble bool) error
}
