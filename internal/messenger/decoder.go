package messenger

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"bronzedrift.example/bronzedrift/internal/dispatcher"
	"bronzedrift.example/bronzedrift/internal/messenger/wire"
	"bronzedrift.example/bronzedrift/internal/router"
	"bronzedrift.example/bronzedrift/internal/scheduler"
	"bronzedrift.example/bronzedrift/internal/validator"
)

// decode converts a wire message to a dispatcher message. A message of an unknown
// kind, which a newer version may send, is an error.
func decode(w *wire.Message) (dispatcher.Message, error) {
	switch b := w.GetBody().(type) {
	case *wire.Message_Grant:
		return dispatcher.Message{Grant: decodeGrant(b.Grant)}, nil
	case *wire.Message_Release:
		return dispatcher.Message{Release: decodeRelease(b.Release)}, nil
	case *wire.Message_Demand:
		return dispatcher.Message{Demand: decodeDemand(b.Demand)}, nil
	case *wire.Message_Withdraw:
		return dispatcher.Message{Withdraw: &dispatcher.Withdraw{
			Job: b.Withdraw.GetJob(), Count: int(b.Withdraw.GetCount()), DataCentre: b.Withdraw.GetDataCentre(),
		}}, nil
	case *wire.Message_Forward:
		return dispatcher.Message{Forward: &dispatcher.Forward{
			Request: b.Forward.GetRequest(), Hops: int(b.Forward.GetHops()),
			Job: decodeJob(b.Forward.GetJob()), JoinOnly: b.Forward.GetJoinOnly(), TimeLeft: time.Duration(b.Forward.GetWithin()), Received: fromUnixNano(b.Forward.GetReceived()),
		}}, nil
	case *wire.Message_Reply:
		return dispatcher.Message{Reply: &dispatcher.ForwardReply{
			Request: b.Reply.GetRequest(), Answer: decodeAnswer(b.Reply.GetAnswer()),
		}}, nil
	case *wire.Message_Query:
		return dispatcher.Message{Query: &dispatcher.Query{
			Request: b.Query.GetRequest(), Hops: int(b.Query.GetHops()),
			Kind: dispatcher.QueryKind(b.Query.GetKind()), JobID: b.Query.GetJobId(), Home: b.Query.GetHome(),
		}}, nil
	}
	return decodeControl(w)
}

func decodeControl(w *wire.Message) (dispatcher.Message, error) {
	switch b := w.GetBody().(type) {
	case *wire.Message_Hello:
		return dispatcher.Message{Hello: &dispatcher.Hello{
			VM: b.Hello.GetVm(), Started: fromUnixNano(b.Hello.GetStarted()), Draining: b.Hello.GetDraining(),
		}}, nil
	case *wire.Message_Announce:
		u, err := decodeUpstream(b.Announce)
		return dispatcher.Message{Announce: u}, err
	case *wire.Message_Verdict:
		return dispatcher.Message{Verdict: &router.Verdict{
			Kind: router.SubjectKind(b.Verdict.GetKind()), Name: b.Verdict.GetName(),
			Down: b.Verdict.GetDown(), Sequence: b.Verdict.GetSequence(),
		}}, nil
	case *wire.Message_Admitted:
		return dispatcher.Message{Admission: &dispatcher.Admission{
			Job: b.Admitted.GetJob(), OK: b.Admitted.GetOk(), RetryAfter: time.Duration(b.Admitted.GetRetryAfter()),
		}}, nil
	case *wire.Message_Settle:
		s := decodeSettlement(b.Settle)
		return dispatcher.Message{Settlement: &s}, nil
	case *wire.Message_Holdings:
		return dispatcher.Message{Holdings: decodeHoldings(b.Holdings)}, nil
	case *wire.Message_Load:
		return dispatcher.Message{Load: decodeLoad(b.Load)}, nil
	}
	return dispatcher.Message{}, fmt.Errorf("messenger: message of unknown kind %T", w.GetBody())
}

func decodeShape(s *wire.Shape) scheduler.Shape {
	return scheduler.Shape{
		Slots: int(s.GetSlots()), MilliCores: s.GetMilliCores(),
		MemoryBytes: s.GetMemoryBytes(), Accelerators: int(s.GetAccelerators()),
	}
}

func decodeGrant(g *wire.Grant) *scheduler.Grant {
	return &scheduler.Grant{
		Job: g.GetJob(), Upstream: g.GetUpstream(), Team: g.GetTeam(),
		Shape: decodeShape(g.GetShape()), Expected: time.Duration(g.GetExpected()), Slope: g.GetSlope(),
	}
}

func decodeRelease(r *wire.Release) *scheduler.Release {
	return &scheduler.Release{
		Upstream: r.GetUpstream(), Team: r.GetTeam(), Service: r.GetService(), Shape: decodeShape(r.GetShape()),
		DeclaredRunTime: time.Duration(r.GetDeclared()), Elapsed: time.Duration(r.GetElapsed()),
		Outcome: scheduler.Outcome(r.GetOutcome()),
	}
}

