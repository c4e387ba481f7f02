package planner

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// traceKind is a kind of job on the page. Rates are those of 350 servers.
type traceKind struct {
	estimate   time.Duration
	tasks      int
	jobsPerSec float64
}

var traceKinds = []traceKind{
	{60 * time.Millisecond, 8, 206},
	{900 * time.Millisecond, 4, 37.5},
	{200 * time.Millisecond, 2, 600},
}

const (
	traceCores   = 8000
	maxTaskCores = 12_000
	minTaskCores = 4000
	// estimateError is the spread of actual run times around the estimate.
	estimateError = 0.4
	tailShare     = 0.03
	tailFactor    = 7
	// abandonFactor times the objective is when callers give up.
	abandonFactor = 3
	traceWarmUp   = 5 * time.Second
)

// traceConfig describes one run of the simulation of a holder.
type traceConfig struct {
	seed     uint64
	servers  int
	load     float64
	tails    bool
	duration time.Duration
}

type traceJob struct {
	id        int
	arrival   time.Time
	objective time.Duration
	estimate  time.Duration
	needs     Capacity
	waiting   int
	running   int
	started   bool
	response  time.Duration
	// factors holds the actual run time over the estimate of each task, in the order of their
	// start, so that all policies run the same work.
	factors []float64
	isGone  bool
}

func (j *traceJob) latestStart() time.Time { return j.arrival.Add(j.objective - j.estimate) }
func (j *traceJob) giveUpAt() time.Time    { return j.arrival.Add(abandonFactor * j.objective) }
func (j *traceJob) task() *Task {
	return &Task{Needs: j.needs, RunTime: j.estimate, WaitsSince: j.arrival, LatestStart: j.latestStart(), GiveUpAt: j.giveUpAt()}
}

func (j *traceJob) ratio() float64 { return float64(j.response) / float64(j.objective) }

// makeNeeds draws the needs of a task: 8 cores with 20% spread.
func makeNeeds(random *rand.Rand) Capacity {
	cores := int64(traceCores * (1 + 0.2*random.NormFloat64()))
	return Capacity{MilliCores: min(maxTaskCores, max(minTaskCores, cores))}
}

// makeJobs generates the arrivals of a trace.
func makeJobs(c traceConfig) []*traceJob {
	random := rand.New(rand.NewPCG(c.seed, 7))
	var jobs []*traceJob
	scale := rateScale(c)
	for _, k := range traceKinds {
		at := 0.0
		for {
			at += random.ExpFloat64() / (k.jobsPerSec * scale)
			if at >= c.duration.Seconds() {
				break
			}
			j := &traceJob{
				arrival: start.Add(time.Duration(at * float64(time.Second))), estimate: k.estimate, waiting: k.tasks,
				objective: k.estimate*16/10 + 60*time.Millisecond,
			}
			j.needs = makeNeeds(random)
			for range k.tasks {
				f := min(2.5, max(0.3, 1+estimateError*random.NormFloat64()))
				if c.tails && random.Float64() < tailShare {
					f *= tailFactor
				}
				j.factors = append(j.factors, f)
			}
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *traceJob) int { return a.arrival.Compare(b.arrival) })
	for i, j := range jobs {
		j.id = i
	}
	return jobs
}

// saturation is the share of the core-seconds of the servers up to which today's policy
// completes 99% of the jobs. It is below 1 mainly because two tasks of more than 8 cores do not
// fit on a server of 16. Loads are relative to it.
const saturation = 0.84

// rateScale is the factor on the rates of the kinds that gives the configured load.
func rateScale(c traceConfig) float64 {
	work := 0.0
	for _, k := range traceKinds {
		tail := 1.0
		if c.tails {
			tail += tailShare * (tailFactor - 1)
		}
		work += k.jobsPerSec * float64(k.tasks) * k.estimate.Seconds() * traceCores * tail
	}
	offered := 0.0
	for i := range c.servers {
		s := makeServer(i)
		offered += float64(s.Capacity.MilliCores) * s.Speed
	}
	return c.load * saturation * offered / work
}

