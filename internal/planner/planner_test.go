package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func cores(n int64) Capacity { return Capacity{MilliCores: n * 1000} }

// waitingTask has waited for half of its slack of 200 ms and runs for 100 ms.
func waitingTask(milliCores int64) Task {
	return Task{
		Needs: Capacity{MilliCores: milliCores}, RunTime: 100 * time.Millisecond,
		WaitsSince: after(-100), LatestStart: after(100),
	}
}

// server has 16 cores.
func server(id string, runs ...Run) Server {
	s := Server{ID: id, Capacity: cores(16), Speed: 1, Runs: runs}
	for _, r := range runs {
		s.Used = s.Used.plus(r.Needs)
	}
	return s
}

func run(coreCount int64, endsAfter int) Run { return Run{cores(coreCount), after(endsAfter)} }

// begun returns a Planner in a round among ten servers, so that one may be reserved.
func begun() *Planner {
	p := New(Config{})
	p.Begin(start, 10)
	return p
}

func assertReserves(t *testing.T, p *Planner, task Task, id string, at time.Time, servers ...Server) {
	t.Helper()
	r, ok := p.Reserve(start, &task, servers)
	assert.True(t, ok, "reserves")
	assert.Equal(t, Reservation{Server: id, At: at, Needs: task.Needs}, r)
}

func assertNoReservation(t *testing.T, p *Planner, task Task, servers ...Server) {
	t.Helper()
	r, ok := p.Reserve(start, &task, servers)
	assert.False(t, ok, "reserves %+v", r)
}

// TestReservedServer guards against reservations of servers where a task starts later than
// elsewhere or is not expected to start.
func TestReservedServer(t *testing.T) {
	slow, fast := server("slow", run(8, 50)), server("fast", run(8, 50))
	slow.Speed, fast.Speed = 0.8, 1.6
	early := server("early", run(8, 30))
	early.Speed = 0.8
	full := server("full", run(16, 40))
	small := server("small", run(4, 10))
	small.Capacity = cores(8)
	noMemory := server("no-memory", run(8, 10))
	noMemory.Capacity.MemoryMB, noMemory.Used.MemoryMB = 100, 60
	for name, c := range map[string]struct {
		servers []Server
		id      string
		at      int
	}{
		"the earliest end":                    {[]Server{server("a", run(8, 60)), server("b", run(8, 30))}, "b", 30},
		"the end of several runs":             {[]Server{server("a", run(4, 60), run(4, 30), run(4, 90), run(4, 20))}, "a", 60},
		"the least missing capacity":          {[]Server{full, server("b", run(8, 60))}, "b", 60},
		"not where the objective is missed":   {[]Server{server("a", run(8, 120)), full}, "full", 40},
		"the earlier end on a faster one":     {[]Server{slow, fast}, "fast", 50},
		"not where the task never fits":       {[]Server{small, server("b", run(8, 60))}, "b", 60},
		"not beside a run that has overrun":   {[]Server{server("a", run(8, -1)), full}, "full", 40},
		"beside a run that has overrun":       {[]Server{server("a", run(4, -1), run(8, 30))}, "a", 30},
		"not where it fits and is refused":    {[]Server{server("a", run(4, 10)), full}, "full", 40},
		"the earlier start on a slower one":   {[]Server{fast, early}, "early", 30},
		"not where a figure would not fit":    {[]Server{server("a", Run{Capacity{Slots: 1}, after(5)}), full}, "full", 40},
		"a run that ends at this very moment": {[]Server{server("a", run(8, 0))}, "a", 0},
	} {
		t.Run(name, func(t *testing.T) {
			task := waitingTask(12_000)
			assertReserves(t, begun(), task, c.id, after(c.at), c.servers...)
		})
	}
	t.Run("memory that no run releases", func(t *testing.T) {
		task := waitingTask(12_000)
		task.Needs.MemoryMB = 50
		assertNoReservation(t, begun(), task, noMemory)
	})
	t.Run("without servers", func(t *testing.T) { assertNoReservation(t, begun(), waitingTask(12_000)) })
	t.Run("all runs have overrun", func(t *testing.T) {
		assertNoReservation(t, begun(), waitingTask(12_000), server("a", run(8, -1), run(8, -30)))
	})
}

