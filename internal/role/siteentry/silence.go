package siteentry

import (
	"context"
	"sync"
	"time"
)

// reserveRetryInterval is when a silent attempt tries again to secure another target.
const reserveRetryInterval = 150 * time.Millisecond

// silenceTimer cancels an attempt whose target sends nothing for a while, once
// another target is secured. A limit of 0 never cancels.
type silenceTimer struct {
	limit  time.Duration
	cancel context.CancelFunc
	// reserveNext reports whether another target is ready to take over.
	reserveNext func() bool

	mu sync.Mutex
	// timer is nil without a limit.
	timer *time.Timer
	// stopped tells that the attempt has ended, fired that it was cancelled.
	stopped, fired bool
}

func newSilenceTimer(cancel context.CancelFunc, limit time.Duration, secure func() bool) *silenceTimer {
	s := &silenceTimer{limit: limit, cancel: cancel, reserveNext: secure}
	if limit > 0 {
		s.mu.Lock()
		s.timer = time.AfterFunc(limit, s.onTimeout)
		s.mu.Unlock()
	}
	return s
}

func (s *silenceTimer) onTimeout() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || s.fired {
		return
	}
	if !s.reserveNext() {
		s.timer.Reset(reserveRetryInterval)
		return
	}
	s.fired = true
	s.cancel()
}

// reset begins the wait anew.
func (s *silenceTimer) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil && !s.fired {
		s.timer.Reset(s.limit)
	}
}

// stop ends the watch. Nothing is secured after it returned.
func (s *silenceTimer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.timer != nil {
		s.timer.Stop()
	}
}

// expired reports whether the attempt was cancelled for silence.
func (s *silenceTimer) expired() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fired
}
