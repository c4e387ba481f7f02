package messenger

import (
	"time"

	"bronzedrift.example/bronzedrift/internal/dispatcher"
	"bronzedrift.example/bronzedrift/internal/messenger/wire"
	"bronzedrift.example/bronzedrift/internal/router"
	"bronzedrift.example/bronzedrift/internal/scheduler"
)

// encode converts a dispatcher message to a wire message.
func encode(m *dispatcher.Message) *wire.Message {
	switch {
	case m.Grant != nil:
		return &wire.Message{Body: &wire.Message_Grant{Grant: encodeGrant(m.Grant)}}
	case m.Release != nil:
		return &wire.Message{Body: &wire.Message_Release{Release: encodeRelease(m.Release)}}
	case m.Demand != nil:
		return &wire.Message{Body: &wire.Message_Demand{Demand: encodeDemand(m.Demand)}}
	case m.Withdraw != nil:
		return &wire.Message{Body: &wire.Message_Withdraw{Withdraw: &wire.Withdraw{
			Job: m.Withdraw.Job, Count: int64(m.Withdraw.Count), DataCentre: m.Withdraw.DataCentre,
		}}}
	case m.Forward != nil:
		return &wire.Message{Body: &wire.Message_Forward{Forward: &wire.Forward{
			Request: m.Forward.Request, Hops: int32(m.Forward.Hops),
			Job: encodeJob(m.Forward.Job), JoinOnly: m.Forward.JoinOnly, Within: int64(m.Forward.TimeLeft), Received: unixNano(m.Forward.Received),
		}}}
	case m.Reply != nil:
		return &wire.Message{Body: &wire.Message_Reply{Reply: &wire.Reply{
			Request: m.Reply.Request, Answer: encodeAnswer(m.Reply.Answer),
		}}}
	case m.Query != nil:
		return &wire.Message{Body: &wire.Message_Query{Query: &wire.Query{
			Request: m.Query.Request, Hops: int32(m.Query.Hops), Kind: int32(m.Query.Kind),
			JobId: m.Query.JobID, Home: m.Query.Home,
		}}}
	}
	return encodeControl(m)
}

func encodeControl(m *dispatcher.Message) *wire.Message {
	switch {
	case m.Hello != nil:
		return &wire.Message{Body: &wire.Message_Hello{Hello: &wire.Hello{
			Vm: m.Hello.VM, Started: m.Hello.Started.UnixNano(), Draining: m.Hello.Draining,
		}}}
	case m.Announce != nil:
		return &wire.Message{Body: &wire.Message_Announce{Announce: encodeUpstream(m.Announce)}}
	case m.Verdict != nil:
		return &wire.Message{Body: &wire.Message_Verdict{Verdict: encodeVerdict(m.Verdict)}}
	case m.Admission != nil:
		return &wire.Message{Body: &wire.Message_Admitted{Admitted: &wire.Admission{
			Job: m.Admission.Job, Ok: m.Admission.OK, RetryAfter: int64(m.Admission.RetryAfter),
		}}}
	case m.Settlement != nil:
		return &wire.Message{Body: &wire.Message_Settle{Settle: encodeSettlement(*m.Settlement)}}
	case m.Holdings != nil:
		return &wire.Message{Body: &wire.Message_Holdings{Holdings: encodeHoldings(m.Holdings)}}
	case m.Load != nil:
		return &wire.Message{Body: &wire.Message_Load{Load: encodeLoad(m.Load)}}
	}
	return nil
}

func encodeShape(s scheduler.Shape) *wire.Shape {
	return &wire.Shape{
		Slots: int64(s.Slots), MilliCores: s.MilliCores,
		MemoryBytes: s.MemoryBytes, Accelerators: int64(s.Accelerators),
	}
}

func encodeGrant(g *scheduler.Grant) *wire.Grant {
	return &wire.Grant{
		Job: g.Job, Upstream: g.Upstream, Team: g.Team,
		Shape: encodeShape(g.Shape), Expected: int64(g.Expected), Slope: g.Slope,
	}
}

