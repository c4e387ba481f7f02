package conductor

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"bronzedrift.example/bronzedrift/internal/forwarder"
)

// metrics are the counters of one VM; their labels are bounded by the code.
type metrics struct {
	registry  *prometheus.Registry
	decisions *prometheus.CounterVec
	answers   *prometheus.CounterVec
}

func newMetrics() metrics {
	m := metrics{
		registry: prometheus.NewRegistry(),
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bronzedrift_decisions_total", Help: "Decisions by event.",
		}, []string{"event"}),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bronzedrift_answers_total", Help: "Answers to callers by result.",
		}, []string{"result"}),
	}
	m.registry.MustRegister(m.decisions, m.answers)
	return m
}

func (m *metrics) decided(event string) { m.decisions.WithLabelValues(event).Inc() }

func (m *metrics) answered(r forwarder.Result) { m.answers.WithLabelValues(r.Name()).Inc() }

// MetricsHandler serves the metrics as text.
func (d *Conductor) MetricsHandler() http.Handler {
	return promhttp.HandlerFor(d.metrics.registry, promhttp.HandlerOpts{})
}
