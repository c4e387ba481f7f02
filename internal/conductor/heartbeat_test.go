package conductor

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"bronzedrift.example/bronzedrift/internal/holder"
	"bronzedrift.example/bronzedrift/internal/tracker"
)

// TestSettles holds that a VM that has started takes upstreams as soon as all VMs are
// heard that it knew before, and waits while one of them is not.
func TestSettles(t *testing.T) {
	start := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	seed := netip.MustParseAddrPort("10.0.0.9:1")
	timing := holder.DefaultTiming()
	hear := func(d *Conductor, now time.Time, vms ...string) {
		for _, vm := range vms {
			d.peers.Hear(now, tracker.Heartbeat{VM: vm, Incarnation: "1"}, "")
		}
	}
	for name, c := range map[string]struct {
		recalled []string
		heard    []string
		after    time.Duration
		want     bool
	}{
		"all heard":                  {[]string{"a", "b"}, []string{"a", "b"}, noticesWait, true},
		"all heard just now":         {[]string{"a", "b"}, []string{"a", "b"}, tickEvery, false},
		"one is not heard":           {[]string{"a", "b"}, []string{"a"}, timing.Settle, false},
		"one is not heard for long":  {[]string{"a", "b"}, []string{"a"}, settlePatience * timing.Settle, true},
		"nothing known, seed silent": {nil, []string{"a"}, timing.Settle, false},
		"nothing known, seed heard":  {nil, []string{seed.String()}, timing.Settle, true},
	} {
		t.Run(name, func(t *testing.T) {
			d := &Conductor{
				config: Config{Inner: netip.MustParseAddrPort("10.0.0.1:1"), Seeds: []netip.AddrPort{seed}, Timing: timing},
				peers:  tracker.New("10.0.0.1:1"), startedAt: start, recalled: c.recalled,
			}
			settled := false
			for now := start; !now.After(start.Add(c.after)); now = now.Add(tickEvery) {
				hear(d, now, c.heard...)
				settled = d.isSettled(now)
			}
			hear(d, start.Add(c.after), c.heard...)
			settled = settled || d.isSettled(start.Add(c.after))
			assert.Equal(t, c.want, settled)
		})
	}
}
