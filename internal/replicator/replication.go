package replicator

import (
	"slices"
	"time"
)

const (
	maxAppendEntries = 256
	// maxAppendBytes limits an Append of several entries, so that the heartbeats behind it are in
	// time on a narrow link. A single larger entry may hold them back.
	maxAppendBytes = 256 << 10
	// resendInterval and snapshotResendInterval are the shortest times after which an Append
	// or a snapshot is sent again to a member that answers but has not got it.
	resendInterval         = 300 * time.Millisecond
	snapshotResendInterval = 2 * time.Second
)

func (r *Replicator) replicateAll(now time.Time) {
	for _, m := range r.members {
		if m.ID != r.id {
			r.replicate(now, m.ID)
		}
	}
}

// replicate sends a member a batch of the entries that it lacks, or a snapshot if the log no
// longer holds them, unless one is in flight. Until the entry before them is known to match,
// an Append without entries is sent instead.
//
// Each transfer starts a round of its own, so that an answer of that round or a later one
// shows that the member received the transfer or never will: links keep the order.
func (r *Replicator) replicate(now time.Time, id string) {
	p := r.ensureProgress(now, id)
	if p.isInFlight {
		return
	}
	r.round++
	p.isInFlight, p.transferRound, p.transferAt = true, r.round, now
	p.isSnapshot = p.next < r.log.firstIndex
	if p.isSnapshot {
		// The caller adds the latest snapshot, since the replica does not hold its state.
		r.send(Message{Kind: InstallSnapshot, To: id, Round: r.round})
		return
	}
	var entries []Entry
	if !p.isProbing {
		entries = r.log.batchFrom(p.next)
	}
	r.sendAppend(id, p.next-1, entries)
}

func (r *Replicator) sendAppend(id string, index uint64, entries []Entry) {
	r.send(Message{
		Kind: Append, To: id, Index: index, LogTerm: r.log.term(index),
		Entries: entries, Commit: r.commit, Round: r.round,
	})
}

// sendHeartbeat sends an Append without entries. It follows the last entry that is known to
// match, so that the member accepts it while others are in flight.
func (r *Replicator) sendHeartbeat(now time.Time, id string) {
	p := r.ensureProgress(now, id)
	index := min(p.match, p.next-1)
	if index+1 < r.log.firstIndex {
		// Every log matches before its first entry.
		index = 0
	}
	r.sendAppend(id, index, nil)
}

func (r *Replicator) handleAppend(now time.Time, m *Message) {
	if m.Term < r.hardState.Term {
		r.send(Message{Kind: AppendResponse, To: m.From, ToVM: m.FromVM, Index: 0, Round: m.Round})
		return
	}
	r.acceptLeader(now, m)
	// The entries up to the snapshot are committed, so the leader can continue after the
	// commit index.
	if m.Index+1 < r.log.firstIndex {
		r.send(Message{Kind: AppendResponse, To: m.From, ToVM: m.FromVM, Accepted: true, Index: r.commit, Round: m.Round})
		return
	}
	if m.Index > r.log.lastIndex() || r.log.term(m.Index) != m.LogTerm {
		hint := min(m.Index-1, r.log.lastIndex())
		r.send(Message{Kind: AppendResponse, To: m.From, ToVM: m.FromVM, Index: hint, Round: m.Round})
		return
	}
	r.appendMissing(m.Entries)
	match := m.Index + uint64(len(m.Entries))
	r.commit = max(r.commit, min(m.Commit, match))
	r.send(Message{Kind: AppendResponse, To: m.From, ToVM: m.FromVM, Accepted: true, Index: match, Round: m.Round})
}

// appendMissing appends the entries from the first that differs from the log.
func (r *Replicator) appendMissing(entries []Entry) {
	for i, e := range entries {
		if e.Index <= r.log.lastIndex() && r.log.term(e.Index) == e.Term {
			continue
		}
		r.appendEntries(slices.Clone(entries[i:]))
		return
	}
}

