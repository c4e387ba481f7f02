package conductor

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"bronzedrift.example/bronzedrift/internal/forwarder"
	"bronzedrift.example/bronzedrift/internal/holder"
	"bronzedrift.example/bronzedrift/internal/messenger/wire"
	"bronzedrift.example/bronzedrift/internal/quarantiner"
	"bronzedrift.example/bronzedrift/internal/shedder"
	"bronzedrift.example/bronzedrift/internal/tracker"
)

// ErrInvalidMessage is returned for a malformed message of another VM.
var ErrInvalidMessage = errors.New("conductor: invalid message")

func decodeHeartbeat(vm, incarnation string, w *wire.Pulse) tracker.Heartbeat {
	h := tracker.Heartbeat{
		VM: vm, Incarnation: incarnation, DataCentre: w.GetDataCentre(), IsState: w.GetIsState(),
		IsLeaving: w.GetLeaving(), IsReady: w.GetReady(), Configuration: w.GetConfiguration(), Evacuations: w.GetEvacuations(),
	}
	for _, n := range w.GetNeighbours() {
		h.Neighbours = append(h.Neighbours, decodeNeighbour(n))
	}
	if l := w.GetLoad(); l != nil {
		h.Load = holder.Load{
			FreeMilliCores: l.GetFreeMilliCores(), TotalMilliCores: l.GetTotalMilliCores(),
			Backlog: max(0, time.Duration(l.GetBacklog())), Racks: l.GetRacks(), Pending: map[string]int{},
			IsEvacuated: l.GetEvacuated(), ShedLevel: shedder.Level(l.GetShedLevel()),
		}
		for _, n := range l.GetPlaces() {
			h.Load.FreeSlots = append(h.Load.FreeSlots, int(n))
		}
		for route, n := range l.GetPending() {
			h.Load.Pending[route] = int(n)
		}
	}
	return h
}

func decodeNeighbour(n *wire.Neighbour) tracker.Neighbour {
	return tracker.Neighbour{
		VM: n.GetVm(), Incarnation: n.GetIncarnation(), DataCentre: n.GetDataCentre(),
		HeartbeatAge: max(0, time.Duration(n.GetHeardAgo())), IsLeaving: n.GetLeaving(), IsState: n.GetIsState(),
		IsRelayed: n.GetRelayed(),
	}
}

func decodeOrder(w *wire.JobOrder) (holder.Order, error) {
	o := holder.Order{
		ID: w.GetId(), Request: w.GetRequest(), Attempt: int(w.GetAttempt()), Route: w.GetRoute(), Service: w.GetService(),
		Spec: w.GetSpec(), MaxAttempts: int(w.GetMaxAttempts()), Objective: time.Duration(w.GetObjective()),
		Remaining: time.Duration(w.GetRemaining()), Priority: int(w.GetPriority()), AcceptLate: w.GetAcceptLate(),
		Part: int(w.GetPart()), First: int(w.GetFirst()), Force: w.GetForce(), Origin: w.GetOrigin(),
	}
	tasks := uint64(0)
	for i, s := range w.GetSteps() {
		if tasks += uint64(s.GetCount()); s.GetCount() == 0 || tasks > holder.MaxTasks {
			return o, fmt.Errorf("%w: step %d of an order has no tasks or too many", ErrInvalidMessage, i)
		}
		needs := holder.Capacity{MilliCores: s.GetMilliCores(), MemoryMB: s.GetMemoryMb(), Accelerators: s.GetAccelerators()}
		if !needs.IsValid() || s.GetEstimate() < 0 || s.GetEstimate() > int64(holder.MaxEstimate) {
			return o, fmt.Errorf("%w: a figure of step %d is out of range", ErrInvalidMessage, i)
		}
		step := holder.Step{
			Count:    int(s.GetCount()),
			Needs:    needs,
			Estimate: time.Duration(s.GetEstimate()), Label: s.GetLabel(), DataRack: s.GetDataRack(), PerUpstream: int(s.GetPerUpstream()),
		}
		for _, a := range s.GetAfter() {
			if uint64(a) >= uint64(i) {
				return o, fmt.Errorf("%w: step %d comes after step %d", ErrInvalidMessage, i, a)
			}
			step.After = append(step.After, int(a))
		}
		o.Steps = append(o.Steps, step)
	}
	if o.ID == "" || len(o.Steps) == 0 {
		return o, fmt.Errorf("%w: an order without id or steps", ErrInvalidMessage)
	}
	return o, nil
}

