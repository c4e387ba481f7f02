package commander

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bronzedrift.example/bronzedrift/internal/reporter"
)

// fakeDaemon serves the operators' interface with fixed answers.
type fakeDaemon struct {
	order    http.HandlerFunc
	statuses []reporter.Status
	orders   atomic.Int32
	polls    atomic.Int32
}

func (f *fakeDaemon) start(t *testing.T) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/evacuations/{dataCentre}", func(w http.ResponseWriter, r *http.Request) {
		f.orders.Add(1)
		f.order(w, r)
	})
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		i := min(int(f.polls.Add(1)), len(f.statuses)) - 1
		_ = json.NewEncoder(w).Encode(f.statuses[i])
	})
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = fmt.Fprint(w, body)
	}
}

func unusedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	return l.Addr().String()
}

const (
	acceptedOrder = `{"data-centre":"osijek-a","state":"evacuated","revision":3}`
	unknownOrder  = `{"outcome":"unknown","message":"no quorum"}`
)

func statusOf(vm string, revision uint64, state string, running int) reporter.Status {
	return reporter.Status{VM: vm, Evacuations: []reporter.Evacuation{{
		DataCentre: "osijek-a", State: state, Revision: revision, ChangedAt: "2026-12-04T10:00:00Z", RunningTasks: &running,
	}}}
}

// TestEvacuateExitCodes guards against an exit code that claims more than is known:
// an order that may have been accepted must never end as refused or failed, and one
// that was never sent not as unknown.
func TestEvacuateExitCodes(t *testing.T) {
	for name, c := range map[string]struct {
		answers []http.HandlerFunc // nil: the daemon does not run
		args    []string
		code    int
		text    string
	}{
		"accepted":             {answers: []http.HandlerFunc{respond(200, acceptedOrder)}, code: ExitOK, text: "osijek-a is evacuated, revision 3"},
		"unknown data centre":  {answers: []http.HandlerFunc{respond(404, `{"outcome":"refused","message":"data-centre: the known ones are a, b"}`)}, code: ExitInvalidInput, text: "the known ones are a, b"},
		"no quorum":            {answers: []http.HandlerFunc{respond(504, unknownOrder)}, code: ExitOutcomeUnknown, text: "repeat the command"},
		"no daemon runs":       {answers: []http.HandlerFunc{nil, nil}, code: ExitFailure, text: "nothing was changed"},
		"the second accepts":   {answers: []http.HandlerFunc{nil, respond(200, acceptedOrder)}, code: ExitOK, text: "revision 3"},
		"minority, then other": {answers: []http.HandlerFunc{respond(504, unknownOrder), respond(200, acceptedOrder)}, code: ExitOK, text: "revision 3"},
		"no quorum, then none": {answers: []http.HandlerFunc{respond(504, unknownOrder), nil}, code: ExitOutcomeUnknown, text: "no quorum"},
		"an older build":       {answers: []http.HandlerFunc{respond(404, "404 page not found"), respond(200, acceptedOrder)}, code: ExitOK, text: "revision 3"},
		"only an older build":  {answers: []http.HandlerFunc{respond(404, "404 page not found")}, code: ExitFailure, text: "status 404"},
		"wrong token":          {answers: []http.HandlerFunc{respond(401, `{"message":"the operators' secret is wrong or missing"}`)}, code: ExitFailure, text: "secret is wrong"},
		"answer cut short":     {answers: []http.HandlerFunc{respond(200, `{"data-centre":`)}, code: ExitOutcomeUnknown, text: "the outcome is unknown"},
		"another order won":    {answers: []http.HandlerFunc{respond(200, `{"data-centre":"osijek-a","state":"serving","revision":4}`)}, code: ExitConflict, text: "osijek-a is serving, revision 4"},
		"cancelled":            {answers: []http.HandlerFunc{respond(200, `{"data-centre":"osijek-a","state":"serving","revision":4}`)}, args: []string{"--cancel"}, code: ExitOK, text: "osijek-a is serving, revision 4"},
		"waiting for a cancel": {answers: []http.HandlerFunc{respond(200, acceptedOrder)}, args: []string{"--cancel", "--wait", "1s"}, code: ExitInvalidInput, text: "--wait"},
	} {
		t.Run(name, func(t *testing.T) {
			var addresses []string
			for _, answer := range c.answers {
				if answer == nil {
					addresses = append(addresses, unusedAddress(t))
					continue
				}
				addresses = append(addresses, (&fakeDaemon{order: answer}).start(t))
			}
			args := append([]string{"evacuate", "osijek-a", "--operators", strings.Join(addresses, ",")}, c.args...)
			began := time.Now()
			out, err := execute(t, args...)
			if err != nil {
				out += err.Error()
			}
			assert.Less(t, time.Since(began), orderHedgeDelay, "after a failure the next daemon is asked at once")
			assert.Equal(t, c.code, ExitCode(err), out)
			assert.Contains(t, out, c.text)
		})
	}
}

