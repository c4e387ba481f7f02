// Package configurer is the state machine of the configuration: it applies
// changes in the order of the log. A change names its base version, so that of
// two operators one wins, and an id, under which it has one answer for good.
package configurer

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"bronzedrift.example/bronzedrift/internal/messenger/wire"
)

// Change asks for a new text of the configuration. Where Version is set, the
// operator numbers the versions: the highest takes effect and the base version
// is not looked at.
type Change struct {
	ID          string
	BaseVersion uint64
	Version     uint64
	Text        []byte
}

// Kind is how a change ended.
type Kind string

// The kinds of outcomes.
const (
	Accepted Kind = "accepted"
	Conflict Kind = "conflict"
	// Superseded is the outcome of a numbered change that is not higher than the
	// version held, which stays as it is.
	Superseded Kind = "superseded"
)

// Outcome is the one answer to a change.
type Outcome struct {
	ID      string
	Kind    Kind
	Version uint64
}

// Configuration is one version of the text.
type Configuration struct {
	Version uint64
	Text    []byte
}

// historyLength is the number of versions kept to be shown.
const historyLength = 100

// Configurer holds the state. It is not safe for concurrent use.
type Configurer struct {
	current  Configuration
	outcomes map[string]Outcome
	order    []string
	history  []Configuration
}

// New returns a Configurer without a configuration: version zero.
func New() *Configurer {
	return &Configurer{outcomes: map[string]Outcome{}}
}

// Current returns the newest version.
func (c *Configurer) Current() Configuration { return c.current }

// History returns the newest versions, oldest first.
func (c *Configurer) History() []Configuration { return c.history }

// Outcome returns the answer that a change id has already.
func (c *Configurer) Outcome(id string) (Outcome, bool) {
	o, ok := c.outcomes[id]
	return o, ok
}

// Apply applies a change. One that comes again gets its first answer.
func (c *Configurer) Apply(ch Change) Outcome {
	if ch.Version > 0 {
		return c.applyNumbered(ch)
	}
	if known, ok := c.outcomes[ch.ID]; ok {
		return known
	}
	o := Outcome{ID: ch.ID, Kind: Conflict, Version: c.current.Version}
	if ch.BaseVersion == c.current.Version {
		c.current = Configuration{Version: c.current.Version + 1, Text: ch.Text}
		c.history = append(c.history, c.current)
		if len(c.history) > historyLength {
			c.history = c.history[1:]
		}
		o.Kind, o.Version = Accepted, c.current.Version
	}
	c.outcomes[ch.ID] = o
	c.order = append(c.order, ch.ID)
	return o
}

// applyNumbered keeps no outcomes: repeated, a numbered change is superseded by
// itself or by a higher one, and is acknowledged all the same.
func (c *Configurer) applyNumbered(ch Change) Outcome {
	if ch.Version <= c.current.Version {
		return Outcome{ID: ch.ID, Kind: Superseded, Version: c.current.Version}
	}
	c.current = Configuration{Version: ch.Version, Text: ch.Text}
	return Outcome{ID: ch.ID, Kind: Accepted, Version: ch.Version}
}

// ErrEncoding says that a change or a snapshot cannot be decoded.
var ErrEncoding = errors.New("configurer: cannot be decoded")

// EncodeChange maps a change to the payload of a log entry.
func EncodeChange(ch Change) ([]byte, error) {
	payload, err := proto.Marshal(&wire.Change{Id: ch.ID, BaseVersion: ch.BaseVersion, Version: ch.Version, Text: ch.Text})
	if err != nil {
		return nil, fmt.Errorf("configurer: %w", err)
	}
	return payload, nil
}

// DecodeChange maps the payload of a log entry to a change.
func DecodeChange(payload []byte) (Change, error) {
	w := &wire.Change{}
	if err := proto.Unmarshal(payload, w); err != nil {
		return Change{}, fmt.Errorf("%w: %w", ErrEncoding, err)
	}
	return Change{ID: w.GetId(), BaseVersion: w.GetBaseVersion(), Version: w.GetVersion(), Text: w.GetText()}, nil
}

// Snapshot returns the whole state, with the answers to all changes.
func (c *Configurer) Snapshot() ([]byte, error) {
	w := &wire.ConfigState{Current: encodeConfiguration(c.current)}
	for _, id := range c.order {
		o := c.outcomes[id]
		w.Outcomes = append(w.Outcomes, &wire.Outcome{Id: o.ID, Kind: string(o.Kind), Version: o.Version})
	}
	for _, h := range c.history {
		w.History = append(w.History, encodeConfiguration(h))
	}
	state, err := proto.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("configurer: %w", err)
	}
	return state, nil
}

// Restore replaces the state by that of a snapshot.
func (c *Configurer) Restore(state []byte) error {
	w := &wire.ConfigState{}
	if err := proto.Unmarshal(state, w); err != nil {
		return fmt.Errorf("%w: %w", ErrEncoding, err)
	}
	*c = *New()
	c.current = decodeConfiguration(w.GetCurrent())
	for _, o := range w.GetOutcomes() {
		c.outcomes[o.GetId()] = Outcome{ID: o.GetId(), Kind: Kind(o.GetKind()), Version: o.GetVersion()}
		c.order = append(c.order, o.GetId())
	}
	for _, h := range w.GetHistory() {
		c.history = append(c.history, decodeConfiguration(h))
	}
	return nil
}

func encodeConfiguration(c Configuration) *wire.Configuration {
	return &wire.Configuration{Version: c.Version, Text: c.Text}
}

func decodeConfiguration(w *wire.Configuration) Configuration {
	return Configuration{Version: w.GetVersion(), Text: w.GetText()}
}
