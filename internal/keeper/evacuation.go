package keeper

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"bronzedrift.example/bronzedrift/internal/configurer"
	"bronzedrift.example/bronzedrift/internal/messenger/wire"
	"bronzedrift.example/bronzedrift/internal/recorder"
	"bronzedrift.example/bronzedrift/internal/replicator"
)

// Evacuate orders that a data centre is evacuated (active) or that its evacuation is
// cancelled, and returns its record once a quorum has committed the order. The record shows
// the opposite state if another order followed before the acknowledgement. Its errors are
// those of Change.
//
// Each proposal has as its base a revision that was known while the caller was waiting, so
// that a request that is delayed in transit cannot undo an order acknowledged after the
// caller has given up.
func (k *Keeper) Evacuate(ctx context.Context, dataCentre string, active bool) (configurer.Evacuation, error) {
	isWaiting := k.waitOf(ctx)
	ch := configurer.EvacuationChange{
		ID: uuid.NewString(), DataCentre: dataCentre, Active: active, BaseRevision: k.Evacuations().Revision, ChangedAt: k.config.Now(),
	}
	if err := ch.Validate(); err != nil {
		return configurer.Evacuation{}, fmt.Errorf("keeper: %w", err)
	}
	for isWaiting() {
		r, err := k.requester.request(ctx, &wire.Request{Kind: requestEvacuate, Change: configurer.EvacuationToWire(ch)})
		if err != nil {
			return configurer.Evacuation{}, err
		}
		set, err := decodeEvacuationState(r.GetState())
		if err != nil {
			return configurer.Evacuation{}, err
		}
		// The set is committed. It is put in force here in case the leader is lost before it
		// has distributed the set.
		k.enqueue(input{run: func(time.Time) { k.activateEvacuations(set) }})
		if configurer.OutcomeKind(r.GetOutcome().GetKind()) != configurer.Conflict {
			return recordOf(set, dataCentre), nil
		}
		// The response holds the set as of the conflict, so that no separate read is needed.
		ch.BaseRevision = set.Revision
	}
	return configurer.Evacuation{}, errors.Join(ErrUnavailable, ctx.Err())
}

// waitOf returns a function that reports whether the caller still waits. A process that
// resumes after it was frozen may find a response before the runtime has ended the context;
// it must not make a new proposal for a caller that has given up.
func (k *Keeper) waitOf(ctx context.Context) func() bool {
	startedAt := k.config.Now()
	deadline, hasDeadline := ctx.Deadline()
	patience := time.Until(deadline)
	return func() bool {
		return ctx.Err() == nil && (!hasDeadline || k.config.Now().Sub(startedAt) < patience)
	}
}

// recordOf returns the record of a data centre. One that was never evacuated has revision
// zero.
func recordOf(set configurer.EvacuationSet, dataCentre string) configurer.Evacuation {
	if e, ok := set.Find(dataCentre); ok {
		return e
	}
	return configurer.Evacuation{DataCentre: dataCentre}
}

// ReadEvacuations is a linearizable read of the evacuations.
func (k *Keeper) ReadEvacuations(ctx context.Context) (configurer.EvacuationSet, error) {
	r, err := k.requester.request(ctx, &wire.Request{Kind: requestReadEvacuations})
	if err != nil {
		return configurer.EvacuationSet{}, err
	}
	return decodeEvacuationState(r.GetState())
}

// Evacuations returns the set in force on this VM. It may be called by any goroutine and,
// on a state VM, returns the committed set of its disk as soon as New has returned.
func (k *Keeper) Evacuations() configurer.EvacuationSet { return *k.evacuations.Load() }

// RequestNewerEvacuations asks a VM for its evacuations, which have a higher revision than
// this VM's. It waits for the push of the leader and the answer of another VM first. It is
// called again at the next heartbeat.
func (k *Keeper) RequestNewerEvacuations(vm string, revision uint64) {
	k.offer(input{run: func(now time.Time) {
		k.evacuationFetcher.add(now, vm, revision, k.Evacuations().Revision)
		k.fetchNextEvacuations(now)
	}})
}

// fetchNextEvacuations asks the next VM for newer evacuations.
func (k *Keeper) fetchNextEvacuations(now time.Time) {
	if vm := k.evacuationFetcher.next(now, k.Evacuations().Revision); vm != "" {
		k.handlers.Send(vm, &wire.StateMessage{WantsEvacuations: true})
	}
}

// sendEvacuations sends the set in force to a VM.
func (k *Keeper) sendEvacuations(vm string) {
	if set := k.Evacuations(); set.Revision > 0 {
		k.handlers.Send(vm, &wire.StateMessage{Evacuations: configurer.EvacuationSetToWire(set)})
	}
}

// receiveEvacuations handles a set that was pushed or asked for.
func (k *Keeper) receiveEvacuations(now time.Time, from string, w *wire.EvacuationSet) {
	set, err := configurer.EvacuationSetFromWire(w)
	if err != nil {
		k.handlers.Event(recorder.Event{Number: recorder.LinkRefused, Peer: from, Text: err.Error(), Task: recorder.NoTask})
		return
	}
	k.evacuationFetcher.answered()
	k.activateEvacuations(set)
	k.fetchNextEvacuations(now)
}

