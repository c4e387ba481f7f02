package forwarder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"bronzedrift.example/bronzedrift/internal/holder"
	"bronzedrift.example/bronzedrift/internal/tracker"
)

// canceller is a forwarder with the outcomes of its cancellations.
type canceller struct {
	*Forwarder
	peers *tracker.Tracker
	now   time.Time
	out   Effects
}

func newCanceller(states ...string) *canceller {
	c := &canceller{peers: tracker.New("entry"), now: time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)}
	c.hear(states...)
	c.Forwarder = New("a", holder.DefaultTiming(), c.peers, nil)
	return c
}

func (c *canceller) hear(states ...string) {
	for _, vm := range states {
		c.peers.HandleHeartbeat(c.now, tracker.Heartbeat{VM: vm, Incarnation: "1", IsState: true, IsReady: true}, "")
	}
}

func (c *canceller) confirm(states ...string) {
	for _, vm := range states {
		c.CancelConfirmed(c.now, vm, "j", &c.out)
	}
}

// pass lets time pass while the given state VMs are heard.
func (c *canceller) pass(d time.Duration, states ...string) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(20 * time.Millisecond)
		c.hear(states...)
		c.Tick(c.now, &c.out)
	}
}

func (c *canceller) assertOutcome(t *testing.T, outcomes ...CancelOutcome) {
	t.Helper()
	assert.Equal(t, outcomes, c.out.Cancellations)
}

// A cancellation must not be acknowledged while a VM that was not told of it may still start
// tasks of the job.
func TestCancellationIsConfirmedByAllHolders(t *testing.T) {
	t.Run("at once when all have confirmed", func(t *testing.T) {
		c := newCanceller("s1", "s2", "s3")
		c.Cancel(c.now, "j", 7, &c.out)
		c.confirm("s1", "s2")
		assert.Empty(t, c.out.Cancellations)
		c.confirm("s3")
		c.assertOutcome(t, CancelOutcome{7, true})
	})
	t.Run("not by an entry that is cut off", func(t *testing.T) {
		c := newCanceller("s1", "s2", "s3")
		c.Cancel(c.now, "j", 7, &c.out)
		c.pass(2 * cancelTimeout)
		c.assertOutcome(t, CancelOutcome{7, false})
	})
	t.Run("not by an entry that has been cut off for long", func(t *testing.T) {
		c := newCanceller("s1", "s2", "s3")
		c.pass(2 * time.Second)
		c.Cancel(c.now, "j", 7, &c.out)
		c.pass(2 * cancelTimeout)
		c.assertOutcome(t, CancelOutcome{7, false})
	})
	t.Run("not by an entry that reaches the smaller part of the state VMs", func(t *testing.T) {
		c := newCanceller("s1", "s2", "s3")
		c.pass(2*time.Second, "s1")
		c.Cancel(c.now, "j", 7, &c.out)
		c.confirm("s1")
		c.pass(2*cancelTimeout, "s1")
		c.assertOutcome(t, CancelOutcome{7, false})
	})
	t.Run("without a state VM that is down for all", func(t *testing.T) {
		c := newCanceller("s1", "s2", "s3")
		c.pass(2*time.Second, "s1", "s2")
		c.Cancel(c.now, "j", 7, &c.out)
		c.confirm("s1", "s2")
		c.assertOutcome(t, CancelOutcome{7, true})
	})
	t.Run("not without a state VM that others reach", func(t *testing.T) {
		c := newCanceller("s1", "s2", "s3")
		c.pass(2*time.Second, "s1", "s2")
		c.peers.HandleHeartbeat(c.now, tracker.Heartbeat{
			VM: "s1", Incarnation: "1", IsState: true, Neighbours: []tracker.Neighbour{{VM: "s3", Incarnation: "1", IsState: true}},
		}, "")
		c.Cancel(c.now, "j", 7, &c.out)
		c.confirm("s1", "s2")
		assert.Empty(t, c.out.Cancellations)
	})
	t.Run("a lost message is sent again", func(t *testing.T) {
		c := newCanceller("s1", "s2")
		c.Cancel(c.now, "j", 7, &c.out)
		c.confirm("s1")
		c.out.Sends = nil
		c.pass(cancelResendInterval+20*time.Millisecond, "s1", "s2")
		assert.Equal(t, []Send{{To: "s2", Cancel: &Cancel{ID: "j", AllParts: true}}}, c.out.Sends)
		c.confirm("s2")
		c.assertOutcome(t, CancelOutcome{7, true})
	})
}
