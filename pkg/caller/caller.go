// Package caller is the library for callers: it submits jobs to any entry and
// resubmits them under the same id until it has an answer.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
)

// Job is a job to submit. An empty ID is replaced by a new UUIDv7.
type Job struct {
	ID          string
	SubmittedAt time.Time
	Team        string
	Service     string
	Home        string
	Repeatable  bool
	Timeout     time.Duration
	Tasks       []Task
}

// Task is one unit of work of a job; its payload is JSON.
type Task struct {
	Payload         json.RawMessage
	Slots           int
	Cores           float64
	MemoryBytes     int64
	Accelerators    int
	ExpectedRunTime time.Duration
}

// Answer is an entry's answer about a job.
type Answer struct {
	Status     int
	JobID      string
	Home       string
	Outcome    string
	Ran        string
	Reason     string
	Message    string
	RetryAfter time.Duration
	Results    []json.RawMessage
}

// IsComplete reports whether every task ended with a result.
func (a *Answer) IsComplete() bool { return a.Outcome == "complete" }

// Errors returned by a Caller.
var (
	// ErrNoAnswer means that no entry answered in time; the outcome of the job
	// is unknown.
	ErrNoAnswer = errors.New("caller: no entry answered in time")
	// ErrNoEntries means that the Config lists no entries.
	ErrNoEntries = errors.New("caller: no entries are configured")
)

// Config configures a Caller.
type Config struct {
	// Entries are the addresses of the entries, or of a load balancer in front
	// of them.
	Entries []netip.AddrPort
	// Home is the caller's data centre, which owns the jobs that name no home
	// themselves. If it is empty, the entries choose one by the job's id.
	Home string
	// Connections is the number of idle connections kept to each entry.
	Connections int
}

// Caller submits jobs. It is safe for concurrent use.
type Caller struct {
	config        Config
	client        *http.Client
	nextEntry     atomic.Uint64
	resubmissions atomic.Uint64
}

const (
	initialRetryDelay = 20 * time.Millisecond
	maxRetryDelay     = 500 * time.Millisecond
	defaultIdleConns  = 64
	idleConnTimeout   = 30 * time.Second
)

// New returns a Caller.
func New(c Config) *Caller {
	if c.Connections == 0 {
		c.Connections = defaultIdleConns
	}
	transport := &http.Transport{MaxIdleConnsPerHost: c.Connections, IdleConnTimeout: idleConnTimeout}
	return &Caller{config: c, client: &http.Client{Transport: transport}}
}

// Close closes the idle connections of the Caller.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Repeats returns the number of resubmissions so far.
func (c *Caller) Repeats() uint64 { return c.resubmissions.Load() }

// Submit submits a job and waits for its answer. If an entry is unreachable, fails
// before answering, is draining or is too overloaded to take the job, Submit
// resubmits the job to the next entry under the same id.
func (c *Caller) Submit(ctx context.Context, j Job) (*Answer, error) {
	if len(c.config.Entries) == 0 {
		return nil, ErrNoEntries
	}
	body, id, err := c.encodeJob(&j)
	if err != nil {
		return nil, err
	}
	entry := c.nextEntry.Add(1)
	delay := initialRetryDelay
	var lastAnswer *Answer
	for ctx.Err() == nil {
		a, err := c.send(ctx, http.MethodPost, entry, "/v1/jobs", body)
		if err == nil && !a.isRetryable() {
			return a, nil
		}
		if err == nil {
			lastAnswer = a
		}
		c.resubmissions.Add(1)
		entry++
		if !sleep(ctx, delay) {
			break
		}
		delay = min(maxRetryDelay, 2*delay)
	}
	if lastAnswer != nil {
		return lastAnswer, nil
	}
	return nil, fmt.Errorf("%w; the outcome of job %s is unknown", ErrNoAnswer, id)
}

// isRetryable reports whether another entry may accept the job that this one
// refused.
func (a *Answer) isRetryable() bool {
	return a.Reason == "draining" || a.Reason == "overloaded" && a.Ran == "unknown"
}

