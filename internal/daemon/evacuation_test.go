package daemon_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bronzedrift.example/bronzedrift/internal/assembler"
	"bronzedrift.example/bronzedrift/internal/dispatcher"
	"bronzedrift.example/bronzedrift/internal/loader"
	"bronzedrift.example/bronzedrift/internal/reporter"
	"bronzedrift.example/bronzedrift/internal/scheduler"
	"bronzedrift.example/bronzedrift/pkg/caller"
)

// newEvacuationCluster starts two entries in dc-a, one in dc-b, a state VM and two
// upstreams. The state VM is the last daemon.
func newEvacuationCluster(t *testing.T) *assembler.Cluster {
	t.Helper()
	limits := loader.Defaults().Limits
	limits.ClockSkew = 0
	config := assembler.Config{
		Entries: []int{2, 1}, Team: dispatcher.Team{Name: "team"}, Service: "booking", Policy: scheduler.DefaultPolicy(),
		Limits: limits, Log: zerolog.Nop(), DataFolder: t.TempDir(),
	}
	for i, dc := range []string{"dc-a", "dc-b"} {
		config.Upstreams = append(config.Upstreams, assembler.UpstreamConfig{Name: "u-" + dc, DataCentre: assembler.DataCentreName(i), Slots: 4, Slowdown: 1})
	}
	c, err := assembler.New(context.Background(), config)
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c
}

func request(t *testing.T, method string, a netip.AddrPort, path string) (status int, body []byte) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+a.String()+path, nil)
	require.NoError(t, err)
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	body, err = io.ReadAll(res.Body)
	require.NoError(t, err)
	return res.StatusCode, body
}

func submitHome(t *testing.T, entry netip.AddrPort, home string) *caller.Answer {
	t.Helper()
	c := caller.New(caller.Config{Entries: []netip.AddrPort{entry}})
	defer c.Close()
	a, err := c.Submit(t.Context(), caller.Job{
		Team: "team", Service: "booking", Timeout: 5 * time.Second, Home: home,
		Tasks: []caller.Task{{Payload: json.RawMessage(`{"run-time":"20ms"}`)}, {Payload: json.RawMessage(`{"run-time":"20ms"}`)}},
	})
	require.NoError(t, err)
	return a
}

// TestEvacuationOfARunningCluster guards against a daemon that does not hand evacuations
// from the log to its dispatcher, that forgets them when it restarts, or that does not
// hand on the cancellation.
func TestEvacuationOfARunningCluster(t *testing.T) {
	c := newEvacuationCluster(t)
	entry, remote, state := c.Settings[0], c.Settings[2], len(c.Settings)-1
	inA := c.Upstreams[0]
	awaitState := func(want string) {
		t.Helper()
		require.EventuallyWithT(t, func(t *assert.CollectT) {
			for _, s := range c.Settings {
				var status reporter.Status
				res, err := http.Get("http://" + s.Listen.Operators.String() + "/v1/status")
				if !assert.NoError(t, err) {
					return
				}
				defer func() { _ = res.Body.Close() }()
				if assert.NoError(t, json.NewDecoder(res.Body).Decode(&status)) && assert.Len(t, status.Evacuations, 1, s.VM) {
					assert.Equal(t, want, status.Evacuations[0].State, s.VM)
				}
			}
		}, 5*time.Second, 20*time.Millisecond)
	}

	status, body := request(t, http.MethodPut, entry.Listen.Operators, "/v1/evacuations/dc-x")
	assert.Equal(t, http.StatusNotFound, status)
	assert.Contains(t, string(body), "the known ones are dc-a, dc-b")

	status, body = request(t, http.MethodPut, remote.Listen.Operators, "/v1/evacuations/dc-a")
	require.Equal(t, http.StatusOK, status, string(body))
	awaitState(reporter.Evacuated)
	_, body = request(t, http.MethodGet, entry.Listen.Metrics, "/metrics")
	assert.Contains(t, string(body), `bronzedrift_data_centre_evacuated{data_centre="dc-a"} 1`)
	assert.Contains(t, string(body), `bronzedrift_data_centre_evacuated{data_centre="dc-b"} 0`)
	before := inA.Counts().Started
	for range 5 {
		assert.Equal(t, "complete", submitHome(t, entry.Listen.Callers, "dc-a").Outcome)
	}
	assert.Equal(t, before, inA.Counts().Started, "nothing is started in dc-a")

	for _, i := range []int{state, 0, 1} {
		require.NoError(t, c.StopDaemon(i))
		require.NoError(t, c.StartDaemon(i))
	}
	awaitState(reporter.Evacuated)
	for range 5 {
		assert.Equal(t, "complete", submitHome(t, remote.Listen.Callers, "dc-a").Outcome)
	}
	assert.Equal(t, before, inA.Counts().Started, "nothing is started in dc-a after the restarts")

	status, body = request(t, http.MethodPut, remote.Listen.Operators, "/v1/evacuations/dc-b")
	require.Equal(t, http.StatusOK, status, string(body))
	status, body = request(t, http.MethodGet, remote.Listen.Operators, "/v1/evacuations")
	assert.Equal(t, http.StatusOK, status)
	assert.Contains(t, string(body), `"data-centre":"dc-b","state":"evacuated"`)
	require.Eventually(t, func() bool { return submitHome(t, remote.Listen.Callers, "dc-a").Reason == "evacuated" }, 5*time.Second, 20*time.Millisecond)

	for _, dc := range []string{"dc-b", "dc-a"} {
		status, body = request(t, http.MethodDelete, remote.Listen.Operators, "/v1/evacuations/"+dc)
		require.Equal(t, http.StatusOK, status, string(body))
	}
	require.Eventually(t, func() bool {
		submitHome(t, remote.Listen.Callers, "dc-a")
		return inA.Counts().Started > before
	}, 5*time.Second, 20*time.Millisecond, "work returns to dc-a")
}
