// Package keeper manages the configuration on a VM. A state VM runs a replica of the
// log of changes; every VM holds the active version and passes it on to its peers.
package keeper

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"bronzedrift.example/bronzedrift/internal/configurer"
	"bronzedrift.example/bronzedrift/internal/messenger/wire"
	"bronzedrift.example/bronzedrift/internal/recorder"
	"bronzedrift.example/bronzedrift/internal/replicator"
	"bronzedrift.example/bronzedrift/internal/storer"
	"bronzedrift.example/bronzedrift/internal/supervisor"
)

// Config configures a Keeper.
type Config struct {
	VM string
	// StateVMs returns the known VMs that have the state role.
	StateVMs func() []string
	// Founders are the VMs whose empty disks form a new group. The list is the same on
	// each of them, and empty if an operator bootstraps the group.
	Founders []string
	// Voters is the number of voters that the group maintains: further members stay
	// learners, and replace voters that are lost. Zero makes every member a voter.
	Voters int
	// Disk is nil on VMs without the state role.
	Disk   *storer.Disk
	Timing replicator.Timing
	Seed   uint64
	Now    func() time.Time
}

// Handlers are called by a Keeper's goroutine and must not block.
type Handlers struct {
	// Send sends a message to another VM. It is called by the goroutines of callers too.
	Send func(vm string, m *wire.StateMessage)
	// Broadcast sends a message to all reachable VMs.
	Broadcast func(m *wire.StateMessage)
	// Activate puts a version of the configuration in force on this VM.
	Activate func(configurer.Configuration)
	// ActivateEvacuations puts a set of evacuations in force on this VM. It is called with
	// each higher revision and may be nil.
	ActivateEvacuations func(configurer.EvacuationSet)
	Event               func(recorder.Event)
}

// Errors of requests.
var (
	// ErrUnavailable is returned if no leader has answered: the outcome is unknown.
	ErrUnavailable = errors.New("keeper: the state VMs have not answered; the outcome is unknown")
	// ErrNoReplica is returned on a VM without the state role.
	ErrNoReplica = errors.New("keeper: this VM has not the role state")
)

// RefusedError is returned for a request that the leader refused.
type RefusedError struct{ Message string }

// Error is part of the error interface.
func (e *RefusedError) Error() string { return e.Message }

// Keeper manages the configuration in one daemon.
type Keeper struct {
	config           Config
	handlers         Handlers
	inputs           chan input
	load             queueLoad
	overflow         overflow
	droppedPushes    droppedPushes
	done             chan struct{}
	store            *storer.Storer
	replica          *replicator.Replicator
	membersCheckedAt time.Time
	stateMachine     *configurer.Configurer
	snapshot         *replicator.Snapshot
	active           configurer.Configuration
	identity         string
	requester        *requester
	leaderCalls      map[uint64]*call
	// answeredReads holds the times up to which repeats of answered reads are ignored, by the
	// number of the request.
	answeredReads map[uint64]time.Time
	// published is the active version, for callers in other goroutines.
	published atomic.Pointer[configurer.Configuration]
	// proposedIn holds the terms in which this leader has proposed changes that are not
	// applied, by the ID of the change.
	proposedIn             map[string]uint64
	appliedSinceCompaction int
	announcedAt            time.Time
	guard                  supervisor.Guard
	fetcher                fetcher
	// evacuations is the set in force. It is never replaced by one of a lower revision.
	evacuations       atomic.Pointer[configurer.EvacuationSet]
	evacuationFetcher fetcher
	condition         atomic.Pointer[Condition]
	diskRefusedSince  atomic.Pointer[time.Time]
	// memberVMs are the VMs of the members in the replica's log.
	memberVMs atomic.Pointer[[]string]
}

// call is a request that this replica must answer as the leader. index is the entry
// whose commit completes a removal, and zero for other requests. term is that of the
// proposal, and askedAt the time at which the request last came. The request has no text.
type call struct {
	request *wire.Request
	index   uint64
	term    uint64
	askedAt time.Time
}

const (
	inputQueueLength = 1024
	tickInterval     = 25 * time.Millisecond
	// The log is compacted after entriesPerCompaction entries, or once it has grown by
	// minCompactionBytes and by the size of the last snapshot.
	//
	// With configurations of up to c bytes, above minCompactionBytes, a snapshot has about c
	// bytes, and the log grows by less than 2c before it is compacted. The disk then holds two
	// snapshots and the log: 4c, and what was not committed at the last compaction, which the
	// replicator bounds by 16 MiB.
	entriesPerCompaction = 1000
	minCompactionBytes   = 8 << 20
	// diskRetryInterval is the pause before a failed write is retried. One in
	// failuresPerDiskReport failures is reported, about once a second.
	diskRetryInterval     = 100 * time.Millisecond
	failuresPerDiskReport = 10
)

