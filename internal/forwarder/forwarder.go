// Package forwarder decides at an entry which holder is given a job, when it is
// given to another one, and what its caller is told.
package forwarder

import (
	"slices"
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

// Response is the answer to one waiting caller.
type Response struct {
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
	ID   string
	Part int
	// Attempt is the last one that it is about.
	Attempt int
	// Everywhere says that the caller asked for it, so that all parts end.
	Everywhere bool
}

// Effects is what has to be done after an input.
type Effects struct {
	Sends     []Send
	Responses []Response
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
	// withdrawn are the latest withdrawals, which may be lost on their way.
	withdrawn []withdrawal
	// holderlessSince is when the last holder was lost, zero while one is heard.
	holderlessSince time.Time
	// sent is what was sent to each holder since its last heartbeat.
	sent map[string]sentLoad
	out  *Effects
}

// job is a job whose caller waits here.
type job struct {
	order     holder.Order
	waiters   []uint64
	arrivedAt time.Time
	parts     []*part
	left      int
	// started says that a task of the job was started or may have been.
	started bool
	// firstAttempt is the least number of an attempt at this submission.
	firstAttempt int
}

// part is the tasks of a job that one holder runs.
type part struct {
	job *job
	// order is what the holder was sent last.
	order holder.Order
	// to is the holder, in the life of toLife; empty while none is within reach.
	to, toLife string
	tried      []string
	leastWait  time.Duration
	leastVM    string
	// lostAt is when the holder was found to be lost.
	lostAt time.Time
	sentAt time.Time
	// isRelayed says that the order went over a third VM last.
	isRelayed bool
	resends   int
	done      bool
}

// withdrawal is a part that a holder was told to give up.
type withdrawal struct {
	to     string
	cancel Cancel
	// isRelayed says that it went over a third VM last, and may be lost.
	isRelayed bool
	sentAt    time.Time
	until     time.Time
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
	// repeatEvery is how often an order is sent again that went over a third VM, which
	// does not tell when it loses one, and repeatWithdrawalEvery a withdrawal, for
	// which the chain of leases does not wait.
	repeatEvery           = 400 * time.Millisecond
	repeatWithdrawalEvery = 100 * time.Millisecond
	// maxResends bounds how often a job is given to another holder after the
	// former one was lost.
	maxResends = 2
	// noHolderWait is told to callers while no holder is within reach: about the
	// time in which one takes the upstreams of another.
	noHolderWait = time.Second
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
	j := &job{order: o, waiters: []uint64{waiter}, arrivedAt: now, firstAttempt: f.attempt + 1}
	f.jobs[o.ID] = j
	f.split(now, j)
	for _, p := range j.parts {
		if f.jobs[o.ID] == j {
			f.forward(now, p)
		}
	}
}

// forward gives a part to the best holder that has not refused it.
func (f *Forwarder) forward(now time.Time, p *part) {
	vm := p.to
	if vm == "" || len(p.tried) > 0 {
		vm = f.choose(now, p)
	}
	if vm == "" && p.leastVM != "" && !p.order.AcceptLate {
		p.order.AcceptLate = true
		vm = p.leastVM
	}
	if vm == "" && p.leastVM != "" && len(p.job.parts) > 1 && !p.order.Force {
		p.order.Force = true
		vm = p.leastVM
	}
	if vm == "" && p.leastVM == "" && f.expectsHolder(now) && now.Before(p.waitsUntil()) {
		p.to = ""
		return
	}
	if vm == "" {
		f.refuse(now, p)
		return
	}
	f.attempt++
	p.order.Attempt = f.attempt
	p.to, p.lostAt = vm, time.Time{}
	p.toLife = f.peers.Peer(vm).Incarnation
	p.tried = append(p.tried, vm)
	f.send(now, p)
}

// observeHolders notes since when no holder is heard: the others may have gone, or
// this VM stood still and their heartbeats are on their way.
func (f *Forwarder) observeHolders(now time.Time) {
	for _, p := range f.peers.Heard(now) {
		if !p.IsLeaving && p.Load.TotalMilliCores > 0 {
			f.holderlessSince = time.Time{}
			return
		}
	}
	if f.holderlessSince.IsZero() {
		f.holderlessSince = now
	}
}

// expectsHolder reports whether a holder may be there in a moment: the last was lost
// just now, or a state VM is within reach.
func (f *Forwarder) expectsHolder(now time.Time) bool {
	f.observeHolders(now)
	if !f.holderlessSince.IsZero() && now.Sub(f.holderlessSince) < holderWait {
		return true
	}
	for _, p := range f.peers.Heard(now) {
		if p.IsState && !p.IsLeaving {
			return true
		}
	}
	return false
}

// waitsUntil is how long a part may wait for a holder: while it can still end on
// time, and no longer than a holder needs to take upstreams.
func (p *part) waitsUntil() time.Time {
	return p.job.arrivedAt.Add(min(p.job.order.Objective-p.job.order.Chain(), holderWait))
}

// holderWait is how long a state VM that has started, or an entry that stands in,
// needs to hold upstreams.
const holderWait = 600 * time.Millisecond

func (f *Forwarder) send(now time.Time, p *part) {
	o := p.order
	waited := now.Sub(p.job.arrivedAt)
	o.Remaining = p.job.order.Remaining - waited
	o.Objective = max(p.job.order.Objective-waited, time.Millisecond)
	p.sentAt, p.isRelayed = now, f.peers.Route(now, p.to) != ""
	f.countSent(p.to, o.MilliCores())
	f.decide(holder.Decision{Event: "job-forwarded", Job: o.ID, Request: o.Request, Peer: p.to, Run: o.Attempt, Wait: waited})
	f.out.Sends = append(f.out.Sends, Send{To: p.to, Order: &o})
}

// refuse answers a job of which no holder takes a part.
func (f *Forwarder) refuse(now time.Time, p *part) {
	wait := p.leastWait
	if p.leastVM == "" {
		wait = noHolderWait
	}
	f.end(now, p.job, Response{Result: p.unserved(), RetryAfter: wait, Reason: "no holder can serve the job in time"})
}

// unserved is what the caller of a job is told of which this part is not served: that
// nothing has run only if neither this part nor another one may have started.
func (p *part) unserved() Result {
	if p.job.started {
		return Unknown
	}
	for _, other := range p.job.parts {
		if other != p && len(other.tried) > 0 {
			return Unknown
		}
	}
	return NotRun
}

// Answer takes what a holder says of a part of a job.
func (f *Forwarder) Answer(now time.Time, from string, a holder.Answer, out *Effects) {
	f.out = out
	j := f.jobs[a.ID]
	if j == nil || a.Attempt < j.firstAttempt || a.Part >= len(j.parts) || j.parts[a.Part].done {
		return
	}
	p := j.parts[a.Part]
	isCurrent := from == p.to && a.Attempt == p.order.Attempt
	switch a.Outcome {
	case holder.Completed:
		if !isCurrent {
			f.withdraw(now, p)
		}
		p.done = true
		j.left--
		if j.left == 0 {
			f.end(now, j, Response{Result: Completed})
		}
	case holder.Failed:
		f.end(now, j, Response{Result: Failed, Reason: a.Reason})
	case holder.Cancelled:
		if isCurrent {
			f.end(now, j, Response{Result: Cancelled})
		}
	case holder.Busy:
		if !isCurrent {
			return
		}
		j.started = j.started || a.Started
		if p.leastVM == "" || a.Wait < p.leastWait {
			p.leastVM, p.leastWait = from, a.Wait
		}
		f.forward(now, p)
	case holder.Lost:
		if isCurrent {
			j.started = j.started || a.Started
			f.resend(now, p)
		}
	}
}

// resend gives a part, nothing of which runs any more, to another holder.
func (f *Forwarder) resend(now time.Time, p *part) {
	j := p.job
	p.resends++
	end := now.Add(j.order.Chain())
	isUseless := end.After(j.arrivedAt.Add(holder.LateFactor*j.order.Objective)) || end.After(j.arrivedAt.Add(j.order.Remaining))
	if p.resends > maxResends || isUseless {
		f.giveUp(now, p, "its holder was lost")
		return
	}
	f.decide(holder.Decision{Event: "job-resent", Job: j.order.ID, Request: j.order.Request, Peer: p.to, IsFault: true})
	p.tried = []string{p.to}
	p.leastVM, p.leastWait = "", 0
	p.order.AcceptLate = true
	f.forward(now, p)
}

// giveUp answers a job of which a part was lost with its holder.
func (f *Forwarder) giveUp(now time.Time, p *part, reason string) {
	f.end(now, p.job, Response{Result: p.unserved(), RetryAfter: f.timing.Chain(), Reason: reason})
}

// end tells all callers of a job, gives up what is left of it, and forgets it.
func (f *Forwarder) end(now time.Time, j *job, v Response) {
	delete(f.jobs, j.order.ID)
	last := ""
	for _, p := range j.parts {
		last = p.to
		if !p.done && v.Result != Cancelled {
			f.withdraw(now, p)
		}
	}
	f.decide(holder.Decision{
		Event: "answered-" + v.Result.Name(), Job: j.order.ID, Request: j.order.Request, Peer: last,
		Reason: v.Reason, Wait: now.Sub(j.arrivedAt), IsFault: v.Result != Completed,
	})
	for _, w := range j.waiters {
		v.Waiter = w
		f.out.Responses = append(f.out.Responses, v)
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
	f.decide(holder.Decision{Event: "caller-gone", Job: id, Request: j.order.Request, Wait: now.Sub(j.arrivedAt)})
	for _, p := range j.parts {
		if !p.done {
			f.withdraw(now, p)
		}
	}
}

// withdraw gives up a part at its holder.
func (f *Forwarder) withdraw(now time.Time, p *part) {
	if p.to != "" && len(p.tried) > 0 {
		w := withdrawal{
			to: p.to, cancel: Cancel{ID: p.order.ID, Part: p.order.Part, Attempt: p.order.Attempt},
			until: now.Add(f.timing.Chain()),
		}
		f.sendWithdrawal(now, &w)
		f.withdrawn = append(f.withdrawn, w)
	}
}

func (f *Forwarder) sendWithdrawal(now time.Time, w *withdrawal) {
	c := w.cancel
	w.sentAt, w.isRelayed = now, f.peers.Route(now, w.to) != ""
	f.out.Sends = append(f.out.Sends, Send{To: w.to, Cancel: &c})
}

// repeatWithdrawals sends again what may have been lost on the way over a third VM: at
// once where the direct way is open again, since heartbeats on it keep the holder from
// giving the job up by itself.
func (f *Forwarder) repeatWithdrawals(now time.Time) {
	left := f.withdrawn[:0]
	for i := range f.withdrawn {
		w := f.withdrawn[i]
		if now.After(w.until) {
			continue
		}
		if w.isRelayed && (f.peers.IsDirect(now, w.to) || now.Sub(w.sentAt) >= repeatWithdrawalEvery) {
			f.sendWithdrawal(now, &w)
		}
		left = append(left, w)
	}
	f.withdrawn = left
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

// PeerUp sends the jobs and withdrawals of a holder again, which may have been lost
// with the former link. A holder that knows them goes on.
func (f *Forwarder) PeerUp(now time.Time, vm string, out *Effects) {
	f.out = out
	peer := f.peers.Peer(vm)
	if peer == nil {
		return
	}
	for _, j := range f.jobs {
		for _, p := range j.parts {
			if p.to == vm && !p.done && p.lostAt.IsZero() && peer.Incarnation == p.toLife {
				f.send(now, p)
			}
		}
	}
	for i := range f.withdrawn {
		if w := &f.withdrawn[i]; w.to == vm && !now.After(w.until) {
			f.sendWithdrawal(now, w)
		}
	}
}

// Tick lets time pass.
func (f *Forwarder) Tick(now time.Time, out *Effects) {
	f.out = out
	f.observeHolders(now)
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
	f.repeatWithdrawals(now)
}

// tend gives up a job whose deadline has passed, and parts whose holder is lost.
func (f *Forwarder) tend(now time.Time, j *job) {
	if now.After(j.arrivedAt.Add(j.order.Remaining)) {
		f.end(now, j, Response{Result: TimedOut, Reason: "the caller's deadline has passed"})
		return
	}
	for _, p := range j.parts {
		if !p.done && f.jobs[j.order.ID] == j {
			f.tendPart(now, p)
		}
	}
}

func (f *Forwarder) tendPart(now time.Time, p *part) {
	if p.to == "" {
		f.forward(now, p)
		return
	}
	peer := f.peers.Peer(p.to)
	if p.lostAt.IsZero() {
		if peer != nil && f.peers.IsHeard(now, p.to) && peer.Incarnation == p.toLife {
			if p.isRelayed && now.Sub(p.sentAt) >= repeatEvery {
				f.send(now, p)
			}
			return
		}
		f.lose(now, p)
		return
	}
	if now.After(p.lostAt.Add(f.timing.Chain())) {
		f.resend(now, p)
	}
}

// lose waits until nothing of a part can run at a holder that is not heard, or
// answers at once if no time would be left then. The holder may have heard this VM's
// heartbeats until now.
func (f *Forwarder) lose(now time.Time, p *part) {
	j := p.job
	p.lostAt = now
	j.started = true
	f.decide(holder.Decision{Event: "holder-lost", Job: j.order.ID, Request: j.order.Request, Peer: p.to, IsFault: true})
	f.withdraw(now, p)
	end := p.lostAt.Add(f.timing.Chain() + j.order.Chain())
	if end.After(j.arrivedAt.Add(min(holder.LateFactor*j.order.Objective, j.order.Remaining))) {
		f.giveUp(now, p, "its holder is not within reach")
	}
}
