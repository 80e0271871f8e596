package siteentry

import "time"

const (
	// standstillTick is the interval between checks whether the process runs.
	standstillTick = 250 * time.Millisecond
	// minStandstill is the shortest delay of a check that is logged. Requests are
	// lost by longer ones only.
	minStandstill = 250 * time.Millisecond
)

// standstill notices that the process did not run, or its instance was suspended.
// The zero value is ready for use.
type standstill struct{ last moment }

// tick returns by how much a check is late, and how much of that was suspension.
func (s *standstill) tick(now moment) (late, suspended time.Duration) {
	last := s.last
	s.last = now
	if last.steady.IsZero() {
		return 0, 0
	}
	return now.since(last) - standstillTick, now.suspended(last)
}

// watchStandstill logs and counts a late check.
func (e *Entry) watchStandstill(s *standstill) {
	late, suspended := s.tick(e.now())
	if late < minStandstill {
		return
	}
	e.Metrics.Count("ProcessDidNotRun")
	e.DecisionLog.Record(failureKind, "Process did not run", "LateMs", late.Milliseconds(), "SuspendedMs", suspended.Milliseconds(),
		"InProgress", e.active.Load())
}
