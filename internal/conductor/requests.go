package conductor

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"bronzedrift.example/bronzedrift/internal/configurer"
	"bronzedrift.example/bronzedrift/internal/forwarder"
	"bronzedrift.example/bronzedrift/internal/holder"
	"bronzedrift.example/bronzedrift/internal/keeper"
)

// ErrStopped is returned when the Conductor has stopped.
var ErrStopped = errors.New("conductor: stopped")

// Submit submits a job and waits for its response. If the context ends first and no other
// caller waits for the job, the job is withdrawn.
func (d *Conductor) Submit(ctx context.Context, o holder.Order) (forwarder.Response, error) {
	answer := make(chan forwarder.Response, 1)
	var waiter uint64
	if !d.enqueue(requestInput, func(now time.Time) {
		if d.refusesJob(&o) {
			d.logDecisions([]holder.Decision{{Event: "answered-not-run", Job: o.ID, Request: o.Request, Reason: holder.OverloadedReason, IsFault: true}})
			answer <- forwarder.Response{Result: forwarder.NotRun, RetryAfter: time.Second, Reason: holder.OverloadedReason}
			return
		}
		d.lastWaiter++
		waiter = d.lastWaiter
		d.waiters[waiter] = answer
		d.forwarder.Submit(now, o, waiter, &d.forwarderEffects)
	}) {
		return forwarder.Response{}, ErrStopped
	}
	select {
	case v := <-answer:
		return v, nil
	case <-ctx.Done():
		d.enqueue(requestInput, func(now time.Time) {
			delete(d.waiters, waiter)
			d.forwarder.RemoveWaiter(now, o.ID, waiter, &d.forwarderEffects)
		})
		return forwarder.Response{}, ctx.Err()
	case <-d.done:
		return forwarder.Response{}, ErrStopped
	}
}

// refusesJob reports whether a new job is refused since this VM is short of processor time. A repeated
// one joins its job.
func (d *Conductor) refusesJob(o *holder.Order) bool {
	work := o.Work()
	d.shedder.ObserveOffer(work)
	return !d.forwarder.HasJob(o.ID) && d.shedder.Level().Refuses(o.ID, work)
}

// Cancel cancels a job. It reports whether no task of the job will start any more; if not, the
// cancellation has to be sent again.
func (d *Conductor) Cancel(ctx context.Context, id string) bool {
	outcome := make(chan bool, 1)
	if !d.enqueue(requestInput, func(now time.Time) {
		d.lastWaiter++
		d.cancelWaiters[d.lastWaiter] = outcome
		d.forwarder.Cancel(now, id, d.lastWaiter, &d.forwarderEffects)
	}) {
		return false
	}
	select {
	case isConfirmed := <-outcome:
		return isConfirmed
	case <-ctx.Done():
	case <-d.done:
	}
	return false
}

// HasJob reports whether a caller waits for the job on this VM.
func (d *Conductor) HasJob(ctx context.Context, id string) bool {
	known := false
	return d.enqueueAndWait(ctx, func(time.Time) { known = d.forwarder.HasJob(id) }) && known
}

// Pending returns how many jobs of a route wait for their first task to start, summed over
// the reachable VMs.
func (d *Conductor) Pending(ctx context.Context, route string) int {
	n := 0
	isCounted := d.enqueueAndWait(ctx, func(now time.Time) {
		for _, p := range d.peers.Reachable(now) {
			n += p.Load.Pending[route]
		}
	})
	if !isCounted {
		return 0
	}
	return n
}

// enqueueAndWait runs a function in the goroutine of runDecisions and waits until it returns.
// It reports false if the context ended before: the function may then still be running.
func (d *Conductor) enqueueAndWait(ctx context.Context, f func(now time.Time)) bool {
	ended := make(chan struct{})
	d.enqueue(requestInput, func(now time.Time) {
		defer close(ended)
		f(now)
	})
	select {
	case <-ended:
		return true
	case <-ctx.Done():
	case <-d.done:
	}
	return false
}

// HandleHeartbeat passes a heartbeat of an upstream to the holder. It returns once it is
// processed and, if the upstream no longer takes new work, saved.
func (d *Conductor) HandleHeartbeat(ctx context.Context, u holder.Upstream) error {
	hasStopped := false
	isProcessed := d.enqueueAndWait(ctx, func(now time.Time) {
		u.Clock = max(u.Clock, 0)
		known := d.holder.StateOf(u.ID)
		hasStopped = u.State != holder.Ready && (known == holder.Ready || known == holder.Unreported)
		d.holder.HandleHeartbeat(now, u, &d.holderEffects)
	})
	switch {
	case !isProcessed:
		return ErrStopped
	case hasStopped:
		return d.saveMemory(ctx)
	}
	return nil
}

// UpstreamLeft removes an upstream that has announced its end. It returns once that is saved.
func (d *Conductor) UpstreamLeft(ctx context.Context, id string) error {
	if !d.enqueueAndWait(ctx, func(now time.Time) { d.holder.UpstreamLeft(now, id, &d.holderEffects) }) {
		return ErrStopped
	}
	return d.saveMemory(ctx)
}

// Configure stores a version of the configuration. A version that is not higher than the
// stored one is acknowledged without a change.
func (d *Conductor) Configure(ctx context.Context, c configurer.Change) error {
	_, err := d.keeper.Change(ctx, c)
	if err != nil {
		d.metrics.unanswered.WithLabelValues("change").Inc()
	}
	return err
}

// Configuration returns the newest configuration confirmed by a quorum.
func (d *Conductor) Configuration(ctx context.Context) (configurer.Configuration, error) {
	c, err := d.keeper.ReadCurrent(ctx)
	if err != nil {
		d.metrics.unanswered.WithLabelValues("read").Inc()
	}
	return c, err
}

// ReplicaCondition returns the condition of this VM's replica, and false on an entry.
func (d *Conductor) ReplicaCondition() (keeper.Condition, bool) { return d.keeper.Condition() }

func (d *Conductor) apply(c configurer.Configuration) {
	d.handlers.Apply(c)
	d.version.Store(c.Version)
}

// IsReady reports whether this VM can serve callers.
func (d *Conductor) IsReady() bool { return d.ready.Load() }

// IsIdle reports whether this VM has no work in progress.
func (d *Conductor) IsIdle() bool { return d.idle.Load() }

// Drain stops this VM from taking new work and makes its holder hand over its upstreams.
func (d *Conductor) Drain() {
	d.idle.Store(false)
	d.enqueue(requestInput, func(time.Time) {
		d.draining = true
		d.holder.Drain()
	})
}

// AbandonJobs answers all callers that still wait, before this VM ends.
func (d *Conductor) AbandonJobs(ctx context.Context) {
	d.enqueueAndWait(ctx, func(now time.Time) { d.forwarder.AbandonAll(now, &d.forwarderEffects) })
}

// AddSeed opens a link to a state VM that was added to the settings after the start.
func (d *Conductor) AddSeed(inner netip.AddrPort) {
	d.enqueue(requestInput, func(time.Time) {
		if inner == d.config.Inner || d.isSeed(inner.String()) {
			return
		}
		d.config.Seeds = append(d.config.Seeds, inner)
		d.openLink(inner.String())
	})
}

// HolderOf returns the inner address of the VM that should hold an upstream, or an empty
// string if it is unknown.
func (d *Conductor) HolderOf(ctx context.Context, id string) string {
	vm := ""
	if !d.enqueueAndWait(ctx, func(time.Time) { vm = d.holder.HolderOf(id) }) {
		return ""
	}
	return vm
}
