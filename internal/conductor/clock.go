package conductor

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Clock is a steady clock that, unlike Go's monotonic clock, advances while the VM is
// suspended. Steps of the time of day do not affect it.
type Clock struct {
	base         time.Time
	uptimeAtBase time.Duration
}

// NewClock returns a clock that starts at the current time of day plus offset.
func NewClock(offset time.Duration) (*Clock, error) {
	uptimeAtBase, err := uptime()
	if err != nil {
		return nil, fmt.Errorf("conductor: reading the boot-time clock: %w", err)
	}
	return &Clock{base: time.Now().Round(0).Add(offset), uptimeAtBase: uptimeAtBase}, nil
}

// Now returns the current time.
func (c *Clock) Now() time.Time {
	sinceBoot, err := uptime()
	if err != nil {
		return time.Now().Round(0)
	}
	return c.base.Add(sinceBoot - c.uptimeAtBase)
}

func uptime() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}
