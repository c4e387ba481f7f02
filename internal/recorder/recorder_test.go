package recorder

import (
	"os"
	"regexp"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var eventRow = regexp.MustCompile(`(?m)^\| (\d+) \| ([a-z-]+) \| (log)? ?\|`)

func TestCatalogueMatchesDocument(t *testing.T) {
	text, err := os.ReadFile("../../docs/EVENTS.md")
	require.NoError(t, err)
	documented := map[EventNumber]bool{}
	for _, m := range eventRow.FindAllStringSubmatch(string(text), -1) {
		n, err := strconv.Atoi(m[1])
		require.NoError(t, err)
		number := EventNumber(n)
		documented[number] = true
		assert.Equal(t, m[2], number.Name(), "name of event %d", n)
		assert.Equal(t, m[3] == "log", number.IsLogged(), "whether event %d is logged", n)
	}
	assert.Len(t, documented, len(Numbers()))
}

func TestClock(t *testing.T) {
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	t.Run("orders events at the same time", func(t *testing.T) {
		first := Clock{}.Next(at)
		second := first.Next(at)
		assert.True(t, first.Before(second))
	})
	t.Run("is ahead of a message from a faster clock", func(t *testing.T) {
		remote := Clock{Wall: at.Add(time.Second), Counter: 3}
		assert.True(t, remote.Before(Clock{}.Merge(at, remote)))
	})
}

func TestRingKeepsTheNewest(t *testing.T) {
	r := New("vm", 2)
	for _, job := range []string{"a", "b", "c"} {
		r.Add(time.Unix(0, 0), Event{Job: job})
	}
	events, overrun := r.Events()
	require.Len(t, events, 2)
	assert.Equal(t, "b", events[0].Job)
	assert.Equal(t, "c", events[1].Job)
	assert.Equal(t, uint64(1), overrun)
}

// BenchmarkAdd measures the recording of one event.
func BenchmarkAdd(b *testing.B) {
	r := New("vm", 65_536)
	now := time.Now()
	e := Event{Number: TaskStarted, Job: "01a23ec6-32c9-797f-a9d8-3910a390c72e", Task: 3, Team: "team", Upstream: "worker"}
	b.ReportAllocs()
	for b.Loop() {
		r.Add(now, e)
	}
}
