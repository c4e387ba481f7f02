//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// runner is a stand-in for one runner. It guards its capacity, keeps leases, refuses lower
// generation numbers, and lists ends until they are taken note of.
type runner struct {
	world   *world
	id      string
	zone    string
	address netip.AddrPort
	cpu     int64
	labels  []string

	mu        sync.Mutex
	born      time.Time
	sequence  uint64
	token     uint64
	leaseEnd  time.Duration
	runs      map[string]*taskRun
	highest   map[string]int
	ends      [][]any
	lastEnd   int
	changed   chan struct{}
	state     string
	isDown    bool
	server    *http.Server
	stopBeats context.CancelFunc
	reportTo  netip.AddrPort
	// isCut is set while no machine reaches the runner, nor it any machine.
	isCut bool
	// lateStart is a start order that was left unanswered and is carried out late.
	lateStart *runOrder
	// firstReport is the daemon that the runner calls first after its start, if it is valid.
	firstReport netip.AddrPort
}

// taskRun is one run of a task.
type taskRun struct {
	task   string
	number int
	cpu    int64
	endsAt time.Time
	how    string
}

// firstClock is what the clock of a runner shows at its start.
const firstClock = 500 * time.Millisecond

func (w *world) addRunner(zone string, labels []string) (*runner, error) {
	id := fmt.Sprintf("i-%08x", rand.Uint32())
	r := &runner{
		world: w, id: id, zone: zone, cpu: runnerCPU, labels: append(append([]string{}, labels...), "r"+zone+"-1"),
		address: netip.AddrPortFrom(w.nextIP(id), runnerPort),
	}
	w.runners = append(w.runners, r)
	return r, r.boot()
}

// boot starts a life of the runner: it holds and knows nothing of before.
func (r *runner) boot() error {
	listener, err := net.Listen("tcp", r.address.String())
	if err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget()
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	server := r.server
	go func() { _ = server.Serve(listener) }()
	ctx, cancel := context.WithCancel(r.world.ctx)
	r.stopBeats = cancel
	go r.report(ctx)
	go r.expire(ctx)
	r.world.record.add(r.id, "runner boots in %s at %s, cpu %d, labels %v, born %d", r.zone, r.address, r.cpu, r.labels, r.born.UnixMilli())
	return nil
}

// forget starts a life that holds and knows nothing of before. The lock is held.
func (r *runner) forget() {
	r.born, r.sequence, r.token, r.leaseEnd, r.lastEnd = time.Now(), 0, 0, 0, 0
	r.runs, r.highest, r.ends, r.changed = map[string]*taskRun{}, map[string]int{}, nil, make(chan struct{})
	r.state, r.isDown = "ready", false
}

// cut cuts the runner off from all machines, or joins it again.
func (r *runner) cut(isCut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isCut = isCut
	r.world.record.add(r.id, "runner is cut off: %t", isCut)
}

// rebornBehindCut lets the runner crash and start again under its id while it is cut off: nobody sees
// its connections end.
func (r *runner) rebornBehindCut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loseRuns()
	r.forget()
	r.world.record.add(r.id, "runner has crashed and starts again behind the cut, born %d", r.born.UnixMilli())
}

func (r *runner) hasLateStart() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lateStart != nil
}

// carryOutLateStart carries out the start order that was kept.
func (r *runner) carryOutLateStart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.lateStart
	if o == nil {
		return
	}
	r.lateStart = nil
	r.settle()
	if o.FencingToken < r.token {
		r.world.record.add(r.id, "late start order of %s run %d: fence", o.Task, o.Run)
		return
	}
	r.token = o.FencingToken
	reason := r.start(o)
	r.world.record.add(r.id, "late start order of %s run %d, refused for: %q", o.Task, o.Run, reason)
}

// crash ends the process of the runner: everything that runs there ends, nothing is sent.
func (r *runner) crash() {
	r.mu.Lock()
	r.isDown = true
	r.loseRuns()
	r.stopBeats()
	server := r.server
	r.reportTo = r.firstReport
	r.mu.Unlock()
	_ = server.Close()
	r.world.record.add(r.id, "runner is gone")
}

// loseRuns ends all runs with their runner, without listing them. The lock is held.
func (r *runner) loseRuns() {
	for name, t := range r.runs {
		r.world.record.add(r.id, "run ends: %s run %d with its runner", name, t.number)
		if r.world.onEnd != nil {
			r.world.onEnd(r, t, "")
		}
	}
	r.runs = map[string]*taskRun{}
}

// drain reports that the runner drains and tells whether that was acknowledged.
func (r *runner) drain() bool {
	r.mu.Lock()
	r.state = "draining"
	r.mu.Unlock()
	text, err := r.status()
	return err == nil && r.sendReport(r.world.ctx, http.MethodPut, text)
}

