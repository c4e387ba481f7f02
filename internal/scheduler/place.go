package scheduler

import (
	"math"
	"time"

	"bronzedrift.example/bronzedrift/internal/limiter"
)

// grantFromPool grants a slot to the first demand of a pool for which a free slot is suitable.
func (s *Scheduler) grantFromPool(p *pool) (Grant, bool) {
	q := s.firstQueue(p)
	if q == nil {
		return Grant{}, false
	}
	d := q.demands[0]
	if member := p.chooseMember(d, s.policy.Patience); member != nil {
		return s.issueGrant(d, member), true
	}
	return s.grantBehindFirst(p, q)
}

// grantBehindFirst tries the demands behind the first one, so that a demand that fits no
// free slot, or waits for a faster upstream, does not block the others.
func (s *Scheduler) grantBehindFirst(p *pool, tried *teamQueue) (Grant, bool) {
	for _, q := range p.queues {
		if q == tried || len(q.demands) == 0 {
			continue
		}
		d := q.demands[0]
		if member := p.chooseMember(d, s.policy.Patience); member != nil {
			return s.issueGrant(d, member), true
		}
	}
	for _, d := range tried.demands[1:min(len(tried.demands), maxFitProbes)] {
		if member := p.chooseMember(d, s.policy.Patience); member != nil {
			return s.issueGrant(d, member), true
		}
	}
	return Grant{}, false
}

func (s *Scheduler) issueGrant(d *demand, member *poolMember) Grant {
	u := member.upstream
	g := Grant{
		Job: d.Job, Holder: d.Holder, Upstream: u.Name, Team: d.Team, Shape: d.Shape,
		Expected: time.Duration(float64(d.expected) * bucketSlowdown[member.bucket]),
		Slope:    d.pool.runTimes.slope(),
	}
	s.leases[Lease{d.Holder, u.Name, d.Team, d.Shape}]++
	d.queue.team.running++
	s.setUsed(u, u.used.Plus(d.Shape), u.running+1)
	s.updateFreeLists(u)
	s.removeWaiting(d, 1)
	return g
}

// overSharePenalty is added to the sort key of a team's demands for each fair share of
// the slots that the team uses beyond its own.
const overSharePenalty = time.Second

// firstQueue returns the team queue whose first demand has the lowest sort key, or nil if
// all are empty. Teams that use more than their fair share of the slots are penalised.
func (s *Scheduler) firstQueue(p *pool) *teamQueue {
	var best *teamQueue
	bestKey := int64(math.MaxInt64)
	fairShare := max(1, float64(p.totalSlots)/float64(max(1, s.activeQueues)))
	for _, q := range p.queues {
		if len(q.demands) == 0 {
			continue
		}
		excess := max(0, float64(q.team.running)/fairShare-1)
		key := q.demands[0].sortKey + int64(excess*float64(overSharePenalty))
		if key < bestKey {
			best, bestKey = q, key
		}
	}
	return best
}

// computeSortKey returns the sort key of a demand in nanoseconds: its arrival time plus the
// weighted time that the whole pool would need for its work. The work is that of its
// remaining tasks or, if more, the declared work of the whole job.
func (s *Scheduler) computeSortKey(d *demand) int64 {
	work := float64(d.expected) * float64(d.Count*max(1, d.Shape.Slots))
	work = max(work, float64(d.Work))
	share := work / float64(max(1, d.pool.totalSlots))
	return d.Arrival.UnixNano() + int64(s.policy.SizeWeight*share) - int64(d.expected/longestFirstDivisor)
}

// longestFirstDivisor scales the part of the sort key that puts the demand with longer
// tasks first if two belong to one job.
const longestFirstDivisor = 1000

// removeWaiting removes count tasks from a waiting demand, and the demand once it is empty.
func (s *Scheduler) removeWaiting(d *demand, count int) {
	d.Count -= count
	s.addToWaiting(d, -count)
	if d.Count > 0 {
		d.sortKey = s.computeSortKey(d)
		d.queue.demands.fix(d.heapIndex)
		return
	}
	d.queue.demands.remove(d)
	if len(d.queue.demands) == 0 {
		s.activeQueues--
	}
	delete(s.demands, demandKey{d.Holder, d.Job})
	s.unusedDemands = append(s.unusedDemands, d)
}

func (s *Scheduler) addToWaiting(d *demand, count int) {
	d.pool.waiting += count
	d.pool.waitingWork += time.Duration(count*max(1, d.Shape.Slots)) * d.expected
	d.queue.team.waiting += count
	d.pool.blocked = false
}

func (s *Scheduler) newDemand(d Demand) *demand {
	p := s.poolOf(d.Service)
	q := &demand{}
	if n := len(s.unusedDemands); n > 0 {
		q = s.unusedDemands[n-1]
		s.unusedDemands = s.unusedDemands[:n-1]
	}
	*q = demand{Demand: d, pool: p, expected: p.runTimes.predict(d.DeclaredRunTime)}
	q.queue = p.queueOf(s.teamOf(d.Team))
	return q
}

func (s *Scheduler) poolOf(service string) *pool {
	p := s.pools[service]
	if p == nil {
		p = &pool{service: service}
		s.pools[service] = p
		s.poolOrder = append(s.poolOrder, p)
	}
	return p
}

