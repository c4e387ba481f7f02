package replicator

import (
	"time"
)

func (r *Replicator) resetElectionTimer(now time.Time) {
	jitter := time.Duration(r.random.Int64N(int64(r.timing.ElectionTimeout)))
	r.electionDeadline = now.Add(r.silenceTimeout() + jitter)
}

// hasActiveLeader reports whether this replica leads, or heard from a leader within
// the election timeout. Vote requests are then refused, so that a replica that
// returns from a network partition cannot disrupt the group.
func (r *Replicator) hasActiveLeader(now time.Time) bool {
	if r.role == Leader {
		return true
	}
	return r.leader != "" && now.Sub(r.leaderContactAt) < r.timing.ElectionTimeout
}

func (r *Replicator) becomeFollower(now time.Time, term uint64) {
	if term > r.hardState.Term {
		r.hardState = HardState{Term: term}
	}
	if r.role == Leader {
		r.dropReads()
	}
	r.role = Follower
	r.leader, r.leaderVM = "", ""
	r.resetElectionTimer(now)
}

func (r *Replicator) startPreVote(now time.Time) {
	r.role = PreCandidate
	r.leader, r.leaderVM = "", ""
	r.votes = map[string]bool{r.id: true}
	r.resetElectionTimer(now)
	if r.hasVoteQuorum() {
		r.startElection(now)
		return
	}
	r.requestVotes(PreVoteRequest, r.hardState.Term+1)
}

func (r *Replicator) startElection(now time.Time) {
	r.role = Candidate
	r.hardState = HardState{Term: r.hardState.Term + 1, Vote: r.id}
	r.votes = map[string]bool{r.id: true}
	r.resetElectionTimer(now)
	if r.hasVoteQuorum() {
		r.becomeLeader(now)
		return
	}
	r.requestVotes(VoteRequest, r.hardState.Term)
}

func (r *Replicator) requestVotes(k Kind, term uint64) {
	for _, m := range r.members {
		if m.ID != r.id && m.Voter {
			r.send(Message{Kind: k, To: m.ID, Term: term, Index: r.log.lastIndex(), LogTerm: r.log.lastTerm()})
		}
	}
}

// isUpToDate reports whether a candidate's log is at least as up to date as this
// replica's.
func (r *Replicator) isUpToDate(m *Message) bool {
	last := r.log.lastTerm()
	return m.LogTerm > last || m.LogTerm == last && m.Index >= r.log.lastIndex()
}

func (r *Replicator) handlePreVoteRequest(now time.Time, m *Message) {
	granted := m.Term > r.hardState.Term && r.isUpToDate(m) && !r.hasActiveLeader(now)
	response := Message{Kind: PreVoteResponse, To: m.From, ToVM: m.FromVM, Accepted: granted, Term: r.hardState.Term}
	if granted {
		response.Term = m.Term
	}
	r.send(response)
}

func (r *Replicator) handlePreVoteResponse(now time.Time, m *Message) {
	if r.role != PreCandidate || !m.Accepted || m.Term != r.hardState.Term+1 {
		return
	}
	r.votes[m.From] = true
	if r.hasVoteQuorum() {
		r.startElection(now)
	}
}

func (r *Replicator) handleVoteRequest(now time.Time, m *Message) {
	granted := m.Term == r.hardState.Term && (r.hardState.Vote == "" || r.hardState.Vote == m.From) && r.isUpToDate(m)
	if granted {
		r.hardState.Vote = m.From
		r.resetElectionTimer(now)
	}
	r.send(Message{Kind: VoteResponse, To: m.From, ToVM: m.FromVM, Accepted: granted})
}

func (r *Replicator) handleVoteResponse(now time.Time, m *Message) {
	if r.role != Candidate || !m.Accepted || m.Term != r.hardState.Term {
		return
	}
	r.votes[m.From] = true
	if r.hasVoteQuorum() {
		r.becomeLeader(now)
	}
}

func (r *Replicator) hasVoteQuorum() bool {
	return r.hasQuorum(func(id string) bool { return r.votes[id] })
}

// becomeLeader starts the leader's term with an empty entry. Committing it also
// commits the entries left by earlier terms.
func (r *Replicator) becomeLeader(now time.Time) {
	r.role = Leader
	r.leader, r.leaderVM = r.id, r.vm
	r.effects.ElectionWon = true
	r.quorumCheckedAt = now
	r.pendingReads = nil
	r.progress = map[string]*progress{}
	for _, m := range r.members {
		r.ensureProgress(now, m.ID)
	}
	r.termStartIndex = r.log.lastIndex() + 1
	r.appendEntries([]Entry{{Index: r.termStartIndex, Term: r.hardState.Term}})
	r.replicateAll(now)
}

func (r *Replicator) ensureProgress(now time.Time, id string) *progress {
	p := r.progress[id]
	if p == nil && id != r.id {
		p = &progress{next: r.log.lastIndex() + 1, lastContact: now}
		r.progress[id] = p
	}
	return p
}

// tickLeader sends heartbeats that are due, and steps down if no quorum is
// reachable.
func (r *Replicator) tickLeader(now time.Time) {
	if now.Sub(r.quorumCheckedAt) >= r.timing.ElectionTimeout {
		if !r.hasQuorum(func(id string) bool { return r.isReachable(now, id) }) {
			r.becomeFollower(now, r.hardState.Term)
			return
		}
		r.quorumCheckedAt = now
	}
	if !now.Before(r.nextHeartbeat) {
		r.sendHeartbeats(now)
	}
}

func (r *Replicator) isReachable(now time.Time, id string) bool {
	p := r.progress[id]
	return id == r.id || p != nil && now.Sub(p.lastContact) < r.silenceTimeout()
}

func (r *Replicator) sendHeartbeats(now time.Time) {
	r.nextHeartbeat = now.Add(r.timing.HeartbeatInterval)
	r.round++
	for _, m := range r.members {
		if m.ID != r.id {
			r.sendHeartbeat(now, m.ID)
		}
	}
}

func (r *Replicator) isVoter(id string) bool {
	for _, m := range r.members {
		if m.ID == id {
			return m.Voter
		}
	}
	return false
}

// hasQuorum reports whether more than half of the voters satisfy a condition.
func (r *Replicator) hasQuorum(satisfies func(id string) bool) bool {
	voters, satisfying := 0, 0
	for _, m := range r.members {
		if !m.Voter {
			continue
		}
		voters++
		if satisfies(m.ID) {
			satisfying++
		}
	}
	return voters > 0 && 2*satisfying > voters
}
