package sender

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"time"

	"bronzedrift.example/bronzedrift/internal/dispatcher"
	"bronzedrift.example/bronzedrift/internal/validator"
	"bronzedrift.example/bronzedrift/pkg/runner"
)

const (
	// unansweredMargin is how long a start may remain unanswered beyond its expected run
	// time before its task is queried over a new connection.
	unansweredMargin = 800 * time.Millisecond
	// The poll intervals apply when only polling can return the end of a task, and are
	// short because it may end at any moment. The watch intervals apply while the start
	// request is still open and are longer.
	minPollInterval  = 20 * time.Millisecond
	maxPollInterval  = 250 * time.Millisecond
	minWatchInterval = time.Second
	maxWatchInterval = 2 * time.Second
	// unreachableTimeout is how long queries to an upstream may fail before the outcome of
	// the task is reported as unknown.
	unreachableTimeout = time.Second
)

// watcher queries an unanswered start over a new connection while the start request is
// still open.
type watcher struct {
	timer   *time.Timer
	mu      sync.Mutex
	stopped bool
	result  *dispatcher.TaskEnd
	idle    chan struct{}
}

func (s *Sender) watch(ctx context.Context, st *dispatcher.Start, cancelPost context.CancelFunc) *watcher {
	w := &watcher{}
	if !st.Fencing {
		return w
	}
	w.timer = time.AfterFunc(max(0, st.ExpectedRunTime)+unansweredMargin, func() {
		w.mu.Lock()
		if w.stopped {
			w.mu.Unlock()
			return
		}
		idle := make(chan struct{})
		w.idle = idle
		w.mu.Unlock()
		defer close(idle)
		result := s.resolve(ctx, st, minWatchInterval, maxWatchInterval)
		if result.Kind == dispatcher.EndedUnknown {
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.stopped {
			w.stopped, w.result = true, result
			cancelPost()
		}
	})
	return w
}

// stop ends the watcher. It returns its result if that came before the response to the
// start request, and nil otherwise.
func (w *watcher) stop() *dispatcher.TaskEnd {
	if w.timer == nil {
		return nil
	}
	w.timer.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	return w.result
}

// resolve determines over new connections the outcome of a start that was not answered.
// It never starts the task.
func (s *Sender) resolve(ctx context.Context, st *dispatcher.Start, minInterval, maxInterval time.Duration) *dispatcher.TaskEnd {
	if !st.Fencing {
		return &dispatcher.TaskEnd{Kind: dispatcher.EndedUnknown}
	}
	p := poller{url: taskURL(st), memorySince: st.MemorySince, fenceUnknown: true, interval: minInterval, maxInterval: maxInterval}
	return s.poll(ctx, &p)
}

// Probe waits for the end of a task that an earlier owner started.
func (s *Sender) Probe(ctx context.Context, p *dispatcher.Probe) *dispatcher.TaskEnd {
	startedAt := s.config.Now()
	ctx, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/tasks/%s", p.Address, dispatcher.TaskID(p.JobID, p.Task))
	end := s.poll(ctx, &poller{url: url, memorySince: p.MemorySince, interval: minPollInterval, maxInterval: maxPollInterval})
	end.JobID, end.Task, end.Upstream, end.Epoch = p.JobID, p.Task, p.Upstream, p.Epoch
	end.Elapsed = s.config.Now().Sub(startedAt)
	return end
}

// poller describes how a task is polled. memorySince is when the upstream began to
// remember tasks, according to its announcement. fenceUnknown means that a task
// which the upstream does not know is fenced: the upstream then refuses to start it.
type poller struct {
	url          string
	memorySince  time.Time
	fenceUnknown bool
	interval     time.Duration
	maxInterval  time.Duration
}

// poll queries an upstream for a task until the task has ended, is known not to have
// started, or its outcome can no longer be determined.
func (s *Sender) poll(ctx context.Context, p *poller) *dispatcher.TaskEnd {
	unknown := &dispatcher.TaskEnd{Kind: dispatcher.EndedUnknown}
	lastAnsweredAt := s.config.Now()
	isRefused := true
	for {
		state, err := s.requestTaskState(ctx, http.MethodGet, p.url)
		if err == nil && state.State == "unknown" {
			if !p.fenceUnknown || state.hasLostMemory(p.memorySince) {
				unknown.HasCrashed = state.hasLostMemory(p.memorySince)
				return unknown
			}
			s.Counts.TaskFences.Add(1)
			state, err = s.requestTaskState(ctx, http.MethodDelete, p.url)
		}
		if err == nil {
			lastAnsweredAt = s.config.Now()
			if end := state.taskEnd(p.memorySince); end != nil {
				return end
			}
		}
		isRefused = err == nil || isRefused && errors.Is(err, syscall.ECONNREFUSED)
		if s.config.Now().Sub(lastAnsweredAt) > unreachableTimeout {
			unknown.HasCrashed = isRefused
			return unknown
		}
		pause := p.interval
		if err != nil {
			pause = minPollInterval
		}
		select {
		case <-ctx.Done():
			return unknown
		case <-time.After(pause):
		}
		p.interval = min(p.maxInterval, 2*p.interval)
	}
}

// taskState is an upstream's response to a query for a task.
type taskState struct {
	State  string          `json:"state"`
	Status int             `json:"status"`
	Result json.RawMessage `json:"result"`
	// StartedAt is when the responding process began to remember tasks.
	StartedAt time.Time `json:"started-at"`
}

// hasLostMemory reports whether the upstream's memory is not the announced one. A task
// that it does not know may then still have run.
func (t *taskState) hasLostMemory(memorySince time.Time) bool {
	return !dispatcher.IsSameMemory(t.StartedAt, memorySince)
}

// taskEnd returns the end of a task, or nil while it runs.
func (t *taskState) taskEnd(memorySince time.Time) *dispatcher.TaskEnd {
	switch t.State {
	case "fenced":
		if t.hasLostMemory(memorySince) {
			return &dispatcher.TaskEnd{Kind: dispatcher.EndedUnknown, HasCrashed: true}
		}
		return &dispatcher.TaskEnd{Kind: dispatcher.EndedNotStarted}
	case "finished":
		if t.Status == http.StatusOK || t.Status == 0 {
			return &dispatcher.TaskEnd{Kind: dispatcher.EndedComplete, Status: http.StatusOK, Payload: t.Result}
		}
		if t.Status == http.StatusGone {
			return &dispatcher.TaskEnd{Kind: dispatcher.EndedUnknown, Status: t.Status}
		}
		return &dispatcher.TaskEnd{Kind: dispatcher.EndedFailed, Status: t.Status}
	}
	return nil
}

// errNoTaskState is returned for a response that does not contain the state of the task.
var errNoTaskState = errors.New("sender: response without a task state")

func (s *Sender) requestTaskState(ctx context.Context, method, url string) (*taskState, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, fmt.Errorf("sender: creating a task query: %w", err)
	}
	s.Counts.Probes.Add(1)
	res, err := s.unpooledClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("sender: querying a task: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	state := &taskState{}
	body, err := s.readJSON(res)
	if err == nil {
		err = json.Unmarshal(body, state)
	}
	switch {
	case !validator.IsStartTime(s.config.Now(), state.StartedAt):
		return nil, errNoTaskState
	case res.StatusCode == http.StatusNotFound:
		state.State = "unknown"
		return state, nil
	case err != nil:
		return nil, fmt.Errorf("sender: decoding a task state: %w", err)
	case res.StatusCode != http.StatusOK || state.State == "":
		return nil, errNoTaskState
	}
	return state, nil
}

// Stop asks an upstream to stop a running task.
func (s *Sender) Stop(ctx context.Context, t dispatcher.StopTask) {
	s.Counts.Stops.Add(1)
	_, _ = s.requestTaskState(ctx, http.MethodDelete, fmt.Sprintf("http://%s/v1/tasks/%s?stop=true", t.Address, t.TaskID))
}

// fenceAnswer is an upstream's response to the fencing of a range.
type fenceAnswer struct {
	Epoch   int64     `json:"epoch"`
	TaskIDs []string  `json:"task-ids"`
	Since   time.Time `json:"since"`
	// StartedAt is as in taskState.
	StartedAt time.Time `json:"started-at"`
}

// errInvalidFence is returned for a response with a time or an epoch that can't be true.
var errInvalidFence = errors.New("sender: a fence response is out of range")

// maxFenceBytes is many times the size of the ids of all tasks that an upstream remembers.
const maxFenceBytes = 64 << 20

// Fence makes an upstream refuse lower epochs of a range.
func (s *Sender) Fence(ctx context.Context, f *dispatcher.FenceRange) *dispatcher.FenceEnd {
	end := &dispatcher.FenceEnd{
		Range: f.Range, Epoch: f.Epoch, Upstream: f.Upstream, Address: f.Address, ExpectedSince: f.MemorySince,
	}
	ctx, cancel := context.WithTimeout(ctx, f.Delay+requestTimeout)
	defer cancel()
	select {
	case <-ctx.Done():
		return end
	case <-time.After(f.Delay):
	}
	s.Counts.RangeFences.Add(1)
	answer, status, err := s.putFence(ctx, f.Address, f.Range, f.Epoch)
	switch {
	case err != nil:
	case status == http.StatusConflict:
		end.HigherEpoch = answer.Epoch
	case status == http.StatusOK:
		end.OK, end.MemorySince, end.Started, end.StartedAt = true, answer.Since, answer.TaskIDs, answer.StartedAt
	}
	return end
}

func (s *Sender) putFence(ctx context.Context, address netip.AddrPort, rangeName string, epoch int64) (*fenceAnswer, int, error) {
	body := strings.NewReader(fmt.Sprintf(`{"epoch":%d}`, epoch))
	url := fmt.Sprintf("http://%s/v1/fences/%s", address, rangeName)
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, body)
	if err != nil {
		return nil, 0, fmt.Errorf("sender: creating a fence request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := s.unpooledClient.Do(req)
	if err != nil {
		return nil, 0, fmt.Errorf("sender: fencing a range: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	answer := &fenceAnswer{}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxFenceBytes)).Decode(answer); err != nil {
		return nil, 0, fmt.Errorf("sender: decoding a fence response: %w", err)
	}
	now := s.config.Now()
	if !validator.IsStartTime(now, answer.Since) || !validator.IsStartTime(now, answer.StartedAt) || answer.Epoch > runner.MaxEpoch {
		return nil, 0, errInvalidFence
	}
	return answer, res.StatusCode, nil
}
