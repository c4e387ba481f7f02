// Package configurer is the replicated state machine of the configuration and of the
// evacuations of data centres: it applies changes in log order. A change names its base
// version, so that only one of two concurrent changes is accepted, and an ID, so that a
// retry has the same outcome.
package configurer

import (
	"errors"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"bronzedrift.example/bronzedrift/internal/messenger/wire"
)

// Change replaces the text of the configuration. If Version is set, the operator
// numbers the versions: the highest takes effect and BaseVersion is ignored.
type Change struct {
	ID          string
	BaseVersion uint64
	Version     uint64
	Text        []byte
}

// OutcomeKind tells whether a change was accepted, and why not.
type OutcomeKind string

// The results of a change.
const (
	Accepted OutcomeKind = "accepted"
	Conflict OutcomeKind = "conflict"
	// Superseded is the result of a change whose Version is set but not higher than
	// the current version. The current version is kept.
	Superseded OutcomeKind = "superseded"
)

// Outcome is the result of a change and the current version after it.
type Outcome struct {
	ID      string
	Kind    OutcomeKind
	Version uint64
}

// Configuration is one version of the configuration text.
type Configuration struct {
	Version uint64
	Text    []byte
}

// maxHistory is the number of versions kept for display, and maxHistoryBytes the size of their
// texts. The newest version is kept whatever its size.
const (
	maxHistory      = 100
	maxHistoryBytes = 8 << 20
)

// Configurer holds the configuration, its history and the outcomes of changes. It is
// not safe for concurrent use.
type Configurer struct {
	current      Configuration
	outcomes     map[string]Outcome
	outcomeOrder []string
	history      []Configuration
	evacuations  evacuationState
}

// New returns a Configurer at version zero, without a configuration.
func New() *Configurer {
	return &Configurer{outcomes: map[string]Outcome{}}
}

// Current returns the newest version.
func (c *Configurer) Current() Configuration { return c.current }

// History returns the newest versions, oldest first. It does not include versions that
// the operator numbered.
func (c *Configurer) History() []Configuration { return c.history }

// Outcome returns the outcome recorded for a change ID, if there is one.
func (c *Configurer) Outcome(id string) (Outcome, bool) {
	o, ok := c.outcomes[id]
	return o, ok
}

// Apply applies a change. A repeated change ID gets its first outcome again.
func (c *Configurer) Apply(ch Change) Outcome {
	if ch.Version > 0 {
		return c.applyVersioned(ch)
	}
	if known, ok := c.outcomes[ch.ID]; ok {
		return known
	}
	o := Outcome{ID: ch.ID, Kind: Conflict, Version: c.current.Version}
	if ch.BaseVersion == c.current.Version {
		c.current = Configuration{Version: c.current.Version + 1, Text: ch.Text}
		c.history = trimHistory(append(c.history, c.current))
		o.Kind, o.Version = Accepted, c.current.Version
	}
	c.outcomes[ch.ID] = o
	c.outcomeOrder = append(c.outcomeOrder, ch.ID)
	return o
}

// trimHistory removes the oldest versions beyond the limits. Its result depends on the sequence
// of the versions alone, so that replicas that applied all of them and replicas that restored
// a snapshot, also one of a build with higher limits, have the same history.
func trimHistory(history []Configuration) []Configuration {
	kept, bytes := 0, 0
	for i := len(history) - 1; i >= 0 && kept < maxHistory; i-- {
		bytes += len(history[i].Text)
		if kept > 0 && bytes > maxHistoryBytes {
			break
		}
		kept++
	}
	return slices.Delete(history, 0, len(history)-kept)
}

// applyVersioned applies a change whose version the operator numbered. It records no
// outcome, since a repeated change has no effect: it is acknowledged as Superseded, by its
// first occurrence or by a higher version.
func (c *Configurer) applyVersioned(ch Change) Outcome {
	if ch.Version <= c.current.Version {
		return Outcome{ID: ch.ID, Kind: Superseded, Version: c.current.Version}
	}
	c.current = Configuration{Version: ch.Version, Text: ch.Text}
	return Outcome{ID: ch.ID, Kind: Accepted, Version: ch.Version}
}

// ErrDecoding is returned for a change or a snapshot that cannot be decoded.
var ErrDecoding = errors.New("configurer: malformed change or snapshot")

// EncodeChange encodes a change as the payload of a log entry.
func EncodeChange(ch Change) ([]byte, error) {
	payload, err := proto.Marshal(&wire.Change{Id: ch.ID, BaseVersion: ch.BaseVersion, Version: ch.Version, Text: ch.Text})
	if err != nil {
		return nil, fmt.Errorf("configurer: %w", err)
	}
	return payload, nil
}

// DecodeChange decodes a change from the payload of a log entry.
func DecodeChange(payload []byte) (Change, error) {
	w := &wire.Change{}
	if err := proto.Unmarshal(payload, w); err != nil {
		return Change{}, fmt.Errorf("%w: %w", ErrDecoding, err)
	}
	return Change{ID: w.GetId(), BaseVersion: w.GetBaseVersion(), Version: w.GetVersion(), Text: w.GetText()}, nil
}

// Snapshot returns the encoded state, including all recorded outcomes.
func (c *Configurer) Snapshot() ([]byte, error) {
	w := &wire.ConfigState{Current: encodeConfiguration(c.current)}
	for _, id := range c.outcomeOrder {
		o := c.outcomes[id]
		w.Outcomes = append(w.Outcomes, &wire.Outcome{Id: o.ID, Kind: string(o.Kind), Version: o.Version})
	}
	for _, h := range c.history {
		w.History = append(w.History, encodeConfiguration(h))
	}
	c.evacuations.save(w)
	state, err := proto.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("configurer: encoding a snapshot: %w", err)
	}
	return state, nil
}

// Restore replaces the state with that of a snapshot.
func (c *Configurer) Restore(state []byte) error {
	w := &wire.ConfigState{}
	if err := proto.Unmarshal(state, w); err != nil {
		return fmt.Errorf("%w: %w", ErrDecoding, err)
	}
	*c = *New()
	c.current = decodeConfiguration(w.GetCurrent())
	for _, o := range w.GetOutcomes() {
		c.outcomes[o.GetId()] = Outcome{ID: o.GetId(), Kind: OutcomeKind(o.GetKind()), Version: o.GetVersion()}
		c.outcomeOrder = append(c.outcomeOrder, o.GetId())
	}
	for _, h := range w.GetHistory() {
		c.history = append(c.history, decodeConfiguration(h))
	}
	c.history = trimHistory(c.history)
	return c.evacuations.restore(w)
}

func encodeConfiguration(c Configuration) *wire.Configuration {
	return &wire.Configuration{Version: c.Version, Text: c.Text}
}

func decodeConfiguration(w *wire.Configuration) Configuration {
	return Configuration{Version: w.GetVersion(), Text: w.GetText()}
}
