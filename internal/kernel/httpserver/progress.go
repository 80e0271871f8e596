package httpserver

import "time"

// drainProgress measures the time of a stop.
type drainProgress struct {
	began            time.Time
	grace, finalPass time.Duration
	// graceEnd is when the process saw that the grace period was over. It is
	// later than the end itself if the process did not run then.
	graceEnd time.Time
	// longestWait is far above drainInterval if the process did not run.
	longestWait time.Duration
}

// isOver reports whether the connections that are left must be closed.
func (p *drainProgress) isOver() bool {
	if p.graceEnd.IsZero() && time.Since(p.began) >= p.grace {
		p.graceEnd = time.Now()
	}
	return !p.graceEnd.IsZero() && time.Since(p.graceEnd) >= p.finalPass
}

// wait waits until the next check of the connections.
func (p *drainProgress) wait() {
	began := time.Now()
	time.Sleep(drainInterval)
	p.longestWait = max(p.longestWait, time.Since(began))
}
