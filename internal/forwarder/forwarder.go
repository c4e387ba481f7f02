// Package forwarder decides at an entry which holder is given a job, when it is
// given to another one, and what its caller is told.
package forwarder

import (
	"slices"
	"sort"
	"time"

	"bronzedrift.example/bronzedrift/internal/holder"
	"bronzedrift.example/bronzedrift/internal/tracker"
)

// Result is what a caller is told.
type Result int

// The results.
const (
	Completed Result = iota + 1
	Failed
	Cancelled
	// NotRun: nothing of the job has run or will run.
	NotRun
	// Unknown: something of the job may have run; nothing of it runs any more
	// by the time at which a caller sends it again.
	Unknown
	// TimedOut: the caller's deadline has passed.
	TimedOut
)

// Verdict is the answer to one waiting caller.
type Verdict struct {
	Waiter     uint64
	Result     Result
	RetryAfter time.Duration
	Reason     string
}

// Send is a message to a holder.
type Send struct {
	To     string
	Order  *holder.Order
	Cancel *Cancel
}

// Cancel gives up a job at a holder.
type Cancel struct {
	ID         string
	Everywhere bool
}

// Effects is what has to be done after an input.
type Effects struct {
	Sends     []Send
	Verdicts  []Verdict
	Decisions []holder.Decision
}

// Forwarder holds the jobs of an entry. It is not safe for concurrent use.
type Forwarder struct {
	dataCentre string
	timing     holder.Timing
	peers      *tracker.Tracker
	jobs       map[string]*job
	attempt    int
	cancels    []repeatedCancel
	// sent is what was sent to each holder since its last heartbeat.
	sent map[string]sentLoad
	out  *Effects
}

// job is a job whose caller waits here.
type job struct {
	order     holder.Order
	waiters   []uint64
	arrivedAt time.Time
	to        string
	toLife    string
	tried     []string
	started   bool
	leastWait time.Duration
	leastVM   string
	// lostAt is when the holder was last heard before it was lost.
	lostAt  time.Time
	resends int
}

type sentLoad struct {
	milliCores int64
	at         time.Time
}

type repeatedCancel struct {
	id string
	at time.Time
	n  int
}

const (
	// cancelRepeats and cancelEvery cover a link that is opened anew.
	cancelRepeats = 3
	cancelEvery   = 400 * time.Millisecond
	// maxResends bounds how often a job is given to another holder after the
	// former one was lost.
	maxResends = 2
	// noHolderWait is told to callers while no holder is within reach: about the
	// time in which one takes the upstreams of another.
	noHolderWait = time.Second
	// lateFactor times the objective is when an answer is of no use any more.
	lateFactor = 3
)

// New returns a Forwarder without jobs.
func New(dataCentre string, timing holder.Timing, peers *tracker.Tracker) *Forwarder {
	return &Forwarder{
		dataCentre: dataCentre, timing: timing, peers: peers, jobs: map[string]*job{}, sent: map[string]sentLoad{},
	}
}

// Count returns the number of jobs whose callers wait.
func (f *Forwarder) Count() int { return len(f.jobs) }

// Knows reports whether a caller of the job waits here.
func (f *Forwarder) Knows(id string) bool { return f.jobs[id] != nil }

// Submit takes a job of a caller. One that is under way is joined.
func (f *Forwarder) Submit(now time.Time, o holder.Order, waiter uint64, out *Effects) {
	f.out = out
	if j := f.jobs[o.ID]; j != nil {
		j.waiters = append(j.waiters, waiter)
		j.order.Remaining = max(j.order.Remaining, now.Sub(j.arrivedAt)+o.Remaining)
		return
	}
	j := &job{order: o, waiters: []uint64{waiter}, arrivedAt: now}
	f.jobs[o.ID] = j
	f.forward(now, j)
}

// forward gives a job to the best holder that has not refused it.
func (f *Forwarder) forward(now time.Time, j *job) {
	vm := f.choose(now, j)
	if vm == "" && !j.order.AcceptLate && j.leastVM != "" {
		j.order.AcceptLate = true
		vm = j.leastVM
	}
	if vm == "" && j.leastVM == "" && f.expectsHolder(now) && now.Before(j.waitsUntil()) {
		j.to = ""
		return
	}
	if vm == "" {
		f.refuse(now, j)
		return
	}
	f.attempt++
	j.order.Attempt = f.attempt
	j.to, j.lostAt = vm, time.Time{}
	j.toLife = f.peers.Peer(vm).Incarnation
	j.tried = append(j.tried, vm)
	f.send(now, j)
}

// expectsHolder reports whether a state VM is within reach that may hold upstreams
// in a moment.
func (f *Forwarder) expectsHolder(now time.Time) bool {
	for _, p := range f.peers.Heard(now) {
		if p.IsState && !p.IsLeaving {
			return true
		}
	}
	return false
}

