package keeper

import (
	"context"
	"errors"
	"time"

	"bronzedrift.example/bronzedrift/internal/configurer"
	"bronzedrift.example/bronzedrift/internal/messenger/wire"
	"bronzedrift.example/bronzedrift/internal/recorder"
	"bronzedrift.example/bronzedrift/internal/replicator"
)

// The kinds of requests to the state VMs.
const (
	requestChange = "change"
	requestRead   = "read"
	// requestCurrent reads the newest version without its history.
	requestCurrent = "read-current"
	requestRemove  = "remove"
)

// View is the configuration as a linearizable read returns it.
type View struct {
	Current configurer.Configuration
	History []configurer.Configuration
}

// Change asks for a change and waits for its outcome. Repeated under the same
// id it has the same outcome.
func (k *Keeper) Change(ctx context.Context, ch configurer.Change) (configurer.Outcome, error) {
	r, err := k.request(ctx, &wire.Request{
		Kind: requestChange, Change: &wire.Change{Id: ch.ID, BaseVersion: ch.BaseVersion, Version: ch.Version, Text: ch.Text},
	})
	if err != nil {
		return configurer.Outcome{}, err
	}
	o := r.GetOutcome()
	return configurer.Outcome{ID: o.GetId(), Kind: configurer.Kind(o.GetKind()), Version: o.GetVersion()}, nil
}

// Read returns the newest configuration, as of a time after the call.
func (k *Keeper) Read(ctx context.Context) (View, error) {
	r, err := k.request(ctx, &wire.Request{Kind: requestRead})
	if err != nil {
		return View{}, err
	}
	v := View{Current: decodeConfiguration(r.GetState().GetCurrent())}
	for _, h := range r.GetState().GetHistory() {
		v.History = append(v.History, decodeConfiguration(h))
	}
	return v, nil
}

// ReadCurrent returns the newest version alone, as of a time after the call.
func (k *Keeper) ReadCurrent(ctx context.Context) (configurer.Configuration, error) {
	r, err := k.request(ctx, &wire.Request{Kind: requestCurrent})
	if err != nil {
		return configurer.Configuration{}, err
	}
	return decodeConfiguration(r.GetState().GetCurrent()), nil
}

// Remove takes a VM's disk out of the group unless that would lose the quorum.
func (k *Keeper) Remove(ctx context.Context, vm string) error {
	_, err := k.request(ctx, &wire.Request{Kind: requestRemove, Vm: vm})
	return err
}

