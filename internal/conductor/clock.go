package conductor

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells a steady time that, unlike Go's monotonic clock, goes on while the
// VM is suspended, and that does not follow steps of the time of day.
type Clock struct {
	base time.Time
	boot time.Duration
}

// NewClock starts a clock at the present time of day, which may be off by offset.
func NewClock(offset time.Duration) (*Clock, error) {
	boot, err := sinceBoot()
	if err != nil {
		return nil, fmt.Errorf("conductor: clock: %w", err)
	}
	return &Clock{base: time.Now().Round(0).Add(offset), boot: boot}, nil
}

// Now returns the present time.
func (c *Clock) Now() time.Time {
	boot, err := sinceBoot()
	if err != nil {
		return time.Now().Round(0)
	}
	return c.base.Add(boot - c.boot)
}

func sinceBoot() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}
