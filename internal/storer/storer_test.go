package storer

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bronzedrift.example/bronzedrift/internal/replicator"
)

func openFolder(t testing.TB, folder string) (*Storer, replicator.Saved, error) {
	t.Helper()
	disk, err := NewFolderDisk(folder)
	require.NoError(t, err)
	return Open(disk)
}

func entries(from, to uint64) []replicator.Entry {
	var list []replicator.Entry
	for i := from; i <= to; i++ {
		list = append(list, replicator.Entry{Index: i, Term: 1, Payload: []byte(fmt.Sprint("change ", i))})
	}
	return list
}

func newFilledFolder(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	s, _, err := openFolder(t, folder)
	require.NoError(t, err)
	require.NoError(t, s.Save(&replicator.HardState{Term: 3, Vote: "x"}, entries(1, 5)))
	return folder
}

func modifySegment(t *testing.T, folder string, change func([]byte) []byte) {
	t.Helper()
	file := filepath.Join(folder, segmentName(0))
	data, err := os.ReadFile(file)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(file, change(data), 0o600))
}

func TestOpen(t *testing.T) {
	t.Run("returns what was saved", func(t *testing.T) {
		_, saved, err := openFolder(t, newFilledFolder(t))
		require.NoError(t, err)
		assert.Equal(t, replicator.HardState{Term: 3, Vote: "x"}, saved.HardState)
		assert.Equal(t, entries(1, 5), saved.Entries)
	})
	t.Run("an entry replaces those after its index", func(t *testing.T) {
		folder := newFilledFolder(t)
		s, _, err := openFolder(t, folder)
		require.NoError(t, err)
		require.NoError(t, s.Save(nil, entries(3, 3)))
		_, saved, err := openFolder(t, folder)
		require.NoError(t, err)
		assert.Equal(t, entries(1, 3), saved.Entries)
	})
	t.Run("truncates a torn record at the end", func(t *testing.T) {
		folder := newFilledFolder(t)
		modifySegment(t, folder, func(b []byte) []byte { return b[:len(b)-3] })
		s, saved, err := openFolder(t, folder)
		require.NoError(t, err)
		assert.Positive(t, s.TruncatedBytes())
		assert.Equal(t, entries(1, 4), saved.Entries)
		require.NoError(t, s.Save(nil, entries(5, 5)))
		_, saved, err = openFolder(t, folder)
		require.NoError(t, err)
		assert.Equal(t, entries(1, 5), saved.Entries)
	})
	t.Run("reports file and offset of a corrupt record before the end", func(t *testing.T) {
		folder := newFilledFolder(t)
		modifySegment(t, folder, func(b []byte) []byte {
			b[len(b)/2] ^= 1
			return b
		})
		_, _, err := openFolder(t, folder)
		var corrupt *CorruptError
		require.ErrorAs(t, err, &corrupt)
		assert.Equal(t, segmentName(0), corrupt.File)
		assert.Positive(t, corrupt.Offset)
	})
	t.Run("a snapshot replaces the entries up to its index", func(t *testing.T) {
		folder := newFilledFolder(t)
		s, _, err := openFolder(t, folder)
		require.NoError(t, err)
		snapshot := &replicator.Snapshot{Index: 4, Term: 1, Members: []replicator.Member{{ID: "i", VM: "v", Voter: true}}, State: []byte("state")}
		require.NoError(t, s.SaveSnapshot(snapshot, entries(5, 5)))
		_, saved, err := openFolder(t, folder)
		require.NoError(t, err)
		assert.Equal(t, snapshot, saved.Snapshot)
		assert.Equal(t, entries(5, 5), saved.Entries)
		assert.Equal(t, uint64(3), saved.HardState.Term)
		names, err := filepath.Glob(filepath.Join(folder, segmentPrefix+"*"))
		require.NoError(t, err)
		assert.Len(t, names, 1, "the old segment is removed")
	})
	t.Run("the identity of a disk is created once", func(t *testing.T) {
		folder := t.TempDir()
		for range 2 {
			s, _, err := openFolder(t, folder)
			require.NoError(t, err)
			made := 0
			id, err := s.Identity(func() string {
				made++
				return "first"
			})
			require.NoError(t, err)
			assert.Equal(t, "first", id)
		}
	})
}

func FuzzOpen(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 0, 0, 0, 0, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		folder := t.TempDir()
		require.NoError(t, os.WriteFile(filepath.Join(folder, segmentName(0)), data, 0o600))
		_, _, err := openFolder(t, folder)
		if err != nil {
			var corrupt *CorruptError
			assert.ErrorAs(t, err, &corrupt)
		}
	})
}

