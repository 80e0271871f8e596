package gateway

import (
	"context"
	"sync"
	"time"
)

// secureAgain is when a silent attempt tries again to secure another target.
const secureAgain = 150 * time.Millisecond

// silence cancels an attempt whose target sends nothing for a while, once
// another target is secured. A limit of 0 never cancels.
type silence struct {
	limit  time.Duration
	cancel context.CancelFunc
	// secure reports whether another target is ready to take over.
	secure func() bool

	mu sync.Mutex
	// timer is nil without a limit.
	timer *time.Timer
	// stopped tells that the attempt has ended, fired that it was cancelled.
	stopped, fired bool
}

func newSilence(cancel context.CancelFunc, limit time.Duration, secure func() bool) *silence {
	s := &silence{limit: limit, cancel: cancel, secure: secure}
	if limit > 0 {
		s.mu.Lock()
		s.timer = time.AfterFunc(limit, s.expire)
		s.mu.Unlock()
	}
	return s
}

func (s *silence) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || s.fired {
		return
	}
	if !s.secure() {
		s.timer.Reset(secureAgain)
		return
	}
	s.fired = true
	s.cancel()
}

// heard begins the wait anew.
func (s *silence) heard() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil && !s.fired {
		s.timer.Reset(s.limit)
	}
}

// stop ends the watch. Nothing is secured after it returned.
func (s *silence) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.timer != nil {
		s.timer.Stop()
	}
}

// hit reports whether the attempt was cancelled for silence.
func (s *silence) hit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fired
}
