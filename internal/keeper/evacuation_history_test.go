package keeper

import (
	"context"
	"flag"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"

	"bronzedrift.example/bronzedrift/internal/messenger/wire"
)

var (
	firstSeed = flag.Uint64("first-seed", 1, "first seed of the histories")
	seedCount = flag.Uint64("seeds", 60, "number of seeds of the histories")
)

// evacuationInput is an operator's order, or a read.
type evacuationInput struct{ isRead, active bool }

// evacuationOutput is the state that a read returned. If isUnknown is set, an order was not
// acknowledged.
type evacuationOutput struct{ isUnknown, active bool }

// evacuationModel is the sequential specification of one data centre: a read returns the state
// of the latest order, and an order that was not acknowledged may have no effect.
var evacuationModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{false} },
	Step: func(state, input, output any) []any {
		in, out := input.(evacuationInput), output.(evacuationOutput)
		switch {
		case in.isRead && out.active == state.(bool):
			return []any{state}
		case in.isRead:
			return nil
		case out.isUnknown:
			return []any{state, in.active}
		}
		return []any{in.active}
	},
}

// historyConditions are the highest wait of an operator and pause between two orders, in
// milliseconds, how many requests there are to one that is delayed, and how many orders there
// are to one that evacuates.
type historyConditions struct{ maxWait, maxPause, oneDelayedOf, oneActiveOf int }

// evacuationHistory runs operators at all VMs of a cluster while faults are injected.
type evacuationHistory struct {
	*testCluster
	conditions historyConditions
	random     *rand.Rand
	mu         sync.Mutex
	operations []porcupine.Operation
}

// number returns a random number below n. The generator is shared by all goroutines.
func (h *evacuationHistory) number(n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.random.IntN(n)
}

func (h *evacuationHistory) milliseconds(low, high int) time.Duration {
	return time.Duration(low+h.number(high-low)) * time.Millisecond
}

func (h *evacuationHistory) pick() string {
	names := h.names()
	return names[h.number(len(names))]
}

func (h *evacuationHistory) operate(client int) {
	in := evacuationInput{isRead: h.number(3) == 0, active: h.number(h.conditions.oneActiveOf) == 0}
	ctx, cancel := context.WithTimeout(context.Background(), h.milliseconds(20, h.conditions.maxWait))
	defer cancel()
	k := h.keeper(h.pick())
	var out evacuationOutput
	call := time.Now()
	if in.isRead {
		set, err := k.ReadEvacuations(ctx)
		if err != nil {
			return
		}
		out.active = len(activeIn(set)) > 0
	} else {
		_, err := k.Evacuate(ctx, "east", in.active)
		out.isUnknown = err != nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: in, Output: out, Call: call.UnixNano(), Return: time.Now().UnixNano(),
	})
}

func (h *evacuationHistory) injectFault() {
	duration := h.milliseconds(100, 1500)
	switch h.number(4) {
	case 0:
		vm := h.pick()
		h.kill(vm)
		time.Sleep(duration)
		h.start(vm)
	case 1:
		h.partition(h.pick(), h.pick())
		time.Sleep(duration)
		h.heal()
	case 2:
		if leader := h.leader(); leader != "" {
			h.partition(leader)
			time.Sleep(duration)
			h.heal()
		}
	case 3:
		h.wipe(h.states[h.number(len(h.states))])
		// No other disk is lost before this one is replaced.
		time.Sleep(voterLostAfter + settleTime)
	}
}

// closeUnknown ends the interval of each order that was not acknowledged. It may take effect
// after its caller has given up, but not once an order that was given later is acknowledged.
func closeUnknown(operations []porcupine.Operation) {
	for i := range operations {
		o := &operations[i]
		if !o.Output.(evacuationOutput).isUnknown {
			continue
		}
		gaveUpAt := o.Return
		o.Return = time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC).UnixNano()
		for _, later := range operations {
			if !later.Input.(evacuationInput).isRead && !later.Output.(evacuationOutput).isUnknown && later.Call > gaveUpAt {
				o.Return = min(o.Return, later.Return)
			}
		}
	}
}

// TestEvacuationHistories guards against an acknowledged order that is lost, an order that
// takes effect twice, a stale order that undoes a later one, and a read of an older state,
// while VMs restart, lose their disks and are cut off, and messages are lost and delayed.
func TestEvacuationHistories(t *testing.T) {
	for name, conditions := range map[string]historyConditions{
		// Leaves many stale orders behind, and many orders change nothing.
		"impatient operators": {maxWait: 1500, maxPause: 1000, oneDelayedOf: 3, oneActiveOf: 4},
		// Repeats many requests whose order was in force already.
		"patient operators": {maxWait: 2500, maxPause: 400, oneDelayedOf: 10, oneActiveOf: 2},
	} {
		t.Run(name, func(t *testing.T) {
			acknowledged, total := 0, 0
			for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
				operations := checkHistory(t, seed, conditions)
				total += len(operations)
				for _, o := range operations {
					if !o.Output.(evacuationOutput).isUnknown {
						acknowledged++
					}
				}
			}
			t.Logf("%d of %d operations answered", acknowledged, total)
			assert.Greater(t, acknowledged, total/2, "the group makes progress between faults")
		})
	}
}

// checkHistory runs the history of a seed and returns its operations.
func checkHistory(t *testing.T, seed uint64, conditions historyConditions) (operations []porcupine.Operation) {
	t.Helper()
	inCluster(t, 3+2*int(seed%2), 2, func(t *testing.T, c *testCluster) {
		h := &evacuationHistory{testCluster: c, conditions: conditions, random: rand.New(rand.NewPCG(seed, 17))}
		h.run()
		operations = h.operations
		closeUnknown(operations)
		assert.True(t, porcupine.CheckOperations(evacuationModel.ToModel(), operations), "seed %d: the history is not linearizable", seed)
		// All VMs agree on the last state in the end.
		var expected []string
		if seed%3 == 0 {
			expected = []string{"east"}
		}
		e := c.mustOrder("e1", "east", expected != nil)
		assert.Equal(t, e, recordOf(c.assertAgreed(expected...), "east"), "seed %d", seed)
	})
	return operations
}

// run gives orders for 15 s, 9 of them with faults.
func (h *evacuationHistory) run() {
	h.mu.Lock()
	random := rand.New(rand.NewPCG(h.random.Uint64(), 1))
	h.mu.Unlock()
	h.setLinks(func(m *wire.StateMessage) (delay time.Duration, isLost bool) {
		if m.GetRequest() != nil && random.IntN(h.conditions.oneDelayedOf) == 0 {
			// A frozen VM passes a request on late.
			return time.Duration(random.IntN(4000)) * time.Millisecond, false
		}
		return time.Duration(1+random.IntN(20)) * time.Millisecond, random.IntN(50) == 0
	})
	end := time.Now().Add(15 * time.Second)
	var running sync.WaitGroup
	for client := range 4 {
		running.Go(func() {
			for time.Now().Before(end) {
				h.operate(client)
				time.Sleep(h.milliseconds(10, h.conditions.maxPause))
			}
		})
	}
	for time.Now().Before(end.Add(-6 * time.Second)) {
		time.Sleep(h.milliseconds(50, 500))
		h.injectFault()
	}
	running.Wait()
	h.setLinks(nil)
	time.Sleep(voterLostAfter + settleTime)
}