// TestEvacuateSendsTheOrder guards against a cancellation that evacuates, and against a
// request of another data centre.
func TestEvacuateSendsTheOrder(t *testing.T) {
	var requests []string
	f := &fakeDaemon{order: func(w http.ResponseWriter, r *http.Request) {
		requests = append(requests, r.Method+" "+r.URL.Path)
		respond(504, unknownOrder)(w, r)
	}}
	address := f.start(t)
	_, _ = execute(t, "evacuate", "osijek-a", "--operators", address)
	_, _ = execute(t, "evacuate", "osijek-a", "--cancel", "--operators", address)
	assert.Equal(t, []string{"PUT /v1/evacuations/osijek-a", "DELETE /v1/evacuations/osijek-a"}, requests)
}

// TestEvacuateAsksTheNextDaemonOfAFrozenOne guards against an order that waits for the
// whole time-out of a daemon that takes the connection and never answers.
func TestEvacuateAsksTheNextDaemonOfAFrozenOne(t *testing.T) {
	frozen := &fakeDaemon{order: func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }}
	second := &fakeDaemon{order: respond(200, acceptedOrder)}
	began := time.Now()
	out, err := execute(t, "evacuate", "osijek-a", "--operators", frozen.start(t)+","+second.start(t))
	require.NoError(t, err)
	assert.Contains(t, out, "revision 3")
	assert.Less(t, time.Since(began), 2*time.Second)
}

// TestEvacuateWait guards against an operator who is told that a data centre is empty
// while a daemon runs tasks there, has not learned of the evacuation or is not reached.
func TestEvacuateWait(t *testing.T) {
	run := func(t *testing.T, wait string, others ...string) (string, error) {
		t.Helper()
		first := &fakeDaemon{order: respond(200, acceptedOrder), statuses: []reporter.Status{statusOf("a-1", 3, "evacuated", 0)}}
		return execute(t, "evacuate", "osijek-a", "--wait", wait, "--operators", strings.Join(append([]string{first.start(t)}, others...), ","))
	}
	t.Run("until the last task has ended", func(t *testing.T) {
		second := &fakeDaemon{statuses: []reporter.Status{
			{VM: "a-2"}, statusOf("a-2", 2, "serving", 0), statusOf("a-2", 3, "evacuated", 2), statusOf("a-2", 4, "evacuated", 0),
		}}
		out, err := run(t, "5s", second.start(t))
		require.NoError(t, err)
		assert.Contains(t, out, "no task runs in osijek-a according to 2 daemons")
		assert.Equal(t, int32(4), second.polls.Load())
	})
	for name, c := range map[string]struct {
		status reporter.Status
		code   int
		text   string
	}{
		"tasks go on":    {statusOf("a-2", 3, "evacuated", 2), ExitFailure, "2 tasks still run in osijek-a"},
		"not informed":   {statusOf("a-2", 1, "serving", 0), ExitFailure, "not yet informed: a-2"},
		"cancelled then": {statusOf("a-2", 5, "serving", 0), ExitConflict, "osijek-a is serving, revision 5"},
	} {
		t.Run(name, func(t *testing.T) {
			second := &fakeDaemon{statuses: []reporter.Status{c.status}}
			_, err := run(t, "300ms", second.start(t))
			assert.Equal(t, c.code, ExitCode(err))
			assert.ErrorContains(t, err, c.text)
		})
	}
	t.Run("out of reach", func(t *testing.T) {
		address := unusedAddress(t)
		_, err := run(t, "300ms", address)
		assert.Equal(t, ExitFailure, ExitCode(err))
		assert.ErrorContains(t, err, "out of reach: "+address)
	})
}

// TestStatusShowsEvacuations guards against a status without the tasks of all daemons,
// and against one that hides a daemon that has not learned of an evacuation.
func TestStatusShowsEvacuations(t *testing.T) {
	addresses := []string{
		(&fakeDaemon{statuses: []reporter.Status{statusOf("a-1", 3, "evacuated", 2)}}).start(t),
		(&fakeDaemon{statuses: []reporter.Status{statusOf("a-2", 3, "evacuated", 3)}}).start(t),
		(&fakeDaemon{statuses: []reporter.Status{{VM: "b-1"}}}).start(t),
	}
	out, err := execute(t, "status", "--operators", strings.Join(addresses, ","))
	require.NoError(t, err)
	assert.Regexp(t, `osijek-a +2026-12-04T10:00:00Z +3 +5 +b-1`, out)
	out, err = execute(t, "status", "--operators", (&fakeDaemon{statuses: []reporter.Status{statusOf("a-1", 4, "serving", 0)}}).start(t))
	require.NoError(t, err)
	assert.NotContains(t, out, "osijek-a")
}