func (r *Replicator) acceptLeader(now time.Time, m *Message) {
	if r.role != Follower {
		r.becomeFollower(now, m.Term)
	}
	r.leader, r.leaderVM = m.From, m.FromVM
	r.leaderContactAt = now
	r.resetElectionTimer(now)
}

func (r *Replicator) handleAppendResponse(now time.Time, m *Message) {
	p := r.progress[m.From]
	if r.role != Leader || p == nil || m.Term != r.hardState.Term || m.Index > r.log.lastIndex() {
		return
	}
	p.lastContact = now
	p.round = max(p.round, m.Round)
	if !m.Accepted {
		r.handleRejection(now, p, m)
		return
	}
	if hasArrived := m.Round == p.transferRound && m.Index+1 >= p.next; hasArrived {
		p.isInFlight, p.isProbing = false, false
	}
	p.match = max(p.match, m.Index)
	p.next = max(p.next, m.Index+1)
	if p.isInFlight && m.Round > p.transferRound && now.Sub(p.transferAt) >= p.resendInterval() {
		p.isInFlight = false
	}
	// A heartbeat is also accepted by a member that lacks the entries before next.
	if p.next <= r.log.lastIndex() || p.match+1 < p.next {
		r.replicate(now, m.From)
	}
	r.promoteIfCaughtUp(now, m.From)
}

// handleRejection continues at an earlier entry. An answer to what was sent before the
// current transfer says nothing new.
func (r *Replicator) handleRejection(now time.Time, p *progress, m *Message) {
	if p.isInFlight && m.Round < p.transferRound {
		return
	}
	p.next = max(1, min(p.next-1, m.Index+1))
	p.isInFlight, p.isProbing = false, true
	r.replicate(now, m.From)
}

// handleSnapshot replaces the log and the state machine's state by a snapshot that
// is ahead of the commit index.
func (r *Replicator) handleSnapshot(now time.Time, m *Message) {
	if m.Term < r.hardState.Term || m.Snapshot == nil {
		return
	}
	r.acceptLeader(now, m)
	s := m.Snapshot
	if s.Index > r.commit {
		if r.log.term(s.Index) == s.Term && s.Index <= r.log.lastIndex() {
			r.log.discardThrough(s.Index, s.Term)
		} else {
			r.log = log{firstIndex: s.Index + 1, prevTerm: s.Term}
		}
		r.commit, r.applied = s.Index, s.Index
		r.snapshotMembers = memberList{s.Members, s.Index}
		r.refreshMembers()
		r.firstUnsaved = 0
		r.effects.Snapshot, r.effects.Restore = s, s
	}
	r.send(Message{Kind: AppendResponse, To: m.From, ToVM: m.FromVM, Accepted: true, Index: r.commit, Round: m.Round})
}

// advanceCommit moves the commit index to the last entry of the leader's own term
// that a quorum holds.
func (r *Replicator) advanceCommit() {
	if r.role != Leader {
		return
	}
	for index := r.log.lastIndex(); index > r.commit && r.log.term(index) == r.hardState.Term; index-- {
		if r.hasQuorum(func(id string) bool { return r.hasReplicated(id, index) }) {
			r.commit = index
			return
		}
	}
}

func (r *Replicator) hasReplicated(id string, index uint64) bool {
	if id == r.id {
		return true
	}
	p := r.progress[id]
	return p != nil && p.match >= index
}

// completeReads completes the reads whose heartbeat round a quorum has confirmed and
// whose index has been applied.
func (r *Replicator) completeReads() {
	if r.role != Leader {
		return
	}
	remaining := r.pendingReads[:0]
	for _, rd := range r.pendingReads {
		confirmed := r.hasQuorum(func(id string) bool {
			p := r.progress[id]
			return id == r.id || p != nil && p.round >= rd.round
		})
		if confirmed && r.applied >= rd.index {
			r.effects.ReadyReads = append(r.effects.ReadyReads, rd.number)
		} else {
			remaining = append(remaining, rd)
		}
	}
	r.pendingReads = remaining
}

func (r *Replicator) dropReads() {
	for _, rd := range r.pendingReads {
		r.effects.FailedReads = append(r.effects.FailedReads, rd.number)
	}
	r.pendingReads = nil
}
