package measurer

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bronzedrift.example/bronzedrift/internal/assembler"
)

func TestTraceIsDeterministic(t *testing.T) {
	upstreams := NewUpstreams(UpstreamsConfig{Seed: 1, Count: 10, Slots: 4, DataCentres: 2})
	c := TraceConfig{Seed: 1, Duration: time.Minute, Load: 0.5}
	first := NewTrace(c, upstreams)
	assert.Equal(t, first, NewTrace(c, upstreams))
	c.Seed = 2
	assert.NotEqual(t, first, NewTrace(c, upstreams))
	var work float64
	for _, j := range first {
		for _, task := range j.Tasks {
			work += task.RunTime.Seconds()
		}
	}
	assert.InDelta(t, 0.5, work/time.Minute.Seconds()/capacity(upstreams), 0.2, "the trace has the configured load")
}

func TestIdeal(t *testing.T) {
	upstreams := []assembler.UpstreamConfig{{Slots: 1, Slowdown: 1}, {Slots: 1, Slowdown: 4}, {Slots: 9, Slowdown: 0.1, FailsAll: true}}
	second := Task{RunTime: time.Second}
	responses := Ideal([]Job{{Tasks: []Task{second}}, {Tasks: []Task{second, second}}}, upstreams)
	assert.Equal(t, []time.Duration{time.Second, 3 * time.Second}, responses, "both tasks of the second job queue for the fast slot")
}

func TestFigures(t *testing.T) {
	f := summarize("x", []outcome{
		{response: 2 * time.Second, answered: true, complete: true},
		{response: time.Second, answered: true},
		{},
	}, []time.Duration{time.Second, time.Second, time.Second})
	assert.Equal(t, [3]int{1, 1, 1}, [3]int{f.Complete, f.Failed, f.Unanswered})
	assert.InDelta(t, 2, f.OverIdeal.Mean, 0.01)
	f.Messages = Messages{Submissions: 50, Starts: 50, RefusedStarts: 1, Probes: 1}
	f.Messages.computeRatios()
	assert.InDelta(t, 2.0/101, f.Messages.WastedShare, 1e-9)
	var table bytes.Buffer
	require.NoError(t, WriteReports(&table, []Report{{Load: 0.5, Figures: []Figures{f}}}))
	assert.Contains(t, table.String(), "look-ups")
}

func TestSlopeFit(t *testing.T) {
	s := newSlope("x", "B", []int{1, 2, 3}, func(n int) float64 { return float64(10 + 5*n) })
	assert.InDelta(t, 5, s.Gradient, 1e-9)
	assert.InDelta(t, 10, s.Intercept, 1e-9)
}
