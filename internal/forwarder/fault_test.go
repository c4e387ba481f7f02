package forwarder

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// traffic hands in jobs for a time, and sends those that got
// no clear answer again after resendAfter, at another entry, as callers do.
func (w *world) traffic(d time.Duration) {
	w.run(1500*time.Millisecond, nil)
	jobs := 0
	resendAt := map[string]time.Time{}
	last := map[string]int{}
	w.run(d, func() {
		if w.random.IntN(w.arrivalEvery) == 0 {
			jobs++
			w.submitAt(fmt.Sprintf("%016x", jobs), w.random.IntN(len(w.entries)), last)
		}
		w.resend(resendAt, last)
	})
	w.run(6*time.Second, func() { w.resend(resendAt, last) })
}

const resendAfter = 1300 * time.Millisecond

func (w *world) submitAt(id string, entry int, last map[string]int) {
	last[id] = entry
	w.submit(w.entries[entry], id, 1+w.random.IntN(4), 3*time.Second)
}

// resend sends jobs again whose entry was lost or said that it does not know.
func (w *world) resend(resendAt map[string]time.Time, last map[string]int) {
	for id, entry := range last {
		e := w.entries[entry]
		responses := w.answered[id]
		isUnclear := len(responses) > 0 && responses[len(responses)-1].Result == Unknown
		isBroken := !w.now.Before(e.startedAt) && w.now.Before(e.downUntil)
		at, isDue := resendAt[id]
		switch {
		case isDue && !w.now.Before(at):
			delete(resendAt, id)
			w.answered[id] = nil
			w.submitAt(id, (entry+1)%len(w.entries), last)
		case !isDue && len(responses) == 0 && isBroken, !isDue && isUnclear:
			resendAt[id] = w.now.Add(resendAfter)
		}
	}
}

// kill takes a VM down for a time, after which it starts anew.
func (w *world) killEntry(e *entryVM, d time.Duration) {
	e.downUntil = w.now.Add(d)
	w.startEntry(e)
}

func (w *world) killHolder(h *holderVM, d time.Duration) {
	h.downUntil = w.now.Add(d)
	w.startHolder(h)
	h.startedAt = w.now.Add(d)
	h.lastTick = h.startedAt
}

// assertPromises checks what must hold at all times.
func assertPromises(t *testing.T, w *world) {
	t.Helper()
	assert.Empty(t, w.twice, "two runs of a task at the same time")
	assert.Empty(t, w.untrue, "said not to have run, though it had")
	completed := 0
	for id, responses := range w.answered {
		for _, v := range responses {
			assert.NotEqual(t, Cancelled, v.Result, "nobody has cancelled %s", id)
			if v.Result == Completed {
				completed++
				break
			}
		}
	}
	assert.Positive(t, completed, "no job was completed")
	t.Logf("%d jobs, %d completed", len(w.answered), completed)
}

func TestPromisesUnderFaults(t *testing.T) {
	for name, fault := range map[string]func(w *world){
		"none":                   func(*world) {},
		"a holder is killed":     func(w *world) { w.at(3*time.Second, func() { w.killHolder(w.holders[0], time.Second) }) },
		"all holders are killed": func(w *world) { w.at(3*time.Second, w.killAllHolders) },
		"a holder freezes":       func(w *world) { w.at(3*time.Second, func() { w.holders[0].frozenUntil = w.now.Add(4 * time.Second) }) },
		"a holder freezes shortly": func(w *world) {
			w.at(3*time.Second, func() { w.holders[0].frozenUntil = w.now.Add(700 * time.Millisecond) })
		},
		"a holder is cut off":     func(w *world) { w.at(3*time.Second, func() { w.holders[0].cutUntil = w.now.Add(3 * time.Second) }) },
		"an entry is killed":      func(w *world) { w.at(3*time.Second, func() { w.killEntry(w.entries[0], time.Second) }) },
		"an entry freezes":        func(w *world) { w.at(3*time.Second, func() { w.entries[0].frozenUntil = w.now.Add(2 * time.Second) }) },
		"an entry is cut off":     func(w *world) { w.at(3*time.Second, func() { w.entries[0].cutUntil = w.now.Add(2 * time.Second) }) },
		"upstreams are cut off":   func(w *world) { w.at(3*time.Second, func() { w.cutUpstreams(3, 3*time.Second) }) },
		"orders are carried late": func(w *world) { w.lateOrders = 0.1 },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				w := newWorld(t, seed, 4, 3, 12)
				fault(w)
				w.traffic(7 * time.Second)
				assertPromises(t, w)
			}
		})
	}
}

// TestShortChainIsFound plants an entry that gives a job to another holder before
// its runs are surely gone.
func TestShortChainIsFound(t *testing.T) {
	found := 0
	for seed := range uint64(6) {
		w := newWorld(t, seed, 4, 3, 12)
		w.chainShortened = true
		for _, e := range w.entries {
			w.startEntry(e)
		}
		w.at(3*time.Second, func() { w.holders[0].cutUntil = w.now.Add(2 * time.Second) })
		w.traffic(7 * time.Second)
		found += len(w.twice)
	}
	assert.Positive(t, found, "the planted fault is not seen")
}

func (w *world) at(d time.Duration, f func()) {
	w.due = append(w.due, delivery{at: w.now.Add(d), run: f})
}

func (w *world) killAllHolders() {
	for _, h := range w.holders {
		w.killHolder(h, 1200*time.Millisecond)
	}
}

func (w *world) cutUpstreams(n int, d time.Duration) {
	for _, u := range w.upstreams[:n] {
		u.cutUntil = w.now.Add(d)
	}
}
