package keeper

import (
	"context"
	"errors"
	"math/rand/v2"
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
	// Leaders of builds without evacuations ignore these kinds, and the sender repeats them.
	requestEvacuate        = "evacuate"
	requestReadEvacuations = "read-evacuations"
)

// View is the configuration as a linearizable read returns it.
type View struct {
	Current configurer.Configuration
	History []configurer.Configuration
}

// Change submits a change and waits for its outcome. A retry with the same ID has the
// same outcome.
func (k *Keeper) Change(ctx context.Context, ch configurer.Change) (configurer.Outcome, error) {
	r, err := k.request(ctx, &wire.Request{
		Kind: requestChange, Change: &wire.Change{Id: ch.ID, BaseVersion: ch.BaseVersion, Version: ch.Version, Text: ch.Text},
	})
	if err != nil {
		return configurer.Outcome{}, err
	}
	o := r.GetOutcome()
	return configurer.Outcome{ID: o.GetId(), Kind: configurer.OutcomeKind(o.GetKind()), Version: o.GetVersion()}, nil
}

// Read is a linearizable read of the newest configuration and its history.
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

// ReadCurrent is a linearizable read of the newest version without its history.
func (k *Keeper) ReadCurrent(ctx context.Context) (configurer.Configuration, error) {
	r, err := k.request(ctx, &wire.Request{Kind: requestCurrent})
	if err != nil {
		return configurer.Configuration{}, err
	}
	return decodeConfiguration(r.GetState().GetCurrent()), nil
}

