package daemon

import (
	"context"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"bronzedrift.example/bronzedrift/internal/dispatcher"
	"bronzedrift.example/bronzedrift/internal/recorder"
	"bronzedrift.example/bronzedrift/internal/reporter"
)

func encodeEvent(e *recorder.Event) reporter.Event {
	j := reporter.Event{
		Number: int(e.Number), Name: e.Number.Name(), At: e.At, ClockWall: e.Clock.Wall, ClockCounter: e.Clock.Counter,
		VM: e.VM, Job: e.Job, Team: e.Team, Upstream: e.Upstream, Peer: e.Peer, Text: e.Text,
	}
	if e.Task != recorder.NoTask {
		j.Task = &e.Task
	}
	return j
}

var roleNames = []string{"follower", "pre-candidate", "candidate", "leader"}

func (d *Daemon) encodeState(ctx context.Context) *reporter.State {
	s, _, err := d.keeper.Status(ctx)
	if err != nil || s.ID == "" {
		return nil
	}
	j := &reporter.State{ID: s.ID, Role: roleNames[s.Role], Term: s.Term, LeaderVM: s.LeaderVM, Commit: s.Commit}
	for _, m := range s.Members {
		j.Members = append(j.Members, reporter.Member{ID: m.ID, VM: m.VM, Voter: m.Voter})
	}
	return j
}

func (d *Daemon) status(ctx context.Context) (any, error) {
	var s dispatcher.Snapshot
	err := d.inspect(ctx, func(disp *dispatcher.Dispatcher) { s = disp.FullSnapshot() })
	if err != nil {
		return nil, err
	}
	j := d.encodeStatus(&s)
	j.Version, j.State = d.configVersion.Load(), d.encodeState(ctx)
	return j, nil
}

func (d *Daemon) encodeStatus(s *dispatcher.Snapshot) reporter.Status {
	j := reporter.Status{
		VM: d.settings.VM, DataCentre: d.settings.DataCentre, StartedAt: d.startedAt, Draining: s.Draining,
		Lessor: s.Lessor, Jobs: s.Jobs, QueuedTasks: s.QueuedTasks, RunningTasks: s.RunningTasks, KeptAnswers: s.KeptAnswers, KeptAnswerBytes: s.KeptAnswerBytes,
		Messages: d.messageCounts(s),
	}
	for _, r := range d.settings.Roles {
		j.Roles = append(j.Roles, string(r))
	}
	for _, r := range s.Ranges {
		j.Ranges = append(j.Ranges, reporter.Range{Name: r.Name, Epoch: r.Epoch, Complete: r.Complete})
	}
	for _, l := range s.Links {
		j.Links = append(j.Links, reporter.Link{VM: l.VM, Up: l.Up})
	}
	for _, v := range s.Verdicts {
		j.Verdicts = append(j.Verdicts, reporter.Verdict{Kind: string(v.Kind), Name: v.Name, State: v.Text(), Sequence: v.Sequence})
	}
	for _, u := range s.Upstreams {
		j.Upstreams = append(j.Upstreams, encodeUpstream(u))
	}
	for _, l := range s.Loads {
		j.Loads = append(j.Loads, reporter.Load{
			DataCentre: l.DataCentre, Service: l.Load.Service, Slots: l.Load.Slots,
			FreeSlots: l.Load.FreeSlots, Waiting: l.Load.Waiting, Wait: l.Load.ExpectedWait.String(),
		})
	}
	j.Evacuations = []reporter.Evacuation{}
	for i := range s.Evacuations {
		j.Evacuations = append(j.Evacuations, encodeEvacuationView(&s.Evacuations[i]))
	}
	return j
}

func encodeUpstream(u dispatcher.UpstreamView) reporter.Upstream {
	j := reporter.Upstream{
		Name: u.Name, DataCentre: u.DataCentre, Address: u.Address.String(), Slots: u.Capacity.Slots,
		Services: u.Services, Leaving: u.Leaving, Down: u.Down,
	}
	for _, c := range u.Capabilities {
		j.Capabilities = append(j.Capabilities, string(c))
	}
	return j
}

