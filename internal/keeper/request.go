package keeper

import (
	"context"
	"maps"
	"time"

	"google.golang.org/protobuf/proto"

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

// callTTL is longer than the time between two repeats of a request.
const callTTL = 2 * time.Second

// busyLinkFactor allows for the other texts on a link before a read is answered again.
const busyLinkFactor = 4

// View is the configuration as a linearizable read returns it.
type View struct {
	Current configurer.Configuration
	History []configurer.Configuration
}

// Change submits a change and waits for its outcome. A retry with the same ID has the
// same outcome.
func (k *Keeper) Change(ctx context.Context, ch configurer.Change) (configurer.Outcome, error) {
	r, err := k.requester.request(ctx, &wire.Request{
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
	r, err := k.requester.request(ctx, &wire.Request{Kind: requestRead})
	if err != nil {
		return View{}, err
	}
	v := View{Current: decodeConfiguration(r.GetState().GetCurrent())}
	for _, h := range r.GetState().GetHistory() {
		v.History = append(v.History, decodeConfiguration(h))
	}
	return v, nil
}

// ReadCurrent is a linearizable read of the newest version without its history. The leader
// leaves out the text if it is that of the version which this VM names in the request.
func (k *Keeper) ReadCurrent(ctx context.Context) (configurer.Configuration, error) {
	known := k.published.Load()
	r, err := k.requester.request(ctx, &wire.Request{Kind: requestCurrent, Change: &wire.Change{Version: known.Version}})
	if err != nil {
		return configurer.Configuration{}, err
	}
	if current := decodeConfiguration(r.GetState().GetCurrent()); current.Version != known.Version {
		return current, nil
	}
	return *known, nil
}

// Remove removes a VM's disk from the group unless that would lose the quorum.
func (k *Keeper) Remove(ctx context.Context, vm string) error {
	_, err := k.requester.request(ctx, &wire.Request{Kind: requestRemove, Vm: vm})
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

// tryRequest hands a request of this VM to its replica. While the queue is full it drops it,
// since another replica is asked next.
func (k *Keeper) tryRequest(w *wire.Request) {
	k.offer(input{message: &wire.StateMessage{Request: w}, size: int64(proto.Size(w))})
}

func cloneRequest(w *wire.Request, forwarded bool) *wire.Request {
	return &wire.Request{
		Number: w.GetNumber(), Kind: w.GetKind(), Change: w.GetChange(), Vm: w.GetVm(),
		Member: w.GetMember(), Origin: w.GetOrigin(), Passed: forwarded,
	}
}

// handleRequest handles a request if this replica is the leader, or else forwards it
// to the leader, unless it was forwarded already. The response to a request that names no
// origin goes to its sender.
func (k *Keeper) handleRequest(from string, w *wire.Request) {
	if k.replica == nil {
		return
	}
	status := k.replica.Status()
	if status.Role != replicator.Leader {
		delete(k.leaderCalls, w.GetNumber())
		if !w.GetPassed() && status.LeaderVM != "" {
			k.requester.pass(status.LeaderVM, from, w)
		}
		return
	}
	if w.GetOrigin() == "" {
		w.Origin = from
	}
	switch w.GetKind() {
	case requestChange:
		k.propose(w)
	case requestEvacuate:
		k.proposeEvacuation(w)
	case requestRead, requestCurrent, requestReadEvacuations:
		k.startRead(w)
	case requestRemove:
		k.remove(w)
	}
}

// startRead starts a read as the leader, unless it is a repeat of one that is under way or
// whose answer, with a text, may still be on a slow link.
func (k *Keeper) startRead(w *wire.Request) {
	now := k.config.Now()
	if a, ok := k.answeredReads[w.GetNumber()]; ok && now.Before(a) {
		return
	}
	if c := k.leaderCalls[w.GetNumber()]; c != nil {
		c.askedAt, c.request.Origin = now, w.GetOrigin()
		return
	}
	k.leaderCalls[w.GetNumber()] = &call{request: w, askedAt: now}
	k.stepReplica(func(now time.Time, out *replicator.Effects) { _ = k.replica.Read(now, w.GetNumber(), out) })
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
	// What is applied here is stored by a quorum.
	if current := k.stateMachine.Current().Version; ch.Version > 0 && ch.Version <= current {
		k.replyOutcome(w, configurer.Outcome{ID: ch.ID, Kind: configurer.Superseded, Version: current})
		return
	}
	term := k.replica.Status().Term
	k.awaitEntry(w, term)
	if k.proposedIn[ch.ID] == term {
		return
	}
	payload, err := configurer.EncodeChange(ch)
	if err != nil {
		k.reply(w, &wire.Response{Error: err.Error()})
		return
	}
	k.proposedIn[ch.ID] = term
	if !k.proposeEntry(w, payload) {
		delete(k.proposedIn, ch.ID)
	}
}

// proposeEntry proposes an entry whose commit answers the request. It reports false if the log
// has no room for it: a repetition of the request proposes it.
func (k *Keeper) proposeEntry(w *wire.Request, payload []byte) bool {
	k.awaitEntry(w, k.replica.Status().Term)
	var err error
	k.stepReplica(func(now time.Time, out *replicator.Effects) { _, err = k.replica.Propose(now, payload, out) })
	if err != nil {
		delete(k.leaderCalls, w.GetNumber())
	}
	return err == nil
}

// awaitEntry notes that the commit of an entry proposed in a term answers the request.
func (k *Keeper) awaitEntry(w *wire.Request, term uint64) {
	k.leaderCalls[w.GetNumber()] = &call{request: withoutText(w), term: term, askedAt: k.config.Now()}
}

func withoutText(w *wire.Request) *wire.Request {
	c := cloneRequest(w, false)
	if ch := w.GetChange(); ch != nil {
		c.Change = &wire.Change{Id: ch.GetId(), Version: ch.GetVersion()}
	}
	return c
}

// isProposed reports whether a request was proposed in the current term, and then notes
// where its response goes now. An entry of an earlier term may have been replaced by those of
// another leader, so that a request from then is proposed again.
func (k *Keeper) isProposed(w *wire.Request) bool {
	c := k.leaderCalls[w.GetNumber()]
	if c == nil || c.term != k.replica.Status().Term {
		return false
	}
	c.askedAt, c.request.Origin = k.config.Now(), w.GetOrigin()
	return true
}

// dropOldCalls forgets requests that were not repeated for long, since their callers are gone,
// and the changes that were proposed in earlier terms.
func (k *Keeper) dropOldCalls(now time.Time) {
	maps.DeleteFunc(k.leaderCalls, func(_ uint64, c *call) bool { return now.Sub(c.askedAt) > callTTL })
	maps.DeleteFunc(k.answeredReads, func(_ uint64, until time.Time) bool { return !now.Before(until) })
	if k.replica == nil || len(k.proposedIn) == 0 {
		return
	}
	term := k.replica.Status().Term
	maps.DeleteFunc(k.proposedIn, func(_ string, proposedIn uint64) bool { return proposedIn != term })
}

func (k *Keeper) remove(w *wire.Request) {
	if k.isProposed(w) {
		return
	}
	var err error
	k.leaderCalls[w.GetNumber()] = &call{
		request: w, index: k.replica.LastIndex() + 1, term: k.replica.Status().Term, askedAt: k.config.Now(),
	}
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
	current := k.stateMachine.Current()
	if known := c.request.GetChange().GetVersion(); known > 0 && known == current.Version {
		current.Text = nil
	}
	state := &wire.ConfigState{Current: encodeConfiguration(current)}
	for _, h := range k.historyFor(c.request) {
		state.History = append(state.History, encodeConfiguration(h))
	}
	if size := proto.Size(state); c.request.GetOrigin() != k.config.VM {
		k.answeredReads[number] = k.config.Now().Add(busyLinkFactor * transferTime(size))
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
		k.requester.receive(r)
		return
	}
	k.handlers.Send(w.GetOrigin(), &wire.StateMessage{Response: r})
}
