package dispatch

import (
	"cmp"
	"context"
	"slices"
	"time"

	"egretproxy/internal/fleet/id"
)

const (
	// queueCheckInterval is how often waiting requests are looked at without an
	// event, since shares refill and ejections end with time.
	queueCheckInterval = 20 * time.Millisecond
	// completionRateWindow is the time over which the rate of ended requests is
	// averaged.
	completionRateWindow = 2 * time.Second
)

// Grant is the right to send one request to a target. End must be called.
type Grant struct {
	Target  id.Target
	Address string
	Domain  id.Domain
	// InFlight is the estimate of requests at the target, this one included.
	InFlight float64
	// ReportAge is the age of the report behind Busy, negative without one.
	ReportAge time.Duration
	// Waited is the time in the queue.
	Waited time.Duration
	// Weights is the version that the target holds, 0 if unknown.
	Weights int64

	dispatcher *Dispatcher
	target     *target
	grantedAt  time.Time
	// prefillTokens is the tokens that still count as being read.
	prefillTokens int
}

type waiter struct {
	request *Request
	since   time.Time
	granted chan *Grant
}

// Acquire returns a target for the request, at once or within its MaxWait. A
// request that can't be borne in time is refused without a wait.
func (b *Dispatcher) Acquire(ctx context.Context, a *Request) (*Grant, error) {
	b.mu.Lock()
	s := b.services[a.Service]
	if s == nil {
		b.mu.Unlock()
		return nil, ErrNoTarget
	}
	s.nextMinWeights = max(s.nextMinWeights, a.NextMinWeights)
	ahead := s.ahead(a)
	t, found := b.pick(s, a)
	if t != nil && ahead == 0 {
		g := b.grant(s, t, a, time.Now())
		b.mu.Unlock()
		return g, nil
	}
	if !found {
		b.mu.Unlock()
		return nil, ErrNoTarget
	}
	if a.MaxWait <= 0 || s.exceedsWait(ahead, a.MaxWait) {
		b.mu.Unlock()
		return nil, ErrFull
	}
	w := &waiter{request: a, since: time.Now(), granted: make(chan *Grant, 1)}
	s.enqueue(w)
	b.mu.Unlock()
	return b.await(ctx, s, w)
}

// ahead counts the waiters that go before the request.
func (s *service) ahead(a *Request) int { return s.position(a) }

// position returns where a request that arrives now stands in the queue. Of
// requests that can still be in time the newest goes first: under overload a
// queue in order of arrival would let each of them wait until it is late,
// while this one serves most in time and refuses the rest. Late ones keep
// their order.
func (s *service) position(a *Request) int {
	i, _ := slices.BinarySearchFunc(s.waiters, a, func(w *waiter, a *Request) int {
		c := compare(w.request, a)
		if c == 0 && a.Late {
			return -1
		}
		return c
	})
	return i
}

// compare orders requests by rank, and late ones after others.
func compare(a, b *Request) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(lateRank(a), lateRank(b)))
}

func lateRank(a *Request) int {
	if a.Late {
		return 1
	}
	return 0
}

// exceedsWait reports whether those ahead take longer than the wait, at the rate
// at which requests end.
func (s *service) exceedsWait(ahead int, wait time.Duration) bool {
	if ahead == 0 || s.completionRate <= 0 {
		return false
	}
	return float64(ahead)/s.completionRate > wait.Seconds()
}

func (s *service) enqueue(w *waiter) {
	s.waiters = slices.Insert(s.waiters, s.position(w.request), w)
}

func (b *Dispatcher) await(ctx context.Context, s *service, w *waiter) (*Grant, error) {
	patience := time.NewTimer(w.request.MaxWait)
	defer patience.Stop()
	pump := time.NewTicker(queueCheckInterval)
	defer pump.Stop()
	for {
		select {
		case g := <-w.granted:
			return g, nil
		case <-pump.C:
			b.mu.Lock()
			b.grantWaiting(s)
			b.mu.Unlock()
			continue
		case <-patience.C:
		case <-ctx.Done():
		}
		b.mu.Lock()
		s.waiters = slices.DeleteFunc(s.waiters, func(x *waiter) bool { return x == w })
		b.mu.Unlock()
		select {
		case g := <-w.granted:
			return g, nil
		default:
			return nil, ErrFull
		}
	}
}

// grantAllWaiting and pump run under mu.
func (b *Dispatcher) grantAllWaiting() {
	for _, s := range b.services {
		b.grantWaiting(s)
	}
}

func (b *Dispatcher) grantWaiting(s *service) {
	if len(s.waiters) == 0 {
		return
	}
	kept := s.waiters[:0]
	for _, w := range s.waiters {
		t, _ := b.pick(s, w.request)
		if t == nil {
			kept = append(kept, w)
			continue
		}
		w.granted <- b.grant(s, t, w.request, w.since)
	}
	clear(s.waiters[len(kept):])
	s.waiters = kept
}

func (b *Dispatcher) grant(s *service, t *target, a *Request, since time.Time) *Grant {
	now := time.Now()
	t.ownInFlight++
	t.credit = max(t.credit-1, 0)
	t.prefillTokens += a.PromptTokens
	t.bucket.take(now, b.coldRate(s))
	t.health.recordStart(now)
	g := &Grant{
		Target: t.ID, Address: t.Address, Domain: t.Domain, InFlight: b.inFlight(t), ReportAge: -1,
		Waited: now.Sub(since), Weights: t.weights(), dispatcher: b, target: t, grantedAt: now, prefillTokens: a.PromptTokens,
	}
	if t.hasFreshReport() {
		g.ReportAge = now.Sub(t.loadTime)
	}
	return g
}

// RecordFirstEvent tells that the target has read the prompt.
func (g *Grant) RecordFirstEvent() {
	g.dispatcher.mu.Lock()
	defer g.dispatcher.mu.Unlock()
	g.prefillDone()
	if s := g.dispatcher.services[g.target.Service]; s != nil {
		s.timeToFirstEvent.Add(time.Since(g.grantedAt))
	}
}

// prefillDone runs under the board's mu.
func (g *Grant) prefillDone() {
	g.target.prefillTokens -= g.prefillTokens
	g.prefillTokens = 0
}

// End gives the target's place back. It reports whether the target is left
// out for a while because of the outcome.
func (g *Grant) End(o Outcome) bool {
	b := g.dispatcher
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	g.target.ownInFlight--
	// The place is this entry's until the next report shows it to others.
	g.target.credit++
	g.prefillDone()
	if g.target.hasFreshReport() && g.target.load.Closed && o != Served {
		// The target was announced to stop for a while.
		o = Cancelled
	}
	ejected := g.target.health.recordOutcome(now, o)
	s := b.services[g.target.Service]
	if s == nil {
		return ejected
	}
	s.recordCompletion(now)
	b.grantWaiting(s)
	return ejected
}

// recordCompletion averages the rate of ended requests.
func (s *service) recordCompletion(now time.Time) {
	gap := now.Sub(s.lastCompletion).Seconds()
	s.lastCompletion = now
	weight := min(gap/completionRateWindow.Seconds(), 1)
	if gap > 0 {
		s.completionRate += (1/max(gap, 1e-3) - s.completionRate) * weight
	}
}