func (d *Daemon) messageCounts(s *dispatcher.Snapshot) reporter.Messages {
	c := &d.sender.Counts
	return reporter.Messages{
		InnerSent: d.messenger.Counts.MessagesSent.Load(), InnerBytes: d.messenger.Counts.BytesSent.Load(),
		Starts: c.Starts.Load(), RefusedStarts: c.RefusedStarts.Load(), Superseded: c.Superseded.Load(),
		Probes: c.Probes.Load(), Fences: c.TaskFences.Load() + c.RangeFences.Load(),
		Forwards: s.Counts.Forwarded, BouncedForwards: s.Counts.BouncedForwards,
		UnusedGrants: s.Counts.GrantsUnused, RetriedStarts: s.Counts.TasksRetried,
	}
}

// newRegistry registers the metrics. None has a job or upstream label.
func (d *Daemon) newRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(d.evacuated)
	r.MustRegister(d.acceptor.Collectors()...)
	counter := func(name, help string, value func(s *dispatcher.Snapshot) float64) {
		r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: "bronzedrift", Name: name, Help: help,
		}, func() float64 { return value(d.latestSnapshot()) }))
	}
	gauge := func(name, help string, value func(s *dispatcher.Snapshot) float64) {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "bronzedrift", Name: name, Help: help,
		}, func() float64 { return value(d.latestSnapshot()) }))
	}
	counter("jobs_submitted_total", "Jobs posted at this entry.", func(s *dispatcher.Snapshot) float64 { return float64(s.Counts.Submitted) })
	counter("jobs_answered_total", "Answers given by this entry.", func(s *dispatcher.Snapshot) float64 { return float64(s.Counts.Answered) })
	counter("jobs_refused_total", "Jobs refused as not run.", func(s *dispatcher.Snapshot) float64 { return float64(s.Counts.Refused) })
	counter("jobs_joined_total", "Resubmissions answered from the job of their id.", func(s *dispatcher.Snapshot) float64 { return float64(s.Counts.Joined) })
	counter("forwards_total", "Submissions forwarded to their owner.", func(s *dispatcher.Snapshot) float64 { return float64(s.Counts.Forwarded) })
	counter("forwards_bounced_total", "Submissions refused because entries disagree on the owner.", func(s *dispatcher.Snapshot) float64 { return float64(s.Counts.BouncedForwards) })
	counter("tasks_started_total", "Starts sent to upstreams.", func(s *dispatcher.Snapshot) float64 { return float64(s.Counts.TasksStarted) })
	counter("tasks_refused_total", "Starts that provably did not happen.", func(s *dispatcher.Snapshot) float64 { return float64(s.Counts.TasksRefused) })
	counter("tasks_retried_total", "Starts repeated under the retry budget.", func(s *dispatcher.Snapshot) float64 { return float64(s.Counts.TasksRetried) })
	counter("grants_total", "Slot leases granted to this entry.", func(s *dispatcher.Snapshot) float64 { return float64(s.Counts.GrantsReceived) })
	counter("grants_unused_total", "Slot leases given back unused.", func(s *dispatcher.Snapshot) float64 { return float64(s.Counts.GrantsUnused) })
	counter("inner_messages_sent_total", "Messages sent to other VMs.", func(*dispatcher.Snapshot) float64 { return float64(d.messenger.Counts.MessagesSent.Load()) })
	counter("inner_bytes_sent_total", "Bytes sent to other VMs.", func(*dispatcher.Snapshot) float64 { return float64(d.messenger.Counts.BytesSent.Load()) })
	gauge("jobs_in_flight", "Jobs owned and not answered.", func(s *dispatcher.Snapshot) float64 { return float64(s.Jobs) })
	gauge("tasks_queued", "Tasks of owned jobs that wait for a slot.", func(s *dispatcher.Snapshot) float64 { return float64(s.QueuedTasks) })
	gauge("tasks_running", "Tasks that hold a slot lease of this entry.", func(s *dispatcher.Snapshot) float64 { return float64(s.RunningTasks) })
	gauge("answers_kept_bytes", "Bytes of answers kept for resubmissions.", func(s *dispatcher.Snapshot) float64 { return float64(s.KeptAnswerBytes) })
	return r
}

func (d *Daemon) latestSnapshot() *dispatcher.Snapshot {
	if s := d.snapshot.Load(); s != nil {
		return s
	}
	return &dispatcher.Snapshot{}
}

func (d *Daemon) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}))
	return mux
}
