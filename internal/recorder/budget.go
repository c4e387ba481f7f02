package recorder

import "time"

// Budget bounds the lines that a daemon logs in a second. Faults have a part of
// their own, so that a flood of ordinary lines does not push them out. It is not
// safe for concurrent use.
type Budget struct {
	lines, faults         int
	second                time.Time
	linesLeft, faultsLeft int
	dropped               map[string]int
}

// NewBudget returns a Budget of so many ordinary lines and lines of faults a second.
func NewBudget(lines, faults int) *Budget {
	return &Budget{lines: lines, faults: faults, dropped: map[string]int{}}
}

// Allow reports whether a line may be written now, and counts it if not.
func (b *Budget) Allow(now time.Time, event string, isFault bool) bool {
	if now.Sub(b.second) >= time.Second || now.Before(b.second) {
		b.second = now
		b.linesLeft, b.faultsLeft = b.lines, b.faults
	}
	left := &b.linesLeft
	if isFault {
		left = &b.faultsLeft
	}
	if *left == 0 {
		b.dropped[event]++
		return false
	}
	*left--
	return true
}

// Dropped returns the lines left out by event once their second is over, and
// forgets them; nil if there are none.
func (b *Budget) Dropped(now time.Time) map[string]int {
	if len(b.dropped) == 0 || now.Sub(b.second) < time.Second {
		return nil
	}
	dropped := b.dropped
	b.dropped = map[string]int{}
	return dropped
}
