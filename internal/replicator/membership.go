package replicator

import (
	"slices"
	"time"
)

// refreshMembers takes the newest members in the log, or those of a snapshot.
func (r *Replicator) refreshMembers(s *Snapshot) {
	if s != nil {
		r.members, r.memberAt = s.Members, s.Index
	}
	for i := len(r.log.entries) - 1; i >= 0; i-- {
		if e := &r.log.entries[i]; e.Members != nil {
			r.members, r.memberAt = e.Members, e.Index
			return
		}
	}
}

func (r *Replicator) membersAt(index uint64) []Member {
	for i := index; i >= r.log.first; i-- {
		if e := r.log.at(i); e.Members != nil {
			return e.Members
		}
	}
	if r.memberAt <= index {
		return r.members
	}
	return nil
}

// Add adds a disk of a VM as a learner, which becomes a voter when it has caught
// up. A VM whose former disk is still a member has to be replaced instead.
func (r *Replicator) Add(now time.Time, id, vm string, out *Effects) error {
	for _, m := range r.members {
		if m.ID == id || m.VM == vm {
			return ErrMember
		}
	}
	return r.change(now, append(slices.Clone(r.members), Member{ID: id, VM: vm}), out)
}

// Remove removes the member of a VM unless that would lose the quorum.
func (r *Replicator) Remove(now time.Time, vm string, out *Effects) error {
	i := slices.IndexFunc(r.members, func(m Member) bool { return m.VM == vm })
	if i < 0 || r.members[i].ID == r.id {
		return ErrMember
	}
	rest := slices.Delete(slices.Clone(r.members), i, i+1)
	voters, reached := 0, 0
	for _, m := range rest {
		if m.Voter {
			voters++
			if r.isWithinReach(now, m.ID) {
				reached++
			}
		}
	}
	if voters == 0 || 2*reached <= voters {
		return ErrQuorum
	}
	return r.change(now, rest, out)
}

// change appends new members unless an earlier change is not committed yet.
func (r *Replicator) change(now time.Time, members []Member, out *Effects) error {
	switch {
	case r.role != Leader:
		return ErrNotLeader
	case r.memberAt > r.commit, r.commit < r.termStart:
		return ErrPendingChange
	}
	r.out = out
	r.appendChange(now, members)
	r.finish()
	return nil
}

func (r *Replicator) appendChange(now time.Time, members []Member) {
	r.appendEntries([]Entry{{Index: r.log.last() + 1, Term: r.hard.Term, Members: members}})
	r.replicateAll(now)
}

// Tending says how many voters a leader keeps, and which silence makes a member
// count as lost.
type Tending struct {
	Voters                           int
	VoterLostAfter, LearnerLostAfter time.Duration
}

// Tend lets the leader make one step towards the wanted number of voters within
// reach: a learner that has caught up becomes a voter, then a lost voter leaves.
func (r *Replicator) Tend(now time.Time, t Tending, out *Effects) {
	r.tended = true
	if r.role != Leader || r.memberAt > r.commit || r.commit < r.termStart {
		return
	}
	voters, lostVoter, lostLearner := 0, "", ""
	for _, m := range r.members {
		silence := r.silenceOf(now, m.ID)
		switch {
		case m.Voter && silence > t.VoterLostAfter:
			voters++
			lostVoter = m.VM
		case m.Voter:
			voters++
		case silence > t.LearnerLostAfter:
			lostLearner = m.VM
		}
	}
	switch {
	case voters > t.Voters && lostVoter != "":
		_ = r.Remove(now, lostVoter, out)
	case voters < t.Voters || voters == t.Voters && lostVoter != "":
		r.promoteAny(now, out)
	case lostLearner != "":
		_ = r.Remove(now, lostLearner, out)
	}
}

func (r *Replicator) silenceOf(now time.Time, id string) time.Duration {
	p := r.progress[id]
	if p == nil {
		return 0
	}
	return now.Sub(p.heardAt)
}

// promoteAny makes the first learner that has caught up a voter.
func (r *Replicator) promoteAny(now time.Time, out *Effects) {
	for i, m := range r.members {
		p := r.progress[m.ID]
		if m.Voter || p == nil || p.match < r.commit || !r.isWithinReach(now, m.ID) {
			continue
		}
		members := slices.Clone(r.members)
		members[i].Voter = true
		_ = r.change(now, members, out)
		return
	}
}

// promote makes a learner a voter once it holds all that is committed, unless
// Tend decides on the voters.
func (r *Replicator) promote(now time.Time, id string) {
	if r.tended {
		return
	}
	if r.memberAt > r.commit || r.commit < r.termStart || r.isVoter(id) || r.progress[id].match < r.commit {
		return
	}
	i := slices.IndexFunc(r.members, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return
	}
	members := slices.Clone(r.members)
	members[i].Voter = true
	r.appendChange(now, members)
}
