package conductor

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"bronzedrift.example/bronzedrift/internal/holder"
	"bronzedrift.example/bronzedrift/internal/tracker"
)

// TestSettles checks that a restarted VM takes upstreams as soon as all VMs that it knew
// before are reachable, and waits while one of them is not.
func TestSettles(t *testing.T) {
	start := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	seed := netip.MustParseAddrPort("10.0.0.9:1")
	timing := holder.DefaultTiming()
	receiveHeartbeats := func(d *Conductor, now time.Time, vms ...string) {
		for _, vm := range vms {
			d.peers.HandleHeartbeat(now, tracker.Heartbeat{VM: vm, Incarnation: "1"}, "")
		}
	}
	for name, c := range map[string]struct {
		restored  []string
		reachable []string
		after     time.Duration
		want      bool
	}{
		"all reachable":                     {[]string{"a", "b"}, []string{"a", "b"}, noticeGracePeriod, true},
		"all reachable for a short time":    {[]string{"a", "b"}, []string{"a", "b"}, tickInterval, false},
		"one unreachable":                   {[]string{"a", "b"}, []string{"a"}, timing.Settle, false},
		"one unreachable for long":          {[]string{"a", "b"}, []string{"a"}, maxSettleFactor * timing.Settle, true},
		"no VMs restored, seed unreachable": {nil, []string{"a"}, timing.Settle, false},
		"no VMs restored, seed reachable":   {nil, []string{seed.String()}, timing.Settle, true},
	} {
		t.Run(name, func(t *testing.T) {
			d := &Conductor{
				config: Config{Inner: netip.MustParseAddrPort("10.0.0.1:1"), Seeds: []netip.AddrPort{seed}, Timing: timing},
				peers:  tracker.New("10.0.0.1:1"), startedAt: start, restoredVMs: c.restored,
			}
			settled := false
			for now := start; !now.After(start.Add(c.after)); now = now.Add(tickInterval) {
				receiveHeartbeats(d, now, c.reachable...)
				settled = d.isSettled(now)
			}
			receiveHeartbeats(d, start.Add(c.after), c.reachable...)
			settled = settled || d.isSettled(start.Add(c.after))
			assert.Equal(t, c.want, settled)
		})
	}
}

// TestReadiness guards against an entry that counts as failed while all data centres are
// evacuated: it can refuse callers, as every other VM would.
func TestReadiness(t *testing.T) {
	now := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	for name, c := range map[string]struct {
		load    holder.Load
		silence time.Duration
		want    bool
	}{
		"a holder has upstreams":        {holder.Load{TotalMilliCores: 1000}, 0, true},
		"no holder has upstreams":       {holder.Load{}, 0, false},
		"all upstreams are evacuated":   {holder.Load{IsEvacuated: true}, 0, true},
		"evacuated, but no VM is heard": {holder.Load{IsEvacuated: true}, tracker.UnreachableAfter, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := &Conductor{peers: tracker.New("10.0.0.1:1")}
			d.version.Store(1)
			d.peers.HandleHeartbeat(now.Add(-c.silence), tracker.Heartbeat{VM: "10.0.0.2:1", Incarnation: "1", IsState: true, Load: c.load}, "")
			assert.Equal(t, c.want, d.isReady(now))
		})
	}
}
