package daemon

import (
	"context"
	"sync"

	"bronzedrift.example/bronzedrift/internal/decoder"
	"bronzedrift.example/bronzedrift/internal/dispatcher"
	"bronzedrift.example/bronzedrift/internal/listener"
	"bronzedrift.example/bronzedrift/internal/loader"
	"bronzedrift.example/bronzedrift/internal/recorder"
	"bronzedrift.example/bronzedrift/internal/reporter"
	"bronzedrift.example/bronzedrift/internal/router"
)

// waiters holds the requests that wait for an answer. Ids are never reused, so
// an answer can't reach another request.
type waiters struct {
	mu      *sync.Mutex
	lastID  uint64
	answers map[uint64]chan *dispatcher.Answer
}

func newWaiters() waiters {
	return waiters{mu: &sync.Mutex{}, answers: map[uint64]chan *dispatcher.Answer{}}
}

func (w *waiters) add() (uint64, chan *dispatcher.Answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastID++
	answer := make(chan *dispatcher.Answer, 1)
	w.answers[w.lastID] = answer
	return w.lastID, answer
}

func (w *waiters) remove(id uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.answers, id)
}

func (w *waiters) reply(id uint64, a *dispatcher.Answer) {
	w.mu.Lock()
	answer := w.answers[id]
	w.mu.Unlock()
	if answer == nil {
		return
	}
	select {
	case answer <- a:
	default:
	}
}

func (w *waiters) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.answers)
}

// awaitAnswer queues an input under a new waiter id and waits for its answer.
func (d *Daemon) awaitAnswer(ctx context.Context, newInput func(waiter uint64) dispatcher.Input) (*dispatcher.Answer, error) {
	id, answer := d.waiters.add()
	defer d.waiters.remove(id)
	if !d.tryEnqueue(newInput(id)) {
		return nil, listener.ErrOverloaded
	}
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (d *Daemon) initListener() error {
	operators, err := loader.ReadSecret(d.settings.Secrets.OperatorsFile)
	if err != nil {
		return err
	}
	monitoring, err := loader.ReadSecret(d.settings.Secrets.MonitoringFile)
	if err != nil {
		return err
	}
	handlers := d.handlers()
	d.addConfigHandlers(&handlers)
	d.addEvacuationHandlers(&handlers)
	d.listener = listener.New(listener.Config{
		MaxBodyBytes: d.settings.Limits.MaxBodyBytes, Services: d.settings.Services,
		OperatorsSecret: operators, MonitoringSecret: monitoring, Now: d.now,
	}, handlers)
	return nil
}

func (d *Daemon) handlers() listener.Handlers {
	return listener.Handlers{
		Submit: func(ctx context.Context, j *dispatcher.Job) (*dispatcher.Answer, error) {
			return d.awaitAnswer(ctx, func(id uint64) dispatcher.Input {
				return dispatcher.Input{Submit: &dispatcher.Submission{Waiter: id, Job: j}}
			})
		},
		Query: func(ctx context.Context, kind dispatcher.QueryKind, jobID, home string) (*dispatcher.Answer, error) {
			return d.awaitAnswer(ctx, func(id uint64) dispatcher.Input {
				return dispatcher.Input{CallerQuery: &dispatcher.CallerQuery{Waiter: id, Kind: kind, JobID: jobID, Home: home}}
			})
		},
		Announce: func(_ context.Context, u *dispatcher.Upstream) error {
			return d.enqueueOrOverloaded(dispatcher.Input{Announce: u})
		},
		Verdict: func(_ context.Context, v *router.Verdict) error {
			return d.enqueueOrOverloaded(dispatcher.Input{Verdict: v})
		},
		Usage:  func(string, decoder.Usage) {},
		Status: d.status,
		Events: d.events,
		Drain: func(context.Context) error {
			d.drainOnce.Do(func() { close(d.drainRequested) })
			return nil
		},
		Event: d.record,
	}
}

func (d *Daemon) enqueueOrOverloaded(in dispatcher.Input) error {
	if !d.tryEnqueue(in) {
		return listener.ErrOverloaded
	}
	return nil
}

func (d *Daemon) events(f recorder.Filter) any {
	events, overrun := d.eventRing.Events()
	answer := reporter.Events{VM: d.settings.VM, DataCentre: d.settings.DataCentre, Overwritten: overrun, Events: []reporter.Event{}}
	for i := range events {
		if f.Matches(&events[i]) {
			answer.Events = append(answer.Events, encodeEvent(&events[i]))
		}
	}
	return answer
}
