package targetpool

import (
	"time"

	"egretproxy/internal/control/view"
	"egretproxy/internal/request/refusal"
)

const (
	// initialLimitDivisor is the divisor of a target's slots that gives its
	// limit before its agent has reported one.
	initialLimitDivisor = 8
	// reportLifetime is how long the reported load from other entries is
	// used.
	reportLifetime = 1 * time.Second
	// windowGrowth is the increase of the window per answer, in requests.
	windowGrowth = 0.1
	// fullPause is the shortest pause after a full target refused a request.
	// It doubles with each consecutive refusal.
	fullPause        = 40 * time.Millisecond
	maxFullDoublings = 5
	// notServingPause is the pause after a target refused a request for a
	// reason other than load.
	notServingPause = 500 * time.Millisecond
	// unreachablePause is the first pause of an unreachable target. It
	// doubles with each consecutive failure, up to maxUnreachablePause.
	unreachablePause    = 1 * time.Second
	maxUnreachablePause = 8 * time.Second
)

// targetState is what an entry knows about one target.
type targetState struct {
	view.Target
	inService bool
	// ownInFlight counts this entry's requests in progress.
	ownInFlight int
	// othersInFlight, the requests of other entries in progress, and limit
	// come from the newest answer of the agent.
	othersInFlight int
	reportTime     time.Time
	limit          int
	// window is the number of requests that this entry may have in progress
	// at the target. It grows with answers and shrinks when the agent reports
	// a full target, so that entries share a target without coordination.
	window float64
	// pausedUntil is the time until which the target gets no requests.
	pausedUntil time.Time
	// wasFull means that the target has refused a request because it was
	// full, which ends the fast growth of the window.
	wasFull bool
	// fullRefusals counts consecutive refusals by a full target.
	fullRefusals int
	// failures counts consecutive failures to reach the agent.
	failures int
}

// update applies the target's replicated state. A new session, start or
// installed content invalidates earlier reports.
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
// being prepared to.
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

// growWindow increases the window after an answer.
func (s *targetState) growWindow() {
	s.fullRefusals = 0
	step := windowGrowth
	if !s.wasFull {
		step = 1
	}
	s.window = min(s.window+step, float64(max(s.limit, s.Slots)))
}

// shrinkWindow reduces the window to this entry's requests in progress after
// the agent reported a full target. It reports whether there are none.
func (s *targetState) shrinkWindow() bool {
	s.wasFull = true
	s.window = max(1, float64(s.ownInFlight))
	return s.ownInFlight == 0
}

// estimateOthers estimates the requests in progress of other entries.
func (s *targetState) estimateOthers(now time.Time) int {
	if now.Sub(s.reportTime) > reportLifetime {
		return 0
	}
	return s.othersInFlight
}

// Grant is reserved capacity at a target. Exactly one of Answered, Refused,
// Failed and Cancelled ends it.
type Grant struct {
	Target view.Target
	pool   *Pool
	state  *targetState
	since  time.Time
}

// ReportLoad records the requests in progress and the limit that the agent
// reported. It does not end the grant.
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
	g.pool.responseRate.add(time.Now())
	g.pool.grantWaiting()
}

// Refused ends the grant after the agent refused the request.
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

// Failed ends the grant after the agent could not be reached or the exchange
// was interrupted.
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

// Cancelled ends the grant without a conclusion about the target.
func (g *Grant) Cancelled() {
	g.pool.mu.Lock()
	defer g.pool.mu.Unlock()
	g.state.ownInFlight--
	g.pool.grantWaiting()
}

func (p *Pool) jitter(d time.Duration) time.Duration {
	return time.Duration(p.cfg.Rand.Int64N(int64(d) + 1))
}
