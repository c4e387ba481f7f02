package replicator

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"
)

// Role is a replica's role in the current term.
type Role int

// The Raft roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Errors of proposals, reads and membership changes.
var (
	// ErrNotLeader is returned by a replica that is not the leader.
	ErrNotLeader = errors.New("replicator: not the leader")
	// ErrBacklog is returned while too many bytes of earlier proposals are not committed.
	ErrBacklog = errors.New("replicator: earlier proposals are not committed")
	// ErrPendingChange is returned while an earlier membership change, or the first
	// entry of the leader's term, is not committed.
	ErrPendingChange = errors.New("replicator: a change of the members is under way")
	// ErrQuorum is returned if a change would leave too few reachable voters.
	ErrQuorum = errors.New("replicator: the change would lose the quorum")
	// ErrInvalidMember is returned if a member to add exists already, or if one to remove
	// is unknown or is the leader itself.
	ErrInvalidMember = errors.New("replicator: no such member, or a member already")
)

// Replicator is one Raft replica. It is not safe for concurrent use.
type Replicator struct {
	id, vm           string
	timing           Timing
	random           *rand.Rand
	hardState        HardState
	savedHardState   HardState
	role             Role
	leader           string
	leaderVM         string
	log              log
	members          []Member
	snapshotMembers  memberList
	commit           uint64
	applied          uint64
	votes            map[string]bool
	progress         map[string]*progress
	electionDeadline time.Time
	nextHeartbeat    time.Time
	leaderContactAt  time.Time
	quorumCheckedAt  time.Time
	round            uint64
	pendingReads     []read
	membersIndex     uint64
	effects          *Effects
	firstUnsaved     uint64
	termStartIndex   uint64
	managesVoters    bool
	// syncTime is the longest of the recent syncs.
	syncTime time.Duration
	// savedCommit is the commit index on disk.
	savedCommit uint64
}

// progress is the leader's view of one other member.
type progress struct {
	// next is the first entry to send, and match the last one known to match.
	next, match uint64
	lastContact time.Time
	round       uint64
	// isProbing is set until the entry before next is known to match, after one did not.
	isProbing bool
	// isInFlight is set while an Append of replicate, or a snapshot, is not answered.
	// transferRound and transferAt are the round and the time of the latest one.
	isInFlight    bool
	isSnapshot    bool
	transferRound uint64
	transferAt    time.Time
}

func (p *progress) resendInterval() time.Duration {
	if p.isSnapshot {
		return snapshotResendInterval
	}
	return resendInterval
}

// read is a linearizable read that waits for a quorum to confirm a heartbeat round.
type read struct {
	number uint64
	index  uint64
	round  uint64
}

// Saved is the state read from disk at startup.
type Saved struct {
	HardState HardState
	Snapshot  *Snapshot
	Entries   []Entry
}

// New returns a replica that resumes from its saved state. The caller must have
// restored the state machine from the snapshot.
func New(now time.Time, id, vm string, saved Saved, timing Timing, seed uint64) *Replicator {
	r := &Replicator{
		id: id, vm: vm, timing: timing, random: rand.New(rand.NewPCG(seed, 11)),
		hardState: saved.HardState, savedHardState: saved.HardState, progress: map[string]*progress{},
	}
	if s := saved.Snapshot; s != nil {
		r.log.firstIndex, r.log.prevTerm = s.Index+1, s.Term
		r.snapshotMembers = memberList{s.Members, s.Index}
		r.commit, r.applied = s.Index, s.Index
	} else {
		r.log.firstIndex = 1
	}
	r.log.entries = saved.Entries
	r.commit = max(r.commit, min(saved.HardState.Commit, r.log.lastIndex()))
	r.savedCommit = saved.HardState.Commit
	// The commit index is kept in r.commit; saveHardState adds it to what is saved.
	r.hardState.Commit, r.savedHardState.Commit = 0, 0
	r.refreshMembers()
	r.electionDeadline = now.Add(r.timing.ElectionTimeout/startElectionDivisor + time.Duration(r.random.Int64N(int64(r.timing.ElectionTimeout))))
	return r
}

// startElectionDivisor shortens the first election timeout after a start. If there is
// a leader, the pre-vote does not disrupt it; if all replicas have restarted, there is
// no leader to wait for.
const startElectionDivisor = 4

