package conductor

import (
	"context"
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bronzedrift.example/bronzedrift/internal/holder"
	"bronzedrift.example/bronzedrift/internal/messenger/wire"
	"bronzedrift.example/bronzedrift/internal/quarantiner"
)

func testUpstream(sequence uint64) holder.Upstream {
	return holder.Upstream{
		ID: "u", Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), DataCentre: "x", Capacity: holder.Capacity{MilliCores: 1000},
		State: holder.Ready, StartedAt: time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC), Sequence: sequence,
	}
}

// runUntilKilled runs the decisions and the memory of a VM until f returns. Nothing is
// saved after that, as if the process had been killed.
func runUntilKilled(t *testing.T, d *Conductor, f func(ctx context.Context)) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{}, 2)
	for _, run := range []func(context.Context) error{d.runDecisions, d.persistMemory} {
		go func() {
			_ = run(ctx)
			ended <- struct{}{}
		}()
	}
	f(ctx)
	cancel()
	<-ended
	<-ended
}

// TestRestartKeepsDepartures: an upstream whose drain or departure was acknowledged is not
// ready again after a restart, neither on this VM nor on one with an older memory.
func TestRestartKeepsDepartures(t *testing.T) {
	for _, test := range []struct {
		name  string
		leave func(ctx context.Context, d *Conductor) error
		state holder.State
	}{
		{"drains", func(ctx context.Context, d *Conductor) error {
			u := testUpstream(2)
			u.State = holder.Draining
			return d.HandleHeartbeat(ctx, u)
		}, holder.Draining},
		{"has left", func(ctx context.Context, d *Conductor) error { return d.UpstreamLeft(ctx, "u") }, holder.Gone},
	} {
		t.Run(test.name, func(t *testing.T) {
			folder := t.TempDir()
			d := newTestConductor(t, folder)
			runUntilKilled(t, d, func(ctx context.Context) {
				require.NoError(t, d.HandleHeartbeat(ctx, testUpstream(1)))
				require.NoError(t, d.saveMemory(ctx))
				require.NoError(t, test.leave(ctx, d))
			})
			restarted := newTestConductor(t, folder)
			assert.Equal(t, test.state, restarted.holder.StateOf("u"))
			var out holder.Effects
			restarted.holder.HandleHeartbeat(restarted.startedAt, testUpstream(1), &out)
			assert.Equal(t, test.state, restarted.holder.StateOf("u"), "a late heartbeat brought it back")

			behind := newTestConductor(t, t.TempDir())
			behind.holder.Restore(behind.startedAt, holder.Notice{Upstream: testUpstream(1)})
			for _, n := range restarted.holder.Notices() {
				behind.holder.HandleNotice(behind.startedAt, "other", n, &out)
			}
			assert.Equal(t, test.state, behind.holder.StateOf("u"))
		})
	}
}

// TestRestartKeepsCrashes guards against a task that crashes upstreams again after all state
// VMs have been killed at the same moment.
func TestRestartKeepsCrashes(t *testing.T) {
	folder := t.TempDir()
	d := newTestConductor(t, folder)
	crashes := []quarantiner.Crash{{Task: "j.0.0.0", Kind: "r", Upstream: "u", StartedAt: time.Unix(5, 0).UTC(), IsLatest: true}}
	runUntilKilled(t, d, func(ctx context.Context) {
		require.True(t, d.enqueueAndWait(ctx, func(now time.Time) {
			d.holder.HandleCrashes(now, crashes, &d.holderEffects)
			d.holderEffects.Crashes = append(d.holderEffects.Crashes, crashes...)
		}))
		require.Eventually(t, func() bool {
			_, err := d.disk.Read(memoryFile)
			return err == nil
		}, memoryWriteInterval/2, time.Millisecond, "not written before the next regular write")
	})
	restarted := newTestConductor(t, folder)
	assert.Equal(t, crashes, restarted.holder.Crashes(restarted.startedAt))
}

// TestOddEntriesOfMemoryFile guards against a VM that can hold no upstream after a restart, since one
// entry of its file can't be true, and against an entry that makes it forget the others.
func TestOddEntriesOfMemoryFile(t *testing.T) {
	folder := t.TempDir()
	d := newTestConductor(t, folder)
	sound := holder.Notice{Upstream: testUpstream(1), Token: 7 << 12}
	memory := encodeMemory([]holder.Notice{sound}, nil, nil)
	for name, change := range map[string]func(u *wire.UpstreamReport){
		"highest token":     func(u *wire.UpstreamReport) { u.Token = math.MaxUint64 },
		"born too late":     func(u *wire.UpstreamReport) { u.Born = math.MaxInt64 },
		"born too early":    func(u *wire.UpstreamReport) { u.Born = math.MinInt64 },
		"port out of range": func(u *wire.UpstreamReport) { u.Address = "10.0.0.1:99999" },
		"no port":           func(u *wire.UpstreamReport) { u.Address = "10.0.0.1:0" },
		"this VM":           func(u *wire.UpstreamReport) { u.Address = "0.0.0.0:80" },
		"endless clock":     func(u *wire.UpstreamReport) { u.Clock = math.MaxInt64 },
		"thousands of labels": func(u *wire.UpstreamReport) {
			u.Labels = make([]string, 9000)
		},
	} {
		odd := encodeNotice(&sound)
		odd.Id = name
		change(odd)
		memory.Upstreams = append(memory.Upstreams, odd)
	}
	require.NoError(t, d.writeMemory(memory))
	restarted := newTestConductor(t, folder)
	notices := restarted.holder.Notices()
	require.Len(t, notices, 1, "an entry that can't be true is kept")
	assert.Equal(t, "u", notices[0].Upstream.ID)
}
