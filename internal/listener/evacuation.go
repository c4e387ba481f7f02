package listener

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"bronzedrift.example/bronzedrift/internal/configurer"
	"bronzedrift.example/bronzedrift/internal/keeper"
	"bronzedrift.example/bronzedrift/internal/reporter"
)

// serveEvacuate acknowledges an order once a quorum has committed it. It responds 404
// for an unknown data centre, and 504 if the outcome is unknown: the order may be
// repeated to any VM.
func (l *Listener) serveEvacuate(w http.ResponseWriter, r *http.Request) {
	l.changeEvacuation(w, r, true)
}

// serveCancelEvacuation is serveEvacuate for the cancellation.
func (l *Listener) serveCancelEvacuation(w http.ResponseWriter, r *http.Request) {
	l.changeEvacuation(w, r, false)
}

func (l *Listener) changeEvacuation(w http.ResponseWriter, r *http.Request, active bool) {
	dataCentre := r.PathValue("dataCentre")
	if known := l.handlers.DataCentres(); !slices.Contains(known, dataCentre) {
		writeJSON(w, http.StatusNotFound, reporter.EvacuationError{
			Outcome: "refused",
			Message: fmt.Sprintf("data-centre: %q is not known; the known ones are %s", dataCentre, strings.Join(known, ", ")),
		})
		return
	}
	e, err := l.handlers.Evacuate(r.Context(), dataCentre, active)
	if err != nil {
		writeEvacuationError(w, err, "the order may have been accepted, and may be repeated")
		return
	}
	writeJSON(w, http.StatusOK, encodeEvacuation(&e))
}

// serveEvacuations lists all data centres that were ever evacuated, by a linearizable
// read.
func (l *Listener) serveEvacuations(w http.ResponseWriter, r *http.Request) {
	set, err := l.handlers.ReadEvacuations(r.Context())
	if err != nil {
		writeEvacuationError(w, err, "nothing was read")
		return
	}
	body := reporter.Evacuations{Revision: set.Revision, Evacuations: []reporter.Evacuation{}}
	for i := range set.Evacuations {
		body.Evacuations = append(body.Evacuations, encodeEvacuation(&set.Evacuations[i]))
	}
	writeJSON(w, http.StatusOK, body)
}

func encodeEvacuation(e *configurer.Evacuation) reporter.Evacuation {
	j := reporter.Evacuation{DataCentre: e.DataCentre, State: reporter.EvacuationState(e.Active), Revision: e.Revision}
	if !e.ChangedAt.IsZero() {
		j.ChangedAt = e.ChangedAt.UTC().Format(time.RFC3339Nano)
	}
	return j
}

// writeEvacuationError reports that no quorum has answered, with what that means for
// the request, or that the order was refused.
func writeEvacuationError(w http.ResponseWriter, err error, consequence string) {
	if errors.Is(err, keeper.ErrUnavailable) {
		writeJSON(w, http.StatusGatewayTimeout, reporter.EvacuationError{
			Outcome: "unknown", Message: "no quorum of the state VMs has answered in time; " + consequence,
		})
		return
	}
	writeJSON(w, http.StatusConflict, reporter.EvacuationError{Outcome: "refused", Message: err.Error()})
}
