// Package boottime reads the clock that also counts while an instance is
// suspended. Leases need it: the runtime's clock stands still meanwhile, so
// that what is long out of date would look fresh.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// start is the reading of the runtime's clock for the fallback.
var start = time.Now()

// Now returns the time since the instance started. Where the clock can't be
// read it falls back to the runtime's clock.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(start)
	}
	return time.Duration(ts.Nano())
}