// leave announces the end of the runner, and ends it once a daemon has acknowledged that. The response
// of the first daemon is lost if isLost is set.
func (r *runner) leave(isLost bool) {
	r.stopReports()
	if isLost {
		r.mu.Lock()
		target := r.reportTo
		r.mu.Unlock()
		if !target.IsValid() {
			target = r.world.states[0].control()
		}
		status, answer, err := call(r.world.ctx, http.MethodDelete, "http://"+target.String()+platformNames["instances"]+r.id, nil, "", time.Second)
		r.world.record.add(r.id, "DELETE to %s: %s; the response is lost", target, outcome(status, answer, err))
		time.Sleep(time.Second)
		r.reportTo = netip.AddrPort{}
	}
	r.world.record.add(r.id, "sends DELETE")
	acked := r.sendReport(r.world.ctx, http.MethodDelete, nil)
	r.world.record.add(r.id, "DELETE acknowledged: %t", acked)
	r.crash()
}

// stopReports ends the status reports; what runs goes on.
func (r *runner) stopReports() {
	r.stopBeats()
	go r.expire(r.world.ctx)
}

func (r *runner) status() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	body := map[string]any{
		"service": serviceName, "address": r.address.String(), "zone": r.zone, "version": "v1", "slots": 8, "state": r.state,
		platformNames["cold"]: 0, "capacity": map[string]int64{"cpu": r.cpu, "memMb": 32768, "gpu": 0}, "labels": r.labels,
		"clockMs": r.clock().Milliseconds(), "sequence": r.sequence, "born": r.born.UnixMilli(),
	}
	if r.state == "draining" {
		body["remainingMs"] = drainTime.Milliseconds()
	}
	return json.Marshal(body)
}

func (r *runner) clock() time.Duration { return time.Since(r.born) + firstClock }

// settle ends the runs that are due or whose lease has lapsed. The lock is held.
func (r *runner) settle() {
	now := time.Now()
	lapsed := r.clock() > r.leaseEnd
	for _, t := range r.runs {
		switch {
		case !t.endsAt.After(now):
			r.end(t, t.how)
		case lapsed:
			r.end(t, "lapsed")
		}
	}
}

func (r *runner) end(t *taskRun, how string) {
	delete(r.runs, t.task)
	r.lastEnd++
	r.ends = append(r.ends, []any{r.lastEnd, t.task, t.number, how, ""})
	r.world.record.add(r.id, "run ends: %s run %d %s", t.task, t.number, how)
	if r.world.onEnd != nil {
		r.world.onEnd(r, t, how)
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *runner) expire(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		r.settle()
		r.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
	}
}

// runOrder is the body of a call to a runner. Its keys differ from the fields in case only.
type runOrder struct {
	Task         string
	Run          int
	Spec         string
	UntilMs      int64
	FencingToken uint64
	LastSeen     int
	WaitMs       int64
}