// BenchmarkRestart measures opening a folder after 10,000 changes.
func BenchmarkRestart(b *testing.B) {
	folder := b.TempDir()
	s, _, err := openFolder(b, folder)
	require.NoError(b, err)
	require.NoError(b, s.Save(&replicator.HardState{Term: 1}, entries(1, 10_000)))
	b.ResetTimer()
	for b.Loop() {
		if _, _, err := openFolder(b, folder); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkSync measures one synced write of a small change.
func BenchmarkSync(b *testing.B) {
	s, _, err := openFolder(b, b.TempDir())
	require.NoError(b, err)
	for i := uint64(1); b.Loop(); i++ {
		if err := s.Save(nil, entries(i, i)); err != nil {
			b.Fatal(err)
		}
	}
}

// failingDisk is a folder's disk on which one of the appends fails after half of its data was
// written, counted from one.
func failingDisk(t *testing.T, folder string, failing int) *Disk {
	t.Helper()
	disk, err := NewFolderDisk(folder)
	require.NoError(t, err)
	write, count := disk.Append, 0
	disk.Append = func(name string, data []byte) error {
		count++
		if count == failing {
			return errors.Join(write(name, data[:len(data)/2]), syscall.ENOSPC)
		}
		return write(name, data)
	}
	return disk
}

func assertFiles(t *testing.T, folder string, names ...string) {
	t.Helper()
	files, err := listFiles(folder)
	require.NoError(t, err)
	assert.Equal(t, names, files)
}

// A snapshot that could not be written must not take the room that its retry or the log needs,
// and must leave a state that can be opened.
func TestSaveSnapshotOnFullDisk(t *testing.T) {
	snapshot := &replicator.Snapshot{Index: 4, Term: 1, Members: []replicator.Member{{ID: "i", VM: "v", Voter: true}}, State: []byte("state")}
	for _, test := range []struct {
		name    string
		failing int
		left    string
	}{
		{"the snapshot does not fit", 1, snapshotName(2)},
		{"the segment does not fit", 2, snapshotName(4)},
	} {
		t.Run(test.name, func(t *testing.T) {
			folder := newFilledFolder(t)
			s, _, err := openFolder(t, folder)
			require.NoError(t, err)
			former := *snapshot
			former.Index = 2
			require.NoError(t, s.SaveSnapshot(&former, entries(3, 5)))
			s, _, err = Open(failingDisk(t, folder, test.failing))
			require.NoError(t, err)
			require.ErrorIs(t, s.SaveSnapshot(snapshot, entries(5, 5)), syscall.ENOSPC)
			assertFiles(t, folder, segmentName(2), test.left)
			_, saved, err := openFolder(t, folder)
			require.NoError(t, err)
			assert.Equal(t, uint64(5), saved.Entries[len(saved.Entries)-1].Index)
			require.NoError(t, s.SaveSnapshot(snapshot, entries(5, 5)))
			assertFiles(t, folder, segmentName(4), snapshotName(4))
		})
	}
}

// What an interrupted SaveSnapshot has left must not take room after a restart.
func TestOpenRemovesLeftovers(t *testing.T) {
	folder := newFilledFolder(t)
	s, _, err := openFolder(t, folder)
	require.NoError(t, err)
	snapshot := &replicator.Snapshot{Index: 5, Term: 1, Members: []replicator.Member{{ID: "i", VM: "v", Voter: true}}, State: []byte("state")}
	require.NoError(t, s.SaveSnapshot(snapshot, nil))
	for _, name := range []string{segmentName(3), snapshotName(6) + temporarySuffix, segmentName(6) + temporarySuffix} {
		require.NoError(t, os.WriteFile(filepath.Join(folder, name), nil, fileMode))
	}
	t.Run("a disk that removes nothing", func(t *testing.T) {
		disk, err := NewFolderDisk(folder)
		require.NoError(t, err)
		disk.Remove = func(string) error { return syscall.EIO }
		_, _, err = Open(disk)
		require.NoError(t, err)
	})
	t.Run("a disk that does", func(t *testing.T) {
		_, saved, err := openFolder(t, folder)
		require.NoError(t, err)
		assert.Equal(t, snapshot, saved.Snapshot)
		assertFiles(t, folder, segmentName(5), snapshotName(5))
	})
}
