package measurer

import (
	"sort"
	"time"

	"bronzedrift.example/bronzedrift/internal/assembler"
)

// Ideal simulates a trace on a single queue over all slots, without network
// delay, and returns the response time of each job. The queue knows every run
// time in advance: it assigns the tasks of a job, longest first, to the slot on
// which each ends earliest. Upstreams that fail every task contribute no slots.
func Ideal(trace []Job, upstreams []assembler.UpstreamConfig) []time.Duration {
	slots := newSlotQueue(upstreams)
	responses := make([]time.Duration, len(trace))
	for i, j := range trace {
		runTimes := make([]time.Duration, len(j.Tasks))
		for t := range j.Tasks {
			runTimes[t] = j.Tasks[t].RunTime
		}
		sort.Slice(runTimes, func(a, b int) bool { return runTimes[a] > runTimes[b] })
		var end time.Duration
		for _, runTime := range runTimes {
			end = max(end, slots.assign(j.Arrival, runTime))
		}
		responses[i] = end - j.Arrival
	}
	return responses
}

// slotQueue tracks when each slot becomes free.
type slotQueue struct {
	freeAt   []time.Duration
	slowdown []float64
}

func newSlotQueue(upstreams []assembler.UpstreamConfig) *slotQueue {
	q := &slotQueue{}
	for _, u := range upstreams {
		if u.FailsAll {
			continue
		}
		for range u.Slots {
			q.freeAt = append(q.freeAt, 0)
			q.slowdown = append(q.slowdown, u.Slowdown)
		}
	}
	return q
}

// assign schedules a task on the slot on which it ends earliest and returns the
// time at which it ends.
func (q *slotQueue) assign(now, runTime time.Duration) time.Duration {
	best, bestEnd := 0, time.Duration(-1)
	for s := range q.freeAt {
		end := max(now, q.freeAt[s]) + time.Duration(float64(runTime)*q.slowdown[s])
		if bestEnd < 0 || end < bestEnd {
			best, bestEnd = s, end
		}
	}
	q.freeAt[best] = bestEnd
	return bestEnd
}
