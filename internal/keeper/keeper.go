// Package keeper keeps the configuration on a VM: on the state VMs as replicas
// of the log, on every VM as the version in force, which it spreads.
package keeper

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"

	"bronzedrift.example/bronzedrift/internal/configurer"
	"bronzedrift.example/bronzedrift/internal/messenger/wire"
	"bronzedrift.example/bronzedrift/internal/recorder"
	"bronzedrift.example/bronzedrift/internal/replicator"
	"bronzedrift.example/bronzedrift/internal/storer"
)

// Config is what a Keeper is told at its start.
type Config struct {
	VM string
	// StateVMs returns the VMs with the role state that are known.
	StateVMs func() []string
	// Founders are the VMs whose empty disks begin a group together, the same on
	// each of them; none where an operator begins it.
	Founders []string
	// Voters is the number of voters that the group keeps by itself: learners
	// stay spare beyond it, and replace a voter that was lost. Zero makes every
	// member a voter.
	Voters int
	// Disk is nil on VMs without the role state.
	Disk   *storer.Disk
	Timing replicator.Timing
	Seed   uint64
	Now    func() time.Time
}

// Handlers are called by a Keeper's goroutine and must not block.
type Handlers struct {
	// Send hands a message to another VM.
	Send func(vm string, m *wire.StateMessage)
	// Spread hands a message to all VMs within reach.
	Spread func(m *wire.StateMessage)
	// Apply puts a version in force on this VM.
	Apply func(configurer.Configuration)
	Event func(recorder.Event)
}

// Errors of requests.
var (
	// ErrUnavailable says that no leader has answered: the outcome is unknown.
	ErrUnavailable = errors.New("keeper: the state VMs have not answered; the outcome is unknown")
	// ErrNoReplica says that this VM has not the role state.
	ErrNoReplica = errors.New("keeper: this VM has not the role state")
)

// RefusedError says why a request was refused.
type RefusedError struct{ Message string }

// Error is part of the error interface.
func (e *RefusedError) Error() string { return e.Message }

// Keeper runs the configuration's part of a daemon.
type Keeper struct {
	config   Config
	handlers Handlers
	inputs   chan input
	done     chan struct{}
	disk     *storer.Storer
	replica  *replicator.Replicator
	tendedAt time.Time
	machine  *configurer.Configurer
	snapshot *replicator.Snapshot
	inForce  configurer.Configuration
	identity string
	waiting  map[uint64]chan *wire.Response
	awaited  map[uint64]*call
	number   uint64
	next     int
	since    int
	askedAt  time.Time
}

// input is one thing for the goroutine to do.
type input struct {
	from    string
	message *wire.StateMessage
	peerUp  string
	run     func(now time.Time)
}

// call is a request that this replica, as the leader, has to answer.
type call struct {
	request *wire.Request
	index   uint64
}

const (
	ring         = 1024
	tickEvery    = 25 * time.Millisecond
	retryEvery   = 300 * time.Millisecond
	compactAfter = 1000
	// diskRetry is the pause before a refused write is tried again, and one in
	// diskReportEach of the failures is reported: once a second.
	diskRetry      = 100 * time.Millisecond
	diskReportEach = 10
)

// New returns a Keeper with what its disk holds.
func New(c Config, h Handlers) (*Keeper, error) {
	k := &Keeper{
		config: c, handlers: h, inputs: make(chan input, ring), done: make(chan struct{}),
		machine: configurer.New(), waiting: map[uint64]chan *wire.Response{}, awaited: map[uint64]*call{},
	}
	if c.Disk == nil {
		return k, nil
	}
	return k, k.open()
}

