package storer

import (
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bronzedrift.example/bronzedrift/internal/replicator"
)

// TestSnapshotOverAnotherLog guards against a replica that votes by entries that a snapshot of
// the leader has replaced, because it was killed, or lost its power, before the old segment was
// gone.
func TestSnapshotOverAnotherLog(t *testing.T) {
	snapshot := &replicator.Snapshot{Index: 4, Term: 3, Members: []replicator.Member{{ID: "i", VM: "v", Voter: true}}, State: []byte("state")}
	for name, write := range map[string]func(s *Storer) error{
		"before the new segment is written": func(s *Storer) error {
			return s.writeAtomically(snapshotName(snapshot.Index), appendRecord(nil, encodeSnapshot(snapshot)))
		},
		"before the old segment is removed": func(s *Storer) error {
			s.disk.Remove = func(string) error { return nil }
			return s.SaveSnapshot(snapshot, nil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newPowerDisk()
			s, _, err := Open(d.disk())
			require.NoError(t, err)
			require.NoError(t, s.Save(&replicator.HardState{Term: 3}, entries(1, 6)))
			require.NoError(t, write(s))
			s, saved, err := Open(d.disk())
			require.NoError(t, err)
			assert.Equal(t, snapshot, saved.Snapshot)
			assert.Empty(t, saved.Entries, "entries of term 1 follow a snapshot of term 3")
			next := []replicator.Entry{{Index: 5, Term: 3}}
			require.NoError(t, s.Save(nil, next))
			_, saved, err = Open(d.disk())
			require.NoError(t, err)
			assert.Equal(t, next, saved.Entries)
		})
	}
}

// TestCompactionOverReplacedEntries guards against a replica that votes by an entry that others
// have replaced, because the compaction of its log was interrupted after the snapshot.
func TestCompactionOverReplacedEntries(t *testing.T) {
	d := failingDisk(t, t.TempDir(), 4)
	s, _, err := Open(d)
	require.NoError(t, err)
	require.NoError(t, s.Save(&replicator.HardState{Term: 1}, entries(1, 7)))
	replacing := []replicator.Entry{{Index: 5, Term: 2, Payload: []byte("x")}, {Index: 6, Term: 2, Payload: []byte("y")}}
	require.NoError(t, s.Save(&replicator.HardState{Term: 2, Commit: 6}, replacing))
	snapshot := &replicator.Snapshot{Index: 6, Term: 2, Members: []replicator.Member{{ID: "i", VM: "v", Voter: true}}, State: []byte("state")}
	require.ErrorIs(t, s.SaveSnapshot(snapshot, nil), syscall.ENOSPC)
	_, saved, err := Open(d)
	require.NoError(t, err)
	assert.Equal(t, snapshot, saved.Snapshot)
	assert.Empty(t, saved.Entries, "a replaced entry of term 1 follows the snapshot of term 2")
}

// TestEntriesOfAnotherLogWithHigherTerms guards against entries that follow a snapshot only by
// their index: the log that the snapshot replaced had another entry in its place.
func TestEntriesOfAnotherLogWithHigherTerms(t *testing.T) {
	d := newPowerDisk()
	s, _, err := Open(d.disk())
	require.NoError(t, err)
	old := append(entries(1, 4), replicator.Entry{Index: 5, Term: 4}, replicator.Entry{Index: 6, Term: 4})
	require.NoError(t, s.Save(&replicator.HardState{Term: 5}, old))
	snapshot := &replicator.Snapshot{Index: 4, Term: 3, Members: []replicator.Member{{ID: "i", VM: "v", Voter: true}}, State: []byte("state")}
	require.NoError(t, s.writeAtomically(snapshotName(snapshot.Index), appendRecord(nil, encodeSnapshot(snapshot))))
	s, saved, err := Open(d.disk())
	require.NoError(t, err)
	assert.Empty(t, saved.Entries)
	next := []replicator.Entry{{Index: 5, Term: 5}}
	require.NoError(t, s.Save(nil, next))
	_, saved, err = Open(d.disk())
	require.NoError(t, err)
	assert.Equal(t, next, saved.Entries)
	assert.Equal(t, uint64(5), saved.HardState.Term)
}
