package configurer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// apply applies changes of the given sizes in bytes to a Configurer, each on top of the last.
func apply(t *testing.T, c *Configurer, sizes ...int) {
	t.Helper()
	for _, size := range sizes {
		base := c.Current().Version
		o := c.Apply(Change{ID: fmt.Sprint("change-", base), BaseVersion: base, Text: make([]byte, size)})
		require.Equal(t, Accepted, o.Kind)
	}
}

func repeat(size, n int) []int {
	sizes := make([]int, n)
	for i := range sizes {
		sizes[i] = size
	}
	return sizes
}

// assertVersions checks the versions of the history.
func assertVersions(t *testing.T, c *Configurer, first, last uint64) {
	t.Helper()
	history := c.History()
	require.NotEmpty(t, history)
	assert.Equal(t, first, history[0].Version)
	assert.Equal(t, last, history[len(history)-1].Version)
	assert.Len(t, history, int(last-first)+1)
}

// TestHistoryIsBounded guards against snapshots that grow with the size of former versions.
func TestHistoryIsBounded(t *testing.T) {
	for _, test := range []struct {
		name        string
		sizes       []int
		first, last uint64
	}{
		{"small versions are bounded by number", repeat(10, 150), 51, 150},
		{"large versions are bounded by bytes", repeat(1<<20, 20), 13, 20},
		{"a version of the limit is kept alone", []int{10, 10, maxHistoryBytes}, 3, 3},
		{"a version beyond the limit is kept alone", []int{10, 10, maxHistoryBytes + 1}, 3, 3},
		{"small versions after a large one", []int{10, maxHistoryBytes, 10, 10}, 3, 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := New()
			apply(t, c, test.sizes...)
			assertVersions(t, c, test.first, test.last)
		})
	}
}

// TestHistoryIsTheSameOnAllReplicas guards against replicas whose histories differ because one
// applied all changes and others restored a snapshot on the way.
func TestHistoryIsTheSameOnAllReplicas(t *testing.T) {
	sizes := []int{3 << 20, 10, 5 << 20, 1 << 20, 10, 4 << 20, 2 << 20, 9 << 20, 10, 7 << 20, 10}
	applied := New()
	apply(t, applied, sizes...)
	for n := range sizes {
		t.Run(fmt.Sprint("after ", n), func(t *testing.T) {
			former, restored := New(), New()
			apply(t, former, sizes[:n]...)
			state, err := former.Snapshot()
			require.NoError(t, err)
			require.NoError(t, restored.Restore(state))
			apply(t, restored, sizes[n:]...)
			assert.Equal(t, applied.History(), restored.History())
		})
	}
	t.Run("snapshot with a longer history", func(t *testing.T) {
		long, restored := New(), New()
		for i, size := range sizes {
			long.history = append(long.history, Configuration{Version: uint64(i + 1), Text: make([]byte, size)})
		}
		state, err := long.Snapshot()
		require.NoError(t, err)
		require.NoError(t, restored.Restore(state))
		assert.Equal(t, applied.History(), restored.History())
	})
}
