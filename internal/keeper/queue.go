package keeper

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"bronzedrift.example/bronzedrift/internal/messenger/wire"
	"bronzedrift.example/bronzedrift/internal/recorder"
)

const (
	// maxQueuedBytes bounds the messages of other VMs that wait for the Keeper's goroutine.
	// One larger message is queued while no other waits.
	maxQueuedBytes = 32 << 20
	// dropReportInterval is the shortest time between two reports of dropped inputs.
	dropReportInterval = time.Second
)

// input is one event for the Keeper's goroutine: a message and its sender, a newly
// connected peer, or a function to run.
type input struct {
	from          string
	message       *wire.StateMessage
	connectedPeer string
	run           func(now time.Time)
	// size is the encoded size of the message in bytes.
	size int64
}

// overflow holds inputs that are not repeated and found the queue full: of the newly connected
// peers each once, and of what was pushed the newest. Other VMs push to a VM without a replica
// only once.
type overflow struct {
	mu            sync.Mutex
	peers         map[string]bool
	configuration *input
	evacuations   *input
}

// add keeps an input and reports whether it is of a kind that must not be lost.
func (o *overflow) add(in input) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case in.connectedPeer != "":
		if o.peers == nil {
			o.peers = map[string]bool{}
		}
		o.peers[in.connectedPeer] = true
	case in.message.GetConfiguration() != nil:
		if o.configuration == nil || in.message.GetConfiguration().GetVersion() > o.configuration.message.GetConfiguration().GetVersion() {
			o.configuration = &in
		}
	case in.message.GetEvacuations() != nil:
		if o.evacuations == nil || in.message.GetEvacuations().GetRevision() > o.evacuations.message.GetEvacuations().GetRevision() {
			o.evacuations = &in
		}
	default:
		return false
	}
	return true
}

// take removes and returns all inputs.
func (o *overflow) take() []input {
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []input
	for _, in := range []*input{o.configuration, o.evacuations} {
		if in != nil {
			list = append(list, *in)
		}
	}
	for _, vm := range slices.Sorted(maps.Keys(o.peers)) {
		list = append(list, input{connectedPeer: vm})
	}
	o.peers, o.configuration, o.evacuations = nil, nil, nil
	return list
}

// queueLoad counts what waits for the Keeper's goroutine and what was dropped.
type queueLoad struct {
	bytes   atomic.Int64
	dropped atomic.Uint64
	// reported and reportedAt belong to the Keeper's goroutine.
	reported   uint64
	reportedAt time.Time
}

// QueuedBytes returns the size in bytes of the messages that wait for the Keeper's goroutine.
func (k *Keeper) QueuedBytes() int64 { return k.load.bytes.Load() }

// DroppedInputs returns the number of inputs that were dropped since the Keeper's queue was
// full.
func (k *Keeper) DroppedInputs() uint64 { return k.load.dropped.Load() }

// Receive queues a message from another VM; a response goes to its caller at once. If the queue
// is full, it drops a message that the sender repeats, since the link must go on to deliver
// heartbeats.
func (k *Keeper) Receive(from string, m *wire.StateMessage) {
	if response := m.GetResponse(); response != nil {
		k.requester.receive(response)
		return
	}
	k.offer(input{from: from, message: m, size: int64(proto.Size(m))})
}

// PeerUp sends the active version, the evacuations and this disk's identity to a VM that
// has just connected.
func (k *Keeper) PeerUp(vm string) {
	k.offer(input{connectedPeer: vm})
}

// offer queues an input of another VM without waiting. If the queue is full, the next tick
// handles what is not repeated, and the rest is dropped.
func (k *Keeper) offer(in input) {
	if queued := k.load.bytes.Add(in.size); queued <= maxQueuedBytes || queued == in.size {
		select {
		case k.inputs <- in:
			return
		default:
		}
	}
	k.load.bytes.Add(-in.size)
	if !k.overflow.add(in) {
		k.load.dropped.Add(1)
	}
}

// enqueue queues an input of this VM, and waits while the queue is full.
func (k *Keeper) enqueue(in input) {
	select {
	case k.inputs <- in:
	case <-k.done:
	}
}

// reportDrops reports the inputs that were dropped since the last report.
func (k *Keeper) reportDrops(now time.Time) {
	dropped := k.load.dropped.Load()
	if dropped == k.load.reported || now.Sub(k.load.reportedAt) < dropReportInterval {
		return
	}
	text := fmt.Sprintf("%d, %d bytes wait", dropped-k.load.reported, k.load.bytes.Load())
	k.load.reported, k.load.reportedAt = dropped, now
	k.handlers.Event(recorder.Event{Number: recorder.InputDropped, Text: text, Task: recorder.NoTask})
}
