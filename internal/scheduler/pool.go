package scheduler

import "time"

// pool holds the upstreams of one service, grouped by measured speed, and its waiting
// demands.
type pool struct {
	service     string
	freeMembers [bucketCount][]*poolMember
	usedSlots   [bucketCount]int
	totalSlots  int
	freeSlots   int
	queues      []*teamQueue
	waiting     int
	waitingWork time.Duration
	runTimes    estimator
	// blocked is set after a search that found no slot for a demand. The pool is not searched
	// again until its demands change, a lease is released or an upstream changes.
	blocked bool
}

// teamQueue holds the waiting demands of one team for one service, lowest sort key first.
type teamQueue struct {
	team    *team
	demands demandHeap
}

// team counts the running and waiting tasks of one team in the data centre.
type team struct {
	name    string
	running int
	waiting int
}

func (p *pool) queueOf(t *team) *teamQueue {
	for _, q := range p.queues {
		if q.team == t {
			return q
		}
	}
	q := &teamQueue{team: t}
	p.queues = append(p.queues, q)
	return q
}

// addFree adds a member to the free list of its speed bucket.
func (p *pool) addFree(m *poolMember) {
	m.freeIndex = len(p.freeMembers[m.bucket])
	p.freeMembers[m.bucket] = append(p.freeMembers[m.bucket], m)
}

// removeFree removes a member from the free list of its speed bucket.
func (p *pool) removeFree(m *poolMember) {
	list := p.freeMembers[m.bucket]
	last := len(list) - 1
	list[m.freeIndex] = list[last]
	list[m.freeIndex].freeIndex = m.freeIndex
	list[last] = nil
	p.freeMembers[m.bucket] = list[:last]
	m.freeIndex = noIndex
}

// chooseMember returns the fastest free member with capacity for a task of the demand. It
// returns nil if there is none, or if the task is expected to end earlier by waiting,
// behind all other waiting tasks, for a faster upstream.
func (p *pool) chooseMember(d *demand, patience float64) *poolMember {
	var releaseRate, fastest float64
	for b := range p.freeMembers {
		if m := p.firstFit(b, d.Shape); m != nil {
			if fastest == 0 || !p.isWaitShorter(b, fastest, releaseRate, d.expected, float64(p.waiting)/patience) {
				return m
			}
			return nil
		}
		if p.usedSlots[b] == 0 {
			continue
		}
		if fastest == 0 {
			fastest = bucketSlowdown[b]
		}
		releaseRate += float64(p.usedSlots[b]) / bucketSlowdown[b]
	}
	return nil
}

// maxFitProbes limits how many upstreams of one speed are tried for a shape, and how many
// demands of a team are tried in one search.
const maxFitProbes = 16

func (p *pool) firstFit(bucket int, shape Shape) *poolMember {
	list := p.freeMembers[bucket]
	for i := len(list) - 1; i >= max(0, len(list)-maxFitProbes); i-- {
		u := list[i].upstream
		if u.Capacity.Minus(u.used).Fits(shape) {
			return list[i]
		}
	}
	return nil
}

// isWaitShorter reports whether a task would end earlier by waiting for the given number of
// releases and then running with the slowdown fastest, than by starting now on a free slot
// of this bucket.
func (p *pool) isWaitShorter(bucket int, fastest, releaseRate float64, expected time.Duration, releases float64) bool {
	mean := p.runTimes.predict(0).Seconds()
	if releaseRate == 0 || mean == 0 {
		return false
	}
	wait := releases * mean / releaseRate
	run := expected.Seconds()
	return wait+run*fastest < run*bucketSlowdown[bucket]
}

// expectedWait returns the expected time until a task that arrives now gets a slot.
func (p *pool) expectedWait() time.Duration {
	if p.totalSlots == 0 {
		return 0
	}
	return p.waitingWork / time.Duration(p.totalSlots)
}

func (p *pool) load() Load {
	return Load{
		Service: p.service, Slots: p.totalSlots, FreeSlots: p.freeSlots,
		Waiting: p.waiting, ExpectedWait: p.expectedWait(),
	}
}
