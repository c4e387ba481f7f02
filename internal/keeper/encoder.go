package keeper

import (
	"fmt"

	"bronzedrift.example/bronzedrift/internal/configurer"
	"bronzedrift.example/bronzedrift/internal/messenger/wire"
	"bronzedrift.example/bronzedrift/internal/replicator"
	"bronzedrift.example/bronzedrift/internal/storer"
)

func encodeConfiguration(c configurer.Configuration) *wire.Configuration {
	return &wire.Configuration{Version: c.Version, Text: c.Text}
}

func decodeConfiguration(w *wire.Configuration) configurer.Configuration {
	return configurer.Configuration{Version: w.GetVersion(), Text: w.GetText()}
}

func encodeMessage(m *replicator.Message) *wire.LogMessage {
	w := &wire.LogMessage{
		Kind: int32(m.Kind), From: m.From, FromVm: m.FromVM, To: m.To, Term: m.Term, Index: m.Index,
		LogTerm: m.LogTerm, Commit: m.Commit, Granted: m.Accepted, Round: m.Round,
	}
	for i := range m.Entries {
		w.Entries = append(w.Entries, storer.EncodeEntry(&m.Entries[i]))
	}
	if m.Snapshot != nil {
		w.Snapshot = storer.EncodeSnapshot(m.Snapshot)
	}
	return w
}

// decodeMessage decodes a message of another replica. It checks what the replica relies on,
// and that a snapshot can be restored, before any of it is saved.
func decodeMessage(w *wire.LogMessage) (*replicator.Message, error) {
	m := &replicator.Message{
		Kind: replicator.Kind(w.GetKind()), From: w.GetFrom(), FromVM: w.GetFromVm(), To: w.GetTo(), Term: w.GetTerm(),
		Index: w.GetIndex(), LogTerm: w.GetLogTerm(), Commit: w.GetCommit(), Accepted: w.GetGranted(), Round: w.GetRound(),
	}
	for _, e := range w.GetEntries() {
		m.Entries = append(m.Entries, storer.DecodeEntry(e))
	}
	if w.GetSnapshot() != nil {
		m.Snapshot = storer.DecodeSnapshot(w.GetSnapshot())
		if err := configurer.New().Restore(m.Snapshot.State); err != nil {
			return nil, fmt.Errorf("keeper: snapshot %d: %w", m.Snapshot.Index, err)
		}
	}
	if err := m.Validate(); err != nil {
		return nil, fmt.Errorf("keeper: %w", err)
	}
	return m, nil
}
