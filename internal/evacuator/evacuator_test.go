package evacuator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"bronzedrift.example/bronzedrift/internal/configurer"
)

const deadline = 5 * time.Second

var start = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

func evacuation(revision uint64, dataCentre string, active bool, changedAt time.Time) configurer.EvacuationSet {
	return configurer.EvacuationSet{Revision: revision, Evacuations: []configurer.Evacuation{
		{DataCentre: dataCentre, Active: active, Revision: revision, ChangedAt: changedAt},
	}}
}

// running returns an Evacuator of a VM that started long before start.
func running() *Evacuator {
	e := New(Config{Deadline: deadline})
	e.Tick(start.Add(-time.Hour))
	return e
}

// tick calls Tick each 20 ms for a time, and each before it.
func tick(e *Evacuator, from time.Time, d time.Duration, each func(now time.Time)) time.Time {
	for now := from; ; now = now.Add(20 * time.Millisecond) {
		if each != nil {
			each(now)
		}
		e.Tick(now)
		if !now.Before(from.Add(d)) {
			return now
		}
	}
}

// count returns how many of 400 upstreams of a data centre have each kind of access.
func count(e *Evacuator, dataCentre string) map[Access]int {
	counts := map[Access]int{}
	for i := range 400 {
		counts[e.Access(dataCentre, fmt.Sprintf("u%d", i))]++
	}
	return counts
}

// TestEvacuationCloses guards against starts after the deadline, jobs that are cut short, and a
// data centre that is emptied at one stroke.
func TestEvacuationCloses(t *testing.T) {
	e := running()
	e.Update(start, evacuation(1, "a", true, start))
	assert.Equal(t, 400, count(e, "a")[Open], "closed at one stroke")
	now := tick(e, start, deadline/8, nil)
	assert.InDelta(t, 200, count(e, "a")[Open], 40, "half of the steps")
	assert.Zero(t, count(e, "a")[Closed], "jobs that have started were cut short")
	now = tick(e, now, deadline/8, nil)
	assert.Equal(t, 400, count(e, "a")[StartedJobs])
	tick(e, now, deadline/4, nil)
	assert.Equal(t, 400, count(e, "a")[Closed], "at half of the deadline")
	assert.Equal(t, 400, count(e, "b")[Open], "another data centre")
	assert.True(t, e.IsEvacuated("a"))
}

// TestPausedVMClosesAtOnce guards against starts of a VM whose ticks were late.
func TestPausedVMClosesAtOnce(t *testing.T) {
	e := running()
	e.Update(start, evacuation(1, "a", true, start))
	e.Tick(start.Add(deadline / 2))
	assert.Equal(t, 400, count(e, "a")[Closed])
}

// TestLateVMClosesByTheDeadline guards against starts after the deadline on a VM that was cut off
// or frozen when the order was given, or whose disk had an older set. Calls that are on their way
// have a tenth of the deadline to arrive.
func TestLateVMClosesByTheDeadline(t *testing.T) {
	const lastCall = deadline * 9 / 10
	for _, late := range []time.Duration{0, deadline * 4 / 10, deadline / 2, deadline * 8 / 10, lastCall, deadline, time.Hour} {
		t.Run(late.String(), func(t *testing.T) {
			e := running()
			learntAt := start.Add(late)
			e.Update(learntAt, evacuation(1, "a", true, start))
			if late <= deadline*4/10 {
				assert.Equal(t, 400, count(e, "a")[Open], "closed at one stroke though there is time")
			}
			if late >= lastCall {
				assert.Equal(t, 400, count(e, "a")[Closed], "as it learns of the order")
				return
			}
			tick(e, learntAt, lastCall-late, nil)
			assert.Equal(t, 400, count(e, "a")[Closed])
		})
	}
}

// TestReturn guards against work that returns to cold upstreams at one stroke, and against
// capacity that stays unused since runs are slow for another reason.
func TestReturn(t *testing.T) {
	evacuated := func() *Evacuator {
		e := running()
		e.Update(start, evacuation(1, "a", true, start))
		tick(e, start, deadline, nil)
		return e
	}
	cancelledAt := start.Add(time.Minute)
	for name, c := range map[string]struct {
		slowFor time.Duration
		runs    int
		opened  time.Duration
	}{
		"warm":                            {0, 10, 3 * 260 * time.Millisecond},
		"without load":                    {0, 0, 3 * 520 * time.Millisecond},
		"cold for a second":               {time.Second, 10, time.Second + 3*260*time.Millisecond},
		"slow for ever, for bounded time": {time.Hour, 10, 3 * 2080 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			e := evacuated()
			e.Update(cancelledAt, evacuation(2, "a", false, cancelledAt))
			assert.InDelta(t, 50, count(e, "a")[Open], 20, "the first step")
			assert.False(t, e.IsEvacuated("a"))
			openedAt := time.Time{}
			tick(e, cancelledAt, 20*time.Second, func(now time.Time) {
				if openedAt.IsZero() && e.OpenShare("a") == 1 {
					openedAt = now
				}
				took := 100 * time.Millisecond
				if now.Sub(cancelledAt) < c.slowFor {
					took = 300 * time.Millisecond
				}
				for range c.runs {
					e.ObserveRun("a", 100*time.Millisecond, took)
				}
			})
			assert.WithinDuration(t, cancelledAt.Add(c.opened), openedAt, 300*time.Millisecond)
			assert.Empty(t, e.Names(), "the data centre is remembered")
		})
	}
}

