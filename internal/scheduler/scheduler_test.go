package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var testNow = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var oneSlot = Shape{Slots: 1}

func newTestScheduler(upstreams ...Upstream) *Scheduler {
	s := New(DefaultPolicy())
	for _, u := range upstreams {
		s.Announce(u)
	}
	return s
}

func testUpstream(name string, slots int) Upstream {
	return Upstream{Name: name, Capacity: Shape{Slots: slots, MilliCores: 4000, MemoryBytes: 100}, Services: []string{"s"}}
}

func testDemand(job string, count int, shape Shape) Demand {
	return Demand{Job: job, Holder: "vm", Team: "t", Service: "s", Shape: shape, Count: count, Arrival: testNow, DeclaredRunTime: 100 * time.Millisecond}
}

func grantAll(s *Scheduler, now time.Time) []Grant {
	var all []Grant
	for g, ok := s.Next(now); ok; g, ok = s.Next(now) {
		all = append(all, g)
	}
	return all
}

func release(s *Scheduler, now time.Time, g Grant, o Outcome) {
	s.Release(now, Release{
		Holder: g.Holder, Upstream: g.Upstream, Team: g.Team, Service: "s", Shape: g.Shape,
		DeclaredRunTime: 100 * time.Millisecond, Elapsed: 100 * time.Millisecond, Outcome: o,
	})
}

func TestGrants(t *testing.T) {
	t.Run("every free slot is granted once", func(t *testing.T) {
		s := newTestScheduler(testUpstream("a", 2), testUpstream("b", 3))
		s.Add(testDemand("j", 9, oneSlot))
		assert.Len(t, grantAll(s, testNow), 5)
		assert.Equal(t, 4, s.Loads()[0].Waiting)
	})
	t.Run("tasks that together exceed an upstream never share it", func(t *testing.T) {
		s := newTestScheduler(testUpstream("a", 4))
		s.Add(testDemand("j", 2, Shape{Slots: 1, MemoryBytes: 60}))
		assert.Len(t, grantAll(s, testNow), 1)
	})
	t.Run("a task that fits no upstream does not block the others", func(t *testing.T) {
		s := newTestScheduler(testUpstream("a", 2))
		s.Add(testDemand("large", 1, Shape{Slots: 4}))
		s.Add(testDemand("small", 1, oneSlot))
		grants := grantAll(s, testNow)
		require.Len(t, grants, 1)
		assert.Equal(t, "small", grants[0].Job)
	})
	t.Run("an upstream that is down or leaving gets no grants", func(t *testing.T) {
		s := newTestScheduler(testUpstream("a", 2), testUpstream("b", 2))
		s.SetDown("a", true)
		leaving := testUpstream("b", 2)
		leaving.Leaving = true
		s.Announce(leaving)
		s.Add(testDemand("j", 1, oneSlot))
		assert.Empty(t, grantAll(s, testNow))
		s.SetDown("a", false)
		assert.Len(t, grantAll(s, testNow), 1)
	})
	t.Run("a small job overtakes a large one", func(t *testing.T) {
		s := newTestScheduler(testUpstream("a", 1))
		s.Add(testDemand("large", 590, oneSlot))
		g := grantAll(s, testNow)[0]
		small := testDemand("small", 1, oneSlot)
		small.Arrival = testNow.Add(time.Millisecond)
		s.Add(small)
		release(s, testNow, g, Succeeded)
		assert.Equal(t, "small", grantAll(s, testNow)[0].Job)
	})
	t.Run("no team starves another", func(t *testing.T) {
		s := newTestScheduler(testUpstream("a", 8))
		large := testDemand("flood", 500, oneSlot)
		s.Add(large)
		grants := grantAll(s, testNow)
		other := testDemand("other", 4, oneSlot)
		other.Team = "u"
		other.Arrival = testNow.Add(time.Second)
		s.Add(other)
		for _, g := range grants {
			release(s, testNow, g, Succeeded)
		}
		byTeam := map[string]int{}
		for _, g := range grantAll(s, testNow) {
			byTeam[g.Team]++
		}
		assert.Equal(t, 4, byTeam["u"])
	})
	t.Run("a released lease is taken back once", func(t *testing.T) {
		s := newTestScheduler(testUpstream("a", 1))
		s.Add(testDemand("j", 3, oneSlot))
		g := grantAll(s, testNow)[0]
		release(s, testNow, g, Succeeded)
		release(s, testNow, g, Succeeded)
		assert.Len(t, grantAll(s, testNow), 1)
	})
}

func TestFailingUpstreamIsThrottled(t *testing.T) {
	s := newTestScheduler(testUpstream("bad", 8), testUpstream("good", 8))
	s.Add(testDemand("j", 100_000, oneSlot))
	starts := map[string]int{}
	type run struct {
		grant Grant
		end   time.Time
	}
	var running []run
	for now := testNow; now.Before(testNow.Add(10 * time.Second)); now = now.Add(time.Millisecond) {
		for _, g := range grantAll(s, now) {
			starts[g.Upstream]++
			end := now.Add(100 * time.Millisecond)
			if g.Upstream == "bad" {
				end = now.Add(time.Millisecond)
			}
			running = append(running, run{g, end})
		}
		left := running[:0]
		for _, r := range running {
			if now.Before(r.end) {
				left = append(left, r)
				continue
			}
			outcome := Succeeded
			if r.grant.Upstream == "bad" {
				outcome = Failed
			}
			release(s, now, r.grant, outcome)
		}
		running = left
	}
	assert.LessOrEqual(t, starts["bad"], 2*starts["good"], "more than twice the starts of a healthy upstream of the same size")
	assert.Positive(t, starts["bad"], "a failing upstream is throttled, not excluded")
}

