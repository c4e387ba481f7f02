package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var start = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// newBalancer returns a balancer of one of so many entries.
func newBalancer(entries int) *Balancer {
	return New(Config{Entries: func() int { return entries }}, 1)
}

// digest returns a digest of a holder in a data centre with 100 slots.
func digest(holder, dataCentre string, free int) Digest {
	return Digest{Holder: holder, DataCentre: dataCentre, FreeSlots: free, Total: 100}
}

// job returns a request of data centre "a" that may be split.
func job(tasks int) Request {
	return Request{DataCentre: "a", Tasks: tasks, RunTime: time.Second, MaySplit: true}
}

// countDraws returns how often each holder gets a whole job.
func countDraws(t *testing.T, b *Balancer, r Request, digests []Digest) map[string]int {
	t.Helper()
	counts := map[string]int{}
	for range 10_000 {
		list := b.Assign(start, r, digests)
		assert.Len(t, list, 1)
		counts[list[0].Holder]++
	}
	return counts
}

// assertAlways asserts that a holder gets all tasks, whatever the random choices.
func assertAlways(t *testing.T, holder string, r Request, digests ...Digest) {
	t.Helper()
	assert.Equal(t, map[string]int{holder: 10_000}, countDraws(t, newBalancer(32), r, digests))
}

// assertComplete asserts that each task is assigned once, to holders that were given.
func assertComplete(t *testing.T, r Request, digests []Digest, list []Assignment) {
	t.Helper()
	known, next := map[string]bool{}, 0
	for _, d := range digests {
		known[d.Holder] = true
	}
	for _, a := range list {
		assert.True(t, known[a.Holder], "holder %s is given, once", a.Holder)
		delete(known, a.Holder)
		assert.Equal(t, next, a.First)
		assert.Positive(t, a.Tasks)
		next += a.Tasks
	}
	assert.Equal(t, r.Tasks, next)
}

// TestOrder guards against jobs that leave their data centre or their data while there is
// room, and against a wrong order when there is none.
func TestOrder(t *testing.T) {
	with := func(d Digest, change func(d *Digest)) Digest {
		change(&d)
		return d
	}
	queued := func(d Digest, backlog time.Duration) Digest {
		return with(d, func(d *Digest) { d.Backlog = backlog })
	}
	withData := func(d Digest) Digest { return with(d, func(d *Digest) { d.HasData = true }) }
	whole := job(8)
	whole.MaySplit = false
	for name, c := range map[string]struct {
		holder  string
		request Request
		digests []Digest
	}{
		"own data centre with room":          {"a1", job(4), []Digest{digest("b1", "b", 90), digest("a1", "a", 60)}},
		"own data centre is full":            {"b1", job(4), []Digest{digest("a1", "a", 0), digest("b1", "b", 60)}},
		"own data centre has a queue":        {"b1", job(4), []Digest{queued(digest("a1", "a", 60), 1), digest("b1", "b", 60)}},
		"slots are taken by own orders":      {"b1", job(4), []Digest{with(digest("a1", "a", 60), func(d *Digest) { d.SentTasks = 58 }), digest("b1", "b", 60)}},
		"data rack before own data centre":   {"b1", job(4), []Digest{digest("a1", "a", 60), withData(digest("b1", "b", 60))}},
		"own data centre within data rack":   {"a1", job(4), []Digest{withData(digest("b1", "b", 60)), withData(digest("a1", "a", 60))}},
		"room before data rack":              {"a1", job(4), []Digest{digest("a1", "a", 60), withData(digest("b1", "b", 0))}},
		"no room: shortest queue":            {"c1", job(4), []Digest{queued(digest("a1", "a", 0), 300*time.Millisecond), queued(digest("b1", "b", 0), 200*time.Millisecond), queued(digest("c1", "c", 0), 100*time.Millisecond)}},
		"no room: queue and missing slots":   {"b1", whole, []Digest{queued(Digest{Holder: "a1", DataCentre: "a", Total: 4}, 100*time.Millisecond), queued(digest("b1", "b", 0), 110*time.Millisecond)}},
		"no room: equal queues":              {"a1", job(4), []Digest{queued(digest("b1", "b", 0), time.Second), queued(digest("a1", "a", 0), time.Second)}},
		"no room: data rack before queue":    {"b1", job(4), []Digest{queued(digest("a1", "a", 0), 1), withData(queued(digest("b1", "b", 0), time.Second))}},
		"no holder fits a task":              {"a1", job(4), []Digest{{Holder: "b1", DataCentre: "b"}, {Holder: "a1", DataCentre: "a"}}},
		"a holder that fits no task is last": {"b1", job(4), []Digest{{Holder: "a1", DataCentre: "a"}, queued(digest("b1", "b", 0), time.Hour)}},
	} {
		t.Run(name, func(t *testing.T) { assertAlways(t, c.holder, c.request, c.digests...) })
	}
	t.Run("no holders", func(t *testing.T) { assert.Empty(t, newBalancer(32).Assign(start, job(4), nil)) })
}

