package conductor

import (
	"fmt"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bronzedrift.example/bronzedrift/internal/holder"
)

// inputKind says where an input of runDecisions comes from.
type inputKind string

const (
	messageInput inputKind = "message"
	resultInput  inputKind = "result"
	requestInput inputKind = "request"
	tickInput    inputKind = "tick"
)

// input is one unit of work of runDecisions.
type input struct {
	kind     inputKind
	queuedAt time.Time
	run      func(now time.Time)
}

// lateThreshold is the wait of an input above which the VM logs that it is late: the shortest
// timeout of a call that a late VM may miss is 20 ms.
const lateThreshold = 20 * time.Millisecond

// latenessMeter measures how far runDecisions is behind its inputs, and what takes its time.
type latenessMeter struct {
	waits prometheus.Histogram
	busy  map[inputKind]prometheus.Counter
	// The following are sums since the last report.
	startedAt time.Time
	inputs    int
	maxWait   time.Duration
	busyTime  time.Duration
}

func newLatenessMeter(registry *prometheus.Registry, now time.Time) latenessMeter {
	m := latenessMeter{
		waits: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "bronzedrift_input_wait_seconds", Help: "Time that an input waited for the decisions.", Buckets: waitBuckets,
		}),
		busy: map[inputKind]prometheus.Counter{}, startedAt: now,
	}
	busy := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "bronzedrift_input_busy_seconds_total", Help: "Time that the decisions took, by kind of input.",
	}, []string{"kind"})
	for _, k := range []inputKind{messageInput, resultInput, requestInput, tickInput} {
		m.busy[k] = busy.WithLabelValues(string(k))
	}
	registry.MustRegister(m.waits, busy)
	return m
}

// waitBuckets are in seconds and double from 1 ms to 2 s.
var waitBuckets = prometheus.ExponentialBuckets(0.001, 2, 12)

// observe records an input that was handled from startedAt to endedAt.
func (m *latenessMeter) observe(in *input, startedAt, endedAt time.Time) {
	wait, busy := max(0, startedAt.Sub(in.queuedAt)), max(0, endedAt.Sub(startedAt))
	m.waits.Observe(wait.Seconds())
	m.busy[in.kind].Add(busy.Seconds())
	m.inputs++
	m.maxWait = max(m.maxWait, wait)
	m.busyTime += busy
}

// report returns a decision for the log if an input has waited for long since the last report.
func (m *latenessMeter) report(now time.Time) (holder.Decision, bool) {
	period := now.Sub(m.startedAt)
	d := holder.Decision{
		Event: "vm-late", Wait: m.maxWait, IsFault: true,
		Reason: fmt.Sprintf("%d inputs, decisions busy for %s of %s", m.inputs, m.busyTime.Round(time.Millisecond), period.Round(time.Millisecond)),
	}
	isLate := m.maxWait > lateThreshold
	m.startedAt, m.inputs, m.maxWait, m.busyTime = now, 0, 0, 0
	return d, isLate
}

// callCounter counts the calls to upstreams.
type callCounter struct {
	calls       *prometheus.CounterVec
	connections prometheus.Counter
}

func newCallCounter(registry *prometheus.Registry) callCounter {
	c := callCounter{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bronzedrift_upstream_calls_total", Help: "Calls to upstreams by kind and outcome.",
		}, []string{"kind", "outcome"}),
		connections: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bronzedrift_upstream_connections_total", Help: "Connections opened by calls to upstreams.",
		}),
	}
	registry.MustRegister(c.calls, c.connections)
	return c
}

func (c *callCounter) observe(r *holder.CallResult) {
	outcome := "answered"
	switch r.Status {
	case holder.CallUnanswered:
		outcome = "unanswered"
	case holder.CallNotSent:
		outcome = "not-sent"
	}
	c.calls.WithLabelValues(r.Call.Kind.String(), outcome).Inc()
	if r.HasDialled {
		c.connections.Inc()
	}
}
