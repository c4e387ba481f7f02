package dispatcher

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestTaskOfLeavingUpstreamGoesOn guards against two runs of a task at the same time: an upstream
// that has announced that it is leaving may run its tasks to their end, and the owner of a
// repeatable job must not start them elsewhere before. A takeover does not either.
func TestTaskOfLeavingUpstreamGoesOn(t *testing.T) {
	for name, ownerIsLost := range map[string]bool{"the owner stays": false, "the owner is lost": true} {
		t.Run(name, func(t *testing.T) {
			s := newFaultScenario(t)
			c := s.job(6)
			c.job.Repeatable = true
			s.submitAt(s.owner, c)
			s.runFor(15 * time.Millisecond)
			require.Equal(t, len(c.job.Tasks), s.startsOf(c))
			for _, u := range s.upstreams {
				if len(u.tasks) > 0 {
					u.info.Leaving = true
					info := u.info
					info.Announced = s.now
					for _, n := range s.nodes {
						s.input(n, Input{Announce: &info})
					}
				}
			}
			if ownerIsLost {
				s.killNode(s.owner)
				s.declareDown(s.owner, true)
				s.submitAt(s.successor, c)
			}
			s.runFor(5 * time.Second)
			assert.Equal(t, Complete, s.answer(c).Outcome)
			assert.Equal(t, len(c.job.Tasks), s.startsOf(c), "a task has started again")
		})
	}
}