// TestBounds guards against reservations that cost more than they gain: of tasks that would
// start soon anyway, or that come too late.
func TestBounds(t *testing.T) {
	for name, c := range map[string]struct {
		waited, slack, endsAfter int
		speed                    float64
		giveUpAfter              int
		ok                       bool
	}{
		"waited a quarter of the slack":    {50, 200, 60, 1, 0, true},
		"waited less":                      {49, 200, 60, 1, 0, false},
		"objective just met":               {100, 200, 100, 1, 0, true},
		"objective just missed":            {100, 200, 101, 1, 0, false},
		"met on a fast server":             {100, 200, 150, 2, 0, true},
		"missed on a fast server":          {100, 200, 151, 2, 0, false},
		"met on a slow server":             {100, 200, 0, 0.5, 0, true},
		"missed on a slow server":          {100, 200, 1, 0.5, 0, false},
		"a speed that is not known":        {100, 200, 100, 0, 0, true},
		"already late":                     {300, 200, 1, 1, 0, false},
		"before the caller gives up":       {100, 200, 60, 1, 60, true},
		"after the caller has given up":    {100, 200, 61, 1, 60, false},
		"no slack, on a server of speed 2": {0, 0, 50, 2, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			task := waitingTask(12_000)
			task.WaitsSince = after(-c.waited)
			task.LatestStart = after(c.slack - c.waited)
			if c.giveUpAfter > 0 {
				task.GiveUpAt = after(c.giveUpAfter)
			}
			s := server("a", run(8, c.endsAfter))
			s.Speed = c.speed
			_, ok := begun().Reserve(start, &task, []Server{s})
			assert.Equal(t, c.ok, ok)
		})
	}
}

// TestWideJob guards against a job whose tasks reserve more than a tenth of the servers, or
// one server twice.
func TestWideJob(t *testing.T) {
	for serverCount, want := range map[int]int{0: 0, 1: 0, 9: 0, 10: 1, 19: 1, 44: 4, 58: 5, 90: 9, 400: 32} {
		t.Run(fmt.Sprintf("%d servers", serverCount), func(t *testing.T) {
			var servers []Server
			for i := range serverCount {
				servers = append(servers, server(fmt.Sprint(i), run(8, 30)))
			}
			p := New(Config{})
			p.Begin(start, serverCount)
			reserved := map[string]bool{}
			for range 32 {
				task := waitingTask(12_000)
				if r, ok := p.Reserve(start, &task, servers); ok {
					reserved[r.Server] = true
				}
			}
			assert.Len(t, reserved, want)
			assert.Len(t, p.reserved, want)
		})
	}
}

// TestAttempts guards against rounds that look through all servers for each waiting task
// while none is suitable.
func TestAttempts(t *testing.T) {
	p := begun()
	task := waitingTask(12_000)
	for range maxAttemptsFactor {
		assert.True(t, p.MayReserve(start, &task))
		assertNoReservation(t, p, task, server("a", run(8, -1)))
	}
	assert.False(t, p.MayReserve(start, &task))
	assertNoReservation(t, p, task, server("a", run(8, 30)))
	p.Begin(start, 10)
	assertReserves(t, p, task, "a", after(30), server("a", run(8, 30)))
}

// TestMayStart guards against tasks that delay the one with a reservation, and against
// capacity that is idle though a task could have used it.
func TestMayStart(t *testing.T) {
	// 8 of 16 cores are free now, 16 from 60 ms on; 12 of them are reserved.
	for name, c := range map[string]struct {
		server    string
		free      int64
		needs     int64
		endsAfter int
		ok        bool
	}{
		"ends before the reservation":              {"a", 8, 8, 59, true},
		"ends as it begins":                        {"a", 8, 8, 60, true},
		"ends after it":                            {"a", 8, 8, 61, false},
		"leaves room beside it":                    {"a", 8, 4, 500, true},
		"leaves too little room":                   {"a", 8, 5, 500, false},
		"after another that runs beside it":        {"a", 4, 4, 500, false},
		"short, after another that runs beside it": {"a", 4, 4, 59, true},
		"on another server":                        {"b", 8, 8, 500, true},
	} {
		t.Run(name, func(t *testing.T) {
			p := begun()
			assertReserves(t, p, waitingTask(12_000), "a", after(60), server("a", run(8, 60)))
			assert.Equal(t, c.ok, p.MayStart(c.server, cores(c.free), cores(c.needs), after(c.endsAfter)))
		})
	}
	t.Run("each figure counts", func(t *testing.T) {
		for _, needs := range []Capacity{{Slots: 2}, {MemoryMB: 2}, {Accelerators: 2}} {
			task := waitingTask(1000)
			task.Needs = task.Needs.plus(needs)
			half := Capacity{needs.Slots / 2, 0, needs.MemoryMB / 2, needs.Accelerators / 2}
			s := Server{ID: "a", Capacity: cores(16).plus(needs), Used: half, Runs: []Run{{half, after(60)}}}
			p := begun()
			assertReserves(t, p, task, "a", after(60), s)
			assert.False(t, p.MayStart("a", s.Capacity.minus(s.Used), half, after(61)), "%+v", needs)
			assert.True(t, p.MayStart("a", s.Capacity.minus(s.Used), half, after(60)), "%+v", needs)
			assert.True(t, p.MayStart("a", s.Capacity.minus(s.Used), cores(4), after(61)), "%+v", needs)
		}
	})
	t.Run("no reservation", func(t *testing.T) {
		assert.True(t, begun().MayStart("a", cores(8), cores(8), after(500)))
	})
}

