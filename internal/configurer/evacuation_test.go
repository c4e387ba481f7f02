package configurer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"bronzedrift.example/bronzedrift/internal/messenger/wire"
)

var orderedAt = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func evacuate(id, dataCentre string, base uint64) EvacuationChange {
	return EvacuationChange{ID: id, DataCentre: dataCentre, Active: true, BaseRevision: base, ChangedAt: orderedAt}
}

func cancelEvacuation(id, dataCentre string, base uint64) EvacuationChange {
	return EvacuationChange{ID: id, DataCentre: dataCentre, BaseRevision: base, ChangedAt: orderedAt.Add(time.Minute)}
}

// activeIn returns the evacuated data centres.
func activeIn(s EvacuationSet) []string {
	var names []string
	for _, e := range s.Evacuations {
		if e.Active {
			names = append(names, e.DataCentre)
		}
	}
	return names
}

func TestEvacuationOutcomes(t *testing.T) {
	type step struct {
		order    EvacuationChange
		kind     OutcomeKind
		revision uint64
	}
	for _, test := range []struct {
		name, guardsAgainst string
		steps               []step
		active              []string
	}{
		{
			"evacuate and cancel", "a first order that is refused or gets another revision than 1",
			[]step{{evacuate("a", "east", 0), Accepted, 1}, {cancelEvacuation("b", "east", 1), Accepted, 2}},
			nil,
		},
		{
			"several data centres", "an order that changes another data centre, or conflicts with one for it",
			[]step{{evacuate("a", "west", 0), Accepted, 1}, {evacuate("b", "east", 0), Accepted, 2}, {cancelEvacuation("c", "west", 1), Accepted, 3}},
			[]string{"east"},
		},
		{
			"order repeated by the operator", "an order that is not idempotent",
			[]step{{evacuate("a", "east", 0), Accepted, 1}, {evacuate("b", "east", 1), Unchanged, 2}, {evacuate("c", "east", 0), Unchanged, 3}},
			[]string{"east"},
		},
		{
			"cancelled without an evacuation", "a refusal of an order for the state in force",
			[]step{{cancelEvacuation("a", "east", 0), Unchanged, 1}},
			nil,
		},
		{
			"stale evacuation after a cancellation", "a delayed order that undoes an opposite one",
			[]step{{evacuate("a", "east", 0), Accepted, 1}, {cancelEvacuation("b", "east", 1), Accepted, 2}, {evacuate("c", "east", 1), Conflict, 2}},
			nil,
		},
		{
			"stale cancellation after an evacuation", "a delayed order that undoes an opposite one",
			[]step{
				{evacuate("a", "east", 0), Accepted, 1},
				{cancelEvacuation("b", "east", 1), Accepted, 2},
				{evacuate("c", "east", 2), Accepted, 3},
				{cancelEvacuation("d", "east", 2), Conflict, 3},
			},
			[]string{"east"},
		},
		{
			"stale evacuation after a cancellation that changed nothing", "a delayed order that undoes an opposite one which was acknowledged as unchanged",
			[]step{{cancelEvacuation("a", "east", 0), Unchanged, 1}, {evacuate("b", "east", 0), Conflict, 1}},
			nil,
		},
		{
			"stale cancellation after an evacuation that changed nothing", "the same, when the sender of the later order knew an older revision",
			[]step{{evacuate("a", "east", 0), Accepted, 1}, {evacuate("b", "east", 0), Unchanged, 2}, {cancelEvacuation("c", "east", 1), Conflict, 2}},
			[]string{"east"},
		},
		{
			"copy of an accepted order", "a copy that raises the revision again",
			[]step{{evacuate("a", "east", 0), Accepted, 1}, {evacuate("a", "east", 0), Unchanged, 1}},
			[]string{"east"},
		},
		{
			"copy of an accepted order after an opposite one", "an order that takes effect twice because its acknowledgement was lost",
			[]step{{evacuate("a", "east", 0), Accepted, 1}, {cancelEvacuation("b", "east", 1), Accepted, 2}, {evacuate("a", "east", 2), Unchanged, 2}},
			nil,
		},
		{
			"order with a fresh base after a conflict", "a sender that can never get through",
			[]step{
				{evacuate("a", "east", 0), Accepted, 1},
				{cancelEvacuation("b", "east", 1), Accepted, 2},
				{evacuate("c", "east", 1), Conflict, 2},
				{evacuate("c", "east", 2), Accepted, 3},
			},
			[]string{"east"},
		},
		{
			"base above the log", "orders that VMs with a higher revision than a newly founded group ignore",
			[]step{{evacuate("a", "east", 7), Accepted, 8}},
			[]string{"east"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := New()
			for i, s := range test.steps {
				require.Equal(t, Outcome{ID: s.order.ID, Kind: s.kind, Version: s.revision}, c.ApplyEvacuation(s.order), "step %d guards against %s", i, test.guardsAgainst)
				assert.Equal(t, s.revision, c.Evacuations().Revision)
			}
			assert.Equal(t, test.active, activeIn(c.Evacuations()), "guards against %s", test.guardsAgainst)
		})
	}
}