// Bootstrap makes an empty replica the only voter of a new group.
func (r *Replicator) Bootstrap(now time.Time, out *Effects) error {
	if len(r.members) > 0 || r.log.lastIndex() > 0 {
		return ErrInvalidMember
	}
	r.effects = out
	first := Entry{Index: 1, Term: 1, Members: []Member{{ID: r.id, VM: r.vm, Voter: true}}}
	r.hardState.Term = 1
	r.appendEntries([]Entry{first})
	r.electionDeadline = now
	r.collectEffects()
	return nil
}

// Tick advances time: it starts an election or sends heartbeats when they are due.
func (r *Replicator) Tick(now time.Time, out *Effects) {
	r.effects = out
	if r.commit > r.savedCommit {
		r.saveHardState()
		// The followers save it at the same time.
		r.nextHeartbeat = now
	}
	switch {
	case r.role == Leader:
		r.tickLeader(now)
	case r.isVoter(r.id) && !now.Before(r.electionDeadline):
		r.startPreVote(now)
	}
	r.collectEffects()
}

// Handle processes a message from another replica. It ignores messages to a
// different member ID.
func (r *Replicator) Handle(now time.Time, m *Message, out *Effects) {
	if m.To != r.id && m.To != "" {
		return
	}
	r.effects = out
	r.handle(now, m)
	r.collectEffects()
}

// handle first adopts the message's term if that is higher. Pre-vote requests and
// accepted pre-vote responses are exempt: their term is only that of a possible election.
func (r *Replicator) handle(now time.Time, m *Message) {
	if m.Term > r.hardState.Term && m.Kind != PreVoteRequest && (m.Kind != PreVoteResponse || !m.Accepted) {
		if m.Kind == VoteRequest && r.hasActiveLeader(now) {
			return
		}
		r.becomeFollower(now, m.Term)
	}
	switch m.Kind {
	case PreVoteRequest:
		r.handlePreVoteRequest(now, m)
	case PreVoteResponse:
		r.handlePreVoteResponse(now, m)
	case VoteRequest:
		r.handleVoteRequest(now, m)
	case VoteResponse:
		r.handleVoteResponse(now, m)
	case Append:
		r.handleAppend(now, m)
	case AppendResponse:
		r.handleAppendResponse(now, m)
	case InstallSnapshot:
		r.handleSnapshot(now, m)
	}
}

// maxUncommittedBytes bounds the payloads of the entries that a leader has proposed and that
// are not committed, since they can't be compacted. One larger entry is accepted while there is
// no other, and entries of up to smallProposalBytes always: they do not wait for large ones.
const (
	maxUncommittedBytes = 16 << 20
	smallProposalBytes  = 64 << 10
)

func (r *Replicator) hasBacklog(payload []byte) bool {
	uncommitted := 0
	for index := r.commit + 1; index <= r.log.lastIndex(); index++ {
		uncommitted += len(r.log.entryAt(index).Payload)
	}
	return len(payload) > smallProposalBytes && uncommitted > 0 && uncommitted+len(payload) > maxUncommittedBytes
}

// Propose appends an entry if this replica is the leader, and returns its index. It fails with
// ErrBacklog if the log has no room for it.
func (r *Replicator) Propose(now time.Time, payload []byte, out *Effects) (uint64, error) {
	if r.role != Leader {
		return 0, ErrNotLeader
	}
	if r.hasBacklog(payload) {
		return 0, ErrBacklog
	}
	r.effects = out
	e := Entry{Index: r.log.lastIndex() + 1, Term: r.hardState.Term, Payload: payload}
	r.appendEntries([]Entry{e})
	r.replicateAll(now)
	r.collectEffects()
	return e.Index, nil
}

// Read starts a linearizable read. Its number is returned in Effects.ReadyReads once it
// may be answered, or in Effects.FailedReads.
func (r *Replicator) Read(now time.Time, number uint64, out *Effects) error {
	if r.role != Leader {
		return ErrNotLeader
	}
	r.effects = out
	r.round++
	index := max(r.commit, r.termStartIndex)
	r.pendingReads = append(r.pendingReads, read{number: number, index: index, round: r.round})
	r.sendHeartbeats(now)
	r.collectEffects()
	return nil
}

// Compact replaces the applied entries by a snapshot of the state machine.
func (r *Replicator) Compact(state []byte, out *Effects) {
	if r.applied < r.log.firstIndex {
		return
	}
	s := &Snapshot{
		Index: r.applied, Term: r.log.term(r.applied), Members: r.membersAt(r.applied), State: state,
	}
	r.log.discardThrough(s.Index, s.Term)
	r.snapshotMembers = memberList{s.Members, s.Index}
	out.Snapshot = s
}

