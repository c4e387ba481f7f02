package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bronzedrift.example/bronzedrift/internal/configurer"
	"bronzedrift.example/bronzedrift/internal/dispatcher"
	"bronzedrift.example/bronzedrift/internal/listener"
	"bronzedrift.example/bronzedrift/internal/loader"
	"bronzedrift.example/bronzedrift/internal/messenger/wire"
	"bronzedrift.example/bronzedrift/internal/reporter"
)

// evacuationTimeout bounds the wait for a quorum. It is shorter than that for a
// configuration, because an operator's command asks another VM meanwhile.
const evacuationTimeout = 4 * time.Second

// addEvacuationHandlers adds the HTTP handlers of evacuations.
func (d *Daemon) addEvacuationHandlers(h *listener.Handlers) {
	h.DataCentres = d.dataCentres
	h.Evacuate = func(ctx context.Context, dataCentre string, active bool) (configurer.Evacuation, error) {
		ctx, cancel := context.WithTimeout(ctx, evacuationTimeout)
		defer cancel()
		return d.keeper.Evacuate(ctx, dataCentre, active)
	}
	h.ReadEvacuations = func(ctx context.Context) (configurer.EvacuationSet, error) {
		ctx, cancel := context.WithTimeout(ctx, evacuationTimeout)
		defer cancel()
		return d.keeper.ReadEvacuations(ctx)
	}
}

// dataCentres returns the sorted names of the data centres in the settings.
func (d *Daemon) dataCentres() []string {
	names := []string{d.settings.DataCentre}
	for _, p := range d.settings.Peers {
		names = append(names, p.DataCentre)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// applyEvacuations puts a set with a higher revision into force on this VM.
func (d *Daemon) applyEvacuations(set configurer.EvacuationSet) {
	in := dispatcher.Input{Evacuations: make([]dispatcher.Evacuation, 0, len(set.Evacuations))}
	for _, e := range set.Evacuations {
		in.Evacuations = append(in.Evacuations, dispatcher.Evacuation{
			DataCentre: e.DataCentre, Active: e.Active, Revision: e.Revision, ChangedAt: e.ChangedAt,
		})
		d.evacuated.WithLabelValues(e.DataCentre).Set(gaugeOf(e.Active))
	}
	d.enqueue(in)
}

// passOnEvacuations applies a set and passes it on to all VMs. The leader of the log
// sends each set once, and VMs greet each other with it on new links; a VM without a
// link to the leader gets it only if another one passes it on. A keeper without a
// replica does that itself.
func (d *Daemon) passOnEvacuations(set configurer.EvacuationSet) {
	d.applyEvacuations(set)
	if d.settings.Has(loader.State) {
		d.broadcastStateMessage(&wire.StateMessage{Evacuations: configurer.EvacuationSetToWire(set)})
	}
}

// newEvacuatedGauge returns the gauge of the evacuated data centres.
func (d *Daemon) newEvacuatedGauge() *prometheus.GaugeVec {
	g := prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Namespace: "bronzedrift", Name: "data_centre_evacuated", Help: "1 while a data centre is evacuated in the view of this VM.",
	}, []string{"data_centre"})
	for _, dc := range d.dataCentres() {
		g.WithLabelValues(dc).Set(0)
	}
	return g
}

func gaugeOf(active bool) float64 {
	if active {
		return 1
	}
	return 0
}

func encodeEvacuationView(v *dispatcher.EvacuationView) reporter.Evacuation {
	return reporter.Evacuation{
		DataCentre: v.DataCentre, State: reporter.EvacuationState(v.Active), Revision: v.Revision,
		ChangedAt: v.ChangedAt.UTC().Format(time.RFC3339Nano), RunningTasks: &v.RunningTasks,
	}
}
