package keeper

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"bronzedrift.example/bronzedrift/internal/configurer"
	"bronzedrift.example/bronzedrift/internal/messenger/wire"
	"bronzedrift.example/bronzedrift/internal/recorder"
	"bronzedrift.example/bronzedrift/internal/replicator"
	"bronzedrift.example/bronzedrift/internal/storer"
)

// evacuationEntries returns n entries from an index on, of which each raises the revision by
// one: each odd revision evacuates the data centre east, and each even one cancels that.
func evacuationEntries(t *testing.T, index, revision uint64, n int) []replicator.Entry {
	t.Helper()
	entries := make([]replicator.Entry, n)
	for i := range entries {
		base := revision + uint64(i)
		payload, err := configurer.EncodeEvacuation(configurer.EvacuationChange{
			ID: fmt.Sprint("order-", base+1), DataCentre: "east", Active: base%2 == 0, BaseRevision: base, ChangedAt: time.Unix(int64(base), 0),
		})
		require.NoError(t, err)
		entries[i] = replicator.Entry{Index: index + uint64(i), Term: 1, Payload: payload}
	}
	return entries
}

// observe records the sets that a follower puts in force.
func (f *testFollower) observe() *[]configurer.EvacuationSet {
	var sets []configurer.EvacuationSet
	f.handlers.ActivateEvacuations = func(s configurer.EvacuationSet) { sets = append(sets, s) }
	return &sets
}

func (f *testFollower) compact(t *testing.T) {
	t.Helper()
	f.stepReplica(func(_ time.Time, out *replicator.Effects) {
		state, err := f.stateMachine.Snapshot()
		require.NoError(t, err)
		f.replica.Compact(state, out)
	})
}

// serveBriefly runs a Keeper without any input, for less time than the first tick takes.
func serveBriefly(f *testFollower) {
	ctx, cancel := context.WithTimeout(context.Background(), tickInterval/2)
	defer cancel()
	_ = f.Serve(ctx)
}

// TestRestartPutsTheCommittedSetInForce guards against a state VM that restarts and starts
// tasks in an evacuated data centre before it has a leader.
func TestRestartPutsTheCommittedSetInForce(t *testing.T) {
	for name, prepare := range map[string]func(t *testing.T, f *testFollower){
		"from the log": func(t *testing.T, f *testFollower) { f.append(evacuationEntries(t, firstIndex, 0, 3)) },
		"from a snapshot": func(t *testing.T, f *testFollower) {
			f.append(evacuationEntries(t, firstIndex, 0, 3))
			f.compact(t)
		},
		"from a snapshot and the log": func(t *testing.T, f *testFollower) {
			f.append(evacuationEntries(t, firstIndex, 0, 2))
			f.compact(t)
			f.append(evacuationEntries(t, firstIndex+2, 2, 1))
		},
		"with changes of the configuration between": func(t *testing.T, f *testFollower) {
			f.append(changes(t, 2))
			f.append(evacuationEntries(t, firstIndex+2, 0, 3))
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				disk := newMemoryDisk()
				f := openFollower(t, disk)
				prepare(t, f)
				// A tick saves the commit index.
				f.tick()
				expected := f.stateMachine.Evacuations()
				require.Equal(t, []string{"east"}, activeIn(expected))
				restarted := openFollower(t, disk)
				assert.Equal(t, expected, restarted.Evacuations())
				sets := restarted.observe()
				serveBriefly(restarted)
				assert.Equal(t, []configurer.EvacuationSet{expected}, *sets)
				restarted.tick()
				assert.Equal(t, expected, restarted.stateMachine.Evacuations())
				assert.Len(t, *sets, 1, "the same revision was put in force twice")
			})
		})
	}
	// Guards against an order in force that no quorum has committed.
	t.Run("not what is uncommitted", func(t *testing.T) {
		disk := newMemoryDisk()
		f := openFollower(t, disk)
		f.append(evacuationEntries(t, firstIndex, 0, 2))
		f.tick()
		uncommitted := evacuationEntries(t, firstIndex+2, 2, 1)
		f.handle(input{from: "b", message: &wire.StateMessage{Log: encodeMessage(&replicator.Message{
			Kind: replicator.Append, From: "b#founder", FromVM: "b", To: f.identity, Term: 1,
			Index: firstIndex + 1, LogTerm: 1, Entries: uncommitted, Commit: firstIndex + 1,
		})}})
		f.tick()
		assert.EqualValues(t, 2, openFollower(t, disk).Evacuations().Revision)
	})
}

