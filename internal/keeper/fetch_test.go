package keeper

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bronzedrift.example/bronzedrift/internal/configurer"
	"bronzedrift.example/bronzedrift/internal/messenger/wire"
	"bronzedrift.example/bronzedrift/internal/recorder"
	"bronzedrift.example/bronzedrift/internal/replicator"
)

// newTestEntry returns the Keeper of a VM without the state role at a version, and the
// messages that it sends.
func newTestEntry(t *testing.T, version uint64) (k *Keeper, sent map[string][]*wire.StateMessage, now *time.Time) {
	t.Helper()
	sent = map[string][]*wire.StateMessage{}
	clock := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	k, err := New(Config{VM: "entry", Timing: replicator.DefaultTiming(), Now: func() time.Time { return clock }}, Handlers{
		Send:      func(vm string, m *wire.StateMessage) { sent[vm] = append(sent[vm], m) },
		Broadcast: func(*wire.StateMessage) {}, Activate: func(configurer.Configuration) {}, Event: func(recorder.Event) {},
	})
	require.NoError(t, err)
	k.active = configurer.Configuration{Version: version, Text: []byte("text")}
	return k, sent, &clock
}

func asked(sent map[string][]*wire.StateMessage) (vms []string) {
	for vm, messages := range sent {
		for _, m := range messages {
			if m.GetWants() {
				vms = append(vms, vm)
			}
		}
	}
	return vms
}

func configuration(from string, version uint64, text string) input {
	return input{from: from, message: &wire.StateMessage{Configuration: &wire.Configuration{Version: version, Text: []byte(text)}}}
}

const stateVMs = 6

// TestOneCopyOfTheConfiguration covers a large configuration that all state VMs have and an
// entry with a narrow link: it must not receive a copy from each of them, nor at each of
// their heartbeats.
func TestOneCopyOfTheConfiguration(t *testing.T) {
	// hear handles heartbeats of all state VMs, with version 7, for a time.
	hear := func(k *Keeper, now *time.Time, d time.Duration) {
		for end := now.Add(d); now.Before(end); *now = now.Add(tickInterval) {
			if now.UnixMilli()%100 == 0 {
				for i := range stateVMs {
					k.fetcher.add(*now, fmt.Sprint("state", i), 7, k.active.Version)
				}
			}
			k.tick()
		}
	}
	t.Run("the leader pushes", func(t *testing.T) {
		k, sent, now := newTestEntry(t, 6)
		hear(k, now, pushGrace-tickInterval)
		k.handle(configuration("state0", 7, "large"))
		hear(k, now, 2*fetchTimeout)
		assert.Empty(t, asked(sent), "asked for what was pushed")
	})
	t.Run("the push is lost", func(t *testing.T) {
		k, sent, now := newTestEntry(t, 6)
		hear(k, now, pushGrace+fetchTimeout)
		require.Len(t, asked(sent), 1)
		k.handle(configuration("state0", 7, "large"))
		assert.EqualValues(t, 7, k.active.Version)
		hear(k, now, 2*fetchTimeout)
		assert.Len(t, asked(sent), 1)
	})
	t.Run("the first VM does not answer", func(t *testing.T) {
		k, sent, now := newTestEntry(t, 6)
		hear(k, now, pushGrace+2*fetchTimeout)
		assert.Len(t, asked(sent), 2)
		assert.Len(t, sent, 2, "the same VM was asked again")
	})
	t.Run("all but one VM end", func(t *testing.T) {
		k, sent, now := newTestEntry(t, 6)
		hear(k, now, pushGrace+tickInterval)
		first := asked(sent)[0]
		for end := now.Add(2 * fetchTimeout); now.Before(end); *now = now.Add(tickInterval) {
			k.fetcher.add(*now, "alive", 7, k.active.Version)
			k.tick()
		}
		// The order of asked varies, so that all requests are compared and not the first ones.
		assert.ElementsMatch(t, []string{first, "alive", "alive"}, asked(sent), "VMs that are silent were asked")
	})
	t.Run("no version yet", func(t *testing.T) {
		k, sent, now := newTestEntry(t, 0)
		hear(k, now, 2*tickInterval)
		assert.Len(t, asked(sent), 1, "waited for a push")
	})
}
