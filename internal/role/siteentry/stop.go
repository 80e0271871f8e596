package siteentry

import (
	"context"
	"sync"
	"time"
)

// stopState records the request to stop. In its zero value there was none.
type stopState struct {
	mu      sync.Mutex
	beganAt time.Time
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
	s.beganAt = time.Now()
	time.AfterFunc(limit, s.cancel)
}

// init requires mu.
func (s *stopState) init() {
	if s.end == nil {
		s.end, s.cancel = context.WithCancel(context.Background())
	}
}

func (s *stopState) began() bool { return s.since() >= 0 }

// since returns the time since the request to stop, negative if there was none.
func (s *stopState) since() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.beganAt.IsZero() {
		return -1
	}
	return time.Since(s.beganAt)
}

// refusesNew reports whether requests come too late to end in time.
func (s *stopState) refusesNew() bool { return s.since() > lastAdmission }

// ended reports whether the responses in progress must end.
func (s *stopState) ended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.end != nil && s.end.Err() != nil
}

// bound returns a context that also ends when the responses in progress must
// end, and a function that releases it.
func (s *stopState) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	s.mu.Lock()
	s.init()
	end := s.end
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	unregister := context.AfterFunc(end, cancel)
	return ctx, func() { unregister(); cancel() }
}
