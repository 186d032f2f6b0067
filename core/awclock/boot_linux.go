package awclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a clock that, unlike [System], also counts the time for which the
// machine is suspended. Only differences between its results are meaningful.
type Boot struct{}

// Now implements [Clock].
func (Boot) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now() // the kernel lacks the clock, so it cannot report suspensions
	}
	return time.Unix(ts.Unix())
}