func (k *Keeper) open() error {
	disk, saved, err := storer.Open(k.config.Disk)
	if err != nil {
		return err
	}
	if disk.Cut() > 0 {
		k.handlers.Event(recorder.Event{
			Number: recorder.LogTailCut, Text: fmt.Sprintf("%d bytes", disk.Cut()), Task: recorder.NoTask,
		})
	}
	isFounder := slices.Contains(k.config.Founders, k.config.VM) && saved.Snapshot == nil && len(saved.Entries) == 0
	k.identity, err = disk.Identity(func() string {
		if isFounder {
			return founderID(k.config.VM)
		}
		return k.config.VM + "#" + uuid.NewString()
	})
	if err != nil {
		return err
	}
	if isFounder && k.identity == founderID(k.config.VM) {
		if err := k.found(disk, &saved); err != nil {
			return err
		}
	}
	if saved.Snapshot != nil {
		if err := k.machine.Restore(saved.Snapshot.State); err != nil {
			return err
		}
		k.snapshot = saved.Snapshot
	}
	k.disk = disk
	k.replica = replicator.New(k.config.Now(), k.identity, k.config.VM, saved, k.config.Timing, k.config.Seed)
	k.inForce = k.machine.Current()
	return nil
}

func founderID(vm string) string { return vm + "#founder" }

// found saves the first state of the group, which is the same on each founder.
func (k *Keeper) found(disk *storer.Storer, saved *replicator.Saved) error {
	state, err := k.machine.Snapshot()
	if err != nil {
		return err
	}
	first := &replicator.Snapshot{Index: 1, Term: 1, State: state}
	for _, vm := range k.config.Founders {
		first.Members = append(first.Members, replicator.Member{ID: founderID(vm), VM: vm, Voter: true})
	}
	hard := replicator.HardState{Term: 1}
	if err := disk.Save(&hard, nil); err != nil {
		return err
	}
	if err := disk.SaveSnapshot(first, nil); err != nil {
		return err
	}
	saved.Hard, saved.Snapshot = hard, first
	return nil
}

// Serve runs the Keeper until the context ends.
func (k *Keeper) Serve(ctx context.Context) error {
	defer close(k.done)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	if k.inForce.Version > 0 {
		k.handlers.Apply(k.inForce)
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case in := <-k.inputs:
			k.handle(in)
		case <-ticker.C:
			k.step(func(now time.Time, out *replicator.Effects) { k.replica.Tick(now, out) })
			k.askToJoin(k.config.Now())
			k.tendMembers(k.config.Now())
		}
	}
}

// Receive takes a message from another VM.
func (k *Keeper) Receive(from string, m *wire.StateMessage) {
	k.put(input{from: from, message: m})
}

// PeerUp tells a VM on a new link the version in force and this disk's identity.
func (k *Keeper) PeerUp(vm string) {
	k.put(input{peerUp: vm})
}

func (k *Keeper) put(in input) {
	select {
	case k.inputs <- in:
	case <-k.done:
	}
}

func (k *Keeper) handle(in input) {
	now := k.config.Now()
	switch {
	case in.run != nil:
		in.run(now)
	case in.peerUp != "":
		k.greet(in.peerUp)
	case in.message.GetLog() != nil:
		m := decodeMessage(in.message.GetLog())
		k.step(func(now time.Time, out *replicator.Effects) { k.replica.Handle(now, m, out) })
	case in.message.GetRequest() != nil:
		k.serve(now, in.message.GetRequest())
	case in.message.GetResponse() != nil:
		k.respond(in.message.GetResponse())
	case in.message.GetConfiguration() != nil:
		w := in.message.GetConfiguration()
		k.adopt(configurer.Configuration{Version: w.GetVersion(), Text: w.GetText()})
	case in.message.GetWants():
		if k.inForce.Version > in.message.GetWantNewer() {
			k.handlers.Send(in.from, &wire.StateMessage{Configuration: encodeConfiguration(k.inForce)})
		}
	case in.message.GetAnnounceMember() != "":
		k.join(in.message.GetAnnounceVm(), in.message.GetAnnounceMember())
	}
}

func (k *Keeper) greet(vm string) {
	if k.inForce.Version > 0 {
		k.handlers.Send(vm, &wire.StateMessage{Configuration: encodeConfiguration(k.inForce)})
	}
	if k.replica != nil {
		k.handlers.Send(vm, &wire.StateMessage{AnnounceMember: k.identity, AnnounceVm: k.config.VM})
	}
}

