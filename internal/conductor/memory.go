package conductor

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"bronzedrift.example/bronzedrift/internal/holder"
	"bronzedrift.example/bronzedrift/internal/messenger/wire"
	"bronzedrift.example/bronzedrift/internal/recorder"
	"bronzedrift.example/bronzedrift/internal/storer"
	"bronzedrift.example/bronzedrift/internal/tracker"
)

const (
	// memoryFile holds the last known upstreams and VMs, so that a restarted VM need not
	// wait until all have reported again. Its content may be out of date: each upstream
	// is queried before it is used, and each VM is dialled.
	memoryFile     = "upstreams"
	memoryTempFile = "upstreams.new"
	// memoryWriteInterval is the interval at which changes are looked for and written.
	memoryWriteInterval = 2 * time.Second
)

// persistMemory writes the known upstreams and VMs to the data folder when they change.
func (d *Conductor) persistMemory(ctx context.Context) error {
	ticker := time.NewTicker(memoryWriteInterval)
	defer ticker.Stop()
	lastFingerprint := ""
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		var notices []holder.Notice
		var vms []tracker.Neighbour
		d.enqueueAndWait(ctx, func(time.Time) { notices, vms = d.holder.Notices(), d.peers.All() })
		memory, fingerprint := encodeMemory(notices, vms)
		if fingerprint == lastFingerprint || len(notices)+len(vms) == 0 {
			continue
		}
		if err := d.writeMemory(memory); err != nil {
			d.recordEvent(recorder.Event{Number: recorder.DiskRefused, Text: err.Error(), Task: recorder.NoTask})
			continue
		}
		lastFingerprint = fingerprint
	}
}

// encodeMemory returns the message to store, and a fingerprint that changes with the set of
// VMs and with the IDs, addresses and incarnations of the ready upstreams.
func encodeMemory(notices []holder.Notice, vms []tracker.Neighbour) (*wire.Memory, string) {
	memory := &wire.Memory{}
	checksum := uint64(0)
	for i := range notices {
		u := &notices[i].Upstream
		if u.State != holder.Ready {
			continue
		}
		memory.Upstreams = append(memory.Upstreams, encodeNotice(&notices[i]))
		checksum += hash(u.ID + u.Address.String() + u.StartedAt.String())
	}
	for i := range vms {
		memory.Vms = append(memory.Vms, encodeNeighbour(&vms[i]))
		checksum += hash(vms[i].VM)
	}
	return memory, fmt.Sprint(len(memory.GetUpstreams()), len(memory.GetVms()), checksum)
}

func (d *Conductor) writeMemory(memory *wire.Memory) error {
	data, err := proto.Marshal(memory)
	if err != nil {
		return fmt.Errorf("conductor: encoding the memory file: %w", err)
	}
	// An interrupted write may have left the file; usually it does not exist.
	_ = d.disk.Remove(memoryTempFile)
	for _, step := range []func() error{
		func() error { return d.disk.Append(memoryTempFile, data) },
		func() error { return d.disk.Sync(memoryTempFile) },
		func() error { return d.disk.Rename(memoryTempFile, memoryFile) },
	} {
		if err := step(); err != nil {
			return fmt.Errorf("conductor: writing the memory file: %w", err)
		}
	}
	return nil
}

// restoreMemory loads the upstreams known before a restart and opens links to the known
// VMs, so that entries that wait for a state VM need not find this one first.
func (d *Conductor) restoreMemory(disk *storer.Disk) {
	data, err := disk.Read(memoryFile)
	if err != nil {
		// A new disk has no such file.
		return
	}
	memory := &wire.Memory{}
	if err := proto.Unmarshal(data, memory); err != nil {
		d.recordEvent(recorder.Event{Number: recorder.LogTailCut, Text: "memory: " + err.Error(), Task: recorder.NoTask})
		return
	}
	var out holder.Effects
	for _, w := range memory.GetUpstreams() {
		notice, err := decodeNotice(w)
		if err != nil {
			continue
		}
		notice.Upstream.Clock = 0
		notice.Holder, notice.Token = "", 0
		d.holder.HandleNotice(d.startedAt, d.config.Inner.String(), notice, &out)
	}
	for _, w := range memory.GetVms() {
		d.peers.Restore(d.startedAt, decodeNeighbour(w))
		d.restoredVMs = append(d.restoredVMs, w.GetVm())
		d.openLink(w.GetVm())
	}
}
