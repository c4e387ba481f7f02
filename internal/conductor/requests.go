package conductor

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"bronzedrift.example/bronzedrift/internal/configurer"
	"bronzedrift.example/bronzedrift/internal/forwarder"
	"bronzedrift.example/bronzedrift/internal/holder"
)

// ErrStopped says that the conductor has ended.
var ErrStopped = errors.New("conductor: stopped")

// Submit hands in a job and waits for its answer. When the context ends before,
// the job is given up.
func (d *Conductor) Submit(ctx context.Context, o holder.Order) (forwarder.Response, error) {
	answer := make(chan forwarder.Response, 1)
	var waiter uint64
	if !d.put(func(now time.Time) {
		d.waiter++
		waiter = d.waiter
		d.waiters[waiter] = answer
		d.forwarder.Submit(now, o, waiter, &d.forwardOut)
	}) {
		return forwarder.Response{}, ErrStopped
	}
	select {
	case v := <-answer:
		return v, nil
	case <-ctx.Done():
		d.put(func(now time.Time) {
			delete(d.waiters, waiter)
			d.forwarder.Leave(now, o.ID, waiter, &d.forwardOut)
		})
		return forwarder.Response{}, ctx.Err()
	case <-d.done:
		return forwarder.Response{}, ErrStopped
	}
}

// Cancel gives up a job wherever it is.
func (d *Conductor) Cancel(id string) {
	d.put(func(now time.Time) { d.forwarder.CancelJob(now, id, &d.forwardOut) })
}

// Knows reports whether a caller of a job waits here.
func (d *Conductor) Knows(ctx context.Context, id string) bool {
	known := false
	d.inspect(ctx, func(time.Time) { known = d.forwarder.Knows(id) })
	return known
}

// Pending returns how many jobs of a route wait for their first task to start.
func (d *Conductor) Pending(ctx context.Context, route string) int {
	n := 0
	d.inspect(ctx, func(now time.Time) {
		for _, p := range d.peers.Heard(now) {
			n += p.Load.Pending[route]
		}
	})
	return n
}

// inspect runs a function in the goroutine of the decisions.
func (d *Conductor) inspect(ctx context.Context, f func(now time.Time)) {
	ended := make(chan struct{})
	d.put(func(now time.Time) {
		f(now)
		close(ended)
	})
	select {
	case <-ended:
	case <-ctx.Done():
	case <-d.done:
	}
}

// Report takes a heartbeat of an upstream. It returns once the other state VMs
// have been sent what has changed.
func (d *Conductor) Report(ctx context.Context, u holder.Upstream) {
	d.inspect(ctx, func(now time.Time) {
		u.Clock = max(u.Clock, 0)
		d.holder.Report(now, u, &d.holderOut)
	})
}

// Left forgets an upstream that has said that it ends.
func (d *Conductor) Left(ctx context.Context, id string) {
	d.inspect(ctx, func(now time.Time) { d.holder.Left(now, id, &d.holderOut) })
}

// Configure stores a numbered configuration; a version that is not higher than
// the one held is acknowledged and changes nothing.
func (d *Conductor) Configure(ctx context.Context, c configurer.Change) error {
	_, err := d.keeper.Change(ctx, c)
	return err
}

// Configuration returns the newest configuration, as a quorum has confirmed it.
func (d *Conductor) Configuration(ctx context.Context) (configurer.Configuration, error) {
	return d.keeper.ReadCurrent(ctx)
}

func (d *Conductor) apply(c configurer.Configuration) {
	d.handlers.Apply(c)
	d.version.Store(c.Version)
}

// IsReady reports whether callers are served here.
func (d *Conductor) IsReady() bool { return d.ready.Load() }

// IsIdle reports whether nothing is under way here.
func (d *Conductor) IsIdle() bool { return d.idle.Load() }

// Drain ends new work on this VM: a holder hands its upstreams over.
func (d *Conductor) Drain() {
	d.idle.Store(false)
	d.put(func(time.Time) {
		d.leaving = true
		d.holder.Leave()
	})
}

// AddSeed links a state VM that the settings name since the start.
func (d *Conductor) AddSeed(inner netip.AddrPort) {
	d.put(func(time.Time) {
		if inner == d.config.Inner || d.isSeed(inner.String()) {
			return
		}
		d.config.Seeds = append(d.config.Seeds, inner)
		d.link(inner.String())
	})
}

// HolderOf returns the inner address of the VM that should hold an upstream,
// empty if that is not known.
func (d *Conductor) HolderOf(ctx context.Context, id string) string {
	vm := ""
	d.inspect(ctx, func(time.Time) { vm = d.holder.HolderOf(id) })
	return vm
}
