package keeper

import (
	"time"

	"bronzedrift.example/bronzedrift/internal/replicator"
)

// Condition describes the replica of a state VM for operators. It can be read while the
// replica waits for its disk.
type Condition struct {
	// At is when the replica was last idle: it is old while a write is retried.
	At       time.Time
	Role     replicator.Role
	Term     uint64
	LeaderVM string
	Commit   uint64
	IsMember bool
	// Voters are the members that vote, ReachableVoters those that a leader reaches,
	// itself included; zero on other replicas.
	Voters, ReachableVoters int
	// LogEntries and LogBytes are the entries since the snapshot and the size of the log
	// file; SnapshotBytes is the size of the state in the snapshot.
	LogEntries              int
	LogBytes, SnapshotBytes int64
	// DiskRefusedSince is when the write that is being retried first failed, and zero if
	// none is.
	DiskRefusedSince time.Time
}

// Condition returns the condition of this VM's replica, and false on a VM without one.
func (k *Keeper) Condition() (Condition, bool) {
	c := k.condition.Load()
	if c == nil {
		return Condition{}, false
	}
	condition := *c
	if since := k.diskRefusedSince.Load(); since != nil {
		condition.DiskRefusedSince = *since
	}
	return condition, true
}

func (k *Keeper) publishCondition(now time.Time) {
	if k.replica == nil {
		return
	}
	s := k.replica.Status()
	c := &Condition{
		At: now, Role: s.Role, Term: s.Term, LeaderVM: s.LeaderVM, Commit: s.Commit, LogEntries: s.LogLength,
		ReachableVoters: k.replica.ReachableVoters(now), LogBytes: k.store.LogBytes(),
	}
	if k.snapshot != nil {
		c.SnapshotBytes = int64(len(k.snapshot.State))
	}
	for _, m := range s.Members {
		c.IsMember = c.IsMember || m.ID == k.identity
		if m.Voter {
			c.Voters++
		}
	}
	k.condition.Store(c)
}

// noteRefusedWrite records since when the disk has refused the current write, nil once it
// has succeeded.
func (k *Keeper) noteRefusedWrite(since *time.Time) { k.diskRefusedSince.Store(since) }
