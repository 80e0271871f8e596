package siteentry

import (
	"context"
	"sync"
	"time"
)

// reserveRetryInterval is the time between attempts to reserve another target
// for a silent attempt.
const reserveRetryInterval = 150 * time.Millisecond

// silenceTimer cancels an attempt whose target has sent nothing for the limit,
// once another target is reserved. A limit of 0 never cancels.
type silenceTimer struct {
	limit  time.Duration
	cancel context.CancelFunc
	// reserveNext reports whether another target is ready to take over. It is
	// called with mu held.
	reserveNext func() bool

	mu sync.Mutex
	// timer is nil without a limit.
	timer *time.Timer
	// stopped is set when the attempt has ended, fired when it was cancelled,
	// held while no other target could take over.
	stopped, fired, held bool
}

func newSilenceTimer(cancel context.CancelFunc, limit time.Duration, reserveNext func() bool) *silenceTimer {
	s := &silenceTimer{limit: limit, cancel: cancel, reserveNext: reserveNext}
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
	if s.stopped || s.fired || s.held {
		return
	}
	if !s.reserveNext() {
		s.timer.Reset(reserveRetryInterval)
		return
	}
	s.fired = true
	s.cancel()
}

// hold keeps the timer from cancelling the attempt until it is reset.
func (s *silenceTimer) hold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = true
}

// reset restarts the timer.
func (s *silenceTimer) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = false
	if s.timer != nil && !s.fired {
		s.timer.Reset(s.limit)
	}
}

// stop stops the timer. Nothing is reserved after it returns.
func (s *silenceTimer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.timer != nil {
		s.timer.Stop()
	}
}

// expired reports whether the attempt was cancelled because of silence.
func (s *silenceTimer) expired() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fired
}
