package holder

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestEqualUpstreamsAreTakenInTurn guards against tasks that gather on a few of many idle upstreams: a series
// of losses then shows on so few that their common cause is not known, and innocent jobs are given up.
func TestEqualUpstreamsAreTakenInTurn(t *testing.T) {
	const upstreams = 8
	now := testStart.Add(time.Minute)
	h := New(Config{VM: "1", DataCentre: "a", Timing: DefaultTiming(), TokenEpoch: testStart})
	h.out = &Effects{}
	for i := range upstreams {
		u := &trackedUpstream{incarnation: newIncarnation(testUpstream(fmt.Sprint("u", i), "a")), runs: map[runKey]*run{}, lastHeartbeatAt: now, answeredAt: now}
		h.upstreams[u.ID] = u
		h.setPhase(u, active)
	}
	j := newJob(now, "entry", testOrder("job", 1))
	chosen := map[string]bool{}
	for range upstreams {
		u, _ := h.chooseUpstream(now, j.steps[0][0])
		require.NotNil(t, u)
		chosen[u.ID] = true
	}
	assert.Len(t, chosen, upstreams)
}
