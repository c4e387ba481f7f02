package storer

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"bronzedrift.example/bronzedrift/internal/messenger/wire"
	"bronzedrift.example/bronzedrift/internal/replicator"
)

// errUnknownRecord is returned for a record that holds neither a hard state nor an
// entry.
var errUnknownRecord = errors.New("storer: unknown record type")

func encodeHard(h *replicator.HardState) []byte {
	return marshal(&wire.Record{Hard: &wire.HardState{Term: h.Term, Vote: h.Vote, Commit: h.Commit}})
}

func encodeEntry(e *replicator.Entry) []byte {
	return marshal(&wire.Record{Entry: EncodeEntry(e)})
}

func encodeSnapshot(s *replicator.Snapshot) []byte {
	return marshal(EncodeSnapshot(s))
}

func decodeSnapshot(body []byte) (*replicator.Snapshot, error) {
	w := &wire.Snapshot{}
	if err := proto.Unmarshal(body, w); err != nil {
		return nil, fmt.Errorf("storer: decoding a snapshot: %w", err)
	}
	return DecodeSnapshot(w), nil
}

func marshal(m proto.Message) []byte {
	body, err := proto.Marshal(m)
	if err != nil {
		// Marshalling fails only for strings that are not valid UTF-8; names are
		// validated when they are read.
		panic(err)
	}
	return body
}

// recovery collects the saved state while the records of the log are read.
type recovery struct {
	saved *replicator.Saved
	// isReplaced is set while the entries belong to a log that the snapshot has replaced.
	isReplaced bool
}

// applyRecord adds one record to the saved state. An entry replaces all entries from
// its index on.
func (r *recovery) applyRecord(body []byte) error {
	w := &wire.Record{}
	if err := proto.Unmarshal(body, w); err != nil {
		return fmt.Errorf("storer: decoding a record: %w", err)
	}
	switch {
	case w.GetHard() != nil:
		r.saved.HardState = replicator.HardState{Term: w.GetHard().GetTerm(), Vote: w.GetHard().GetVote(), Commit: w.GetHard().GetCommit()}
		return nil
	case w.GetEntry() != nil:
		return r.applyEntry(DecodeEntry(w.GetEntry()))
	}
	return errUnknownRecord
}

// applyEntry adds an entry. Those up to the snapshot count only in so far as they replace the
// ones after it, or show that these follow another entry than the snapshot's.
func (r *recovery) applyEntry(e replicator.Entry) error {
	first := uint64(1)
	if snapshot := r.saved.Snapshot; snapshot != nil {
		first = snapshot.Index + 1
		if e.Index <= snapshot.Index {
			r.saved.Entries = nil
			r.isReplaced = e.Index == snapshot.Index && e.Term != snapshot.Term
			return nil
		}
	}
	if r.isReplaced {
		return nil
	}
	position := e.Index - first
	if position > uint64(len(r.saved.Entries)) {
		return fmt.Errorf("storer: entry %d does not follow entry %d", e.Index, first+uint64(len(r.saved.Entries))-1)
	}
	r.saved.Entries = append(r.saved.Entries[:position], e)
	return nil
}

// EncodeEntry converts an entry to its wire form.
func EncodeEntry(e *replicator.Entry) *wire.LogEntry {
	return &wire.LogEntry{Index: e.Index, Term: e.Term, Payload: e.Payload, Members: encodeMembers(e.Members), IsMembers: e.Members != nil}
}

// DecodeEntry converts an entry from its wire form.
func DecodeEntry(w *wire.LogEntry) replicator.Entry {
	e := replicator.Entry{Index: w.GetIndex(), Term: w.GetTerm(), Payload: w.GetPayload()}
	if w.GetIsMembers() {
		e.Members = decodeMembers(w.GetMembers())
	}
	return e
}

// EncodeSnapshot converts a snapshot to its wire form.
func EncodeSnapshot(s *replicator.Snapshot) *wire.Snapshot {
	return &wire.Snapshot{Index: s.Index, Term: s.Term, Members: encodeMembers(s.Members), State: s.State}
}

// DecodeSnapshot converts a snapshot from its wire form.
func DecodeSnapshot(w *wire.Snapshot) *replicator.Snapshot {
	return &replicator.Snapshot{
		Index: w.GetIndex(), Term: w.GetTerm(), Members: decodeMembers(w.GetMembers()), State: w.GetState(),
	}
}

func encodeMembers(members []replicator.Member) []*wire.Member {
	var list []*wire.Member
	for _, m := range members {
		list = append(list, &wire.Member{Id: m.ID, Vm: m.VM, Voter: m.Voter})
	}
	return list
}

func decodeMembers(list []*wire.Member) []replicator.Member {
	members := make([]replicator.Member, 0, len(list))
	for _, m := range list {
		members = append(members, replicator.Member{ID: m.GetId(), VM: m.GetVm(), Voter: m.GetVoter()})
	}
	return members
}