// TestUnchangedOrderKeepsTheRecord guards against a repeated order that restarts the return of
// work, since the VMs take a record with another revision or time for a new change.
func TestUnchangedOrderKeepsTheRecord(t *testing.T) {
	c := New()
	c.ApplyEvacuation(evacuate("a", "east", 0))
	c.ApplyEvacuation(cancelEvacuation("b", "east", 1))
	before, _ := c.Evacuations().Find("east")
	repeated := cancelEvacuation("c", "east", 2)
	repeated.ChangedAt = orderedAt.Add(time.Hour)
	require.Equal(t, Unchanged, c.ApplyEvacuation(repeated).Kind)
	after, _ := c.Evacuations().Find("east")
	assert.Equal(t, Evacuation{DataCentre: "east", Revision: 2, ChangedAt: orderedAt.Add(time.Minute)}, before)
	assert.Equal(t, before, after)
}

// TestNoRecordWithoutEvacuation guards against data centres in the list that were never
// evacuated.
func TestNoRecordWithoutEvacuation(t *testing.T) {
	c := New()
	c.ApplyEvacuation(cancelEvacuation("a", "east", 0))
	assert.Empty(t, c.Evacuations().Evacuations)
}

// TestEarlierSetIsNotModified guards against a set that changes while another goroutine
// reads it.
func TestEarlierSetIsNotModified(t *testing.T) {
	c := New()
	c.ApplyEvacuation(evacuate("a", "north", 0))
	set := c.Evacuations()
	c.ApplyEvacuation(cancelEvacuation("b", "north", 1))
	c.ApplyEvacuation(evacuate("c", "east", 2))
	assert.Equal(t, EvacuationSet{Revision: 1, Evacuations: []Evacuation{{DataCentre: "north", Active: true, Revision: 1, ChangedAt: orderedAt}}}, set)
}

// TestEvacuationSnapshot guards against a restored state that differs from the saved one,
// also in what it answers to later orders.
func TestEvacuationSnapshot(t *testing.T) {
	c := New()
	c.Apply(Change{ID: "text", Text: []byte("x")})
	c.ApplyEvacuation(evacuate("a", "west", 0))
	c.ApplyEvacuation(evacuate("b", "east", 1))
	c.ApplyEvacuation(cancelEvacuation("c", "west", 2))
	c.ApplyEvacuation(cancelEvacuation("d", "never-evacuated", 3))
	state, err := c.Snapshot()
	require.NoError(t, err)
	restored := New()
	require.NoError(t, restored.Restore(state))
	again, err := restored.Snapshot()
	require.NoError(t, err)
	assert.Equal(t, state, again)
	assert.Equal(t, c.evacuations, restored.evacuations)
	assert.EqualValues(t, 1, restored.Current().Version)
	for _, order := range []EvacuationChange{
		evacuate("a", "west", 0), evacuate("stale", "west", 2), evacuate("stale", "never-evacuated", 3),
		evacuate("new", "west", 4), cancelEvacuation("newer", "east", 4), evacuate("newest", "north", 4),
	} {
		assert.Equal(t, c.ApplyEvacuation(order), restored.ApplyEvacuation(order))
		assert.Equal(t, c.Evacuations(), restored.Evacuations())
	}
}

// TestOldSnapshot guards against snapshots of builds without evacuations that cannot be
// read, and against a founding snapshot that differs from theirs.
func TestOldSnapshot(t *testing.T) {
	old, err := proto.Marshal(&wire.ConfigState{
		Current:  &wire.Configuration{Version: 3, Text: []byte("x")},
		Outcomes: []*wire.Outcome{{Id: "a", Kind: "accepted", Version: 3}},
	})
	require.NoError(t, err)
	c := New()
	require.NoError(t, c.Restore(old))
	assert.EqualValues(t, 3, c.Current().Version)
	assert.Equal(t, EvacuationSet{}, c.Evacuations())

	founding, err := New().Snapshot()
	require.NoError(t, err)
	oldFounding, err := proto.Marshal(&wire.ConfigState{Current: &wire.Configuration{}})
	require.NoError(t, err)
	assert.Equal(t, oldFounding, founding)
}

// TestDamagedSnapshot guards against a snapshot that is saved though later orders cannot be
// applied to it in the same way by all replicas.
func TestDamagedSnapshot(t *testing.T) {
	for name, w := range map[string]*wire.ConfigState{
		"no name":              {EvacuationRevision: 2, Evacuations: []*wire.Evacuation{{Revision: 1, OrderedRevision: 1}}},
		"duplicate":            {EvacuationRevision: 2, Evacuations: []*wire.Evacuation{{DataCentre: "a", OrderedRevision: 1}, {DataCentre: "a", OrderedRevision: 2}}},
		"not sorted":           {EvacuationRevision: 2, Evacuations: []*wire.Evacuation{{DataCentre: "b", OrderedRevision: 1}, {DataCentre: "a", OrderedRevision: 2}}},
		"revision above set":   {EvacuationRevision: 2, Evacuations: []*wire.Evacuation{{DataCentre: "a", Revision: 1, OrderedRevision: 3}}},
		"revision above order": {EvacuationRevision: 2, Evacuations: []*wire.Evacuation{{DataCentre: "a", Revision: 2, OrderedRevision: 1}}},
	} {
		t.Run(name, func(t *testing.T) {
			state, err := proto.Marshal(w)
			require.NoError(t, err)
			assert.ErrorIs(t, New().Restore(state), ErrDecoding)
		})
	}
}

