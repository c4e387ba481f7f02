package conductor

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bronzedrift.example/bronzedrift/internal/holder"
	"bronzedrift.example/bronzedrift/internal/messenger/wire"
	"bronzedrift.example/bronzedrift/internal/quarantiner"
)

func validOrder() *wire.JobOrder {
	return &wire.JobOrder{Id: "1", Steps: []*wire.JobStep{{Count: 2, MilliCores: 500, Estimate: int64(time.Second)}, {Count: 1, After: []uint32{0}}}}
}

// Figures of another VM that are out of range must neither exhaust the memory nor overflow.
func TestDecodeOrderChecksFigures(t *testing.T) {
	_, err := decodeOrder(validOrder())
	require.NoError(t, err)
	for name, change := range map[string]func(o *wire.JobOrder){
		"no id":              func(o *wire.JobOrder) { o.Id = "" },
		"no steps":           func(o *wire.JobOrder) { o.Steps = nil },
		"no tasks":           func(o *wire.JobOrder) { o.Steps[0].Count = 0 },
		"too many tasks":     func(o *wire.JobOrder) { o.Steps[0].Count = math.MaxUint32 },
		"too many in all":    func(o *wire.JobOrder) { o.Steps[0].Count, o.Steps[1].Count = holder.MaxTasks, 1 },
		"negative need":      func(o *wire.JobOrder) { o.Steps[0].MilliCores = -1 },
		"endless need":       func(o *wire.JobOrder) { o.Steps[0].MemoryMb = math.MaxInt64 },
		"negative estimate":  func(o *wire.JobOrder) { o.Steps[0].Estimate = -1 },
		"endless estimate":   func(o *wire.JobOrder) { o.Steps[0].Estimate = math.MaxInt64 },
		"after itself":       func(o *wire.JobOrder) { o.Steps[1].After = []uint32{1} },
		"after unknown step": func(o *wire.JobOrder) { o.Steps[1].After = []uint32{math.MaxUint32} },
	} {
		t.Run(name, func(t *testing.T) {
			o := validOrder()
			change(o)
			_, err := decodeOrder(o)
			assert.ErrorIs(t, err, ErrInvalidMessage)
		})
	}
}

func TestDecodeNoticeChecksFigures(t *testing.T) {
	valid := func() *wire.UpstreamReport {
		return &wire.UpstreamReport{Id: "u", Address: "10.0.0.1:1", State: int32(holder.Ready), MilliCores: 1000}
	}
	now := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	_, err := decodeNotice(now, valid())
	require.NoError(t, err)
	_, err = decodeNotice(now, &wire.UpstreamReport{Id: "u", Address: "10.0.0.1:1", State: int32(holder.Gone), Sequence: math.MaxUint64})
	require.NoError(t, err, "a departure")
	for name, change := range map[string]func(r *wire.UpstreamReport){
		"no id":             func(r *wire.UpstreamReport) { r.Id = "" },
		"no address":        func(r *wire.UpstreamReport) { r.Address = "" },
		"unknown state":     func(r *wire.UpstreamReport) { r.State = 99 },
		"no state":          func(r *wire.UpstreamReport) { r.State = 0 },
		"negative capacity": func(r *wire.UpstreamReport) { r.MilliCores = -1 },
		"port out of range": func(r *wire.UpstreamReport) { r.Address = "10.0.0.1:99999" },
		"no port":           func(r *wire.UpstreamReport) { r.Address = "10.0.0.1:0" },
		"this VM":           func(r *wire.UpstreamReport) { r.Address = "0.0.0.0:1" },
		"born too late":     func(r *wire.UpstreamReport) { r.Born = math.MaxInt64 },
		"born too early":    func(r *wire.UpstreamReport) { r.Born = math.MinInt64 },
		"endless clock":     func(r *wire.UpstreamReport) { r.Clock = math.MaxInt64 },
		"negative clock":    func(r *wire.UpstreamReport) { r.Clock = -1 },
		"highest sequence":  func(r *wire.UpstreamReport) { r.Sequence = math.MaxUint64 },
		"highest token":     func(r *wire.UpstreamReport) { r.Token = math.MaxUint64 },
		"unreadable id":     func(r *wire.UpstreamReport) { r.Id = "\xff" },
		"many labels":       func(r *wire.UpstreamReport) { r.Labels = make([]string, 9000) },
	} {
		t.Run(name, func(t *testing.T) {
			r := valid()
			change(r)
			_, err := decodeNotice(now, r)
			assert.ErrorIs(t, err, ErrInvalidMessage)
		})
	}
}

// A VM whose heartbeat is said to be younger than now would stay alive after its end.
func TestDecodeNeighbourAge(t *testing.T) {
	assert.Zero(t, decodeNeighbour(&wire.Neighbour{HeardAgo: -int64(time.Hour)}).HeartbeatAge)
}

func TestDecodeCrashes(t *testing.T) {
	crashes := []quarantiner.Crash{
		{Task: "j.0.0.1", Kind: "r", Upstream: "u", StartedAt: time.Unix(5, 0).UTC(), IsAlone: true, IsLatest: true},
		{Task: "k.0.0.1", Upstream: "v"},
	}
	decoded, err := decodeCrashes(encodeCrashes(time.Time{}, nil, crashes))
	require.NoError(t, err)
	assert.Equal(t, crashes, decoded)
	for name, w := range map[string]*wire.Crash{"no task": {Upstream: "u"}, "no upstream": {Task: "t"}} {
		t.Run(name, func(t *testing.T) {
			_, err := decodeCrashes(&wire.CrashReport{Crashes: []*wire.Crash{w}})
			assert.ErrorIs(t, err, ErrInvalidMessage)
		})
	}
}

// TestDecodeLosses guards against losses at one moment that lie apart since the clocks of the
// VMs that noticed them differ.
func TestDecodeLosses(t *testing.T) {
	sent := time.Unix(100, 0).UTC()
	losses := []quarantiner.Loss{
		{Upstream: "u", StartedAt: time.Unix(5, 0).UTC(), Earliest: sent.Add(-time.Second), Latest: sent, Jobs: []string{"j"}, LoneTask: "j.0.0.1"},
		{Upstream: "v", Earliest: sent, Latest: sent, IsTakenBack: true},
	}
	t.Run("stored", func(t *testing.T) {
		decoded, err := decodeLosses(sent.Add(time.Hour), encodeCrashes(time.Time{}, losses, nil))
		require.NoError(t, err)
		assert.Equal(t, losses, decoded)
	})
	t.Run("from a VM whose clock is an hour behind", func(t *testing.T) {
		now := sent.Add(time.Hour)
		decoded, err := decodeLosses(now, encodeCrashes(sent, losses, nil))
		require.NoError(t, err)
		require.Len(t, decoded, 2)
		assert.Equal(t, now.Add(-time.Second), decoded[0].Earliest)
		assert.Equal(t, now, decoded[0].Latest)
	})
	t.Run("no upstream", func(t *testing.T) {
		_, err := decodeLosses(sent, &wire.CrashReport{Losses: []*wire.Loss{{}}})
		assert.ErrorIs(t, err, ErrInvalidMessage)
	})
}
