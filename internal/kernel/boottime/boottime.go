// Package boottime reads CLOCK_BOOTTIME, which advances while the instance is
// suspended. The monotonic clock of the Go runtime doesn't, so that an expired
// lease would look valid after a suspension.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// start is the origin of the fallback clock.
var start = time.Now()

// Now returns the time since the instance booted. If CLOCK_BOOTTIME can't be
// read it returns the time since the process started, by the runtime's
// monotonic clock.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(start)
	}
	return time.Duration(ts.Nano())
}

// Moment is a point in time whose age counts suspensions of the instance.
type Moment struct {
	at   time.Time
	boot time.Duration
}

// Mark returns the present moment.
func Mark() Moment { return Moment{time.Now(), Now()} }

// Age returns the time since the moment.
func (m Moment) Age() time.Duration { return max(time.Since(m.at), Now()-m.boot) }