func encodeRelease(r *scheduler.Release) *wire.Release {
	return &wire.Release{
		Upstream: r.Upstream, Team: r.Team, Service: r.Service, Shape: encodeShape(r.Shape),
		Declared: int64(r.DeclaredRunTime), Elapsed: int64(r.Elapsed), Outcome: int32(r.Outcome),
	}
}

func encodeDemand(d *scheduler.Demand) *wire.Demand {
	return &wire.Demand{
		Job: d.Job, Team: d.Team, Service: d.Service, Shape: encodeShape(d.Shape),
		Count: int64(d.Count), Declared: int64(d.DeclaredRunTime), Arrival: unixNano(d.Arrival), Admit: d.AdmissionOnly, Work: int64(d.Work), DataCentre: d.DataCentre,
	}
}

func encodeUpstream(u *dispatcher.Upstream) *wire.Upstream {
	capabilities := make([]string, len(u.Capabilities))
	for i, c := range u.Capabilities {
		capabilities[i] = string(c)
	}
	return &wire.Upstream{
		Name: u.Name, Address: u.Address.String(), DataCentre: u.DataCentre, Rack: u.Rack,
		Capacity: encodeShape(u.Capacity), Services: u.Services, Capabilities: capabilities,
		Leaving: u.Leaving, Started: unixNano(u.MemorySince), Announced: unixNano(u.Announced),
	}
}

func encodeVerdict(v *router.Verdict) *wire.Verdict {
	return &wire.Verdict{Kind: string(v.Kind), Name: v.Name, Down: v.Down, Sequence: v.Sequence}
}

func encodeJob(j *dispatcher.Job) *wire.Job {
	tasks := make([]*wire.Task, len(j.Tasks))
	for i := range j.Tasks {
		t := &j.Tasks[i]
		tasks[i] = &wire.Task{Payload: t.Payload, Shape: encodeShape(t.Shape), Declared: int64(t.DeclaredRunTime)}
	}
	return &wire.Job{
		Id: j.ID, Submitted: unixNano(j.Submitted), Team: j.Team, Service: j.Service, Home: j.Home,
		Repeatable: j.Repeatable, Timeout: int64(j.Timeout), Tasks: tasks, Digest: j.Digest,
	}
}

func encodeAnswer(a *dispatcher.Answer) *wire.Answer {
	return &wire.Answer{
		JobId: a.JobID, Home: a.Home, Outcome: string(a.Outcome), Ran: string(a.Ran),
		Reason: string(a.Reason), Message: a.Message, RetryAfter: int64(a.RetryAfter), Results: a.Results,
	}
}

func encodeSettlement(s dispatcher.Settlement) *wire.Settlement {
	return &wire.Settlement{Team: s.Team, Count: int64(s.Count), DataCentre: s.DataCentre}
}

func encodeHoldings(h *dispatcher.Holdings) *wire.Holdings {
	w := &wire.Holdings{DataCentre: h.DataCentre}
	for _, l := range h.Leases {
		w.Leases = append(w.Leases, &wire.Lease{Upstream: l.Upstream, Team: l.Team, Shape: encodeShape(l.Shape)})
	}
	for _, s := range h.Admitted {
		w.Admitted = append(w.Admitted, encodeSettlement(s))
	}
	return w
}

func encodeLoad(r *dispatcher.LoadReport) *wire.LoadReport {
	w := &wire.LoadReport{DataCentre: r.DataCentre}
	for _, s := range r.Services {
		w.Services = append(w.Services, &wire.ServiceLoad{
			Service: s.Service, Slots: int64(s.Slots), FreeSlots: int64(s.FreeSlots),
			Waiting: int64(s.Waiting), Wait: int64(s.ExpectedWait),
		})
	}
	for _, t := range r.Teams {
		w.Teams = append(w.Teams, &wire.TeamLoad{Team: t.Team, Demanded: t.RecentDemand})
	}
	return w
}

// unixNano returns nanoseconds since the epoch; the zero time is 0.
func unixNano(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}
