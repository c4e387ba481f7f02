package holder

import (
	"slices"
	"time"

	"bronzedrift.example/bronzedrift/internal/quarantiner"
)

// Sign is what a failed call tells about the upstream beside the missing answer.
type Sign int

// The signs of a failed call.
const (
	// Silence: nothing came back.
	Silence Sign = iota
	// ConnectionEnded: the connection ended before the answer.
	ConnectionEnded
	// ConnectionRefused: the host answered that no process listens at the address.
	ConnectionRefused
)

// lossKind is the latest evidence that an upstream has lost its runs.
type lossKind int

const (
	notLost lossKind = iota
	// lossSilent: calls are not answered.
	lossSilent
	// lossEnded: a connection ended, and calls are not answered since.
	lossEnded
	// lossRefused: connections are refused.
	lossRefused
	// lossRestarted: a new incarnation of the upstream answers.
	lossRestarted
	// lossReplaced: another upstream answers at the address.
	lossReplaced
	// lossLeft: the upstream announced its end.
	lossLeft
)

func (k lossKind) String() string {
	switch k {
	case lossSilent:
		return "silent"
	case lossEnded:
		return "connection ended"
	case lossRefused:
		return "connection refused"
	case lossRestarted:
		return "restarted"
	case lossReplaced:
		return "replaced"
	case lossLeft:
		return "left"
	}
	return "none"
}

// observeSign updates the evidence after a call. An answer of the known incarnation removes it.
func (h *Holder) observeSign(now time.Time, u *trackedUpstream, r *CallResult, isLocated bool) {
	if r.Status != CallNotSent && r.Status != CallUnanswered {
		if isLocated {
			u.aliveAt = now
		}
		if isLocated && (u.loss != notLost || len(u.departed) > 0) {
			h.retractLoss(now, u)
		}
		return
	}
	seen := lossSilent
	switch r.Sign {
	case ConnectionEnded:
		seen = lossEnded
	case ConnectionRefused:
		seen = lossRefused
	}
	if seen <= u.loss {
		return
	}
	if u.loss == notLost {
		u.lostAt, u.firstSign, u.isSignLate = now, seen, now.Sub(h.lastTickAt) > maxTickGap
	}
	if seen == lossRefused {
		u.refusedAt = now
	}
	isFirst := u.loss < lossEnded
	u.loss = seen
	if seen == lossSilent {
		return
	}
	if isFirst {
		h.tellLoss(now, u, now)
	}
	h.logDecision(Decision{
		Event: "upstream-lost", Upstream: u.ID, Reason: seen.String(), Wait: now.Sub(u.answeredAt), IsFault: true,
	})
}

// isOpenAfter reports whether the next incarnation of the upstream may still carry out the start
// of a run. After a restart, that may also be an earlier start of its task that was not answered.
func (r *run) isOpenAfter(kind lossKind, upstream string) bool {
	return kind == lossRestarted && (!r.isListed || r.number > 1 && slices.Contains(r.task.avoid, upstream))
}

// evidence says what has told of a loss, and what did so first, for the log.
func (u *trackedUpstream) evidence(kind lossKind) string {
	switch {
	case u.loss == notLost:
		return kind.String() + ", nothing before"
	case u.firstSign != kind:
		return kind.String() + ", at first " + u.firstSign.String()
	}
	return kind.String()
}

// aliveAge is the time since the last sign of life of an upstream.
func (u *trackedUpstream) aliveAge(now time.Time) time.Duration {
	if at := u.lastAliveAt(); !at.IsZero() {
		return now.Sub(at)
	}
	return 0
}

// lastAliveAt is when the known incarnation has last answered or sent a heartbeat.
func (u *trackedUpstream) lastAliveAt() time.Time {
	if u.lastHeartbeatAt.After(u.aliveAt) {
		return u.lastHeartbeatAt
	}
	return u.aliveAt
}

// tellLoss records that an upstream was lost at latest or before, for this VM and
// the others.
func (h *Holder) tellLoss(now time.Time, u *trackedUpstream, latest time.Time) {
	exposed := u.exposures()
	if u.phase == notHeld || u.hasAnnouncedEnd() {
		return
	}
	earliest := u.lastAliveAt().Add(-transitTime)
	// The end of a connection is noticed at once, unless this VM was paused.
	if noticed := u.lostAt.Add(-signDelay); u.firstSign == lossEnded && u.loss != notLost && noticed.After(earliest) && !u.isSignLate {
		earliest = noticed
	}
	l := quarantiner.Loss{
		Upstream: u.ID, StartedAt: u.StartedAt, Earliest: earliest, Latest: latest,
	}
	if len(exposed) == 1 {
		l.LoneTask = exposed[0].task.name
	}
	for _, e := range exposed {
		if id := e.task.job.ID; !slices.Contains(l.Jobs, id) {
			l.Jobs = append(l.Jobs, id)
		}
	}
	u.isLossTold = true
	h.recordLoss(now, l)
}

