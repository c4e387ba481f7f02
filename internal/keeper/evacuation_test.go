package keeper

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bronzedrift.example/bronzedrift/internal/configurer"
	"bronzedrift.example/bronzedrift/internal/messenger/wire"
)

// TestOrderReachesAllVMs guards against an order that only some kinds of VM can give or obey.
func TestOrderReachesAllVMs(t *testing.T) {
	for name, at := range map[string]func(c *testCluster) string{
		"at the leader":  func(c *testCluster) string { return c.leader() },
		"at a follower":  func(c *testCluster) string { return c.follower() },
		"at an entry":    func(*testCluster) string { return "e1" },
		"at two of them": func(c *testCluster) string { c.mustOrder("e2", "west", true); return "e1" },
	} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, 3, 3, func(_ *testing.T, c *testCluster) {
				vm := at(c)
				e := c.mustOrder(vm, "east", true)
				assert.True(c.t, e.Active)
				assert.WithinDuration(c.t, time.Now(), e.ChangedAt, ackTime)
				time.Sleep(ackTime)
				for _, name := range c.names() {
					assert.Contains(c.t, activeIn(c.vms[name].inForce(c.t)), "east", name)
				}
				cancelled := c.mustOrder(vm, "east", false)
				assert.False(c.t, cancelled.Active)
				assert.Greater(c.t, cancelled.Revision, e.Revision)
			})
		})
	}
}

// TestRepeatedOrder guards against an order that fails or changes the record when it is given
// again, at the same VM or another.
func TestRepeatedOrder(t *testing.T) {
	inCluster(t, 3, 2, func(t *testing.T, c *testCluster) {
		for _, active := range []bool{true, false} {
			first := c.mustOrder("e1", "east", active)
			for _, vm := range []string{"e1", "e2", c.leader(), c.follower()} {
				assert.Equal(t, first, c.mustOrder(vm, "east", active), vm)
			}
		}
		assert.Empty(t, activeIn(c.assertAgreed()))
	})
}

// TestLostAcknowledgement guards against an order that takes effect twice, or is reported as
// failed though it is in force.
func TestLostAcknowledgement(t *testing.T) {
	t.Run("resent to another VM", func(t *testing.T) {
		inCluster(t, 3, 2, func(t *testing.T, c *testCluster) {
			c.drop(func(_, to string, m *wire.StateMessage) bool { return to == "e1" && isResponse(m) })
			c.mustFail("e1", "east", true)
			e := c.mustOrder("e2", "east", true)
			assert.EqualValues(t, 1, e.Revision)
			c.release()
			c.assertAgreed("east")
		})
	})
	t.Run("repeated by the same VM", func(t *testing.T) {
		inCluster(t, 3, 2, func(t *testing.T, c *testCluster) {
			lost := 0
			c.drop(func(_, to string, m *wire.StateMessage) bool {
				if to != "e1" || !isResponse(m) {
					return false
				}
				lost++
				return lost <= 2
			})
			e := c.mustOrder("e1", "east", true)
			assert.EqualValues(t, 1, e.Revision)
			assert.Equal(t, 3, lost)
			assert.EqualValues(t, 1, c.assertAgreed("east").Revision, "a copy of the order took effect")
		})
	})
	// The order was in force before the opposite one: its repetition must not undo that.
	t.Run("opposite order before the repetition", func(t *testing.T) {
		inCluster(t, 3, 2, func(t *testing.T, c *testCluster) {
			c.drop(func(_, to string, m *wire.StateMessage) bool { return to == "e1" && isResponse(m) })
			var e configurer.Evacuation
			var err error
			var waiting sync.WaitGroup
			waiting.Go(func() { e, _, err = c.order("e1", "east", true, 5*time.Second) })
			time.Sleep(requestRetryInterval / 2)
			cancelled := c.mustOrder("e2", "east", false)
			assert.EqualValues(t, 2, cancelled.Revision)
			c.release()
			waiting.Wait()
			require.NoError(t, err)
			assert.Equal(t, cancelled, e)
			c.assertAgreed()
		})
	})
}

// TestRacingOperators guards against operators that block each other, and against VMs that
// disagree on the outcome.
func TestRacingOperators(t *testing.T) {
	inCluster(t, 3, 4, func(t *testing.T, c *testCluster) {
		var operators sync.WaitGroup
		for i, vm := range []string{"e1", "e2", "e3", "e4", "s1", "s2", "s3"} {
			operators.Go(func() {
				for range 10 {
					_, took, err := c.order(vm, "east", i%2 == 0, 5*time.Second)
					assert.NoError(t, err)
					assert.LessOrEqual(t, took, ackTime)
				}
			})
		}
		operators.Wait()
		e := c.mustOrder("e1", "east", true)
		assert.Equal(t, []configurer.Evacuation{e}, c.assertAgreed("east").Evacuations)
	})
}

