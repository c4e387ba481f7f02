package conductor

import (
	"time"

	"bronzedrift.example/bronzedrift/internal/forwarder"
	"bronzedrift.example/bronzedrift/internal/holder"
	"bronzedrift.example/bronzedrift/internal/messenger/wire"
	"bronzedrift.example/bronzedrift/internal/recorder"
)

// carryOut does what the decisions ask for.
func (d *Conductor) carryOut(now time.Time) {
	h, f := &d.holderOut, &d.forwardOut
	for i := range h.Calls {
		d.call(h.Calls[i])
	}
	for i := range h.Replies {
		r := h.Replies[i]
		if r.Entry == d.config.Inner.String() {
			d.local = append(d.local, func(now time.Time) { d.forwarder.Answer(now, r.Entry, r.Answer, &d.forwardOut) })
			continue
		}
		d.send(now, r.Entry, &wire.Relay{Body: &wire.Relay_Answer{Answer: encodeAnswer(&r.Answer)}})
	}
	d.spreadNotices(now, h.Notices)
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
		d.reply(f.Responses[i])
	}
	d.logDecisions(f.Decisions)
	f.Sends, f.Responses, f.Decisions = f.Sends[:0], f.Responses[:0], f.Decisions[:0]
}

// spreadNotices tells the state VMs, and the entries of an upstream's data centre,
// what is known of it.
func (d *Conductor) spreadNotices(now time.Time, notices []holder.Notice) {
	if len(notices) == 0 {
		return
	}
	heard := d.peers.Heard(now)
	for i := range notices {
		report := encodeNotice(&notices[i])
		for _, p := range heard {
			if p.IsState || p.DataCentre == notices[i].Upstream.DataCentre {
				d.send(now, p.VM, &wire.Relay{Body: &wire.Relay_Report{Report: report}})
			}
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

// forwardLocally hands a job to the holder of this VM.
func (d *Conductor) forwardLocally(s *forwarder.Send) {
	self := s.To
	if order := s.Order; order != nil {
		d.local = append(d.local, func(now time.Time) { d.holder.Submit(now, self, *order, &d.holderOut) })
		return
	}
	cancel := *s.Cancel
	d.local = append(d.local, func(now time.Time) { d.cancel(now, self, cancel) })
}

func (d *Conductor) cancel(now time.Time, entry string, c forwarder.Cancel) {
	if c.Everywhere {
		d.holder.CancelJob(now, entry, c.ID, &d.holderOut)
		return
	}
	d.holder.Withdraw(now, entry, c.ID, c.Part, c.Attempt, &d.holderOut)
}

// call carries out an order to an upstream; leases and room bound their number.
func (d *Conductor) call(c holder.Call) {
	go func() {
		result := d.handlers.CallUpstream(d.ctx, c)
		d.put(func(now time.Time) { d.holder.Result(now, &result, &d.holderOut) })
	}()
}

func (d *Conductor) reply(v forwarder.Response) {
	if c := d.waiters[v.Waiter]; c != nil {
		delete(d.waiters, v.Waiter)
		c <- v
	}
}

// logDecisions writes a line for each decision, within the budget of the log.
func (d *Conductor) logDecisions(decisions []holder.Decision) {
	now := d.lastAt
	if dropped := d.budget.Dropped(now); dropped != nil {
		d.log.Warn().Interface("by-event", dropped).Msg("lines-left-out")
	}
	for i := range decisions {
		c := &decisions[i]
		d.metrics.decided(c)
		if !d.budget.Allow(now, c.Event, c.IsFault) {
			continue
		}
		line := d.log.Info()
		if c.IsFault {
			line = d.log.Warn()
		}
		line = line.Int("event", int(recorder.DecisionNumber(c.Event)))
		for _, f := range []struct{ key, value string }{
			{"job", c.Job}, {"request", c.Request}, {"task", c.Task}, {"upstream", c.Upstream}, {"peer", c.Peer}, {"reason", c.Reason},
		} {
			if f.value != "" {
				line = line.Str(f.key, f.value)
			}
		}
		if c.Run > 0 {
			line = line.Int("run", c.Run)
		}
		if c.Wait > 0 {
			line = line.Dur("after", c.Wait)
		}
		line.Msg(c.Event)
	}
}

// event records an event from outside the decisions.
func (d *Conductor) event(e recorder.Event) {
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