// TestCompactionKeepsEvacuations guards against orders that a snapshot in the middle of a
// batch drops.
func TestCompactionKeepsEvacuations(t *testing.T) {
	disk := newMemoryDisk()
	f := openFollower(t, disk)
	entries := evacuationEntries(t, firstIndex, 0, 2*entriesPerCompaction+7)
	f.append(entries[:entriesPerCompaction-2])
	f.append(entries[entriesPerCompaction-2:])
	f.tick()
	assert.EqualValues(t, len(entries), f.Evacuations().Revision)
	assert.Less(t, f.replica.Status().LogLength, len(entries), "the log was not compacted")
	restarted := openFollower(t, disk)
	assert.Equal(t, f.Evacuations(), restarted.Evacuations())
	restarted.tick()
	assert.Equal(t, f.stateMachine.Evacuations(), restarted.stateMachine.Evacuations())
}

// TestInstalledSnapshot guards against a replica that receives evacuations in a snapshot of
// the leader and does not put them in force.
func TestInstalledSnapshot(t *testing.T) {
	source := openFollower(t, newMemoryDisk())
	source.append(evacuationEntries(t, firstIndex, 0, 3))
	source.compact(t)
	f := openFollower(t, newMemoryDisk())
	sets := f.observe()
	f.handle(input{from: "b", message: &wire.StateMessage{Log: encodeMessage(&replicator.Message{
		Kind: replicator.InstallSnapshot, From: "b#founder", FromVM: "b", To: f.identity, Term: 1, Snapshot: source.snapshot,
	})}})
	assert.Equal(t, []configurer.EvacuationSet{source.Evacuations()}, *sets)
}

// TestRebuiltReplicaKeepsTheSet guards against a replica that starts over from its disk after
// a panic and returns to a lower revision, or does not put a later one in force.
func TestRebuiltReplicaKeepsTheSet(t *testing.T) {
	f := openFollower(t, newMemoryDisk())
	sets := f.observe()
	f.append(evacuationEntries(t, firstIndex, 0, 1))
	f.compact(t)
	f.append(evacuationEntries(t, firstIndex+1, 1, 2))
	f.tick()
	f.runGuarded(func() {
		f.stateMachine.ApplyEvacuation(configurer.EvacuationChange{ID: "half-done", DataCentre: "west", Active: true, BaseRevision: 3})
		panic("unexpected")
	})
	assert.EqualValues(t, 1, f.stateMachine.Evacuations().Revision, "the replica was not rebuilt")
	assert.EqualValues(t, 3, f.Evacuations().Revision)
	f.tick()
	assert.EqualValues(t, 3, f.stateMachine.Evacuations().Revision)
	f.append(evacuationEntries(t, firstIndex+3, 3, 1))
	assert.EqualValues(t, 4, f.Evacuations().Revision)
	var revisions []uint64
	for _, s := range *sets {
		revisions = append(revisions, s.Revision)
	}
	assert.Equal(t, []uint64{1, 3, 4}, revisions)
	t.Run("an entry that was saved, not applied", func(t *testing.T) {
		f.Event(t, func() {
			panicking := evacuationEntries(t, firstIndex+4, 4, 1)
			f.runGuarded(func() {
				var out replicator.Effects
				f.replica.Handle(f.config.Now(), &replicator.Message{
					Kind: replicator.Append, From: "b#founder", FromVM: "b", To: f.identity, Term: 1,
					Index: firstIndex + 3, LogTerm: 1, Entries: panicking, Commit: firstIndex + 4,
				}, &out)
				f.save(&out)
				hard := replicator.HardState{Term: 1, Commit: firstIndex + 4}
				require.NoError(t, f.store.Save(&hard, nil))
				panic("unexpected")
			})
		})
		f.tick()
		assert.EqualValues(t, 5, (*sets)[len(*sets)-1].Revision, "the set was never handed to the handler")
	})
}

// Event checks that a function has caused a report of a panic.
func (f *testFollower) Event(t *testing.T, run func()) {
	t.Helper()
	f.events = nil
	run()
	require.NotEmpty(t, f.events)
	assert.Equal(t, recorder.InputPanicked, f.events[len(f.events)-1].Number)
}

// TestPanickingHandlerEndsNoProcess guards against a set that takes down each VM that puts it
// in force, and again after its restart.
func TestPanickingHandlerEndsNoProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := newMemoryDisk()
		f := openFollower(t, disk)
		f.handlers.ActivateEvacuations = func(configurer.EvacuationSet) { panic("unexpected") }
		f.Event(t, func() {
			assert.NotPanics(t, func() { f.append(evacuationEntries(t, firstIndex, 0, 1)) })
		})
		f.tick()
		restarted := openFollower(t, disk)
		restarted.handlers.ActivateEvacuations = f.handlers.ActivateEvacuations
		assert.NotPanics(t, func() { serveBriefly(restarted) })
		assert.EqualValues(t, 1, restarted.Evacuations().Revision)
	})
}

