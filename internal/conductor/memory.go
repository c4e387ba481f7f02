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
	// memoryFile and memoryNew hold the upstreams and VMs that were last known. They
	// save a VM that lost its memory the time until all have reported again, and
	// promise nothing: each upstream is asked before it is used, each VM dialled.
	memoryFile = "upstreams"
	memoryNew  = "upstreams.new"
	// rememberEvery is the pause between two writes.
	rememberEvery = 2 * time.Second
)

// remember writes the known upstreams and VMs to the data folder when they change.
func (d *Conductor) remember(ctx context.Context) error {
	ticker := time.NewTicker(rememberEvery)
	defer ticker.Stop()
	last := ""
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		var notices []holder.Notice
		var vms []tracker.Neighbour
		d.inspect(ctx, func(time.Time) { notices, vms = d.holder.Notices(), d.peers.All() })
		list, key := encodeMemory(notices, vms)
		if key == last || len(notices)+len(vms) == 0 {
			continue
		}
		if err := d.writeMemory(list); err != nil {
			d.event(recorder.Event{Number: recorder.DiskRefused, Text: err.Error(), Task: recorder.NoTask})
			continue
		}
		last = key
	}
}

// encodeMemory returns what is to be kept, and what tells a change.
func encodeMemory(notices []holder.Notice, vms []tracker.Neighbour) (*wire.Memory, string) {
	list := &wire.Memory{}
	key := uint64(0)
	for i := range notices {
		u := &notices[i].Upstream
		if u.State != holder.Ready {
			continue
		}
		list.Upstreams = append(list.Upstreams, encodeNotice(&notices[i]))
		key += hash(u.ID + u.Address.String() + u.Born.String())
	}
	for i := range vms {
		list.Vms = append(list.Vms, encodeNeighbour(&vms[i]))
		key += hash(vms[i].VM)
	}
	return list, fmt.Sprint(len(list.GetUpstreams()), len(list.GetVms()), key)
}

func (d *Conductor) writeMemory(list *wire.Memory) error {
	data, err := proto.Marshal(list)
	if err != nil {
		return fmt.Errorf("conductor: memory: %w", err)
	}
	// What an earlier attempt left is not there most of the time.
	_ = d.disk.Remove(memoryNew)
	for _, step := range []func() error{
		func() error { return d.disk.Append(memoryNew, data) },
		func() error { return d.disk.Sync(memoryNew) },
		func() error { return d.disk.Rename(memoryNew, memoryFile) },
	} {
		if err := step(); err != nil {
			return fmt.Errorf("conductor: memory: %w", err)
		}
	}
	return nil
}

// recall learns the upstreams of an earlier life of this VM, and dials the VMs: entries
// that wait for a state VM need not find it first.
func (d *Conductor) recall(disk *storer.Disk) {
	data, err := disk.Read(memoryFile)
	if err != nil {
		// A new disk has no such file.
		return
	}
	list := &wire.Memory{}
	if err := proto.Unmarshal(data, list); err != nil {
		d.event(recorder.Event{Number: recorder.LogTailCut, Text: "memory: " + err.Error(), Task: recorder.NoTask})
		return
	}
	var out holder.Effects
	for _, w := range list.GetUpstreams() {
		notice, err := decodeNotice(w)
		if err != nil {
			continue
		}
		notice.Upstream.Clock = 0
		notice.Holder, notice.Token = "", 0
		d.holder.Notice(d.startedAt, d.config.Inner.String(), notice, &out)
	}
	for _, w := range list.GetVms() {
		d.peers.Recall(d.startedAt, decodeNeighbour(w))
		d.recalled = append(d.recalled, w.GetVm())
		d.link(w.GetVm())
	}
}
