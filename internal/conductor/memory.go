package conductor

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"bronzedrift.example/bronzedrift/internal/holder"
	"bronzedrift.example/bronzedrift/internal/messenger/wire"
	"bronzedrift.example/bronzedrift/internal/quarantiner"
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
	// memorySaveTimeout is shorter than upstreams wait for an acknowledgement.
	memorySaveTimeout = 700 * time.Millisecond
	// memoryRequestQueueSize is the number of requests that may wait for one write.
	memoryRequestQueueSize = 64
)

// persistMemory writes the known upstreams and VMs to the data folder when they change,
// and at once on a request of saveMemory.
func (d *Conductor) persistMemory(ctx context.Context) error {
	ticker := time.NewTicker(memoryWriteInterval)
	defer ticker.Stop()
	written := uint64(0)
	for {
		var requests []chan struct{}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case r := <-d.memoryRequests:
			requests = append(requests, r)
		}
		// One write serves all requests made before it.
		for n := len(d.memoryRequests); n > 0; n-- {
			requests = append(requests, <-d.memoryRequests)
		}
		var notices []holder.Notice
		var vms []tracker.Neighbour
		var losses []quarantiner.Loss
		var crashes []quarantiner.Crash
		if !d.enqueueAndWait(ctx, func(now time.Time) {
			notices, vms = d.holder.Notices(), d.peers.All()
			losses, crashes = d.holder.Losses(now), d.holder.Crashes(now)
		}) {
			continue
		}
		memory := encodeMemory(notices, vms, encodeCrashes(time.Time{}, losses, crashes))
		if fingerprint := memoryFingerprint(memory); fingerprint != written && len(notices)+len(vms)+len(crashes) > 0 {
			if err := d.writeMemory(memory); err != nil {
				d.recordEvent(recorder.Event{Number: recorder.DiskRefused, Text: err.Error(), Task: recorder.NoTask})
				continue
			}
			written = fingerprint
		}
		for _, r := range requests {
			close(r)
		}
	}
}

// requestMemoryWrite asks for a write without waiting for it.
func (d *Conductor) requestMemoryWrite() {
	if d.disk == nil {
		return
	}
	select {
	case d.memoryRequests <- make(chan struct{}):
	default:
		// A write is about to take place.
	}
}

// saveMemory waits until what is known now is on the disk, at most for memorySaveTimeout: an
// upstream that gets no acknowledgement reports again.
func (d *Conductor) saveMemory(ctx context.Context) error {
	if d.disk == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, memorySaveTimeout)
	defer cancel()
	saved := make(chan struct{})
	select {
	case d.memoryRequests <- saved:
	case <-ctx.Done():
		return fmt.Errorf("conductor: saving the known upstreams: %w", ctx.Err())
	}
	select {
	case <-saved:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("conductor: saving the known upstreams: %w", ctx.Err())
	}
}

// encodeMemory returns the message to store. It has upstreams that drain or have left as well,
// so that a restarted VM does not use them again and tells others.
func encodeMemory(notices []holder.Notice, vms []tracker.Neighbour, crashes *wire.CrashReport) *wire.Memory {
	memory := &wire.Memory{Crashes: crashes}
	for i := range notices {
		memory.Upstreams = append(memory.Upstreams, encodeNotice(&notices[i]))
	}
	for i := range vms {
		memory.Vms = append(memory.Vms, encodeNeighbour(&vms[i]))
	}
	return memory
}

// memoryFingerprint changes with the VMs and upstreams, but not with each heartbeat.
func memoryFingerprint(memory *wire.Memory) uint64 {
	sum := uint64(len(memory.GetUpstreams()))<<32 + uint64(len(memory.GetVms()))
	for _, u := range memory.GetUpstreams() {
		sum += hash(fmt.Sprint(u.GetId(), u.GetAddress(), u.GetBorn(), u.GetToken(), u.GetState(), u.GetService(), u.GetDataCentre(),
			u.GetRack(), u.GetLabels(), u.GetMilliCores(), u.GetMemoryMb(), u.GetAccelerators()))
	}
	for _, vm := range memory.GetVms() {
		sum += hash(vm.GetVm())
	}
	for _, c := range memory.GetCrashes().GetCrashes() {
		sum += hash(fmt.Sprint(c.GetTask(), c.GetUpstream(), c.GetBorn()))
	}
	for _, l := range memory.GetCrashes().GetLosses() {
		sum += hash(fmt.Sprint("loss", l.GetUpstream(), l.GetBorn(), l.GetEarliest(), l.GetLatest()))
	}
	return sum
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
		d.disk.SyncFolder,
	} {
		if err := step(); err != nil {
			// The replicated log may need the room.
			_ = d.disk.Remove(memoryTempFile)
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
	for _, w := range memory.GetUpstreams() {
		notice, err := decodeNotice(d.startedAt, w)
		if err != nil {
			d.recordInvalidMessage(memoryFile, err)
			continue
		}
		d.holder.Restore(d.startedAt, notice)
	}
	if losses, err := decodeLosses(d.startedAt, memory.GetCrashes()); err != nil {
		d.recordInvalidMessage(memoryFile, err)
	} else {
		d.holder.HandleLosses(d.startedAt, losses)
	}
	if crashes, err := decodeCrashes(memory.GetCrashes()); err != nil {
		d.recordInvalidMessage(memoryFile, err)
	} else {
		var unused holder.Effects
		d.holder.HandleCrashes(d.startedAt, crashes, &unused)
	}
	for _, w := range memory.GetVms() {
		d.peers.Restore(d.startedAt, decodeNeighbour(w))
		d.restoredVMs = append(d.restoredVMs, w.GetVm())
		d.openLink(w.GetVm())
	}
}