// activateEvacuations puts a set in force if its revision is higher. The leader and VMs
// without a replica then pass it on to all reachable VMs.
func (k *Keeper) activateEvacuations(set configurer.EvacuationSet) {
	if set.Revision <= k.Evacuations().Revision {
		return
	}
	k.evacuations.Store(&set)
	k.putEvacuationsInForce(set)
	if k.replica == nil || k.replica.Status().Role == replicator.Leader {
		k.broadcastEvacuations()
	}
}

// broadcastEvacuations sends the set in force to all reachable VMs. A new leader does so
// too, since the former one may have been lost between the commit and its broadcast.
func (k *Keeper) broadcastEvacuations() {
	if set := k.Evacuations(); set.Revision > 0 {
		k.handlers.Broadcast(&wire.StateMessage{Evacuations: configurer.EvacuationSetToWire(set)})
	}
}

// putEvacuationsInForce hands a set to the handler. As with a configuration, a panic of the
// handler must not end the process, since each VM would come back to the set from its disk.
func (k *Keeper) putEvacuationsInForce(set configurer.EvacuationSet) {
	if k.handlers.ActivateEvacuations == nil {
		return
	}
	if err := k.guard.Run(k.config.Now(), func() { k.handlers.ActivateEvacuations(set) }); err != nil {
		text := fmt.Sprintf("evacuations %d: %v", set.Revision, err)
		k.handlers.Event(recorder.Event{Number: recorder.InputPanicked, Text: text, Task: recorder.NoTask})
	}
}

// recoverEvacuations takes over the committed set of the disk, including the entries after
// the snapshot that the replica will only apply at its first tick. Serve puts it in force.
func (k *Keeper) recoverEvacuations(saved *replicator.Saved) error {
	committed := configurer.New()
	if saved.Snapshot != nil {
		if err := committed.Restore(saved.Snapshot.State); err != nil {
			return err
		}
	}
	for i := range saved.Entries {
		e := &saved.Entries[i]
		if e.Index > saved.HardState.Commit {
			break
		}
		if ch, err := configurer.DecodeEvacuation(e.Payload); err == nil {
			committed.ApplyEvacuation(ch)
		}
	}
	set := committed.Evacuations()
	k.evacuations.Store(&set)
	return nil
}

// proposeEvacuation proposes an order as the leader. A repeated request is proposed again
// once the first proposal was answered: the state machine recognises the order.
func (k *Keeper) proposeEvacuation(w *wire.Request) {
	if k.isProposed(w) {
		return
	}
	ch, err := configurer.EvacuationFromWire(w.GetChange())
	if err != nil {
		k.reply(w, &wire.Response{Error: err.Error()})
		return
	}
	payload, err := configurer.EncodeEvacuation(ch)
	if err != nil {
		k.reply(w, &wire.Response{Error: err.Error()})
		return
	}
	k.proposeEntry(w, payload)
}

// applyEvacuation applies a committed order and answers the requests for it.
func (k *Keeper) applyEvacuation(e *replicator.Entry) {
	ch, err := configurer.DecodeEvacuation(e.Payload)
	if err != nil {
		// All replicas skip the entry, so that their states stay the same.
		k.handlers.Event(recorder.Event{Number: recorder.LinkRefused, Text: fmt.Sprintf("entry %d: %v", e.Index, err), Task: recorder.NoTask})
		return
	}
	o := k.stateMachine.ApplyEvacuation(ch)
	for number, c := range k.leaderCalls {
		if c.request.GetChange().GetId() != ch.ID {
			continue
		}
		delete(k.leaderCalls, number)
		text := fmt.Sprintf("evacuation of %s, active %t: %s", ch.DataCentre, ch.Active, o.Kind)
		k.handlers.Event(recorder.Event{Number: recorder.ConfigurationChange, Text: text, Task: recorder.NoTask})
		k.reply(c.request, &wire.Response{
			Outcome: &wire.Outcome{Id: o.ID, Kind: string(o.Kind), Version: o.Version}, State: k.evacuationState(),
		})
	}
}

// evacuationState returns the evacuations of the state machine for a response.
func (k *Keeper) evacuationState() *wire.ConfigState {
	w := configurer.EvacuationSetToWire(k.stateMachine.Evacuations())
	return &wire.ConfigState{Evacuations: w.GetEvacuations(), EvacuationRevision: w.GetRevision()}
}

func decodeEvacuationState(w *wire.ConfigState) (configurer.EvacuationSet, error) {
	set, err := configurer.EvacuationSetFromWire(&wire.EvacuationSet{Revision: w.GetEvacuationRevision(), Evacuations: w.GetEvacuations()})
	if err != nil {
		return configurer.EvacuationSet{}, fmt.Errorf("keeper: %w", err)
	}
	return set, nil
}