func decodeAnswer(w *wire.JobAnswer) (holder.Answer, error) {
	a := holder.Answer{
		ID: w.GetId(), Attempt: int(w.GetAttempt()), Outcome: holder.Outcome(w.GetOutcome()),
		Started: w.GetStarted(), Wait: max(0, time.Duration(w.GetWait())), Reason: w.GetReason(),
		Part: int(w.GetPart()),
	}
	if a.Outcome < holder.Completed || a.Outcome > holder.Lost {
		return a, fmt.Errorf("%w: outcome %d of job %q", ErrInvalidMessage, a.Outcome, a.ID)
	}
	return a, nil
}

func decodeCancel(w *wire.JobCancel) forwarder.Cancel {
	return forwarder.Cancel{ID: w.GetId(), Part: int(w.GetPart()), Attempt: int(w.GetAttempt()), AllParts: w.GetEverywhere()}
}

// decodeNotice decodes a notice that arrives, or is read from the disk, at a time.
func decodeNotice(now time.Time, w *wire.UpstreamReport) (holder.Notice, error) {
	address, err := netip.ParseAddrPort(w.GetAddress())
	if err != nil {
		return holder.Notice{}, fmt.Errorf("%w: upstream %q: %w", ErrInvalidMessage, w.GetId(), err)
	}
	n := holder.Notice{
		Upstream: holder.Upstream{
			ID: w.GetId(), Service: w.GetService(), Address: address, DataCentre: w.GetDataCentre(), Rack: w.GetRack(),
			Labels: w.GetLabels(), State: holder.State(w.GetState()), StartedAt: decodeTime(w.GetBorn()), Sequence: w.GetSequence(),
			Capacity: holder.Capacity{MilliCores: w.GetMilliCores(), MemoryMB: w.GetMemoryMb(), Accelerators: w.GetAccelerators()},
			Clock:    time.Duration(w.GetClock()),
		},
		Holder: w.GetHolder(), Token: w.GetToken(),
	}
	if err := n.Upstream.Validate(now); err != nil {
		return holder.Notice{}, fmt.Errorf("%w: upstream %q: %w", ErrInvalidMessage, w.GetId(), err)
	}
	if n.Token > holder.MaxToken {
		return holder.Notice{}, fmt.Errorf("%w: upstream %q: token %d", ErrInvalidMessage, w.GetId(), n.Token)
	}
	return n, nil
}

// decodeCancellations decodes a report that arrives at a time.
func decodeCancellations(now time.Time, w *wire.CancelReport) []holder.Cancellation {
	var list []holder.Cancellation
	for _, c := range w.GetJobs() {
		list = append(list, holder.Cancellation{JobID: c.GetId(), At: now.Add(-max(0, time.Duration(c.GetAge())))})
	}
	return list
}

func decodeCrashes(w *wire.CrashReport) ([]quarantiner.Crash, error) {
	var crashes []quarantiner.Crash
	for _, c := range w.GetCrashes() {
		if c.GetTask() == "" || c.GetUpstream() == "" {
			return nil, fmt.Errorf("%w: crash without task or upstream", ErrInvalidMessage)
		}
		crashes = append(crashes, quarantiner.Crash{
			Task: c.GetTask(), Kind: c.GetKind(), Upstream: c.GetUpstream(), StartedAt: decodeTime(c.GetBorn()),
			IsAlone: c.GetAlone(), IsLatest: c.GetLatest(),
		})
	}
	return crashes, nil
}

// decodeLosses returns the losses of a report that arrives at a time. Their times relate to the
// sender's clock.
func decodeLosses(now time.Time, w *wire.CrashReport) ([]quarantiner.Loss, error) {
	offset := time.Duration(0)
	if sent := decodeTime(w.GetSent()); !sent.IsZero() {
		offset = now.Sub(sent)
	}
	var losses []quarantiner.Loss
	for _, l := range w.GetLosses() {
		if l.GetUpstream() == "" {
			return nil, fmt.Errorf("%w: loss without upstream", ErrInvalidMessage)
		}
		losses = append(losses, quarantiner.Loss{
			Upstream: l.GetUpstream(), StartedAt: decodeTime(l.GetBorn()),
			Earliest: time.Unix(0, l.GetEarliest()).Add(offset).UTC(), Latest: time.Unix(0, l.GetLatest()).Add(offset).UTC(),
			Jobs: l.GetJobs(), LoneTask: l.GetLoneTask(), IsTakenBack: l.GetTakenBack(),
		})
	}
	return losses, nil
}

func decodeTime(nanos int64) time.Time {
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos).UTC()
}
