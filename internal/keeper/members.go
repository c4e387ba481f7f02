package keeper

import (
	"slices"
	"time"

	"bronzedrift.example/bronzedrift/internal/messenger/wire"
	"bronzedrift.example/bronzedrift/internal/replicator"
)

const (
	// joinEvery is the pause between two requests to be a member: several fit
	// into the time in which a new VM has to catch up.
	joinEvery = 500 * time.Millisecond
	// tendEvery is how often a leader looks after its members.
	tendEvery = 250 * time.Millisecond
	// voterLostAfter is the silence of a voter after which a learner takes its
	// place. It is longer than a restart, which needs no replacement.
	voterLostAfter = 3 * time.Second
	// learnerLostAfter is the silence after which a learner is forgotten.
	learnerLostAfter = 60 * time.Second
)

// askToJoin announces this disk while it is no member of a group with a leader.
func (k *Keeper) askToJoin(now time.Time) {
	if k.replica == nil || now.Sub(k.askedAt) < joinEvery {
		return
	}
	status := k.replica.Status()
	isMember := slices.ContainsFunc(status.Members, func(m replicator.Member) bool { return m.ID == k.identity })
	if isMember && status.Leader != "" {
		return
	}
	k.askedAt = now
	k.handlers.Spread(&wire.StateMessage{AnnounceMember: k.identity, AnnounceVm: k.config.VM})
}

// join adds a state VM that is not a member. Where the VM had another disk, that
// disk is lost, and is removed first.
func (k *Keeper) join(vm, identity string) {
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
			k.step(func(now time.Time, out *replicator.Effects) { _ = k.replica.Remove(now, vm, out) })
			return
		}
	}
	k.step(func(now time.Time, out *replicator.Effects) { _ = k.replica.Add(now, identity, vm, out) })
}

// tendMembers lets the leader replace voters that are lost. Errors are left to
// the next round: a change under way, or a quorum that would be lost, is no fault.
func (k *Keeper) tendMembers(now time.Time) {
	if k.replica == nil || k.config.Voters == 0 || now.Sub(k.tendedAt) < tendEvery {
		return
	}
	k.tendedAt = now
	k.step(func(now time.Time, out *replicator.Effects) {
		k.replica.Tend(now, replicator.Tending{
			Voters: k.config.Voters, VoterLostAfter: voterLostAfter, LearnerLostAfter: learnerLostAfter,
		}, out)
	})
}
