package siteentry

import (
	"context"
	"sync"
	"time"

	"egretproxy/internal/kernel/clock"
	"egretproxy/internal/site/plan"
)

const (
	// startupPeriod is how long after its start an entry may still lack the
	// plan, its confirmation or the targets, which announce themselves every
	// 1.2 s.
	startupPeriod = 5 * time.Second
	// maxStartupWait is how long a request may wait for them. A caller whose
	// connection was lost when the processes were killed has one more attempt,
	// and a refusal would use it up.
	maxStartupWait = 1500 * time.Millisecond
	// maxUnconfirmedWait is how long requests may wait for a confirmation that
	// has just expired, as during an election or after a suspension.
	maxUnconfirmedWait = 700 * time.Millisecond
	pollInterval       = 20 * time.Millisecond
)

// startupState records when the process started and since when the plan has
// been unconfirmed. The zero value starts at its first use.
type startupState struct {
	mu               sync.Mutex
	startedAt        time.Time
	unconfirmedSince time.Time
}

// starting reports whether the process started within startupPeriod.
func (s *startupState) starting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.startedAt.IsZero() {
		s.startedAt = time.Now()
	}
	return time.Since(s.startedAt) < startupPeriod
}

// unconfirmedFor records whether the plan is confirmed and returns how long it
// has been unconfirmed.
func (s *startupState) unconfirmedFor(confirmed bool) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if confirmed {
		s.unconfirmedSince = time.Time{}
		return 0
	}
	if s.unconfirmedSince.IsZero() {
		s.unconfirmedSince = time.Now()
	}
	return time.Since(s.unconfirmedSince)
}

// awaitPlan waits for the plan and its confirmation if they are likely to
// arrive soon. Otherwise it returns at once.
func (j *job) awaitPlan() {
	for {
		p, confirmed := j.entry.Views.View().Plan, j.confirmed()
		stale := j.entry.startup.unconfirmedFor(confirmed)
		waited := time.Since(j.startedAt)
		switch {
		case p != nil && (confirmed || !j.needsKey(p)):
			return
		case j.entry.stop.ended():
			return
		case j.entry.startup.starting() && waited < maxStartupWait:
		case p != nil && stale < maxUnconfirmedWait && waited < maxUnconfirmedWait:
		default:
			return
		}
		if !clock.Sleep(j.r.Context(), pollInterval) {
			return
		}
	}
}

// needsKey reports whether the plan requires a key for the request, which in
// turn requires a confirmed plan. It is true if no route matches.
func (j *job) needsKey(p *plan.Plan) bool {
	r := p.Match(hostOf(j.r.Host), j.r.URL.Path)
	return r == nil || p.HasTenants() && !r.Public
}

// awaitTargets waits for one poll interval if the process is starting and may
// not know its targets yet. It reports whether the request may try again.
func (j *job) awaitTargets(ctx context.Context) bool {
	return j.entry.startup.starting() && time.Since(j.startedAt) < maxStartupWait && clock.Sleep(ctx, pollInterval)
}
