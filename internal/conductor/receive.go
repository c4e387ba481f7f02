package conductor

import (
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"bronzedrift.example/bronzedrift/internal/holder"
	"bronzedrift.example/bronzedrift/internal/messenger"
	"bronzedrift.example/bronzedrift/internal/messenger/wire"
	"bronzedrift.example/bronzedrift/internal/recorder"
	"bronzedrift.example/bronzedrift/internal/tracker"
)

// receive handles a message for this VM, or relays one for another VM.
func (d *Conductor) receive(from string, sessionNumber uint64, r *wire.Relay) {
	d.enqueue(messageInput, func(now time.Time) {
		if sessionNumber <= d.lastClosedSession {
			return
		}
		delay := d.messageDelay(now, sessionNumber, r)
		switch origin, target := r.GetOrigin(), r.GetTarget(); {
		case target == "":
			d.handle(now, from, "", delay, r)
		case target == d.config.Inner.String():
			// The first hop was delayed by at most maxHopDelay, or the relay would have dropped it.
			d.handle(now, origin, from, delay+maxHopDelay, r)
		default:
			d.relay(now, from, delay, r)
		}
	})
}

// messageDelay returns by how much a message took longer than the fastest one of its
// session.
func (d *Conductor) messageDelay(now time.Time, sessionNumber uint64, r *wire.Relay) time.Duration {
	offset := time.Duration(now.UnixNano() - r.GetSentAt())
	s := d.sessions[sessionNumber]
	if s == nil {
		s = &session{minOffset: offset}
		d.sessions[sessionNumber] = s
	}
	s.lastUsedAt = now
	s.minOffset = min(s.minOffset, offset)
	return offset - s.minOffset
}

// handle processes a message of the VM from. If it was relayed, via is the relaying VM.
func (d *Conductor) handle(now time.Time, from, via string, delay time.Duration, r *wire.Relay) {
	switch b := r.GetBody().(type) {
	case *wire.Relay_Pulse:
		d.receiveHeartbeat(now, from, via, r.GetIncarnation(), delay, b.Pulse)
	case *wire.Relay_Order:
		d.receiveOrder(now, from, r.GetIncarnation(), delay, b.Order)
	case *wire.Relay_Cancel:
		c := decodeCancel(b.Cancel)
		d.cancel(now, from, c)
	case *wire.Relay_Cancelled:
		d.forwarder.CancelConfirmed(now, from, b.Cancelled.GetId(), &d.forwarderEffects)
	case *wire.Relay_Answer:
		answer, err := decodeAnswer(b.Answer)
		if err != nil {
			d.recordInvalidMessage(from, err)
			return
		}
		answer.Incarnation = r.GetIncarnation()
		d.forwarder.Answer(now, from, answer, &d.forwarderEffects)
	case *wire.Relay_Report:
		notice, err := decodeNotice(now, b.Report)
		if err != nil {
			d.recordInvalidMessage(from, err)
			return
		}
		d.holder.HandleNotice(now, from, notice, &d.holderEffects)
	case *wire.Relay_ReleaseUpstream:
		d.holder.Handover(now, from, b.ReleaseUpstream.GetId(), b.ReleaseUpstream.GetToken(), &d.holderEffects)
	case *wire.Relay_Cancellations:
		d.holder.HandleCancellations(now, from, decodeCancellations(now, b.Cancellations), &d.holderEffects)
	case *wire.Relay_Crashes:
		crashes, err := decodeCrashes(b.Crashes)
		if err != nil {
			d.recordInvalidMessage(from, err)
			return
		}
		losses, err := decodeLosses(now, b.Crashes)
		if err != nil {
			d.recordInvalidMessage(from, err)
			return
		}
		d.holder.HandleLosses(now, losses)
		d.holder.HandleCrashes(now, crashes, &d.holderEffects)
	}
}

func (d *Conductor) recordInvalidMessage(from string, err error) {
	d.recordEvent(recorder.Event{Number: recorder.LinkRefused, Peer: from, Text: err.Error(), Task: recorder.NoTask})
}

// receiveHeartbeat processes a heartbeat. One that was delayed for long is ignored, since
// it no longer describes the state of its sender.
func (d *Conductor) receiveHeartbeat(now time.Time, from, via, incarnation string, delay time.Duration, w *wire.Pulse) {
	if delay > maxMessageDelay {
		return
	}
	h := decodeHeartbeat(from, incarnation, w)
	result := d.peers.HandleHeartbeat(now, h, via)
	d.syncPeer(now, from)
	for _, vm := range result.Found {
		d.openLink(vm)
	}
	if len(result.Found) > 0 {
		d.publishStateVMs()
	}
	if result.HasRestarted {
		d.holder.HolderLost(from)
	}
	if !h.IsState {
		// Leases count from the time at which the heartbeat was sent.
		d.holder.EntrySeen(now.Add(-delay), from, incarnation, &d.holderEffects)
	}
	if h.Configuration > d.version.Load() {
		d.keeper.RequestNewerVersion(from, h.Configuration)
	}
	if h.Evacuations > d.keeper.Evacuations().Revision {
		d.keeper.RequestNewerEvacuations(from, h.Evacuations)
	}
}

// openLink opens a link to another VM.
func (d *Conductor) openLink(vm string) {
	inner, err := netip.ParseAddrPort(vm)
	if err != nil {
		d.recordInvalidMessage(vm, err)
		return
	}
	d.messenger.AddPeer(messenger.Peer{VM: vm, Inner: inner})
}

