package conductor

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bronzedrift.example/bronzedrift/internal/configurer"
	"bronzedrift.example/bronzedrift/internal/replicator"
	"bronzedrift.example/bronzedrift/internal/storer"
)

// saveMembers writes a snapshot of the log, with a member on each of the VMs.
func saveMembers(t *testing.T, folder string, vms ...string) {
	t.Helper()
	disk, err := storer.NewFolderDisk(folder)
	require.NoError(t, err)
	s, _, err := storer.Open(disk)
	require.NoError(t, err)
	state, err := configurer.New().Snapshot()
	require.NoError(t, err)
	snapshot := &replicator.Snapshot{Index: 1, Term: 1, State: state}
	for _, vm := range vms {
		snapshot.Members = append(snapshot.Members, replicator.Member{ID: vm, VM: vm, Voter: true})
	}
	require.NoError(t, s.SaveSnapshot(snapshot, nil))
}

// TestLinksToMembers guards against state VMs that never meet again, since they know each
// other from the replicated log alone: the seeds of one are out of date, and its list of VMs
// is lost or has forgotten those that nobody has reached for a while.
func TestLinksToMembers(t *testing.T) {
	const member = "127.0.0.9:7720"
	folder := t.TempDir()
	saveMembers(t, folder, "127.0.0.1:0", member)
	d := newTestConductor(t, folder)
	t.Run("after a start", func(t *testing.T) {
		assert.True(t, d.messenger.SendLog(member, nil), "there is no link to the member")
	})
	t.Run("after nobody has reported it", func(t *testing.T) {
		now := d.startedAt
		for range 60 {
			now = now.Add(time.Second)
			d.cleanUp(now)
		}
		assert.True(t, d.messenger.SendLog(member, nil), "there is no link to the member")
	})
	t.Run("not to a former member", func(t *testing.T) {
		const former = "127.0.0.8:7720"
		d.openLink(former)
		d.linkedMembers = []string{member, former}
		d.linkMembers()
		assert.False(t, d.messenger.SendLog(former, nil), "the link to the former member stays")
		assert.True(t, d.messenger.SendLog(member, nil), "there is no link to the member")
	})
}
