package sharer

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var start = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

const testSlack = 50 * time.Millisecond

// stream offers jobs of 1 core-second at a steady rate.
type stream struct {
	kind, origin string
	perSecond    float64
	value        float64
	repeat       bool
	// batch is the number of jobs that are offered at once, or 0 for one.
	batch int
}

func (s *stream) request() Request {
	return Request{Kind: s.kind, Origin: s.origin, Work: 1, Value: s.value, Slack: testSlack, Repeat: s.repeat}
}

// driver offers streams to a Sharer with a queue that is worked off at a fixed capacity.
type driver struct {
	sharer   *Sharer
	now      time.Time
	capacity float64
	// announced is given to the Sharer; zero announces nothing.
	announced float64
	queued    float64
	offered   map[string]float64
	admitted  map[string]float64
}

func newDriver(capacity float64) *driver {
	return &driver{sharer: New(Config{Random: func() float64 { return 0.5 }}), now: start, capacity: capacity, announced: capacity}
}

func (d *driver) wait() time.Duration {
	return time.Duration(d.queued / d.capacity * float64(time.Second))
}

// run offers the streams for a time and returns the admitted share of each kind and origin.
func (d *driver) run(duration time.Duration, streams ...stream) map[string]float64 {
	const step = time.Millisecond
	d.offered, d.admitted = map[string]float64{}, map[string]float64{}
	due := make([]float64, len(streams))
	for end := d.now.Add(duration); d.now.Before(end); d.now = d.now.Add(step) {
		if d.announced > 0 {
			d.sharer.SetCapacity(d.now, d.announced)
		}
		d.queued = max(0, d.queued-d.capacity*step.Seconds())
		for i := range streams {
			due[i] += streams[i].perSecond * step.Seconds()
			if due[i] < float64(streams[i].batch) {
				continue
			}
			for ; due[i] >= 1; due[i]-- {
				d.offer(&streams[i])
			}
		}
	}
	shares := map[string]float64{}
	for name, offered := range d.offered {
		shares[name] = d.admitted[name] / offered
	}
	return shares
}

func (d *driver) offer(s *stream) {
	name := s.kind + "/" + s.origin
	d.offered[name]++
	if d.sharer.Offer(d.now, s.request(), d.wait()).Admit {
		d.admitted[name]++
		d.queued++
	}
}

// overload drives a Sharer into overload by one kind that takes all of the capacity and has
// used up its credit.
func overload(t *testing.T) *driver {
	t.Helper()
	return overloadAt(t, 200)
}

func overloadAt(t *testing.T, capacity float64) *driver {
	t.Helper()
	d := newDriver(capacity)
	d.run(3*time.Second, stream{kind: "k", origin: "o", perSecond: 2 * capacity})
	for i := 0; i < 1000 && d.credit() > -2; i++ {
		d.sharer.Offer(d.now, Request{Kind: "k", Origin: "o", Work: 1, Slack: testSlack, Force: true, Repeat: true}, testSlack)
	}
	assert.True(t, d.sharer.Overloaded(d.now), "overloaded")
	return d
}

// verdict offers one more job of the kind that drives an overload.
func (d *driver) verdict(wait time.Duration) Verdict {
	return d.sharer.Offer(d.now, Request{Kind: "k", Origin: "o", Work: 1, Slack: testSlack}, wait)
}

func assertAdmitted(t *testing.T, shares map[string]float64, name string, expected float64) {
	t.Helper()
	assert.InDelta(t, expected, shares[name], 0.05, "admitted of %s", name)
}

