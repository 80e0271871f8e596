package dispatch

import (
	"cmp"
	"context"
	"slices"
	"time"

	"egretproxy/internal/fleet/id"
)

const (
	// queueCheckInterval is how often a queue is checked without an event,
	// because rate limits refill and ejections expire over time.
	queueCheckInterval = 20 * time.Millisecond
	// completionRateWindow is the smoothing period of the completion rate.
	completionRateWindow = 2 * time.Second
)

// Grant is the right to send one request to a target. End must be called
// exactly once.
type Grant struct {
	Target  id.Target
	Address string
	// Born is the start time of the target's incarnation in Unix milliseconds.
	Born   int64
	Domain id.Domain
	// InFlight is the estimated number of requests at the target, including
	// this one.
	InFlight float64
	// ReportAge is the age of the load report behind InFlight, or negative
	// without a report.
	ReportAge time.Duration
	// Waited is the time spent in the queue.
	Waited time.Duration
	// Weights is the version that the target holds, or 0 if unknown.
	Weights int64
	// Slowdown is that of the target's report, 0 if it is not slow.
	Slowdown float64

	dispatcher *Dispatcher
	target     *target
	grantedAt  time.Time
	// prefillTokens is the number of prompt tokens that still count as being
	// processed.
	prefillTokens int
}

type waiter struct {
	request *Request
	since   time.Time
	granted chan *Grant
}

// Acquire selects a target for the request, immediately or within its
// MaxWait. It returns ErrNoTarget if no target is allowed to serve the
// request and ErrFull if none has capacity in time or ctx ends during the
// wait. A request that is not expected to get capacity within MaxWait fails
// without waiting.
func (d *Dispatcher) Acquire(ctx context.Context, r *Request) (*Grant, error) {
	d.mu.Lock()
	s := d.services[r.Service]
	if s == nil {
		d.mu.Unlock()
		return nil, ErrNoTarget
	}
	now := time.Now()
	s.demand.add(now)
	s.nextMinWeights = max(s.nextMinWeights, r.NextMinWeights)
	ahead := s.ahead(r)
	t, found := d.pick(s, s.targets, r, now)
	if t != nil && ahead == 0 {
		g := d.grant(s, t, r, now, now)
		d.mu.Unlock()
		return g, nil
	}
	if !found {
		d.mu.Unlock()
		return nil, ErrNoTarget
	}
	if r.MaxWait <= 0 || s.exceedsWait(ahead, r.MaxWait) || s.pausesBeyond(r, now) {
		d.mu.Unlock()
		return nil, ErrFull
	}
	w := &waiter{request: r, since: now, granted: make(chan *Grant, 1)}
	if len(s.waiters) == 0 {
		s.waitingSince = now
	}
	s.enqueue(w)
	d.scheduleCheck(s)
	d.mu.Unlock()
	return d.await(ctx, s, w)
}

// ahead returns the number of waiters that are served before the request.
func (s *service) ahead(r *Request) int { return s.position(r) }

// position returns the index in the queue of a request that arrives now.
// Among requests that can still meet their objective the newest is first:
// under overload, a first-in first-out queue would make every request wait
// until it is late, while this order serves most of them in time and refuses
// the rest. Late requests keep their order of arrival.
func (s *service) position(r *Request) int {
	i, _ := slices.BinarySearchFunc(s.waiters, r, func(w *waiter, r *Request) int {
		c := compare(w.request, r)
		if c == 0 && r.Late {
			return -1
		}
		return c
	})
	return i
}

// compare orders requests by priority, and late ones after others.
func compare(a, b *Request) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(lateRank(a), lateRank(b)))
}

func lateRank(r *Request) int {
	if r.Late {
		return 1
	}
	return 0
}

// exceedsWait reports whether serving the requests ahead takes longer than
// wait at the current completion rate.
func (s *service) exceedsWait(ahead int, wait time.Duration) bool {
	if ahead == 0 || s.completionRate <= 0 {
		return false
	}
	return float64(ahead)/s.completionRate > wait.Seconds()
}

func (s *service) enqueue(w *waiter) {
	s.waiters = slices.Insert(s.waiters, s.position(w.request), w)
}

func (d *Dispatcher) await(ctx context.Context, s *service, w *waiter) (*Grant, error) {
	timeout := time.NewTimer(w.request.MaxWait)
	defer timeout.Stop()
	select {
	case g := <-w.granted:
		return g, nil
	case <-timeout.C:
	case <-ctx.Done():
	}
	d.mu.Lock()
	s.waiters = slices.DeleteFunc(s.waiters, func(x *waiter) bool { return x == w })
	d.mu.Unlock()
	select {
	case g := <-w.granted:
		return g, nil
	default:
		return nil, ErrFull
	}
}

