package conductor

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bronzedrift.example/bronzedrift/internal/forwarder"
	"bronzedrift.example/bronzedrift/internal/holder"
	"bronzedrift.example/bronzedrift/internal/tracker"
)

// TestCancellationsOnNewLink guards against a cancelled job that runs when a late copy of it arrives: a VM
// was restarted, or not reachable, when the cancellation was acknowledged, and hears of it on its next link.
func TestCancellationsOnNewLink(t *testing.T) {
	const jobs = maxReportedCancellations + 1
	behind := newTestConductor(t, t.TempDir())
	now := behind.startedAt
	at := now.Add(-5 * time.Second)
	told := newTestConductor(t, t.TempDir())
	for i := range jobs {
		told.cancel(at, "entry", forwarder.Cancel{ID: fmt.Sprint("job-", i), AllParts: true})
	}
	messages := told.missedBy(now, &tracker.Peer{Heartbeat: tracker.Heartbeat{VM: "behind", IsState: true}})
	require.Len(t, messages, 2)
	for _, m := range messages {
		behind.handle(now, "told", "", 0, m)
	}
	outcome := func(now time.Time, id string) holder.Outcome {
		var out holder.Effects
		behind.holder.Submit(now, "entry", holder.Order{ID: id, Attempt: 1, Service: "s", Objective: time.Second, Remaining: time.Second, Steps: []holder.Step{{Count: 1}}}, &out)
		require.Len(t, out.Replies, 1, id)
		return out.Replies[0].Answer.Outcome
	}
	for i := range jobs {
		require.Equal(t, holder.Cancelled, outcome(now, fmt.Sprint("job-", i)))
	}
	assert.NotEqual(t, holder.Cancelled, outcome(now, "other"))
	t.Run("its age goes along", func(t *testing.T) {
		for _, c := range behind.holder.Cancellations(now) {
			assert.Equal(t, at, c.At)
		}
		assert.Empty(t, behind.holder.Cancellations(at.Add(time.Minute)))
	})
	t.Run("entries do not tell each other", func(t *testing.T) {
		told.config.IsState = false
		assert.Empty(t, told.missedBy(now, &tracker.Peer{Heartbeat: tracker.Heartbeat{VM: "entry"}}))
		assert.NotEmpty(t, told.missedBy(now, &tracker.Peer{Heartbeat: tracker.Heartbeat{VM: "behind", IsState: true}}))
	})
}