func TestEstimator(t *testing.T) {
	t.Run("corrects a constant factor", func(t *testing.T) {
		var e estimator
		for i := range 200 {
			run := time.Duration(50+i) * time.Millisecond
			e.observe(10*run, run)
		}
		got := e.predict(time.Second)
		assert.InDelta(t, 100, got.Milliseconds(), 20)
	})
	t.Run("ignores declarations without information", func(t *testing.T) {
		var e estimator
		for i := range 500 {
			declared := time.Duration(1+(i*7919)%1000) * time.Millisecond
			e.observe(declared, 100*time.Millisecond)
		}
		assert.InDelta(t, 100, e.predict(time.Second).Milliseconds(), 20)
	})
}

// TestSlotsAreNeverOversubscribed applies random sequences of demands, releases and changes
// to a scheduler and compares it with a simple count of slots and waiting tasks.
func TestSlotsAreNeverOversubscribed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(DefaultPolicy())
		now := testNow
		slots, used := map[string]int{}, map[string]int{}
		down := map[string]bool{}
		waiting, job := 0, 0
		var running []Grant
		name := rapid.SampledFrom([]string{"a", "b", "c"})
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(t *rapid.T) {
				n := name.Draw(t, "name")
				slots[n] = rapid.IntRange(1, 6).Draw(t, "slots")
				s.Announce(testUpstream(n, slots[n]))
			},
			"demand": func(t *rapid.T) {
				job++
				count := rapid.IntRange(1, 9).Draw(t, "count")
				s.Add(testDemand(fmt.Sprint("j", job), count, oneSlot))
				waiting += count
			},
			"withdraw": func(t *rapid.T) {
				waiting -= s.Withdraw("vm", fmt.Sprint("j", job), rapid.IntRange(1, 9).Draw(t, "count"))
			},
			"remove": func(t *rapid.T) {
				n := name.Draw(t, "name")
				s.Remove(n)
				slots[n], used[n], down[n] = 0, 0, false
				left := running[:0]
				for _, g := range running {
					if g.Upstream != n {
						left = append(left, g)
					}
				}
				running = left
			},
			"verdict": func(t *rapid.T) {
				n := name.Draw(t, "name")
				if slots[n] > 0 {
					down[n] = rapid.Bool().Draw(t, "down")
					s.SetDown(n, down[n])
				}
			},
			"return": func(*rapid.T) {
				s.BeginReturn()
			},
			"release": func(t *rapid.T) {
				if len(running) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(running)-1).Draw(t, "which")
				release(s, now, running[i], rapid.SampledFrom([]Outcome{Unused, Succeeded, Failed, Refused}).Draw(t, "outcome"))
				used[running[i].Upstream]--
				running = append(running[:i], running[i+1:]...)
			},
			"grant": func(t *rapid.T) {
				now = now.Add(rapid.SampledFrom([]time.Duration{0, time.Second, time.Minute}).Draw(t, "later"))
				for _, g := range grantAll(s, now) {
					waiting--
					used[g.Upstream]++
					running = append(running, g)
					if used[g.Upstream] > slots[g.Upstream] || down[g.Upstream] {
						t.Fatalf("%s has %d of %d slots in use, down %t", g.Upstream, used[g.Upstream], slots[g.Upstream], down[g.Upstream])
					}
				}
			},
			"": func(t *rapid.T) {
				if loads := s.Loads(); len(loads) > 0 && loads[0].Waiting != waiting {
					t.Fatalf("%d tasks are waiting, the scheduler reports %d", waiting, loads[0].Waiting)
				}
			},
		})
	})
}

func benchmarkDecision(b *testing.B, upstreams int) {
	s := New(DefaultPolicy())
	for i := range upstreams {
		s.Announce(testUpstream(fmt.Sprint("u", i), 8))
	}
	for i := range 1000 {
		d := testDemand(fmt.Sprint("j", i), 1_000_000, oneSlot)
		d.Team = fmt.Sprint("team", i%130)
		s.Add(d)
	}
	grants := grantAll(s, testNow)
	for i := range grants {
		release(s, testNow, grants[i], Succeeded)
		if g, ok := s.Next(testNow); ok {
			grants[i] = g
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		k := i % len(grants)
		release(s, testNow, grants[k], Succeeded)
		if g, ok := s.Next(testNow); ok {
			grants[k] = g
		}
	}
}

// BenchmarkDecision measures one release followed by one grant.
func BenchmarkDecision(b *testing.B) {
	b.Run("50-upstreams", func(b *testing.B) { benchmarkDecision(b, 50) })
	b.Run("1200-upstreams", func(b *testing.B) { benchmarkDecision(b, 1200) })
}

// TestRestartForgetsMeasurements guards against tasks that are placed by the speed, the limit or the
// pause of a former incarnation of an upstream.
func TestRestartForgetsMeasurements(t *testing.T) {
	s := newTestScheduler()
	u := testUpstream("a", 8)
	u.StartedAt = testNow
	s.Announce(u)
	known := s.upstreams["a"]
	known.memberships[0].logSlowdown, known.memberships[0].samples = 2, 9
	known.paused, s.paused = true, []*upstream{known}
	for range 3 {
		known.limit.RecordFailure(testNow, time.Second)
	}
	s.Announce(u)
	assert.EqualValues(t, 2, known.memberships[0].logSlowdown, "forgotten without a restart")
	u.StartedAt = testNow.Add(time.Second)
	s.Announce(u)
	assert.Zero(t, known.memberships[0].logSlowdown)
	assert.Zero(t, known.memberships[0].samples)
	assert.False(t, known.paused)
	assert.Empty(t, s.paused)
	assert.Equal(t, 8, known.limit.Limit())
}