func TestEvacuationEntry(t *testing.T) {
	order := evacuate("a", "east", 5)
	payload, err := EncodeEvacuation(order)
	require.NoError(t, err)
	t.Run("is decoded", func(t *testing.T) {
		decoded, err := DecodeEvacuation(payload)
		require.NoError(t, err)
		assert.Equal(t, order, decoded)
	})
	// Guards against a replica of an older build that applies the entry as an empty
	// configuration: it decodes each payload with proto.Unmarshal.
	t.Run("cannot be decoded as a configuration", func(t *testing.T) {
		assert.Error(t, proto.Unmarshal(payload, &wire.Change{}))
		_, err := DecodeChange(payload)
		assert.ErrorIs(t, err, ErrDecoding)
	})
	// Guards against log entries of an older build that are no longer applied.
	t.Run("old entry is not taken for one", func(t *testing.T) {
		old, err := EncodeChange(Change{ID: "a", Text: []byte("x")})
		require.NoError(t, err)
		assert.False(t, IsEvacuation(old))
		_, err = DecodeEvacuation(old)
		assert.ErrorIs(t, err, ErrDecoding)
	})
	// Guards against entries without content that replicas apply or that end the process.
	for name, damaged := range map[string][]byte{
		"empty": {}, "mark only": {evacuationMark}, "no message": {evacuationMark, 0xff}, "cut off": payload[:len(payload)-3],
	} {
		t.Run(name, func(t *testing.T) {
			_, err := DecodeEvacuation(damaged)
			assert.Error(t, err)
		})
	}
}

// TestInvalidOrders guards against orders in the log with which the state grows without
// bound or cannot be encoded.
func TestInvalidOrders(t *testing.T) {
	for name, order := range map[string]EvacuationChange{
		"no ID":                {DataCentre: "east"},
		"no data centre":       {ID: "a"},
		"name too long":        {ID: "a", DataCentre: strings.Repeat("x", maxDataCentreBytes+1)},
		"name is not UTF-8":    {ID: "a", DataCentre: "\xff"},
		"base is out of range": {ID: "a", DataCentre: "east", BaseRevision: maxRevision + 1},
	} {
		t.Run(name, func(t *testing.T) { assert.ErrorIs(t, order.Validate(), ErrInvalidEvacuation) })
	}
}

// TestEvacuationSetCodec guards against a set that differs between VMs, and against malformed
// sets that are put in force.
func TestEvacuationSetCodec(t *testing.T) {
	c := New()
	c.ApplyEvacuation(evacuate("a", "west", 0))
	c.ApplyEvacuation(cancelEvacuation("b", "west", 1))
	c.ApplyEvacuation(evacuate("c", "east", 2))
	c.ApplyEvacuation(evacuate("d", "east", 3))
	t.Run("round trip", func(t *testing.T) {
		decoded, err := EvacuationSetFromWire(EvacuationSetToWire(c.Evacuations()))
		require.NoError(t, err)
		assert.Equal(t, c.Evacuations(), decoded)
	})
	for name, change := range map[string]func(w *wire.EvacuationSet){
		"record above the set":     func(w *wire.EvacuationSet) { w.Revision = 1 },
		"record without revision":  func(w *wire.EvacuationSet) { w.Evacuations[0].Revision = 0 },
		"record without name":      func(w *wire.EvacuationSet) { w.Evacuations[0].DataCentre = "" },
		"not sorted":               func(w *wire.EvacuationSet) { w.Evacuations[0].DataCentre = "z" },
		"duplicate":                func(w *wire.EvacuationSet) { w.Evacuations[0].DataCentre = "west" },
		"revision is out of range": func(w *wire.EvacuationSet) { w.Revision = maxRevision + 1 },
	} {
		t.Run(name, func(t *testing.T) {
			w := EvacuationSetToWire(c.Evacuations())
			change(w)
			_, err := EvacuationSetFromWire(w)
			assert.ErrorIs(t, err, ErrInvalidEvacuation)
		})
	}
}

// TestOrderHistoryIsBounded guards against a state that grows with each order.
func TestOrderHistoryIsBounded(t *testing.T) {
	c := New()
	for i := range 10 * maxOrders {
		ch := evacuate(fmt.Sprint(i), "east", uint64(i))
		ch.Active = i%2 == 0
		require.Equal(t, Accepted, c.ApplyEvacuation(ch).Kind)
	}
	assert.Len(t, c.evacuations.orders, maxOrders)
	assert.Len(t, c.evacuations.records, 1)
}
