package quarantiner

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Loss records that one incarnation of an upstream was lost. It was so at some moment from
// Earliest to Latest, on the clock of the VM that keeps the record.
type Loss struct {
	Upstream string
	// StartedAt identifies the incarnation of the upstream.
	StartedAt        time.Time
	Earliest, Latest time.Time
	// Jobs are those with runs there.
	Jobs []string
	// LoneTask is the task that was the only run there, or "". While that is a suspect for other
	// crashes, the loss is no evidence that others have a common cause.
	LoneTask string
	// IsTakenBack is set if the incarnation has answered since.
	IsTakenBack bool
}

const (
	// minCommonLosses is the number of losses from which on they can have a common cause. Two
	// deadly tasks that start at the same time are no such cause.
	minCommonLosses = 3
	// maxChance is the greatest probability that as many losses fit one moment by chance up to
	// which they have a common cause. It is also the share of the crashes of deadly
	// tasks that are excused where many of them run.
	maxChance = 0.01
	// Losses without a common cause are counted over lossHistory before a moment, and over
	// recentHistory, to tell how many fit that moment by chance. The longer time gives the lower
	// rate, the shorter one shows at once that deadly tasks begin to run.
	lossHistory   = 10 * time.Second
	recentHistory = 2 * time.Second
	// evidenceTime is how long a loss is known before it is decided on. Other upstreams that
	// were lost at that moment have been noticed by then: a hold call to a silent one fails
	// after 300 ms.
	evidenceTime = 400 * time.Millisecond
	// maxLosses bounds the number of remembered losses.
	maxLosses = 1024
)

// incarnation identifies an upstream from its start to its end.
type incarnation struct {
	upstream  string
	startedAt int64
}

func incarnationOf(upstream string, startedAt time.Time) incarnation {
	if startedAt.IsZero() {
		return incarnation{upstream, 0}
	}
	return incarnation{upstream, startedAt.UnixNano()}
}

type loss struct {
	Loss
	// recordedAt is when it was first known here.
	recordedAt time.Time
	// isCommon is set if it has a common cause with others, isEvidence if others may have it
	// with this one.
	isCommon, isEvidence bool
}

func (l *loss) width() time.Duration { return l.Latest.Sub(l.Earliest) }

// RecordLoss adds what is known of a loss and reports whether it was new. What several VMs, or
// one VM at several times, know of one loss holds together.
func (q *Quarantiner) RecordLoss(now time.Time, l Loss) bool {
	q.purge(now)
	key := incarnationOf(l.Upstream, l.StartedAt)
	known := q.losses[key]
	if l.IsTakenBack {
		if known != nil {
			q.removeLoss(key)
			q.retractAll(l.Upstream, l.StartedAt)
			q.judge(&known.Loss)
		}
		return known != nil
	}
	if l.Latest.Before(l.Earliest) {
		l.Latest = l.Earliest
	}
	if known == nil {
		known = &loss{Loss: l, recordedAt: now}
		q.losses[key] = known
		q.lossOrder = append(q.lossOrder, key)
		for len(q.lossOrder) > maxLosses {
			q.removeLoss(q.lossOrder[0])
		}
		q.judge(&l)
		return true
	}
	if !known.narrow(&l) {
		return false
	}
	q.judge(&l)
	return true
}

// narrow merges what else is known of a loss and reports whether that was news. Bounds that
// contradict the known ones, such as those of a VM whose clock was set, are ignored.
func (l *loss) narrow(o *Loss) bool {
	isNews := false
	if o.Earliest.After(l.Earliest) && !o.Earliest.After(l.Latest) {
		l.Earliest, isNews = o.Earliest, true
	}
	if o.Latest.Before(l.Latest) && !o.Latest.Before(l.Earliest) {
		l.Latest, isNews = o.Latest, true
	}
	for _, j := range o.Jobs {
		if !slices.Contains(l.Jobs, j) {
			l.Jobs, isNews = append(slices.Clip(l.Jobs), j), true
		}
	}
	return isNews
}

