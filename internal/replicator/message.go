// Package replicator decides how a log is replicated over a few VMs, in the
// manner of Raft: pre-vote, check-quorum, linearizable reads, learners before
// voters, snapshots, and one change of members at a time. It reads no clock,
// writes no file and opens no socket: what must be synced and sent is returned
// as effects, and is to be synced before it is sent.
package replicator

import "time"

// Member is one replica. Its ID belongs to a disk and not to a VM: a VM whose
// disk was lost comes back as another member.
type Member struct {
	ID    string
	VM    string
	Voter bool
}

// Entry is one record of the log. Members is set in a change of the members.
type Entry struct {
	Index   uint64
	Term    uint64
	Payload []byte
	Members []Member
}

// HardState is what a replica must not forget. Commit is a hint that may lag: up
// to it the saved log is surely committed, so that a replica that starts knows a
// configuration before a leader is elected.
type HardState struct {
	Term   uint64
	Vote   string
	Commit uint64
}

// Snapshot is the state after an entry, in place of all entries up to it.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members []Member
	State   []byte
}

// Kind is what a message says.
type Kind int

// The kinds of messages.
const (
	AskPreVote Kind = iota + 1
	PreVote
	AskVote
	Vote
	Append
	Appended
	Install
)

// Message is what replicas say to each other. To and From are member ids.
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
	Granted  bool
	Round    uint64
	Snapshot *Snapshot
}

// Effects is what has to be done, in the order of the fields.
type Effects struct {
	// Hard, Save and Snapshot are to be synced before anything is sent.
	Hard     *HardState
	Save     []Entry
	Snapshot *Snapshot
	Sends    []Message
	// Restore replaces the state machine, then Commits are applied to it.
	Restore *Snapshot
	Commits []Entry
	// Reads are the numbers of reads that may be answered now.
	Reads []uint64
	// Lost are the numbers of reads that must be asked again.
	Lost []uint64
	Won  bool
}

// Timing bounds the replica's patience.
type Timing struct {
	Heartbeat time.Duration
	Election  time.Duration
}

// DefaultTiming suits VMs a few milliseconds apart.
func DefaultTiming() Timing {
	return Timing{Heartbeat: 75 * time.Millisecond, Election: 400 * time.Millisecond}
}
