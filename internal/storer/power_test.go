package storer

import (
	"errors"
	"io/fs"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bronzedrift.example/bronzedrift/internal/replicator"
)

// errKilled ends a process at an operation of its disk.
var errKilled = errors.New("killed")

// powerDisk is a disk in memory that loses at a loss of power what was not synced. A process
// is killed at the operation that killAt names.
type powerDisk struct {
	files, durable map[string][]byte
	killAt         string
}

func newPowerDisk() *powerDisk {
	return &powerDisk{files: map[string][]byte{}, durable: map[string][]byte{}}
}

func (d *powerDisk) losePower() { d.files = maps.Clone(d.durable) }

func (d *powerDisk) disk() *Disk {
	check := func(operation string) error {
		if operation == d.killAt {
			return errKilled
		}
		return nil
	}
	return &Disk{
		List: func() ([]string, error) { return slices.Sorted(maps.Keys(d.files)), nil },
		Read: func(name string) ([]byte, error) {
			data, ok := d.files[name]
			if !ok {
				return nil, fs.ErrNotExist
			}
			return slices.Clone(data), nil
		},
		Append: func(name string, data []byte) error {
			d.files[name] = append(slices.Clone(d.files[name]), data...)
			return nil
		},
		Sync: func(name string) error {
			if err := check("sync"); err != nil {
				return err
			}
			if _, isKnown := d.durable[name]; isKnown || d.durable[name+temporarySuffix] == nil {
				d.durable[name] = d.files[name]
			}
			return nil
		},
		Truncate: func(name string, size int64) error {
			d.files[name] = d.files[name][:size]
			d.durable[name] = d.files[name]
			return nil
		},
		Rename: func(from, to string) error {
			d.files[to] = d.files[from]
			delete(d.files, from)
			return nil
		},
		Remove: func(name string) error { delete(d.files, name); return nil },
		SyncFolder: func() error {
			if err := check("sync-folder"); err != nil {
				return err
			}
			d.durable = maps.Clone(d.files)
			return nil
		},
	}
}

// TestOpenedStateSurvivesPowerLoss guards against a VM that is killed before a sync returns,
// reads after its restart what it had written, confirms that to others, and loses it with the
// power.
func TestOpenedStateSurvivesPowerLoss(t *testing.T) {
	snapshot := &replicator.Snapshot{Index: 4, Term: 1, Members: []replicator.Member{{ID: "i", VM: "v", Voter: true}}, State: []byte("state")}
	for name, test := range map[string]struct {
		killAt string
		write  func(s *Storer) error
	}{
		"an entry and a vote": {"sync", func(s *Storer) error { return s.Save(&replicator.HardState{Term: 4, Vote: "y"}, entries(6, 6)) }},
		"a snapshot":          {"sync-folder", func(s *Storer) error { return s.SaveSnapshot(snapshot, entries(5, 5)) }},
	} {
		t.Run(name, func(t *testing.T) {
			d := newPowerDisk()
			s, _, err := Open(d.disk())
			require.NoError(t, err)
			require.NoError(t, s.Save(&replicator.HardState{Term: 3, Vote: "x"}, entries(1, 5)))
			d.killAt = test.killAt
			require.ErrorIs(t, test.write(s), errKilled)
			d.killAt = ""
			_, first, err := Open(d.disk())
			require.NoError(t, err)
			d.losePower()
			_, second, err := Open(d.disk())
			require.NoError(t, err)
			assert.Equal(t, first, second)
		})
	}
	t.Run("an identity", func(t *testing.T) {
		d := newPowerDisk()
		s, _, err := Open(d.disk())
		require.NoError(t, err)
		d.killAt = "sync-folder"
		_, err = s.Identity(func() string { return "first" })
		require.ErrorIs(t, err, errKilled)
		d.killAt = ""
		s, _, err = Open(d.disk())
		require.NoError(t, err)
		first, err := s.Identity(func() string { return "second" })
		require.NoError(t, err)
		d.losePower()
		s, _, err = Open(d.disk())
		require.NoError(t, err)
		second, err := s.Identity(func() string { return "third" })
		require.NoError(t, err)
		assert.Equal(t, first, second)
	})
}
