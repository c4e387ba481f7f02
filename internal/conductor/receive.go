package conductor

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"bronzedrift.example/bronzedrift/internal/holder"
	"bronzedrift.example/bronzedrift/internal/messenger"
	"bronzedrift.example/bronzedrift/internal/messenger/wire"
	"bronzedrift.example/bronzedrift/internal/recorder"
	"bronzedrift.example/bronzedrift/internal/tracker"
)

// receive takes a message of another VM.
func (d *Conductor) receive(from string, number uint64, r *wire.Relay) {
	d.put(func(now time.Time) {
		if number <= d.closedTo {
			return
		}
		delay := d.delay(now, number, r)
		switch origin, target := r.GetOrigin(), r.GetTarget(); {
		case target == "":
			d.handle(now, from, "", delay, r)
		case target == d.config.Inner.String():
			d.handle(now, origin, from, delay+lateHop, r)
		default:
			d.passOn(now, from, delay, r)
		}
	})
}

// delay returns by how much a message was later than the fastest of its session.
func (d *Conductor) delay(now time.Time, number uint64, r *wire.Relay) time.Duration {
	offset := time.Duration(now.UnixNano() - r.GetSentAt())
	s := d.sessions[number]
	if s == nil {
		s = &session{offset: offset}
		d.sessions[number] = s
	}
	s.usedAt = now
	s.offset = min(s.offset, offset)
	return offset - s.offset
}

// handle takes a message of the VM from, which came over the VM via if that is not
// empty.
func (d *Conductor) handle(now time.Time, from, via string, delay time.Duration, r *wire.Relay) {
	switch b := r.GetBody().(type) {
	case *wire.Relay_Pulse:
		d.hear(now, from, via, r.GetIncarnation(), delay, b.Pulse)
	case *wire.Relay_Order:
		d.takeOrder(now, from, r.GetIncarnation(), delay, b.Order)
	case *wire.Relay_Cancel:
		c := decodeCancel(b.Cancel)
		d.cancel(now, from, c)
	case *wire.Relay_Answer:
		d.forwarder.Answer(now, from, decodeAnswer(b.Answer), &d.forwardOut)
	case *wire.Relay_Report:
		notice, err := decodeNotice(b.Report)
		if err != nil {
			d.refuseMessage(from, err)
			return
		}
		d.holder.Notice(now, from, notice, &d.holderOut)
	case *wire.Relay_ReleaseUpstream:
		d.holder.Handover(now, from, b.ReleaseUpstream.GetId(), b.ReleaseUpstream.GetToken(), &d.holderOut)
	}
}

func (d *Conductor) refuseMessage(from string, err error) {
	d.event(recorder.Event{Number: recorder.LinkRefused, Peer: from, Text: err.Error(), Task: recorder.NoTask})
}

// hear takes a heartbeat. One that was long under way says nothing of now.
func (d *Conductor) hear(now time.Time, from, via, incarnation string, delay time.Duration, w *wire.Pulse) {
	if delay > lateOrder {
		return
	}
	h := decodeHeartbeat(from, incarnation, w)
	news := d.peers.Hear(now, h, via)
	d.tell(now, from)
	for _, vm := range news.Found {
		d.link(vm)
	}
	if len(news.Found) > 0 {
		d.publishStateVMs()
	}
	if news.HasRestarted {
		d.holder.HolderLost(from)
	}
	if !h.IsState {
		// The chain of leases counts from when the heartbeat was sent.
		d.holder.Hear(now.Add(-delay), from, incarnation, &d.holderOut)
	}
	if h.Configuration > d.version.Load() {
		d.keeper.Want(from)
	}
}

// link opens a link to a state VM that was learnt.
func (d *Conductor) link(vm string) {
	inner, err := netip.ParseAddrPort(vm)
	if err != nil {
		d.refuseMessage(vm, err)
		return
	}
	d.messenger.AddPeer(messenger.Peer{VM: vm, Inner: inner})
}

// takeOrder takes a job, unless it was so long under way that its entry may have
// given it to another holder.
func (d *Conductor) takeOrder(now time.Time, from, incarnation string, delay time.Duration, w *wire.JobOrder) {
	o, err := decodeOrder(w)
	if err != nil {
		d.refuseMessage(from, err)
		return
	}
	if delay > lateOrder {
		d.holder.SubmitUnlessNew(now, from, o, "the order came late", &d.holderOut)
		return
	}
	if len(d.inputs) > maxBehind {
		d.holder.SubmitUnlessNew(now, from, o, "this VM is behind with its work", &d.holderOut)
		return
	}
	d.holder.Hear(now.Add(-delay), from, incarnation, &d.holderOut)
	d.holder.Submit(now, from, o, &d.holderOut)
}

// peerUp is called by a link that was opened.
func (d *Conductor) peerUp(vm string) {
	d.event(recorder.Event{Number: recorder.LinkUp, Peer: vm, Task: recorder.NoTask})
	d.keeper.PeerUp(vm)
	d.put(func(now time.Time) {
		if !d.config.IsState {
			d.forwarder.PeerUp(now, vm, &d.forwardOut)
		}
		d.untold[vm] = true
		d.tell(now, vm)
		h := d.heartbeat(now)
		d.send(now, vm, &wire.Relay{Body: &wire.Relay_Pulse{Pulse: encodeHeartbeat(&h)}})
	})
}

// tell sends a VM on a new link what it may have missed of upstreams, once it is known
// what VM that is: a state VM all, an entry those of its data centre. Of entries only
// what they hold themselves is of use to others.
func (d *Conductor) tell(now time.Time, vm string) {
	peer := d.peers.Peer(vm)
	if !d.untold[vm] || peer == nil {
		return
	}
	delete(d.untold, vm)
	for _, n := range noticesFor(peer, d.config.IsState, d.holder.Notices()) {
		d.send(now, vm, &wire.Relay{Body: &wire.Relay_Report{Report: encodeNotice(&n)}})
	}
}

// noticesFor returns the notices that are of use to a VM on a new link.
func noticesFor(peer *tracker.Peer, isState bool, notices []holder.Notice) []holder.Notice {
	var list []holder.Notice
	for _, n := range notices {
		isOfUse := peer.IsState || peer.DataCentre == n.Upstream.DataCentre
		if isOfUse && (isState || n.Holder != "") {
			list = append(list, n)
		}
	}
	return list
}

func (d *Conductor) sendState(vm string, m *wire.StateMessage) {
	payload, err := proto.Marshal(m)
	if err != nil {
		d.refuseMessage(vm, err)
		return
	}
	d.messenger.SendLog(vm, payload)
}

// spreadState sends to the state VMs; entries hear of a new version by heartbeat
// and are sent it by the leader at once.
func (d *Conductor) spreadState(m *wire.StateMessage) {
	if !d.config.IsState {
		return
	}
	d.put(func(time.Time) {
		for _, vm := range d.peers.Known() {
			p := d.peers.Peer(vm)
			if p.IsState || m.GetConfiguration() != nil {
				d.sendState(vm, m)
			}
		}
	})
}

func (d *Conductor) receiveState(from string, payload []byte) {
	m := &wire.StateMessage{}
	if err := proto.Unmarshal(payload, m); err != nil {
		d.refuseMessage(from, err)
		return
	}
	d.keeper.Receive(from, m)
}
