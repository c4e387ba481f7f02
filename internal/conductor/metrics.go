package conductor

import (
	"net/http"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"bronzedrift.example/bronzedrift/internal/holder"
)

// metrics are the counters and histograms of one VM. Label values are constants in the code, or
// data centres, so that the number of time series is limited.
type metrics struct {
	registry  *prometheus.Registry
	decisions *prometheus.CounterVec
	answers   *prometheus.HistogramVec
	starts    prometheus.Histogram
	// evacuated and evacuationRuns have a series for each data centre that was ever evacuated.
	evacuated      *prometheus.GaugeVec
	evacuationRuns *prometheus.GaugeVec
}

// latencyBuckets are in seconds and double from 5 ms to 10 s; job objectives are 0.1 to 2 s.
var latencyBuckets = prometheus.ExponentialBuckets(0.005, 2, 12)

const answeredPrefix = "answered-"

func newMetrics() metrics {
	m := metrics{
		registry: prometheus.NewRegistry(),
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bronzedrift_decisions_total", Help: "Decisions by event.",
		}, []string{"event"}),
		answers: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "bronzedrift_answer_seconds", Help: "Time to the answer of a job by result.", Buckets: latencyBuckets,
		}, []string{"result"}),
		starts: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "bronzedrift_start_seconds", Help: "Time from a job's arrival at its holder to a start.", Buckets: latencyBuckets,
		}),
		evacuated: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "bronzedrift_data_centre_evacuated", Help: "1 while a data centre is evacuated, 0 once that is cancelled.",
		}, []string{"data_centre"}),
		evacuationRuns: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "bronzedrift_evacuation_runs", Help: "Runs on the upstreams of this VM in a data centre that is or was evacuated.",
		}, []string{"data_centre"}),
	}
	m.registry.MustRegister(m.decisions, m.answers, m.starts, m.evacuated, m.evacuationRuns)
	return m
}

func (m *metrics) recordDecision(d *holder.Decision) {
	m.decisions.WithLabelValues(d.Event).Inc()
	if result, ok := strings.CutPrefix(d.Event, answeredPrefix); ok {
		m.answers.WithLabelValues(result).Observe(d.Wait.Seconds())
	}
	if d.Event == "task-started" {
		m.starts.Observe(d.Wait.Seconds())
	}
}

// MetricsHandler serves the metrics in the Prometheus text format.
func (d *Conductor) MetricsHandler() http.Handler {
	return promhttp.HandlerFor(d.metrics.registry, promhttp.HandlerOpts{})
}
