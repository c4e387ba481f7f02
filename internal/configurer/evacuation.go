package configurer

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"

	"bronzedrift.example/bronzedrift/internal/messenger/wire"
)

// Unchanged is the result of an order that requests the state in force, or that was in
// force before and is repeated with its ID.
const Unchanged OutcomeKind = "unchanged"

// Evacuation is the state of a data centre that was evacuated at least once. Active is
// false after the evacuation was cancelled.
type Evacuation struct {
	DataCentre string
	Active     bool
	// Revision is that of the latest change of Active. The first order in the log has
	// revision 1.
	Revision uint64
	// ChangedAt is the wall clock of the VM that proposed the change.
	ChangedAt time.Time
}

// EvacuationSet is the state of all data centres that were ever evacuated, sorted by data
// centre. Its slice is shared and must not be modified. The revision also rises with an
// order that requested the state in force, so that it may be higher than each record's.
type EvacuationSet struct {
	Revision    uint64
	Evacuations []Evacuation
}

// Find returns the record of a data centre, if it was ever evacuated.
func (s EvacuationSet) Find(dataCentre string) (Evacuation, bool) {
	for _, e := range s.Evacuations {
		if e.DataCentre == dataCentre {
			return e, true
		}
	}
	return Evacuation{}, false
}

// EvacuationChange is an order to evacuate a data centre or to cancel that. BaseRevision is
// the revision of the set that the sender knew while its caller was waiting.
type EvacuationChange struct {
	ID           string
	DataCentre   string
	Active       bool
	BaseRevision uint64
	ChangedAt    time.Time
}

// ErrInvalidEvacuation is returned for an order or a set that no correct VM makes.
var ErrInvalidEvacuation = errors.New("configurer: invalid evacuation")

const (
	// maxRevision is the highest revision that is accepted from another VM. A higher one
	// would leave no room for the next.
	maxRevision = 1 << 62
	// maxDataCentreBytes bounds the state that one order adds.
	maxDataCentreBytes = 256
	// maxOrders is the number of orders of which a repetition is recognised by its ID. It
	// only has to exceed the orders committed while one caller waits.
	maxOrders = 64
)

// Validate checks an order that another VM has sent.
func (ch EvacuationChange) Validate() error {
	switch {
	case ch.ID == "":
		return fmt.Errorf("%w: an order without ID", ErrInvalidEvacuation)
	case ch.BaseRevision > maxRevision:
		return fmt.Errorf("%w: revision %d is out of range", ErrInvalidEvacuation, ch.BaseRevision)
	}
	return validateDataCentre(ch.DataCentre)
}

func validateDataCentre(name string) error {
	if name == "" || len(name) > maxDataCentreBytes || !utf8.ValidString(name) {
		return fmt.Errorf("%w: data centre %.64q", ErrInvalidEvacuation, name)
	}
	return nil
}

// evacuationRecord is a data centre for which there was an order. Its evacuation has
// revision zero if it was never evacuated.
type evacuationRecord struct {
	evacuation Evacuation
	// orderedRevision is the revision of the latest order, whether or not it changed the
	// state.
	orderedRevision uint64
}

// evacuationState is the part of the state machine that holds evacuations.
type evacuationState struct {
	revision uint64
	records  []evacuationRecord // sorted by data centre
	orders   []string           // IDs of the latest orders that were in force once, oldest first
	set      EvacuationSet      // replaced, not modified, at each order
}

// Evacuations returns the state of all data centres that were ever evacuated.
func (c *Configurer) Evacuations() EvacuationSet { return c.evacuations.set }

