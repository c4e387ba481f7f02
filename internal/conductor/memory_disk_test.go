package conductor

import (
	"errors"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bronzedrift.example/bronzedrift/internal/messenger/wire"
	"bronzedrift.example/bronzedrift/internal/storer"
)

// TestFailedMemoryWriteLeavesNoFile guards against a memory file written in part that takes the
// room of the replicated log on a full disk.
func TestFailedMemoryWriteLeavesNoFile(t *testing.T) {
	disk, err := storer.NewFolderDisk(t.TempDir())
	require.NoError(t, err)
	write := disk.Append
	disk.Append = func(name string, data []byte) error {
		return errors.Join(write(name, data[:len(data)/2]), syscall.ENOSPC)
	}
	d := &Conductor{disk: disk}
	require.ErrorIs(t, d.writeMemory(&wire.Memory{Vms: []*wire.Neighbour{{Vm: "10.0.0.1:7000"}}}), syscall.ENOSPC)
	names, err := disk.List()
	require.NoError(t, err)
	assert.Empty(t, names)
}
