// Package pool admits requests at an entry: it knows what each target can
// take, lets requests wait in fair order, and refuses early what can't be
// borne.
package pool

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
	// pumpInterval is the time between two looks at waiting requests.
	pumpInterval = 20 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the advice to callers.
	minRetryAfter = 1 * time.Second
	maxRetryAfter = 30 * time.Second
)

// Request is what the pool needs to know of a request.
type Request struct {
	Organisation id.Organisation
	// Weight is the organisation's share.
	Weight int
	// Cost is the expected work in tokens.
	Cost float64
	// Model or Service is set.
	Model   id.Model
	Service id.Service
	// Bundle is set if only this version may answer.
	Bundle id.Bundle
	Prefix uint64
	// Exclude is the targets that were tried already.
	Exclude map[id.Target]bool
	// Retry tells that the request was admitted before.
	Retry bool
}

// Config sets up a Pool.
type Config struct {
	MaxQueue int
	MaxWait  time.Duration
	Policy   policy.Policy
	Rand     *rand.Rand
}

// waiter is a request that waits.
type waiter struct {
	request Request
	granted chan *Grant
	refused chan *refusal.Refusal
}

// Pool is the admission of one entry. It is safe for concurrent use.
type Pool struct {
	cfg Config

	mu      sync.Mutex
	targets map[id.Target]*state
	// list is the targets in order of their ids.
	list []*state
	// candidates and states are reused from one choice to the next.
	candidates []policy.Candidate
	states     []*state
	queue      fairqueue.Queue
	// answers is the rate of answers, and grants the rate of grants to each
	// organisation.
	answers meter
	grants  map[id.Organisation]*meter
}

// New returns a pool without targets.
func New(c Config) *Pool {
	return &Pool{cfg: c, targets: map[id.Target]*state{}, grants: map[id.Organisation]*meter{}}
}

// Run lets waiting requests go on until the context ends.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(pumpInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.mu.Lock()
			p.pump()
			p.mu.Unlock()
		}
	}
}

// SetView takes in a new version of the agreed state.
func (p *Pool) SetView(v view.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, t := range v.Targets {
		s := p.targets[k]
		if s == nil {
			s = &state{}
			p.targets[k] = s
		}
		s.take(t)
	}
	p.list = p.list[:0]
	for k, s := range p.targets {
		if _, ok := v.Targets[k]; !ok {
			delete(p.targets, k)
			continue
		}
		s.inService = v.InService(s.Domain)
		p.list = append(p.list, s)
	}
	slices.SortFunc(p.list, func(a, b *state) int { return cmp.Compare(a.ID, b.ID) })
	p.pump()
}

// SetPolicy replaces the routing policy.
func (p *Pool) SetPolicy(c policy.Policy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cfg.Policy = c
}

// Waiting returns the number of requests that wait.
func (p *Pool) Waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Len()
}

// Acquire waits for a target that can take the request.
func (p *Pool) Acquire(ctx context.Context, r Request) (*Grant, *refusal.Refusal) {
	w := &waiter{request: r, granted: make(chan *Grant, 1), refused: make(chan *refusal.Refusal, 1)}
	item := &fairqueue.Item{Organisation: r.Organisation, Weight: r.Weight, Cost: r.Cost, Value: w}
	if r.Retry {
		item.Cost = 0
	}
	if ref := p.enter(r, item); ref != nil {
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
		return p.giveUp(item, w, refusal.CallerGone, "caller has gone")
	case <-timer.C:
		return p.giveUp(item, w, refusal.QueueTimeout, "no target became free in time")
	}
}

// enter puts a request into the queue and grants what can be granted.
func (p *Pool) enter(r Request, item *fairqueue.Item) *refusal.Refusal {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ref := p.hopeless(r); ref != nil {
		return ref
	}
	p.queue.Push(item)
	p.pump()
	if granted(item) || p.queue.Len() <= p.cfg.MaxQueue {
		return nil
	}
	p.queue.Remove(item)
	victim := p.queue.Evict(r.Organisation, r.Weight)
	if victim == nil {
		return p.busy(refusal.QueueFull, "too many requests wait")
	}
	victim.Value.(*waiter).refused <- p.busy(refusal.QueueFull, "too many requests of the organisation wait")
	p.queue.Push(item)
	return nil
}

func granted(i *fairqueue.Item) bool {
	return len(i.Value.(*waiter).granted) > 0
}

// hopeless refuses at once what would wait in vain.
func (p *Pool) hopeless(r Request) *refusal.Refusal {
	if !p.serves(r) {
		return refusal.Busy(refusal.NoTarget, "no target serves this now", minRetryAfter)
	}
	wait := p.expectedWait(r)
	if r.Retry || wait <= p.cfg.MaxWait {
		return nil
	}
	return refusal.Busy(refusal.QueueFull, "the wait would be too long", clampRetry(wait))
}

// serves reports whether any target may come to take the request, now or soon.
func (p *Pool) serves(r Request) bool {
	for _, s := range p.list {
		if s.concerns(r) {
			return true
		}
	}
	return false
}

// expectedWait estimates the wait from the organisation's backlog and what it
// gets: its fair share of the answers, or more where others leave some.
func (p *Pool) expectedWait(r Request) time.Duration {
	now := time.Now()
	rate := p.answers.rate(now) * p.queue.Share(r.Organisation, r.Weight)
	if m := p.grants[r.Organisation]; m != nil {
		rate = max(rate, m.rate(now))
	}
	backlog := p.queue.Backlog(r.Organisation)
	if backlog == 0 || rate <= 0 {
		return 0
	}
	seconds := min(float64(backlog)/rate, maxRetryAfter.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

// busy returns a refusal with the time until the present queue is gone. The
// caller holds mu.
func (p *Pool) busy(reason refusal.Reason, text string) *refusal.Refusal {
	rate := p.answers.rate(time.Now())
	after := minRetryAfter
	if rate > 0 {
		after = time.Duration(float64(p.queue.Len()) / rate * float64(time.Second))
	}
	return refusal.Busy(reason, text, clampRetry(after))
}

func clampRetry(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// giveUp ends a wait, unless the request was granted in the same moment.
func (p *Pool) giveUp(item *fairqueue.Item, w *waiter, reason refusal.Reason, text string) (*Grant, *refusal.Refusal) {
	p.mu.Lock()
	waiting := p.queue.Remove(item)
	ref := p.busy(reason, text)
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

// pump grants targets to waiting requests. The caller holds mu.
func (p *Pool) pump() {
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
		p.noteGrant(item.Organisation, now)
		item.Value.(*waiter).granted <- g
	}
}

func (p *Pool) noteGrant(o id.Organisation, now time.Time) {
	m := p.grants[o]
	if m == nil {
		m = &meter{}
		p.grants[o] = m
	}
	m.add(now)
}

// choose reserves a place at a target, or returns nil.
func (p *Pool) choose(r Request, now time.Time) *Grant {
	candidates, states := p.candidates[:0], p.states[:0]
	for _, s := range p.list {
		if !s.fits(r) || !s.free(now) || !s.inService || r.Exclude[s.ID] {
			continue
		}
		states = append(states, s)
		candidates = append(candidates, policy.Candidate{
			Target: s.ID, Domain: s.Domain, InFlight: s.own + s.others(now), Limit: s.limit,
		})
	}
	p.candidates, p.states = candidates, states
	if len(candidates) == 0 {
		return nil
	}
	s := states[p.cfg.Policy.Pick(policy.Request{Prefix: r.Prefix}, candidates)]
	s.own++
	return &Grant{Target: s.Target, pool: p, state: s, since: now}
}
