package planner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// benchRound has 90 nearly full servers and 150 waiting tasks of which some find room.
type benchRound struct {
	servers []Server
	used    []Capacity
	tasks   []Task
}

func newBenchRound() *benchRound {
	random := rand.New(rand.NewPCG(1, 2))
	b := &benchRound{}
	for i := range 90 {
		s := makeServer(i)
		for needs := makeNeeds(random); needs.plus(s.Used).fitsIn(s.Capacity); needs = makeNeeds(random) {
			s.Runs = append(s.Runs, Run{needs, start.Add(time.Duration(random.IntN(300)-60) * time.Millisecond)})
			s.Used = s.Used.plus(needs)
		}
		b.servers = append(b.servers, s)
		b.used = append(b.used, s.Used)
	}
	for range 150 {
		at := start.Add(-time.Duration(random.IntN(180)) * time.Millisecond)
		b.tasks = append(b.tasks, Task{
			Needs: makeNeeds(random), RunTime: 200 * time.Millisecond,
			WaitsSince: at, LatestStart: at.Add(180 * time.Millisecond),
		})
	}
	return b
}

// place is the caller's round: each task looks at each server, as when no two need the same.
// A start uses capacity until the next round, which begins as this one did.
func (b *benchRound) place(p *Planner) (placed, reserved int) {
	for i := range b.servers {
		b.servers[i].Used = b.used[i]
	}
	if p != nil {
		p.Begin(start, len(b.servers))
	}
	for i := range b.tasks {
		t := &b.tasks[i]
		best := -1
		var bestEnd time.Duration
		for k := range b.servers {
			s := &b.servers[k]
			free := s.Capacity.minus(s.Used)
			if !t.Needs.fitsIn(free) {
				continue
			}
			end := t.runTimeOn(s)
			if p != nil && !p.MayStart(s.ID, free, t.Needs, start.Add(end)) {
				continue
			}
			if best < 0 || end < bestEnd {
				best, bestEnd = k, end
			}
		}
		if best >= 0 {
			placed++
			b.servers[best].Used = b.servers[best].Used.plus(t.Needs)
			continue
		}
		if p == nil {
			continue
		}
		if _, ok := p.Reserve(start, t, b.servers); ok {
			reserved++
		}
	}
	return placed, reserved
}

func BenchmarkRound(b *testing.B) {
	for _, name := range []string{"without", "with"} {
		b.Run(name+" reservations", func(b *testing.B) {
			var p *Planner
			if name == "with" {
				p = New(Config{SizeClasses: []int64{8000, 10_000}})
			}
			round := newBenchRound()
			b.ReportAllocs()
			placed, reserved := 0, 0
			for b.Loop() {
				placed, reserved = round.place(p)
			}
			b.ReportMetric(float64(placed), "placed")
			b.ReportMetric(float64(reserved), "reserved")
		})
	}
}

func BenchmarkMayStart(b *testing.B) {
	for _, reserved := range []int{0, 1, 9} {
		b.Run(fmt.Sprintf("%d reserved", reserved), func(b *testing.B) {
			p := New(Config{})
			p.Begin(start, 10*reserved)
			servers := newBenchRound().servers
			task := waitingTask(12_000)
			for range reserved {
				p.Reserve(start, &task, servers)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				p.MayStart(servers[i%len(servers)].ID, Capacity{MilliCores: 8000}, Capacity{MilliCores: 4000}, start)
				i++
			}
		})
	}
}
