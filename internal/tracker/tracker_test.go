package tracker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestRecall holds that a VM remembered from an earlier life is known, but counts as
// alive only when it is heard, and is forgotten if it is not.
func TestRecall(t *testing.T) {
	now := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	tr := New("self")
	for _, vm := range []string{"state", "self"} {
		tr.Recall(now, Neighbour{VM: vm, DataCentre: "a", IsState: true})
	}
	assert.Equal(t, []string{"state"}, tr.Known())
	assert.Empty(t, tr.Holders(now), "counts as alive")
	news := tr.Hear(now, Heartbeat{VM: "state", Incarnation: "2", IsState: true}, "")
	assert.False(t, news.HasRestarted, "its life was not known")
	assert.Len(t, tr.Holders(now), 1)
	tr.Recall(now, Neighbour{VM: "gone", IsState: true})
	assert.Equal(t, []string{"gone"}, tr.Forget(now.Add(forgetAfter)))
}

// TestRefuse holds that a VM whose port has no listener is not within reach of this
// one, but still counts as alive while others hear it.
func TestRefuse(t *testing.T) {
	now := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	tr := New("self")
	tr.Hear(now, Heartbeat{VM: "state", Incarnation: "1", IsState: true}, "")
	tr.Refuse("state")
	assert.False(t, tr.IsHeard(now, "state"))
	assert.Len(t, tr.Holders(now), 1, "others may hear it")
	tr.Hear(now, Heartbeat{VM: "state", Incarnation: "1", IsState: true}, "")
	assert.True(t, tr.IsHeard(now, "state"))
}
