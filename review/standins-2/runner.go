//go:build review2

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// maxLease, stopTime and reportInterval are holdMaxMs, stopMs and heartbeatMs of the settings.
	maxLease       = time.Second
	stopTime       = 50 * time.Millisecond
	reportInterval = 1500 * time.Millisecond
	reportTimeout  = time.Second
	maxListedEnds  = 500
	runnerCores    = 16_000
	runnerMemoryMB = 32_768
)

// work is what the spec of a job says about each of its tasks.
type work struct {
	Cores int64  `json:"cores"`
	Ms    int64  `json:"ms"`
	Label string `json:"label,omitempty"`
}

// runner is one life of a server: the stand-in for a runner of the platform.
type runner struct {
	id, service, zone, address string
	labels                     []string
	cores                      int64
	record                     *record
	controls                   []string
	born                       time.Time

	mu       sync.Mutex
	sequence int64
	token    uint64
	leaseEnd time.Duration
	runs     map[string]*taskRun
	highest  map[string]int
	ended    [][]any
	lastEnd  int
	changed  chan struct{}
	isDown   bool
	state    string
	// reportedTo is the address that the latest acknowledgement named.
	reportedTo string

	server   *http.Server
	listener net.Listener
	cancel   context.CancelFunc
}

type taskRun struct {
	task   string
	number int
	cores  int64
	endsAt time.Time
	how    string
}

type order struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	UntilMs      *int64
	FencingToken uint64
	LastSeen     int
	WaitMs       int64 `json:"waitMs"`
}

// start opens the runner's address, reports at once and then every reportInterval.
func (u *runner) start() error {
	listener, err := net.Listen("tcp", u.address)
	if err != nil {
		return err
	}
	u.listener = listener
	u.born = time.Now()
	u.runs, u.highest, u.changed, u.state = map[string]*taskRun{}, map[string]int{}, make(chan struct{}), "ready"
	ctx, cancel := context.WithCancel(context.Background())
	u.cancel = cancel
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve), ReadHeaderTimeout: time.Second}
	u.record.add("runner-up", u.id, "labels", u.labels, "cores", u.cores)
	go func() { _ = u.server.Serve(listener) }()
	go u.endRuns(ctx)
	go u.report(ctx)
	return nil
}

// crash ends the process of the runner: its port refuses connections and nothing runs any more.
func (u *runner) crash() {
	u.mu.Lock()
	u.isDown = true
	for _, r := range u.runs {
		u.record.add("run-lost", u.id, "task", r.task, "run", r.number)
		u.record.runEnded(u.id, r.task, r.number)
	}
	u.runs = map[string]*taskRun{}
	u.mu.Unlock()
	u.cancel()
	_ = u.server.Close()
	u.record.add("runner-down", u.id)
}

func (u *runner) clock(now time.Time) time.Duration { return now.Sub(u.born) + time.Second }

func (u *runner) endRuns(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(2 * time.Millisecond)
		u.mu.Lock()
		u.endDue(time.Now())
		u.mu.Unlock()
	}
}

// endDue ends the runs that are due, or whose lease has ended.
func (u *runner) endDue(now time.Time) {
	isLapsed := u.clock(now) > u.leaseEnd
	for task, r := range u.runs {
		how := r.how
		switch {
		case !now.Before(r.endsAt):
		case isLapsed:
			how = "lapsed"
		default:
			continue
		}
		delete(u.runs, task)
		u.lastEnd++
		u.ended = append(u.ended, []any{u.lastEnd, r.task, r.number, how, ""})
		u.record.add("run-"+how, u.id, "task", r.task, "run", r.number)
		u.record.runEnded(u.id, r.task, r.number)
		close(u.changed)
		u.changed = make(chan struct{})
	}
}

