package dispatcher

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"bronzedrift.example/bronzedrift/internal/scheduler"
)

// TestQuotaIsCountedOnce checks that holdings sent again, as on each new link,
// are not counted again, and that the quota of an entry is returned when it
// restarts.
func TestQuotaIsCountedOnce(t *testing.T) {
	s := newFaultScenario(t)
	s.owner.d.configure(&Configuration{Teams: []Team{{Name: "team", TasksInFlight: 100}}, Services: []Service{{Name: "booking"}}})
	d := s.owner.d
	l := d.localLessor("a")
	inFlight := func() int { return d.quotaOf(s.now, l, "team").InFlight() }
	d.Handle(s.now, &Input{Received: &Received{From: "a-2", Message: Message{Demand: &scheduler.Demand{
		Job: "j", Team: "team", DataCentre: "a", Count: 5, AdmissionOnly: true,
	}}}}, &Effects{})
	assert.Equal(t, 5, inFlight())
	holdings := &Holdings{DataCentre: "a", Admitted: []Settlement{{Team: "team", Count: 5}}}
	for range 3 {
		d.Handle(s.now, &Input{Received: &Received{From: "a-2", Message: Message{Holdings: holdings}}}, &Effects{})
	}
	assert.Equal(t, 5, inFlight(), "repeated holdings are counted once")
	d.Handle(s.now, &Input{Received: &Received{From: "a-2", Message: Message{Settlement: &Settlement{DataCentre: "a", Team: "team", Count: 2}}}}, &Effects{})
	assert.Equal(t, 3, inFlight())
	d.Handle(s.now, &Input{Received: &Received{From: "a-2", Message: Message{Hello: &Hello{VM: "a-2", Started: s.now}}}}, &Effects{})
	assert.Zero(t, inFlight(), "a restarted entry holds no quota")
}
