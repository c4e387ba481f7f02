package recorder

import "time"

// Budget limits the number of lines logged per second. Faults have a limit of their own,
// so that a flood of ordinary lines does not displace them. It is not safe for concurrent
// use.
type Budget struct {
	lineLimit, faultLimit int
	windowStart           time.Time
	linesLeft, faultsLeft int
	dropped               map[string]int
}

// NewBudget returns a Budget with the given limits of ordinary lines and of faults a second.
func NewBudget(lineLimit, faultLimit int) *Budget {
	return &Budget{lineLimit: lineLimit, faultLimit: faultLimit, dropped: map[string]int{}}
}

// Allow reports whether a line may be logged now. It counts the lines that may not.
func (b *Budget) Allow(now time.Time, event string, isFault bool) bool {
	if now.Sub(b.windowStart) >= time.Second || now.Before(b.windowStart) {
		b.windowStart = now
		b.linesLeft, b.faultsLeft = b.lineLimit, b.faultLimit
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

// Dropped returns the number of dropped lines by event and resets it. It returns nil if
// there are none or their second is not over.
func (b *Budget) Dropped(now time.Time) map[string]int {
	if len(b.dropped) == 0 || now.Sub(b.windowStart) < time.Second {
		return nil
	}
	dropped := b.dropped
	b.dropped = map[string]int{}
	return dropped
}