func (s *Scheduler) teamOf(name string) *team {
	t := s.teams[name]
	if t == nil {
		t = &team{name: name}
		s.teams[name] = t
	}
	return t
}

// removeLease removes a lease and reports whether it existed.
func (s *Scheduler) removeLease(l Lease) bool {
	switch count := s.leases[l]; count {
	case 0:
		return false
	case 1:
		delete(s.leases, l)
	default:
		s.leases[l] = count - 1
	}
	if t := s.teams[l.Team]; t != nil {
		t.running--
	}
	if u := s.upstreams[l.Upstream]; u != nil {
		s.setUsed(u, u.used.Minus(l.Shape), u.running-1)
	}
	return true
}

func (s *Scheduler) unblockPools() {
	for _, p := range s.poolOrder {
		p.blocked = false
	}
}

// setUsed sets the used capacity of an upstream and updates the totals of its pools.
func (s *Scheduler) setUsed(u *upstream, used Shape, running int) {
	usedBefore, freeBefore := u.used.Slots, u.freeSlots()
	u.used, u.running = used, running
	for _, member := range u.memberships {
		member.pool.usedSlots[member.bucket] += used.Slots - usedBefore
		if member.freeIndex != noIndex {
			member.pool.freeSlots += u.freeSlots() - freeBefore
		}
	}
}

// updateFreeLists adds an upstream to the free lists of its pools, or removes it from them,
// according to whether it accepts tasks.
func (s *Scheduler) updateFreeLists(u *upstream) {
	open := u.acceptsTasks()
	for _, member := range u.memberships {
		switch {
		case open && member.freeIndex == noIndex:
			member.pool.addFree(member)
			member.pool.freeSlots += u.freeSlots()
		case !open && member.freeIndex != noIndex:
			member.pool.removeFree(member)
			member.pool.freeSlots -= u.freeSlots()
		}
	}
}

func (s *Scheduler) recordOutcome(now time.Time, u *upstream, r Release) {
	p := s.pools[r.Service]
	if p == nil {
		return
	}
	expected := p.runTimes.predict(r.DeclaredRunTime)
	switch r.Outcome {
	case Succeeded:
		u.limit.RecordSuccess()
		s.raiseOffer(u, p, r, expected)
		s.recordRunTime(u, p, r, expected)
	case Failed, Refused:
		u.limit.RecordFailure(now, expected)
		s.pause(u)
	}
}

func (s *Scheduler) recordRunTime(u *upstream, p *pool, r Release, expected time.Duration) {
	for _, member := range u.memberships {
		if member.pool != p {
			continue
		}
		member.observe(expected, r.Elapsed)
		normalised := time.Duration(float64(r.Elapsed) / math.Exp(member.logSlowdown))
		p.runTimes.observe(r.DeclaredRunTime, normalised)
		s.updateBucket(member)
	}
}

func (s *Scheduler) updateBucket(member *poolMember) {
	bucket := member.speedBucket()
	if bucket == member.bucket {
		return
	}
	free := member.freeIndex != noIndex
	if free {
		member.pool.removeFree(member)
	}
	member.pool.usedSlots[member.bucket] -= member.upstream.used.Slots
	member.bucket = bucket
	member.pool.usedSlots[member.bucket] += member.upstream.used.Slots
	if free {
		member.pool.addFree(member)
	}
}

func (s *Scheduler) pause(u *upstream) {
	if u.paused {
		return
	}
	u.paused = true
	s.paused = append(s.paused, u)
}

// resumePaused makes upstreams available again once their pause after a failure is over.
func (s *Scheduler) resumePaused(now time.Time) {
	for i := 0; i < len(s.paused); {
		u := s.paused[i]
		if now.Before(u.limit.PausedUntil()) {
			i++
			continue
		}
		u.paused = false
		last := len(s.paused) - 1
		s.paused[i] = s.paused[last]
		s.paused = s.paused[:last]
		s.updateFreeLists(u)
		s.unblockPools()
	}
}

func (s *Scheduler) leavePools(u *upstream) {
	for _, member := range u.memberships {
		if member.freeIndex != noIndex {
			member.pool.removeFree(member)
			member.pool.freeSlots -= u.freeSlots()
		}
		member.pool.usedSlots[member.bucket] -= u.used.Slots
		member.pool.totalSlots -= u.offered
	}
}

func (s *Scheduler) joinPools(u *upstream) {
	oldMemberships := u.memberships
	u.memberships = nil
	for _, service := range u.Services {
		p := s.poolOf(service)
		member := memberIn(oldMemberships, p)
		if member == nil {
			member = newPoolMember(u, p)
		}
		u.memberships = append(u.memberships, member)
		p.totalSlots += u.offered
		p.usedSlots[member.bucket] += u.used.Slots
	}
}

func memberIn(members []*poolMember, p *pool) *poolMember {
	for _, member := range members {
		if member.pool == p {
			return member
		}
	}
	return nil
}

func newPoolMember(u *upstream, p *pool) *poolMember {
	m := &poolMember{upstream: u, pool: p, freeIndex: noIndex}
	m.bucket = m.speedBucket()
	return m
}

func newLimit(slots int) limiter.Concurrency {
	return limiter.NewConcurrency(max(1, slots))
}

func serves(services []string, service string) bool {
	for _, s := range services {
		if s == service {
			return true
		}
	}
	return false
}
