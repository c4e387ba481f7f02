// Package replicator implements Raft for a log replicated over a few VMs, with
// pre-vote, check-quorum, linearizable reads, learners that are promoted to voters,
// snapshots, and one membership change at a time. It reads no clock, writes no file
// and opens no socket: what must be saved and sent is returned as Effects, and the
// caller must sync the former before it sends the latter.
package replicator

import (
	"errors"
	"fmt"
	"time"
)

// Member is one replica. Its ID identifies a disk, not a VM: a VM whose disk was
// lost rejoins as a new member.
type Member struct {
	ID    string
	VM    string
	Voter bool
}

// Entry is one log entry. Members is set only in a membership change.
type Entry struct {
	Index   uint64
	Term    uint64
	Payload []byte
	Members []Member
}

// HardState is the state that must survive a restart. Commit is a lower bound of the
// commit index: it lets a restarted replica apply the saved entries up to it, and so
// know a configuration, before a leader is elected.
type HardState struct {
	Term   uint64
	Vote   string
	Commit uint64
}

// Snapshot is the state machine's state after the entry at Index. It replaces all
// entries up to that one.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members []Member
	State   []byte
}

// Kind is the type of a message.
type Kind int

// The message types. Append and InstallSnapshot carry entries or a snapshot, and
// AppendResponse acknowledges either.
const (
	PreVoteRequest Kind = iota + 1
	PreVoteResponse
	VoteRequest
	VoteResponse
	Append
	AppendResponse
	InstallSnapshot
)

// Message is sent from one replica to another. From and To are member IDs.
//
// Index and LogTerm are those of the sender's last entry in a vote request, and of the
// entry before Entries in an Append. Index in an AppendResponse is the last entry known
// to match the leader's log or, if Accepted is false, the last one that may match. Round
// is the leader's read round: each read starts a new one, and a response repeats it to
// confirm the leader for the reads started up to then.
type Message struct {
	Kind     Kind
	From     string
	FromVM   string
	To       string
	ToVM     string
	Term     uint64
	Index    uint64
	LogTerm  uint64
	Commit   uint64
	Entries  []Entry
	Accepted bool
	Round    uint64
	Snapshot *Snapshot
}

// ErrInvalidMessage is returned for a message that no correct replica sends.
var ErrInvalidMessage = errors.New("replicator: invalid message")

// maxCounter is the highest term, index or round that a message may hold. A higher one
// would leave no room for the next.
const maxCounter = 1 << 62

// Validate checks that the fields of a message from the network are consistent.
func (m *Message) Validate() error {
	for _, n := range []uint64{m.Term, m.Index, m.LogTerm, m.Commit, m.Round} {
		if n > maxCounter {
			return fmt.Errorf("%w: a counter is out of range", ErrInvalidMessage)
		}
	}
	if m.Kind < PreVoteRequest || m.Kind > InstallSnapshot {
		return fmt.Errorf("%w: kind %d", ErrInvalidMessage, m.Kind)
	}
	if len(m.Entries) > 0 && m.Kind != Append {
		return fmt.Errorf("%w: entries in a message of kind %d", ErrInvalidMessage, m.Kind)
	}
	term := m.LogTerm
	for i := range m.Entries {
		e := &m.Entries[i]
		if e.Index != m.Index+1+uint64(i) || e.Term < term || e.Term > m.Term {
			return fmt.Errorf("%w: entry %d of term %d follows entry %d of term %d", ErrInvalidMessage, e.Index, e.Term, m.Index+uint64(i), term)
		}
		term = e.Term
	}
	if m.Kind == InstallSnapshot && (m.Snapshot == nil || m.Snapshot.Index == 0 || m.Snapshot.Index > maxCounter || len(m.Snapshot.Members) == 0) {
		return fmt.Errorf("%w: a snapshot without state, index or members", ErrInvalidMessage)
	}
	return nil
}

// Effects lists what the caller must do, in the order of the fields. ElectionWon only
// reports that the replica has just become the leader.
type Effects struct {
	// Requests confirm nothing that must be synced, so that their receivers sync meanwhile.
	Requests []Message
	// HardState, Entries and Snapshot must be synced before anything is sent.
	HardState *HardState
	Entries   []Entry
	Snapshot  *Snapshot
	Sends     []Message
	// Restore replaces the state machine's state before Commits are applied to it.
	Restore *Snapshot
	Commits []Entry
	// ReadyReads are the numbers of reads that may be answered now.
	ReadyReads []uint64
	// FailedReads are the numbers of reads that failed because the replica is no longer
	// the leader, and must be retried.
	FailedReads []uint64
	ElectionWon bool
}

// Timing holds the heartbeat interval and the minimum election timeout.
type Timing struct {
	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration
}

// DefaultTiming is meant for network latencies of a few milliseconds.
func DefaultTiming() Timing {
	return Timing{HeartbeatInterval: 75 * time.Millisecond, ElectionTimeout: 400 * time.Millisecond}
}