// New returns a Keeper that resumes from the state on its disk.
func New(c Config, h Handlers) (*Keeper, error) {
	k := &Keeper{
		config: c, handlers: h, inputs: make(chan input, inputQueueLength), done: make(chan struct{}),
		stateMachine: configurer.New(), leaderCalls: map[uint64]*call{}, proposedIn: map[string]uint64{},
		answeredReads: map[uint64]time.Time{},
	}
	k.published.Store(&configurer.Configuration{})
	k.requester = newRequester(c, h, k.done)
	k.evacuations.Store(&configurer.EvacuationSet{})
	k.memberVMs.Store(&[]string{})
	if c.Disk == nil {
		return k, nil
	}
	k.requester.askOwn = k.tryRequest
	saved, err := k.open()
	if err != nil {
		return nil, err
	}
	return k, k.recoverEvacuations(&saved)
}

// open starts the replica from the disk and returns what was saved there.
func (k *Keeper) open() (replicator.Saved, error) {
	store, saved, err := storer.Open(k.config.Disk)
	if err != nil {
		return saved, err
	}
	if store.TruncatedBytes() > 0 {
		k.handlers.Event(recorder.Event{
			Number: recorder.LogTailCut, Text: fmt.Sprintf("%d bytes", store.TruncatedBytes()), Task: recorder.NoTask,
		})
	}
	isFounder := slices.Contains(k.config.Founders, k.config.VM) && saved.Snapshot == nil && len(saved.Entries) == 0
	k.identity, err = store.Identity(func() string {
		if isFounder {
			return founderID(k.config.VM)
		}
		return k.config.VM + "#" + uuid.NewString()
	})
	if err != nil {
		return saved, err
	}
	if isFounder && k.identity == founderID(k.config.VM) {
		if err := k.saveFoundingState(store, &saved); err != nil {
			return saved, err
		}
	}
	if saved.Snapshot != nil {
		if err := k.stateMachine.Restore(saved.Snapshot.State); err != nil {
			return saved, err
		}
		k.snapshot = saved.Snapshot
	}
	k.store = store
	k.replica = replicator.New(k.config.Now(), k.identity, k.config.VM, saved, k.config.Timing, k.config.Seed)
	k.setActive(k.stateMachine.Current())
	k.publishMembers()
	return saved, nil
}

func founderID(vm string) string { return vm + "#founder" }

// saveFoundingState saves the initial snapshot of the group, which is identical on all
// founders.
func (k *Keeper) saveFoundingState(store *storer.Storer, saved *replicator.Saved) error {
	state, err := k.stateMachine.Snapshot()
	if err != nil {
		return err
	}
	initial := &replicator.Snapshot{Index: 1, Term: 1, State: state}
	for _, vm := range k.config.Founders {
		initial.Members = append(initial.Members, replicator.Member{ID: founderID(vm), VM: vm, Voter: true})
	}
	hard := replicator.HardState{Term: 1}
	if err := store.Save(&hard, nil); err != nil {
		return err
	}
	if err := store.SaveSnapshot(initial, nil); err != nil {
		return err
	}
	saved.HardState, saved.Snapshot = hard, initial
	return nil
}

// Serve runs the Keeper until the context ends.
func (k *Keeper) Serve(ctx context.Context) error {
	defer close(k.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	if k.active.Version > 0 {
		k.putInForce(k.active)
	}
	if set := k.Evacuations(); set.Revision > 0 {
		k.putEvacuationsInForce(set)
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case in := <-k.inputs:
			k.load.bytes.Add(-in.size)
			k.runGuarded(func() { k.handle(in) })
		case <-ticker.C:
			k.runGuarded(k.tick)
		}
	}
}

func (k *Keeper) tick() {
	for _, in := range k.overflow.take() {
		k.handle(in)
	}
	k.stepReplica(func(now time.Time, out *replicator.Effects) { k.replica.Tick(now, out) })
	k.announceIfNotMember(k.config.Now())
	k.maintainVoters(k.config.Now())
	k.publishMembers()
	k.fetchNext(k.config.Now())
	k.fetchNextEvacuations(k.config.Now())
	k.dropOldCalls(k.config.Now())
	k.repeatPushes(k.config.Now())
	k.publishCondition(k.config.Now())
	k.reportDrops(k.config.Now())
}

