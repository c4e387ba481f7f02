package measurer

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"runtime"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/rs/zerolog"

	"bronzedrift.example/bronzedrift/internal/assembler"
	"bronzedrift.example/bronzedrift/internal/configurer"
	"bronzedrift.example/bronzedrift/internal/dispatcher"
	"bronzedrift.example/bronzedrift/internal/loader"
	"bronzedrift.example/bronzedrift/internal/router"
	"bronzedrift.example/bronzedrift/internal/scheduler"
)

// Slope is a cost measured at several sizes, with the gradient and the intercept
// of the least-squares line through the values.
type Slope struct {
	Cost      string    `json:"what"`
	Unit      string    `json:"unit"`
	Sizes     []int     `json:"sizes"`
	Values    []float64 `json:"values"`
	Gradient  float64   `json:"rise"`
	Intercept float64   `json:"base"`
}

// fit sets Gradient and Intercept to the least-squares line through the values.
func (s *Slope) fit() {
	n := float64(len(s.Sizes))
	var x, y, xx, xy float64
	for i, size := range s.Sizes {
		x += float64(size)
		y += s.Values[i]
		xx += float64(size) * float64(size)
		xy += float64(size) * s.Values[i]
	}
	s.Gradient = (n*xy - x*y) / (n*xx - x*x)
	s.Intercept = (y - s.Gradient*x) / n
}

func newSlope(what, unit string, sizes []int, measure func(size int) float64) Slope {
	s := Slope{Cost: what, Unit: unit, Sizes: sizes}
	for _, size := range sizes {
		s.Values = append(s.Values, measure(size))
	}
	s.fit()
	return s
}

// MeasureSlopes measures how the memory, the decision time and the control traffic of a
// daemon grow with the number of upstreams, tasks, answers, changes and entries.
func MeasureSlopes(ctx context.Context) ([]Slope, error) {
	large := []int{1000, 4000, 16_000}
	slopes := []Slope{
		newSlope("memory of an entry for each announced upstream", "B", large, func(n int) float64 {
			return heapOf(func() any { return newSimulatedEntry(n, 1) })
		}),
		newSlope("memory of an entry for each queued task", "B", large, func(n int) float64 {
			return heapOf(func() any { return entryWithQueuedTasks(n) })
		}),
		newSlope("memory of an entry for each kept answer", "B", large, func(n int) float64 {
			return heapOf(func() any { return entryWithKeptAnswers(n) })
		}),
		newSlope("memory of a state VM for each change", "B", large, func(n int) float64 {
			return heapOf(func() any { return configurerWithChanges(n) })
		}),
		newSlope("time of an unchanged announcement, by upstreams", "ns", large, announcementTime),
		newSlope("time of a job of one task in the decisions, by upstreams", "ns", []int{50, 300, 1200}, jobTime),
	}
	control, err := controlSlopes(ctx)
	return append(slopes, control...), err
}

// heapOf returns the heap bytes that the value returned by build occupies.
func heapOf(build func() any) float64 {
	before := heapInUse()
	value := build()
	after := heapInUse()
	runtime.KeepAlive(value)
	return float64(after) - float64(before)
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

var simulationStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// simulatedEntry runs the dispatcher of a single entry, which is its own lessor,
// on a simulated clock.
type simulatedEntry struct {
	decisions *dispatcher.Dispatcher
	now       time.Time
	effects   dispatcher.Effects
	submitted int
}

func (e *simulatedEntry) handle(in dispatcher.Input) {
	e.effects.Reset()
	e.decisions.Handle(e.now, &in, &e.effects)
}

func newSimulatedEntry(upstreams, slots int) *simulatedEntry {
	e := &simulatedEntry{now: simulationStart}
	e.decisions = dispatcher.New(e.now, dispatcher.Config{
		VM: "a-1", DataCentre: "a", Entries: []router.VM{{Name: "a-1", DataCentre: "a"}},
		Teams: []dispatcher.Team{{Name: MeasuredTeam}}, Services: []dispatcher.Service{{Name: MeasuredService}},
		Limits:    dispatcher.Limits{MaxQueuedTasks: 1 << 30, AnswerBytes: 1 << 30, JobIDRetention: time.Hour},
		Weighting: dispatcher.ByResponseTime, Policy: scheduler.DefaultPolicy(),
	})
	for i := range upstreams {
		e.announce(i, slots)
	}
	e.advance(time.Second)
	epoch := e.decisions.FullSnapshot().Ranges[0].Epoch
	for i := range upstreams {
		e.handle(dispatcher.Input{FenceEnd: &dispatcher.FenceEnd{
			Range: "a-1", Epoch: epoch, Upstream: fmt.Sprint("worker-", i), Address: upstreamAddress(i), OK: true,
		}})
	}
	e.advance(time.Second)
	return e
}

// advance moves the clock forward and sends a tick every 50 ms.
func (e *simulatedEntry) advance(d time.Duration) {
	const tick = 50 * time.Millisecond
	for end := e.now.Add(d); e.now.Before(end); {
		e.now = e.now.Add(tick)
		e.handle(dispatcher.Input{Tick: true})
	}
}

func upstreamAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 9000)
}

