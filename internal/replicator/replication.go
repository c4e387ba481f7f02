package replicator

import (
	"slices"
	"time"
)

const (
	maxAppendEntries = 256
	snapshotTimeout  = 2 * time.Second
)

func (r *Replicator) replicateAll(now time.Time) {
	for _, m := range r.members {
		if m.ID != r.id {
			r.replicate(now, m.ID)
		}
	}
}

// replicate sends a member the entries that it lacks, or a snapshot if the log no
// longer holds them.
func (r *Replicator) replicate(now time.Time, id string) {
	p := r.ensureProgress(now, id)
	if p.next < r.log.firstIndex {
		r.sendSnapshot(now, id, p)
		return
	}
	entries := r.log.entriesFrom(p.next)
	if len(entries) > maxAppendEntries {
		entries = entries[:maxAppendEntries]
	}
	r.send(Message{
		Kind: Append, To: id, Index: p.next - 1, LogTerm: r.log.term(p.next - 1),
		Entries: entries, Commit: r.commit, Round: r.round,
	})
}

// sendSnapshot emits an InstallSnapshot message to which the caller adds the latest
// snapshot, since the replica does not hold its state. Until the member acknowledges it or
// snapshotTimeout has passed, only an empty Append is sent as the heartbeat.
func (r *Replicator) sendSnapshot(now time.Time, id string, p *progress) {
	if now.Sub(p.snapshotSentAt) < snapshotTimeout {
		r.send(Message{Kind: Append, To: id, Index: r.log.lastIndex(), LogTerm: r.log.lastTerm(), Commit: r.commit, Round: r.round})
		return
	}
	p.snapshotSentAt = now
	r.send(Message{Kind: InstallSnapshot, To: id, Round: r.round})
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
		p.next = max(1, min(p.next-1, m.Index+1))
		r.replicate(now, m.From)
		return
	}
	if m.Index > p.match {
		p.match = m.Index
		p.snapshotSentAt = time.Time{}
	}
	p.next = max(p.next, p.match+1)
	if p.next <= r.log.lastIndex() {
		r.replicate(now, m.From)
	}
	r.promoteIfCaughtUp(now, m.From)
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
