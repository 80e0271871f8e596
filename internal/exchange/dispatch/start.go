package dispatch

import (
	"slices"
	"time"
)

const (
	// startWindow is the time over which the longest time to the first event is
	// kept, to twice that.
	startWindow = time.Second
	// startReserve is the factor by which a request may start later than those
	// before it, as the queue at a target grows.
	startReserve = 1.3
)

// startDelay is the longest recent time from the grant of a target to the first
// event, which shows how long requests wait there. The zero value has none.
type startDelay struct {
	// began is when the current window began, current and previous are the longest
	// times of this window and the one before it.
	began             time.Time
	current, previous time.Duration
}

func (s *startDelay) add(now time.Time, took time.Duration) {
	s.advance(now)
	s.current = max(s.current, took)
}

func (s *startDelay) longest(now time.Time) time.Duration {
	s.advance(now)
	return max(s.current, s.previous)
}

func (s *startDelay) advance(now time.Time) {
	switch age := now.Sub(s.began); {
	case age < startWindow:
		return
	case age < 2*startWindow:
		s.previous = s.current
	default:
		s.previous = 0
	}
	s.began, s.current = now, 0
}

// expectedStart returns how long a request that is sent now is expected to wait at
// the target for its first event. Requests that still wait count with their age. A
// target to which this entry has sent nothing lately is expected to be like the
// slowest of the service.
func expectedStart(s *service, t *target, now time.Time) time.Duration {
	longest := t.starts.longest(now)
	for _, g := range t.unstarted {
		longest = max(longest, now.Sub(g.grantedAt))
	}
	if longest == 0 {
		longest = s.starts.longest(now)
	}
	return time.Duration(startReserve * float64(longest))
}

// startsInTime reports whether a request that must start by a time would do so at a
// target.
func startsInTime(s *service, t *target, by, now time.Time) bool {
	return by.IsZero() || !now.Add(expectedStart(s, t, now)).After(by)
}

// recordStart records the first event of a request. The caller holds the
// dispatcher's mu.
func (g *Grant) recordStart(now time.Time) {
	took := now.Sub(g.grantedAt)
	g.target.starts.add(now, took)
	s := g.dispatcher.services[g.target.Service]
	if s == nil {
		return
	}
	s.starts.add(now, took)
	s.timeToFirstEvent.Add(took)
}

// startDone stops counting the request as one that waits to start.
func (t *target) startDone(g *Grant) {
	if i := slices.Index(t.unstarted, g); i >= 0 {
		t.unstarted = slices.Delete(t.unstarted, i, i+1)
	}
}
