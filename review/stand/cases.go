//go:build review

package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// lostCancel cuts one frontend machine off from all others while it acknowledges the cancelling of a
// job that another frontend machine of its zone has handed in.
func lostCancel(w *world) error {
	w.runnerZones = zones[1:]
	if err := w.start(2, 3); err != nil {
		return err
	}
	const cutTime = 5 * time.Second
	first, second := w.entries[0], w.entries[len(zones)]
	id := newID()
	var ackedAt atomic.Int64
	w.onStart = func(r *runner, t *taskRun) {
		acked := ackedAt.Load()
		if acked == 0 || !strings.HasPrefix(t.task, id+".") {
			return
		}
		if late := time.Since(time.Unix(0, acked)); late > cancelTime {
			w.record.breakRule("UNASKED: %s starts on %s %s after the cancelling of its job was acknowledged", t.task, r.id, late.Round(time.Millisecond))
		}
	}
	if w.trouble {
		w.network.isolate(second.name, true)
		w.record.add("network", "%s is cut off from all other machines", second.name)
		time.AfterFunc(cutTime, func() {
			w.network.isolate(second.name, false)
			w.record.add("network", "%s reaches the others again", second.name)
		})
	}
	time.Sleep(cutTime / 3)
	var clients sync.WaitGroup
	clients.Go(func() {
		const workMs = 2300
		job := jobText(2000, workMs, stepText(2000, workMs, ""), stepText(2000, workMs, `,"after":[0]`), stepText(2000, workMs, `,"after":[1]`))
		w.submit(first, id, job, 15*time.Second)
	})
	time.Sleep(700 * time.Millisecond)
	status, answer, err := call(w.ctx, http.MethodDelete, "http://"+second.frontend().String()+routePrefix+id, nil, hostName, 2*time.Second)
	w.record.add("client", "DELETE %s to %s: %s", id, second.name, outcome(status, answer, err))
	if err != nil || status/100 != 2 && status != http.StatusGone {
		return fmt.Errorf("%w: the cancelling is not acknowledged", errNotRun)
	}
	ackedAt.Store(time.Now().UnixNano())
	clients.Wait()
	time.Sleep(time.Second)
	return nil
}

// lostLeave lets a runner that has drained announce its end while a long task still runs there. The
// response to the announcement is lost, so that the runner sends it again, to the next daemon, before
// it ends.
func lostLeave(w *world) error {
	if err := w.start(1, 2); err != nil {
		return err
	}
	const (
		workMs = 9000
		// toleratedOverlap is longer than an acknowledged announcement takes to reach the runner.
		toleratedOverlap = 100 * time.Millisecond
	)
	overlap := newOverlap(w, toleratedOverlap)
	var clients sync.WaitGroup
	clients.Go(func() {
		w.submit(w.entries[0], newID(), jobText(2000, workMs, stepText(2000, workMs, "")), 30*time.Second)
	})
	time.Sleep(time.Second)
	leaving := overlap.runnerAtWork()
	if leaving == nil {
		return fmt.Errorf("%w: no task is at work", errNotRun)
	}
	if !leaving.drain() {
		return fmt.Errorf("%w: the report that the runner drains is not acknowledged", errNotRun)
	}
	time.Sleep(drainTime + 500*time.Millisecond)
	leaving.leave(w.trouble)
	clients.Wait()
	overlap.check()
	return nil
}

