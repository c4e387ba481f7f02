//go:build review3

package main

import (
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

var cases = map[string]*playCase{
	"mix": {states: 4, entries: 4, runners: 16, rules: []string{"TWICE", "ORDER", "ROUTE", "UNASKED", "REFUSED", "MIXED", "LIMIT", "Own ends"}, play: playMix,
		prepare: func(w *world) { w.guards = rand.IntN(2) == 0 }},
	"deadly":           {states: 3, entries: 2, runners: 24, rules: []string{"BUDGET"}, play: playDeadly, prepare: func(w *world) { w.crashesDark, w.backAfter = false, 3*time.Second }},
	"deadly-dark":      {states: 3, entries: 2, runners: 32, rules: []string{"BUDGET"}, play: playDeadly, prepare: func(w *world) { w.crashesDark, w.backAfter = true, 3*time.Second }},
	"deadly-fast":      {states: 3, entries: 2, runners: 24, rules: []string{"BUDGET"}, play: deadlyMany(1, 0, 300), prepare: func(w *world) { w.backAfter = 3 * time.Second }},
	"deadly-slow":      {states: 3, entries: 2, runners: 24, rules: []string{"BUDGET"}, play: deadlyMany(1, 800*time.Millisecond, 1000), prepare: func(w *world) { w.backAfter = 3 * time.Second }},
	"deadly-many":      {states: 3, entries: 2, runners: 24, rules: []string{"BUDGET"}, play: deadlyMany(12, 50*time.Millisecond, 200), prepare: func(w *world) { w.backAfter = 2 * time.Second }},
	"deadly-many-slow": {states: 3, entries: 2, runners: 24, rules: []string{"BUDGET"}, play: deadlyMany(12, 400*time.Millisecond, 600), prepare: func(w *world) { w.backAfter = 2 * time.Second }},
	"deadly-wave":      {states: 3, entries: 2, runners: 24, rules: []string{"BUDGET"}, play: deadlyMany(6, 100*time.Millisecond, 200), prepare: func(w *world) { w.backAfter = 2 * time.Second }},
	"shrunk":           {states: 3, entries: 4, runners: 24, rules: []string{"LIMIT"}, play: playShrunk, prepare: func(w *world) { w.guards = false }},
	"mute":             {states: 3, entries: 2, runners: 24, rules: []string{"TWICE"}, play: playMute},
	"deadly-hang":      {states: 3, entries: 2, runners: 32, rules: []string{"BUDGET"}, play: playDeadly, prepare: func(w *world) { w.hangsFirst, w.backAfter = 600*time.Millisecond, 3*time.Second }},
	"cancels":          {states: 4, entries: 4, runners: 24, rules: []string{"UNASKED", "TWICE", "REFUSED", "MIXED"}, play: playCancels},
	"stray":            {states: 3, entries: 2, runners: 24, rules: []string{"TWICE"}, play: playStray},
	"term":             {states: 3, entries: 3, runners: 24, rules: []string{"LOST"}, play: playTerm},
	"restarts":         {states: 4, entries: 4, runners: 16, rules: []string{"TWICE", "ORDER", "ROUTE", "UNASKED", "REFUSED", "MIXED", "LIMIT", "Own ends"}, play: playRestarts},
	"pairs": {states: 4, entries: 4, runners: 16, rules: []string{"TWICE", "ORDER", "ROUTE", "UNASKED", "REFUSED", "MIXED", "LIMIT", "Own ends"}, play: playPairs,
		prepare: func(w *world) { w.guards = rand.IntN(2) == 0 }},
}

// playMix plays long jobs with steps, labels and bounds under random disruptions.
func playMix(w *world, trouble bool) error {
	end := time.Now().Add(70 * time.Second)
	var jobs sync.WaitGroup
	for range 14 {
		jobs.Add(1)
		go func() {
			defer jobs.Done()
			for time.Now().Before(end) {
				runMs := []int{150, 400, 1200, 3000, 6000}[rand.IntN(5)]
				steps := []stepSpec{{Count: 1 + rand.IntN(6), CPU: 2000 + rand.Int64N(4000), MemMB: 64, EstimateMs: runMs}}
				for rand.IntN(2) == 0 && len(steps) < 3 {
					steps = append(steps, stepSpec{Count: 1 + rand.IntN(6), CPU: 2000 + rand.Int64N(4000), MemMB: 64, EstimateMs: runMs, After: []int{len(steps) - 1}})
				}
				for i := range steps {
					if rand.IntN(3) == 0 {
						steps[i].Requirements = []string{"a", "b"}[rand.IntN(2)]
					}
					if rand.IntN(3) == 0 {
						steps[i].AntiAffinity = 1 + rand.IntN(2)
					}
				}
				o := w.newOrder(steps, runMs, time.Duration(runMs*len(steps)*4+2000)*time.Millisecond)
				if rand.IntN(6) == 0 {
					time.AfterFunc(time.Duration(rand.IntN(runMs*2))*time.Millisecond, func() { w.cancel(o) })
				}
				w.submit(o, 4, func(int) *node { return w.entries[rand.IntN(len(w.entries))] })
				time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
			}
		}()
	}
	if trouble {
		for _, r := range w.runners {
			r.lateShare = 0.03
		}
		var faults sync.WaitGroup
		for time.Now().Before(end.Add(-5 * time.Second)) {
			n := w.states[rand.IntN(len(w.states))]
			e := w.entries[rand.IntN(len(w.entries))]
			r := w.runners[rand.IntN(len(w.runners))]
			faults.Add(1)
			do := func(f func()) { go func() { defer faults.Done(); f() }() }
			switch rand.IntN(9) {
			case 0:
				do(func() { _ = n.restart(time.Duration(rand.IntN(1000)) * time.Millisecond) })
			case 1:
				do(func() { n.freeze(time.Duration(200+rand.IntN(3300)) * time.Millisecond) })
			case 2:
				do(func() { _ = n.terminate(300 * time.Millisecond) })
			case 3:
				do(func() { _ = e.restart(time.Duration(rand.IntN(1000)) * time.Millisecond) })
			case 4:
				do(func() { e.freeze(time.Duration(200+rand.IntN(3300)) * time.Millisecond) })
			case 5:
				do(func() { _ = e.terminate(300 * time.Millisecond) })
			case 6, 7:
				do(func() {
					r.kill()
					time.Sleep(time.Duration(100+rand.IntN(3000)) * time.Millisecond)
					_ = r.start()
				})
			case 8:
				do(func() {
					r.mu.Lock()
					r.muteUntil = time.Now().Add(time.Duration(rand.IntN(4000)) * time.Millisecond)
					r.mu.Unlock()
				})
			}
			faults.Wait()
			time.Sleep(time.Duration(rand.IntN(2500)) * time.Millisecond)
		}
	}
	jobs.Wait()
	_ = syscall.SIGTERM
	return nil
}

func (w *world) load(end time.Time, callers int) *sync.WaitGroup {
	var jobs sync.WaitGroup
	for range callers {
		jobs.Add(1)
		go func() {
			defer jobs.Done()
			for time.Now().Before(end) {
				runMs := []int{150, 400, 1200, 3000, 6000}[rand.IntN(5)]
				steps := []stepSpec{{Count: 1 + rand.IntN(6), CPU: 2000 + rand.Int64N(4000), MemMB: 64, EstimateMs: runMs}}
				if rand.IntN(3) == 0 {
					steps[0].AntiAffinity = 1
				}
				if rand.IntN(3) == 0 {
					steps = append(steps, stepSpec{Count: 1 + rand.IntN(6), CPU: 2000, MemMB: 64, EstimateMs: runMs, After: []int{0}, Requirements: "b"})
				}
				o := w.newOrder(steps, runMs, time.Duration(runMs*len(steps)*4+2000)*time.Millisecond)
				if rand.IntN(8) == 0 {
					time.AfterFunc(time.Duration(rand.IntN(runMs*2))*time.Millisecond, func() { w.cancel(o) })
				}
				w.submit(o, 4, func(int) *node { return w.entries[rand.IntN(len(w.entries))] })
				time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
			}
		}()
	}
	return &jobs
}

func playRestarts(w *world, trouble bool) error {
	end := time.Now().Add(70 * time.Second)
	jobs := w.load(end, 16)
	if trouble {
		for _, r := range w.runners {
			r.lateShare = lateShare()
		}
		for time.Now().Before(end.Add(-8 * time.Second)) {
			time.Sleep(4 * time.Second)
			var g sync.WaitGroup
			for _, i := range rand.Perm(len(w.runners))[:5] {
				g.Add(1)
				go func() {
					defer g.Done()
					r := w.runners[i]
					r.kill()
					time.Sleep(time.Duration(50+rand.IntN(500)) * time.Millisecond)
					_ = r.start()
				}()
			}
			g.Wait()
		}
	}
	jobs.Wait()
	return nil
}

// playPairs brings about two disruptions at once, on a state VM and on an entry or a runner.
func playPairs(w *world, trouble bool) error {
	end := time.Now().Add(70 * time.Second)
	jobs := w.load(end, 16)
	if trouble {
		for _, r := range w.runners {
			r.lateShare = lateShare()
		}
		for time.Now().Before(end.Add(-10 * time.Second)) {
			time.Sleep(time.Duration(500+rand.IntN(2500)) * time.Millisecond)
			n, e := w.states[rand.IntN(len(w.states))], w.entries[rand.IntN(len(w.entries))]
			var g sync.WaitGroup
			g.Add(2)
			lag := time.Duration(rand.IntN(700)) * time.Millisecond
			first, second := rand.IntN(4), rand.IntN(5)
			go func() {
				defer g.Done()
				switch first {
				case 0:
					_ = n.restart(time.Duration(rand.IntN(300)) * time.Millisecond)
				case 1:
					n.freeze(time.Duration(250+rand.IntN(700)) * time.Millisecond)
				case 2:
					n.freeze(time.Duration(250+rand.IntN(3200)) * time.Millisecond)
				case 3:
					_ = n.terminate(100 * time.Millisecond)
				}
			}()
			go func() {
				defer g.Done()
				time.Sleep(lag)
				switch second {
				case 0:
					_ = e.restart(time.Duration(rand.IntN(300)) * time.Millisecond)
				case 1:
					e.freeze(time.Duration(250+rand.IntN(700)) * time.Millisecond)
				case 2:
					e.freeze(time.Duration(250+rand.IntN(3200)) * time.Millisecond)
				case 3:
					_ = e.terminate(100 * time.Millisecond)
				case 4:
					m := w.states[rand.IntN(len(w.states))]
					if m != n {
						m.freeze(time.Duration(250+rand.IntN(1500)) * time.Millisecond)
					}
				}
			}()
			g.Wait()
		}
	}
	jobs.Wait()
	return nil
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

// deadlyMany plays calm traffic and jobs of which one task crashes each runner that starts it.
func deadlyMany(count int, after time.Duration, runMs int) func(w *world, trouble bool) error {
	return func(w *world, trouble bool) error {
		end := time.Now().Add(40 * time.Second)
		var jobs sync.WaitGroup
		for range 8 {
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
		for time.Now().Before(end.Add(-15 * time.Second)) {
			for range count {
				o := w.newOrder([]stepSpec{{Count: 1, CPU: 3000, MemMB: 64, EstimateMs: runMs}}, runMs, 15*time.Second)
				if trouble {
					o.deadlyAfter = max(after, 1)
				}
				jobs.Add(1)
				go func() {
					defer jobs.Done()
					w.submit(o, 8, func(try int) *node { return w.entries[try%len(w.entries)] })
				}()
			}
			time.Sleep(4 * time.Second)
		}
		jobs.Wait()
		return nil
	}
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

// playMute kills an entry, and some runners stop answering while they go on with what they are told.
func playMute(w *world, trouble bool) error {
	began := time.Now()
	jobs := w.press(began.Add(40*time.Second), 90, 8, 1700, 500, 8*time.Second)
	time.Sleep(4 * time.Second)
	for round := 0; trouble && round < 4; round++ {
		e := w.entries[round%len(w.entries)]
		go func() { _ = e.restart(time.Second) }()
		time.Sleep(340 * time.Millisecond)
		for _, i := range rand.Perm(len(w.runners))[:3] {
			r := w.runners[i]
			r.mu.Lock()
			r.muteUntil = time.Now().Add(3 * time.Second)
			r.mu.Unlock()
			w.rec("runner-mute", "runner", r.id)
			time.Sleep(40 * time.Millisecond)
		}
		time.Sleep(8 * time.Second)
	}
	jobs.Wait()
	return nil
}

// playCancels plays long jobs, of which many are cancelled at any moment.
func playCancels(w *world, trouble bool) error {
	began := time.Now()
	end := began.Add(50 * time.Second)
	var jobs sync.WaitGroup
	for range 40 {
		jobs.Add(1)
		go func() {
			defer jobs.Done()
			for time.Now().Before(end) {
				o := w.newOrder([]stepSpec{{Count: 1 + rand.IntN(6), CPU: 3000, MemMB: 64, EstimateMs: 5000}}, 5000, 12*time.Second)
				var g sync.WaitGroup
				g.Add(1)
				go func() {
					defer g.Done()
					time.Sleep(time.Duration(rand.IntN(800)) * time.Millisecond)
					w.cancel(o)
				}()
				w.submit(o, 1, func(int) *node { return w.entries[rand.IntN(len(w.entries))] })
				g.Wait()
			}
		}()
	}
	for trouble && time.Now().Before(end.Add(-5*time.Second)) {
		n := w.states[rand.IntN(len(w.states))]
		switch rand.IntN(3) {
		case 0:
			n.freeze(time.Duration(300+rand.IntN(3200)) * time.Millisecond)
		case 1:
			_ = n.restart(time.Duration(rand.IntN(800)) * time.Millisecond)
		case 2:
			_ = n.terminate(200 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
	}
	jobs.Wait()
	return nil
}

// lateShare is the share of the orders that get no answer and are carried out late.
func lateShare() float64 {
	if text := os.Getenv("LATE"); text != "" {
		share, _ := strconv.ParseFloat(text, 64)
		return share
	}
	return 0.5
}

// playStray plays long jobs while a share of the orders is carried out late and runners crash and come back.
func playStray(w *world, trouble bool) error {
	began := time.Now()
	end := began.Add(50 * time.Second)
	w.press(end, 90, 8, 10000, 500, 40*time.Second)
	time.Sleep(3 * time.Second)
	for i := 0; time.Now().Before(end); i++ {
		if trouble {
			// Late for 5.5 s, then on time for 2.5 s.
			for _, r := range w.runners {
				r.mu.Lock()
				r.lateShare = 0
				if i%4 < 3 {
					r.lateShare = lateShare()
				}
				r.mu.Unlock()
			}
			if i > 1 {
				for _, k := range rand.Perm(len(w.runners))[:3] {
					w.runners[k].crash(false, time.Second)
				}
			}
		}
		time.Sleep(2 * time.Second)
	}
	return nil
}
