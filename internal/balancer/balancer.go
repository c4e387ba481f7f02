// Package balancer assigns the jobs of an entry to holders, based on digests of their load
// that are up to a heartbeat interval and a link delay old.
package balancer

import (
	"math"
	"math/rand/v2"
	"time"
)

// Digest is the load that a holder reported last, in tasks of the size of the job.
type Digest struct {
	Holder, DataCentre string
	// Age is the time since the digest was made.
	Age time.Duration
	// FreeSlots is the number of tasks that fit now, Total the number that fit when idle.
	FreeSlots, Total int
	// Backlog is the expected time to work through the holder's queue.
	Backlog time.Duration
	// HasData is set if the holder has upstreams in the job's data rack.
	HasData bool
	// SentTasks is the number of tasks that this entry has sent since the digest was made.
	SentTasks int
}

// Request describes a job, or the part of a job that a holder refused.
type Request struct {
	// DataCentre is that of the entry.
	DataCentre string
	Tasks      int
	// RunTime is the estimated run time of a task.
	RunTime time.Duration
	// MaySplit is set if the tasks may run at several holders.
	MaySplit bool
}

// Assignment gives Tasks tasks, starting at index First, to a holder.
type Assignment struct {
	Holder       string
	First, Tasks int
}

// Config holds the settings of a Balancer.
type Config struct {
	// Entries returns the number of entries that assign jobs to the same holders. If it is
	// nil, this entry is the only one.
	Entries func() int
}

// Balancer assigns the jobs of one entry. It is not safe for concurrent use.
type Balancer struct {
	config Config
	random *rand.Rand
	recent recentJobs
	// estimates holds one estimate for each digest during a decision. It is kept to avoid
	// an allocation.
	estimates []estimate
}

// recentJobs holds sums over the recent jobs of this entry, with exponential decay. The jobs
// of the other entries are assumed to be alike.
type recentJobs struct {
	updatedAt time.Time
	// tasks is the number of tasks, squares the sum of its square over the jobs, and
	// squareSeconds the same sum weighted with the run time.
	tasks, squares, squareSeconds float64
}

// estimate is what a holder probably has free when an order arrives there.
type estimate struct {
	// reported is the reported number of free slots without those of the tasks sent since.
	reported int
	// expected is the expected number of free slots, at least 0.
	expected float64
	// fitChance is the probability that all tasks of the job find a free slot.
	fitChance float64
}

const (
	// likelyChance is the probability to fit with which a holder counts as one with room.
	// In the trace, 0.6 leads to 1.9 times as many jobs refused beside room. 0.7 splits 22% of
	// the jobs instead of 8%.
	likelyChance = 0.7
	// possibleChance is the probability to fit below which a holder without a backlog is not
	// preferred to the one with the shortest expected wait.
	possibleChance = 0.1
	// turnoverFactor is the time in which loads lose their correlation, in mean run times.
	// Independent arrivals would give 1. Entries decide on the same digests, which makes
	// loads change faster: in the trace, 1 refuses 2.5 times as many jobs beside room.
	turnoverFactor = 0.5
	// orderDelay is the assumed delay of an order, half the longest link delay. Without it,
	// the trace refuses 1.5 times as many jobs beside room.
	orderDelay = 15 * time.Millisecond
	// recentWindow is the time constant of recentJobs: the mix of jobs changes slowly, and
	// an entry sees only tens of jobs per second.
	recentWindow = 10 * time.Second
	// narrowTasks is the number of tasks up to which a job is split only if no holder reported
	// room. Splitting such jobs earlier costs a second order for each of them and does not
	// reduce refusals in the trace.
	narrowTasks = 2
	// minSplitPercent is the percentage of a job's tasks that must find free slots for the
	// job to be split. Below it, one holder decides on the whole job.
	minSplitPercent = 50
	// localSplitFactor is how many expected free slots per task the own data centre must
	// have for a split job to stay there. With 1, parts take all slots that their holders are
	// expected to have, and the trace refuses 1.3 times as many jobs beside room.
	localSplitFactor = 2
)

// New returns a Balancer whose random choices are determined by the seed.
func New(c Config, seed uint64) *Balancer {
	return &Balancer{config: c, random: rand.New(rand.NewPCG(seed, 0))}
}