func (q *Quarantiner) removeLoss(key incarnation) {
	delete(q.losses, key)
	if i := slices.Index(q.lossOrder, key); i >= 0 {
		q.lossOrder = slices.Delete(q.lossOrder, i, i+1)
	}
}

// Losses returns the remembered losses, for a VM on a new link.
func (q *Quarantiner) Losses(now time.Time) []Loss {
	q.purge(now)
	all := make([]Loss, 0, len(q.lossOrder))
	for _, key := range q.lossOrder {
		all = append(all, q.losses[key].Loss)
	}
	return all
}

// LossOf returns the incarnation of an upstream that was lost in an interval, if such a loss is
// recorded.
func (q *Quarantiner) LossOf(upstream string, earliest, latest time.Time) (startedAt time.Time, ok bool) {
	for i := len(q.lossOrder) - 1; i >= 0; i-- {
		l := q.losses[q.lossOrder[i]]
		if l.Upstream == upstream && !l.Latest.Before(earliest) && !l.Earliest.After(latest) {
			return l.StartedAt, true
		}
	}
	return time.Time{}, false
}

// HasCommonCause reports whether an incarnation of an upstream was lost together with others.
func (q *Quarantiner) HasCommonCause(upstream string, startedAt time.Time) bool {
	l := q.losses[incarnationOf(upstream, startedAt)]
	return l != nil && l.isCommon
}

// group is a set of losses that fit one moment, which lies between from and to.
type group struct {
	from, to time.Time
	losses   []*loss
	// count is the number of losses that are evidence.
	count int
}

// maxRejudged bounds the losses that are judged again since a task is no suspect any more.
const maxRejudged = 64

// judge decides again which losses have a common cause, around a new one. That may change who
// is a suspect, and so which losses are evidence elsewhere.
func (q *Quarantiner) judge(news *Loss) {
	open := []*Loss{news}
	for n := 0; n < len(open) && n < maxRejudged; n++ {
		changed := map[string]bool{}
		for _, l := range q.judgeAround(open[n]) {
			q.reconsider(l.Upstream, l.StartedAt, changed)
		}
		if len(changed) == 0 {
			continue
		}
		for _, key := range q.lossOrder {
			if l := q.losses[key]; changed[l.LoneTask] && !slices.Contains(open, &l.Loss) {
				open = append(open, &l.Loss)
			}
		}
	}
}

// judgeAround judges the losses that may fit a moment with a new one, and returns those that
// are judged in another way than before.
func (q *Quarantiner) judgeAround(news *Loss) []*loss {
	var near, changed []*loss
	from, to := news.Earliest, news.Latest
	for _, key := range q.lossOrder {
		l := q.losses[key]
		if !l.Latest.Before(news.Earliest) && !l.Earliest.After(news.Latest) {
			from, to = minTime(from, l.Earliest), maxTime(to, l.Latest)
		}
	}
	// Losses of which the news came earlier are judged by how many there were before.
	to = to.Add(lossHistory)
	for _, key := range q.lossOrder {
		l := q.losses[key]
		if !l.Latest.Before(from.Add(-recentHistory)) && !l.Earliest.After(to) {
			l.isEvidence = !q.isSuspectBeside(l.LoneTask, key)
			near = append(near, l)
		}
	}
	// Which losses have a common cause decides how many others fit a later moment by chance.
	groups := groupByMoment(near)
	slices.SortFunc(groups, func(a, b group) int { return a.to.Compare(b.to) })
	for i := range groups {
		g := &groups[i]
		isCommon := g.isCommon(q.rateBefore(g))
		for _, l := range g.losses {
			if !l.Latest.Before(from) && l.isCommon != isCommon {
				l.isCommon = isCommon
				changed = append(changed, l)
			}
		}
	}
	return changed
}