// TestBegin guards against refusals while demand can be met, and against overload that is not
// recognised.
func TestBegin(t *testing.T) {
	for name, c := range map[string]struct {
		perSecond    float64
		wait         time.Duration
		isRepeat     bool
		isOverloaded bool
	}{
		"demand below capacity, short wait":  {180, testSlack, false, false},
		"demand below capacity, long wait":   {180, time.Second, false, false},
		"demand above capacity, short wait":  {300, testSlack, false, false},
		"demand above capacity, long wait":   {300, testSlack + 1, false, true},
		"repeated offers above the capacity": {300, time.Second, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := New(Config{})
			refused := 0
			for i := range 600 {
				now := start.Add(time.Duration(float64(i) / c.perSecond * float64(time.Second)))
				s.SetCapacity(now, 200)
				r := Request{Kind: "k", Origin: "o", Work: 1, Slack: testSlack, Repeat: c.isRepeat && i%2 == 1}
				if !s.Offer(now, r, c.wait).Admit {
					refused++
				}
			}
			assert.Equal(t, c.isOverloaded, s.overloaded)
			assert.Equal(t, c.isOverloaded, refused > 0, "%d refused", refused)
		})
	}
}

// TestEnd guards against an overload that ends and begins again many times a second, and
// against one that doesn't end.
func TestEnd(t *testing.T) {
	for name, c := range map[string]struct {
		perSecond    float64
		duration     time.Duration
		isOverloaded bool
	}{
		"demand just below capacity":       {194, 3 * time.Second, true},
		"low demand for a short time":      {180, 600 * time.Millisecond, true},
		"low demand for long enough":       {180, 900 * time.Millisecond, false},
		"no demand for a short time":       {0, 500 * time.Millisecond, true},
		"no demand for long enough":        {0, 900 * time.Millisecond, false},
		"no demand for more than a window": {0, 5 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := overloadAt(t, 2000)
			d.run(c.duration, stream{kind: "k", origin: "o", perSecond: 10 * c.perSecond})
			assert.Equal(t, c.isOverloaded, d.sharer.Overloaded(d.now))
		})
	}
	t.Run("two short times of low demand don't end it", func(t *testing.T) {
		d := overloadAt(t, 2000)
		d.run(400*time.Millisecond, stream{kind: "k", origin: "o", perSecond: 1000})
		d.run(300*time.Millisecond, stream{kind: "k", origin: "o", perSecond: 1960})
		d.run(300*time.Millisecond, stream{kind: "k", origin: "o", perSecond: 1000})
		assert.True(t, d.sharer.Overloaded(d.now))
	})
	t.Run("the end of an idle time counts before an offer", func(t *testing.T) {
		d := overload(t)
		d.now = d.now.Add(900 * time.Millisecond)
		d.sharer.SetCapacity(d.now, 200)
		assert.True(t, d.verdict(time.Second).Admit)
	})
}

// TestCapacity guards against refusals that rest on a capacity that is unknown or outdated.
func TestCapacity(t *testing.T) {
	t.Run("admits everything before it is known", func(t *testing.T) {
		d := newDriver(200)
		d.announced = 0
		assertAdmitted(t, d.run(time.Second, stream{kind: "k", origin: "o", perSecond: 1000}), "k/o", 1)
	})
	t.Run("admits everything when it is outdated", func(t *testing.T) {
		d := overload(t)
		assert.False(t, d.verdict(time.Second).Admit)
		d.now = d.now.Add(capacityTTL - 20*time.Millisecond)
		for range 250 {
			d.sharer.Offer(d.now, Request{Kind: "k", Origin: "o", Work: 1}, time.Second)
		}
		assert.True(t, d.sharer.Overloaded(d.now), "not yet outdated")
		d.now = d.now.Add(20 * time.Millisecond)
		assert.True(t, d.verdict(time.Second).Admit)
		assert.False(t, d.sharer.Overloaded(d.now))
	})
	t.Run("what was admitted without it is not held against anybody", func(t *testing.T) {
		d := overload(t)
		d.announced = 0
		d.run(3*time.Second, stream{kind: "k", origin: "o", perSecond: 1000})
		d.sharer.SetCapacity(d.now, 200)
		d.verdict(0)
		assert.Positive(t, d.sharer.buckets[bucketKey{"k", "o"}].credit)
	})
	t.Run("refuses what has to wait when nothing is left of it", func(t *testing.T) {
		d := overload(t)
		d.announced, d.capacity = 0, 1
		d.sharer.SetCapacity(d.now, 0)
		d.run(500*time.Millisecond, stream{kind: "k", origin: "o", perSecond: 400})
		v := d.verdict(time.Second)
		assert.False(t, v.Admit)
		assert.Equal(t, maxRetryAfter*3/4, v.RetryAfter)
	})
	for name, capacity := range map[string]float64{"not a number": math.NaN(), "infinite": math.Inf(1)} {
		t.Run("ignores one that is "+name, func(t *testing.T) {
			s := New(Config{})
			s.SetCapacity(start, 200)
			s.SetCapacity(start.Add(time.Millisecond), capacity)
			assert.InDelta(t, 200, s.capacity, 0)
			assert.Equal(t, start, s.capacityAt)
		})
	}
}

