package forwarder

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bronzedrift.example/bronzedrift/internal/balancer"
	"bronzedrift.example/bronzedrift/internal/holder"
	"bronzedrift.example/bronzedrift/internal/tracker"
)

// TestOffersOfAPart guards, with a balancer as without one, against orders that are sent to another
// holder than the job was split for, that are accepted late too early, or that go round among
// holders that refuse them.
func TestOffersOfAPart(t *testing.T) {
	const holders = 4
	for _, isBalanced := range []bool{false, true} {
		for _, tasks := range []int{1, 2, 6, 10, 40} {
			for seed := range uint64(20) {
				t.Run(fmt.Sprintf("balanced %v, %d tasks, seed %d", isBalanced, tasks, seed), func(t *testing.T) {
					now := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
					peers := tracker.New("entry")
					for i := range holders {
						h := offeringHeartbeat(fmt.Sprint("holder", i), 2+i)
						h.DataCentre = fmt.Sprint("dc", i%2)
						peers.HandleHeartbeat(now, h, "")
					}
					var b *balancer.Balancer
					if isBalanced {
						b = balancer.New(balancer.Config{}, seed)
					}
					f := New("dc0", holder.DefaultTiming(), peers, b)
					var out Effects
					f.Submit(now, holder.Order{
						ID: "j", Service: "s", Objective: time.Second, Remaining: 5 * time.Second, Priority: int(seed % 2),
						Steps: []holder.Step{{Count: tasks, Needs: holder.Capacity{MilliCores: 1000}, Estimate: 100 * time.Millisecond}},
					}, 1, &out)
					parts := len(f.jobs["j"].parts)
					require.Len(t, out.Sends, parts, "one first order for each part")
					next := 0
					for i, p := range f.jobs["j"].parts {
						o := out.Sends[i]
						assert.Equal(t, p.holder, o.To)
						assert.Equal(t, []string{o.To}, p.triedHolders)
						assert.Equal(t, next, o.Order.First, "tasks are missing or doubled")
						assert.Equal(t, parts > 1, o.Order.AcceptLate)
						assert.False(t, o.Order.Force)
						next += o.Order.Steps[0].Count
					}
					assert.Equal(t, tasks, next)
					offers := map[int][]string{}
					for len(out.Sends) > 0 && f.HasJob("j") {
						s := out.Sends[0]
						out.Sends = out.Sends[1:]
						if s.Order == nil {
							continue
						}
						part := s.Order.Part
						isRetry := s.Order.Force || parts == 1 && s.Order.AcceptLate
						assert.Equal(t, isRetry, len(offers[part]) == holders, "asked again before all others, or not at all")
						if !isRetry {
							assert.NotContains(t, offers[part], s.To)
						}
						offers[part] = append(offers[part], s.To)
						require.LessOrEqual(t, len(offers[part]), holders+1)
						f.Answer(now, s.To, holder.Answer{
							ID: "j", Part: part, Attempt: s.Order.Attempt, Outcome: holder.Busy, Wait: time.Duration(len(s.To)) * time.Second, Reason: "queue",
						}, &out)
					}
					require.Len(t, out.Responses, 1, "refused by all, or it goes on without end")
					assert.Contains(t, []Result{NotRun, Unknown}, out.Responses[0].Result)
				})
			}
		}
	}
}
