package conductor

import (
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock is a steady clock that, unlike Go's monotonic clock, advances while the VM is
// suspended. Steps of the time of day do not affect it.
//
// Reading the time since boot takes a system call. It is read only when the time of day and the
// monotonic clock have moved apart, as they do while the VM is suspended, and every maxBootTimeAge.
type Clock struct {
	base time.Time
	// readClocks returns how far the time of day and the monotonic clock have moved since base,
	// readBootTime the time since boot.
	readClocks   func() (wall, monotonic time.Duration)
	readBootTime func() (time.Duration, error)
	// bootTimeAtBase is the time since boot at base.
	bootTimeAtBase time.Duration
	// suspended is how long the VM has been suspended since base, in nanoseconds. It was last
	// determined at checkedAt, on the monotonic clock, when the time of day was ahead by wallAhead.
	suspended, checkedAt, wallAhead atomic.Int64
}

const (
	// maxBootTimeAge is how long a suspension may go unnoticed if a step of the time of day hides it.
	maxBootTimeAge = 10 * time.Millisecond
	// clockTolerance is the shortest suspension that counts: leases allow for more.
	clockTolerance = time.Millisecond
)

// NewClock returns a clock that starts at the current time of day plus offset.
func NewClock(offset time.Duration) (*Clock, error) {
	bootTime, err := readBootTime()
	if err != nil {
		return nil, fmt.Errorf("conductor: reading the boot-time clock: %w", err)
	}
	origin := time.Now()
	return &Clock{
		base: origin.Round(0).Add(offset), bootTimeAtBase: bootTime, readBootTime: readBootTime,
		readClocks: func() (wall, monotonic time.Duration) {
			now := time.Now()
			return now.Round(0).Sub(origin.Round(0)), now.Sub(origin)
		},
	}, nil
}

// Now returns the current time.
func (c *Clock) Now() time.Time {
	wall, monotonic := c.readClocks()
	apart := (wall - monotonic - time.Duration(c.wallAhead.Load())).Abs()
	if apart > clockTolerance || monotonic-time.Duration(c.checkedAt.Load()) > maxBootTimeAge {
		monotonic = c.checkSuspension()
	}
	return c.base.Add(monotonic + time.Duration(c.suspended.Load()))
}

// checkSuspension determines how long the VM has been suspended, and returns the monotonic time.
// The time since boot is read first, so that an interruption between the readings does not look like
// a suspension.
func (c *Clock) checkSuspension() time.Duration {
	bootTime, err := c.readBootTime()
	wall, monotonic := c.readClocks()
	if err != nil {
		return monotonic
	}
	known := c.suspended.Load()
	if suspended := int64(bootTime - c.bootTimeAtBase - monotonic); suspended > known+int64(clockTolerance) {
		c.suspended.CompareAndSwap(known, suspended)
	}
	c.checkedAt.Store(int64(monotonic))
	c.wallAhead.Store(int64(wall - monotonic))
	return monotonic
}

func readBootTime() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}