// Want asks a VM for its version in force if that is higher than ours.
func (k *Keeper) Want(vm string) {
	k.put(input{run: func(time.Time) {
		k.handlers.Send(vm, &wire.StateMessage{Wants: true, WantNewer: k.inForce.Version})
	}})
}

// adopt puts a version in force if it is higher than the one that is.
func (k *Keeper) adopt(c configurer.Configuration) {
	if c.Version <= k.inForce.Version {
		return
	}
	k.inForce = c
	k.handlers.Apply(c)
	if k.replica == nil || k.replica.Status().Role == replicator.Leader {
		k.handlers.Spread(&wire.StateMessage{Configuration: encodeConfiguration(c)})
	}
}

// step lets the replica decide, then saves, sends and applies what follows.
func (k *Keeper) step(decide func(now time.Time, out *replicator.Effects)) {
	if k.replica == nil {
		return
	}
	var out replicator.Effects
	decide(k.config.Now(), &out)
	k.carryOut(&out)
}

func (k *Keeper) carryOut(out *replicator.Effects) {
	if out.Won {
		k.handlers.Event(recorder.Event{Number: recorder.ElectionWon, Task: recorder.NoTask})
	}
	k.save(out)
	for i := range out.Sends {
		k.send(&out.Sends[i])
	}
	if out.Restore != nil {
		if err := k.machine.Restore(out.Restore.State); err != nil {
			panic(err)
		}
		k.adopt(k.machine.Current())
	}
	for i := range out.Commits {
		k.apply(&out.Commits[i])
	}
	k.adopt(k.machine.Current())
	for _, number := range out.Reads {
		k.answerRead(number)
	}
	for _, number := range out.Lost {
		delete(k.awaited, number)
	}
}

// save syncs what the replica must not forget.
func (k *Keeper) save(out *replicator.Effects) {
	k.persist(func() error { return k.disk.Save(out.Hard, out.Save) })
	if out.Snapshot != nil {
		k.snapshot = out.Snapshot
		k.persist(func() error { return k.disk.SaveSnapshot(out.Snapshot, k.replica.EntriesAfter(out.Snapshot.Index)) })
	}
}

// persist repeats a write that the disk refuses. The replica decides nothing
// meanwhile, so that a group with such a disk works as without this member.
func (k *Keeper) persist(write func() error) {
	for failures := 0; ; failures++ {
		err := write()
		if err == nil {
			return
		}
		if failures%diskReportEach == 0 {
			k.handlers.Event(recorder.Event{Number: recorder.DiskRefused, Text: err.Error(), Task: recorder.NoTask})
		}
		time.Sleep(diskRetry)
	}
}

func (k *Keeper) send(m *replicator.Message) {
	if m.Kind == replicator.Install {
		if k.snapshot == nil {
			return
		}
		m.Snapshot = k.snapshot
	}
	k.handlers.Send(m.ToVM, &wire.StateMessage{Log: encodeMessage(m)})
}

func (k *Keeper) apply(e *replicator.Entry) {
	if len(e.Payload) > 0 {
		k.applyChange(e)
	}
	for number, c := range k.awaited {
		if c.index == e.Index && c.request.GetChange() == nil {
			delete(k.awaited, number)
			k.reply(c.request, &wire.Response{})
		}
	}
	k.since++
	if k.since >= compactAfter {
		k.since = 0
		k.compact()
	}
}

func (k *Keeper) applyChange(e *replicator.Entry) {
	ch, err := configurer.DecodeChange(e.Payload)
	if err != nil {
		panic(err)
	}
	o := k.machine.Apply(ch)
	for number, c := range k.awaited {
		if c.request.GetChange().GetId() == ch.ID {
			delete(k.awaited, number)
			k.replyOutcome(c.request, o)
		}
	}
}

func (k *Keeper) compact() {
	state, err := k.machine.Snapshot()
	if err != nil {
		panic(err)
	}
	var out replicator.Effects
	k.replica.Compact(state, &out)
	k.carryOut(&out)
}
