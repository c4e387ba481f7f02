// Package runner is the library for upstreams: it announces an upstream to the
// entries, runs tasks in its slots, remembers the tasks that it has started and
// refuses tasks that a newer owner has fenced.
package runner

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"
)

// Task is a task as received from an entry.
type Task struct {
	ID      string
	Payload []byte
	Lease   time.Duration
}

// Config configures a Runner and describes its upstream to the entries.
type Config struct {
	Name         string
	Address      netip.AddrPort
	DataCentre   string
	Rack         string
	Slots        int
	Cores        float64
	MemoryBytes  int64
	Accelerators int
	Services     []string
	Capabilities []string
	// Entries are the addresses that announcements are sent to in turn.
	Entries []netip.AddrPort
	// Memory is how long tasks are remembered after their lease ends;
	// ResultBytes limits the total size of the results kept.
	Memory      time.Duration
	ResultBytes int
	// QueueBeyondSlots makes tasks wait for a free slot instead of being
	// refused.
	QueueBeyondSlots bool
	// Run executes a task and returns its result as JSON.
	Run func(ctx context.Context, t Task) ([]byte, error)
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// Errors returned for a task that is not started.
var (
	// ErrFenced means that a newer owner has fenced the task or its range.
	ErrFenced = errors.New("runner: fenced by a newer owner")
	// ErrRestarted means that the task was meant for a former incarnation of the
	// upstream, whose fences this one does not have.
	ErrRestarted = errors.New("runner: meant for another incarnation of the upstream")
	// ErrFull means that no slot is free.
	ErrFull = errors.New("runner: no slot is free")
	// ErrLeaving means that the upstream accepts no new tasks.
	ErrLeaving = errors.New("runner: leaving")
)

const (
	defaultMemory      = 2 * time.Minute
	defaultResultBytes = 64 << 20
	defaultLease       = time.Minute
	// startResolution allows for entries that handle start times in milliseconds.
	startResolution = time.Millisecond
)

// Runner runs tasks in the slots of one upstream.
type Runner struct {
	config      Config
	slots       chan struct{}
	mu          sync.Mutex
	tasks       map[string]*task
	tasksByAge  []*task
	resultBytes int
	fenceEpochs map[string]int64
	memoryStart time.Time
	started     time.Time
	leaving     bool
	running     sync.WaitGroup
	counts      Counts
}

// Counts holds the totals of a Runner. Joined counts the requests to start a task
// that had already been started.
type Counts struct {
	Started   uint64
	Joined    uint64
	Refused   uint64
	Fenced    uint64
	Announced uint64
}

// task is a task that was started, or fenced before it could start.
type task struct {
	id        string
	owner     string
	epoch     int64
	createdAt time.Time
	lease     time.Duration
	done      chan struct{}
	cancel    context.CancelFunc
	result    []byte
	err       error
	fenced    bool
	evicted   bool // whether the result has been dropped
}

// New returns a Runner that remembers tasks from the current time on.
func New(c Config) *Runner {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Memory == 0 {
		c.Memory = defaultMemory
	}
	if c.ResultBytes == 0 {
		c.ResultBytes = defaultResultBytes
	}
	now := c.Now()
	return &Runner{
		config: c, slots: make(chan struct{}, max(1, c.Slots)),
		tasks: map[string]*task{}, fenceEpochs: map[string]int64{},
		memoryStart: now, started: now,
	}
}

// Counts returns the totals so far.
func (r *Runner) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts
}

// Leave makes the upstream refuse new tasks and announce that it is leaving.
func (r *Runner) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

// Wait returns when no task is running.
func (r *Runner) Wait() {
	r.running.Wait()
}

