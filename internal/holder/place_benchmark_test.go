package holder

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// busyHolder returns a holder with 90 upstreams that are full, and 150 jobs that wait.
func busyHolder() (*Holder, time.Time) {
	random := rand.New(rand.NewPCG(1, 1))
	now := testStart.Add(time.Minute)
	h := New(Config{VM: "1", DataCentre: "a", Timing: DefaultTiming(), TokenEpoch: testStart})
	h.out = &Effects{}
	needs := func() Capacity { return Capacity{MilliCores: 6000 + random.Int64N(6000), MemoryMB: 64} }
	order := func(id string) Order {
		o := routeOrder(id, "r", 2+random.IntN(7), needs().MilliCores)
		o.Steps[0].Estimate = time.Duration(60+random.IntN(840)) * time.Millisecond
		o.Objective = o.Steps[0].Estimate*16/10 + 60*time.Millisecond
		return o
	}
	for i := range 90 {
		u := &trackedUpstream{
			incarnation: newIncarnation(testUpstream(fmt.Sprint("u", i), "a")), runs: map[runKey]*run{}, lastHeartbeatAt: now, answeredAt: now,
		}
		u.speed = 0.6 + random.Float64()
		u.Capacity.MilliCores = 16_000
		h.upstreams[u.ID] = u
		h.setPhase(u, active)
		j := newJob(now, "entry", order(fmt.Sprint("running", i)))
		for k, t := range j.steps[0] {
			if k < 2 && u.used.MilliCores+8000 <= u.Capacity.MilliCores {
				t.run = &run{task: t, number: 1, state: running, needs: Capacity{MilliCores: 8000}, sentAt: now, expected: 200 * time.Millisecond}
				u.runs[t.run.key()] = t.run
				u.used = u.used.plus(t.run.needs)
			}
		}
	}
	for i := range 150 {
		h.queue = append(h.queue, newJob(now.Add(-time.Duration(i)*time.Millisecond), "entry", order(fmt.Sprint("waiting", i))))
	}
	return h, now
}

// BenchmarkFullRound measures a round of placement in which nothing fits.
func BenchmarkFullRound(b *testing.B) {
	h, now := busyHolder()
	b.ReportAllocs()
	for b.Loop() {
		h.placeTasks(now)
		h.out.Reset()
	}
}

// BenchmarkRoundWithOneFreeUpstream measures a round in which tasks start on one upstream.
func BenchmarkRoundWithOneFreeUpstream(b *testing.B) {
	h, now := busyHolder()
	u := h.upstreams["u7"]
	used, runs, queue := u.used, u.runs, h.queue
	b.ReportAllocs()
	for b.Loop() {
		u.used, u.runs = Capacity{}, map[runKey]*run{}
		h.queue = append([]*job{}, queue...)
		h.placeTasks(now)
		for _, r := range u.runs {
			r.task.run, r.task.nextRun = nil, 1
			r.task.job.started, r.task.job.runCount = false, 0
		}
		h.out.Reset()
	}
	u.used, u.runs = used, runs
}

// BenchmarkAdmission measures the expected wait of an order while many jobs wait.
func BenchmarkAdmission(b *testing.B) {
	h, now := busyHolder()
	o := routeOrder("next", "r", 8, 8000)
	o.Steps[0].Estimate, o.Objective = 60*time.Millisecond, 156*time.Millisecond
	b.ReportAllocs()
	for b.Loop() {
		_, _ = h.checkAdmission(now, &o)
	}
}