// waitsUntil is how long a job may wait for a holder: while it can still end on
// time, and no longer than a holder needs to take upstreams.
func (j *job) waitsUntil() time.Time {
	return j.arrivedAt.Add(min(j.order.Objective-j.order.Chain(), holderWait))
}

// holderWait is how long a state VM that has started needs to hold upstreams.
const holderWait = 600 * time.Millisecond

func (f *Forwarder) send(now time.Time, j *job) {
	o := j.order
	o.Remaining -= now.Sub(j.arrivedAt)
	o.Objective = max(j.order.Objective-now.Sub(j.arrivedAt), time.Millisecond)
	s := f.sent[j.to]
	s.milliCores += o.MilliCores()
	f.sent[j.to] = s
	f.out.Sends = append(f.out.Sends, Send{To: j.to, Order: &o})
}

// refuse answers a job that no holder takes.
func (f *Forwarder) refuse(now time.Time, j *job) {
	wait := j.leastWait
	if j.leastVM == "" {
		wait = noHolderWait
	}
	result := NotRun
	if j.started {
		result = Unknown
	}
	f.answer(now, j, Verdict{Result: result, RetryAfter: wait, Reason: "no holder can serve the job in time"})
}

// choose returns the holder with room for the job, the one of this data centre
// before others, or else the one with the shortest wait.
func (f *Forwarder) choose(now time.Time, j *job) string {
	type candidate struct {
		vm    string
		local bool
		rack  bool
		free  int64
		wait  time.Duration
	}
	needs := j.order.MilliCores()
	rack := j.order.Steps[0].DataRack
	var list []candidate
	for _, p := range f.peers.Heard(now) {
		if p.IsLeaving || p.Load.TotalMilliCores == 0 || slices.Contains(j.tried, p.VM) {
			continue
		}
		s := f.sent[p.VM]
		if !s.at.Equal(p.HeardAt) {
			s = sentLoad{at: p.HeardAt}
			f.sent[p.VM] = s
		}
		list = append(list, candidate{
			vm: p.VM, local: p.DataCentre == f.dataCentre, rack: rack != "" && slices.Contains(p.Load.Racks, rack),
			free: p.Load.FreeMilliCores - s.milliCores, wait: p.Load.Backlog,
		})
	}
	if len(list) == 0 {
		return ""
	}
	hasRoom := func(c candidate) bool { return c.free >= needs && c.wait == 0 }
	sort.SliceStable(list, func(i, k int) bool {
		a, b := list[i], list[k]
		switch {
		case hasRoom(a) != hasRoom(b):
			return hasRoom(a)
		case a.rack != b.rack:
			return a.rack
		case hasRoom(a) && a.local != b.local:
			return a.local
		case !hasRoom(a) && a.wait != b.wait:
			return a.wait < b.wait
		}
		return a.free > b.free
	})
	return list[0].vm
}

// Answer takes what a holder says of a job.
func (f *Forwarder) Answer(now time.Time, from string, a holder.Answer, out *Effects) {
	f.out = out
	j := f.jobs[a.ID]
	if j == nil {
		return
	}
	isCurrent := from == j.to && a.Attempt == j.order.Attempt
	switch a.Outcome {
	case holder.Completed, holder.Failed:
		result := Completed
		if a.Outcome == holder.Failed {
			result = Failed
		}
		if !isCurrent {
			f.withdraw(j)
		}
		f.answer(now, j, Verdict{Result: result, Reason: a.Reason})
	case holder.Cancelled:
		if isCurrent {
			f.answer(now, j, Verdict{Result: Cancelled})
		}
	case holder.Busy:
		if !isCurrent {
			return
		}
		if j.leastVM == "" || a.Wait < j.leastWait {
			j.leastVM, j.leastWait = from, a.Wait
		}
		f.forward(now, j)
	case holder.Lost:
		if isCurrent {
			j.started = j.started || a.Started
			f.resend(now, j)
		}
	}
}

// resend gives a job, nothing of which runs any more, to another holder.
func (f *Forwarder) resend(now time.Time, j *job) {
	j.resends++
	end := now.Add(j.order.Chain())
	isUseless := end.After(j.arrivedAt.Add(lateFactor*j.order.Objective)) || end.After(j.arrivedAt.Add(j.order.Remaining))
	if j.resends > maxResends || isUseless {
		f.giveUp(now, j, "its holder was lost")
		return
	}
	f.decide(holder.Decision{Event: "job-resent", Job: j.order.ID, Request: j.order.Request, Peer: j.to, IsFault: true})
	j.tried = []string{j.to}
	j.leastVM, j.leastWait = "", 0
	j.order.AcceptLate = true
	f.forward(now, j)
}

// giveUp answers a job whose holder was lost.
func (f *Forwarder) giveUp(now time.Time, j *job, reason string) {
	result := Unknown
	if !j.started {
		result = NotRun
	}
	f.answer(now, j, Verdict{Result: result, RetryAfter: f.timing.Chain(), Reason: reason})
}

