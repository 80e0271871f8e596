package dispatch

import (
	"cmp"
	"context"
	"slices"
	"time"

	"egretproxy/internal/fleet/id"
)

const (
	// pumpInterval is how often waiting requests are looked at without an
	// event, since shares refill and ejections end with time.
	pumpInterval = 20 * time.Millisecond
	// rateSmoothing is the time over which the rate of ended requests is
	// averaged.
	rateSmoothing = 2 * time.Second
)

// Grant is the right to send one request to a target. End must be called.
type Grant struct {
	Target  id.Target
	Address string
	Domain  id.Domain
	// Busy is the estimate of requests at the target, this one included.
	Busy float64
	// Reported is the age of the report behind Busy, negative without one.
	Reported time.Duration
	// Waited is the time in the queue.
	Waited time.Duration
	// Weights is the version that the target holds, 0 if unknown.
	Weights int64

	board  *Board
	target *target
	at     time.Time
	// prompt is the tokens that still count as being read.
	prompt int
}

type waiter struct {
	ask   *Ask
	since time.Time
	done  chan *Grant
}

// Acquire returns a target for the request, at once or within its MaxWait. A
// request that can't be borne in time is refused without a wait.
func (b *Board) Acquire(ctx context.Context, a *Ask) (*Grant, error) {
	b.mu.Lock()
	s := b.services[a.Service]
	if s == nil {
		b.mu.Unlock()
		return nil, ErrNoTarget
	}
	s.soon = max(s.soon, a.SoonWeights)
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
	if a.MaxWait <= 0 || s.tooLong(ahead, a.MaxWait) {
		b.mu.Unlock()
		return nil, ErrFull
	}
	w := &waiter{ask: a, since: time.Now(), done: make(chan *Grant, 1)}
	s.enqueue(w)
	b.mu.Unlock()
	return b.await(ctx, s, w)
}

// ahead counts the waiters that go before the request.
func (s *service) ahead(a *Ask) int { return s.position(a) }

// position returns where a request that arrives now stands in the queue. Of
// requests that can still be in time the newest goes first: under overload a
// queue in order of arrival would let each of them wait until it is late,
// while this one serves most in time and refuses the rest. Late ones keep
// their order.
func (s *service) position(a *Ask) int {
	i, _ := slices.BinarySearchFunc(s.waiters, a, func(w *waiter, a *Ask) int {
		c := compare(w.ask, a)
		if c == 0 && a.Late {
			return -1
		}
		return c
	})
	return i
}

// compare orders requests by rank, and late ones after others.
func compare(a, b *Ask) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(late(a), late(b)))
}

func late(a *Ask) int {
	if a.Late {
		return 1
	}
	return 0
}

// tooLong reports whether those ahead take longer than the wait, at the rate
// at which requests end.
func (s *service) tooLong(ahead int, wait time.Duration) bool {
	if ahead == 0 || s.rate <= 0 {
		return false
	}
	return float64(ahead)/s.rate > wait.Seconds()
}

func (s *service) enqueue(w *waiter) {
	s.waiters = slices.Insert(s.waiters, s.position(w.ask), w)
}

func (b *Board) await(ctx context.Context, s *service, w *waiter) (*Grant, error) {
	patience := time.NewTimer(w.ask.MaxWait)
	defer patience.Stop()
	pump := time.NewTicker(pumpInterval)
	defer pump.Stop()
	for {
		select {
		case g := <-w.done:
			return g, nil
		case <-pump.C:
			b.mu.Lock()
			b.pump(s)
			b.mu.Unlock()
			continue
		case <-patience.C:
		case <-ctx.Done():
		}
		b.mu.Lock()
		s.waiters = slices.DeleteFunc(s.waiters, func(x *waiter) bool { return x == w })
		b.mu.Unlock()
		select {
		case g := <-w.done:
			return g, nil
		default:
			return nil, ErrFull
		}
	}
}

// pumpAll and pump run under mu.
func (b *Board) pumpAll() {
	for _, s := range b.services {
		b.pump(s)
	}
}

func (b *Board) pump(s *service) {
	if len(s.waiters) == 0 {
		return
	}
	kept := s.waiters[:0]
	for _, w := range s.waiters {
		t, _ := b.pick(s, w.ask)
		if t == nil {
			kept = append(kept, w)
			continue
		}
		w.done <- b.grant(s, t, w.ask, w.since)
	}
	clear(s.waiters[len(kept):])
	s.waiters = kept
}

func (b *Board) grant(s *service, t *target, a *Ask, since time.Time) *Grant {
	now := time.Now()
	t.own++
	t.credit = max(t.credit-1, 0)
	t.reading += a.Prompt
	t.bucket.take(now, b.rateFor(s))
	t.health.begin(now)
	g := &Grant{
		Target: t.ID, Address: t.Address, Domain: t.Domain, Busy: b.busy(t), Reported: -1,
		Waited: now.Sub(since), Weights: t.weights(), board: b, target: t, at: now, prompt: a.Prompt,
	}
	if t.reported() {
		g.Reported = now.Sub(t.loadAt)
	}
	return g
}

// Begun tells that the target has read the prompt.
func (g *Grant) Begun() {
	g.board.mu.Lock()
	defer g.board.mu.Unlock()
	g.begun()
	if s := g.board.services[g.target.Service]; s != nil {
		s.begin.Add(time.Since(g.at))
	}
}

// begun runs under the board's mu.
func (g *Grant) begun() {
	g.target.reading -= g.prompt
	g.prompt = 0
}

// End gives the target's place back. It reports whether the target is left
// out for a while because of the outcome.
func (g *Grant) End(o Outcome) bool {
	b := g.board
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	g.target.own--
	// The place is this entry's until the next report shows it to others.
	g.target.credit++
	g.begun()
	if g.target.reported() && g.target.load.Closed && o != Served {
		// The target was announced to stop for a while.
		o = Cancelled
	}
	ejected := g.target.health.end(now, o)
	s := b.services[g.target.Service]
	if s == nil {
		return ejected
	}
	s.noteEnd(now)
	b.pump(s)
	return ejected
}

// noteEnd averages the rate of ended requests.
func (s *service) noteEnd(now time.Time) {
	gap := now.Sub(s.ended).Seconds()
	s.ended = now
	weight := min(gap/rateSmoothing.Seconds(), 1)
	if gap > 0 {
		s.rate += (1/max(gap, 1e-3) - s.rate) * weight
	}
}