// scheduleCheck makes sure that the queue is checked after queueCheckInterval if
// requests wait in it. The caller holds mu.
func (d *Dispatcher) scheduleCheck(s *service) {
	if s.checkScheduled || len(s.waiters) == 0 {
		return
	}
	s.checkScheduled = true
	time.AfterFunc(queueCheckInterval, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		s.checkScheduled = false
		d.grantWaiting(s, s.targets)
		d.scheduleCheck(s)
	})
}

// grantAllWaiting runs grantWaiting for all services. The caller holds mu.
func (d *Dispatcher) grantAllWaiting() {
	for _, s := range d.services {
		d.grantWaiting(s, s.targets)
	}
}

// grantWaiting grants targets that may have become free to waiting requests, in
// the order of the queue. The caller holds mu.
//
// It visits the requests only as long as one of the targets has capacity: under
// overload, when most requests wait, nearly all targets are full.
func (d *Dispatcher) grantWaiting(s *service, targets []*target) {
	if len(s.waiters) == 0 {
		return
	}
	now := time.Now()
	free := s.free[:0]
	for _, t := range targets {
		if t.inService() && d.hasCapacity(s, t, now) {
			free = append(free, t)
		}
	}
	kept := s.waiters[:0]
	for i, w := range s.waiters {
		if len(free) == 0 {
			kept = append(kept, s.waiters[i:]...)
			break
		}
		t, _ := d.pick(s, free, w.request, now)
		if t == nil {
			kept = append(kept, w)
			continue
		}
		w.granted <- d.grant(s, t, w.request, w.since, now)
		if !d.hasCapacity(s, t, now) {
			free = slices.DeleteFunc(free, func(x *target) bool { return x == t })
		}
	}
	clear(s.waiters[len(kept):])
	s.waiters, s.free = kept, free
}

func (d *Dispatcher) grant(s *service, t *target, r *Request, since, now time.Time) *Grant {
	t.ownInFlight++
	t.credit = max(t.credit-1, 0)
	t.prefillTokens += r.PromptTokens
	t.bucket.take(now, d.coldRate(s, t, now))
	t.limit.take()
	t.health.recordStart(now)
	g := &Grant{
		Target: t.ID, Address: t.Address, Born: t.Born, Domain: t.Domain, InFlight: d.inFlight(t, now), ReportAge: -1,
		Waited: now.Sub(since), Weights: t.weights(now), dispatcher: d, target: t, grantedAt: now, prefillTokens: r.PromptTokens,
	}
	if t.hasFreshReport(now) {
		g.ReportAge, g.Slowdown = now.Sub(t.reportTime), t.load.Slowdown
	}
	if s.spec.Engine != nil {
		t.unstarted = append(t.unstarted, g)
	}
	return g
}

// Valid reports whether the target may still get the request: it has not left,
// is not about to leave, was not replaced, has not asked for a pause, and its
// failure domain is in service.
func (g *Grant) Valid() bool {
	g.dispatcher.mu.Lock()
	defer g.dispatcher.mu.Unlock()
	return g.dispatcher.targets[g.Target] == g.target && g.target.inService() && !g.target.pauses(time.Now())
}

// RecordFirstEvent records that the target sent its first event and has
// therefore processed the prompt.
func (g *Grant) RecordFirstEvent() {
	g.dispatcher.mu.Lock()
	defer g.dispatcher.mu.Unlock()
	g.prefillDone()
	g.recordStart(time.Now())
}

// prefillDone stops counting the prompt as being processed. The caller holds
// the dispatcher's mu.
func (g *Grant) prefillDone() {
	g.target.prefillTokens -= g.prefillTokens
	g.prefillTokens = 0
	g.target.startDone(g)
}

// End releases the capacity held at the target. It reports whether the
// outcome ejected the target.
func (g *Grant) End(o Outcome) bool {
	d := g.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	g.target.ownInFlight--
	g.target.addFreedCredit(now)
	g.prefillDone()
	if g.target.hasFreshReport(now) && g.target.load.Closed && o != Served {
		// The target announced a pause, so the failure is not held against
		// it.
		o = Cancelled
	}
	ejected := g.target.health.recordOutcome(now, o)
	s := d.services[g.target.Service]
	if s == nil {
		return ejected
	}
	s.recordCompletion(now)
	d.grantWaiting(s, []*target{g.target})
	return ejected
}

// addFreedCredit lets this entry reuse the place of a request that ended, until a
// report shows it to the other entries.
func (t *target) addFreedCredit(now time.Time) {
	if now.After(t.creditUntil) {
		t.credit = 0
	}
	t.credit++
	if until := now.Add(freedCreditTime); until.After(t.creditUntil) {
		t.creditUntil = until
	}
}

// recordCompletion updates the smoothed rate of completed requests.
func (s *service) recordCompletion(now time.Time) {
	gap := now.Sub(s.lastCompletion).Seconds()
	s.lastCompletion = now
	weight := min(gap/completionRateWindow.Seconds(), 1)
	if gap > 0 {
		s.completionRate += (1/max(gap, 1e-3) - s.completionRate) * weight
	}
}
