package scheduler

import (
	"slices"
	"sort"
	"time"
)

// Policy configures how a Scheduler orders demands and chooses slots.
type Policy struct {
	// SizeWeight is the weight of a job's remaining work relative to its age in the order
	// of demands. Zero means first come, first served.
	SizeWeight float64
	// Patience divides the expected wait for a faster upstream: the higher it is, the more
	// readily a task waits instead of taking a slow slot. With zero it takes any free slot.
	Patience float64
}

// DefaultPolicy returns the policy used if none is configured.
func DefaultPolicy() Policy {
	return Policy{SizeWeight: 8, Patience: 1}
}

// Grant assigns a slot lease of an upstream to the holder of a demand.
type Grant struct {
	Job      string
	Holder   string
	Upstream string
	Team     string
	Shape    Shape
	// Expected is the expected run time of a task with the declared run time of the demand.
	// For a task that declares r times that, it is Expected times r to the power of Slope.
	Expected time.Duration
	Slope    float64
}

// Release returns a slot lease with the outcome and the run time of its task.
type Release struct {
	Holder          string
	Upstream        string
	Team            string
	Service         string
	Shape           Shape
	DeclaredRunTime time.Duration
	Elapsed         time.Duration
	Outcome         Outcome
}

// Outcome is the result of the task that used a released slot lease.
type Outcome int

// The possible outcomes of a slot lease.
const (
	Unused Outcome = iota
	Succeeded
	Failed
	Refused
)

// Scheduler assigns the slots of one data centre to the demands of its entries. It is not
// safe for concurrent use.
type Scheduler struct {
	policy        Policy
	upstreams     map[string]*upstream
	pools         map[string]*pool
	poolOrder     []*pool
	teams         map[string]*team
	activeQueues  int
	demands       map[demandKey]*demand
	paused        []*upstream
	unusedDemands []*demand
	leases        map[Lease]int
	poolCursor    int
}

type demandKey struct{ holder, job string }

// Lease is a slot lease in use: its holder, upstream, team and size.
type Lease struct {
	Holder   string
	Upstream string
	Team     string
	Shape    Shape
}

// New returns a Scheduler without upstreams.
func New(policy Policy) *Scheduler {
	return &Scheduler{
		policy:    policy,
		upstreams: map[string]*upstream{},
		pools:     map[string]*pool{},
		teams:     map[string]*team{},
		demands:   map[demandKey]*demand{},
		leases:    map[Lease]int{},
	}
}

// Add queues a demand. If the job and holder already have one, its count is increased.
func (s *Scheduler) Add(d Demand) {
	if d.Count <= 0 {
		return
	}
	key := demandKey{d.Holder, d.Job}
	q := s.demands[key]
	if q == nil {
		q = s.newDemand(d)
		s.demands[key] = q
		q.sortKey = s.computeSortKey(q)
		if len(q.queue.demands) == 0 {
			s.activeQueues++
		}
		q.queue.demands.push(q)
		s.addToWaiting(q, q.Count)
		return
	}
	q.Count += d.Count
	s.addToWaiting(q, d.Count)
	q.sortKey = s.computeSortKey(q)
	q.queue.demands.fix(q.heapIndex)
}

// Withdraw removes up to count waiting tasks of a job and returns the number removed.
func (s *Scheduler) Withdraw(holder, job string, count int) int {
	q := s.demands[demandKey{holder, job}]
	if q == nil {
		return 0
	}
	count = min(count, q.Count)
	s.removeWaiting(q, count)
	return count
}

// Next returns the next slot lease to grant, or false if no waiting task can be placed now.
func (s *Scheduler) Next(now time.Time) (Grant, bool) {
	s.resumePaused(now)
	for i := range s.poolOrder {
		p := s.poolOrder[(s.poolCursor+i)%len(s.poolOrder)]
		if p.waiting == 0 || p.blocked {
			continue
		}
		if g, ok := s.grantFromPool(p); ok {
			s.poolCursor++
			return g, true
		}
		p.blocked = true
	}
	return Grant{}, false
}

// Release returns a slot lease to its upstream and updates the upstream's concurrency
// limit, its speed and the run time estimate of the service.
func (s *Scheduler) Release(now time.Time, r Release) {
	if !s.removeLease(Lease{r.Holder, r.Upstream, r.Team, r.Shape}) {
		return
	}
	u := s.upstreams[r.Upstream]
	if u == nil {
		return
	}
	s.recordOutcome(now, u, r)
	s.updateFreeLists(u)
	s.unblockPools()
}

