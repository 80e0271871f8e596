// Package targetpool controls the admission of requests at an entry: it
// tracks the capacity of each target, queues requests fairly and refuses
// early those that cannot be served in time.
package targetpool

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"egretproxy/internal/admission/fairqueue"
	"egretproxy/internal/control/view"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/request/refusal"
	"egretproxy/internal/routing/policy"
)

const (
	// queueCheckInterval is the interval between checks of the queue.
	queueCheckInterval = 20 * time.Millisecond
	// minRetryAfter and maxRetryAfter limit the Retry-After sent to callers.
	minRetryAfter = 1 * time.Second
	maxRetryAfter = 30 * time.Second
)

// Request describes what the pool needs to know of a request.
type Request struct {
	Organisation id.Organisation
	// Weight is the organisation's relative share.
	Weight int
	// Cost is the expected work in tokens.
	Cost float64
	// Exactly one of Model and Service is set.
	Model   id.Model
	Service id.Service
	// Bundle is set if only this version may serve the request.
	Bundle id.Bundle
	Prefix uint64
	// Exclude holds the targets that were tried already.
	Exclude map[id.Target]bool
	// Retry means that the request was admitted before.
	Retry bool
}

// Config configures a Pool.
type Config struct {
	MaxQueue int
	MaxWait  time.Duration
	Policy   policy.Policy
	Rand     *rand.Rand
}

// waiter is a waiting request.
type waiter struct {
	request Request
	granted chan *Grant
	refused chan *refusal.Refusal
}

// Pool controls the admission at one entry. It is safe for concurrent use.
type Pool struct {
	cfg Config

	mu      sync.Mutex
	targets map[id.Target]*targetState
	// sortedTargets holds the targets in order of their IDs.
	sortedTargets []*targetState
	// candidates and states are scratch buffers of choose.
	candidates []policy.Candidate
	states     []*targetState
	queue      fairqueue.Queue
	// responseRate measures answers, and grantRates measures grants to each
	// organisation.
	responseRate rateMeter
	grantRates   map[id.Organisation]*rateMeter
}

// New returns a Pool without targets.
func New(c Config) *Pool {
	return &Pool{cfg: c, targets: map[id.Target]*targetState{}, grantRates: map[id.Organisation]*rateMeter{}}
}

// Run grants targets to waiting requests until ctx is done.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(queueCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.mu.Lock()
			p.grantWaiting()
			p.mu.Unlock()
		}
	}
}

// SetView applies a new version of the replicated state.
func (p *Pool) SetView(v view.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, t := range v.Targets {
		s := p.targets[k]
		if s == nil {
			s = &targetState{}
			p.targets[k] = s
		}
		s.update(t)
	}
	p.sortedTargets = p.sortedTargets[:0]
	for k, s := range p.targets {
		if _, ok := v.Targets[k]; !ok {
			delete(p.targets, k)
			continue
		}
		s.inService = v.InService(s.Domain)
		p.sortedTargets = append(p.sortedTargets, s)
	}
	slices.SortFunc(p.sortedTargets, func(a, b *targetState) int { return cmp.Compare(a.ID, b.ID) })
	p.grantWaiting()
}

// SetPolicy replaces the routing policy.
func (p *Pool) SetPolicy(c policy.Policy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cfg.Policy = c
}

// Waiting returns the number of waiting requests.
func (p *Pool) Waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Len()
}

// Acquire waits for a target with capacity for the request. It returns a
// refusal if the queue is full, the wait is or would be too long, or ctx is
// done.
func (p *Pool) Acquire(ctx context.Context, r Request) (*Grant, *refusal.Refusal) {
	w := &waiter{request: r, granted: make(chan *Grant, 1), refused: make(chan *refusal.Refusal, 1)}
	item := &fairqueue.Item{Organisation: r.Organisation, Weight: r.Weight, Cost: r.Cost, Value: w}
	if r.Retry {
		item.Cost = 0
	}
	if ref := p.enqueue(r, item); ref != nil {
		return nil, ref
	}
	timer := time.NewTimer(p.cfg.MaxWait)
	defer timer.Stop()
	select {
	case g := <-w.granted:
		return g, nil
	case ref := <-w.refused:
		return nil, ref
	case <-ctx.Done():
		return p.abandon(item, w, refusal.CallerGone, "caller has gone")
	case <-timer.C:
		return p.abandon(item, w, refusal.QueueTimeout, "no target became free in time")
	}
}

