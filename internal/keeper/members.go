package keeper

import (
	"slices"
	"time"

	"bronzedrift.example/bronzedrift/internal/messenger/wire"
	"bronzedrift.example/bronzedrift/internal/replicator"
)

const (
	// announceInterval is the pause between two requests to become a member. It is
	// short enough for several requests within the time in which a new VM must catch up.
	announceInterval = 500 * time.Millisecond
	// memberCheckInterval is how often a leader checks its members.
	memberCheckInterval = 250 * time.Millisecond
	// voterLostAfter is how long a voter may be unreachable before a learner replaces it. It
	// is longer than most restarts, which need no replacement. An election, this time and the
	// two changes of the members must be over before the next disk may be lost.
	voterLostAfter = 2 * time.Second
	// learnerLostAfter is how long a learner may be unreachable before it is removed.
	learnerLostAfter = 60 * time.Second
)

// announceIfNotMember announces this disk to all reachable VMs unless it is a member of
// a group with a leader.
func (k *Keeper) announceIfNotMember(now time.Time) {
	if k.replica == nil || now.Sub(k.announcedAt) < announceInterval {
		return
	}
	status := k.replica.Status()
	isMember := slices.ContainsFunc(status.Members, func(m replicator.Member) bool { return m.ID == k.identity })
	if isMember && status.Leader != "" {
		return
	}
	k.announcedAt = now
	k.handlers.Broadcast(&wire.StateMessage{AnnounceMember: k.identity, AnnounceVm: k.config.VM})
}

// addMember adds the disk of a state VM that is not a member. If the VM is a member with
// another disk, that disk is considered lost. If Config.Voters is set, the lost disk is
// then removed instead, and the new one is added at a later announcement; if not, the new
// one is rejected until the lost disk has been removed by a request.
func (k *Keeper) addMember(vm, identity string) {
	if k.replica == nil {
		return
	}
	status := k.replica.Status()
	if status.Role != replicator.Leader {
		return
	}
	for _, m := range status.Members {
		if m.ID == identity {
			return
		}
		if m.VM == vm && k.config.Voters > 0 {
			k.stepReplica(func(now time.Time, out *replicator.Effects) { _ = k.replica.Remove(now, vm, out) })
			return
		}
	}
	k.stepReplica(func(now time.Time, out *replicator.Effects) { _ = k.replica.Add(now, identity, vm, out) })
}

// maintainVoters makes the leader replace lost voters. A change that fails because
// another is pending, or because the quorum would be lost, is retried at the next check.
func (k *Keeper) maintainVoters(now time.Time) {
	if k.replica == nil || k.config.Voters == 0 || now.Sub(k.membersCheckedAt) < memberCheckInterval {
		return
	}
	k.membersCheckedAt = now
	k.stepReplica(func(now time.Time, out *replicator.Effects) {
		k.replica.MaintainVoters(now, replicator.VoterPolicy{
			Voters: k.config.Voters, VoterLostAfter: voterLostAfter, LearnerLostAfter: learnerLostAfter,
		}, out)
	})
}

// MemberVMs returns the VMs of the members in the replica's log, none on a VM without the
// state role. It may be called from any goroutine; the slice must not be modified.
func (k *Keeper) MemberVMs() []string { return *k.memberVMs.Load() }

func (k *Keeper) publishMembers() {
	if k.replica == nil {
		return
	}
	var vms []string
	for _, m := range k.replica.Status().Members {
		vms = append(vms, m.VM)
	}
	if !slices.Equal(vms, k.MemberVMs()) {
		k.memberVMs.Store(&vms)
	}
}
