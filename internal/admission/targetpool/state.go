package targetpool

import (
	"time"

	"egretproxy/internal/control/view"
	"egretproxy/internal/request/refusal"
)

const (
	// initialLimitDivisor is the inverse of the part of a target's slots that is
	// assumed before the target's agent has told its limit.
	initialLimitDivisor = 8
	// reportLifetime is the time for which the load from other entries is
	// believed.
	reportLifetime = 1 * time.Second
	// windowGrowth is the requests that an answer adds to the window.
	windowGrowth = 0.1
	// fullPause is the shortest time for which a full target is left alone. It
	// doubles with each further refusal.
	fullPause        = 40 * time.Millisecond
	maxFullDoublings = 5
	// notServingPause is the time for which a target that takes no work is left
	// alone.
	notServingPause = 500 * time.Millisecond
	// unreachablePause is the first time for which an unreachable target is left
	// alone. It doubles with each further failure.
	unreachablePause    = 1 * time.Second
	maxUnreachablePause = 8 * time.Second
)

// targetState is what an entry knows of one target.
type targetState struct {
	view.Target
	inService bool
	// ownInFlight is the requests of this entry that are in progress.
	ownInFlight int
	// othersInFlight and limit are from the newest answer of the agent.
	othersInFlight int
	reportTime     time.Time
	limit          int
	// window is the requests that this entry may have in progress there. It
	// grows with answers and shrinks when the agent says that it is full, so
	// that entries come to share a target without talking to each other.
	window float64
	// pausedUntil is the time until which the target gets no requests.
	pausedUntil time.Time
	// wasFull tells that the target was full once, which ends the fast growth
	// of the window.
	wasFull bool
	// fullRefusals counts refusals in a row by a fullRefusals target.
	fullRefusals int
	// failures counts failures to reach the agent in a row.
	failures int
}

// update notes what the agreed state says. A new session, start or content
// makes earlier reports worthless.
func (s *targetState) update(t view.Target) {
	same := s.Session == t.Session && s.Start == t.Start && s.Installed == t.Installed
	s.Target = t
	if same {
		return
	}
	s.limit = max(1, t.Slots/initialLimitDivisor)
	s.window = float64(s.limit)
	s.wasFull = false
	s.othersInFlight = 0
	s.pausedUntil = time.Time{}
	s.failures = 0
}

// canServe reports whether the target serves what the request asks for.
func (s *targetState) canServe(r Request) bool {
	if s.Phase != view.PhaseServing {
		return false
	}
	if r.Service != "" {
		return s.Kind == view.TargetService && s.Service == r.Service
	}
	if s.Kind != view.TargetEngine || s.Installed.Model != r.Model {
		return false
	}
	return r.Bundle == "" || r.Bundle == s.Installed.Bundle
}

// mayServe reports whether the target serves what the request asks for, or is
// on its way to it.
func (s *targetState) mayServe(r Request) bool {
	if r.Service != "" {
		return s.Kind == view.TargetService && s.Service == r.Service
	}
	return s.Kind == view.TargetEngine &&
		(s.Installed.Model == r.Model || s.Assigned.Model == r.Model || s.Staged.Model == r.Model)
}

func (s *targetState) available(now time.Time) bool {
	return !now.Before(s.pausedUntil) && s.ownInFlight < int(s.window) && s.ownInFlight+s.estimateOthers(now) < s.limit
}

// growWindow widens the window after an answer.
func (s *targetState) growWindow() {
	s.fullRefusals = 0
	step := windowGrowth
	if !s.wasFull {
		step = 1
	}
	s.window = min(s.window+step, float64(max(s.limit, s.Slots)))
}

// shrinkWindow narrows the window to what the target bears of this entry after the
// agent said that it is full. It reports whether that is nothing.
func (s *targetState) shrinkWindow() bool {
	s.wasFull = true
	s.window = max(1, float64(s.ownInFlight))
	return s.ownInFlight == 0
}

// estimateOthers estimates the requests of other entries.
func (s *targetState) estimateOthers(now time.Time) int {
	if now.Sub(s.reportTime) > reportLifetime {
		return 0
	}
	return s.othersInFlight
}

// Grant is a place at a target. Exactly one of its methods ends it.
type Grant struct {
	Target view.Target
	pool   *Pool
	state  *targetState
	since  time.Time
}

// ReportLoad notes what the agent reported of its requests in progress and limit.
func (g *Grant) ReportLoad(inFlight, limit int) {
	g.pool.mu.Lock()
	defer g.pool.mu.Unlock()
	s := g.state
	s.othersInFlight = max(0, inFlight-s.ownInFlight)
	s.reportTime = time.Now()
	s.limit = max(1, limit)
	s.failures = 0
	g.pool.grantWaiting()
}

// Answered ends the grant after an answer.
func (g *Grant) Answered() {
	g.pool.mu.Lock()
	defer g.pool.mu.Unlock()
	g.state.ownInFlight--
	g.state.growWindow()
	g.pool.answerRate.add(time.Now())
	g.pool.grantWaiting()
}

// Refused ends the grant after the agent refused it.
func (g *Grant) Refused(reason refusal.Reason) {
	g.pool.mu.Lock()
	defer g.pool.mu.Unlock()
	now := time.Now()
	g.state.ownInFlight--
	switch reason {
	case refusal.TargetFull:
		if !g.state.shrinkWindow() {
			break
		}
		d := fullPause << min(g.state.fullRefusals, maxFullDoublings)
		g.state.fullRefusals++
		g.state.pausedUntil = now.Add(d + g.pool.jitter(d))
	case refusal.AttemptSeen:
	default:
		g.state.pausedUntil = now.Add(notServingPause)
	}
	g.pool.grantWaiting()
}

// Failed ends the grant after the agent could not be reached or broke off.
func (g *Grant) Failed() {
	g.pool.mu.Lock()
	defer g.pool.mu.Unlock()
	s := g.state
	s.ownInFlight--
	d := min(unreachablePause<<min(s.failures, 4), maxUnreachablePause)
	s.failures++
	s.pausedUntil = time.Now().Add(d + g.pool.jitter(d/2))
	g.pool.grantWaiting()
}

// Cancelled ends the grant without a finding about the target.
func (g *Grant) Cancelled() {
	g.pool.mu.Lock()
	defer g.pool.mu.Unlock()
	g.state.ownInFlight--
	g.pool.grantWaiting()
}

func (p *Pool) jitter(d time.Duration) time.Duration {
	return time.Duration(p.cfg.Rand.Int64N(int64(d) + 1))
}
