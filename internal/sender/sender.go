// Package sender starts tasks at upstreams over HTTP and determines the outcome of starts
// that were not answered.
package sender

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"bronzedrift.example/bronzedrift/internal/dispatcher"
	"bronzedrift.example/bronzedrift/internal/validator"
	"bronzedrift.example/bronzedrift/pkg/runner"
)

// Config configures a Sender.
type Config struct {
	// MaxIdleConnections is the maximum number of idle connections to each upstream.
	MaxIdleConnections int
	// MaxResultBytes limits the size of the result of one task.
	MaxResultBytes int64
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// Counts are the totals of requests to upstreams and of their outcomes.
type Counts struct {
	Starts        atomic.Uint64
	RefusedStarts atomic.Uint64
	Superseded    atomic.Uint64
	Probes        atomic.Uint64
	TaskFences    atomic.Uint64
	RangeFences   atomic.Uint64
	Stops         atomic.Uint64
	Unknown       atomic.Uint64
}

// Sender is the HTTP client for upstreams. It is safe for concurrent use.
type Sender struct {
	config         Config
	pooledClient   *http.Client
	unpooledClient *http.Client
	Counts         Counts
}

const (
	dialTimeout    = 500 * time.Millisecond
	requestTimeout = 500 * time.Millisecond
	// idleTimeout limits the age of idle connections, which may be dead, and keeps their
	// number within the limit of an upstream.
	idleTimeout = 500 * time.Millisecond
)

// New returns a Sender.
func New(c Config) *Sender {
	if c.Now == nil {
		c.Now = time.Now
	}
	return &Sender{
		config:         c,
		pooledClient:   newPooledClient(c.MaxIdleConnections),
		unpooledClient: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dial}},
	}
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, network, address)
}

func newPooledClient(idle int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: idle,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}

// Close closes the idle connections.
func (s *Sender) Close() {
	s.pooledClient.CloseIdleConnections()
}

// errInvalidBody is returned for a body that is truncated, too large or not JSON.
var errInvalidBody = errors.New("sender: response body is truncated, too large or not valid JSON")

// Run starts a task and returns its end, at the latest when its timeout is over.
func (s *Sender) Run(ctx context.Context, st *dispatcher.Start) *dispatcher.TaskEnd {
	startedAt := s.config.Now()
	ctx, cancel := context.WithTimeout(ctx, st.Timeout)
	defer cancel()
	postCtx, cancelPost := context.WithCancel(ctx)
	defer cancelPost()
	w := s.watch(ctx, st, cancelPost)
	end := s.post(postCtx, st)
	if result := w.stop(); result != nil {
		end = result
	}
	if end == nil {
		lostAt := s.config.Now()
		end = s.resolve(ctx, st, minPollInterval, maxPollInterval)
		if end.HasCrashed {
			end.LostAge = s.config.Now().Sub(lostAt)
		}
	}
	end.JobID, end.Task, end.Upstream, end.Epoch = st.JobID, st.Task, st.Upstream, st.Epoch
	end.Elapsed = s.config.Now().Sub(startedAt)
	s.countEnd(end)
	return end
}

func (s *Sender) countEnd(e *dispatcher.TaskEnd) {
	switch e.Kind {
	case dispatcher.EndedNotStarted, dispatcher.EndedRestarted:
		s.Counts.RefusedStarts.Add(1)
	case dispatcher.EndedSuperseded:
		s.Counts.Superseded.Add(1)
	case dispatcher.EndedUnknown:
		s.Counts.Unknown.Add(1)
	}
}

// post sends the start request and returns the end of the task, or nil if the outcome
// must be resolved.
func (s *Sender) post(ctx context.Context, st *dispatcher.Start) *dispatcher.TaskEnd {
	url := taskURL(st)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(st.Payload))
	if err != nil {
		return &dispatcher.TaskEnd{Kind: dispatcher.EndedNotStarted}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(runner.HeaderOwner, st.Range)
	req.Header.Set(runner.HeaderEpoch, strconv.FormatInt(st.Epoch, 10))
	req.Header.Set(runner.HeaderLease, st.Timeout.String())
	if !st.MemorySince.IsZero() {
		req.Header.Set(runner.HeaderStartedAt, st.MemorySince.Format(time.RFC3339Nano))
	}
	s.Counts.Starts.Add(1)
	res, err := s.clientFor(st).Do(req)
	if err != nil {
		if isDialError(err) {
			return &dispatcher.TaskEnd{Kind: dispatcher.EndedNotStarted}
		}
		return nil
	}
	defer func() { _ = res.Body.Close() }()
	body, err := s.readJSON(res)
	if res.StatusCode != http.StatusOK {
		return endForStatus(s.config.Now(), res, st)
	}
	if err != nil {
		return s.incompleteResult(st)
	}
	return &dispatcher.TaskEnd{Kind: dispatcher.EndedComplete, Status: res.StatusCode, Payload: body}
}

// incompleteResult returns the end of a task that ran but whose result was truncated. It
// returns nil if the upstream can be queried for the whole result.
func (s *Sender) incompleteResult(st *dispatcher.Start) *dispatcher.TaskEnd {
	if st.Fencing {
		return nil
	}
	return &dispatcher.TaskEnd{Kind: dispatcher.EndedFailed, Status: http.StatusOK}
}

// clientFor returns a client that opens a new connection for a task that is not repeatable
// at an upstream without fencing: if an idle connection were dead, the outcome of the task
// could not be determined.
func (s *Sender) clientFor(st *dispatcher.Start) *http.Client {
	if st.Repeatable || st.Fencing {
		return s.pooledClient
	}
	return s.unpooledClient
}

func taskURL(st *dispatcher.Start) string {
	return "http://" + st.Address.String() + "/v1/tasks/" + dispatcher.TaskID(st.JobID, st.Task)
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (s *Sender) readJSON(res *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(res.Body, s.config.MaxResultBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalidBody, err)
	}
	if int64(len(body)) > s.config.MaxResultBytes || !json.Valid(body) {
		return nil, errInvalidBody
	}
	return body, nil
}

// endForStatus returns the end for a status other than 200. Only a 503 with the header
// Bronzedrift-Ran: no proves that the task did not start.
func endForStatus(now time.Time, res *http.Response, st *dispatcher.Start) *dispatcher.TaskEnd {
	if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get(runner.HeaderRan) != "no" {
		return &dispatcher.TaskEnd{Kind: dispatcher.EndedFailed, Status: res.StatusCode}
	}
	higher, err := strconv.ParseInt(res.Header.Get(runner.HeaderEpoch), 10, 64)
	if err == nil && higher > st.Epoch && higher <= runner.MaxEpoch {
		return &dispatcher.TaskEnd{Kind: dispatcher.EndedSuperseded, HigherEpoch: higher}
	}
	since, err := time.Parse(time.RFC3339Nano, res.Header.Get(runner.HeaderStartedAt))
	if err == nil && !dispatcher.IsSameMemory(since, st.MemorySince) && validator.IsStartTime(now, since) {
		return &dispatcher.TaskEnd{
			Kind: dispatcher.EndedRestarted, Status: res.StatusCode,
			ExpectedSince: st.MemorySince, MemorySince: since,
		}
	}
	return &dispatcher.TaskEnd{Kind: dispatcher.EndedNotStarted, Status: res.StatusCode}
}