// Bootstrap makes this VM's empty disk the only voter of a new group; the other
// state VMs join by themselves.
func (k *Keeper) Bootstrap(ctx context.Context) error {
	result := make(chan error, 1)
	run := func(time.Time) {
		if k.replica == nil {
			result <- ErrNoReplica
			return
		}
		var out replicator.Effects
		err := k.replica.Bootstrap(k.config.Now(), &out)
		k.carryOut(&out)
		result <- err
	}
	k.put(input{run: run})
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Status returns the state of this VM's replica and the version in force.
func (k *Keeper) Status(ctx context.Context) (replicator.Status, uint64, error) {
	type answer struct {
		status  replicator.Status
		version uint64
	}
	result := make(chan answer, 1)
	k.put(input{run: func(time.Time) {
		a := answer{version: k.inForce.Version}
		if k.replica != nil {
			a.status = k.replica.Status()
		}
		result <- a
	}})
	select {
	case a := <-result:
		return a.status, a.version, nil
	case <-ctx.Done():
		return replicator.Status{}, 0, ctx.Err()
	case <-k.done:
		return replicator.Status{}, 0, ErrUnavailable
	}
}

// request sends a request to a state VM, to one after the other, until it is
// answered. All requests can be repeated.
func (k *Keeper) request(ctx context.Context, w *wire.Request) (*wire.Response, error) {
	answer := make(chan *wire.Response, 1)
	w.Origin = k.config.VM
	k.put(input{run: func(now time.Time) {
		k.number++
		w.Number = uint64(now.UnixNano()) + k.number
		k.waiting[w.Number] = answer
		k.dispatch(now, w)
	}})
	ticker := time.NewTicker(retryEvery)
	defer ticker.Stop()
	for {
		select {
		case r := <-answer:
			if r.GetError() != "" {
				return nil, &RefusedError{Message: r.GetError()}
			}
			return r, nil
		case <-ticker.C:
			k.put(input{run: func(now time.Time) { k.dispatch(now, w) }})
		case <-ctx.Done():
			k.put(input{run: func(time.Time) { delete(k.waiting, w.GetNumber()) }})
			return nil, errors.Join(ErrUnavailable, ctx.Err())
		case <-k.done:
			return nil, ErrUnavailable
		}
	}
}

// dispatch hands a request of this VM to a replica.
func (k *Keeper) dispatch(now time.Time, w *wire.Request) {
	if k.replica != nil {
		k.serve(now, cloneRequest(w, false))
		return
	}
	vms := k.config.StateVMs()
	if len(vms) == 0 {
		return
	}
	k.next++
	k.handlers.Send(vms[k.next%len(vms)], &wire.StateMessage{Request: w})
}

func cloneRequest(w *wire.Request, passed bool) *wire.Request {
	return &wire.Request{
		Number: w.GetNumber(), Kind: w.GetKind(), Change: w.GetChange(), Vm: w.GetVm(),
		Member: w.GetMember(), Origin: w.GetOrigin(), Passed: passed,
	}
}

// serve answers a request as the leader, or passes it on to the leader once.
func (k *Keeper) serve(_ time.Time, w *wire.Request) {
	if k.replica == nil {
		return
	}
	status := k.replica.Status()
	if status.Role != replicator.Leader {
		delete(k.awaited, w.GetNumber())
		if !w.GetPassed() && status.LeaderVM != "" {
			k.handlers.Send(status.LeaderVM, &wire.StateMessage{Request: cloneRequest(w, true)})
		}
		return
	}
	switch w.GetKind() {
	case requestChange:
		k.propose(w)
	case requestRead, requestCurrent:
		k.awaited[w.GetNumber()] = &call{request: w}
		k.step(func(now time.Time, out *replicator.Effects) { _ = k.replica.Read(now, w.GetNumber(), out) })
	case requestRemove:
		k.remove(w)
	}
}

func (k *Keeper) propose(w *wire.Request) {
	ch := configurer.Change{
		ID: w.GetChange().GetId(), BaseVersion: w.GetChange().GetBaseVersion(),
		Version: w.GetChange().GetVersion(), Text: w.GetChange().GetText(),
	}
	if o, ok := k.machine.Outcome(ch.ID); ok {
		k.replyOutcome(w, o)
		return
	}
	if _, ok := k.awaited[w.GetNumber()]; ok {
		return
	}
	payload, err := configurer.EncodeChange(ch)
	if err != nil {
		k.reply(w, &wire.Response{Error: err.Error()})
		return
	}
	k.awaited[w.GetNumber()] = &call{request: w}
	k.step(func(now time.Time, out *replicator.Effects) { _, _ = k.replica.Propose(now, payload, out) })
}

func (k *Keeper) remove(w *wire.Request) {
	if _, ok := k.awaited[w.GetNumber()]; ok {
		return
	}
	var err error
	k.awaited[w.GetNumber()] = &call{request: w, index: k.replica.LastIndex() + 1}
	k.step(func(now time.Time, out *replicator.Effects) { err = k.replica.Remove(now, w.GetVm(), out) })
	if err != nil {
		delete(k.awaited, w.GetNumber())
		k.reply(w, &wire.Response{Error: err.Error()})
	}
}

func (k *Keeper) answerRead(number uint64) {
	c := k.awaited[number]
	if c == nil {
		return
	}
	delete(k.awaited, number)
	state := &wire.ConfigState{Current: encodeConfiguration(k.machine.Current())}
	for _, h := range k.historyFor(c.request) {
		state.History = append(state.History, encodeConfiguration(h))
	}
	k.reply(c.request, &wire.Response{State: state})
}

func (k *Keeper) historyFor(w *wire.Request) []configurer.Configuration {
	if w.GetKind() == requestCurrent {
		return nil
	}
	return k.machine.History()
}

func (k *Keeper) replyOutcome(w *wire.Request, o configurer.Outcome) {
	k.handlers.Event(recorder.Event{Number: recorder.ConfigurationChange, Text: o.ID + " " + string(o.Kind), Task: recorder.NoTask})
	k.reply(w, &wire.Response{Outcome: &wire.Outcome{Id: o.ID, Kind: string(o.Kind), Version: o.Version}})
}

func (k *Keeper) reply(w *wire.Request, r *wire.Response) {
	r.Number = w.GetNumber()
	if w.GetOrigin() == k.config.VM {
		k.respond(r)
		return
	}
	k.handlers.Send(w.GetOrigin(), &wire.StateMessage{Response: r})
}

func (k *Keeper) respond(r *wire.Response) {
	answer := k.waiting[r.GetNumber()]
	if answer == nil {
		return
	}
	delete(k.waiting, r.GetNumber())
	answer <- r
}