// RestoreLease records a slot lease that was granted before this scheduler took over
// the data centre.
func (s *Scheduler) RestoreLease(l Lease) {
	s.leases[l]++
	s.teamOf(l.Team).running++
	u := s.upstreams[l.Upstream]
	if u == nil {
		return
	}
	s.setUsed(u, u.used.Plus(l.Shape), u.running+1)
	s.updateFreeLists(u)
}

// Announce adds or changes an upstream.
func (s *Scheduler) Announce(a Upstream) {
	u := s.upstreams[a.Name]
	if u == nil {
		u = &upstream{Upstream: Upstream{Name: a.Name, StartedAt: a.StartedAt}, measurements: measurements{limit: newLimit(a.Capacity.Slots)}}
		s.upstreams[a.Name] = u
	}
	s.leavePools(u)
	if !u.StartedAt.Equal(a.StartedAt) {
		s.paused = slices.DeleteFunc(s.paused, func(p *upstream) bool { return p == u })
		u.measurements = measurements{limit: newLimit(a.Capacity.Slots)}
	}
	u.Upstream = a
	u.limit.SetCeiling(max(1, a.Capacity.Slots))
	u.updateOffer()
	s.joinPools(u)
	s.updateFreeLists(u)
	s.unblockPools()
}

// Remove removes an upstream and its leases.
func (s *Scheduler) Remove(name string) {
	u := s.upstreams[name]
	if u == nil {
		return
	}
	for l, count := range s.leases {
		if l.Upstream != name {
			continue
		}
		for range count {
			s.removeLease(l)
		}
	}
	s.leavePools(u)
	delete(s.upstreams, name)
	s.paused = slices.DeleteFunc(s.paused, func(p *upstream) bool { return p == u })
}

// SetDown applies a verdict: no slots of an upstream that is down are granted.
func (s *Scheduler) SetDown(name string, down bool) {
	u := s.upstreams[name]
	if u == nil || u.down == down {
		return
	}
	u.down = down
	s.updateFreeLists(u)
	s.unblockPools()
}

// HasCapacity reports whether any announced upstream of the service has the total capacity
// for a task of the shape.
func (s *Scheduler) HasCapacity(service string, shape Shape) bool {
	for _, u := range s.upstreams {
		if u.Capacity.Fits(shape) && serves(u.Services, service) {
			return true
		}
	}
	return false
}

// WithdrawHolder removes all demands of an entry.
func (s *Scheduler) WithdrawHolder(holder string) {
	for key, d := range s.demands {
		if key.holder == holder {
			s.removeWaiting(d, d.Count)
		}
	}
}

// ReleaseHolder releases all slot leases of an entry.
func (s *Scheduler) ReleaseHolder(holder string) {
	for l, count := range s.leases {
		if l.Holder != holder {
			continue
		}
		for range count {
			s.removeLease(l)
		}
		if u := s.upstreams[l.Upstream]; u != nil {
			s.updateFreeLists(u)
		}
	}
	s.unblockPools()
}

// Holders returns the names of the entries that hold leases or wait for them.
func (s *Scheduler) Holders() []string {
	seen := map[string]bool{}
	for l := range s.leases {
		seen[l.Holder] = true
	}
	for key := range s.demands {
		seen[key.holder] = true
	}
	names := make([]string, 0, len(seen))
	for name := range seen {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Load is the load of one service in a data centre.
type Load struct {
	Service      string
	Slots        int
	FreeSlots    int
	Waiting      int
	ExpectedWait time.Duration
}

// Loads returns the load of each service.
func (s *Scheduler) Loads() []Load {
	loads := make([]Load, 0, len(s.poolOrder))
	for _, p := range s.poolOrder {
		loads = append(loads, p.load())
	}
	return loads
}

// ExpectedRunTime returns the expected run time of a task on an upstream.
func (s *Scheduler) ExpectedRunTime(service, upstreamName string, declared time.Duration) time.Duration {
	p := s.pools[service]
	if p == nil {
		return declared
	}
	expected := p.runTimes.predict(declared)
	if u := s.upstreams[upstreamName]; u != nil {
		for _, member := range u.memberships {
			if member.pool == p {
				return time.Duration(float64(expected) * bucketSlowdown[member.bucket])
			}
		}
	}
	return expected
}

// LoadOf returns the load of one service.
func (s *Scheduler) LoadOf(service string) (Load, bool) {
	p := s.pools[service]
	if p == nil {
		return Load{}, false
	}
	return p.load(), true
}

// Clear removes all demands and leases, but keeps the upstreams.
func (s *Scheduler) Clear() {
	for _, holder := range s.Holders() {
		s.WithdrawHolder(holder)
		s.ReleaseHolder(holder)
	}
}
