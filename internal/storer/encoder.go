package storer

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"bronzedrift.example/bronzedrift/internal/messenger/wire"
	"bronzedrift.example/bronzedrift/internal/replicator"
)

// errRecord says that a record holds nothing that is known.
var errRecord = errors.New("storer: the record is of no known kind")

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
		return nil, fmt.Errorf("storer: snapshot: %w", err)
	}
	return DecodeSnapshot(w), nil
}

func marshal(m proto.Message) []byte {
	body, err := proto.Marshal(m)
	if err != nil {
		// Marshalling fails only for strings that are no UTF-8; names are
		// checked when they are read.
		panic(err)
	}
	return body
}

// addRecord adds one record to what was saved. An entry replaces those at its
// index and after.
func addRecord(saved *replicator.Saved, body []byte) error {
	w := &wire.Record{}
	if err := proto.Unmarshal(body, w); err != nil {
		return fmt.Errorf("storer: record: %w", err)
	}
	switch {
	case w.GetHard() != nil:
		saved.Hard = replicator.HardState{Term: w.GetHard().GetTerm(), Vote: w.GetHard().GetVote(), Commit: w.GetHard().GetCommit()}
		return nil
	case w.GetEntry() != nil:
		return addEntry(saved, DecodeEntry(w.GetEntry()))
	}
	return errRecord
}

func addEntry(saved *replicator.Saved, e replicator.Entry) error {
	first := uint64(1)
	if saved.Snapshot != nil {
		first = saved.Snapshot.Index + 1
	}
	if e.Index < first {
		return nil
	}
	position := e.Index - first
	if position > uint64(len(saved.Entries)) {
		return fmt.Errorf("storer: entry %d does not follow entry %d", e.Index, first+uint64(len(saved.Entries))-1)
	}
	saved.Entries = append(saved.Entries[:position], e)
	return nil
}

// EncodeEntry maps an entry to its wire form.
func EncodeEntry(e *replicator.Entry) *wire.LogEntry {
	return &wire.LogEntry{Index: e.Index, Term: e.Term, Payload: e.Payload, Members: encodeMembers(e.Members), IsMembers: e.Members != nil}
}

// DecodeEntry maps a wire entry to the replicator's.
func DecodeEntry(w *wire.LogEntry) replicator.Entry {
	e := replicator.Entry{Index: w.GetIndex(), Term: w.GetTerm(), Payload: w.GetPayload()}
	if w.GetIsMembers() {
		e.Members = decodeMembers(w.GetMembers())
	}
	return e
}

// EncodeSnapshot maps a snapshot to its wire form.
func EncodeSnapshot(s *replicator.Snapshot) *wire.Snapshot {
	return &wire.Snapshot{Index: s.Index, Term: s.Term, Members: encodeMembers(s.Members), State: s.State}
}

// DecodeSnapshot maps a wire snapshot to the replicator's.
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