// sleep waits for d and reports whether the context is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// Lookup returns the state of a job.
func (c *Caller) Lookup(ctx context.Context, jobID string) (*Answer, error) {
	return c.send(ctx, http.MethodGet, c.nextEntry.Add(1), "/v1/jobs/"+jobID, nil)
}

// Cancel cancels a job and returns how much of it had run.
func (c *Caller) Cancel(ctx context.Context, jobID string) (*Answer, error) {
	return c.send(ctx, http.MethodDelete, c.nextEntry.Add(1), "/v1/jobs/"+jobID, nil)
}

type jobJSON struct {
	JobID       string     `json:"job-id"`
	SubmittedAt *time.Time `json:"submitted-at,omitempty"`
	Team        string     `json:"team"`
	Service     string     `json:"service"`
	Home        string     `json:"home,omitempty"`
	Repeatable  bool       `json:"repeatable,omitempty"`
	Timeout     string     `json:"timeout,omitempty"`
	Tasks       []taskJSON `json:"tasks"`
}

type taskJSON struct {
	Payload         json.RawMessage `json:"payload,omitempty"`
	Slots           int             `json:"slots,omitempty"`
	Cores           float64         `json:"cores,omitempty"`
	MemoryBytes     int64           `json:"memory-bytes,omitempty"`
	Accelerators    int             `json:"accelerators,omitempty"`
	ExpectedRunTime string          `json:"expected-run-time,omitempty"`
}

func (c *Caller) encodeJob(j *Job) (body []byte, id string, err error) {
	w := jobJSON{
		JobID: j.ID, Team: j.Team, Service: j.Service, Home: j.Home, Repeatable: j.Repeatable,
	}
	if w.Home == "" {
		w.Home = c.config.Home
	}
	if w.JobID == "" {
		u, err := uuid.NewV7()
		if err != nil {
			return nil, "", fmt.Errorf("caller: generating the job id: %w", err)
		}
		w.JobID = u.String()
	}
	if !j.SubmittedAt.IsZero() {
		w.SubmittedAt = &j.SubmittedAt
	}
	if j.Timeout > 0 {
		w.Timeout = j.Timeout.String()
	}
	for _, t := range j.Tasks {
		e := taskJSON{
			Payload: t.Payload, Slots: t.Slots, Cores: t.Cores, MemoryBytes: t.MemoryBytes, Accelerators: t.Accelerators,
		}
		if t.ExpectedRunTime > 0 {
			e.ExpectedRunTime = t.ExpectedRunTime.String()
		}
		w.Tasks = append(w.Tasks, e)
	}
	body, err = json.Marshal(w)
	if err != nil {
		return nil, "", fmt.Errorf("caller: encoding the job: %w", err)
	}
	return body, w.JobID, nil
}

type answerJSON struct {
	JobID   string `json:"job-id"`
	Home    string `json:"home"`
	Outcome string `json:"outcome"`
	Ran     string `json:"ran"`
	Reason  string `json:"reason"`
	Message string `json:"message"`
	Results []struct {
		Payload json.RawMessage `json:"payload"`
	} `json:"results"`
}

func (c *Caller) send(ctx context.Context, method string, entry uint64, path string, body []byte) (*Answer, error) {
	address := c.config.Entries[entry%uint64(len(c.config.Entries))]
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("caller: creating the request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := c.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("caller: sending the request: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, fmt.Errorf("caller: reading the answer: %w", err)
	}
	return decodeAnswer(res, answer)
}

func decodeAnswer(res *http.Response, answer []byte) (*Answer, error) {
	var w answerJSON
	if err := json.Unmarshal(answer, &w); err != nil {
		return nil, fmt.Errorf("caller: decoding the answer: %w", err)
	}
	a := &Answer{
		Status: res.StatusCode, JobID: w.JobID, Home: w.Home, Outcome: w.Outcome, Ran: w.Ran,
		Reason: w.Reason, Message: w.Message,
	}
	if s, err := time.ParseDuration(res.Header.Get("Retry-After") + "s"); err == nil {
		a.RetryAfter = s
	}
	for _, r := range w.Results {
		a.Results = append(a.Results, r.Payload)
	}
	return a, nil
}