// ApplyEvacuation applies an order. The outcome is Accepted if it changes the state of the
// data centre, Unchanged if the requested state is in force already, and Conflict if there
// was another order for the data centre after the base revision. Version is the revision of
// the set after it.
//
// An order that requests the state in force changes no record but raises the revision of
// the set. An opposite order that was sent before it, and is still in transit when it is
// acknowledged, therefore meets a conflict.
func (c *Configurer) ApplyEvacuation(ch EvacuationChange) Outcome {
	s := &c.evacuations
	if slices.Contains(s.orders, ch.ID) {
		return Outcome{ID: ch.ID, Kind: Unchanged, Version: s.revision}
	}
	i, known := s.find(ch.DataCentre)
	isInForce := ch.Active == (known && s.records[i].evacuation.Active)
	if !isInForce && known && ch.BaseRevision < s.records[i].orderedRevision {
		return Outcome{ID: ch.ID, Kind: Conflict, Version: s.revision}
	}
	// VMs may know a higher revision than the log only if more disks were lost than the
	// deployment may lose. They would otherwise ignore each later order.
	s.revision = max(s.revision, ch.BaseRevision) + 1
	if !known {
		s.records = slices.Insert(s.records, i, evacuationRecord{evacuation: Evacuation{DataCentre: ch.DataCentre}})
	}
	record := &s.records[i]
	record.orderedRevision = s.revision
	o := Outcome{ID: ch.ID, Kind: Unchanged, Version: s.revision}
	if !isInForce {
		record.evacuation = Evacuation{DataCentre: ch.DataCentre, Active: ch.Active, Revision: s.revision, ChangedAt: ch.ChangedAt}
		o.Kind = Accepted
	}
	s.orders = append(s.orders, ch.ID)
	if len(s.orders) > maxOrders {
		s.orders = s.orders[1:]
	}
	s.renewSet()
	return o
}

func (s *evacuationState) find(dataCentre string) (position int, known bool) {
	return slices.BinarySearchFunc(s.records, dataCentre, func(r evacuationRecord, name string) int {
		return cmp.Compare(r.evacuation.DataCentre, name)
	})
}

// renewSet makes the set that the VMs are given from the records.
func (s *evacuationState) renewSet() {
	s.set = EvacuationSet{Revision: s.revision}
	for _, r := range s.records {
		if r.evacuation.Revision > 0 {
			s.set.Evacuations = append(s.set.Evacuations, r.evacuation)
		}
	}
}

// evacuationMark is the first byte of a log entry with an order for an evacuation. No
// protobuf message begins with it: replicas of builds without evacuations cannot decode the
// entry and skip it. Without the mark they would apply it as an empty configuration.
const evacuationMark = 0

// EncodeEvacuation encodes an order as the payload of a log entry.
func EncodeEvacuation(ch EvacuationChange) ([]byte, error) {
	payload, err := proto.Marshal(EvacuationToWire(ch))
	if err != nil {
		return nil, fmt.Errorf("configurer: %w", err)
	}
	return append([]byte{evacuationMark}, payload...), nil
}

// IsEvacuation reports whether the payload of a log entry is an order for an evacuation.
func IsEvacuation(payload []byte) bool {
	return len(payload) > 0 && payload[0] == evacuationMark
}

// DecodeEvacuation decodes an order from the payload of a log entry.
func DecodeEvacuation(payload []byte) (EvacuationChange, error) {
	if !IsEvacuation(payload) {
		return EvacuationChange{}, fmt.Errorf("%w: not an evacuation", ErrDecoding)
	}
	w := &wire.Change{}
	if err := proto.Unmarshal(payload[1:], w); err != nil {
		return EvacuationChange{}, fmt.Errorf("%w: %w", ErrDecoding, err)
	}
	return EvacuationFromWire(w)
}

// EvacuationToWire converts an order to its wire form.
func EvacuationToWire(ch EvacuationChange) *wire.Change {
	return &wire.Change{Id: ch.ID, BaseVersion: ch.BaseRevision, Evacuation: &wire.Evacuation{
		DataCentre: ch.DataCentre, Active: ch.Active, ChangedAt: encodeTime(ch.ChangedAt),
	}}
}

