//go:build review3

package main

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

var cases = map[string]*playCase{
	// The crash of the first one refuses connections: the task is given up after two of them.
	"deadly":      {states: 3, entries: 2, runners: 40, rules: []string{"BUDGET"}, play: playDeadly, prepare: func(w *world) { w.backAfter = 3 * time.Second }},
	"deadly-dark": {states: 3, entries: 2, runners: 40, rules: []string{"BUDGET"}, play: playDeadly, prepare: func(w *world) { w.crashesDark, w.backAfter = true, 3*time.Second }},
	"deadly-hang": {states: 3, entries: 2, runners: 40, rules: []string{"BUDGET"}, play: playDeadly, prepare: func(w *world) { w.hangsFirst, w.backAfter = 600*time.Millisecond, 3*time.Second }},
	"shrunk":      {states: 3, entries: 4, runners: 24, rules: []string{"LIMIT"}, play: playShrunk, prepare: func(w *world) { w.guards = false }},
}

// playDeadly plays calm traffic and one job whose task crashes each runner that starts it.
func playDeadly(w *world, trouble bool) error {
	end := time.Now().Add(25 * time.Second)
	var jobs sync.WaitGroup
	for range 6 {
		jobs.Add(1)
		go func() {
			defer jobs.Done()
			for time.Now().Before(end) {
				o := w.newOrder([]stepSpec{{Count: 1 + rand.IntN(3), CPU: 3000, MemMB: 64, EstimateMs: 200}}, 200, 1500*time.Millisecond)
				w.submit(o, 2, func(int) *node { return w.entries[rand.IntN(len(w.entries))] })
				time.Sleep(time.Duration(rand.IntN(300)) * time.Millisecond)
			}
		}()
	}
	time.Sleep(3 * time.Second)
	o := w.newOrder([]stepSpec{{Count: 1, CPU: 3000, MemMB: 64, EstimateMs: 200}}, 200, 1500*time.Millisecond)
	if trouble {
		o.deadlyAfter = 50 * time.Millisecond
	}
	w.submit(o, 8, func(try int) *node { return w.entries[try%len(w.entries)] })
	jobs.Wait()
	return nil
}

// press plays jobs from so many clients until the end.
func (w *world) press(end time.Time, clients, count, runMs int, cpu int64, deadline time.Duration) *sync.WaitGroup {
	var jobs sync.WaitGroup
	for range clients {
		jobs.Add(1)
		go func() {
			defer jobs.Done()
			for time.Now().Before(end) {
				o := w.newOrder([]stepSpec{{Count: count, CPU: cpu, MemMB: 64, EstimateMs: runMs}}, runMs, deadline)
				w.submit(o, 2, func(int) *node { return w.entries[rand.IntN(len(w.entries))] })
				time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
			}
		}()
	}
	return &jobs
}

// playShrunk takes the power of the state VMs for a while and shrinks a quarter of the runners meanwhile.
func playShrunk(w *world, trouble bool) error {
	began := time.Now()
	jobs := w.press(began.Add(24*time.Second), 60, 4, 400, 4000, 1500*time.Millisecond)
	time.Sleep(4 * time.Second)
	if trouble {
		for _, n := range w.states {
			n.signal(syscall.SIGKILL)
		}
		time.Sleep(500 * time.Millisecond)
		for _, r := range w.runners[:len(w.runners)/4] {
			r.resize(r.cpu * 55 / 100)
		}
		time.Sleep(9 * time.Second)
		for _, n := range w.states {
			n.bootstrap = false
			if err := n.start(); err != nil {
				return err
			}
		}
	}
	jobs.Wait()
	return nil
}
