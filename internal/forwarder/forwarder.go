// Package forwarder assigns the jobs of an entry to holders, reassigns them when a
// holder is lost, and decides the result that each caller receives.
package forwarder

import (
	"slices"
	"time"

	"bronzedrift.example/bronzedrift/internal/balancer"
	"bronzedrift.example/bronzedrift/internal/holder"
	"bronzedrift.example/bronzedrift/internal/tracker"
)

// Result is the outcome of a job as reported to its caller.
type Result int

// The possible results of a job.
const (
	Completed Result = iota + 1
	Failed
	Cancelled
	// NotRun means that no task of the job has run or will run.
	NotRun
	// Unknown means that tasks of the job may have run. None of them is still running
	// by the time the caller may resubmit the job.
	Unknown
	// TimedOut means that the caller's deadline has passed.
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

// Cancel asks a holder to stop one part of a job, or all parts that it has.
type Cancel struct {
	ID   string
	Part int
	// Attempt is the highest attempt of the part to stop. It is not used with AllParts.
	Attempt int
	// AllParts is set when the caller cancelled the job: all parts stop.
	AllParts bool
}

// Effects collects the messages, responses and decision records that an input causes.
type Effects struct {
	Sends     []Send
	Responses []Response
	// Cancellations are the outcomes for callers that have cancelled a job.
	Cancellations []CancelOutcome
	Decisions     []holder.Decision
}

// Forwarder manages the jobs of an entry. It is not safe for concurrent use.
type Forwarder struct {
	dataCentre    string
	timing        holder.Timing
	peers         *tracker.Tracker
	jobs          map[string]*job
	lastAttempt   int
	cancellations []*cancellation
	// withdrawals are kept for resending until they expire, as they may be lost in transit.
	withdrawals []withdrawal
	// noHolderSince is the time since which no holder is reachable, zero while one is.
	noHolderSince time.Time
	// sentLoads is the load sent to each holder since its last heartbeat.
	sentLoads map[string]sentLoad
	// balancer is nil if jobs go to the holder that reports the most free slots.
	balancer *balancer.Balancer
	out      *Effects
}

// job is a job with at least one caller waiting at this entry.
type job struct {
	order           holder.Order
	waiters         []uint64
	arrivedAt       time.Time
	parts           []*part
	unfinishedParts int
	// mayHaveStarted is set once a task of the job has started or may have started.
	mayHaveStarted bool
	// firstAttempt is the lowest attempt number of this submission.
	firstAttempt int
}

// part is the subset of a job's tasks that is assigned to one holder.
type part struct {
	job *job
	// order is the order that was last sent to the holder.
	order holder.Order
	// holder is the assigned holder, or the one chosen by split before the first order is
	// sent. It is empty while no holder is reachable. holderIncarnation is its incarnation
	// at the time of assignment.
	holder, holderIncarnation string
	triedHolders              []string
	shortestWait              time.Duration
	shortestWaitHolder        string
	// isRefused is set while the holder has refused the latest order, so that it has nothing of the part.
	isRefused bool
	// isShed is set once a holder has refused the part for want of processor time: it is not asked again.
	isShed bool
	// evacuatedHolders are those that gave the part back because of an evacuation.
	evacuatedHolders []string
	// holderLostAt is when the holder was found to be lost, zero while it is not.
	holderLostAt time.Time
	// path is that of the latest order.
	path          path
	reassignments int
	done          bool
}

// withdrawal is a request to a holder to stop a part.
type withdrawal struct {
	holder    string
	cancel    Cancel
	path      path
	expiresAt time.Time
}

type sentLoad struct {
	milliCores  int64
	heartbeatAt time.Time
}

const (
	// Relayed messages are resent because a third VM does not report a message that it
	// loses. Withdrawals are resent more often, since the wait for the leases to end
	// (holder.Timing.MaxRunAfterLoss) does not become longer when one is lost.
	relayedOrderInterval      = 400 * time.Millisecond
	relayedWithdrawalInterval = 100 * time.Millisecond
	// maxReassignments limits how often a part is reassigned after its holder was lost.
	maxReassignments = 2
	// noHolderRetryAfter is the retry delay reported while no holder is reachable: about
	// the time in which one holder takes over the upstreams of another.
	noHolderRetryAfter = time.Second
)

// New returns a Forwarder without jobs. A nil balancer sends each job to the holder that
// reports the most free slots.
func New(dataCentre string, timing holder.Timing, peers *tracker.Tracker, b *balancer.Balancer) *Forwarder {
	return &Forwarder{
		dataCentre: dataCentre, timing: timing, peers: peers, jobs: map[string]*job{}, sentLoads: map[string]sentLoad{}, balancer: b,
	}
}

// Count returns the number of jobs with waiting callers.
func (f *Forwarder) Count() int { return len(f.jobs) }

// HasJob reports whether a caller of the job is waiting at this entry.
func (f *Forwarder) HasJob(id string) bool { return f.jobs[id] != nil }

// Submit accepts a job. If it is already in progress, the waiter joins it.
func (f *Forwarder) Submit(now time.Time, o holder.Order, waiter uint64, out *Effects) {
	f.out = out
	if j := f.jobs[o.ID]; j != nil {
		j.waiters = append(j.waiters, waiter)
		j.order.Remaining = max(j.order.Remaining, now.Sub(j.arrivedAt)+o.Remaining)
		return
	}
	j := &job{order: o, waiters: []uint64{waiter}, arrivedAt: now, firstAttempt: f.lastAttempt + 1}
	f.jobs[o.ID] = j
	f.split(now, j)
	for _, p := range j.parts {
		if f.jobs[o.ID] == j {
			f.forward(now, p)
		}
	}
}

// forward assigns a part to the best holder that has not refused it. If none is left, it
// asks the one that reported the shortest wait again, first with AcceptLate and then, if
// the job has several parts, with Force. If no holder has refused the part and one may soon
// be available, the part stays unassigned until the next tick, up to assignmentDeadline.
// Otherwise the job is refused.
func (f *Forwarder) forward(now time.Time, p *part) {
	vm := p.holder
	if vm == "" || len(p.triedHolders) > 0 {
		vm = f.chooseHolder(now, p)
	}
	if vm == "" && !p.order.AcceptLate {
		vm = f.retryHolder(now, p)
		p.order.AcceptLate = vm != ""
	}
	if vm == "" && len(p.job.parts) > 1 && !p.order.Force {
		vm = f.retryHolder(now, p)
		p.order.Force = vm != ""
	}
	if vm == "" && p.shortestWaitHolder == "" && !p.isShed && !f.isShed(now, &p.order) && f.isHolderExpected(now) && now.Before(p.assignmentDeadline()) {
		p.holder = ""
		return
	}
	if vm == "" {
		f.refuse(now, p)
		return
	}
	f.lastAttempt++
	p.order.Attempt = f.lastAttempt
	p.holder, p.holderLostAt = vm, time.Time{}
	p.holderIncarnation = f.peers.Peer(vm).Incarnation
	p.triedHolders = append(p.triedHolders, vm)
	f.sendOrder(now, p)
}

// isShed reports whether a reachable holder refuses the job for want of processor time. One that refuses
// no job is asked before, so that there is none.
func (f *Forwarder) isShed(now time.Time, o *holder.Order) bool {
	work := o.Work()
	for _, p := range f.peers.Reachable(now) {
		if p.Load.ShedLevel.Refuses(o.ID, work) {
			return true
		}
	}
	return false
}

// retryHolder returns the holder to ask again for a part that no other holder is likely to accept
// in time, or an empty string: the one that reported the shortest wait. If an evacuation closed
// that one, it is the best of those that are not evacuated.
func (f *Forwarder) retryHolder(now time.Time, p *part) string {
	if len(p.evacuatedHolders) == 0 || p.shortestWaitHolder != "" && !slices.Contains(p.evacuatedHolders, p.shortestWaitHolder) {
		return p.shortestWaitHolder
	}
	list := f.candidates(now, &p.order, p.order.Steps[0].Count, p.evacuatedHolders)
	if len(list) == 0 {
		return ""
	}
	return list[0].vm
}

// updateNoHolderSince records since when no holder with upstreams is reachable. There are
// two possible causes: the holders have failed, or this VM was paused and their heartbeats
// are still queued.
func (f *Forwarder) updateNoHolderSince(now time.Time) {
	for _, p := range f.peers.Reachable(now) {
		if !p.IsLeaving && p.Load.TotalMilliCores > 0 {
			f.noHolderSince = time.Time{}
			return
		}
	}
	if f.noHolderSince.IsZero() {
		f.noHolderSince = now
	}
}

// isHolderExpected reports whether a holder may soon be available: the last one was lost
// less than takeoverTime ago, or a state VM is reachable that may take upstreams. One whose
// upstreams are all evacuated has nothing to offer until the evacuation is cancelled.
func (f *Forwarder) isHolderExpected(now time.Time) bool {
	f.updateNoHolderSince(now)
	isEvacuated := false
	for _, p := range f.peers.Reachable(now) {
		if p.IsState && !p.IsLeaving && !p.Load.IsEvacuated {
			return true
		}
		isEvacuated = isEvacuated || p.Load.IsEvacuated
	}
	if f.noHolderSince.IsZero() || now.Sub(f.noHolderSince) >= takeoverTime {
		return false
	}
	return !isEvacuated || f.hasLostHolder(now)
}

// hasLostHolder reports whether a VM that had upstreams to offer is out of reach. Another one may
// take them.
func (f *Forwarder) hasLostHolder(now time.Time) bool {
	for _, vm := range f.peers.Known() {
		if p := f.peers.Peer(vm); p.Load.TotalMilliCores > 0 && !f.peers.IsReachable(now, vm) {
			return true
		}
	}
	return false
}

// assignmentDeadline returns until when a part may wait for a holder: as long as it can
// still meet its objective, but no longer than takeoverTime.
func (p *part) assignmentDeadline() time.Time {
	return p.job.arrivedAt.Add(min(p.job.order.Objective-p.job.order.CriticalPath(), takeoverTime))
}

// takeoverTime is how long a newly started state VM, or an entry in fallback mode, needs
// to take its upstreams.
const takeoverTime = 600 * time.Millisecond

func (f *Forwarder) sendOrder(now time.Time, p *part) {
	o := p.order
	o.Origin = f.dataCentre
	waited := now.Sub(p.job.arrivedAt)
	o.Remaining = p.job.order.Remaining - waited
	o.Objective = max(p.job.order.Objective-waited, time.Millisecond)
	p.path, p.isRefused = f.pathTo(now, p.holder), false
	f.addSentLoad(p.holder, o.MilliCores())
	f.recordDecision(holder.Decision{Event: "job-forwarded", Job: o.ID, Request: o.Request, Peer: p.holder, Run: o.Attempt, Wait: waited})
	f.out.Sends = append(f.out.Sends, Send{To: p.holder, Order: &o})
}

// refuse answers a job that has a part which no holder accepts.
func (f *Forwarder) refuse(now time.Time, p *part) {
	wait := p.shortestWait
	if p.shortestWaitHolder == "" {
		wait = noHolderRetryAfter
	}
	f.finish(now, p.job, Response{Result: p.resultIfUnserved(), RetryAfter: wait, Reason: "no holder can serve the job in time"})
}

// resultIfUnserved returns the result of a job that ends because this part is not served.
// It is NotRun only if neither this part nor another one can have started.
func (p *part) resultIfUnserved() Result {
	if p.job.mayHaveStarted {
		return Unknown
	}
	for _, other := range p.job.parts {
		if other != p && len(other.triedHolders) > 0 {
			return Unknown
		}
	}
	return NotRun
}

// Answer handles a holder's answer for a part of a job. From an earlier attempt of the same
// submission, only Completed and Failed count; the current attempt is then withdrawn. The same
// holds for another incarnation of the holder than the one that has the part: that it has not
// started anything says nothing of the runs that its former process has left.
func (f *Forwarder) Answer(now time.Time, from string, a holder.Answer, out *Effects) {
	f.out = out
	j := f.jobs[a.ID]
	if j == nil || a.Attempt < j.firstAttempt || a.Part >= len(j.parts) || j.parts[a.Part].done {
		return
	}
	p := j.parts[a.Part]
	isSameProcess := a.Incarnation == "" || a.Incarnation == p.holderIncarnation
	isCurrent := from == p.holder && a.Attempt == p.order.Attempt && isSameProcess
	if isCurrent && a.Reason == holder.EvacuatedReason {
		p.evacuatedHolders = append(p.evacuatedHolders, from)
	}
	switch a.Outcome {
	case holder.Completed:
		if !isCurrent {
			f.withdraw(now, p)
		}
		p.done = true
		j.unfinishedParts--
		if j.unfinishedParts == 0 {
			f.finish(now, j, Response{Result: Completed})
		}
	case holder.Failed:
		f.finish(now, j, Response{Result: Failed, Reason: a.Reason})
	case holder.Cancelled:
		if isCurrent {
			f.finish(now, j, Response{Result: Cancelled})
		}
	case holder.Busy:
		if !isCurrent {
			return
		}
		j.mayHaveStarted = j.mayHaveStarted || a.Started
		p.isRefused = true
		switch {
		case a.Reason == holder.OverloadedReason && len(j.parts) == 1:
			p.isShed = true
		case p.shortestWaitHolder == "" || a.Wait < p.shortestWait:
			p.shortestWaitHolder, p.shortestWait = from, a.Wait
		}
		f.forward(now, p)
	case holder.Lost:
		if isCurrent {
			j.mayHaveStarted = j.mayHaveStarted || a.Started
			f.reassign(now, p)
		}
	}
}

// reassign gives a part to another holder. It must only be called once no task of the part
// can still be running.
func (f *Forwarder) reassign(now time.Time, p *part) {
	j := p.job
	p.reassignments++
	expectedEnd := now.Add(j.order.CriticalPath())
	isUseless := expectedEnd.After(j.arrivedAt.Add(holder.AbandonFactor*j.order.Objective)) || expectedEnd.After(j.arrivedAt.Add(j.order.Remaining))
	if p.reassignments > maxReassignments || isUseless {
		f.abandon(now, p, "its holder was lost")
		return
	}
	f.recordDecision(holder.Decision{Event: "job-resent", Job: j.order.ID, Request: j.order.Request, Peer: p.holder, IsFault: true})
	p.triedHolders = []string{p.holder}
	p.shortestWaitHolder, p.shortestWait, p.isShed = "", 0, false
	p.order.AcceptLate = true
	f.forward(now, p)
}

// AbandonAll ends all jobs, since this VM stops. Their callers get an answer each.
func (f *Forwarder) AbandonAll(now time.Time, out *Effects) {
	f.out = out
	for _, j := range f.jobs {
		result := NotRun
		for _, p := range j.parts {
			if len(p.triedHolders) > 0 {
				result = Unknown
			}
		}
		f.finish(now, j, Response{Result: result, RetryAfter: f.timing.MaxRunAfterLoss(), Reason: "this VM is stopping"})
	}
}

// abandon ends a job without a result because the holder of a part was lost.
func (f *Forwarder) abandon(now time.Time, p *part, reason string) {
	f.finish(now, p.job, Response{Result: p.resultIfUnserved(), RetryAfter: f.timing.MaxRunAfterLoss(), Reason: reason})
}

// finish responds to all callers of a job, withdraws its unfinished parts and removes it.
func (f *Forwarder) finish(now time.Time, j *job, v Response) {
	delete(f.jobs, j.order.ID)
	last := ""
	for _, p := range j.parts {
		last = p.holder
		if !p.done && v.Result != Cancelled {
			f.withdraw(now, p)
		}
	}
	f.recordDecision(holder.Decision{
		Event: "answered-" + v.Result.Name(), Job: j.order.ID, Request: j.order.Request, Peer: last,
		Reason: v.Reason, Wait: now.Sub(j.arrivedAt), IsFault: v.Result != Completed,
	})
	for _, w := range j.waiters {
		v.Waiter = w
		f.out.Responses = append(f.out.Responses, v)
	}
}

// Name returns the kebab-case name of the result.
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

func (f *Forwarder) recordDecision(d holder.Decision) { f.out.Decisions = append(f.out.Decisions, d) }

// RemoveWaiter removes a caller that has disconnected. The job is withdrawn with its last
// caller.
func (f *Forwarder) RemoveWaiter(now time.Time, id string, waiter uint64, out *Effects) {
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
	f.recordDecision(holder.Decision{Event: "caller-gone", Job: id, Request: j.order.Request, Wait: now.Sub(j.arrivedAt)})
	for _, p := range j.parts {
		if !p.done {
			f.withdraw(now, p)
		}
	}
}

// withdraw asks the holder of a part to stop it, if an order was sent that it has not refused.
func (f *Forwarder) withdraw(now time.Time, p *part) {
	if p.holder != "" && len(p.triedHolders) > 0 && !p.isRefused {
		w := withdrawal{
			holder: p.holder, cancel: Cancel{ID: p.order.ID, Part: p.order.Part, Attempt: p.order.Attempt},
			expiresAt: now.Add(f.timing.MaxRunAfterLoss()),
		}
		f.sendWithdrawal(now, &w)
		f.withdrawals = append(f.withdrawals, w)
	}
}

func (f *Forwarder) sendWithdrawal(now time.Time, w *withdrawal) {
	c := w.cancel
	w.path = f.pathTo(now, w.holder)
	f.out.Sends = append(f.out.Sends, Send{To: w.holder, Cancel: &c})
}

// resendWithdrawals resends withdrawals that may have been lost on their way: as long as heartbeats of
// this VM reach the holder, it does not abandon the job by itself.
func (f *Forwarder) resendWithdrawals(now time.Time) {
	remaining := f.withdrawals[:0]
	for i := range f.withdrawals {
		w := f.withdrawals[i]
		if now.After(w.expiresAt) {
			continue
		}
		if f.isResendDue(now, w.holder, w.path, relayedWithdrawalInterval) {
			f.sendWithdrawal(now, &w)
		}
		remaining = append(remaining, w)
	}
	f.withdrawals = remaining
}

// PeerUp resends the orders and withdrawals of a holder, which may have been lost with the
// previous link. A holder that already has them is not affected.
func (f *Forwarder) PeerUp(now time.Time, vm string, out *Effects) {
	f.out = out
	peer := f.peers.Peer(vm)
	if peer == nil {
		return
	}
	for _, j := range f.jobs {
		for _, p := range j.parts {
			if p.holder == vm && !p.done && p.holderLostAt.IsZero() && peer.Incarnation == p.holderIncarnation {
				f.sendOrder(now, p)
			}
		}
	}
	for i := range f.withdrawals {
		if w := &f.withdrawals[i]; w.holder == vm && !now.After(w.expiresAt) {
			f.sendWithdrawal(now, w)
		}
	}
}

// Tick handles deadlines, lost holders and resends. It is called periodically.
func (f *Forwarder) Tick(now time.Time, out *Effects) {
	f.out = out
	f.updateNoHolderSince(now)
	for _, j := range f.jobs {
		f.checkJob(now, j)
	}
	f.checkCancellations(now)
	f.resendWithdrawals(now)
}

// checkJob ends a job whose deadline has passed, and checks the holders of its parts.
func (f *Forwarder) checkJob(now time.Time, j *job) {
	if now.After(j.arrivedAt.Add(j.order.Remaining)) {
		f.finish(now, j, Response{Result: TimedOut, Reason: "the caller's deadline has passed"})
		return
	}
	for _, p := range j.parts {
		if !p.done && f.jobs[j.order.ID] == j {
			f.checkPart(now, p)
		}
	}
}

func (f *Forwarder) checkPart(now time.Time, p *part) {
	if p.holder == "" {
		f.forward(now, p)
		return
	}
	peer := f.peers.Peer(p.holder)
	if p.holderLostAt.IsZero() {
		if peer != nil && f.peers.IsReachable(now, p.holder) && peer.Incarnation == p.holderIncarnation {
			if f.isResendDue(now, p.holder, p.path, relayedOrderInterval) {
				f.sendOrder(now, p)
			}
			return
		}
		f.handleLostHolder(now, p)
		return
	}
	if now.After(p.holderLostAt.Add(f.timing.MaxRunAfterLoss())) {
		f.reassign(now, p)
	}
}

// handleLostHolder starts the wait after which no task of a part can still run at its
// unreachable holder. If too little time would be left after the wait, it abandons the job.
// The wait starts now and not at the holder's last heartbeat, since the holder may have
// received this VM's heartbeats until now.
func (f *Forwarder) handleLostHolder(now time.Time, p *part) {
	j := p.job
	p.holderLostAt = now
	j.mayHaveStarted = true
	f.recordDecision(holder.Decision{Event: "holder-lost", Job: j.order.ID, Request: j.order.Request, Peer: p.holder, IsFault: true})
	f.withdraw(now, p)
	expectedEnd := p.holderLostAt.Add(f.timing.MaxRunAfterLoss() + j.order.CriticalPath())
	if expectedEnd.After(j.arrivedAt.Add(min(holder.AbandonFactor*j.order.Objective, j.order.Remaining))) {
		f.abandon(now, p, "its holder is not within reach")
	}
}