// collectEffects completes the effects of the current call with the state and entries
// to save, the entries to apply and the reads to answer.
func (r *Replicator) collectEffects() {
	r.separateRequests()
	if r.hardState != r.savedHardState {
		r.saveHardState()
	}
	if r.firstUnsaved > 0 {
		r.effects.Entries = append(r.effects.Entries, r.log.entriesFrom(r.firstUnsaved)...)
		r.firstUnsaved = 0
	}
	r.advanceCommit()
	for r.applied < r.commit {
		r.applied++
		r.effects.Commits = append(r.effects.Commits, r.log.entryAt(r.applied))
	}
	r.completeReads()
	r.effects = nil
}

// separateRequests moves the requests that need not wait for a sync. The responses to a vote
// request are handled after the sync of this replica's own vote. Entries must not be sent in a
// term that is not saved, in which this replica might send others after a restart.
func (r *Replicator) separateRequests() {
	isTermSaved := r.hardState == r.savedHardState
	var rest []Message
	for _, m := range r.effects.Sends {
		switch {
		case m.Kind == PreVoteRequest, m.Kind == VoteRequest, m.Kind == Append && isTermSaved:
			r.effects.Requests = append(r.effects.Requests, m)
		default:
			rest = append(rest, m)
		}
	}
	r.effects.Sends = rest
}

// Waited moves all deadlines by the time for which the caller has waited for a sync. The
// messages that arrived meanwhile are not handled yet, so that nobody counts as silent for
// it. A candidate gives the voters the same time for their own sync.
func (r *Replicator) Waited(d time.Duration) {
	r.syncTime = min(max(d, r.syncTime-r.syncTime/syncTimeDecay), maxSyncTime)
	if d < r.timing.HeartbeatInterval {
		// No heartbeat was missed. Many short waits must not hide a member that is silent.
		return
	}
	r.electionDeadline = r.electionDeadline.Add(d)
	if r.role == Candidate {
		r.electionDeadline = r.electionDeadline.Add(d)
	}
	r.leaderContactAt = r.leaderContactAt.Add(d)
	r.quorumCheckedAt = r.quorumCheckedAt.Add(d)
	for _, p := range r.progress {
		p.lastContact = p.lastContact.Add(d)
	}
}

const (
	// syncTimeDecay is the reciprocal of the part by which syncTime shrinks with each sync.
	syncTimeDecay = 8
	// maxSyncTime limits how long a replica that is lost may count as one that syncs.
	maxSyncTime = 2 * time.Second
)

// silenceTimeout is the time without a message after which a member counts as unreachable.
// It may handle none while it syncs, for which its disk takes as long as this one's.
func (r *Replicator) silenceTimeout() time.Duration {
	return r.timing.ElectionTimeout + r.syncTime
}

func (r *Replicator) saveHardState() {
	state := r.hardState
	state.Commit = r.commit
	r.effects.HardState = &state
	r.savedHardState, r.savedCommit = r.hardState, r.commit
}

func (r *Replicator) appendEntries(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	first := entries[0].Index
	r.log.truncateAndAppend(entries)
	if r.firstUnsaved == 0 || first < r.firstUnsaved {
		r.firstUnsaved = first
	}
	r.refreshMembers()
}

// Status is a replica's state as shown to operators.
type Status struct {
	ID        string
	Role      Role
	Term      uint64
	Leader    string
	LeaderVM  string
	Commit    uint64
	Applied   uint64
	Members   []Member
	LogLength int
}

// Status returns the state of the replica.
func (r *Replicator) Status() Status {
	return Status{
		ID: r.id, Role: r.role, Term: r.hardState.Term, Leader: r.leader, LeaderVM: r.leaderVM,
		Commit: r.commit, Applied: r.applied, Members: slices.Clone(r.members), LogLength: len(r.log.entries),
	}
}

func (r *Replicator) send(m Message) {
	m.From, m.FromVM = r.id, r.vm
	if m.Term == 0 {
		m.Term = r.hardState.Term
	}
	if m.ToVM == "" {
		m.ToVM = r.vmOf(m.To)
	}
	r.effects.Sends = append(r.effects.Sends, m)
}

func (r *Replicator) vmOf(id string) string {
	for _, m := range r.members {
		if m.ID == id {
			return m.VM
		}
	}
	return ""
}