// TestFairLevel guards against errors of the division: capacity that is handed out twice, or
// left over while a demand is unmet.
func TestFairLevel(t *testing.T) {
	for name, c := range map[string]struct {
		capacity float64
		claims   []claim
		level    float64
	}{
		"equal demands":                {90, []claim{{demand: 100, weight: 1}, {demand: 100, weight: 1}, {demand: 100, weight: 1}}, 30},
		"one below its share":          {90, []claim{{demand: 10, weight: 1}, {demand: 100, weight: 1}, {demand: 100, weight: 1}}, 40},
		"met one after the other":      {90, []claim{{demand: 35, weight: 1}, {demand: 10, weight: 1}, {demand: 100, weight: 1}}, 45},
		"by weight":                    {90, []claim{{demand: 100, weight: 2}, {demand: 100, weight: 1}}, 30},
		"a heavy one below its share":  {90, []claim{{demand: 30, weight: 8}, {demand: 100, weight: 1}}, 60},
		"all met":                      {90, []claim{{demand: 30, weight: 1}, {demand: 20, weight: 1}}, 50},
		"nothing demanded":             {90, []claim{{demand: 0, weight: 1}, {demand: 0, weight: 2}}, 30},
		"no capacity":                  {0, []claim{{demand: 30, weight: 1}, {demand: 20, weight: 1}}, 0},
		"one, with the whole capacity": {90, []claim{{demand: 100, weight: 5}}, 18},
	} {
		t.Run(name, func(t *testing.T) {
			level := fairLevel(c.claims, c.capacity)
			assert.InDelta(t, c.level, level, 1e-9)
			assertDivided(t, c.claims, c.capacity, level)
		})
	}
}

// assertDivided checks that all of the capacity, or all that is demanded, is handed out.
func assertDivided(t *testing.T, claims []claim, capacity, level float64) {
	t.Helper()
	demand, divided := 0.0, 0.0
	for _, c := range claims {
		demand += c.demand
		divided += min(c.demand, level*c.weight)
	}
	assert.InDelta(t, min(demand, capacity), divided, 1e-9, "divided")
}