// start starts a task, or returns the task with the same id that was started
// before. If a fence of the owner refuses the task, it returns the fence's epoch.
// A task meant for an incarnation that started at another time is not started.
func (r *Runner) start(t Task, owner string, epoch int64, meantFor time.Time) (*task, int64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Now()
	r.expire(now)
	if fenceEpoch := r.fenceEpochs[owner]; epoch < fenceEpoch {
		r.counts.Fenced++
		return nil, fenceEpoch, ErrFenced
	}
	if known := r.tasks[t.ID]; known != nil {
		if known.fenced {
			r.counts.Fenced++
			return nil, 0, ErrFenced
		}
		r.counts.Joined++
		return known, 0, nil
	}
	if !meantFor.IsZero() && r.started.Sub(meantFor).Abs() > startResolution {
		r.counts.Refused++
		return nil, 0, ErrRestarted
	}
	if r.leaving {
		r.counts.Refused++
		return nil, 0, ErrLeaving
	}
	if !r.config.QueueBeyondSlots {
		select {
		case r.slots <- struct{}{}:
		default:
			r.counts.Refused++
			return nil, 0, ErrFull
		}
	}
	return r.launch(t, owner, epoch, now), 0, nil
}

// launch runs a task in its own slot. The caller must hold the lock.
func (r *Runner) launch(t Task, owner string, epoch int64, now time.Time) *task {
	lease := t.Lease
	if lease <= 0 {
		lease = defaultLease
	}
	ctx, cancel := context.WithTimeout(context.Background(), lease)
	started := &task{id: t.ID, owner: owner, epoch: epoch, createdAt: now, lease: lease, done: make(chan struct{}), cancel: cancel}
	r.tasks[t.ID] = started
	r.tasksByAge = append(r.tasksByAge, started)
	r.counts.Started++
	r.running.Go(func() {
		defer cancel()
		if r.config.QueueBeyondSlots {
			r.slots <- struct{}{}
		}
		result, err := r.config.Run(ctx, t)
		<-r.slots
		r.finish(started, result, err)
	})
	return started
}

func (r *Runner) finish(t *task, result []byte, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.result, t.err = result, err
	r.resultBytes += len(result)
	close(t.done)
	for i := 0; r.resultBytes > r.config.ResultBytes && i < len(r.tasksByAge); i++ {
		r.evictResult(r.tasksByAge[i])
	}
}

// evictResult drops the result of a finished task but keeps its id.
func (r *Runner) evictResult(t *task) {
	if !t.isDone() || t.evicted {
		return
	}
	r.resultBytes -= len(t.result)
	t.result, t.evicted = nil, true
}

func (t *task) isDone() bool {
	select {
	case <-t.done:
		return true
	default:
		return false
	}
}

// expire forgets, oldest first, the finished tasks whose lease ended longer ago
// than Config.Memory. The caller must hold the lock.
func (r *Runner) expire(now time.Time) {
	oldest := now.Add(-r.config.Memory)
	for len(r.tasksByAge) > 0 && r.tasksByAge[0].createdAt.Add(r.tasksByAge[0].lease).Before(oldest) && r.tasksByAge[0].isDone() {
		t := r.tasksByAge[0]
		r.tasksByAge[0] = nil
		r.tasksByAge = r.tasksByAge[1:]
		r.evictResult(t)
		delete(r.tasks, t.id)
		if t.createdAt.After(r.memoryStart) {
			r.memoryStart = t.createdAt
		}
	}
}

// fenceTask returns the task with the given id. If there is none, it records the
// id as fenced, so that the task is not started while the id is remembered.
func (r *Runner) fenceTask(id string) *task {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.tasks[id]; known != nil {
		return known
	}
	fenced := &task{id: id, createdAt: r.config.Now(), done: make(chan struct{}), fenced: true}
	close(fenced.done)
	r.tasks[id] = fenced
	r.tasksByAge = append(r.tasksByAge, fenced)
	return fenced
}

// fenceOwner refuses tasks of lower epochs of an owner from now on. It returns
// the ids of the tasks started under lower epochs, or the epoch of the existing
// fence if that is higher.
func (r *Runner) fenceOwner(owner string, epoch int64) (startedIDs []string, fenceEpoch int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(r.config.Now())
	if current := r.fenceEpochs[owner]; current > epoch {
		return nil, current
	}
	r.fenceEpochs[owner] = epoch
	for _, t := range r.tasksByAge {
		if t.owner == owner && t.epoch < epoch && !t.fenced {
			startedIDs = append(startedIDs, t.id)
		}
	}
	return startedIDs, 0
}

func (r *Runner) lookup(id string) *task {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tasks[id]
}

// memorySince returns the time after which no started task has been forgotten.
func (r *Runner) memorySince() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.memoryStart
}