// enqueue adds a request to the queue and grants what can be granted.
func (p *Pool) enqueue(r Request, item *fairqueue.Item) *refusal.Refusal {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ref := p.refuseEarly(r); ref != nil {
		return ref
	}
	p.queue.Push(item)
	p.grantWaiting()
	if isGranted(item) || p.queue.Len() <= p.cfg.MaxQueue {
		return nil
	}
	p.queue.Remove(item)
	victim := p.queue.Evict(r.Organisation, r.Weight)
	if victim == nil {
		return p.unavailable(refusal.QueueFull, "too many requests wait")
	}
	victim.Value.(*waiter).refused <- p.unavailable(refusal.QueueFull, "too many requests of the organisation wait")
	p.queue.Push(item)
	return nil
}

func isGranted(i *fairqueue.Item) bool {
	return len(i.Value.(*waiter).granted) > 0
}

// refuseEarly returns a refusal if waiting would be futile, or nil. The
// caller holds mu.
func (p *Pool) refuseEarly(r Request) *refusal.Refusal {
	if !p.hasTarget(r) {
		return refusal.Unavailable(refusal.NoTarget, "no target serves this now", minRetryAfter)
	}
	wait := p.expectedWait(r)
	if r.Retry || wait <= p.cfg.MaxWait {
		return nil
	}
	return refusal.Unavailable(refusal.QueueFull, "the wait would be too long", clampRetryAfter(wait))
}

// hasTarget reports whether any target serves what the request asks for, or
// is expected to. The caller holds mu.
func (p *Pool) hasTarget(r Request) bool {
	for _, s := range p.sortedTargets {
		if s.mayServe(r) {
			return true
		}
	}
	return false
}

// expectedWait estimates the wait from the organisation's backlog and its
// throughput: its fair share of the answers, or more if others leave some
// unused. The caller holds mu.
func (p *Pool) expectedWait(r Request) time.Duration {
	now := time.Now()
	rate := p.responseRate.rate(now) * p.queue.Share(r.Organisation, r.Weight)
	if m := p.grantRates[r.Organisation]; m != nil {
		rate = max(rate, m.rate(now))
	}
	backlog := p.queue.Backlog(r.Organisation)
	if backlog == 0 || rate <= 0 {
		return 0
	}
	seconds := min(float64(backlog)/rate, maxRetryAfter.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

// unavailable returns a refusal whose Retry-After is the time until the
// current queue is drained. The caller holds mu.
func (p *Pool) unavailable(reason refusal.Reason, text string) *refusal.Refusal {
	rate := p.responseRate.rate(time.Now())
	after := minRetryAfter
	if rate > 0 {
		after = time.Duration(float64(p.queue.Len()) / rate * float64(time.Second))
	}
	return refusal.Unavailable(reason, text, clampRetryAfter(after))
}

func clampRetryAfter(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// abandon ends a wait, unless the request was granted or refused at the same
// moment.
func (p *Pool) abandon(item *fairqueue.Item, w *waiter, reason refusal.Reason, text string) (*Grant, *refusal.Refusal) {
	p.mu.Lock()
	waiting := p.queue.Remove(item)
	ref := p.unavailable(reason, text)
	p.mu.Unlock()
	if waiting {
		return nil, ref
	}
	select {
	case g := <-w.granted:
		return g, nil
	case ref := <-w.refused:
		return nil, ref
	}
}

// grantWaiting grants targets to waiting requests. The caller holds mu.
func (p *Pool) grantWaiting() {
	now := time.Now()
	for p.queue.Len() > 0 {
		var g *Grant
		item := p.queue.Pop(func(i *fairqueue.Item) bool {
			g = p.choose(i.Value.(*waiter).request, now)
			return g != nil
		})
		if item == nil {
			return
		}
		p.recordGrant(item.Organisation, now)
		item.Value.(*waiter).granted <- g
	}
}

func (p *Pool) recordGrant(o id.Organisation, now time.Time) {
	m := p.grantRates[o]
	if m == nil {
		m = &rateMeter{}
		p.grantRates[o] = m
	}
	m.add(now)
}

// choose reserves capacity at a target, or returns nil. The caller holds mu.
func (p *Pool) choose(r Request, now time.Time) *Grant {
	candidates, states := p.candidates[:0], p.states[:0]
	for _, s := range p.sortedTargets {
		if !s.canServe(r) || !s.available(now) || !s.inService || r.Exclude[s.ID] {
			continue
		}
		states = append(states, s)
		candidates = append(candidates, policy.Candidate{
			Target: s.ID, Domain: s.Domain, InFlight: s.ownInFlight + s.estimateOthers(now), Limit: s.limit,
		})
	}
	p.candidates, p.states = candidates, states
	if len(candidates) == 0 {
		return nil
	}
	s := states[p.cfg.Policy.Pick(policy.Request{Prefix: r.Prefix}, candidates)]
	s.ownInFlight++
	return &Grant{Target: s.Target, pool: p, state: s, since: now}
}