func (e *simulatedEntry) announce(i, slots int) {
	e.handle(dispatcher.Input{Announce: &dispatcher.Upstream{
		Name: fmt.Sprint("worker-", i), Address: upstreamAddress(i), DataCentre: "a", Rack: "rack",
		Capacity: scheduler.Shape{Slots: slots}, Services: []string{MeasuredService},
		Capabilities: []dispatcher.Capability{dispatcher.Fence}, Announced: e.now,
	}})
}

func (e *simulatedEntry) submit() {
	e.submitted++
	id := fmt.Sprint("job-", e.submitted)
	e.handle(dispatcher.Input{Submit: &dispatcher.Submission{Waiter: uint64(e.submitted), Job: &dispatcher.Job{
		ID: id, Submitted: e.now, Team: MeasuredTeam, Service: MeasuredService, Timeout: time.Hour,
		Tasks: []dispatcher.Task{{Payload: []byte(`{"run-time":"200ms"}`), Shape: scheduler.Shape{Slots: 1}, DeclaredRunTime: 200 * time.Millisecond}},
	}}})
}

// finishTasks completes the tasks that the last input started.
func (e *simulatedEntry) finishTasks() {
	starts := append([]dispatcher.Start(nil), e.effects.Starts...)
	for _, s := range starts {
		e.handle(dispatcher.Input{TaskEnd: &dispatcher.TaskEnd{
			JobID: s.JobID, Task: s.Task, Upstream: s.Upstream, Epoch: s.Epoch, Kind: dispatcher.EndedComplete,
			Elapsed: 200 * time.Millisecond, Payload: s.Payload,
		}})
	}
}

func entryWithQueuedTasks(n int) *simulatedEntry {
	e := newSimulatedEntry(1, 1)
	for range n {
		e.submit()
	}
	return e
}

func entryWithKeptAnswers(n int) *simulatedEntry {
	e := newSimulatedEntry(1, 1)
	for range n {
		e.submit()
		e.finishTasks()
	}
	return e
}

func configurerWithChanges(n int) *configurer.Configurer {
	c := configurer.New()
	for i := range n {
		c.Apply(configurer.Change{ID: fmt.Sprintf("%036d", i), BaseVersion: uint64(i), Text: []byte("{}")})
	}
	return c
}

const timingIterations = 20_000

func announcementTime(upstreams int) float64 {
	e := newSimulatedEntry(upstreams, 1)
	start := time.Now()
	for i := range timingIterations {
		e.announce(i%upstreams, 1)
	}
	return float64(time.Since(start).Nanoseconds()) / timingIterations
}

func jobTime(upstreams int) float64 {
	e := newSimulatedEntry(upstreams, 8)
	start := time.Now()
	for range timingIterations {
		e.submit()
		e.finishTasks()
	}
	return float64(time.Since(start).Nanoseconds()) / timingIterations
}

const idleDuration = 5 * time.Second

// controlSlopes measures the control traffic and the processor time of idle
// clusters over real sockets.
func controlSlopes(ctx context.Context) ([]Slope, error) {
	sizes := []int{3, 7, 14}
	bytes := Slope{Cost: "idle control bytes a second of a daemon, by entries", Unit: "B/s", Sizes: sizes}
	cpu := Slope{Cost: "idle processor time of a daemon and its share of 50 upstreams, by entries", Unit: "% of a core", Sizes: sizes}
	for _, n := range sizes {
		b, c, err := idleCost(ctx, n)
		if err != nil {
			return nil, err
		}
		bytes.Values = append(bytes.Values, b)
		cpu.Values = append(cpu.Values, c)
	}
	bytes.fit()
	cpu.fit()
	return []Slope{bytes, cpu}, nil
}

func idleCost(ctx context.Context, entries int) (bytesPerSecond, percent float64, err error) {
	entriesPerDataCentre := []int{entries / 2, entries - entries/2}
	cluster, err := assembler.New(ctx, assembler.Config{
		Entries:   entriesPerDataCentre,
		Upstreams: NewUpstreams(UpstreamsConfig{Seed: 1, Count: 50, Slots: 8, DataCentres: len(entriesPerDataCentre)}),
		Team:      dispatcher.Team{Name: MeasuredTeam}, Service: MeasuredService,
		Policy: scheduler.DefaultPolicy(), Limits: loader.Defaults().Limits, Log: zerolog.Nop(),
	})
	if err != nil {
		return 0, 0, fmt.Errorf("measurer: starting the cluster: %w", err)
	}
	defer cluster.Close()
	before, err := cluster.Messages(ctx)
	if err != nil {
		return 0, 0, fmt.Errorf("measurer: reading the message counters: %w", err)
	}
	used := processorTime()
	time.Sleep(idleDuration)
	used = processorTime() - used
	after, err := cluster.Messages(ctx)
	if err != nil {
		return 0, 0, fmt.Errorf("measurer: reading the message counters: %w", err)
	}
	seconds := idleDuration.Seconds() * float64(entries)
	return float64(after.InnerBytes-before.InnerBytes) / seconds, 100 * used.Seconds() / seconds, nil
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// WriteSlopes prints the slopes as a table.
func WriteSlopes(w io.Writer, slopes []Slope) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "cost\tunit\tsizes\tvalues\tslope\tintercept")
	for _, s := range slopes {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%v\t%.4g\t%.4g\t%.4g\n", s.Cost, s.Unit, s.Sizes, s.Values, s.Gradient, s.Intercept)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("measurer: writing the slopes: %w", err)
	}
	return nil
}