func (h *Holder) recordLoss(now time.Time, l quarantiner.Loss) {
	if h.quarantine.RecordLoss(now, l) {
		h.out.Losses = append(h.out.Losses, l)
	}
}

// tellRestart records the loss of an upstream that has a new incarnation, which had started at
// startedBy at the latest. A start before the last sign of life of the former one is that of
// another clock.
func (h *Holder) tellRestart(now time.Time, u *trackedUpstream, startedBy time.Time) {
	if startedBy.Before(u.lastAliveAt()) {
		startedBy = now
	}
	h.tellLoss(now, u, startedBy)
}

// tellSilence records the loss of an upstream that has not answered for as long as a hold call
// takes. A single call may be lost.
func (h *Holder) tellSilence(now time.Time, u *trackedUpstream) {
	if u.loss == lossSilent && u.isUnresponsive && !u.isLossTold {
		h.tellLoss(now, u, now)
	}
}

// removeLostRuns removes all runs of an upstream and requeues or finishes their jobs. It
// is called when none of the runs can still be running. After a restart, runs stay that the former
// incarnation has not listed: the new one may carry out their starts until it has seen a later token.
func (h *Holder) removeLostRuns(now time.Time, u *trackedUpstream, kind lossKind) {
	for _, r := range u.runs {
		if r.isOpenAfter(kind, u.ID) {
			h.logDecision(Decision{
				Event: "start-open", Job: r.task.job.ID, Request: r.task.job.Request, Task: r.task.name, Run: r.number, Upstream: u.ID,
				Reason: r.state.String(), Wait: now.Sub(r.sentAt), IsFault: true,
			})
			continue
		}
		h.removeLostRun(now, u, r, kind)
	}
}

func (h *Holder) removeLostRun(now time.Time, u *trackedUpstream, r *run, kind lossKind) {
	h.logDecision(Decision{
		Event: "run-lost", Job: r.task.job.ID, Request: r.task.job.Request, Task: r.task.name, Run: r.number, Upstream: u.ID,
		Reason: kind.String(), Wait: now.Sub(r.sentAt), IsFault: true,
	})
	u.removeRun(r)
	h.requeueOrFinish(now, r)
}

const (
	// darkAfter is the silence after which an upstream counts as out of reach or without
	// power, and not as crashed, whatever its address answers later.
	darkAfter = 300 * time.Millisecond
	// lossSettle is the wait after a refused connection before the loss is judged. Other
	// upstreams that were lost at the same moment are noticed meanwhile.
	lossSettle = 40 * time.Millisecond
	// signDelay bounds the time from the end of a process to the notice of its ended
	// connections.
	signDelay = 25 * time.Millisecond
	// transitTime allows for the way of an answer, and of the news of a loss between VMs.
	transitTime = 10 * time.Millisecond
)

// HandleLosses records the losses of upstreams that another VM has noticed.
func (h *Holder) HandleLosses(now time.Time, losses []quarantiner.Loss) {
	for i := range losses {
		h.quarantine.RecordLoss(now, losses[i])
	}
}

// Losses returns the recorded losses, for a VM on a new link.
func (h *Holder) Losses(now time.Time) []quarantiner.Loss { return h.quarantine.Losses(now) }

// isCrash reports whether the process of the upstream has ended unannounced while its host
// went on.
func (u *trackedUpstream) isCrash(now time.Time, kind lossKind) bool {
	if u.hasAnnouncedEnd() {
		return false
	}
	// A host that ends a connection is up then. Otherwise a refusal must follow soon.
	isRefused := u.loss == lossRefused && (u.firstSign != lossSilent || u.refusedAt.Sub(u.lostAt) <= darkAfter)
	switch kind {
	case lossRefused:
		return isRefused
	case lossRestarted, lossReplaced:
		return isRefused || u.loss == notLost || now.Sub(u.lostAt) <= darkAfter
	}
	return false
}