// EvacuationFromWire converts an order from its wire form and checks it.
func EvacuationFromWire(w *wire.Change) (EvacuationChange, error) {
	e := w.GetEvacuation()
	ch := EvacuationChange{
		ID: w.GetId(), DataCentre: e.GetDataCentre(), Active: e.GetActive(), BaseRevision: w.GetBaseVersion(), ChangedAt: decodeTime(e.GetChangedAt()),
	}
	return ch, ch.Validate()
}

// EvacuationSetToWire converts a set to its wire form.
func EvacuationSetToWire(s EvacuationSet) *wire.EvacuationSet {
	w := &wire.EvacuationSet{Revision: s.Revision}
	for _, e := range s.Evacuations {
		w.Evacuations = append(w.Evacuations, encodeEvacuation(e))
	}
	return w
}

// EvacuationSetFromWire converts a set from its wire form and checks it.
func EvacuationSetFromWire(w *wire.EvacuationSet) (EvacuationSet, error) {
	if w.GetRevision() > maxRevision {
		return EvacuationSet{}, fmt.Errorf("%w: revision %d is out of range", ErrInvalidEvacuation, w.GetRevision())
	}
	s := EvacuationSet{Revision: w.GetRevision()}
	for i, e := range w.GetEvacuations() {
		if i > 0 && e.GetDataCentre() <= w.GetEvacuations()[i-1].GetDataCentre() {
			return EvacuationSet{}, fmt.Errorf("%w: data centre %.64q is out of order", ErrInvalidEvacuation, e.GetDataCentre())
		}
		if e.GetRevision() == 0 || e.GetRevision() > s.Revision {
			return EvacuationSet{}, fmt.Errorf("%w: revision %d of a record in set %d", ErrInvalidEvacuation, e.GetRevision(), s.Revision)
		}
		if err := validateDataCentre(e.GetDataCentre()); err != nil {
			return EvacuationSet{}, err
		}
		s.Evacuations = append(s.Evacuations, decodeEvacuation(e))
	}
	return s, nil
}

func encodeEvacuation(e Evacuation) *wire.Evacuation {
	return &wire.Evacuation{DataCentre: e.DataCentre, Active: e.Active, Revision: e.Revision, ChangedAt: encodeTime(e.ChangedAt)}
}

func decodeEvacuation(w *wire.Evacuation) Evacuation {
	return Evacuation{DataCentre: w.GetDataCentre(), Active: w.GetActive(), Revision: w.GetRevision(), ChangedAt: decodeTime(w.GetChangedAt())}
}

func encodeTime(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func decodeTime(nanoseconds int64) time.Time {
	if nanoseconds == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanoseconds).UTC()
}

// save adds the evacuations to a snapshot. It adds nothing if there was no order, so that
// such a snapshot is the same as that of a build without evacuations.
func (s *evacuationState) save(w *wire.ConfigState) {
	w.EvacuationRevision, w.EvacuationOrders = s.revision, s.orders
	for _, r := range s.records {
		e := encodeEvacuation(r.evacuation)
		e.OrderedRevision = r.orderedRevision
		w.Evacuations = append(w.Evacuations, e)
	}
}

// restore replaces the evacuations with those of a snapshot.
func (s *evacuationState) restore(w *wire.ConfigState) error {
	*s = evacuationState{revision: w.GetEvacuationRevision(), orders: w.GetEvacuationOrders()}
	for _, e := range w.GetEvacuations() {
		r := evacuationRecord{evacuation: decodeEvacuation(e), orderedRevision: e.GetOrderedRevision()}
		name := r.evacuation.DataCentre
		if err := validateDataCentre(name); err != nil {
			return fmt.Errorf("%w: %w", ErrDecoding, err)
		}
		isOutOfOrder := len(s.records) > 0 && name <= s.records[len(s.records)-1].evacuation.DataCentre
		if isOutOfOrder || r.orderedRevision > s.revision || r.evacuation.Revision > r.orderedRevision {
			return fmt.Errorf("%w: evacuation of data centre %.64q", ErrDecoding, name)
		}
		s.records = append(s.records, r)
	}
	s.renewSet()
	return nil
}
