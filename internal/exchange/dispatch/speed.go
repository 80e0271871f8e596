package dispatch

import (
	"time"

	"egretproxy/internal/admission/targetspeed"
)

// fastestInterval is the time between two searches for the fastest target.
const fastestInterval = 100 * time.Millisecond

// Answer describes the answer to a request, as far as it is known.
type Answer struct {
	// HintTokens, MaxTokens, DoneTokens and Gap are those of targetspeed.Work.
	HintTokens, MaxTokens, DoneTokens int
	Gap                               time.Duration
	// StartDue and EndDue are when the first and the last event are due, zero if no
	// time is.
	StartDue, EndDue time.Time
}

// speed returns the speed of a target. Without a fresh report it is unknown.
func (d *Dispatcher) speed(s *service, t *target, now time.Time) targetspeed.Speed {
	out := targetspeed.Speed{Engine: s.spec.Engine, InFlight: d.inFlight(t, now)}
	if s.spec.Engine == nil || !t.hasFreshReport(now) || t.load.Slowdown <= 1 {
		return out
	}
	out.Slowdown, out.Fastest = t.load.Slowdown, s.fastestReady(now)
	return out
}

// fastestReady returns the least slowdown among the targets that could get requests,
// or 0 if there are none.
func (s *service) fastestReady(now time.Time) float64 {
	if now.Sub(s.fastestAt) < fastestInterval {
		return s.fastest
	}
	s.fastest, s.fastestAt = 0, now
	for _, t := range s.targets {
		if !t.ready(now) {
			continue
		}
		if slowdown := max(t.load.Slowdown, 1); s.fastest == 0 || slowdown < s.fastest {
			s.fastest = slowdown
		}
	}
	return s.fastest
}

// ready reports whether the target gets requests now, and tells its speed.
func (t *target) ready(now time.Time) bool {
	return t.inService() && t.hasFreshReport(now) && !t.load.Closed && t.load.Weights > 0 && !t.pauses(now) && t.health.admits(now)
}

// hasFaster reports whether a ready target that may serve the request is faster.
func (s *service) hasFaster(speed targetspeed.Speed, r *Request, now time.Time) bool {
	for _, t := range s.targets {
		speed.Fastest = max(t.load.Slowdown, 1)
		if !speed.Even() && t.ready(now) && mayServe(s, t, r, now) {
			return true
		}
	}
	return false
}

// fit returns how well a target of a speed suits the request now. Where no target
// that may serve it is faster, it does.
func (s *service) fit(t *target, speed targetspeed.Speed, r *Request, now time.Time) targetspeed.Fit {
	if speed.Even() {
		return targetspeed.Suited
	}
	waiting := float64(t.load.Queued) * s.spec.Engine.MeanPromptTokens
	w := targetspeed.Work{
		PromptTokens: r.PromptTokens + t.prefillTokens + int(waiting), Gap: r.Answer.Gap,
		HintTokens: r.Answer.HintTokens, MaxTokens: r.Answer.MaxTokens, DoneTokens: r.Answer.DoneTokens,
	}
	if left := r.Answer.StartDue.Sub(now); left > 0 {
		w.Start = max(left-t.load.NetworkDelay, 1)
	}
	if !r.Answer.EndDue.IsZero() {
		w.End = max(r.Answer.EndDue.Sub(now)-t.load.NetworkDelay, 1)
	}
	fit := speed.Fit(w)
	if fit != targetspeed.Suited && !s.hasFaster(speed, r, now) {
		return targetspeed.Suited
	}
	return fit
}

// mayUse reports whether the request may go to a target that suits it so well. A
// doubtful one is used once nothing better has had room for a while, and at once by a
// request that can't wait.
func (s *service) mayUse(fit targetspeed.Fit, r *Request, now time.Time) bool {
	return fit == targetspeed.Suited || fit == targetspeed.Doubtful && (r.MaxWait <= 0 || s.pressed(now))
}