func (r *runner) serve(w http.ResponseWriter, q *http.Request) {
	if q.Method == http.MethodGet {
		w.WriteHeader(http.StatusOK)
		return
	}
	var o runOrder
	text, err := io.ReadAll(q.Body)
	if err != nil || json.Unmarshal(text, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if q.Header.Get(platformNames["expected-runner"]) != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isDown || r.isCut {
		r.stayMute(q.Context())
		return
	}
	born := r.born
	r.settle()
	if q.URL.Path == platformNames["run-start"] && r.world.keepsStart.CompareAndSwap(true, false) {
		r.lateStart = &o
		r.world.record.add(r.id, "start order of %s run %d is under way, without an answer", o.Task, o.Run)
		r.stayMute(q.Context())
		return
	}
	status, answer := http.StatusOK, map[string]any{}
	switch {
	case o.FencingToken < r.token:
		status, answer["reason"] = http.StatusConflict, "fence"
	case q.URL.Path == platformNames["run-start"]:
		r.token = o.FencingToken
		if reason := r.start(&o); reason != "" {
			status, answer["reason"] = http.StatusConflict, reason
		}
	case q.URL.Path == platformNames["run-stop"]:
		r.token = o.FencingToken
		r.stop(&o)
	default:
		r.token = o.FencingToken
		r.hold(q.Context(), &o)
		if r.isDown || r.isCut || !r.born.Equal(born) {
			r.stayMute(q.Context())
			return
		}
		running := [][]any{}
		for _, t := range r.runs {
			running = append(running, []any{t.task, t.number, "", 50, 0})
		}
		answer["running"], answer["ended"] = running, append([][]any{}, r.ends[:min(len(r.ends), 500)]...)
		answer["born"] = r.born.UnixMilli()
	}
	answer["clockMs"] = r.clock().Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

// stayMute waits until the caller gives up. The lock is held before and after.
func (r *runner) stayMute(ctx context.Context) {
	r.mu.Unlock()
	<-ctx.Done()
	r.mu.Lock()
}

func (r *runner) extend(leaseMillis int64) {
	until := min(time.Duration(leaseMillis)*time.Millisecond, r.clock()+maxLease)
	r.leaseEnd = max(r.leaseEnd, until)
}

func (r *runner) start(o *runOrder) string {
	var cpu, work int64
	if _, err := fmt.Sscanf(o.Spec, "%d %d", &cpu, &work); err != nil {
		return "spec"
	}
	used := cpu
	for _, t := range r.runs {
		used += t.cpu
	}
	current := r.runs[o.Task]
	switch {
	case current != nil && current.number == o.Run:
		return ""
	case current != nil || o.Run <= r.highest[o.Task]:
		r.extend(o.UntilMs)
		return "old"
	case time.Duration(o.UntilMs)*time.Millisecond < r.clock():
		return "late"
	case used > r.cpu:
		r.extend(o.UntilMs)
		return "room"
	}
	r.extend(o.UntilMs)
	r.highest[o.Task] = o.Run
	t := &taskRun{task: o.Task, number: o.Run, cpu: cpu, endsAt: time.Now().Add(time.Duration(work) * time.Millisecond), how: "done"}
	r.runs[o.Task] = t
	r.world.record.add(r.id, "run starts: %s run %d token %d", o.Task, o.Run, o.FencingToken)
	if r.world.onStart != nil {
		r.world.onStart(r, t)
	}
	return ""
}

func (r *runner) stop(o *runOrder) {
	r.highest[o.Task] = max(r.highest[o.Task], o.Run)
	if t := r.runs[o.Task]; t != nil && t.number == o.Run {
		if limit := time.Now().Add(stopTime / 2); limit.Before(t.endsAt) {
			t.endsAt, t.how = limit, "stopped"
		}
	}
}

// hold takes note of ends, renews the lease and waits for an end. The lock is held but for the wait.
func (r *runner) hold(ctx context.Context, o *runOrder) {
	for len(r.ends) > 0 && r.ends[0][0].(int) <= o.LastSeen {
		r.ends = r.ends[1:]
	}
	if o.UntilMs > 0 {
		r.extend(o.UntilMs)
	}
	timer := time.NewTimer(time.Duration(o.WaitMs) * time.Millisecond)
	defer timer.Stop()
	for len(r.ends) == 0 && !r.isDown {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
			r.mu.Lock()
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		r.mu.Lock()
		return
	}
}

// report sends a status report each heartbeat, to the address that the last answer named.
func (r *runner) report(ctx context.Context) {
	for ctx.Err() == nil {
		text, err := r.status()
		if err != nil {
			return
		}
		if !r.isOutOfReach() {
			r.sendReport(ctx, http.MethodPut, text)
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatMs * time.Millisecond):
		}
	}
}

func (r *runner) isOutOfReach() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isCut
}

// sendReport calls one daemon after the other until one acknowledges.
func (r *runner) sendReport(ctx context.Context, method string, text []byte) bool {
	var targets []netip.AddrPort
	if r.reportTo.IsValid() {
		targets = append(targets, r.reportTo)
	}
	for _, i := range rand.Perm(len(r.world.states)) {
		targets = append(targets, r.world.states[i].control())
	}
	for _, t := range targets {
		if ctx.Err() != nil {
			return false
		}
		status, answer, err := call(ctx, method, "http://"+t.String()+platformNames["instances"]+r.id, text, "", time.Second)
		if err != nil || status/100 != 2 || method == http.MethodDelete || string(text) != "" && r.state == "draining" {
			r.world.record.add(r.id, "%s to %s: %s", method, t, outcome(status, answer, err))
		}
		if err != nil || status/100 != 2 {
			r.reportTo = netip.AddrPort{}
			continue
		}
		var named struct{ HeartbeatAddr string }
		if json.Unmarshal(answer, &named) == nil {
			if a, err := netip.ParseAddrPort(named.HeartbeatAddr); err == nil {
				r.reportTo = a
			}
		}
		return true
	}
	return false
}

// call sends one HTTP request on a connection of its own.
func call(ctx context.Context, method, url string, body []byte, host string, timeout time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	q.GetBody = nil
	if host != "" {
		q.Host = host
	}
	q.Close = true
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set(platformNames["deadline"], fmt.Sprint(timeout.Milliseconds()))
	answer, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	return answer.StatusCode, text, err
}
