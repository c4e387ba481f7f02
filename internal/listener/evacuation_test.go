package listener

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"bronzedrift.example/bronzedrift/internal/configurer"
	"bronzedrift.example/bronzedrift/internal/dispatcher"
	"bronzedrift.example/bronzedrift/internal/keeper"
	"bronzedrift.example/bronzedrift/internal/recorder"
)

func requestOperators(l *Listener, method, path, token string) (status int, body string) {
	r := httptest.NewRequest(method, path, nil)
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	w := httptest.NewRecorder()
	l.Operators().ServeHTTP(w, r)
	return w.Code, w.Body.String()
}

// TestEvacuationRequests guards against answers that an operator's command would
// misread: an unknown data centre that is taken, and an unknown outcome that looks like
// a refusal.
func TestEvacuationRequests(t *testing.T) {
	at := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
	var evacuateErr error
	var orders []configurer.Evacuation
	l := New(Config{OperatorsSecret: "s"}, Handlers{
		DataCentres: func() []string { return []string{"a", "b"} },
		Evacuate: func(_ context.Context, dataCentre string, active bool) (configurer.Evacuation, error) {
			e := configurer.Evacuation{DataCentre: dataCentre, Active: active, Revision: 7, ChangedAt: at}
			orders = append(orders, e)
			return e, evacuateErr
		},
		ReadEvacuations: func(context.Context) (configurer.EvacuationSet, error) {
			return configurer.EvacuationSet{Revision: 7, Evacuations: orders[:1]}, evacuateErr
		},
		Event: func(recorder.Event) {},
	})
	for _, c := range []struct {
		method, path string
		err          error
		status       int
		body         string
	}{
		{http.MethodPut, "/a", nil, 200, `{"data-centre":"a","state":"evacuated","revision":7,"changed-at":"2026-12-04T10:00:00Z"}`},
		{http.MethodDelete, "/a", nil, 200, `{"data-centre":"a","state":"serving","revision":7,"changed-at":"2026-12-04T10:00:00Z"}`},
		{http.MethodPut, "/c", nil, 404, `{"outcome":"refused","message":"data-centre: \"c\" is not known; the known ones are a, b"}`},
		{http.MethodDelete, "/c", nil, 404, `{"outcome":"refused","message":"data-centre: \"c\" is not known; the known ones are a, b"}`},
		{http.MethodPut, "/a", errors.Join(keeper.ErrUnavailable, context.DeadlineExceeded), 504, `{"outcome":"unknown","message":"no quorum of the state VMs has answered in time; the order may have been accepted, and may be repeated"}`},
		{http.MethodPut, "/a", &keeper.RefusedError{Message: "no"}, 409, `{"outcome":"refused","message":"no"}`},
		{http.MethodGet, "", nil, 200, `{"revision":7,"evacuations":[{"data-centre":"a","state":"evacuated","revision":7,"changed-at":"2026-12-04T10:00:00Z"}]}`},
		{http.MethodGet, "", keeper.ErrUnavailable, 504, `"outcome":"unknown"`},
	} {
		evacuateErr = c.err
		status, body := requestOperators(l, c.method, "/v1/evacuations"+c.path, "s")
		assert.Equal(t, c.status, status, body)
		assert.Contains(t, body, c.body)
	}
	assert.Len(t, orders, 4, "an order for an unknown data centre is not passed on")
	status, _ := requestOperators(l, http.MethodPut, "/v1/evacuations/a", "wrong")
	assert.Equal(t, http.StatusUnauthorized, status)
	assert.Len(t, orders, 4)
}

// TestRefusalBecauseOfEvacuation guards against an answer without a time to come back.
func TestRefusalBecauseOfEvacuation(t *testing.T) {
	a := &dispatcher.Answer{Outcome: dispatcher.Failed, Ran: dispatcher.NotRun, Reason: dispatcher.Evacuated, RetryAfter: 3500 * time.Millisecond}
	w := httptest.NewRecorder()
	writeAnswer(w, httpStatus(a), a)
	assert.Equal(t, http.StatusServiceUnavailable, w.Code)
	assert.Equal(t, "4", w.Header().Get("Retry-After"))
}