// Remove removes a VM's disk from the group unless that would lose the quorum.
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
		k.executeEffects(&out)
		result <- err
	}
	k.enqueue(input{run: run})
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Status returns the state of this VM's replica and the active version.
func (k *Keeper) Status(ctx context.Context) (replicator.Status, uint64, error) {
	type answer struct {
		status  replicator.Status
		version uint64
	}
	result := make(chan answer, 1)
	k.enqueue(input{run: func(time.Time) {
		a := answer{version: k.active.Version}
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

// request dispatches a request every requestRetryInterval until it is answered. All
// requests are safe to retry.
func (k *Keeper) request(ctx context.Context, w *wire.Request) (*wire.Response, error) {
	answer := make(chan *wire.Response, 1)
	w.Origin = k.config.VM
	k.enqueue(input{run: func(now time.Time) {
		// The leader tells the requests of all VMs apart by their numbers.
		w.Number = rand.Uint64()
		k.pendingResponses[w.Number] = answer
		k.dispatch(now, w)
	}})
	ticker := time.NewTicker(requestRetryInterval)
	defer ticker.Stop()
	for {
		select {
		case r := <-answer:
			if r.GetError() != "" {
				return nil, &RefusedError{Message: r.GetError()}
			}
			return r, nil
		case <-ticker.C:
			k.enqueue(input{run: func(now time.Time) { k.dispatch(now, w) }})
		case <-ctx.Done():
			k.enqueue(input{run: func(time.Time) { delete(k.pendingResponses, w.GetNumber()) }})
			return nil, errors.Join(ErrUnavailable, ctx.Err())
		case <-k.done:
			return nil, ErrUnavailable
		}
	}
}

// dispatch sends a request of this VM to a replica: its own, or else that of the next
// state VM.
func (k *Keeper) dispatch(now time.Time, w *wire.Request) {
	if k.replica != nil {
		k.handleRequest(now, cloneRequest(w, false))
		return
	}
	vms := k.config.StateVMs()
	if len(vms) == 0 {
		return
	}
	k.nextStateVM++
	k.handlers.Send(vms[k.nextStateVM%len(vms)], &wire.StateMessage{Request: w})
}

func cloneRequest(w *wire.Request, forwarded bool) *wire.Request {
	return &wire.Request{
		Number: w.GetNumber(), Kind: w.GetKind(), Change: w.GetChange(), Vm: w.GetVm(),
		Member: w.GetMember(), Origin: w.GetOrigin(), Passed: forwarded,
	}
}

// handleRequest handles a request if this replica is the leader, or else forwards it
// to the leader, unless it was forwarded already.
func (k *Keeper) handleRequest(_ time.Time, w *wire.Request) {
	if k.replica == nil {
		return
	}
	status := k.replica.Status()
	if status.Role != replicator.Leader {
		delete(k.leaderCalls, w.GetNumber())
		if !w.GetPassed() && status.LeaderVM != "" {
			k.handlers.Send(status.LeaderVM, &wire.StateMessage{Request: cloneRequest(w, true)})
		}
		return
	}
	switch w.GetKind() {
	case requestChange:
		k.propose(w)
	case requestEvacuate:
		k.proposeEvacuation(w)
	case requestRead, requestCurrent, requestReadEvacuations:
		k.leaderCalls[w.GetNumber()] = &call{request: w}
		k.stepReplica(func(now time.Time, out *replicator.Effects) { _ = k.replica.Read(now, w.GetNumber(), out) })
	case requestRemove:
		k.remove(w)
	}
}

func (k *Keeper) propose(w *wire.Request) {
	ch := configurer.Change{
		ID: w.GetChange().GetId(), BaseVersion: w.GetChange().GetBaseVersion(),
		Version: w.GetChange().GetVersion(), Text: w.GetChange().GetText(),
	}
	if o, ok := k.stateMachine.Outcome(ch.ID); ok {
		k.replyOutcome(w, o)
		return
	}
	if k.isProposed(w) {
		return
	}
	payload, err := configurer.EncodeChange(ch)
	if err != nil {
		k.reply(w, &wire.Response{Error: err.Error()})
		return
	}
	k.proposeEntry(w, payload)
}

// proposeEntry proposes an entry whose commit answers the request. If the log has no room for
// it, a repetition of the request proposes it.
func (k *Keeper) proposeEntry(w *wire.Request, payload []byte) {
	k.leaderCalls[w.GetNumber()] = &call{request: w, term: k.replica.Status().Term}
	var err error
	k.stepReplica(func(now time.Time, out *replicator.Effects) { _, err = k.replica.Propose(now, payload, out) })
	if err != nil {
		delete(k.leaderCalls, w.GetNumber())
	}
}

// isProposed reports whether a request was proposed in the current term. An entry of an
// earlier term may have been replaced by those of another leader, so that a request from
// then is proposed again.
func (k *Keeper) isProposed(w *wire.Request) bool {
	c := k.leaderCalls[w.GetNumber()]
	return c != nil && c.term == k.replica.Status().Term
}

func (k *Keeper) remove(w *wire.Request) {
	if k.isProposed(w) {
		return
	}
	var err error
	k.leaderCalls[w.GetNumber()] = &call{request: w, index: k.replica.LastIndex() + 1, term: k.replica.Status().Term}
	k.stepReplica(func(now time.Time, out *replicator.Effects) { err = k.replica.Remove(now, w.GetVm(), out) })
	if err != nil {
		delete(k.leaderCalls, w.GetNumber())
		k.reply(w, &wire.Response{Error: err.Error()})
	}
}

func (k *Keeper) replyRead(number uint64) {
	c := k.leaderCalls[number]
	if c == nil {
		return
	}
	delete(k.leaderCalls, number)
	if c.request.GetKind() == requestReadEvacuations {
		k.reply(c.request, &wire.Response{State: k.evacuationState()})
		return
	}
	state := &wire.ConfigState{Current: encodeConfiguration(k.stateMachine.Current())}
	for _, h := range k.historyFor(c.request) {
		state.History = append(state.History, encodeConfiguration(h))
	}
	k.reply(c.request, &wire.Response{State: state})
}

func (k *Keeper) historyFor(w *wire.Request) []configurer.Configuration {
	if w.GetKind() == requestCurrent {
		return nil
	}
	return k.stateMachine.History()
}

func (k *Keeper) replyOutcome(w *wire.Request, o configurer.Outcome) {
	k.handlers.Event(recorder.Event{Number: recorder.ConfigurationChange, Text: o.ID + " " + string(o.Kind), Task: recorder.NoTask})
	k.reply(w, &wire.Response{Outcome: &wire.Outcome{Id: o.ID, Kind: string(o.Kind), Version: o.Version}})
}

func (k *Keeper) reply(w *wire.Request, r *wire.Response) {
	r.Number = w.GetNumber()
	if w.GetOrigin() == k.config.VM {
		k.deliverResponse(r)
		return
	}
	k.handlers.Send(w.GetOrigin(), &wire.StateMessage{Response: r})
}

func (k *Keeper) deliverResponse(r *wire.Response) {
	answer := k.pendingResponses[r.GetNumber()]
	if answer == nil {
		return
	}
	delete(k.pendingResponses, r.GetNumber())
	answer <- r
}