// TestSpread guards against entries that all send their surplus to one holder.
func TestSpread(t *testing.T) {
	t.Run("in proportion to the free slots", func(t *testing.T) {
		counts := countDraws(t, newBalancer(1), job(2), []Digest{digest("b1", "b", 60), digest("c1", "c", 20)})
		assert.InDelta(t, 0.75, float64(counts["b1"])/10_000, 0.03)
	})
	t.Run("also within the own data centre", func(t *testing.T) {
		counts := countDraws(t, newBalancer(32), job(2), []Digest{digest("a1", "a", 50), digest("a2", "a", 50)})
		assert.InDelta(t, 0.5, float64(counts["a1"])/10_000, 0.03)
	})
	t.Run("without the slots of own orders", func(t *testing.T) {
		sent := digest("b1", "b", 80)
		sent.SentTasks = 40
		counts := countDraws(t, newBalancer(32), job(2), []Digest{sent, digest("c1", "c", 40)})
		assert.InDelta(t, 0.5, float64(counts["b1"])/10_000, 0.03)
	})
	t.Run("differs between entries", func(t *testing.T) {
		holders := map[string]bool{}
		for seed := range uint64(32) {
			b := New(Config{Entries: func() int { return 32 }}, seed)
			holders[b.Assign(start, job(4), []Digest{digest("b1", "b", 60), digest("c1", "c", 60)})[0].Holder] = true
		}
		assert.Len(t, holders, 2)
	})
	t.Run("is repeatable with a seed", func(t *testing.T) {
		digests := []Digest{digest("b1", "b", 60), digest("c1", "c", 60), digest("d1", "d", 3)}
		assert.Equal(t, countDraws(t, newBalancer(32), job(4), digests), countDraws(t, newBalancer(32), job(4), digests))
	})
}

// TestDiscount guards against slots that are promised by a stale digest, but that other
// entries have filled since.
func TestDiscount(t *testing.T) {
	short := job(4)
	short.RunTime = 100 * time.Millisecond
	stale, fresh := digest("b1", "b", 60), digest("c1", "c", 60)
	stale.Age = 130 * time.Millisecond
	other := digest("d1", "d", 10)
	t.Run("a stale digest counts less", func(t *testing.T) {
		counts := countDraws(t, newBalancer(32), short, []Digest{stale, fresh, other})
		assert.Greater(t, counts["c1"], counts["b1"]+500)
	})
	t.Run("a single entry knows of all orders", func(t *testing.T) {
		counts := countDraws(t, newBalancer(1), short, []Digest{stale, fresh, other})
		assert.InDelta(t, counts["c1"], counts["b1"], 300)
	})
	t.Run("few free slots of a stale digest are no room", func(t *testing.T) {
		digests := []Digest{digest("a1", "a", 5), digest("b1", "b", 60)}
		for i := range 6 {
			digests = append(digests, digest(fmt.Sprint("c", i), "c", 0))
		}
		long := job(4)
		long.RunTime = time.Hour
		assertAlways(t, "a1", long, digests...)
		digests[0].Age = 130 * time.Millisecond
		assertAlways(t, "b1", short, digests...)
	})
	t.Run("a digest from the future is as good as a new one", func(t *testing.T) {
		early := digest("b1", "b", 60)
		expected := countDraws(t, newBalancer(32), short, []Digest{early, digest("c1", "c", 20)})
		early.Age = -time.Second
		assert.Equal(t, expected, countDraws(t, newBalancer(32), short, []Digest{early, digest("c1", "c", 20)}))
	})
}

