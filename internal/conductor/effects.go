package conductor

import (
	"net/netip"
	"time"

	"bronzedrift.example/bronzedrift/internal/forwarder"
	"bronzedrift.example/bronzedrift/internal/holder"
	"bronzedrift.example/bronzedrift/internal/messenger/wire"
	"bronzedrift.example/bronzedrift/internal/recorder"
)

// applyEffects sends the messages, calls and responses of the holder and the forwarder.
func (d *Conductor) applyEffects(now time.Time) {
	h, f := &d.holderEffects, &d.forwarderEffects
	for i := range h.Calls {
		d.callUpstream(h.Calls[i])
	}
	for i := range h.Replies {
		r := h.Replies[i]
		if r.Entry == d.config.Inner.String() {
			d.localMessages = append(d.localMessages, func(now time.Time) { d.forwarder.Answer(now, r.Entry, r.Answer, &d.forwarderEffects) })
			continue
		}
		d.send(now, r.Entry, &wire.Relay{Body: &wire.Relay_Answer{Answer: encodeAnswer(&r.Answer)}})
	}
	d.broadcastNotices(now, h.Notices)
	d.broadcastCrashes(now, h)
	for i := range h.Handovers {
		o := &h.Handovers[i]
		release := &wire.UpstreamRelease{Id: o.Upstream, Token: o.Token}
		d.send(now, o.To, &wire.Relay{Body: &wire.Relay_ReleaseUpstream{ReleaseUpstream: release}})
	}
	d.logDecisions(h.Decisions)
	h.Reset()
	for i := range f.Sends {
		d.forward(now, &f.Sends[i])
	}
	for i := range f.Responses {
		d.respond(f.Responses[i])
	}
	for _, c := range f.Cancellations {
		if w := d.cancelWaiters[c.Waiter]; w != nil {
			delete(d.cancelWaiters, c.Waiter)
			w <- c.IsConfirmed
		}
	}
	d.logDecisions(f.Decisions)
	f.Sends, f.Responses, f.Cancellations, f.Decisions = f.Sends[:0], f.Responses[:0], f.Cancellations[:0], f.Decisions[:0]
}

// broadcastNotices sends each notice to the reachable state VMs and to the reachable
// entries of the upstream's data centre.
func (d *Conductor) broadcastNotices(now time.Time, notices []holder.Notice) {
	if len(notices) == 0 {
		return
	}
	reachable := d.peers.Reachable(now)
	for i := range notices {
		report := encodeNotice(&notices[i])
		for _, p := range reachable {
			if p.IsState || p.DataCentre == notices[i].Upstream.DataCentre {
				d.send(now, p.VM, &wire.Relay{Body: &wire.Relay_Report{Report: report}})
			}
		}
	}
}

// broadcastCrashes sends new losses and crashes to the VMs that may start the tasks again.
func (d *Conductor) broadcastCrashes(now time.Time, h *holder.Effects) {
	if len(h.Crashes) == 0 && len(h.Losses) == 0 {
		return
	}
	if len(h.Crashes) > 0 {
		d.requestMemoryWrite()
	}
	report := encodeCrashes(now, h.Losses, h.Crashes)
	for _, p := range d.peers.Reachable(now) {
		if d.needsCrashes(p) {
			d.send(now, p.VM, &wire.Relay{Body: &wire.Relay_Crashes{Crashes: report}})
		}
	}
}

func (d *Conductor) forward(now time.Time, s *forwarder.Send) {
	if s.To == d.config.Inner.String() {
		d.forwardLocally(s)
		return
	}
	if s.Order != nil {
		d.send(now, s.To, &wire.Relay{Body: &wire.Relay_Order{Order: encodeOrder(s.Order)}})
		return
	}
	d.send(now, s.To, &wire.Relay{Body: &wire.Relay_Cancel{Cancel: encodeCancel(s.Cancel)}})
}