// receiveOrder submits an order to the holder. If it was delayed for long or this VM is
// overloaded, only a known order is processed and a new one is refused.
func (d *Conductor) receiveOrder(now time.Time, from, incarnation string, delay time.Duration, w *wire.JobOrder) {
	o, err := decodeOrder(w)
	if err != nil {
		d.recordInvalidMessage(from, err)
		return
	}
	if delay > maxMessageDelay {
		d.holder.SubmitKnown(now, from, o, "the order came late", &d.holderEffects)
		return
	}
	if d.inputWait > maxOrderWait {
		d.holder.SubmitKnown(now, from, o, "this VM is behind with its work", &d.holderEffects)
		return
	}
	d.holder.EntrySeen(now.Add(-delay), from, incarnation, &d.holderEffects)
	d.holder.Submit(now, from, o, &d.holderEffects)
}

// peerUp is called when a link is established.
func (d *Conductor) peerUp(vm string) {
	d.recordEvent(recorder.Event{Number: recorder.LinkUp, Peer: vm, Task: recorder.NoTask})
	d.keeper.PeerUp(vm)
	d.enqueue(messageInput, func(now time.Time) {
		if !d.config.IsState {
			d.forwarder.PeerUp(now, vm, &d.forwarderEffects)
		}
		d.unsyncedPeers[vm] = true
		d.syncPeer(now, vm)
		h := d.currentHeartbeat(now)
		d.send(now, vm, &wire.Relay{Body: &wire.Relay_Pulse{Pulse: encodeHeartbeat(&h)}})
	})
}

// syncPeer sends what a VM on a new link may have missed, as soon as the role and the data centre of the
// receiver are known.
func (d *Conductor) syncPeer(now time.Time, vm string) {
	peer := d.peers.Peer(vm)
	if !d.unsyncedPeers[vm] || peer == nil {
		return
	}
	delete(d.unsyncedPeers, vm)
	for _, r := range d.missedBy(now, peer) {
		d.send(now, vm, r)
	}
}

// missedBy returns the notices, cancellations and crashes that a VM on a new link may have missed, or lost
// with its process.
func (d *Conductor) missedBy(now time.Time, peer *tracker.Peer) []*wire.Relay {
	var list []*wire.Relay
	for _, n := range noticesFor(peer, d.config.IsState, d.holder.Notices()) {
		list = append(list, &wire.Relay{Body: &wire.Relay_Report{Report: encodeNotice(&n)}})
	}
	// State VMs know all cancellations that are acknowledged, so that entries need not tell each other.
	if d.config.IsState || peer.IsState {
		for part := range slices.Chunk(d.holder.Cancellations(now), maxReportedCancellations) {
			list = append(list, &wire.Relay{Body: &wire.Relay_Cancellations{Cancellations: encodeCancellations(now, part)}})
		}
	}
	if crashes := d.holder.Crashes(now); len(crashes) > 0 && d.needsCrashes(peer) {
		list = append(list, &wire.Relay{Body: &wire.Relay_Crashes{Crashes: encodeCrashes(now, d.holder.Losses(now), crashes)}})
	}
	return list
}

// maxReportedCancellations keeps a message small, since heartbeats wait behind it.
const maxReportedCancellations = 500

// needsCrashes reports whether a VM may hold upstreams on which the suspects of this one run
// next.
func (d *Conductor) needsCrashes(peer *tracker.Peer) bool {
	return peer.IsState || peer.DataCentre == d.config.DataCentre
}

// noticesFor returns the notices that a VM on a new link needs: a state VM needs all, an
// entry those of its data centre. An entry (isState is false) sends only those of
// upstreams that it holds; others are of no use to the receiver.
func noticesFor(peer *tracker.Peer, isState bool, notices []holder.Notice) []holder.Notice {
	var list []holder.Notice
	for _, n := range notices {
		isRelevant := peer.IsState || peer.DataCentre == n.Upstream.DataCentre
		if isRelevant && (isState || n.Holder != "") {
			list = append(list, n)
		}
	}
	return list
}

func (d *Conductor) sendState(vm string, m *wire.StateMessage) {
	payload, err := proto.Marshal(m)
	if err != nil {
		d.recordInvalidMessage(vm, err)
		return
	}
	d.queueState(vm, m, payload)
}

// queueState queues an encoded message for a VM.
func (d *Conductor) queueState(vm string, m *wire.StateMessage, payload []byte) {
	if m.GetLog() != nil {
		d.messenger.SendLog(vm, payload)
		return
	}
	d.messenger.SendBulk(vm, payload)
}

// broadcastState sends a message to the state VMs. A new version of the configuration and new
// evacuations are sent to the entries too; those that miss them learn of them from heartbeats.
func (d *Conductor) broadcastState(m *wire.StateMessage) {
	if !d.config.IsState {
		return
	}
	payload, err := proto.Marshal(m)
	if err != nil {
		d.recordInvalidMessage(d.config.Inner.String(), err)
		return
	}
	isForAll := m.GetConfiguration() != nil || m.GetEvacuations() != nil
	d.enqueue(messageInput, func(time.Time) {
		for _, vm := range d.peers.Known() {
			if isForAll || d.peers.Peer(vm).IsState {
				d.queueState(vm, m, payload)
			}
		}
	})
}

func (d *Conductor) receiveState(from string, payload []byte) {
	m := &wire.StateMessage{}
	if err := proto.Unmarshal(payload, m); err != nil {
		d.recordInvalidMessage(from, err)
		return
	}
	d.keeper.Receive(from, m)
}
