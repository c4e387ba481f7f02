package sharer

import "time"

const (
	// windowSlots and slotTime make a window of 200 ms, over which the offered work is
	// compared with the capacity.
	windowSlots = 10
	slotTime    = 20 * time.Millisecond
)

// demandWindow sums the work offered in the current slot and the ones before it.
type demandWindow struct {
	slots   [windowSlots]float64
	current int
	startAt time.Time
}

// advance moves the window to the present and calls check at the start of each slot.
func (w *demandWindow) advance(now time.Time, check func(at time.Time)) {
	if w.startAt.IsZero() {
		w.startAt = now
	}
	for steps := 0; now.Sub(w.startAt) >= slotTime; steps++ {
		if steps > windowSlots {
			w.startAt = now
			return
		}
		w.startAt = w.startAt.Add(slotTime)
		w.current = (w.current + 1) % windowSlots
		w.slots[w.current] = 0
		check(w.startAt)
	}
}

func (w *demandWindow) add(work float64) {
	w.slots[w.current] += work
}

// rate is the work offered per second over the window.
func (w *demandWindow) rate(now time.Time) float64 {
	total := 0.0
	for _, work := range w.slots {
		total += work
	}
	elapsed := min(max(0, now.Sub(w.startAt)), slotTime)
	return total / ((windowSlots-1)*slotTime + elapsed).Seconds()
}