// runGuarded runs f. If it panics, the replica may be in an inconsistent state and starts
// over from its disk, as after a restart of the process.
func (k *Keeper) runGuarded(f func()) {
	err := k.guard.Run(k.config.Now(), f)
	if err == nil {
		return
	}
	k.handlers.Event(recorder.Event{Number: recorder.InputPanicked, Text: err.Error(), Task: recorder.NoTask})
	if k.config.Disk == nil {
		return
	}
	k.stateMachine, k.snapshot, k.leaderCalls = configurer.New(), nil, map[uint64]*call{}
	k.proposedIn = map[string]uint64{}
	k.appliedSinceCompaction = 0
	if _, err := k.open(); err != nil {
		panic(err)
	}
}

func (k *Keeper) handle(in input) {
	now := k.config.Now()
	switch {
	case in.run != nil:
		in.run(now)
	case in.connectedPeer != "":
		k.greet(in.connectedPeer)
	case in.message.GetLog() != nil:
		m, err := decodeMessage(in.message.GetLog())
		if err != nil {
			k.handlers.Event(recorder.Event{Number: recorder.LinkRefused, Peer: in.from, Text: err.Error(), Task: recorder.NoTask})
			return
		}
		k.stepReplica(func(now time.Time, out *replicator.Effects) { k.replica.Handle(now, m, out) })
	case in.message.GetRequest() != nil:
		k.handleRequest(in.from, in.message.GetRequest())
	case in.message.GetConfiguration() != nil:
		k.receiveConfiguration(now, in.message.GetConfiguration())
	case in.message.GetEvacuations() != nil:
		k.receiveEvacuations(now, in.from, in.message.GetEvacuations())
	case in.message.GetWantsEvacuations():
		k.sendEvacuations(in.from)
	case in.message.GetWants():
		if k.active.Version > in.message.GetWantNewer() {
			k.handlers.Send(in.from, &wire.StateMessage{Configuration: encodeConfiguration(k.active)})
		}
	case in.message.GetAnnounceMember() != "":
		k.addMember(in.message.GetAnnounceVm(), in.message.GetAnnounceMember())
	}
}

// greet sends the active version, the evacuations and this disk's identity.
func (k *Keeper) greet(vm string) {
	k.push(vm)
	if k.replica != nil {
		k.handlers.Send(vm, &wire.StateMessage{AnnounceMember: k.identity, AnnounceVm: k.config.VM})
	}
}

// receiveConfiguration handles a version that was pushed or asked for.
func (k *Keeper) receiveConfiguration(now time.Time, w *wire.Configuration) {
	k.fetcher.answered()
	k.activate(decodeConfiguration(w))
	k.fetchNext(now)
}

// activate makes a version the active one if it is higher. The leader and VMs without
// a replica then pass it on to all reachable VMs.
func (k *Keeper) activate(c configurer.Configuration) {
	if c.Version <= k.active.Version {
		return
	}
	k.setActive(c)
	k.putInForce(c)
	if k.replica == nil || k.replica.Status().Role == replicator.Leader {
		k.handlers.Broadcast(&wire.StateMessage{Configuration: encodeConfiguration(c)})
	}
}

func (k *Keeper) setActive(c configurer.Configuration) {
	k.active = c
	k.published.Store(&c)
}

// activateState puts the committed state of this replica in force.
func (k *Keeper) activateState() {
	k.activate(k.stateMachine.Current())
	k.activateEvacuations(k.stateMachine.Evacuations())
}

// putInForce activates a version. If that panics, the former version stays in force: all VMs
// have the same version, and each would come back to it from its disk.
func (k *Keeper) putInForce(c configurer.Configuration) {
	if err := k.guard.Run(k.config.Now(), func() { k.handlers.Activate(c) }); err != nil {
		text := fmt.Sprintf("version %d: %v", c.Version, err)
		k.handlers.Event(recorder.Event{Number: recorder.InputPanicked, Text: text, Task: recorder.NoTask})
	}
}

// stepReplica runs decide on the replica and executes the resulting effects.
func (k *Keeper) stepReplica(decide func(now time.Time, out *replicator.Effects)) {
	if k.replica == nil {
		return
	}
	var out replicator.Effects
	decide(k.config.Now(), &out)
	k.executeEffects(&out)
}