// rebornKind lets the only runner of a kind crash and start again under its id as one of another
// kind, while the daemon that it reports to first is frozen.
func rebornKind(w *world) error {
	if err := w.start(1, 2); err != nil {
		return err
	}
	special, err := w.addRunner(zones[1], []string{"b"})
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	w.onStart = func(r *runner, t *taskRun) {
		if !slices.Contains(r.labels, "b") {
			w.record.breakRule("ROUTE: %s, which requires b, starts on %s, whose labels are %v", t.task, r.id, r.labels)
		}
	}
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for i := range 8 {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				w.submit(w.entries[i%len(w.entries)], newID(), jobText(2000, 100, stepText(2000, 100, `,"requirements":"b"`)), 1500*time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	if w.trouble {
		frozen := w.states[2]
		special.firstReport = frozen.control()
		frozen.signal(syscall.SIGSTOP)
		w.record.add("case", "%s is frozen", frozen.name)
		special.crash()
		time.Sleep(1500 * time.Millisecond)
		special.mu.Lock()
		special.labels[0] = "a"
		special.mu.Unlock()
		if err := special.boot(); err != nil {
			return err
		}
		time.Sleep(2 * time.Second)
		frozen.signal(syscall.SIGCONT)
		w.record.add("case", "%s goes on", frozen.name)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	return nil
}

// lateLeave restarts a runner as planned while its path to one daemon is cut. It announces its end on
// an open channel to that daemon, which the cut holds up, and then to the next daemon, which
// acknowledges. The first announcement arrives when the cut ends: the runner is at work again by then,
// under the same id.
func lateLeave(w *world) error {
	if err := w.start(1, 2); err != nil {
		return err
	}
	special := make([]*runner, 2)
	for i := range special {
		r, err := w.addRunner(zones[1], []string{"b"})
		if err != nil {
			return err
		}
		special[i] = r
	}
	time.Sleep(2 * time.Second)
	const (
		cutTime   = 5 * time.Second
		callers   = 4
		workMs    = 2500
		cpu       = 5000
		tolerance = 100 * time.Millisecond
	)
	overlap := newOverlap(w, tolerance)
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for i := range callers {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				job := jobText(cpu, workMs, stepText(cpu, workMs, `,"requirements":"b"`))
				w.submit(w.entries[i%len(w.entries)], newID(), job, 8*time.Second)
			}
		})
	}
	leaving, daemon := special[0], w.states[2]
	channel, err := w.network.openChannel(leaving.id, daemon)
	if err != nil {
		return err
	}
	if text, err := leaving.status(); err != nil || !channel.send(http.MethodPut, leaving.id, text) {
		return fmt.Errorf("%w: the channel to %s does not work", errNotRun, daemon.name)
	}
	if !leaving.drain() {
		return fmt.Errorf("%w: the report that the runner drains is not acknowledged", errNotRun)
	}
	time.Sleep(drainTime + 3*time.Second)
	if w.trouble {
		channel.hold(true)
		w.record.add("network", "the path between %s and %s is cut", leaving.id, daemon.name)
		time.AfterFunc(cutTime, func() {
			w.record.add("network", "the path between %s and %s is whole again", leaving.id, daemon.name)
			channel.hold(false)
		})
	}
	leaving.stopReports()
	if !channel.send(http.MethodDelete, leaving.id, nil) && !leaving.sendReport(w.ctx, http.MethodDelete, nil) {
		return fmt.Errorf("%w: the end of the runner is not acknowledged", errNotRun)
	}
	leaving.crash()
	time.Sleep(addressReuse)
	if err := leaving.boot(); err != nil {
		return err
	}
	time.Sleep(cutTime)
	close(stop)
	clients.Wait()
	overlap.check()
	return nil
}

// lateStart lets a start order go unanswered. The runner is then cut off, crashes behind the cut and
// starts again under its id. The order is carried out there, seconds late, while the task is at work
// elsewhere.
func lateStart(w *world) error {
	if err := w.start(1, 2); err != nil {
		return err
	}
	const (
		workMs    = 8000
		cpu       = 10000
		cutTime   = 5 * time.Second
		lateTime  = 3 * time.Second
		tolerance = 100 * time.Millisecond
	)
	overlap := newOverlap(w, tolerance)
	var clients sync.WaitGroup
	w.keepsStart.Store(w.trouble)
	clients.Go(func() {
		w.submit(w.entries[0], newID(), jobText(cpu, workMs, stepText(cpu, workMs, "")), 20*time.Second)
	})
	time.Sleep(300 * time.Millisecond)
	if w.trouble {
		w.keepsStart.Store(false)
		var late *runner
		for _, r := range w.runners {
			if r.hasLateStart() {
				late = r
			}
		}
		if late == nil {
			return fmt.Errorf("%w: no start order came", errNotRun)
		}
		late.cut(true)
		time.Sleep(cutTime / 5)
		late.rebornBehindCut()
		time.Sleep(lateTime - cutTime/5 - 300*time.Millisecond)
		late.carryOutLateStart()
		time.Sleep(cutTime - lateTime)
		late.cut(false)
	}
	clients.Wait()
	overlap.check()
	return nil
}