// TestShares guards against refusals within the share, and against shares that nobody uses.
func TestShares(t *testing.T) {
	for name, c := range map[string]struct {
		streams  []stream
		admitted map[string]float64
	}{
		"a kind within its share is not refused": {
			[]stream{{kind: "low", perSecond: 60}, {kind: "high", perSecond: 280}},
			map[string]float64{"low/": 1, "high/": 140.0 / 280},
		},
		"a kind within its share that sends batches is not refused": {
			[]stream{{kind: "low", perSecond: 25, batch: 75}, {kind: "high", perSecond: 280}},
			map[string]float64{"low/": 1},
		},
		"unused shares are lent": {
			[]stream{{kind: "low", perSecond: 20}, {kind: "lower", perSecond: 10}, {kind: "high", perSecond: 340}},
			map[string]float64{"low/": 1, "lower/": 1, "high/": 170.0 / 340},
		},
		"kinds above their share get equal work": {
			[]stream{{kind: "a", perSecond: 200}, {kind: "b", perSecond: 400}},
			map[string]float64{"a/": 0.5, "b/": 0.25},
		},
		"kinds get work by value": {
			[]stream{{kind: "a", perSecond: 200, value: 3}, {kind: "b", perSecond: 200, value: 1}},
			map[string]float64{"a/": 0.75, "b/": 0.25},
		},
		"the origin of a burst is refused, others of its kind are not": {
			[]stream{{kind: "k", origin: "burst", perSecond: 300}, {kind: "k", origin: "a", perSecond: 40}, {kind: "k", origin: "b", perSecond: 40}},
			map[string]float64{"k/burst": 120.0 / 300, "k/a": 1, "k/b": 1},
		},
		"the number of origins doesn't change the share of a kind": {
			[]stream{{kind: "k", origin: "a", perSecond: 100}, {kind: "k", origin: "b", perSecond: 100}, {kind: "k", origin: "c", perSecond: 100}, {kind: "one", perSecond: 200}},
			map[string]float64{"k/a": 1.0 / 3, "k/b": 1.0 / 3, "k/c": 1.0 / 3, "one/": 0.5},
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(200)
			d.run(5*time.Second, c.streams...)
			shares := d.run(5*time.Second, c.streams...)
			for name, expected := range c.admitted {
				assertAdmitted(t, shares, name, expected)
			}
		})
	}
	t.Run("lent capacity is returned to a kind that wants its share", func(t *testing.T) {
		d := newDriver(200)
		high := stream{kind: "high", perSecond: 300}
		d.run(10*time.Second, high)
		assertAdmitted(t, d.run(10*time.Second, high, stream{kind: "late", perSecond: 90}), "late/", 1)
	})
	for _, factor := range []float64{0.7, 1.4} {
		t.Run(fmt.Sprintf("a capacity announced as %v of the true one is corrected", factor), func(t *testing.T) {
			d := newDriver(200)
			d.announced = factor * d.capacity
			streams := []stream{{kind: "low", perSecond: 50}, {kind: "high", perSecond: 350}}
			d.run(20*time.Second, streams...)
			shares := d.run(10*time.Second, streams...)
			assertAdmitted(t, shares, "low/", 1)
			assertAdmitted(t, shares, "high/", 150.0/350)
			assert.Less(t, d.wait(), 4*testSlack)
		})
	}
	t.Run("a short queue while little is offered doesn't raise the capacity", func(t *testing.T) {
		d := overloadAt(t, 2000)
		d.run(20*time.Second, stream{kind: "k", origin: "o", perSecond: 1940})
		assert.True(t, d.sharer.Overloaded(d.now))
		assert.InDelta(t, 1, d.sharer.scale, 0.1)
	})
	t.Run("the queue stays short though all kinds are within shares that are too large", func(t *testing.T) {
		d := newDriver(200)
		d.announced = 1.3 * d.capacity
		streams := []stream{{kind: "a", perSecond: 129}, {kind: "b", perSecond: 129}}
		d.sharer.overloaded = true
		d.run(30*time.Second, append(streams, stream{kind: "c", perSecond: 10})...)
		assert.Less(t, d.wait(), 10*testSlack)
	})
}

// TestTargetWait guards against a queue that is too long for the kinds that wait in it.
func TestTargetWait(t *testing.T) {
	offer := func(s *Sharer, kind string, slack time.Duration, work float64) {
		s.Offer(start, Request{Kind: kind, Work: work, Slack: slack}, 0)
	}
	for name, c := range map[string]struct {
		byArrival     bool
		short, target time.Duration
		shortWork     float64
	}{
		"the mean slack by work":                                {false, 100 * time.Millisecond, 200 * time.Millisecond, 50},
		"the shortest slack, in order of arrival":               {true, 100 * time.Millisecond, 100 * time.Millisecond, 50},
		"not the slack of a rare kind, in order of arrival":     {true, 100 * time.Millisecond, 300 * time.Millisecond, 0.1},
		"at least minTargetWait":                                {true, time.Millisecond, minTargetWait, 50},
		"at most maxTargetWait":                                 {false, time.Hour, maxTargetWait, 50},
		"not the slack of a kind without one, by arrival order": {true, 0, 300 * time.Millisecond, 50},
	} {
		t.Run(name, func(t *testing.T) {
			s := New(Config{ByArrival: c.byArrival})
			offer(s, "short", c.short, c.shortWork)
			offer(s, "long", 300*time.Millisecond, 50)
			s.SetCapacity(start, 200)
			s.updateShares(start)
			assert.InDelta(t, c.target, s.targetWait(), float64(time.Millisecond))
		})
	}
}

