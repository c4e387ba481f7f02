package replicator

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"
)

// Role is what a replica is in its term.
type Role int

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Errors of proposals.
var (
	// ErrNotLeader says that another replica orders the changes.
	ErrNotLeader = errors.New("replicator: not the leader")
	// ErrPendingChange says that a change of the members is under way.
	ErrPendingChange = errors.New("replicator: a change of the members is under way")
	// ErrQuorum says that a change would leave too few voters within reach.
	ErrQuorum = errors.New("replicator: the change would lose the quorum")
	// ErrMember says that a change names an unknown member or a known one again.
	ErrMember = errors.New("replicator: no such member, or a member already")
)

// Replicator is the decisions of one replica. It is not safe for concurrent use.
type Replicator struct {
	id, vm    string
	timing    Timing
	random    *rand.Rand
	hard      HardState
	synced    HardState
	role      Role
	leader    string
	leaderVM  string
	log       log
	members   []Member
	commit    uint64
	applied   uint64
	votes     map[string]bool
	progress  map[string]*progress
	electAt   time.Time
	beatAt    time.Time
	heardAt   time.Time
	quorumAt  time.Time
	round     uint64
	reads     []read
	memberAt  uint64
	out       *Effects
	unsavedAt uint64
	termStart uint64
	tended    bool
	// savedCommit is the commit index on disk.
	savedCommit uint64
}

// progress is what a leader knows of one other member.
type progress struct {
	next, match uint64
	heardAt     time.Time
	round       uint64
	installing  time.Time
}

// read is a linearizable read that waits for a round of heartbeats.
type read struct {
	number uint64
	index  uint64
	round  uint64
}

// Saved is what a disk holds at the start.
type Saved struct {
	Hard     HardState
	Snapshot *Snapshot
	Entries  []Entry
}

// New returns a replica that starts at the present time from what its disk
// holds. The state machine must hold the snapshot's state.
func New(now time.Time, id, vm string, saved Saved, timing Timing, seed uint64) *Replicator {
	r := &Replicator{
		id: id, vm: vm, timing: timing, random: rand.New(rand.NewPCG(seed, 11)),
		hard: saved.Hard, synced: saved.Hard, progress: map[string]*progress{},
	}
	if s := saved.Snapshot; s != nil {
		r.log.first, r.log.before = s.Index+1, s.Term
		r.members = s.Members
		r.commit, r.applied = s.Index, s.Index
	} else {
		r.log.first = 1
	}
	r.log.entries = saved.Entries
	r.commit = max(r.commit, min(saved.Hard.Commit, r.log.last()))
	r.savedCommit = saved.Hard.Commit
	r.hard.Commit, r.synced.Commit = 0, 0
	r.refreshMembers(saved.Snapshot)
	r.electAt = now.Add(r.timing.Election/startPatience + time.Duration(r.random.Int64N(int64(r.timing.Election))))
	return r
}

// startPatience divides the election timeout of a replica that starts: if there is
// a leader, the pre-vote does not disturb it, and if all have restarted, nobody
// has to wait for a leader that was.
const startPatience = 4

// Bootstrap makes an empty replica the only voter of a new group.
func (r *Replicator) Bootstrap(now time.Time, out *Effects) error {
	if len(r.members) > 0 || r.log.last() > 0 {
		return ErrMember
	}
	r.out = out
	first := Entry{Index: 1, Term: 1, Members: []Member{{ID: r.id, VM: r.vm, Voter: true}}}
	r.hard.Term = 1
	r.appendEntries([]Entry{first})
	r.electAt = now
	r.finish()
	return nil
}

// Tick lets time pass.
func (r *Replicator) Tick(now time.Time, out *Effects) {
	r.out = out
	if r.commit > r.savedCommit {
		r.saveHard()
	}
	switch {
	case r.role == Leader:
		r.leaderTick(now)
	case r.isVoter(r.id) && !now.Before(r.electAt):
		r.startPreVote(now)
	}
	r.finish()
}

// Handle takes a message from another replica.
func (r *Replicator) Handle(now time.Time, m *Message, out *Effects) {
	if m.To != r.id && m.To != "" {
		return
	}
	r.out = out
	r.handle(now, m)
	r.finish()
}