func (k *Keeper) executeEffects(out *replicator.Effects) {
	if out.ElectionWon {
		k.handlers.Event(recorder.Event{Number: recorder.ElectionWon, Task: recorder.NoTask})
		k.broadcastEvacuations()
	}
	for i := range out.Requests {
		k.send(&out.Requests[i])
	}
	k.save(out)
	for i := range out.Sends {
		k.send(&out.Sends[i])
	}
	if out.Restore != nil {
		if err := k.stateMachine.Restore(out.Restore.State); err != nil {
			panic(err)
		}
		k.activateState()
	}
	for i := range out.Commits {
		k.applyEntry(&out.Commits[i])
	}
	// The replica counts the whole batch as applied, so that a snapshot must not be taken
	// before the last entry of it.
	k.compactIfDue()
	k.activateState()
	for _, number := range out.ReadyReads {
		k.replyRead(number)
	}
	for _, number := range out.FailedReads {
		delete(k.leaderCalls, number)
	}
}

// save syncs the hard state, the entries and the snapshot of the effects.
func (k *Keeper) save(out *replicator.Effects) {
	if out.HardState == nil && len(out.Entries) == 0 && out.Snapshot == nil {
		return
	}
	startedAt := k.config.Now()
	defer func() { k.replica.Waited(k.config.Now().Sub(startedAt)) }()
	k.retryWrite(func() error { return k.store.Save(out.HardState, out.Entries) })
	if out.Snapshot != nil {
		k.snapshot = out.Snapshot
		k.retryWrite(func() error { return k.store.SaveSnapshot(out.Snapshot, k.replica.EntriesAfter(out.Snapshot.Index)) })
	}
}

// retryWrite retries a write until it succeeds. It blocks the Keeper's goroutine
// meanwhile, so that to the other members a VM with a failing disk appears to be down.
func (k *Keeper) retryWrite(write func() error) {
	for failures := 0; ; failures++ {
		err := write()
		if err == nil {
			k.noteRefusedWrite(nil)
			return
		}
		if failures == 0 {
			now := k.config.Now()
			k.noteRefusedWrite(&now)
		}
		if failures%failuresPerDiskReport == 0 {
			k.handlers.Event(recorder.Event{Number: recorder.DiskRefused, Text: err.Error(), Task: recorder.NoTask})
		}
		k.reportDrops(k.config.Now())
		time.Sleep(diskRetryInterval)
	}
}

func (k *Keeper) send(m *replicator.Message) {
	if m.Kind == replicator.InstallSnapshot {
		if k.snapshot == nil {
			return
		}
		m.Snapshot = k.snapshot
	}
	k.handlers.Send(m.ToVM, &wire.StateMessage{Log: encodeMessage(m)})
}

func (k *Keeper) applyEntry(e *replicator.Entry) {
	if len(e.Payload) > 0 {
		k.applyChange(e)
	}
	for number, c := range k.leaderCalls {
		if c.index == e.Index && c.request.GetChange() == nil {
			delete(k.leaderCalls, number)
			k.reply(c.request, &wire.Response{})
		}
	}
	k.appliedSinceCompaction++
}

func (k *Keeper) applyChange(e *replicator.Entry) {
	if configurer.IsEvacuation(e.Payload) {
		k.applyEvacuation(e)
		return
	}
	ch, err := configurer.DecodeChange(e.Payload)
	if err != nil {
		// All replicas skip the entry, so that their states stay the same.
		k.handlers.Event(recorder.Event{Number: recorder.LinkRefused, Text: fmt.Sprintf("entry %d: %v", e.Index, err), Task: recorder.NoTask})
		return
	}
	o := k.stateMachine.Apply(ch)
	delete(k.proposedIn, ch.ID)
	for number, c := range k.leaderCalls {
		if c.request.GetChange().GetId() == ch.ID {
			delete(k.leaderCalls, number)
			k.replyOutcome(c.request, o)
		}
	}
}

// compactIfDue replaces the applied entries by a snapshot once enough were applied, or the
// log has grown by enough bytes.
func (k *Keeper) compactIfDue() {
	if k.appliedSinceCompaction < entriesPerCompaction && k.store.GrowthBytes() < k.compactionBytes() {
		return
	}
	k.appliedSinceCompaction = 0
	var out replicator.Effects
	if k.snapshot != nil && k.replica.Status().Applied == k.snapshot.Index {
		// All entries of the log are uncommitted. The segment is written anew without those
		// that others have replaced.
		out.Snapshot = k.snapshot
	} else {
		state, err := k.stateMachine.Snapshot()
		if err != nil {
			panic(err)
		}
		k.replica.Compact(state, &out)
	}
	k.executeEffects(&out)
}

// compactionBytes is the growth of the log in bytes after which it is compacted.
func (k *Keeper) compactionBytes() int64 {
	if k.snapshot == nil {
		return minCompactionBytes
	}
	return max(minCompactionBytes, int64(len(k.snapshot.State)))
}