// TestCredit guards against capacity that stands idle, against work that must run but isn't
// charged, and against origins that save up credit or debt without limit.
func TestCredit(t *testing.T) {
	t.Run("a job without a wait", func(t *testing.T) {
		d := overload(t)
		assert.False(t, d.verdict(time.Second).Admit)
		assert.True(t, d.verdict(0).Admit)
	})
	t.Run("a job that is forced", func(t *testing.T) {
		d := overload(t)
		credit := d.credit()
		r := Request{Kind: "k", Origin: "o", Work: 1, Slack: testSlack, Force: true}
		assert.True(t, d.sharer.Offer(d.now, r, time.Second).Admit)
		assert.Less(t, d.credit(), credit+0.5)
	})
	t.Run("credit is bounded", func(t *testing.T) {
		d := overload(t)
		d.run(8*time.Second, stream{kind: "k", origin: "o", perSecond: 10}, stream{kind: "other", perSecond: 190})
		b := d.sharer.buckets[bucketKey{"k", "o"}]
		assert.LessOrEqual(t, b.credit, b.maxCredit()+1)
	})
	t.Run("debt is bounded", func(t *testing.T) {
		d := overload(t)
		for range 10_000 {
			d.verdict(0)
		}
		b := d.sharer.buckets[bucketKey{"k", "o"}]
		assert.GreaterOrEqual(t, b.credit, -b.maxCredit())
	})
}

func (d *driver) credit() float64 { return d.sharer.buckets[bucketKey{"k", "o"}].credit }

// TestRepeat guards against demand that grows because refused jobs are offered again.
func TestRepeat(t *testing.T) {
	once, again := stream{kind: "k", origin: "o", perSecond: 300}, stream{kind: "k", origin: "o", perSecond: 300, repeat: true}
	t.Run("is no demand", func(t *testing.T) {
		d := newDriver(200)
		d.run(5*time.Second, once, again)
		assert.InDelta(t, 300, d.share(t).Demand, 15)
	})
	t.Run("is charged when it is admitted", func(t *testing.T) {
		d := newDriver(200)
		d.run(5*time.Second, once, again)
		assert.InDelta(t, 200, d.share(t).Admitted, 20)
		assert.Less(t, d.wait(), 4*testSlack)
	})
}

func (d *driver) share(t *testing.T) Share {
	t.Helper()
	shares := d.sharer.Snapshot(d.now)
	assert.Len(t, shares, 1)
	return shares[0]
}

// TestReturn guards against an origin that pays for work that did not run.
func TestReturn(t *testing.T) {
	r := Request{Kind: "k", Origin: "o", Work: 1, Slack: testSlack}
	t.Run("gives credit back", func(t *testing.T) {
		d := overload(t)
		credit := d.credit()
		r := r
		r.Force = true
		d.sharer.Offer(d.now, r, time.Second)
		d.sharer.Return(d.now, r)
		assert.InDelta(t, credit, d.credit(), 0.5)
	})
	t.Run("gives no more than the credit that a bucket holds", func(t *testing.T) {
		d := overload(t)
		for range 10_000 {
			d.sharer.Return(d.now, r)
		}
		b := d.sharer.buckets[bucketKey{"k", "o"}]
		assert.LessOrEqual(t, b.credit, b.maxCredit())
		assert.GreaterOrEqual(t, d.share(t).Admitted, 0.0)
	})
	t.Run("of a forgotten origin changes nothing", func(t *testing.T) {
		s := New(Config{})
		s.SetCapacity(start, 200)
		s.Return(start, r)
		assert.Empty(t, s.Snapshot(start))
	})
}

