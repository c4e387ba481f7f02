package replicator

import (
	"slices"
	"time"
)

// memberList is the list of members from an entry on.
type memberList struct {
	members []Member
	index   uint64
}

// refreshMembers sets the members to those of the newest membership entry in the log or, if
// there is none, to those of the snapshot.
func (r *Replicator) refreshMembers() {
	r.members, r.membersIndex = r.snapshotMembers.members, r.snapshotMembers.index
	for i := len(r.log.entries) - 1; i >= 0; i-- {
		if e := &r.log.entries[i]; e.Members != nil {
			r.members, r.membersIndex = e.Members, e.Index
			return
		}
	}
}

// membersAt returns the members as of the entry at index.
func (r *Replicator) membersAt(index uint64) []Member {
	for i := index; i >= r.log.firstIndex; i-- {
		if e := r.log.entryAt(i); e.Members != nil {
			return e.Members
		}
	}
	return r.snapshotMembers.members
}

// Add adds a VM's disk as a learner, which becomes a voter once it has caught up.
// It fails with ErrInvalidMember while a previous disk of the VM is a member, which must
// be removed first.
func (r *Replicator) Add(now time.Time, id, vm string, out *Effects) error {
	for _, m := range r.members {
		if m.ID == id || m.VM == vm {
			return ErrInvalidMember
		}
	}
	return r.proposeMembers(now, append(slices.Clone(r.members), Member{ID: id, VM: vm}), out)
}

// Remove removes the member of a VM. It fails with ErrQuorum if the remaining
// reachable voters would not be a quorum.
func (r *Replicator) Remove(now time.Time, vm string, out *Effects) error {
	i := slices.IndexFunc(r.members, func(m Member) bool { return m.VM == vm })
	if i < 0 || r.members[i].ID == r.id {
		return ErrInvalidMember
	}
	remaining := slices.Delete(slices.Clone(r.members), i, i+1)
	voters, reachable := 0, 0
	for _, m := range remaining {
		if m.Voter {
			voters++
			if r.isReachable(now, m.ID) {
				reachable++
			}
		}
	}
	if voters == 0 || 2*reachable <= voters {
		return ErrQuorum
	}
	return r.proposeMembers(now, remaining, out)
}

// proposeMembers appends a membership change. It fails while an earlier one, or the
// first entry of the leader's term, is not committed.
func (r *Replicator) proposeMembers(now time.Time, members []Member, out *Effects) error {
	switch {
	case r.role != Leader:
		return ErrNotLeader
	case r.membersIndex > r.commit, r.commit < r.termStartIndex:
		return ErrPendingChange
	}
	r.effects = out
	r.appendMembers(now, members)
	r.collectEffects()
	return nil
}

func (r *Replicator) appendMembers(now time.Time, members []Member) {
	r.appendEntries([]Entry{{Index: r.log.lastIndex() + 1, Term: r.hardState.Term, Members: members}})
	r.replicateAll(now)
}

// VoterPolicy sets how many voters the leader maintains, and how long a member may be
// unreachable before it counts as lost.
type VoterPolicy struct {
	Voters                           int
	VoterLostAfter, LearnerLostAfter time.Duration
}

// MaintainVoters makes the leader propose at most one change towards the configured
// number of reachable voters. To replace a lost voter, it first promotes a learner that has
// caught up and then, in a later call, removes the lost voter, or makes a voter a learner if
// the lost one has returned: an additional voter raises the quorum. Lost learners are removed
// when the voters need no change. After the first call, learners are promoted by
// MaintainVoters alone.
func (r *Replicator) MaintainVoters(now time.Time, policy VoterPolicy, out *Effects) {
	r.managesVoters = true
	if r.role != Leader || r.membersIndex > r.commit || r.commit < r.termStartIndex {
		return
	}
	voters, lostVoter, lostLearner := 0, "", ""
	for _, m := range r.members {
		silentFor := r.sinceContact(now, m.ID)
		switch {
		case m.Voter && silentFor > policy.VoterLostAfter:
			voters++
			lostVoter = m.VM
		case m.Voter:
			voters++
		case silentFor > policy.LearnerLostAfter:
			lostLearner = m.VM
		}
	}
	switch {
	case voters > policy.Voters && lostVoter != "":
		_ = r.Remove(now, lostVoter, out)
	case voters > policy.Voters:
		r.demoteOneVoter(now, out)
	case voters < policy.Voters || voters == policy.Voters && lostVoter != "":
		r.promoteOneLearner(now, out)
	case lostLearner != "":
		_ = r.Remove(now, lostLearner, out)
	}
}

// ReachableVoters returns how many voters a leader reaches, itself included, and zero on
// other replicas.
func (r *Replicator) ReachableVoters(now time.Time) int {
	if r.role != Leader {
		return 0
	}
	reachable := 0
	for _, m := range r.members {
		if m.Voter && r.isReachable(now, m.ID) {
			reachable++
		}
	}
	return reachable
}

func (r *Replicator) sinceContact(now time.Time, id string) time.Duration {
	p := r.progress[id]
	if p == nil {
		return 0
	}
	return now.Sub(p.lastContact)
}

// promoteOneLearner promotes the first reachable learner that has caught up.
func (r *Replicator) promoteOneLearner(now time.Time, out *Effects) {
	for i, m := range r.members {
		p := r.progress[m.ID]
		if m.Voter || p == nil || p.match < r.commit || !r.isReachable(now, m.ID) {
			continue
		}
		members := slices.Clone(r.members)
		members[i].Voter = true
		_ = r.proposeMembers(now, members, out)
		return
	}
}

// demoteOneVoter makes the voter a learner that holds the fewest entries. It is not the
// leader, which holds them all.
func (r *Replicator) demoteOneVoter(now time.Time, out *Effects) {
	last := -1
	for i, m := range r.members {
		if p := r.progress[m.ID]; m.Voter && p != nil && (last < 0 || p.match < r.progress[r.members[last].ID].match) {
			last = i
		}
	}
	if last < 0 {
		return
	}
	members := slices.Clone(r.members)
	members[last].Voter = false
	_ = r.proposeMembers(now, members, out)
}

// promoteIfCaughtUp promotes a learner that holds all committed entries, unless
// MaintainVoters manages the voters.
func (r *Replicator) promoteIfCaughtUp(now time.Time, id string) {
	if r.managesVoters {
		return
	}
	if r.membersIndex > r.commit || r.commit < r.termStartIndex || r.isVoter(id) || r.progress[id].match < r.commit {
		return
	}
	i := slices.IndexFunc(r.members, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return
	}
	members := slices.Clone(r.members)
	members[i].Voter = true
	r.appendMembers(now, members)
}