// TestShortageOpensAtOnce guards against jobs that are refused while capacity returns slowly.
func TestShortageOpensAtOnce(t *testing.T) {
	e := running()
	e.Update(start, evacuation(1, "a", true, start))
	now := tick(e, start, deadline, nil)
	e.Update(now, evacuation(2, "a", false, now))
	tick(e, now, 100*time.Millisecond, func(time.Time) { e.NoteShortage() })
	assert.Equal(t, 400, count(e, "a")[Open])
}

// TestFirstSetOfStartedVM guards against a restarted VM that goes through the steps of an old
// evacuation again, and against a new holder that sends all work to cold upstreams.
func TestFirstSetOfStartedVM(t *testing.T) {
	for name, c := range map[string]struct {
		active    bool
		changedAt time.Time
		open      int
	}{
		"evacuated long ago":             {true, start.Add(-time.Hour), 0},
		"evacuated just now":             {true, start, 0},
		"cancelled long ago":             {false, start.Add(-time.Hour), 400},
		"cancelled just now":             {false, start.Add(-time.Second), 50},
		"cancelled by a clock far ahead": {false, start.Add(3 * time.Second), 50},
	} {
		t.Run(name, func(t *testing.T) {
			e := New(Config{Deadline: deadline})
			e.Tick(start)
			e.Update(start.Add(100*time.Millisecond), evacuation(7, "a", c.active, c.changedAt))
			assert.InDelta(t, c.open, count(e, "a")[Open], 20)
			assert.Equal(t, 400-count(e, "a")[Open], count(e, "a")[Closed])
		})
	}
	t.Run("cancelled just now, after an older set from the disk", func(t *testing.T) {
		e := New(Config{Deadline: deadline})
		e.Tick(start)
		e.Update(start, evacuation(5, "a", false, start.Add(-time.Hour)))
		e.Update(start.Add(300*time.Millisecond), evacuation(7, "a", false, start.Add(-time.Second)))
		assert.InDelta(t, 50, count(e, "a")[Open], 20)
		now := tick(e, start.Add(300*time.Millisecond), 2*time.Second, nil)
		assert.Equal(t, 400, count(e, "a")[Open])
		set := evacuation(7, "a", false, start.Add(-time.Second))
		set.Revision = 8
		set.Evacuations = append(set.Evacuations, configurer.Evacuation{DataCentre: "b", Active: true, Revision: 8, ChangedAt: now})
		e.Update(now, set)
		assert.Equal(t, 400, count(e, "a")[Open], "the return of a data centre began again with the change of another one")
	})
	t.Run("first evacuation of a VM that has run for long", func(t *testing.T) {
		e := running()
		e.Update(start, evacuation(1, "a", true, start))
		assert.Equal(t, 400, count(e, "a")[Open])
	})
}

// TestChangesFollowEachOther guards against sets that come in another order, twice, or while
// the steps of the one before are being taken.
func TestChangesFollowEachOther(t *testing.T) {
	t.Run("an older set changes nothing", func(t *testing.T) {
		e := running()
		e.Update(start, evacuation(2, "a", true, start))
		e.Update(start, evacuation(1, "a", false, start))
		assert.True(t, e.IsEvacuated("a"))
	})
	t.Run("the same set again does not start over", func(t *testing.T) {
		e := running()
		e.Update(start, evacuation(1, "a", true, start))
		now := tick(e, start, deadline, nil)
		e.Update(now, evacuation(1, "a", true, start))
		assert.Equal(t, 400, count(e, "a")[Closed])
	})
	t.Run("cancelled while closing goes on from the open steps", func(t *testing.T) {
		e := running()
		e.Update(start, evacuation(1, "a", true, start))
		now := tick(e, start, deadline/8, nil)
		before := e.OpenShare("a")
		e.Update(now, evacuation(2, "a", false, now))
		assert.InDelta(t, before, e.OpenShare("a"), 1e-9)
		tick(e, now, 10*time.Second, nil)
		assert.InDelta(t, 1, e.OpenShare("a"), 1e-9)
	})
	t.Run("evacuated while returning closes in time", func(t *testing.T) {
		e := running()
		e.Update(start, evacuation(1, "a", true, start))
		now := tick(e, start, deadline, nil)
		e.Update(now, evacuation(2, "a", false, now))
		now = tick(e, now, time.Second, nil)
		e.Update(now, evacuation(3, "a", true, now))
		tick(e, now, deadline/2, nil)
		assert.Equal(t, 400, count(e, "a")[Closed])
	})
	t.Run("two data centres at a time", func(t *testing.T) {
		e := running()
		e.Update(start, evacuation(1, "a", true, start))
		now := start.Add(time.Second)
		e.Update(now, configurer.EvacuationSet{Revision: 2, Evacuations: []configurer.Evacuation{
			{DataCentre: "a", Active: true, Revision: 1, ChangedAt: start}, {DataCentre: "b", Active: true, Revision: 2, ChangedAt: now},
		}})
		tick(e, now, deadline/2, nil)
		assert.Equal(t, 400, count(e, "a")[Closed])
		assert.Equal(t, 400, count(e, "b")[Closed])
	})
}
