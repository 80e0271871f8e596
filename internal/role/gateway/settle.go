package gateway

import (
	"context"
	"sync"
	"time"

	"egretproxy/internal/kernel/clock"
	"egretproxy/internal/site/plan"
)

const (
	// settleFor is how long after its start an entry may lack what it will
	// know in a moment: the plan, its confirmation, and the targets, which
	// announce themselves every 1.2 s.
	settleFor = 5 * time.Second
	// settleWait is how long a request may wait for that. A caller whose
	// connection was lost when the processes were killed has one more try,
	// and a refusal would use it up.
	settleWait = 1500 * time.Millisecond
	// staleWait is how long requests may wait for a confirmation that has
	// just run out, as during an election or after a suspension.
	staleWait  = 700 * time.Millisecond
	settlePoll = 20 * time.Millisecond
)

// settling knows since when the process runs and lacks a confirmation. The
// zero value begins with its first use.
type settling struct {
	mu         sync.Mutex
	began      time.Time
	staleSince time.Time
}

// young reports whether the process has started a short while ago.
func (s *settling) young() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.began.IsZero() {
		s.began = time.Now()
	}
	return time.Since(s.began) < settleFor
}

// staleFor takes in whether the plan is confirmed and returns for how long it
// has not been.
func (s *settling) staleFor(confirmed bool) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if confirmed {
		s.staleSince = time.Time{}
		return 0
	}
	if s.staleSince.IsZero() {
		s.staleSince = time.Now()
	}
	return time.Since(s.staleSince)
}

// awaitBeliefs lets the request wait for the plan and its confirmation where
// they are likely to come soon. Otherwise it returns at once.
func (j *job) awaitBeliefs() {
	for {
		p, confirmed := j.g.Follower.View().Plan, j.confirmed()
		stale := j.g.settling.staleFor(confirmed)
		waited := time.Since(j.began)
		switch {
		case p != nil && (confirmed || !j.needsKey(p)):
			return
		case j.g.settling.young() && waited < settleWait:
		case p != nil && stale < staleWait && waited < staleWait:
		default:
			return
		}
		if !clock.Sleep(j.r.Context(), settlePoll) {
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

// pause waits a moment for targets that are not known yet. It reports whether
// the request may try again.
func (j *job) pause(ctx context.Context) bool {
	return j.g.settling.young() && time.Since(j.began) < settleWait && clock.Sleep(ctx, settlePoll)
}