// TestRetryAfter guards against refused callers that come back together, and against times
// that are useless.
func TestRetryAfter(t *testing.T) {
	retryAfter := func(d *driver, random float64) time.Duration {
		d.sharer.config.Random = func() float64 { return random }
		v := d.verdict(time.Second)
		assert.False(t, v.Admit)
		assert.Equal(t, overShareReason, v.Reason)
		return v.RetryAfter
	}
	t.Run("is spread over the time that the refused work takes", func(t *testing.T) {
		d := overload(t)
		first, last := retryAfter(d, 0), retryAfter(d, 0.999)
		// 400 of 600 core-seconds are refused in a second at a capacity of 200 per second.
		assert.InDelta(t, time.Second, last-first, float64(300*time.Millisecond))
	})
	t.Run("is within its bounds", func(t *testing.T) {
		d := overload(t)
		d.run(3*time.Second, stream{kind: "k", origin: "o", perSecond: 5000})
		for i := range 100 {
			after := retryAfter(d, float64(i)/100)
			assert.GreaterOrEqual(t, after, minRetryAfter)
			assert.LessOrEqual(t, after, maxRetryAfter)
		}
	})
	t.Run("is spread at its upper bound", func(t *testing.T) {
		d := overload(t)
		d.run(3*time.Second, stream{kind: "k", origin: "o", perSecond: 20_000})
		seen := map[time.Duration]bool{}
		for i := range 100 {
			seen[retryAfter(d, 0.5+float64(i)/200)] = true
		}
		assert.Len(t, seen, 100)
	})
	t.Run("is random unless told otherwise", func(t *testing.T) {
		assert.NotNil(t, New(Config{}).config.Random)
	})
}

// TestBound guards against state that grows with the number of kinds and origins.
func TestBound(t *testing.T) {
	flood := func(s *Sharer, from, count int, now time.Time) {
		for i := range count {
			name := fmt.Sprint(from + i)
			s.Offer(now, Request{Kind: "k" + name, Origin: "o", Work: 1, Slack: testSlack}, 0)
		}
	}
	t.Run("the rest share one bucket", func(t *testing.T) {
		s := New(Config{})
		s.SetCapacity(start, 200)
		flood(s, 0, 5000, start)
		assert.Len(t, s.buckets, maxBuckets)
		assert.Len(t, s.kinds, maxBuckets+1)
		shares := s.Snapshot(start)
		assert.Len(t, shares, maxBuckets+1)
		assert.Equal(t, overflowName, shares[0].Kind)
		assert.InDelta(t, 5000-maxBuckets, shares[0].Demand, 1)
	})
	t.Run("kinds and origins that make no offers are forgotten", func(t *testing.T) {
		s := New(Config{})
		flood(s, 0, maxBuckets, start)
		later := start.Add(bucketTTL + time.Millisecond)
		flood(s, maxBuckets, 1, later)
		assert.Len(t, s.buckets, 1)
		assert.Len(t, s.kinds, 2)
		assert.Len(t, s.Snapshot(later), 1)
	})
	t.Run("a kind with the name of the shared bucket has its own", func(t *testing.T) {
		s := New(Config{})
		s.Offer(start, Request{Kind: overflowName, Origin: overflowName, Work: 1}, 0)
		assert.Len(t, s.kinds, 2)
		assert.False(t, s.overflow.isSeen(start))
	})
}

// TestMalformed guards against figures that make sums infinite or undefined, and against a
// clock that goes back.
func TestMalformed(t *testing.T) {
	for name, r := range map[string]Request{
		"work that is not a number":  {Work: math.NaN()},
		"infinite work":              {Work: math.Inf(1)},
		"negative work":              {Work: -1},
		"the largest work":           {Work: math.MaxFloat64},
		"value that is not a number": {Work: 1, Value: math.NaN()},
		"infinite value":             {Work: 1, Value: math.Inf(1)},
		"negative value":             {Work: 1, Value: -1},
		"the smallest value":         {Work: 1, Value: math.SmallestNonzeroFloat64},
		"negative slack":             {Work: 1, Slack: math.MinInt64},
		"the largest slack":          {Work: 1, Slack: math.MaxInt64},
	} {
		t.Run(name, func(t *testing.T) {
			d := overload(t)
			for i := range 100 {
				now := d.now.Add(time.Duration(i) * 10 * time.Millisecond)
				d.sharer.SetCapacity(now, 200)
				d.sharer.Offer(now, r, []time.Duration{math.MinInt64, math.MaxInt64}[i%2])
				d.sharer.Return(now, r)
			}
			for _, k := range d.sharer.kinds {
				assert.GreaterOrEqual(t, k.slack, 0.0)
			}
			assertFinite(t, d.sharer.Snapshot(d.now.Add(time.Second)))
		})
	}
	t.Run("a negative wait", func(t *testing.T) {
		d := overload(t)
		d.now = d.now.Add(500 * time.Millisecond)
		d.verdict(-time.Second)
		assert.GreaterOrEqual(t, d.sharer.wait, time.Duration(0))
	})
	t.Run("a clock that goes back", func(t *testing.T) {
		d := overload(t)
		now := d.now
		d.now = start
		d.run(time.Second, stream{kind: "k", origin: "o", perSecond: 400})
		assertFinite(t, d.sharer.Snapshot(now))
		assert.InDelta(t, 200, d.sharer.capacity, 0)
	})
}