// rateBefore returns the number of losses in a second, before the moment of a group, that have no
// common cause with others. One is assumed.
func (q *Quarantiner) rateBefore(g *group) float64 {
	long, short := 1, 0
	for _, key := range q.lossOrder {
		l := q.losses[key]
		age := g.to.Sub(l.Latest)
		if l.isCommon || age <= 0 || age > lossHistory || slices.Contains(g.losses, l) {
			continue
		}
		long++
		if age <= recentHistory {
			short++
		}
	}
	return max(float64(long)/lossHistory.Seconds(), float64(short)/recentHistory.Seconds())
}

// isSuspectBeside reports whether a task is a suspect for crashes other than that of an
// incarnation.
func (q *Quarantiner) isSuspectBeside(task string, except incarnation) bool {
	r := q.records[task]
	if r == nil {
		return false
	}
	excused := 0
	for _, c := range r.crashes {
		switch {
		case incarnationOf(c.Upstream, c.StartedAt) == except:
		case !q.HasCommonCause(c.Upstream, c.StartedAt):
			return true
		default:
			excused++
		}
	}
	return excused >= maxExcused
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func maxTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// groupByMoment splits losses into groups: the moment that fits most of them, the one that fits
// most of the rest, and so on.
func groupByMoment(losses []*loss) []group {
	var groups []group
	rest := slices.Clone(losses)
	for len(rest) > 0 {
		var begins, ends []time.Time
		for _, l := range rest {
			if l.isEvidence {
				begins, ends = append(begins, l.Earliest), append(ends, l.Latest)
			}
		}
		slices.SortFunc(begins, time.Time.Compare)
		slices.SortFunc(ends, time.Time.Compare)
		best := group{from: rest[0].Earliest, to: rest[0].Latest}
		// The number of losses that fit a moment is greatest where one of them ends.
		for i, at := range ends {
			begun, _ := slices.BinarySearchFunc(begins, at.Add(1), time.Time.Compare)
			ended, _ := slices.BinarySearchFunc(ends[:i], at, time.Time.Compare)
			if count := begun - ended; count > best.count {
				best = group{from: begins[begun-1], to: at, count: count}
			}
		}
		others := rest[:0:0]
		for _, l := range rest {
			if l.Earliest.After(best.to) || l.Latest.Before(best.from) {
				others = append(others, l)
				continue
			}
			best.losses = append(best.losses, l)
		}
		rest = others
		groups = append(groups, best)
	}
	return groups
}

// isCommon reports whether more losses fit the moment of a group than chance explains at a rate,
// in losses per second, and no job does: one with runs on each of the upstreams, but perhaps
// one, is the cause.
func (g *group) isCommon(rate float64) bool {
	if g.count < minCommonLosses {
		return false
	}
	evidence := make([]*loss, 0, g.count)
	jobs := map[string]int{}
	for _, l := range g.losses {
		if !l.isEvidence {
			continue
		}
		evidence = append(evidence, l)
		for _, j := range l.Jobs {
			jobs[j]++
		}
	}
	for _, n := range jobs {
		if n >= minCommonLosses && n >= g.count-1 {
			return false
		}
	}
	// Losses whose time is hardly known fit any moment, and tell nothing beside others.
	slices.SortFunc(evidence, func(a, b *loss) int { return cmp.Compare(a.width(), b.width()) })
	width := time.Duration(0)
	for i, l := range evidence {
		width += l.width()
		// Two losses fit one moment if they are no further apart than both are wide.
		expected := rate * 2 * width.Seconds() / float64(i+1)
		if i+1 >= minCommonLosses && chanceOf(i, expected) <= maxChance {
			return true
		}
	}
	return false
}

// chanceOf returns the probability of at least n independent events where some are expected.
func chanceOf(n int, expected float64) float64 {
	fewer, term := 0.0, math.Exp(-expected)
	for i := range n {
		fewer += term
		term *= expected / float64(i+1)
	}
	return max(0, 1-fewer)
}