// TestStaleOrder guards against an order that is delayed inside the system until its sender
// has given up, and then undoes a later opposite one.
func TestStaleOrder(t *testing.T) {
	for name, delays := range map[string]func(c *testCluster) func(from, to string, m *wire.StateMessage) bool{
		"on the way from the entry": func(*testCluster) func(from, to string, m *wire.StateMessage) bool {
			return func(from, _ string, m *wire.StateMessage) bool { return from == "e1" && isRequest(m) }
		},
		"on the way to the leader": func(c *testCluster) func(from, to string, m *wire.StateMessage) bool {
			leader := c.leader()
			return func(_, to string, m *wire.StateMessage) bool {
				return to == leader && isRequest(m) && m.GetRequest().GetOrigin() != "e2"
			}
		},
	} {
		for _, test := range []struct {
			title              string
			active, isOpposite bool
		}{
			{"evacuate", true, false},
			{"cancel", false, false},
			{"evacuate, the opposite order changes nothing", true, true},
			{"cancel, the opposite order changes nothing", false, true},
		} {
			t.Run(test.title+" "+name, func(t *testing.T) {
				inCluster(t, 3, 2, func(t *testing.T, c *testCluster) {
					// The state before both orders.
					c.mustOrder("e2", "east", test.active != test.isOpposite)
					time.Sleep(settleTime)
					c.keep(delays(c))
					c.mustFail("e1", "east", test.active)
					c.mustOrder("e2", "east", !test.active)
					assert.Positive(t, c.release())
					if test.active {
						c.assertAgreed()
					} else {
						c.assertAgreed("east")
					}
				})
			})
		}
	}
	// The VM's own keeper is busy, with a slow disk for example, and sends the request when
	// it has learnt of the opposite order. The repeats to other VMs are late too.
	t.Run("in the queue of its own VM", func(t *testing.T) {
		inCluster(t, 3, 2, func(_ *testing.T, c *testCluster) {
			vm := c.follower()
			gate := make(chan struct{})
			c.keeper(vm).enqueue(input{run: func(time.Time) { <-gate }})
			c.keep(func(from, _ string, m *wire.StateMessage) bool { return from == vm && isRequest(m) })
			c.mustFail(vm, "east", true)
			c.mustOrder("e2", "east", false)
			time.Sleep(settleTime)
			assert.Positive(c.t, c.release())
			close(gate)
			c.assertAgreed()
		})
	})
}

// lateContext is the context of a process that resumes after it was frozen: its deadline has
// passed, but the runtime has not ended it yet.
type lateContext struct {
	context.Context
	deadline time.Time
}

func (c lateContext) Deadline() (time.Time, bool) { return c.deadline, true }

// TestNoProposalAfterTheDeadline guards against a process that was frozen, finds a conflict
// when it resumes, and proposes the order again though its caller has given up.
func TestNoProposalAfterTheDeadline(t *testing.T) {
	inCluster(t, 3, 2, func(t *testing.T, c *testCluster) {
		c.keep(func(from, to string, m *wire.StateMessage) bool {
			return to == "e1" && isResponse(m) || from == "e1" && isRequest(m)
		})
		result := make(chan error, 1)
		go func() {
			_, err := c.keeper("e1").Evacuate(lateContext{context.Background(), time.Now().Add(time.Second)}, "east", true)
			result <- err
		}()
		time.Sleep(2 * time.Second)
		c.mustOrder("e2", "east", false)
		c.release()
		assert.ErrorIs(t, <-result, ErrUnavailable)
		c.assertAgreed()
	})
}

// TestMinority guards against an acknowledgement by a minority, and against its uncommitted
// order taking effect after the partition.
func TestMinority(t *testing.T) {
	for name, side := range map[string]func(c *testCluster) string{
		"with the leader":    func(c *testCluster) string { return c.leader() },
		"without the leader": func(c *testCluster) string { return c.follower() },
	} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, 3, 2, func(t *testing.T, c *testCluster) {
				minority := side(c)
				c.partition(minority, "e1")
				c.mustFail("e1", "east", true)
				c.mustFail(minority, "east", true)
				assert.Empty(t, c.vms["e1"].inForce(t))
				time.Sleep(settleTime)
				c.mustOrder("e2", "east", false)
				c.mustOrder("e2", "west", true)
				assert.Empty(t, c.vms["e1"].inForce(t))
				c.heal()
				c.assertAgreed("west")
			})
		})
	}
	// A data centre that is cut off obeys the last state that it knows.
	t.Run("keeps the last set", func(t *testing.T) {
		inCluster(t, 3, 2, func(t *testing.T, c *testCluster) {
			c.mustOrder("e1", "east", true)
			time.Sleep(settleTime)
			c.partition("e1", c.follower())
			time.Sleep(10 * settleTime)
			assert.Equal(t, []string{"east"}, activeIn(c.vms["e1"].inForce(t)))
		})
	})
}

