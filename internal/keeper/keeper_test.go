package keeper

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bronzedrift.example/bronzedrift/internal/configurer"
	"bronzedrift.example/bronzedrift/internal/messenger/wire"
	"bronzedrift.example/bronzedrift/internal/recorder"
	"bronzedrift.example/bronzedrift/internal/replicator"
	"bronzedrift.example/bronzedrift/internal/storer"
)

// testFollower is the Keeper of a founding state VM that follows the leader "b".
type testFollower struct {
	*Keeper
	events []recorder.Event
}

func openFollower(t *testing.T, disk *storer.Disk) *testFollower {
	t.Helper()
	f := &testFollower{}
	k, err := New(Config{
		VM: "a", Founders: []string{"a"}, Disk: disk, Timing: replicator.DefaultTiming(), Now: time.Now,
		StateVMs: func() []string { return nil },
	}, Handlers{
		Send: func(string, *wire.StateMessage) {}, Broadcast: func(*wire.StateMessage) {},
		Activate: func(configurer.Configuration) {}, Event: func(e recorder.Event) { f.events = append(f.events, e) },
	})
	require.NoError(t, err)
	f.Keeper = k
	return f
}

func newDisk(t *testing.T) *storer.Disk {
	t.Helper()
	disk, err := storer.NewFolderDisk(t.TempDir())
	require.NoError(t, err)
	return disk
}

// firstIndex is the index of the first entry after the founding snapshot.
const firstIndex = 2

// changes returns n entries of which each raises the version by one.
func changes(t *testing.T, n int) []replicator.Entry {
	t.Helper()
	entries := make([]replicator.Entry, n)
	for i := range entries {
		payload, err := configurer.EncodeChange(configurer.Change{ID: fmt.Sprint(i), BaseVersion: uint64(i), Text: []byte("x")})
		require.NoError(t, err)
		entries[i] = replicator.Entry{Index: uint64(firstIndex + i), Term: 1, Payload: payload}
	}
	return entries
}

// append makes the follower append and commit entries that the leader sends in one message.
func (f *testFollower) append(entries []replicator.Entry) {
	last := entries[len(entries)-1].Index
	f.handle(input{from: "b", message: &wire.StateMessage{Log: encodeMessage(&replicator.Message{
		Kind: replicator.Append, From: "b#founder", FromVM: "b", To: f.identity, Term: 1,
		Index: entries[0].Index - 1, LogTerm: 1, Entries: entries, Commit: last,
	})}})
}

func (f *testFollower) tick() {
	f.stepReplica(func(now time.Time, out *replicator.Effects) { f.replica.Tick(now, out) })
}

// assertSameAfterRestart checks that a restart from the disk restores the version.
func assertSameAfterRestart(t *testing.T, f *testFollower, disk *storer.Disk) {
	t.Helper()
	// A tick saves the commit index.
	f.tick()
	restarted := openFollower(t, disk)
	restarted.tick()
	assert.Equal(t, f.stateMachine.Current().Version, restarted.stateMachine.Current().Version)
}

// A compaction that becomes due in the middle of a batch of commits must not drop the
// entries behind it.
func TestCompactionKeepsCommittedChanges(t *testing.T) {
	for _, test := range []struct {
		name    string
		batches []int
	}{
		{"single entries", []int{entriesPerCompaction + 3}},
		{"batch across the compaction", []int{entriesPerCompaction - 2, 5}},
		{"batch of several compactions", []int{1, 2*entriesPerCompaction + 7}},
	} {
		t.Run(test.name, func(t *testing.T) {
			disk := newDisk(t)
			f := openFollower(t, disk)
			total := 0
			for _, n := range test.batches {
				total += n
			}
			entries := changes(t, total)
			for i, n := range test.batches {
				if i == 0 {
					for k := range entries[:n] {
						f.append(entries[k : k+1])
					}
				} else {
					f.append(entries[:n])
				}
				entries = entries[n:]
			}
			assert.EqualValues(t, total, f.stateMachine.Current().Version)
			assertSameAfterRestart(t, f, disk)
		})
	}
}

// A malformed message of another state VM must neither end the process nor change the state.
func TestMalformedLogMessages(t *testing.T) {
	for name, change := range map[string]func(m *wire.LogMessage){
		"unknown kind":             func(m *wire.LogMessage) { m.Kind = 99 },
		"term out of range":        func(m *wire.LogMessage) { m.Term = 1 << 63 },
		"entry before the log":     func(m *wire.LogMessage) { m.Entries[0].Index = 0 },
		"gap between entries":      func(m *wire.LogMessage) { m.Entries[1].Index += 5 },
		"term of an entry falls":   func(m *wire.LogMessage) { m.Entries[1].Term = 0 },
		"snapshot without content": func(m *wire.LogMessage) { m.Kind, m.Entries = int32(replicator.InstallSnapshot), nil },
		"snapshot that is damaged": func(m *wire.LogMessage) {
			m.Kind, m.Entries = int32(replicator.InstallSnapshot), nil
			m.Snapshot = &wire.Snapshot{Index: 50, Term: 1, Members: []*wire.Member{{Id: "a#founder", Vm: "a", Voter: true}}, State: []byte{0xff}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			disk := newDisk(t)
			f := openFollower(t, disk)
			entries := changes(t, 4)
			f.append(entries[:2])
			m := encodeMessage(&replicator.Message{
				Kind: replicator.Append, From: "b#founder", FromVM: "b", To: f.identity, Term: 1,
				Index: entries[1].Index, LogTerm: 1, Entries: entries[2:], Commit: entries[3].Index,
			})
			change(m)
			f.handle(input{from: "b", message: &wire.StateMessage{Log: m}})
			assert.EqualValues(t, 2, f.stateMachine.Current().Version)
			assertRefused(t, f)
			f.append(entries[2:])
			assert.EqualValues(t, 4, f.stateMachine.Current().Version)
			assertSameAfterRestart(t, f, disk)
		})
	}
}

func assertRefused(t *testing.T, f *testFollower) {
	t.Helper()
	for _, e := range f.events {
		if e.Number == recorder.LinkRefused {
			return
		}
	}
	assert.Fail(t, "the message was not reported as refused")
}

// An entry that cannot be decoded is skipped by each replica in the same way.
func TestUndecodableEntryIsSkipped(t *testing.T) {
	disk := newDisk(t)
	f := openFollower(t, disk)
	entries := changes(t, 3)
	damaged := replicator.Entry{Index: entries[2].Index, Term: 1, Payload: []byte{0xff}}
	next := entries[2]
	next.Index++
	f.append(entries[:2])
	f.append([]replicator.Entry{damaged, next})
	assert.EqualValues(t, 3, f.stateMachine.Current().Version)
	assertSameAfterRestart(t, f, disk)
}

// After a panic the replica resumes from its disk and goes on.
func TestPanicRestartsReplica(t *testing.T) {
	f := openFollower(t, newDisk(t))
	entries := changes(t, 3)
	f.append(entries[:2])
	f.tick()
	f.runGuarded(func() {
		f.stateMachine.Apply(configurer.Change{ID: "half-done", BaseVersion: 2})
		panic("unexpected")
	})
	assert.Equal(t, recorder.InputPanicked, f.events[len(f.events)-1].Number)
	f.tick()
	f.append(entries[2:])
	assert.EqualValues(t, 3, f.stateMachine.Current().Version)
	assert.Equal(t, "x", string(f.stateMachine.Current().Text))
}