func decodeDemand(d *wire.Demand) *scheduler.Demand {
	return &scheduler.Demand{
		Job: d.GetJob(), Team: d.GetTeam(), Service: d.GetService(), Shape: decodeShape(d.GetShape()),
		Count: int(d.GetCount()), DeclaredRunTime: time.Duration(d.GetDeclared()),
		Arrival: fromUnixNano(d.GetArrival()), AdmissionOnly: d.GetAdmit(), Work: time.Duration(d.GetWork()), DataCentre: d.GetDataCentre(),
	}
}

// errInvalidUpstream is returned for an announcement with a value that none can have.
var errInvalidUpstream = errors.New("messenger: invalid upstream")

// decodeUpstream decodes an announcement. A peer of another version may have accepted more than this one.
func decodeUpstream(u *wire.Upstream) (*dispatcher.Upstream, error) {
	address, err := netip.ParseAddrPort(u.GetAddress())
	if err != nil {
		return nil, fmt.Errorf("%w %q: %w", errInvalidUpstream, u.GetName(), err)
	}
	announced, since := fromUnixNano(u.GetAnnounced()), fromUnixNano(u.GetStarted())
	switch {
	case !validator.IsName(u.GetName()):
		return nil, fmt.Errorf("%w: name", errInvalidUpstream)
	case !validator.IsDialable(address):
		return nil, fmt.Errorf("%w %q: address %s", errInvalidUpstream, u.GetName(), address)
	case !validator.IsStartTime(announced, since):
		return nil, fmt.Errorf("%w %q: start time", errInvalidUpstream, u.GetName())
	}
	capabilities := make([]dispatcher.Capability, len(u.GetCapabilities()))
	for i, c := range u.GetCapabilities() {
		capabilities[i] = dispatcher.Capability(c)
	}
	return &dispatcher.Upstream{
		Name: u.GetName(), Address: address, DataCentre: u.GetDataCentre(), Rack: u.GetRack(),
		Capacity: decodeShape(u.GetCapacity()), Services: u.GetServices(), Capabilities: capabilities,
		Leaving: u.GetLeaving(), MemorySince: since, Announced: announced,
	}, nil
}

func decodeJob(j *wire.Job) *dispatcher.Job {
	tasks := make([]dispatcher.Task, len(j.GetTasks()))
	for i, t := range j.GetTasks() {
		tasks[i] = dispatcher.Task{
			Payload: t.GetPayload(), Shape: decodeShape(t.GetShape()), DeclaredRunTime: time.Duration(t.GetDeclared()),
		}
	}
	return &dispatcher.Job{
		ID: j.GetId(), Submitted: fromUnixNano(j.GetSubmitted()), Team: j.GetTeam(), Service: j.GetService(),
		Home: j.GetHome(), Repeatable: j.GetRepeatable(), Timeout: time.Duration(j.GetTimeout()),
		Tasks: tasks, Digest: j.GetDigest(),
	}
}

func decodeAnswer(a *wire.Answer) *dispatcher.Answer {
	return &dispatcher.Answer{
		JobID: a.GetJobId(), Home: a.GetHome(), Outcome: dispatcher.Outcome(a.GetOutcome()),
		Ran: dispatcher.Ran(a.GetRan()), Reason: dispatcher.Reason(a.GetReason()), Message: a.GetMessage(),
		RetryAfter: time.Duration(a.GetRetryAfter()), Results: a.GetResults(),
	}
}

func decodeSettlement(s *wire.Settlement) dispatcher.Settlement {
	return dispatcher.Settlement{Team: s.GetTeam(), Count: int(s.GetCount()), DataCentre: s.GetDataCentre()}
}

func decodeHoldings(h *wire.Holdings) *dispatcher.Holdings {
	d := &dispatcher.Holdings{DataCentre: h.GetDataCentre()}
	for _, l := range h.GetLeases() {
		d.Leases = append(d.Leases, dispatcher.Lease{
			Upstream: l.GetUpstream(), Team: l.GetTeam(), Shape: decodeShape(l.GetShape()),
		})
	}
	for _, s := range h.GetAdmitted() {
		d.Admitted = append(d.Admitted, decodeSettlement(s))
	}
	return d
}

func decodeLoad(r *wire.LoadReport) *dispatcher.LoadReport {
	d := &dispatcher.LoadReport{DataCentre: r.GetDataCentre()}
	for _, s := range r.GetServices() {
		d.Services = append(d.Services, scheduler.Load{
			Service: s.GetService(), Slots: int(s.GetSlots()), FreeSlots: int(s.GetFreeSlots()),
			Waiting: int(s.GetWaiting()), ExpectedWait: time.Duration(s.GetWait()),
		})
	}
	for _, t := range r.GetTeams() {
		d.Teams = append(d.Teams, dispatcher.TeamLoad{Team: t.GetTeam(), RecentDemand: t.GetDemanded()})
	}
	return d
}

// fromUnixNano converts nanoseconds since the epoch; 0 is the zero time.
func fromUnixNano(ns int64) time.Time {
	if ns == 0 {
		return time.Time{}
	}
	return time.Unix(0, ns)
}