// forwardLocally passes an order or a cancellation to the holder of this VM.
func (d *Conductor) forwardLocally(s *forwarder.Send) {
	self := s.To
	if order := s.Order; order != nil {
		d.localMessages = append(d.localMessages, func(now time.Time) { d.holder.Submit(now, self, *order, &d.holderEffects) })
		return
	}
	cancel := *s.Cancel
	d.localMessages = append(d.localMessages, func(now time.Time) { d.cancel(now, self, cancel) })
}

func (d *Conductor) cancel(now time.Time, entry string, c forwarder.Cancel) {
	if c.AllParts {
		d.holder.CancelJob(now, entry, c.ID, &d.holderEffects)
		if entry == d.config.Inner.String() {
			d.forwarder.CancelConfirmed(now, entry, c.ID, &d.forwarderEffects)
			return
		}
		d.send(now, entry, &wire.Relay{Body: &wire.Relay_Cancelled{Cancelled: &wire.JobCancelled{Id: c.ID}}})
		return
	}
	d.holder.Withdraw(now, entry, c.ID, c.Part, c.Attempt, &d.holderEffects)
}

// callUpstream calls an upstream in a new goroutine. The number of goroutines needs no
// limit here, since leases and free capacity limit the number of calls.
func (d *Conductor) callUpstream(c holder.Call) {
	go func() {
		result := d.handlers.CallUpstream(d.ctx, c)
		d.enqueue(resultInput, func(now time.Time) {
			d.calls.observe(&result)
			d.holder.HandleResult(now, &result, &d.holderEffects)
		})
	}()
}

// UpstreamConnectionEnded is called when an upstream has ended a connection that was perhaps idle.
func (d *Conductor) UpstreamConnectionEnded(upstream netip.AddrPort) {
	d.enqueue(resultInput, func(now time.Time) { d.holder.HandleConnectionEnd(now, upstream) })
}

func (d *Conductor) respond(v forwarder.Response) {
	if c := d.waiters[v.Waiter]; c != nil {
		delete(d.waiters, v.Waiter)
		c <- v
	}
}

// logDecisions counts all decisions and logs those within the log budget.
func (d *Conductor) logDecisions(decisions []holder.Decision) {
	now := d.lastInputAt
	if dropped := d.budget.Dropped(now); dropped != nil {
		d.log.Warn().Interface("by-event", dropped).Msg("lines-left-out")
	}
	for i := range decisions {
		decision := &decisions[i]
		d.metrics.recordDecision(decision)
		if !d.budget.Allow(now, decision.Event, decision.IsFault) {
			continue
		}
		line := d.log.Info()
		if decision.IsFault {
			line = d.log.Warn()
		}
		line = line.Int("event", int(recorder.DecisionNumber(decision.Event)))
		for _, f := range []struct{ key, value string }{
			{"job", decision.Job},
			{"request", decision.Request},
			{"task", decision.Task},
			{"upstream", decision.Upstream},
			{"peer", decision.Peer},
			{"reason", decision.Reason},
			{"evidence", decision.Evidence},
		} {
			if f.value != "" {
				line = line.Str(f.key, f.value)
			}
		}
		if decision.Run > 0 {
			line = line.Int("run", decision.Run)
		}
		if decision.Wait > 0 {
			line = line.Dur("after", decision.Wait)
		}
		if decision.Age > 0 {
			line = line.Dur("age", decision.Age)
		}
		line.Msg(decision.Event)
	}
}

// recordEvent adds an event to the ring and logs it if its kind is logged.
func (d *Conductor) recordEvent(e recorder.Event) {
	d.ring.Add(d.now(), e)
	if !e.Number.IsLogged() {
		return
	}
	line := d.log.Info()
	if e.Number.IsFault() {
		line = d.log.Warn()
	}
	line = line.Int("event", int(e.Number))
	for _, f := range []struct{ key, value string }{{"job", e.Job}, {"peer", e.Peer}, {"text", e.Text}} {
		if f.value != "" {
			line = line.Str(f.key, f.value)
		}
	}
	line.Msg(e.Number.Name())
}
