package siteentry

import (
	"context"
	"sync"
	"time"

	"egretproxy/internal/kernel/clock"
	"egretproxy/internal/site/plan"
)

const (
	// startupPeriod is how long after its start an entry may lack what it will
	// know in a moment: the plan, its confirmation, and the targets, which
	// announce themselves every 1.2 s.
	startupPeriod = 5 * time.Second
	// maxStartupWait is how long a request may wait for that. A caller whose
	// connection was lost when the processes were killed has one more try,
	// and a refusal would use it up.
	maxStartupWait = 1500 * time.Millisecond
	// maxUnconfirmedWait is how long requests may wait for a confirmation that has
	// just run out, as during an election or after a suspension.
	maxUnconfirmedWait = 700 * time.Millisecond
	pollInterval       = 20 * time.Millisecond
)

// startupState knows since when the process runs and lacks a confirmation. The
// zero value begins with its first use.
type startupState struct {
	mu               sync.Mutex
	startedAt        time.Time
	unconfirmedSince time.Time
}

// starting reports whether the process has started a short while ago.
func (s *startupState) starting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.startedAt.IsZero() {
		s.startedAt = time.Now()
	}
	return time.Since(s.startedAt) < startupPeriod
}

// unconfirmedFor takes in whether the plan is confirmed and returns for how long it
// has not been.
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

// awaitPlan lets the request wait for the plan and its confirmation where
// they are likely to come soon. Otherwise it returns at once.
func (j *job) awaitPlan() {
	for {
		p, confirmed := j.entry.Views.View().Plan, j.confirmed()
		stale := j.entry.startup.unconfirmedFor(confirmed)
		waited := time.Since(j.startedAt)
		switch {
		case p != nil && (confirmed || !j.needsKey(p)):
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

// needsKey reports whether the request needs a key by the plan, which has to be
// confirmed for it.
func (j *job) needsKey(p *plan.Plan) bool {
	r := p.Match(hostOf(j.r.Host), j.r.URL.Path)
	return r == nil || p.HasTenants() && !r.Public
}

// awaitTargets waits a moment for targets that are not known yet. It reports whether
// the request may try again.
func (j *job) awaitTargets(ctx context.Context) bool {
	return j.entry.startup.starting() && time.Since(j.startedAt) < maxStartupWait && clock.Sleep(ctx, pollInterval)
}
