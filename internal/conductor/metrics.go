package conductor

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"bronzedrift.example/bronzedrift/internal/holder"
	"bronzedrift.example/bronzedrift/internal/messenger"
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
	// reserved, idle and late have a series for each size class of tasks, shares one for each
	// kind of job and origin. They stay empty while the policy is off.
	reserved, idle, late *prometheus.GaugeVec
	shares               *prometheus.GaugeVec
	// replica has the figures of the replicated log on a state VM, by name.
	replica *prometheus.GaugeVec
	// looks counts the upstreams that decisions have looked at.
	looks prometheus.Counter
	// shed is the share of the offered work that is refused for want of processor time.
	shed prometheus.Gauge
	// unanswered counts reads and changes of the configuration without an answer in time.
	unanswered *prometheus.CounterVec
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
		reserved: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "bronzedrift_reserved_core_seconds", Help: "Capacity reserved for waiting tasks since the start, by size class.",
		}, []string{"millicores_up_to"}),
		idle: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "bronzedrift_reserved_idle_core_seconds", Help: "The part of it that was free, by size class.",
		}, []string{"millicores_up_to"}),
		late: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "bronzedrift_late_reservations", Help: "Reservations whose time had passed when the next round began, by size class.",
		}, []string{"millicores_up_to"}),
		replica: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "bronzedrift_replica", Help: "Figures of the replicated log on this state VM.",
		}, []string{"figure"}),
		unanswered: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bronzedrift_configuration_unanswered_total", Help: "Requests for the configuration without an answer in time, by kind.",
		}, []string{"kind"}),
		looks: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bronzedrift_upstream_looks_total", Help: "Upstreams that decisions have looked at.",
		}),
		shed: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "bronzedrift_shed_share", Help: "Share of the offered work that is refused since this VM is short of processor time.",
		}),
		shares: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "bronzedrift_share_cores", Help: "Share of the capacity of a kind of job and an origin, in core-seconds per second.",
		}, []string{"kind", "origin"}),
	}
	m.registry.MustRegister(m.reserved, m.idle, m.late, m.shares)
	m.registry.MustRegister(m.decisions, m.answers, m.starts, m.evacuated, m.evacuationRuns)
	m.registry.MustRegister(m.looks, m.shed, m.replica, m.unanswered, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// addLinks registers the counters of the links.
func (m *metrics) addLinks(counts *messenger.Counts) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "bronzedrift_log_messages_dropped_total", Help: "Messages of the replicated log for which a link had no room.",
	}, func() float64 { return float64(counts.LogsDropped.Load()) }))
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

// RegisterMetrics adds metrics of the process to those of MetricsHandler.
func (d *Conductor) RegisterMetrics(c ...prometheus.Collector) { d.metrics.registry.MustRegister(c...) }

// MetricsHandler serves the metrics in the Prometheus text format.
func (d *Conductor) MetricsHandler() http.Handler {
	return promhttp.HandlerFor(d.metrics.registry, promhttp.HandlerOpts{})
}

// updateReplicaGauges sets the gauges of the replicated log.
func (d *Conductor) updateReplicaGauges(now time.Time) {
	c, ok := d.keeper.Condition()
	if !ok {
		return
	}
	refusedFor := 0.0
	if !c.DiskRefusedSince.IsZero() {
		refusedFor = now.Sub(c.DiskRefusedSince).Seconds()
	}
	for figure, value := range map[string]float64{
		"log-bytes": float64(c.LogBytes), "log-entries": float64(c.LogEntries), "snapshot-bytes": float64(c.SnapshotBytes),
		"term": float64(c.Term), "commit-index": float64(c.Commit), "voters": float64(c.Voters), "reachable-voters": float64(c.ReachableVoters),
		"disk-refused-seconds": refusedFor, "idle-age-seconds": now.Sub(c.At).Seconds(),
	} {
		d.metrics.replica.WithLabelValues(figure).Set(value)
	}
}

// updateGauges sets the gauges that are not counted at the event itself.
func (d *Conductor) updateGauges(now time.Time) {
	d.updateReplicaGauges(now)
	d.metrics.shed.Set(d.shedder.Pressure())
	d.metrics.looks.Add(float64(d.holder.Looks() - d.countedLooks))
	d.countedLooks = d.holder.Looks()
	for _, e := range d.keeper.Evacuations().Evacuations {
		isActive := 0.0
		if e.Active {
			isActive = 1
		}
		d.metrics.evacuated.WithLabelValues(e.DataCentre).Set(isActive)
		d.metrics.evacuationRuns.WithLabelValues(e.DataCentre).Set(float64(d.holder.RunsIn(e.DataCentre)))
	}
	for _, c := range d.holder.Reservations().Classes {
		class := strconv.FormatInt(c.UpTo, 10)
		if c.UpTo == 0 {
			class = "any"
		}
		d.metrics.reserved.WithLabelValues(class).Set(c.ReservedCoreSeconds)
		d.metrics.idle.WithLabelValues(class).Set(c.IdleCoreSeconds)
		d.metrics.late.WithLabelValues(class).Set(float64(c.Late))
	}
	d.metrics.shares.Reset()
	for _, s := range d.holder.Shares(now) {
		d.metrics.shares.WithLabelValues(s.Kind, s.Origin).Set(s.Share)
	}
}