// TestOldLog guards against disks of a build without evacuations that cannot be read, or on
// which orders are lost.
func TestOldLog(t *testing.T) {
	oldEntry := func(i uint64) replicator.Entry {
		payload, err := proto.Marshal(&wire.Change{Id: fmt.Sprint(i), BaseVersion: i, Text: []byte("x")})
		require.NoError(t, err)
		return replicator.Entry{Index: firstIndex + i, Term: 1, Payload: payload}
	}
	oldState, err := proto.Marshal(&wire.ConfigState{Current: &wire.Configuration{}})
	require.NoError(t, err)
	disk := newMemoryDisk()
	store, _, err := storer.Open(disk)
	require.NoError(t, err)
	_, err = store.Identity(func() string { return founderID("a") })
	require.NoError(t, err)
	require.NoError(t, store.Save(&replicator.HardState{Term: 1}, nil))
	require.NoError(t, store.SaveSnapshot(&replicator.Snapshot{
		Index: 1, Term: 1, Members: []replicator.Member{{ID: founderID("a"), VM: "a", Voter: true}}, State: oldState,
	}, nil))
	require.NoError(t, store.Save(&replicator.HardState{Term: 1, Commit: firstIndex + 1}, []replicator.Entry{oldEntry(0), oldEntry(1)}))

	f := openFollower(t, disk)
	assert.Equal(t, configurer.EvacuationSet{}, f.Evacuations())
	f.tick()
	assert.EqualValues(t, 2, f.stateMachine.Current().Version)
	f.append(evacuationEntries(t, firstIndex+2, 0, 1))
	f.append([]replicator.Entry{{Index: firstIndex + 3, Term: 1, Payload: oldEntry(2).Payload}})
	f.tick()
	restarted := openFollower(t, disk)
	restarted.tick()
	for _, replica := range []*testFollower{f, restarted} {
		assert.EqualValues(t, 3, replica.stateMachine.Current().Version)
		assert.Equal(t, []string{"east"}, activeIn(replica.Evacuations()))
		assert.Empty(t, replica.events)
	}
}

// TestMalformedEvacuations guards against messages and entries that end the process or change
// what is in force.
func TestMalformedEvacuations(t *testing.T) {
	open := func(t *testing.T) (*testFollower, *[]configurer.EvacuationSet) {
		f := openFollower(t, newMemoryDisk())
		sets := f.observe()
		f.append(evacuationEntries(t, firstIndex, 0, 1))
		require.Len(t, *sets, 1)
		return f, sets
	}
	for name, w := range map[string]*wire.EvacuationSet{
		"empty set":               {},
		"lower revision":          {Revision: 1},
		"record above the set":    {Revision: 5, Evacuations: []*wire.Evacuation{{DataCentre: "east", Revision: 6}}},
		"record without a name":   {Revision: 5, Evacuations: []*wire.Evacuation{{Revision: 1}}},
		"record without revision": {Revision: 5, Evacuations: []*wire.Evacuation{{DataCentre: "east"}}},
		"record twice":            {Revision: 5, Evacuations: []*wire.Evacuation{{DataCentre: "a", Revision: 1}, {DataCentre: "a", Revision: 2}}},
		"revision out of range":   {Revision: 1 << 63},
	} {
		t.Run("set: "+name, func(t *testing.T) {
			f, sets := open(t)
			f.handle(input{from: "b", message: &wire.StateMessage{Evacuations: w}})
			assert.Len(t, *sets, 1)
			assert.EqualValues(t, 1, f.Evacuations().Revision)
			if w.GetRevision() > 1 {
				assertRefused(t, f)
			}
		})
	}
	for name, payload := range map[string][]byte{
		"mark without a message": {0}, "damaged message": {0, 0xff}, "message without an order": {0, 10, 1, 'a'},
	} {
		t.Run("entry: "+name, func(t *testing.T) {
			f, sets := open(t)
			f.append([]replicator.Entry{{Index: firstIndex + 1, Term: 1, Payload: payload}})
			assertRefused(t, f)
			assert.Len(t, *sets, 1)
			f.append(evacuationEntries(t, firstIndex+2, 1, 1))
			assert.EqualValues(t, 2, f.Evacuations().Revision)
		})
	}
	t.Run("snapshot", func(t *testing.T) {
		f, sets := open(t)
		state, err := proto.Marshal(&wire.ConfigState{EvacuationRevision: 9, Evacuations: []*wire.Evacuation{{DataCentre: "", Revision: 9}}})
		require.NoError(t, err)
		f.handle(input{from: "b", message: &wire.StateMessage{Log: encodeMessage(&replicator.Message{
			Kind: replicator.InstallSnapshot, From: "b#founder", FromVM: "b", To: f.identity, Term: 1,
			Snapshot: &replicator.Snapshot{Index: 50, Term: 1, Members: []replicator.Member{{ID: f.identity, VM: "a", Voter: true}}, State: state},
		})}})
		assertRefused(t, f)
		assert.Len(t, *sets, 1)
	})
}

