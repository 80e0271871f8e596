package pool

import (
	"time"

	"egretproxy/internal/control/view"
	"egretproxy/internal/request/refusal"
)

const (
	// unknownShare is the inverse of the part of a target's slots that is
	// assumed before the target's agent has told its limit.
	unknownShare = 8
	// otherLife is the time for which the load from other entries is
	// believed.
	otherLife = 1 * time.Second
	// growth is the requests that an answer adds to the window.
	growth = 0.1
	// fullPause is the shortest time for which a full target is left alone. It
	// doubles with each further refusal.
	fullPause        = 40 * time.Millisecond
	maxFullDoublings = 5
	// closedPause is the time for which a target that takes no work is left
	// alone.
	closedPause = 500 * time.Millisecond
	// gonePause is the first time for which an unreachable target is left
	// alone. It doubles with each further failure.
	gonePause    = 1 * time.Second
	maxGonePause = 8 * time.Second
)

// state is what an entry knows of one target.
type state struct {
	view.Target
	inService bool
	// own is the requests of this entry that are in progress.
	own int
	// reported and limit are from the newest answer of the agent.
	reported   int
	reportedAt time.Time
	limit      int
	// window is the requests that this entry may have in progress there. It
	// grows with answers and shrinks when the agent says that it is full, so
	// that entries come to share a target without talking to each other.
	window float64
	// barred is the time until which the target gets no requests.
	barred time.Time
	// refused tells that the target was full once, which ends the fast growth
	// of the window.
	refused bool
	// full counts refusals in a row by a full target.
	full int
	// strikes counts failures to reach the agent in a row.
	strikes int
}

// take notes what the agreed state says. A new session, start or content
// makes earlier reports worthless.
func (s *state) take(t view.Target) {
	same := s.Session == t.Session && s.Start == t.Start && s.Installed == t.Installed
	s.Target = t
	if same {
		return
	}
	s.limit = max(1, t.Slots/unknownShare)
	s.window = float64(s.limit)
	s.refused = false
	s.reported = 0
	s.barred = time.Time{}
	s.strikes = 0
}

// fits reports whether the target serves what the request asks for.
func (s *state) fits(r Request) bool {
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

// concerns reports whether the target serves what the request asks for, or is
// on its way to it.
func (s *state) concerns(r Request) bool {
	if r.Service != "" {
		return s.Kind == view.TargetService && s.Service == r.Service
	}
	return s.Kind == view.TargetEngine &&
		(s.Installed.Model == r.Model || s.Assigned.Model == r.Model || s.Staged.Model == r.Model)
}

func (s *state) free(now time.Time) bool {
	return !now.Before(s.barred) && s.own < int(s.window) && s.own+s.others(now) < s.limit
}

// grow widens the window after an answer.
func (s *state) grow() {
	s.full = 0
	step := growth
	if !s.refused {
		step = 1
	}
	s.window = min(s.window+step, float64(max(s.limit, s.Slots)))
}

// shrink narrows the window to what the target bears of this entry after the
// agent said that it is full. It reports whether that is nothing.
func (s *state) shrink() bool {
	s.refused = true
	s.window = max(1, float64(s.own))
	return s.own == 0
}

// others estimates the requests of other entries.
func (s *state) others(now time.Time) int {
	if now.Sub(s.reportedAt) > otherLife {
		return 0
	}
	return s.reported
}

// Grant is a place at a target. Exactly one of its methods ends it.
type Grant struct {
	Target view.Target
	pool   *Pool
	state  *state
	since  time.Time
}

// Load notes what the agent reported of its requests in progress and limit.
func (g *Grant) Load(inFlight, limit int) {
	g.pool.mu.Lock()
	defer g.pool.mu.Unlock()
	s := g.state
	s.reported = max(0, inFlight-s.own)
	s.reportedAt = time.Now()
	s.limit = max(1, limit)
	s.strikes = 0
	g.pool.pump()
}

// Answered ends the grant after an answer.
func (g *Grant) Answered() {
	g.pool.mu.Lock()
	defer g.pool.mu.Unlock()
	g.state.own--
	g.state.grow()
	g.pool.answers.add(time.Now())
	g.pool.pump()
}

// Refused ends the grant after the agent refused it.
func (g *Grant) Refused(reason refusal.Reason) {
	g.pool.mu.Lock()
	defer g.pool.mu.Unlock()
	now := time.Now()
	g.state.own--
	switch reason {
	case refusal.TargetFull:
		if !g.state.shrink() {
			break
		}
		d := fullPause << min(g.state.full, maxFullDoublings)
		g.state.full++
		g.state.barred = now.Add(d + g.pool.jitter(d))
	case refusal.AttemptSeen:
	default:
		g.state.barred = now.Add(closedPause)
	}
	g.pool.pump()
}

// Failed ends the grant after the agent could not be reached or broke off.
func (g *Grant) Failed() {
	g.pool.mu.Lock()
	defer g.pool.mu.Unlock()
	s := g.state
	s.own--
	d := min(gonePause<<min(s.strikes, 4), maxGonePause)
	s.strikes++
	s.barred = time.Now().Add(d + g.pool.jitter(d/2))
	g.pool.pump()
}

// Cancelled ends the grant without a finding about the target.
func (g *Grant) Cancelled() {
	g.pool.mu.Lock()
	defer g.pool.mu.Unlock()
	g.state.own--
	g.pool.pump()
}

func (p *Pool) jitter(d time.Duration) time.Duration {
	return time.Duration(p.cfg.Rand.Int64N(int64(d) + 1))
}