func (u *runner) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		w.WriteHeader(http.StatusOK)
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if want := r.Header.Get(names["expected-runner"]); want != "" && want != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.isDown {
		return
	}
	now := time.Now()
	u.endDue(now)
	if o.FencingToken < u.token {
		u.answer(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	u.token = o.FencingToken
	switch r.URL.Path {
	case names["run-start"]:
		if reason := u.startRun(now, &o); reason != "" {
			u.answer(w, http.StatusConflict, map[string]any{"reason": reason})
			return
		}
		u.answer(w, http.StatusOK, map[string]any{})
	case names["run-stop"]:
		u.highest[o.Task] = max(u.highest[o.Task], o.Run)
		if run := u.runs[o.Task]; run != nil && run.number == o.Run && run.endsAt.After(now.Add(stopTime)) {
			run.endsAt, run.how = now.Add(stopTime), "stopped"
		}
		u.answer(w, http.StatusOK, map[string]any{})
	default:
		u.hold(w, r, &o)
	}
}

func (u *runner) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["clockMs"] = u.clock(time.Now()).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (u *runner) extendLease(now time.Time, o *order) {
	if o.UntilMs != nil {
		u.leaseEnd = max(u.leaseEnd, min(time.Duration(*o.UntilMs)*time.Millisecond, u.clock(now)+maxLease))
	}
}

func (u *runner) startRun(now time.Time, o *order) string {
	var needs work
	if err := json.Unmarshal([]byte(o.Spec), &needs); err != nil {
		return "spec"
	}
	used := needs.Cores
	for _, r := range u.runs {
		used += r.cores
	}
	current := u.runs[o.Task]
	switch {
	case current != nil && current.number == o.Run:
		return ""
	case current != nil || o.Run <= u.highest[o.Task]:
		u.extendLease(now, o)
		return "old"
	case o.UntilMs == nil || time.Duration(*o.UntilMs)*time.Millisecond < u.clock(now):
		return "late"
	case used > u.cores:
		u.extendLease(now, o)
		return "room"
	}
	u.extendLease(now, o)
	u.highest[o.Task] = o.Run
	u.runs[o.Task] = &taskRun{task: o.Task, number: o.Run, cores: needs.Cores, endsAt: now.Add(time.Duration(needs.Ms) * time.Millisecond), how: "done"}
	u.record.runStarted(u, o.Task, o.Run, &needs)
	return ""
}

func (u *runner) hold(w http.ResponseWriter, r *http.Request, o *order) {
	for len(u.ended) > 0 && u.ended[0][0].(int) <= o.LastSeen {
		u.ended = u.ended[1:]
	}
	u.extendLease(time.Now(), o)
	timeout := time.NewTimer(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	defer timeout.Stop()
	for isWaiting := o.WaitMs > 0; isWaiting && len(u.ended) == 0 && !u.isDown; {
		changed := u.changed
		u.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C:
			isWaiting = false
		case <-r.Context().Done():
			isWaiting = false
		}
		u.mu.Lock()
	}
	running := [][]any{}
	for _, run := range u.runs {
		running = append(running, []any{run.task, run.number, "", 1, 0})
	}
	u.answer(w, http.StatusOK, map[string]any{"born": u.born.UnixMilli(), "running": running, "ended": u.ended[:min(len(u.ended), maxListedEnds)]})
}

func (u *runner) report(ctx context.Context) {
	client := &http.Client{Timeout: reportTimeout}
	for ctx.Err() == nil {
		u.mu.Lock()
		u.sequence++
		body := map[string]any{
			"service": u.service, "address": u.address, "zone": u.zone, "version": "v1", "slots": 8, "state": u.state, names["cold"]: 0,
			"capacity": map[string]any{"cpu": u.cores, "memMb": runnerMemoryMB, "gpu": 0}, "labels": u.labels,
			"clockMs": u.clock(time.Now()).Milliseconds(), "born": u.born.UnixMilli(), "sequence": u.sequence,
		}
		addresses := u.controls
		if u.reportedTo != "" {
			addresses = append([]string{u.reportedTo}, u.controls...)
		}
		u.mu.Unlock()
		text, _ := json.Marshal(body)
		for _, a := range addresses {
			if u.sendReport(ctx, client, a, text) {
				break
			}
			if ctx.Err() != nil {
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(reportInterval):
		}
	}
}

// sendReport reports whether the daemon at an address has acknowledged the report.
func (u *runner) sendReport(ctx context.Context, client *http.Client, address string, text []byte) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, fmt.Sprintf("http://%s%s%s", address, names["instances"], u.id), bytes.NewReader(text))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		u.mu.Lock()
		u.reportedTo = ""
		u.mu.Unlock()
		u.record.add("report-unacknowledged", u.id, "to", address)
		return false
	}
	defer func() { _ = response.Body.Close() }()
	var reply struct {
		HeartbeatAddr string
	}
	answer, _ := io.ReadAll(response.Body)
	_ = json.Unmarshal(answer, &reply)
	isAcknowledged := response.StatusCode/100 == 2
	u.mu.Lock()
	u.reportedTo = ""
	if isAcknowledged {
		u.reportedTo = reply.HeartbeatAddr
	}
	u.mu.Unlock()
	u.record.add("report", u.id, "to", address, "status", response.StatusCode)
	return isAcknowledged
}