// lead makes the only voter of a group its leader.
func (f *testFollower) lead(t *testing.T) {
	t.Helper()
	now := time.Now()
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		f.stepReplica(func(_ time.Time, out *replicator.Effects) { f.replica.Tick(now, out) })
		if f.replica.Status().Role == replicator.Leader {
			return
		}
	}
	require.Fail(t, "no leader")
}

// openLeader returns the leader of a group of one and the messages that it sends.
func openLeader(t *testing.T) (leader *testFollower, sent *[]*wire.StateMessage) {
	t.Helper()
	f := openFollower(t, newMemoryDisk())
	f.lead(t)
	sent = &[]*wire.StateMessage{}
	f.handlers.Send = func(_ string, m *wire.StateMessage) { *sent = append(*sent, m) }
	return f, sent
}

func evacuationRequest(number uint64, ch configurer.EvacuationChange) input {
	return input{from: "b", message: &wire.StateMessage{Request: &wire.Request{
		Number: number, Kind: requestEvacuate, Change: configurer.EvacuationToWire(ch), Origin: "b",
	}}}
}

// TestMalformedRequest guards against a leader that appends an order which no replica can
// apply, so that its sender waits in vain.
func TestMalformedRequest(t *testing.T) {
	for name, in := range map[string]input{
		"no change":      {from: "b", message: &wire.StateMessage{Request: &wire.Request{Number: 1, Kind: requestEvacuate, Origin: "b"}}},
		"no data centre": evacuationRequest(1, configurer.EvacuationChange{ID: "a"}),
		"no ID":          evacuationRequest(1, configurer.EvacuationChange{DataCentre: "east"}),
	} {
		t.Run(name, func(t *testing.T) {
			f, sent := openLeader(t)
			last := f.replica.LastIndex()
			f.handle(in)
			require.Len(t, *sent, 1)
			assert.NotEmpty(t, (*sent)[0].GetResponse().GetError())
			assert.Equal(t, last, f.replica.LastIndex())
		})
	}
}

// TestRepeatedRequest guards against a request that fills the log while its entry is not
// committed, and against a leader that ignores the repetition of a request which it proposed in
// an earlier term, and whose entry may have been replaced since.
func TestRepeatedRequest(t *testing.T) {
	order := configurer.EvacuationChange{ID: "a", DataCentre: "east", Active: true}
	for _, test := range []struct {
		name     string
		in       input
		isOld    bool
		proposes bool
	}{
		{"evacuation in the same term", evacuationRequest(7, order), false, false},
		{"evacuation in a later term", evacuationRequest(7, order), true, true},
		{"configuration in a later term", input{from: "b", message: &wire.StateMessage{Request: &wire.Request{
			Number: 7, Kind: requestChange, Change: &wire.Change{Id: "a"}, Origin: "b",
		}}}, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f, sent := openLeader(t)
			term := f.replica.Status().Term
			if test.isOld {
				term--
			}
			f.leaderCalls[7] = &call{request: test.in.message.GetRequest(), term: term}
			last := f.replica.LastIndex()
			f.handle(test.in)
			assert.Equal(t, test.proposes, f.replica.LastIndex() > last)
			assert.Equal(t, test.proposes, len(*sent) == 1, "answered")
		})
	}
}

// TestInvalidOrderIsRefused guards against an order that is sent though no leader accepts it.
func TestInvalidOrderIsRefused(t *testing.T) {
	f := openFollower(t, newMemoryDisk())
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	for _, name := range []string{"", "\xff"} {
		_, err := f.Evacuate(ctx, name, true)
		assert.ErrorIs(t, err, configurer.ErrInvalidEvacuation)
	}
}

func evacuationSet(revision uint64) input {
	return input{from: "state0", message: &wire.StateMessage{Evacuations: configurer.EvacuationSetToWire(configurer.EvacuationSet{
		Revision: revision, Evacuations: []configurer.Evacuation{{DataCentre: "east", Active: revision%2 == 1, Revision: revision}},
	})}}
}

