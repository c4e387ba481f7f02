package conductor

import (
	"time"

	"bronzedrift.example/bronzedrift/internal/forwarder"
	"bronzedrift.example/bronzedrift/internal/holder"
	"bronzedrift.example/bronzedrift/internal/messenger/wire"
	"bronzedrift.example/bronzedrift/internal/quarantiner"
	"bronzedrift.example/bronzedrift/internal/tracker"
)

func encodeHeartbeat(h *tracker.Heartbeat) *wire.Pulse {
	w := &wire.Pulse{
		DataCentre: h.DataCentre, IsState: h.IsState, Leaving: h.IsLeaving, Ready: h.IsReady, Configuration: h.Configuration,
		Evacuations: h.Evacuations,
	}
	for i := range h.Neighbours {
		w.Neighbours = append(w.Neighbours, encodeNeighbour(&h.Neighbours[i]))
	}
	if h.Load.TotalMilliCores == 0 && len(h.Load.Pending) == 0 && !h.Load.IsEvacuated {
		return w
	}
	w.Load = &wire.HolderLoad{
		FreeMilliCores: h.Load.FreeMilliCores, TotalMilliCores: h.Load.TotalMilliCores,
		Backlog: int64(h.Load.Backlog), Racks: h.Load.Racks, Pending: map[string]uint32{},
		Evacuated: h.Load.IsEvacuated, ShedLevel: float64(h.Load.ShedLevel),
	}
	for _, n := range h.Load.FreeSlots {
		w.Load.Places = append(w.Load.Places, uint32(n))
	}
	for route, n := range h.Load.Pending {
		w.Load.Pending[route] = uint32(n)
	}
	return w
}

func encodeNeighbour(n *tracker.Neighbour) *wire.Neighbour {
	return &wire.Neighbour{
		Vm: n.VM, Incarnation: n.Incarnation, DataCentre: n.DataCentre, HeardAgo: int64(n.HeartbeatAge), Leaving: n.IsLeaving,
		IsState: n.IsState, Relayed: n.IsRelayed,
	}
}

func encodeOrder(o *holder.Order) *wire.JobOrder {
	w := &wire.JobOrder{
		Id: o.ID, Request: o.Request, Attempt: uint32(o.Attempt), Route: o.Route, Service: o.Service, Spec: o.Spec,
		MaxAttempts: uint32(o.MaxAttempts), Objective: int64(o.Objective), Remaining: int64(o.Remaining),
		Priority: int32(o.Priority), AcceptLate: o.AcceptLate,
		Part: uint32(o.Part), First: uint32(o.First), Force: o.Force, Origin: o.Origin,
	}
	for _, s := range o.Steps {
		step := &wire.JobStep{
			Count: uint32(s.Count), MilliCores: s.Needs.MilliCores, MemoryMb: s.Needs.MemoryMB,
			Accelerators: s.Needs.Accelerators, Estimate: int64(s.Estimate), Label: s.Label, DataRack: s.DataRack,
			PerUpstream: uint32(s.PerUpstream),
		}
		for _, a := range s.After {
			step.After = append(step.After, uint32(a))
		}
		w.Steps = append(w.Steps, step)
	}
	return w
}

func encodeAnswer(a *holder.Answer) *wire.JobAnswer {
	return &wire.JobAnswer{
		Id: a.ID, Attempt: uint32(a.Attempt), Outcome: int32(a.Outcome), Started: a.Started, Wait: int64(a.Wait), Reason: a.Reason,
		Part: uint32(a.Part),
	}
}

func encodeCancel(c *forwarder.Cancel) *wire.JobCancel {
	return &wire.JobCancel{Id: c.ID, Part: uint32(c.Part), Attempt: uint32(c.Attempt), Everywhere: c.AllParts}
}

func encodeNotice(n *holder.Notice) *wire.UpstreamReport {
	u := &n.Upstream
	return &wire.UpstreamReport{
		Id: u.ID, Service: u.Service, Address: u.Address.String(), DataCentre: u.DataCentre, Rack: u.Rack, Labels: u.Labels,
		MilliCores: u.Capacity.MilliCores, MemoryMb: u.Capacity.MemoryMB, Accelerators: u.Capacity.Accelerators,
		State: int32(u.State), Born: encodeTime(u.StartedAt), Sequence: u.Sequence, Clock: int64(u.Clock),
		Holder: n.Holder, Token: n.Token,
	}
}

func encodeCancellations(now time.Time, list []holder.Cancellation) *wire.CancelReport {
	w := &wire.CancelReport{}
	for _, c := range list {
		w.Jobs = append(w.Jobs, &wire.CancelledJob{Id: c.JobID, Age: int64(now.Sub(c.At))})
	}
	return w
}

// encodeCrashes returns the report of losses and crashes that is sent, or if sent is zero
// stored, at a time.
func encodeCrashes(sent time.Time, losses []quarantiner.Loss, crashes []quarantiner.Crash) *wire.CrashReport {
	w := &wire.CrashReport{Sent: encodeTime(sent)}
	for i := range losses {
		l := &losses[i]
		w.Losses = append(w.Losses, &wire.Loss{
			Upstream: l.Upstream, Born: encodeTime(l.StartedAt), Earliest: encodeTime(l.Earliest), Latest: encodeTime(l.Latest),
			Jobs: l.Jobs, LoneTask: l.LoneTask, TakenBack: l.IsTakenBack,
		})
	}
	for i := range crashes {
		c := &crashes[i]
		w.Crashes = append(w.Crashes, &wire.Crash{
			Task: c.Task, Kind: c.Kind, Upstream: c.Upstream, Born: encodeTime(c.StartedAt), Alone: c.IsAlone, Latest: c.IsLatest,
		})
	}
	return w
}

func encodeTime(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}