// answer tells all callers of a job and forgets it.
func (f *Forwarder) answer(now time.Time, j *job, v Verdict) {
	delete(f.jobs, j.order.ID)
	f.decide(holder.Decision{
		Event: "answered-" + v.Result.Name(), Job: j.order.ID, Request: j.order.Request, Peer: j.to,
		Reason: v.Reason, Wait: now.Sub(j.arrivedAt), IsFault: v.Result != Completed,
	})
	for _, w := range j.waiters {
		v.Waiter = w
		f.out.Verdicts = append(f.out.Verdicts, v)
	}
}

// Name returns the name of a result in kebab case.
func (r Result) Name() string {
	switch r {
	case Completed:
		return "completed"
	case Failed:
		return "failed"
	case Cancelled:
		return "cancelled"
	case NotRun:
		return "not-run"
	case Unknown:
		return "unknown"
	}
	return "timed-out"
}

func (f *Forwarder) decide(d holder.Decision) { f.out.Decisions = append(f.out.Decisions, d) }

// Leave is called when a caller is gone; its job is given up with the last one.
func (f *Forwarder) Leave(now time.Time, id string, waiter uint64, out *Effects) {
	f.out = out
	j := f.jobs[id]
	if j == nil {
		return
	}
	i := slices.Index(j.waiters, waiter)
	if i < 0 {
		return
	}
	j.waiters = slices.Delete(j.waiters, i, i+1)
	if len(j.waiters) > 0 {
		return
	}
	delete(f.jobs, id)
	f.decide(holder.Decision{Event: "caller-gone", Job: id, Request: j.order.Request, Peer: j.to, Wait: now.Sub(j.arrivedAt)})
	f.withdraw(j)
}

// withdraw gives up a job at its holder.
func (f *Forwarder) withdraw(j *job) {
	if j.to != "" {
		f.out.Sends = append(f.out.Sends, Send{To: j.to, Cancel: &Cancel{ID: j.order.ID}})
	}
}

// CancelJob gives up a job wherever it is, as its caller has asked.
func (f *Forwarder) CancelJob(now time.Time, id string, out *Effects) {
	f.out = out
	f.cancelEverywhere(id)
	f.cancels = append(f.cancels, repeatedCancel{id: id, at: now.Add(cancelEvery), n: 1})
}

func (f *Forwarder) cancelEverywhere(id string) {
	for _, vm := range f.peers.Known() {
		f.out.Sends = append(f.out.Sends, Send{To: vm, Cancel: &Cancel{ID: id, Everywhere: true}})
	}
}

// PeerUp sends the jobs of a holder again, whose messages may have been lost
// with the former link. A holder that knows them goes on.
func (f *Forwarder) PeerUp(now time.Time, vm string, out *Effects) {
	f.out = out
	for _, j := range f.jobs {
		p := f.peers.Peer(vm)
		if j.to == vm && j.lostAt.IsZero() && p != nil && p.Incarnation == j.toLife {
			f.send(now, j)
		}
	}
}

// Tick lets time pass.
func (f *Forwarder) Tick(now time.Time, out *Effects) {
	f.out = out
	for _, j := range f.jobs {
		f.tend(now, j)
	}
	left := f.cancels[:0]
	for _, c := range f.cancels {
		if !now.Before(c.at) {
			f.cancelEverywhere(c.id)
			c.n, c.at = c.n+1, now.Add(cancelEvery)
		}
		if c.n < cancelRepeats {
			left = append(left, c)
		}
	}
	f.cancels = left
}

// tend gives up a job whose deadline has passed or whose holder is lost.
func (f *Forwarder) tend(now time.Time, j *job) {
	if now.After(j.arrivedAt.Add(j.order.Remaining)) {
		f.withdraw(j)
		f.answer(now, j, Verdict{Result: TimedOut, Reason: "the caller's deadline has passed"})
		return
	}
	if j.to == "" {
		f.forward(now, j)
		return
	}
	p := f.peers.Peer(j.to)
	if j.lostAt.IsZero() {
		if p != nil && f.peers.IsHeard(now, j.to) && p.Incarnation == j.toLife {
			return
		}
		f.lose(now, j, p)
		return
	}
	if now.After(j.lostAt.Add(f.timing.Chain())) {
		f.resend(now, j)
	}
}

// lose waits until nothing of a job can run at a holder that is not heard, or
// answers at once if no time would be left then.
func (f *Forwarder) lose(now time.Time, j *job, p *tracker.Peer) {
	j.lostAt = now
	if p != nil && p.Incarnation == j.toLife && !p.HeardAt.IsZero() {
		j.lostAt = p.HeardAt
	}
	j.started = true
	f.decide(holder.Decision{Event: "holder-lost", Job: j.order.ID, Request: j.order.Request, Peer: j.to, IsFault: true})
	f.withdraw(j)
	end := j.lostAt.Add(f.timing.Chain() + j.order.Chain())
	if end.After(j.arrivedAt.Add(min(lateFactor*j.order.Objective, j.order.Remaining))) {
		f.giveUp(now, j, "its holder is not within reach")
	}
}
