// Package measurer sends a seeded random trace of jobs to daemons and compares
// the response times with those of an ideal queue and of simple baselines.
package measurer

import (
	"math"
	"math/rand/v2"
	"time"

	"bronzedrift.example/bronzedrift/internal/assembler"
)

// TraceConfig configures a randomly generated trace.
type TraceConfig struct {
	Seed     uint64
	Duration time.Duration
	// Load is the fraction of the capacity of all slots that the jobs use.
	Load float64
	// Misdeclared makes the declared run times too high or too low by a
	// factor of up to ten.
	Misdeclared bool
}

// Job is one job of a trace and its arrival time after the start.
type Job struct {
	Arrival time.Duration
	Tasks   []Task
}

// Task holds the run time of a task on an upstream with slowdown 1, and the run
// time declared for it.
type Task struct {
	RunTime         time.Duration
	DeclaredRunTime time.Duration
}

const (
	minRunTime        = 50 * time.Millisecond
	maxRunTime        = time.Second
	longTaskShare     = 0.01
	minLongRunTime    = 2 * time.Second
	maxLongRunTime    = 4 * time.Second
	maxMisdeclaration = 10
)

// jobSizeClasses are the ranges of task counts of a job and the share of each:
// mostly single urgent requests, some parallel jobs and few large ones.
var jobSizeClasses = []struct {
	share              float64
	minTasks, maxTasks int
}{
	{0.70, 1, 1},
	{0.25, 2, 12},
	{0.045, 13, 60},
	{0.005, 61, 300},
}

// NewTrace generates a trace with Poisson arrivals whose rate follows from the
// load and the capacity of the upstreams.
func NewTrace(c TraceConfig, upstreams []assembler.UpstreamConfig) []Job {
	r := rand.New(rand.NewPCG(c.Seed, 1))
	rate := c.Load * capacity(upstreams) / meanWork()
	var jobs []Job
	var at float64
	for {
		at += r.ExpFloat64() / rate
		if at >= c.Duration.Seconds() {
			return jobs
		}
		jobs = append(jobs, Job{Arrival: time.Duration(at * float64(time.Second)), Tasks: drawTasks(r, c.Misdeclared)})
	}
}

// capacity returns the seconds of run time that all slots complete per second.
// Upstreams that fail every task contribute none.
func capacity(upstreams []assembler.UpstreamConfig) float64 {
	var total float64
	for _, u := range upstreams {
		if u.FailsAll {
			continue
		}
		total += float64(u.Slots) / u.Slowdown
	}
	return total
}

// meanWork returns the expected total run time of the tasks of a job, in seconds.
func meanWork() float64 {
	var tasks float64
	for _, s := range jobSizeClasses {
		tasks += s.share * float64(s.minTasks+s.maxTasks) / 2
	}
	logUniformMean := (maxRunTime - minRunTime).Seconds() / math.Log(float64(maxRunTime)/float64(minRunTime))
	longMean := (minLongRunTime + maxLongRunTime).Seconds() / 2
	return tasks * ((1-longTaskShare)*logUniformMean + longTaskShare*longMean)
}

func drawTasks(r *rand.Rand, misdeclared bool) []Task {
	tasks := make([]Task, drawTaskCount(r))
	for i := range tasks {
		runTime := drawRunTime(r)
		tasks[i] = Task{RunTime: runTime, DeclaredRunTime: runTime}
		if misdeclared {
			factor := math.Pow(maxMisdeclaration, 2*r.Float64()-1)
			tasks[i].DeclaredRunTime = time.Duration(float64(runTime) * factor)
		}
	}
	return tasks
}

func drawTaskCount(r *rand.Rand) int {
	p := r.Float64()
	for _, s := range jobSizeClasses {
		if p < s.share {
			return s.minTasks + r.IntN(s.maxTasks-s.minTasks+1)
		}
		p -= s.share
	}
	return 1
}

func drawRunTime(r *rand.Rand) time.Duration {
	if r.Float64() < longTaskShare {
		return minLongRunTime + time.Duration(r.Float64()*float64(maxLongRunTime-minLongRunTime))
	}
	ratio := float64(maxRunTime) / float64(minRunTime)
	return time.Duration(float64(minRunTime) * math.Pow(ratio, r.Float64()))
}

// UpstreamsConfig configures the fake upstreams of a measurement.
type UpstreamsConfig struct {
	Seed        uint64
	Count       int
	Slots       int
	DataCentres int
	// SlowShare is the fraction of upstreams that are four times slower than
	// drawn, FailShare the fraction that fail every task.
	SlowShare float64
	FailShare float64
}

const (
	minSlowdown        = 0.5
	maxSlowdown        = 2.0
	slowUpstreamFactor = 4
)

// NewUpstreams generates upstreams whose speeds differ by a factor of up to
// four, not counting the slow ones.
func NewUpstreams(c UpstreamsConfig) []assembler.UpstreamConfig {
	r := rand.New(rand.NewPCG(c.Seed, 2))
	list := make([]assembler.UpstreamConfig, c.Count)
	for i := range list {
		list[i] = assembler.UpstreamConfig{
			Name:       "worker-" + string(rune('a'+i/26)) + string(rune('a'+i%26)),
			DataCentre: assembler.DataCentreName(i % c.DataCentres),
			Slots:      c.Slots,
			Slowdown:   minSlowdown * math.Pow(maxSlowdown/minSlowdown, r.Float64()),
		}
	}
	order := r.Perm(c.Count)
	slow := int(math.Round(c.SlowShare * float64(c.Count)))
	failing := int(math.Round(c.FailShare * float64(c.Count)))
	for _, i := range order[:slow] {
		list[i].Slowdown *= slowUpstreamFactor
	}
	for _, i := range order[slow : slow+failing] {
		list[i].FailsAll = true
	}
	return list
}
