package keeper

import (
	"maps"
	"slices"
	"sync"
	"time"

	"bronzedrift.example/bronzedrift/internal/messenger/wire"
)

// pushRetryInterval is the pause between two repeats of dropped pushes: each encodes the
// configuration anew.
const pushRetryInterval = time.Second

// droppedPushes holds the VMs that miss a push since their link had no room for it.
type droppedPushes struct {
	mu  sync.Mutex
	vms map[string]bool
	// repeatedAt belongs to the Keeper's goroutine.
	repeatedAt time.Time
}

func (d *droppedPushes) add(vm string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.vms == nil {
		d.vms = map[string]bool{}
	}
	d.vms[vm] = true
}

// take removes and returns the VMs to which pushes are due again.
func (d *droppedPushes) take(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.vms) == 0 || now.Sub(d.repeatedAt) < pushRetryInterval {
		return nil
	}
	vms := slices.Sorted(maps.Keys(d.vms))
	d.vms, d.repeatedAt = nil, now
	return vms
}

// IsPush reports whether a message is a push. A VM without a replica gets it only once.
func IsPush(m *wire.StateMessage) bool {
	return m.GetConfiguration() != nil || m.GetEvacuations() != nil
}

// PushDropped notes that the link to a VM had no room for a push, so that what is in force is
// sent again. It may be called by any goroutine and by the handlers.
func (k *Keeper) PushDropped(vm string) { k.droppedPushes.add(vm) }

// push sends the active version and the evacuations to a VM.
func (k *Keeper) push(vm string) {
	k.sendEvacuations(vm)
	if k.active.Version > 0 {
		k.handlers.Send(vm, &wire.StateMessage{Configuration: encodeConfiguration(k.active)})
	}
}

// repeatPushes sends what is in force to the VMs that miss it.
func (k *Keeper) repeatPushes(now time.Time) {
	for _, vm := range k.droppedPushes.take(now) {
		k.push(vm)
	}
}