// Assign chooses the holders for a job. The result is empty only if there are no digests;
// it has several assignments only if no single holder has room for the job.
func (b *Balancer) Assign(now time.Time, r Request, digests []Digest) []Assignment {
	if len(digests) == 0 {
		return nil
	}
	b.recent.add(now, r)
	b.estimateSlots(r, digests)
	if i := b.drawHolderWithRoom(r, digests); i >= 0 {
		return []Assignment{{Holder: digests[i].Holder, Tasks: r.Tasks}}
	}
	i := b.drawPossibleHolder(digests)
	if i < 0 {
		i = b.shortestWait(r, digests)
	}
	if r.MaySplit && r.Tasks > 1 && !b.keepsTogether(r, digests, i) {
		if parts := b.split(r, digests); parts != nil {
			return parts
		}
	}
	return []Assignment{{Holder: digests[i].Holder, Tasks: r.Tasks}}
}

// keepsTogether reports whether a job goes to holder i undivided although no holder is
// likely to have room: the holder reported enough free slots, and the job is narrow or the
// holder, which has the shortest expected wait then, has a backlog.
func (b *Balancer) keepsTogether(r Request, digests []Digest, i int) bool {
	return b.estimates[i].reported >= r.Tasks && (r.Tasks <= narrowTasks || digests[i].Backlog > 0)
}

func (j *recentJobs) add(now time.Time, r Request) {
	if elapsed := now.Sub(j.updatedAt); elapsed > 0 {
		decay := math.Exp(-float64(elapsed) / float64(recentWindow))
		j.tasks, j.squares, j.squareSeconds = j.tasks*decay, j.squares*decay, j.squareSeconds*decay
		j.updatedAt = now
	}
	n := float64(max(1, r.Tasks))
	j.tasks += n
	j.squares += n * n
	j.squareSeconds += n * n * max(time.Millisecond, r.RunTime).Seconds()
}

// turnover returns the time in which loads lose their correlation. Wide jobs count more,
// since they cause most of the variance of a load.
func (j *recentJobs) turnover() float64 { return turnoverFactor * j.squareSeconds / j.squares }

// burst returns the variance of the number of busy slots per busy slot: 1 if each job had
// one task, more if tasks arrive in bursts.
func (j *recentJobs) burst() float64 { return j.squares / j.tasks }

// estimateSlots estimates the free slots of each holder when an order arrives. Since the
// digest was made, tasks have ended and other entries have sent theirs. Both move the load
// of each holder towards the mean of all, since surplus goes where slots are free, and both
// make it uncertain, at a rate that follows from the run times and widths of recent jobs.
func (b *Balancer) estimateSlots(r Request, digests []Digest) {
	free, total := 0, 0
	for i := range digests {
		free += max(0, digests[i].FreeSlots-digests[i].SentTasks)
		total += digests[i].Total
	}
	meanFree := float64(free) / float64(max(1, total))
	others := b.othersShare()
	turnover, burst := b.recent.turnover(), b.recent.burst()
	b.estimates = b.estimates[:0]
	for i := range digests {
		d := &digests[i]
		reported := d.FreeSlots - d.SentTasks
		correlation := math.Exp(-(max(0, d.Age) + orderDelay).Seconds() / turnover)
		change := (1 - correlation) * (meanFree*float64(d.Total) - float64(reported))
		switch {
		case change < 0:
			change *= others
		case d.Backlog > 0:
			change = 0
		}
		expected := float64(reported) + change
		variance := others * burst * float64(d.Total) * (1 - correlation*correlation)
		b.estimates = append(b.estimates, estimate{
			reported: reported, expected: max(0, expected), fitChance: fitChance(r.Tasks, expected, variance),
		})
	}
}

// othersShare returns the share of the load that other entries send.
func (b *Balancer) othersShare() float64 {
	if b.config.Entries == nil {
		return 0
	}
	n := float64(max(1, b.config.Entries()))
	return (n - 1) / n
}

// fitChance returns the probability that a normally distributed number of free slots is at
// least the number of tasks.
func fitChance(tasks int, mean, variance float64) float64 {
	missing := float64(tasks) - 0.5 - mean
	if variance <= 0 {
		if missing > 0 {
			return 0
		}
		return 1
	}
	return math.Erfc(missing/math.Sqrt(2*variance)) / 2
}

// hasRoom reports whether all tasks of a job fit according to the digest. It says nothing
// about the age of the digest.
func (b *Balancer) hasRoom(r Request, digests []Digest, i int) bool {
	return digests[i].Backlog == 0 && b.estimates[i].reported >= r.Tasks
}

// weight is the expected number of free slots, discounted by the risk that the job does not
// fit. A holder is drawn with probability proportional to it. The minimum of one slot keeps
// the draw spread out when all holders are expected to be full.
func (e *estimate) weight() float64 { return max(1, e.expected) * e.fitChance }