// TestNoReturnToALowerRevision guards against a VM that obeys an older set which arrives late.
func TestNoReturnToALowerRevision(t *testing.T) {
	k, _, _ := newTestEntry(t, 0)
	var revisions []uint64
	k.handlers.ActivateEvacuations = func(s configurer.EvacuationSet) { revisions = append(revisions, s.Revision) }
	for _, revision := range []uint64{2, 5, 3, 5, 4, 6} {
		k.handle(evacuationSet(revision))
	}
	assert.Equal(t, []uint64{2, 5, 6}, revisions)
	assert.EqualValues(t, 6, k.Evacuations().Revision)
}

// TestEntryPassesSetsOn guards against VMs that learn of an evacuation late because only an
// entry reaches them, and against a state VM that multiplies the messages by doing the same.
func TestEntryPassesSetsOn(t *testing.T) {
	t.Run("entry", func(t *testing.T) {
		k, sent, _ := newTestEntry(t, 0)
		var broadcasts []*wire.StateMessage
		k.handlers.Broadcast = func(m *wire.StateMessage) { broadcasts = append(broadcasts, m) }
		k.handle(evacuationSet(3))
		k.handle(evacuationSet(3))
		require.Len(t, broadcasts, 1)
		assert.EqualValues(t, 3, broadcasts[0].GetEvacuations().GetRevision())
		k.handle(input{connectedPeer: "new"})
		assert.True(t, proto.Equal(broadcasts[0], sent["new"][0]), "a newly linked VM")
		k.handle(input{from: "behind", message: &wire.StateMessage{WantsEvacuations: true}})
		assert.True(t, proto.Equal(broadcasts[0], sent["behind"][0]), "a VM that asks")
	})
	t.Run("follower", func(t *testing.T) {
		f := openFollower(t, newMemoryDisk())
		f.handlers.Broadcast = func(m *wire.StateMessage) { assert.Nil(t, m.GetEvacuations()) }
		f.append(evacuationEntries(t, firstIndex, 0, 1))
		f.handle(evacuationSet(3))
		assert.EqualValues(t, 3, f.Evacuations().Revision)
	})
	t.Run("nothing to pass on", func(t *testing.T) {
		k, sent, _ := newTestEntry(t, 0)
		k.handle(input{connectedPeer: "new"})
		k.handle(input{from: "behind", message: &wire.StateMessage{WantsEvacuations: true}})
		assert.Empty(t, sent)
	})
}

// TestNewerSetIsAskedFor guards against a VM that misses a push and stays behind, and against
// one that asks all VMs at each of their heartbeats.
func TestNewerSetIsAskedFor(t *testing.T) {
	asks := func(sent map[string][]*wire.StateMessage) int {
		n := 0
		for _, messages := range sent {
			for _, m := range messages {
				if m.GetWantsEvacuations() {
					n++
				}
			}
		}
		return n
	}
	hear := func(k *Keeper, now *time.Time, d time.Duration) {
		for end := now.Add(d); now.Before(end); *now = now.Add(tickInterval) {
			if now.UnixMilli()%100 == 0 {
				for i := range stateVMs {
					k.RequestNewerEvacuations(fmt.Sprint("state", i), 7)
					k.handle(<-k.inputs)
				}
			}
			k.tick()
		}
	}
	t.Run("first set", func(t *testing.T) {
		k, sent, now := newTestEntry(t, 1)
		hear(k, now, 2*tickInterval)
		assert.Equal(t, 1, asks(sent))
		k.handle(evacuationSet(7))
		hear(k, now, 2*fetchTimeout)
		assert.Equal(t, 1, asks(sent))
	})
	t.Run("the push arrives", func(t *testing.T) {
		k, sent, now := newTestEntry(t, 1)
		k.handle(evacuationSet(6))
		hear(k, now, pushGrace-tickInterval)
		k.handle(evacuationSet(7))
		hear(k, now, 2*fetchTimeout)
		assert.Zero(t, asks(sent))
	})
	t.Run("the push is lost", func(t *testing.T) {
		k, sent, now := newTestEntry(t, 1)
		k.handle(evacuationSet(6))
		hear(k, now, pushGrace+2*tickInterval)
		assert.Equal(t, 1, asks(sent))
	})
	t.Run("the first VM does not answer", func(t *testing.T) {
		k, sent, now := newTestEntry(t, 1)
		hear(k, now, fetchTimeout+2*tickInterval)
		assert.Equal(t, 2, asks(sent))
		assert.Len(t, sent, 2, "the same VM was asked again")
	})
}
