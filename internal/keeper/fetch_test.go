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
// entry with a narrow link: it must not receive a copy from each of them, be it after it has
// linked to all or heard of the version in the heartbeats of all.
func TestOneCopyOfTheConfiguration(t *testing.T) {
	t.Run("new links", func(t *testing.T) {
		k, sent, _ := newTestEntry(t, 0)
		for i := range stateVMs {
			k.handle(input{connectedPeer: fmt.Sprint("state", i)})
		}
		require.Equal(t, []string{"state0"}, asked(sent))
		k.handle(configuration("state0", 7, "large"))
		assert.EqualValues(t, 7, k.active.Version)
		assert.Equal(t, []uint64{7}, []uint64{sent["state1"][0].GetWantNewer()}, "the next one is asked for newer versions only")
	})
	t.Run("heartbeats, and the leader pushes", func(t *testing.T) {
		k, sent, now := newTestEntry(t, 6)
		for range 2 {
			for i := range stateVMs {
				k.fetcher.add(*now, fmt.Sprint("state", i), 7, k.active.Version)
				k.fetchNext(*now)
			}
			*now = now.Add(pushGrace / 3)
		}
		k.handle(configuration("state0", 7, "large"))
		*now = now.Add(2 * fetchTimeout)
		k.tick()
		assert.Empty(t, asked(sent), "asked for what was pushed")
	})
	t.Run("heartbeats, and the push is lost", func(t *testing.T) {
		k, sent, now := newTestEntry(t, 6)
		for i := range stateVMs {
			k.fetcher.add(*now, fmt.Sprint("state", i), 7, k.active.Version)
		}
		*now = now.Add(pushGrace)
		k.tick()
		require.Len(t, asked(sent), 1)
		*now = now.Add(fetchTimeout)
		k.tick()
		assert.Len(t, asked(sent), 2, "the next one is asked if the first does not answer")
	})
	t.Run("the first one is behind", func(t *testing.T) {
		k, sent, _ := newTestEntry(t, 0)
		k.handle(input{connectedPeer: "behind"})
		k.handle(input{connectedPeer: "newest"})
		k.handle(configuration("behind", 5, "old"))
		assert.ElementsMatch(t, []string{"behind", "newest"}, asked(sent))
	})
}

// TestReplyToAskingVM: the text is sent only to a VM that has an older version.
func TestReplyToAskingVM(t *testing.T) {
	for name, c := range map[string]struct {
		than uint64
		text string
	}{"older": {6, "text"}, "same": {7, ""}, "newer": {8, ""}} {
		t.Run(name, func(t *testing.T) {
			k, sent, _ := newTestEntry(t, 7)
			k.handle(input{from: "other", message: &wire.StateMessage{Wants: true, WantNewer: c.than}})
			require.Len(t, sent["other"], 1)
			assert.Equal(t, c.text, string(sent["other"][0].GetConfiguration().GetText()))
		})
	}
}