// rank orders the holders: those with upstreams in the data rack first, then those of the
// own data centre.
func rank(r Request, d *Digest) int {
	rank := 0
	if d.HasData {
		rank += 2
	}
	if d.DataCentre == r.DataCentre {
		rank++
	}
	return rank
}

// drawHolderWithRoom returns a holder with room for all tasks, or -1 if no holder is likely
// to have room when the order arrives. It takes the highest rank in which one is likely to,
// and draws among all holders of this rank that reported room: if all entries took only the
// likely ones, they would send their surplus to the same holder.
func (b *Balancer) drawHolderWithRoom(r Request, digests []Digest) int {
	highest := -1
	for i := range digests {
		if b.hasRoom(r, digests, i) && b.estimates[i].fitChance >= likelyChance {
			highest = max(highest, rank(r, &digests[i]))
		}
	}
	if highest < 0 {
		return -1
	}
	chosen, sum := -1, 0.0
	for i := range digests {
		if b.hasRoom(r, digests, i) && rank(r, &digests[i]) == highest {
			chosen, sum = b.draw(chosen, sum, i)
		}
	}
	return chosen
}

// drawPossibleHolder draws among the holders without a backlog where the job has a chance
// to fit, those with upstreams in the data rack first. It returns -1 if there is none.
func (b *Balancer) drawPossibleHolder(digests []Digest) int {
	chosen, sum, hasData := -1, 0.0, false
	for i := range digests {
		d := &digests[i]
		if d.Backlog > 0 || b.estimates[i].fitChance < possibleChance || hasData && !d.HasData {
			continue
		}
		if d.HasData && !hasData {
			chosen, sum, hasData = -1, 0, true
		}
		chosen, sum = b.draw(chosen, sum, i)
	}
	return chosen
}

// draw is one step of a weighted draw: it replaces the chosen holder by holder i with
// probability weight/sum.
func (b *Balancer) draw(chosen int, sum float64, i int) (int, float64) {
	w := b.estimates[i].weight()
	sum += w
	if chosen < 0 || b.random.Float64()*sum < w {
		return i, sum
	}
	return chosen, sum
}

// shortestWait returns the holder with the shortest expected wait for all tasks, among
// those with upstreams in the data rack if there are any. If waits are equal, it prefers
// the own data centre.
func (b *Balancer) shortestWait(r Request, digests []Digest) int {
	best, shortest := 0, b.expectedWait(r, digests, 0)
	for i := 1; i < len(digests); i++ {
		d, other := &digests[i], &digests[best]
		wait := b.expectedWait(r, digests, i)
		isBetter := wait < shortest || wait == shortest && rank(r, d) > rank(r, other)
		if d.HasData != other.HasData {
			isBetter = d.HasData
		}
		if isBetter {
			best, shortest = i, wait
		}
	}
	return best
}

// expectedWait adds to the backlog the time until the missing slots come free, if the slots
// of the holder come free at equal intervals within one run time.
func (b *Balancer) expectedWait(r Request, digests []Digest, i int) time.Duration {
	d, e := &digests[i], &b.estimates[i]
	if d.Total <= 0 {
		return math.MaxInt64
	}
	missing := max(0, float64(r.Tasks)-min(e.expected, float64(e.reported)))
	return d.Backlog + time.Duration(missing/float64(d.Total)*float64(r.RunTime))
}

// split divides a job among the holders in proportion to their expected free slots, within
// the own data centre if it has enough of them. It returns nil if too few tasks find free
// slots.
func (b *Balancer) split(r Request, digests []Digest) []Assignment {
	total, local := 0.0, 0.0
	for i := range digests {
		total += b.estimates[i].expected
		if digests[i].DataCentre == r.DataCentre {
			local += b.estimates[i].expected
		}
	}
	if total*100 < float64(r.Tasks*minSplitPercent) {
		return nil
	}
	isLocal := local >= float64(r.Tasks*localSplitFactor)
	if isLocal {
		total = local
	}
	parts := make([]Assignment, 0, min(len(digests), r.Tasks))
	first, seen := 0, 0.0
	for i := range digests {
		if isLocal && digests[i].DataCentre != r.DataCentre {
			continue
		}
		seen += b.estimates[i].expected
		if next := int(math.Round(float64(r.Tasks) * seen / total)); next > first {
			parts = append(parts, Assignment{Holder: digests[i].Holder, First: first, Tasks: next - first})
			first = next
		}
	}
	return parts
}
