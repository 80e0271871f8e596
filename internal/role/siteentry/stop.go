package siteentry

import (
	"context"
	"sync"
	"time"
)

const (
	// lastAdmission and admissionShare limit how long after a stop request the
	// entry accepts requests whose time may reach beyond the stop: by then the load
	// balancer has noticed, and most of the time that the platform gives is left. No
	// target may still be at work at the end on a request that was sent later than
	// 3 s after the stop request, which the process may see late.
	lastAdmission  = 2800 * time.Millisecond
	admissionShare = 3.0 / 8
	// onceShare applies to those that must not be repeated, since their callers
	// can't try again if the stop ends them.
	onceShare = 0.5
)

// stopState records the request to stop. In its zero value there was none.
type stopState struct {
	mu      sync.Mutex
	beganAt time.Time
	// limit is how long after beganAt the responses in progress must end.
	limit time.Duration
	// end is cancelled when the responses in progress must end. It is nil until
	// it is used.
	end    context.Context
	cancel context.CancelFunc
}

// begin records the request to stop and how long requests may take from now on.
func (s *stopState) begin(limit time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.beganAt, s.limit = time.Now(), limit
	time.AfterFunc(limit, s.cancel)
}

// init requires mu.
func (s *stopState) init() {
	if s.end == nil {
		s.end, s.cancel = context.WithCancel(context.Background())
	}
}

func (s *stopState) began() bool {
	since, _ := s.times()
	return since >= 0
}

// times returns the time since the request to stop, which is negative if there was
// none, and the time until the responses in progress must end.
func (s *stopState) times() (since, remaining time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.beganAt.IsZero() {
		return -1, 0
	}
	since = time.Since(s.beganAt)
	return since, s.limit - since
}

// admission returns how long after the request to stop requests are accepted whose
// time reaches beyond the stop.
func (s *stopState) admission(repeatable bool) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := min(lastAdmission, time.Duration(admissionShare*float64(s.limit)))
	if !repeatable {
		out = time.Duration(onceShare * float64(out))
	}
	return out
}

// ended reports whether the responses in progress must end.
func (s *stopState) ended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.end != nil && s.end.Err() != nil
}

// ending returns a context that ends when the responses in progress must end.
func (s *stopState) ending() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	return s.end
}

// bound returns a context that also ends when the responses in progress must
// end, and a function that releases it.
func (s *stopState) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	unregister := context.AfterFunc(s.ending(), cancel)
	return ctx, func() { unregister(); cancel() }
}

// comesTooLate reports whether the process stops and the request might not end in
// time. One whose caller gets a response by then in any case, if only that its
// deadline has passed, never comes too late, nor does one that may have run, since
// its caller can't be told otherwise.
func (j *job) comesTooLate() bool {
	since, remaining := j.entry.stop.times()
	if since < 0 || j.mayHaveRun || time.Until(j.deadline) <= remaining {
		return false
	}
	if remaining < j.expectedTime() {
		return true
	}
	return j.sent == 0 && since > j.entry.stop.admission(j.route.Repeatable())
}

// expireBody ends the reading of the body when the responses in progress must end, or
// the caller no longer waits for its own. The function that it returns prevents that,
// and reports false if it was too late.
func (j *job) expireBody() func() bool {
	ctx, cancel := j.entry.stop.ending(), context.CancelFunc(func() {})
	if j.r.ContentLength != 0 && time.Until(j.deadline) > 0 {
		ctx, cancel = context.WithDeadline(ctx, j.deadline)
	}
	stop := context.AfterFunc(ctx, j.reply.ExpireBody)
	return func() bool {
		defer cancel()
		return stop()
	}
}