// TestSplit guards against wide jobs that wait for slots at one holder while several have
// some, and against needless splits.
func TestSplit(t *testing.T) {
	slow := func(tasks int) Request {
		r := job(tasks)
		r.RunTime = time.Hour
		return r
	}
	assertTasks := func(t *testing.T, expected map[string]int, r Request, digests ...Digest) {
		t.Helper()
		list := newBalancer(1).Assign(start, r, digests)
		assertComplete(t, r, digests, list)
		tasks := map[string]int{}
		for _, a := range list {
			tasks[a.Holder] = a.Tasks
		}
		assert.Equal(t, expected, tasks)
	}
	t.Run("not if one holder has room", func(t *testing.T) {
		assertTasks(t, map[string]int{"b1": 8}, slow(8), digest("a1", "a", 7), digest("b1", "b", 8))
	})
	t.Run("in proportion to the free slots if there are too few", func(t *testing.T) {
		assertTasks(t, map[string]int{"a1": 4, "b1": 8, "c1": 4}, slow(16), digest("a1", "a", 3), digest("b1", "b", 6), digest("c1", "c", 3))
	})
	t.Run("with half of the tasks in free slots", func(t *testing.T) {
		assertTasks(t, map[string]int{"a1": 4, "b1": 4}, slow(8), digest("a1", "a", 2), digest("b1", "b", 2))
	})
	t.Run("not with fewer", func(t *testing.T) {
		assert.Len(t, newBalancer(1).Assign(start, slow(10), []Digest{digest("a1", "a", 2), digest("b1", "b", 2)}), 1)
	})
	t.Run("not if the job forbids it", func(t *testing.T) {
		r := slow(8)
		r.MaySplit = false
		assert.Len(t, newBalancer(1).Assign(start, r, []Digest{digest("a1", "a", 6), digest("b1", "b", 6)}), 1)
	})
	t.Run("within the own data centre if it has twice the slots", func(t *testing.T) {
		assertTasks(t, map[string]int{"a1": 4, "a2": 4, "a3": 4}, slow(12),
			digest("a1", "a", 8), digest("b1", "b", 9), digest("a2", "a", 8), digest("a3", "a", 8))
	})
	t.Run("not a narrow job with reported room", func(t *testing.T) {
		short := Request{DataCentre: "a", Tasks: 2, RunTime: 50 * time.Millisecond, MaySplit: true}
		a, b := digest("a1", "a", 2), digest("b1", "b", 2)
		a.Age, b.Age = 130*time.Millisecond, 130*time.Millisecond
		countDraws(t, newBalancer(32), short, []Digest{a, b})
		assertTasks(t, map[string]int{"a1": 1, "b1": 1}, slow(2), digest("a1", "a", 1), digest("b1", "b", 1))
	})
	t.Run("not a single task, which would go to the most free slots", func(t *testing.T) {
		queued := digest("d1", "d", 50)
		queued.Backlog = time.Second
		short := Request{DataCentre: "a", Tasks: 1, RunTime: 50 * time.Millisecond, MaySplit: true}
		counts := countDraws(t, newBalancer(32), short, []Digest{digest("b1", "b", 0), queued, digest("c1", "c", 0)})
		assert.InDelta(t, counts["b1"], counts["c1"], 300)
		assert.Zero(t, counts["d1"])
	})
	t.Run("not if the free slots are beside queues", func(t *testing.T) {
		a, b := digest("a1", "a", 20), digest("b1", "b", 20)
		a.Backlog, b.Backlog = time.Millisecond, time.Second
		assertTasks(t, map[string]int{"a1": 16}, slow(16), a, b)
	})
}

// TestAssignAll guards against tasks that are lost or assigned twice.
func TestAssignAll(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	b := newBalancer(32)
	for i := range 20_000 {
		var digests []Digest
		for h := range 1 + r.IntN(12) {
			digests = append(digests, Digest{
				Holder: fmt.Sprint(h), DataCentre: string(rune('a' + r.IntN(4))), Age: time.Duration(r.IntN(400)) * time.Millisecond,
				FreeSlots: r.IntN(8), Total: r.IntN(100), Backlog: time.Duration(max(0, r.IntN(40)-30)) * time.Millisecond,
				HasData: r.IntN(8) == 0, SentTasks: r.IntN(6),
			})
		}
		q := Request{DataCentre: "a", Tasks: 1 + r.IntN(32), RunTime: time.Duration(r.IntN(1000)) * time.Millisecond, MaySplit: r.IntN(4) > 0}
		list := b.Assign(start.Add(time.Duration(i)*time.Millisecond), q, digests)
		assertComplete(t, q, digests, list)
		assert.True(t, q.MaySplit || len(list) == 1)
	}
}

// manyDigests returns digests of so many holders in 8 data centres.
func manyDigests(holders int) []Digest {
	r := rand.New(rand.NewPCG(1, 1))
	list := make([]Digest, holders)
	for i := range list {
		list[i] = digest(fmt.Sprint("holder-", i), string(rune('a'+i%8)), r.IntN(12))
		list[i].Age = time.Duration(r.IntN(130)) * time.Millisecond
	}
	return list
}

// TestAllocations guards against garbage on the path of each job.
func TestAllocations(t *testing.T) {
	for _, tasks := range []int{2, 30} {
		b, digests := newBalancer(32), manyDigests(103)
		assert.LessOrEqual(t, testing.AllocsPerRun(100, func() { b.Assign(start, job(tasks), digests) }), 1.0)
	}
}

func BenchmarkAssign(b *testing.B) {
	for _, holders := range []int{8, 103} {
		for _, tasks := range []int{2, 30} {
			b.Run(fmt.Sprintf("holders=%d/tasks=%d", holders, tasks), func(b *testing.B) {
				balancer, digests := newBalancer(32), manyDigests(holders)
				b.ReportAllocs()
				for b.Loop() {
					balancer.Assign(start, job(tasks), digests)
				}
			})
		}
	}
}
