package daemon

import (
	"context"
	"time"

	"bronzedrift.example/bronzedrift/internal/dispatcher"
	"bronzedrift.example/bronzedrift/internal/recorder"
)

// enqueue queues an input for the dispatcher. While the queue is full it blocks,
// until the daemon has stopped.
func (d *Daemon) enqueue(in dispatcher.Input) {
	in.QueuedAt = d.now()
	select {
	case d.inputs <- in:
	case <-d.done:
	}
}

// tryEnqueue queues an input for the dispatcher unless the queue is full.
func (d *Daemon) tryEnqueue(in dispatcher.Input) bool {
	in.QueuedAt = d.now()
	select {
	case d.inputs <- in:
		return true
	default:
		return false
	}
}

// runDispatcher is the only goroutine that accesses the dispatcher.
func (d *Daemon) runDispatcher(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	out := &dispatcher.Effects{}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case in := <-d.inputs:
			d.handle(ctx, &in, out)
		case <-ticker.C:
			d.handle(ctx, &dispatcher.Input{Tick: true}, out)
			d.publishSnapshot()
		case inspect := <-d.inspections:
			inspect(d.disp)
		}
	}
}

func (d *Daemon) handle(ctx context.Context, in *dispatcher.Input, out *dispatcher.Effects) {
	now := d.now()
	out.Reset()
	if err := d.guard.Run(now, func() { d.disp.Handle(now, in, out) }); err != nil {
		d.recordAt(now, recorder.Event{Number: recorder.InputPanicked, Text: err.Error(), Task: recorder.NoTask})
	}
	for i := range out.Events {
		d.recordAt(now, out.Events[i])
	}
	for i := range out.Sends {
		d.messenger.Send(out.Sends[i].To, out.Sends[i].Message)
	}
	for i := range out.Replies {
		d.waiters.reply(out.Replies[i].Waiter, out.Replies[i].Answer)
	}
	d.callUpstreams(ctx, out)
}

// callUpstreams issues the requests to upstreams, each in its own goroutine. The
// number of slot leases bounds the number of goroutines.
func (d *Daemon) callUpstreams(ctx context.Context, out *dispatcher.Effects) {
	for i := range out.Starts {
		start := out.Starts[i]
		d.upstreamCalls.Go(func() { d.report(ctx, d.sender.Run(ctx, &start)) })
	}
	for i := range out.Probes {
		probe := out.Probes[i]
		d.upstreamCalls.Go(func() { d.report(ctx, d.sender.Probe(ctx, &probe)) })
	}
	for i := range out.Fences {
		fence := out.Fences[i]
		d.upstreamCalls.Go(func() {
			report := d.sender.Fence(ctx, &fence)
			d.enqueueContext(ctx, dispatcher.Input{FenceEnd: report})
		})
	}
	for i := range out.Stops {
		stop := out.Stops[i]
		d.upstreamCalls.Go(func() { d.sender.Stop(ctx, stop) })
	}
}

// report queues the end of a task for the dispatcher.
func (d *Daemon) report(ctx context.Context, e *dispatcher.TaskEnd) {
	d.enqueueContext(ctx, dispatcher.Input{TaskEnd: e})
}

// enqueueContext queues an input for the dispatcher. While the queue is full it
// blocks, until the context ends.
func (d *Daemon) enqueueContext(ctx context.Context, in dispatcher.Input) {
	in.QueuedAt = d.now()
	select {
	case d.inputs <- in:
	case <-ctx.Done():
	}
}

// inspect runs a function in the dispatcher's goroutine and waits for it.
func (d *Daemon) inspect(ctx context.Context, f func(*dispatcher.Dispatcher)) error {
	done := make(chan struct{})
	select {
	case d.inspections <- func(disp *dispatcher.Dispatcher) {
		f(disp)
		close(done)
	}:
	case <-ctx.Done():
		return ctx.Err()
	}
	<-done
	return nil
}

// publishSnapshot stores the dispatcher's counts for the metrics to read.
func (d *Daemon) publishSnapshot() {
	s := d.disp.Snapshot()
	d.snapshot.Store(&s)
}

// record records an event that happens now, outside the dispatcher.
func (d *Daemon) record(e recorder.Event) {
	d.recordAt(d.now(), e)
}

// recordAt adds an event to the recorder and logs it if its kind is logged.
func (d *Daemon) recordAt(now time.Time, e recorder.Event) {
	d.eventRing.Add(now, e)
	if !e.Number.IsLogged() {
		return
	}
	line := d.log.Info()
	if e.Number.IsFault() {
		line = d.log.Warn()
	}
	line = line.Int("event", int(e.Number))
	for _, f := range []struct{ key, value string }{
		{"job-id", e.Job}, {"team", e.Team}, {"upstream", e.Upstream}, {"peer", e.Peer}, {"text", e.Text},
	} {
		if f.value != "" {
			line = line.Str(f.key, f.value)
		}
	}
	line.Msg(e.Number.Name())
}
