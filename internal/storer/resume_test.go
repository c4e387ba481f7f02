package storer

import (
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bronzedrift.example/bronzedrift/internal/replicator"
)

// TestFolderSyncIsRetried guards against entries and votes that are acknowledged in a file whose
// name is lost with the power.
func TestFolderSyncIsRetried(t *testing.T) {
	d, err := NewFolderDisk(t.TempDir())
	require.NoError(t, err)
	s, _, err := Open(d)
	require.NoError(t, err)
	calls, synced := 0, false
	d.SyncFolder = func() error {
		calls++
		if calls == 1 {
			return syscall.EIO
		}
		synced = true
		return nil
	}
	err = s.Save(&replicator.HardState{Term: 1}, entries(1, 1))
	require.ErrorIs(t, err, syscall.EIO)
	require.NoError(t, s.Save(&replicator.HardState{Term: 1}, entries(1, 1)))
	assert.True(t, synced, "Save has acknowledged a file whose name is not synced")
}

// TestEachFailedStep guards against acknowledged entries that are lost because one step of a
// write has failed, or the process was killed there.
func TestEachFailedStep(t *testing.T) {
	members := []replicator.Member{{ID: "i", VM: "v", Voter: true}}
	for fail := 1; fail < 40; fail++ {
		for _, retry := range []bool{true, false} {
			n := 0
			inner, err := NewFolderDisk(t.TempDir())
			require.NoError(t, err)
			killed := false
			hit := func() bool {
				n++
				return n == fail || killed
			}
			d := *inner
			d.Append = func(name string, data []byte) error {
				if hit() {
					killed = !retry
					_ = inner.Append(name, data[:len(data)/2])
					return syscall.ENOSPC
				}
				return inner.Append(name, data)
			}
			d.Sync = func(name string) error {
				if hit() {
					killed = !retry
					return syscall.EIO
				}
				return inner.Sync(name)
			}
			d.Rename = func(a, b string) error {
				if hit() {
					killed = !retry
					return syscall.EIO
				}
				return inner.Rename(a, b)
			}
			d.SyncFolder = func() error {
				if hit() {
					killed = !retry
					return syscall.EIO
				}
				return inner.SyncFolder()
			}
			d.Remove = func(name string) error {
				if killed {
					return syscall.EIO
				}
				return inner.Remove(name)
			}
			d.Truncate = func(name string, size int64) error {
				if killed {
					return syscall.EIO
				}
				return inner.Truncate(name, size)
			}
			s, _, err := Open(&d)
			if err != nil {
				continue
			}
			try := func(f func() error) bool {
				for range 3 {
					if f() == nil {
						return true
					}
					if killed {
						return false
					}
				}
				return false
			}
			acked := uint64(0)
			if try(func() error { return s.Save(&replicator.HardState{Term: 1}, entries(1, 5)) }) {
				acked = 5
				snap := &replicator.Snapshot{Index: 3, Term: 1, Members: members, State: []byte("state")}
				if try(func() error { return s.SaveSnapshot(snap, entries(4, 5)) }) &&
					try(func() error { return s.Save(nil, entries(6, 7)) }) {
					acked = 7
				}
			}
			_, saved, err := Open(inner)
			if !assert.NoError(t, err, "step %d retry %t", fail, retry) {
				continue
			}
			last := uint64(0)
			if saved.Snapshot != nil {
				last = saved.Snapshot.Index
			}
			for _, e := range saved.Entries {
				assert.Equal(t, last+1, e.Index, "step %d retry %t", fail, retry)
				last = e.Index
			}
			assert.GreaterOrEqual(t, last, acked, "step %d retry %t", fail, retry)
		}
	}
}