// TestOneRound guards against capacity that stays blocked after the task was cancelled, or
// the server or the holder was lost: nothing is kept beyond a round.
func TestOneRound(t *testing.T) {
	p := begun()
	task := waitingTask(12_000)
	assertReserves(t, p, task, "a", after(60), server("a", run(8, 60)))
	require.False(t, p.MayStart("a", cores(8), cores(8), after(500)))
	t.Run("the task was cancelled", func(t *testing.T) {
		p.Begin(after(1), 10)
		assert.True(t, p.MayStart("a", cores(8), cores(8), after(500)))
	})
	t.Run("the server was lost", func(t *testing.T) {
		p.Begin(after(2), 10)
		assertReserves(t, p, task, "b", after(70), server("b", run(8, 70)))
		assert.True(t, p.MayStart("a", cores(8), cores(8), after(500)))
		assert.False(t, p.MayStart("b", cores(8), cores(8), after(500)))
	})
	t.Run("most servers were lost", func(t *testing.T) {
		p.Begin(after(3), 9)
		assertNoReservation(t, p, task, server("b", run(8, 70)))
	})
}

// TestIndex guards against servers that are taken for others with a like name, and against
// ones that are still found in the next round.
func TestIndex(t *testing.T) {
	for name, nameOf := range map[string]func(i int) string{
		"unlike ends": func(i int) string { return fmt.Sprintf("upstream-%d", i) },
		"like ends":   func(i int) string { return fmt.Sprintf("10.0.0.%d:8080", i) },
		"short":       func(i int) string { return fmt.Sprint(i) },
		"unlike ends beyond the table": func(i int) string {
			if i < 255 {
				return fmt.Sprintf("10.0.0.%d:8080", i)
			}
			return fmt.Sprintf("10.0.0.%d", i)
		},
	} {
		t.Run(name, func(t *testing.T) {
			x := index{positions: map[string]int{}}
			for range 2 {
				for i := range 300 {
					x.add(nameOf(i), i)
				}
				for i := range 600 {
					position, ok := x.find(nameOf(i))
					assert.Equal(t, i < 300, ok, i)
					assert.True(t, !ok || position == i, i)
				}
				x.clear()
				for i := range 600 {
					_, ok := x.find(nameOf(i))
					assert.False(t, ok, i)
				}
			}
		})
	}
}

// TestNoAllocation guards against rounds that allocate.
func TestNoAllocation(t *testing.T) {
	p, round := New(Config{}), newBenchRound()
	assert.Zero(t, testing.AllocsPerRun(100, func() { round.place(p) }))
}

// TestStats guards against figures of the wrong class or of time beyond the round.
func TestStats(t *testing.T) {
	p := New(Config{SizeClasses: []int64{4000, 12_000}})
	assertStats := func(want ...ClassStats) {
		t.Helper()
		for i, c := range p.Stats().Classes {
			assert.InDelta(t, want[i].ReservedCoreSeconds, c.ReservedCoreSeconds, 1e-9)
			assert.InDelta(t, want[i].IdleCoreSeconds, c.IdleCoreSeconds, 1e-9)
			c.ReservedCoreSeconds, c.IdleCoreSeconds = want[i].ReservedCoreSeconds, want[i].IdleCoreSeconds
			assert.Equal(t, want[i], c)
		}
	}
	p.Begin(start, 10)
	assertReserves(t, p, waitingTask(12_000), "a", after(60), server("a", run(8, 60)))
	p.Begin(after(50), 10)
	assertStats(ClassStats{UpTo: 4000}, ClassStats{UpTo: 12_000, Reservations: 1, ReservedCoreSeconds: 0.6, IdleCoreSeconds: 0.4}, ClassStats{})
	p.Begin(after(70), 10)
	assertStats(ClassStats{UpTo: 4000}, ClassStats{UpTo: 12_000, Reservations: 1, ReservedCoreSeconds: 0.6, IdleCoreSeconds: 0.4}, ClassStats{})

	p.Begin(start, 10)
	assertReserves(t, p, waitingTask(14_000), "a", after(60), server("a", run(8, 60)))
	p.MayStart("a", cores(2), cores(2), after(100))
	p.Begin(after(100), 10)
	assertStats(ClassStats{UpTo: 4000}, ClassStats{UpTo: 12_000, Reservations: 1, ReservedCoreSeconds: 0.6, IdleCoreSeconds: 0.4},
		ClassStats{Reservations: 1, Late: 1, ReservedCoreSeconds: 1.4, IdleCoreSeconds: 0.2})
}