// makeServer returns one of the servers of the page: 16 or 24 cores at three speeds.
func makeServer(i int) Server {
	return Server{
		ID:       fmt.Sprintf("upstream-%03d", i),
		Capacity: Capacity{MilliCores: []int64{16_000, 24_000}[i%2]},
		Speed:    []float64{0.6, 1, 1.6}[i%3],
	}
}

type traceEvent struct {
	at     time.Time
	server int
	job    *traceJob
	endsAt time.Time
}

type traceEvents []traceEvent

func (e traceEvents) Len() int           { return len(e) }
func (e traceEvents) Less(i, k int) bool { return e[i].at.Before(e[k].at) }
func (e traceEvents) Swap(i, k int)      { e[i], e[k] = e[k], e[i] }
func (e *traceEvents) Push(x any)        { *e = append(*e, x.(traceEvent)) }
func (e *traceEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// policy is a way to place the waiting tasks.
type policy struct {
	name string
	// inOrder: no task passes one that waits. bestFit: the least cores left, not the earliest
	// expected end. planner: nil without reservations.
	inOrder, bestFit bool
	planner          *Planner
}

// trace simulates one holder with its servers.
type trace struct {
	policy  policy
	now     time.Time
	servers []Server
	events  traceEvents
	queue   []*traceJob
	// busy is in core-seconds between the warm-up and end, when the arrivals end.
	busy float64
	end  time.Time
}

// runTrace runs the jobs of a trace under a policy and returns them with their response times.
func runTrace(c traceConfig, p policy) (*trace, []*traceJob) {
	s := &trace{policy: p, now: start, end: start.Add(c.duration)}
	for i := range c.servers {
		s.servers = append(s.servers, makeServer(i))
	}
	jobs := makeJobs(c)
	next := 0
	for next < len(jobs) || len(s.events) > 0 || len(s.queue) > 0 {
		switch {
		case next < len(jobs) && (len(s.events) == 0 || jobs[next].arrival.Before(s.events[0].at)):
			s.now = jobs[next].arrival
			s.queue = append(s.queue, jobs[next])
			next++
		case len(s.events) > 0:
			e := heap.Pop(&s.events).(traceEvent)
			s.now = e.at
			s.endTask(e)
		default:
			s.now = s.now.Add(time.Second)
		}
		s.place()
	}
	return s, jobs
}

func (s *trace) endTask(e traceEvent) {
	server := &s.servers[e.server]
	server.Used = server.Used.minus(e.job.needs)
	i := slices.Index(server.Runs, Run{Needs: e.job.needs, EndsAt: e.endsAt})
	server.Runs = slices.Delete(server.Runs, i, i+1)
	e.job.running--
	if e.job.running == 0 && e.job.waiting == 0 && !e.job.isGone {
		e.job.response = s.now.Sub(e.job.arrival)
	}
}

// place is a placement round.
func (s *trace) place() {
	s.queue = slices.DeleteFunc(s.queue, func(j *traceJob) bool {
		if s.now.After(j.giveUpAt()) {
			j.isGone, j.response, j.waiting = true, abandonFactor*j.objective, 0
		}
		return j.waiting == 0
	})
	if !s.policy.inOrder {
		slices.SortStableFunc(s.queue, s.compare)
	}
	p := s.policy.planner
	if p != nil {
		p.Begin(s.now, len(s.servers))
	}
	unplaced := int64(maxTaskCores + 1)
	for _, j := range s.queue {
		for j.waiting > 0 {
			i, isFull, hasRoom := -1, true, false
			if j.needs.MilliCores < unplaced {
				i, isFull, hasRoom = s.choose(j)
			}
			if i >= 0 {
				s.startTask(j, i)
				continue
			}
			if isFull && !hasRoom {
				unplaced = min(unplaced, j.needs.MilliCores)
			}
			if s.policy.inOrder {
				return
			}
			if p != nil && isFull {
				s.reserve(j)
			}
			break
		}
	}
}

// reserve reserves for each waiting task of a job.
func (s *trace) reserve(j *traceJob) {
	p := s.policy.planner
	for range j.waiting {
		if _, ok := p.Reserve(s.now, j.task(), s.servers); !ok {
			return
		}
	}
}

// compare orders the queue as holders do.
func (s *trace) compare(a, b *traceJob) int {
	switch aLate, bLate := a.latestStart().Before(s.now), b.latestStart().Before(s.now); {
	case a.started != b.started:
		return ifElse(a.started, -1, 1)
	case aLate != bLate:
		return ifElse(bLate, -1, 1)
	}
	return cmp.Or(a.latestStart().Compare(b.latestStart()), cmp.Compare(a.id, b.id))
}

func ifElse(condition bool, a, b int) int {
	if condition {
		return a
	}
	return b
}

// choose returns the index of the server for a task, or -1 if it has to wait; isFull is set if
// it may start nowhere, and hasRoom if there is room that is reserved.
func (s *trace) choose(j *traceJob) (best int, isFull, hasRoom bool) {
	best, isFull = -1, true
	var bestEnd time.Duration
	var bestLeft int64
	task := j.task()
	for i := range s.servers {
		v := &s.servers[i]
		free := v.Capacity.minus(v.Used)
		if !j.needs.fitsIn(free) {
			continue
		}
		end := task.runTimeOn(v)
		if p := s.policy.planner; p != nil && !p.MayStart(v.ID, free, j.needs, s.now.Add(end)) {
			hasRoom = true
			continue
		}
		isFull = false
		left := free.MilliCores - j.needs.MilliCores
		isBetter := cmp.Or(cmp.Compare(end, bestEnd), cmp.Compare(left, bestLeft)) < 0
		if s.policy.bestFit {
			isBetter = cmp.Or(cmp.Compare(left, bestLeft), cmp.Compare(end, bestEnd)) < 0
		}
		if best < 0 || isBetter {
			best, bestEnd, bestLeft = i, end, left
		}
	}
	if best >= 0 && !s.policy.bestFit && !s.policy.inOrder && s.isWorthWaiting(j, bestEnd) {
		return -1, false, false
	}
	return best, isFull, hasRoom
}

// isWorthWaiting is the rule of holders for a task that would be late on the best free server.
func (s *trace) isWorthWaiting(j *traceJob, bestEnd time.Duration) bool {
	left := j.arrival.Add(j.objective).Sub(s.now)
	if bestEnd <= left {
		return false
	}
	task := j.task()
	for i := range s.servers {
		v := &s.servers[i]
		runTime := task.runTimeOn(v)
		if runTime > left {
			continue
		}
		free := v.Capacity.minus(v.Used)
		for _, r := range v.Runs {
			wait := r.EndsAt.Sub(s.now)
			if wait >= 0 && j.needs.fitsIn(free.plus(r.Needs)) && wait+runTime <= left {
				return true
			}
		}
	}
	return false
}

func (s *trace) startTask(j *traceJob, i int) {
	v := &s.servers[i]
	expected := j.task().runTimeOn(v)
	factor := j.factors[len(j.factors)-j.waiting]
	took := time.Duration(float64(expected) * factor)
	j.waiting--
	j.running++
	j.started = true
	endsAt := s.now.Add(expected)
	v.Used = v.Used.plus(j.needs)
	v.Runs = append(v.Runs, Run{Needs: j.needs, EndsAt: endsAt})
	s.busy += s.overlap(took).Seconds() * v.Speed * float64(j.needs.MilliCores) / 1000
	heap.Push(&s.events, traceEvent{at: s.now.Add(took), server: i, job: j, endsAt: endsAt})
}

// overlap is the part of a run from now on that counts for the utilisation.
func (s *trace) overlap(took time.Duration) time.Duration {
	from, until := s.now, s.now.Add(took)
	if warm := start.Add(traceWarmUp); from.Before(warm) {
		from = warm
	}
	if until.After(s.end) {
		until = s.end
	}
	return max(0, until.Sub(from))
}