func (r *Replicator) handle(now time.Time, m *Message) {
	if m.Term > r.hard.Term && m.Kind != AskPreVote && (m.Kind != PreVote || !m.Granted) {
		if m.Kind == AskVote && r.hasLiveLeader(now) {
			return
		}
		r.becomeFollower(now, m.Term)
	}
	switch m.Kind {
	case AskPreVote:
		r.answerPreVote(now, m)
	case PreVote:
		r.takePreVote(now, m)
	case AskVote:
		r.answerVote(now, m)
	case Vote:
		r.takeVote(now, m)
	case Append:
		r.takeAppend(now, m)
	case Appended:
		r.takeAppended(now, m)
	case Install:
		r.takeInstall(now, m)
	}
}

// Propose appends a change if this replica is the leader.
func (r *Replicator) Propose(now time.Time, payload []byte, out *Effects) (uint64, error) {
	if r.role != Leader {
		return 0, ErrNotLeader
	}
	r.out = out
	e := Entry{Index: r.log.last() + 1, Term: r.hard.Term, Payload: payload}
	r.appendEntries([]Entry{e})
	r.replicateAll(now)
	r.finish()
	return e.Index, nil
}

// Read asks for a linearizable read; its number comes back in the effects.
func (r *Replicator) Read(now time.Time, number uint64, out *Effects) error {
	if r.role != Leader {
		return ErrNotLeader
	}
	r.out = out
	r.round++
	index := max(r.commit, r.termStart)
	r.reads = append(r.reads, read{number: number, index: index, round: r.round})
	r.beat(now)
	r.finish()
	return nil
}

// Compact replaces the entries up to the applied one by a snapshot of the state
// machine.
func (r *Replicator) Compact(state []byte, out *Effects) {
	if r.applied < r.log.first {
		return
	}
	s := &Snapshot{
		Index: r.applied, Term: r.log.term(r.applied), Members: r.membersAt(r.applied), State: state,
	}
	r.log.dropTo(s.Index, s.Term)
	out.Snapshot = s
}

// finish gives out what has to be saved and applied.
func (r *Replicator) finish() {
	if r.hard != r.synced {
		r.saveHard()
	}
	if r.unsavedAt > 0 {
		r.out.Save = append(r.out.Save, r.log.from(r.unsavedAt)...)
		r.unsavedAt = 0
	}
	r.advanceCommit()
	for r.applied < r.commit {
		r.applied++
		r.out.Commits = append(r.out.Commits, r.log.at(r.applied))
	}
	r.releaseReads()
	r.out = nil
}

func (r *Replicator) saveHard() {
	hard := r.hard
	hard.Commit = r.commit
	r.out.Hard = &hard
	r.synced, r.savedCommit = r.hard, r.commit
}

func (r *Replicator) appendEntries(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	first := entries[0].Index
	r.log.append(entries)
	if r.unsavedAt == 0 || first < r.unsavedAt {
		r.unsavedAt = first
	}
	r.refreshMembers(nil)
}

// Status is what operators see of a replica.
type Status struct {
	ID       string
	Role     Role
	Term     uint64
	Leader   string
	LeaderVM string
	Commit   uint64
	Applied  uint64
	Members  []Member
	Entries  int
}

// Status returns the state of the replica.
func (r *Replicator) Status() Status {
	return Status{
		ID: r.id, Role: r.role, Term: r.hard.Term, Leader: r.leader, LeaderVM: r.leaderVM,
		Commit: r.commit, Applied: r.applied, Members: slices.Clone(r.members), Entries: len(r.log.entries),
	}
}

func (r *Replicator) send(m Message) {
	m.From, m.FromVM = r.id, r.vm
	if m.Term == 0 {
		m.Term = r.hard.Term
	}
	if m.ToVM == "" {
		m.ToVM = r.vmOf(m.To)
	}
	r.out.Sends = append(r.out.Sends, m)
}

func (r *Replicator) vmOf(id string) string {
	for _, m := range r.members {
		if m.ID == id {
			return m.VM
		}
	}
	return ""
}
