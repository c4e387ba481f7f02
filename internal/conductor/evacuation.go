package conductor

import (
	"context"
	"fmt"
	"strings"
	"time"

	"bronzedrift.example/bronzedrift/internal/configurer"
	"bronzedrift.example/bronzedrift/internal/recorder"
)

// Evacuate evacuates a data centre (active) or cancels that. It returns the record of the data
// centre once a quorum has committed the order.
func (d *Conductor) Evacuate(ctx context.Context, dataCentre string, active bool) (configurer.Evacuation, error) {
	return d.keeper.Evacuate(ctx, dataCentre, active)
}

// applyEvacuations puts a set of evacuations in force on this VM.
func (d *Conductor) applyEvacuations(set configurer.EvacuationSet) {
	text := fmt.Sprintf("revision %d: %s", set.Revision, evacuatedNames(set))
	d.recordEvent(recorder.Event{Number: recorder.EvacuationChanged, Text: text, Task: recorder.NoTask})
	d.enqueue(messageInput, func(now time.Time) { d.holder.SetEvacuations(now, set, &d.holderEffects) })
}

// evacuatedNames lists the data centres that are evacuated.
func evacuatedNames(set configurer.EvacuationSet) string {
	var names []string
	for _, e := range set.Evacuations {
		if e.Active {
			names = append(names, e.DataCentre)
		}
	}
	if len(names) == 0 {
		return "none evacuated"
	}
	return strings.Join(names, ", ") + " evacuated"
}
