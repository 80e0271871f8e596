package gateway

import (
	"context"
	"sync/atomic"
	"time"
)

// silence cancels an attempt whose target sends nothing for a while, if
// another one is permitted. A limit of 0 never cancels.
type silence struct {
	limit time.Duration
	timer *time.Timer
	fired atomic.Bool
}

func newSilence(cancel context.CancelFunc, limit time.Duration, permit func() bool) *silence {
	s := &silence{limit: limit}
	if limit > 0 {
		s.timer = time.AfterFunc(limit, func() {
			if !permit() {
				return
			}
			s.fired.Store(true)
			cancel()
		})
	}
	return s
}

// heard begins the wait anew.
func (s *silence) heard() {
	if s.timer != nil {
		s.timer.Reset(s.limit)
	}
}

func (s *silence) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}

// hit reports whether the attempt was cancelled for silence.
func (s *silence) hit() bool { return s.fired.Load() }