func assertFinite(t *testing.T, shares []Share) {
	t.Helper()
	assert.NotEmpty(t, shares)
	for _, s := range shares {
		for _, figure := range []float64{s.Demand, s.Share, s.Limit, s.Admitted, s.Refused} {
			assert.False(t, math.IsNaN(figure) || math.IsInf(figure, 0) || figure < 0, "%+v", s)
		}
	}
}

// TestSnapshot guards against figures that operators can't compare: unsorted, or of origins
// that are gone.
func TestSnapshot(t *testing.T) {
	d := newDriver(200)
	d.run(5*time.Second, stream{kind: "b", origin: "y", perSecond: 300}, stream{kind: "a", origin: "z", perSecond: 50}, stream{kind: "b", origin: "x", perSecond: 20})
	t.Run("is sorted and has the rates of work", func(t *testing.T) {
		shares := d.sharer.Snapshot(d.now)
		assert.Len(t, shares, 3)
		for i, c := range []struct {
			kind, origin              string
			demand, admitted, refused float64
		}{{"a", "z", 50, 50, 0}, {"b", "x", 20, 20, 0}, {"b", "y", 300, 130, 170}} {
			assert.Equal(t, c.kind, shares[i].Kind)
			assert.Equal(t, c.origin, shares[i].Origin)
			assert.InDelta(t, c.demand, shares[i].Demand, 0.1*c.demand, c.kind)
			assert.InDelta(t, c.admitted, shares[i].Admitted, 0.15*c.admitted, c.kind)
			assert.InDelta(t, c.refused, shares[i].Refused, 0.15*c.refused, c.kind)
		}
	})
	t.Run("leaves out origins that have made no offers lately", func(t *testing.T) {
		assert.Empty(t, d.sharer.Snapshot(d.now.Add(bucketTTL+time.Second)))
	})
}

// TestAllocations guards against garbage on the path of each order.
func TestAllocations(t *testing.T) {
	d := overload(t)
	r := Request{Kind: "k", Origin: "o", Work: 1, Slack: testSlack}
	for name, wait := range map[string]time.Duration{"admitted": 0, "refused": time.Second} {
		t.Run(name, func(t *testing.T) {
			assert.Zero(t, testing.AllocsPerRun(100, func() {
				d.now = d.now.Add(shareInterval)
				d.sharer.SetCapacity(d.now, 200)
				for range 8 {
					d.sharer.Offer(d.now, r, wait)
				}
			}))
			assert.True(t, d.sharer.Overloaded(d.now))
		})
	}
}

// BenchmarkOffer measures an offer to a holder that sees 1,000 of them per second, in
// overload.
func BenchmarkOffer(b *testing.B) {
	for _, origins := range []int{3, 340} {
		b.Run(fmt.Sprintf("%d buckets", 3*origins), func(b *testing.B) {
			s := New(Config{})
			var requests []Request
			for i := range 3 * origins {
				requests = append(requests, Request{Kind: fmt.Sprint("kind-", i%3), Origin: fmt.Sprint("origin-", i/3), Work: 1, Slack: testSlack})
			}
			now := start
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				if i%100 == 0 {
					s.SetCapacity(now, 500)
				}
				s.Offer(now, requests[i%len(requests)], 100*time.Millisecond)
			}
			assert.True(b, s.overloaded)
		})
	}
}