// TestLeaderLostDuringAnOrder guards against an order that is lost, or takes effect twice,
// if the leader ends between the proposal and the acknowledgement.
func TestLeaderLostDuringAnOrder(t *testing.T) {
	for _, test := range []struct {
		name string
		// isLost tells which messages of the leader are lost.
		isLost func(m *wire.StateMessage) bool
	}{
		{"before the entry is sent", func(m *wire.StateMessage) bool { return len(m.GetLog().GetEntries()) > 0 }},
		{"before the commit is known", func(m *wire.StateMessage) bool { return isResponse(m) || isSet(m) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			inCluster(t, 3, 2, func(t *testing.T, c *testCluster) {
				leader := c.leader()
				c.drop(func(from, _ string, m *wire.StateMessage) bool { return from == leader && test.isLost(m) })
				var e configurer.Evacuation
				var took time.Duration
				var err error
				var waiting sync.WaitGroup
				waiting.Go(func() { e, took, err = c.order("e1", "east", true, 10*time.Second) })
				time.Sleep(100 * time.Millisecond)
				c.kill(leader)
				waiting.Wait()
				require.NoError(t, err)
				assert.EqualValues(t, 1, e.Revision)
				// Two elections at most, and one repetition of the request.
				assert.LessOrEqual(t, took, 2*2*replicatorElectionTimeout+requestRetryInterval+100*time.Millisecond)
				assert.EqualValues(t, 1, c.assertAgreed("east").Revision, "a copy of the order took effect")
				c.start(leader)
				c.assertAgreed("east")
			})
		})
	}
	// VMs without heartbeats learn of the order only from the next leader.
	t.Run("after the commit, nobody was told", func(t *testing.T) {
		inCluster(t, 3, 2, func(_ *testing.T, c *testCluster) {
			c.heartbeats.Store(false)
			leader := c.leader()
			c.drop(func(from, _ string, m *wire.StateMessage) bool { return from == leader && (isResponse(m) || isSet(m)) })
			c.mustFail("e1", "east", true)
			c.kill(leader)
			c.assertAgreed("east")
		})
	})
	t.Run("after the acknowledgement, only the sender was told", func(t *testing.T) {
		inCluster(t, 3, 3, func(t *testing.T, c *testCluster) {
			c.heartbeats.Store(false)
			leader := c.leader()
			c.drop(func(from, _ string, m *wire.StateMessage) bool { return from == leader && isSet(m) })
			c.mustOrder("e1", "east", true)
			time.Sleep(replicatorElectionTimeout / 2)
			assert.Equal(t, []string{"east"}, activeIn(c.vms["e1"].inForce(t)))
			assert.Equal(t, []string{"east"}, activeIn(c.vms["e3"].inForce(t)), "the entry did not pass the set on")
		})
	})
}

const replicatorElectionTimeout = 400 * time.Millisecond

// TestWipedDisk guards against an evacuation that is lost with one disk.
func TestWipedDisk(t *testing.T) {
	for name, victim := range map[string]func(c *testCluster) string{
		"of the leader":   func(c *testCluster) string { return c.leader() },
		"of a follower":   func(c *testCluster) string { return c.follower() },
		"of each in turn": nil,
	} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, 3, 1, func(_ *testing.T, c *testCluster) {
				c.mustOrder("e1", "east", true)
				c.mustOrder("e1", "west", true)
				c.mustOrder("e1", "west", false)
				victims := c.states
				if victim != nil {
					victims = []string{victim(c)}
				}
				for _, vm := range victims {
					c.wipe(vm)
					time.Sleep(voterLostAfter + settleTime)
					c.assertAgreed("east")
				}
				c.kill("e1")
				c.start("e1")
				c.assertAgreed("east")
				c.mustOrder("e1", "east", false)
				c.assertAgreed()
			})
		})
	}
}

// TestRestartOfAllVMs guards against an acknowledged evacuation that does not survive the
// restart of all VMs at once.
func TestRestartOfAllVMs(t *testing.T) {
	inCluster(t, 3, 2, func(_ *testing.T, c *testCluster) {
		c.mustOrder("e1", "east", true)
		c.stopAll()
		for _, name := range c.names() {
			c.start(name)
		}
		c.assertAgreed("east")
	})
}
