// Package targetspeed predicts how a target that works more slowly than others of
// its service serves a request, so that work follows speed. The load that it answers
// is a fleet of uneven targets: at a slow one long answers do not end before their
// deadline, and each prompt that it reads delays all its streams.
package targetspeed

import (
	"time"

	"egretproxy/internal/site/plan"
)

const (
	// MaxSlowdown is the greatest slowdown that is used.
	MaxSlowdown = 100
	// evenRatio is the ratio of two slowdowns up to which targets count as equally
	// fast.
	evenRatio = 1.2
	// hintReserve is the factor by which an answer may be longer than expected.
	hintReserve = 2.5
)

// Work is what a request asks of a target.
type Work struct {
	// PromptTokens is the number of tokens to read before the first event, with
	// those of other prompts that are read first.
	PromptTokens int
	// HintTokens is the expected length of the answer and MaxTokens its greatest
	// length, 0 if unknown. DoneTokens is the part that the caller has.
	HintTokens, MaxTokens, DoneTokens int
	// Start and End are the times left until the first and the last event are due,
	// Gap is the longest pause between events. 0 means unbounded.
	Start, End, Gap time.Duration
}

// Fit tells how well a target suits a request. Less is better.
type Fit uint8

const (
	// Suited targets serve the request in time, or are among the fastest.
	Suited Fit = iota
	// Doubtful targets may serve it late, or do not end it in time if the answer is
	// longer than expected.
	Doubtful
	// Unsuited targets do not end an answer of the expected length in time.
	Unsuited
)

// Speed is the speed of one target. The zero value is a target of which nothing is
// known.
type Speed struct {
	// Engine describes the usual engine of the service. It may be nil.
	Engine *plan.Engine
	// Slowdown is how many times as long as that engine the target takes for the
	// same work, Fastest the least slowdown among the targets of the service. 0
	// means unknown, and counts as usual.
	Slowdown, Fastest float64
	// InFlight is the number of requests at the target.
	InFlight float64
}

// Even reports whether no other target is much faster.
func (s Speed) Even() bool { return s.ratio() <= evenRatio }

// ratio returns how many times as long as the fastest target it takes.
func (s Speed) ratio() float64 { return factor(s.Slowdown) / factor(s.Fastest) }

// factor limits a slowdown. Targets faster than usual count as usual.
func factor(slowdown float64) float64 { return min(max(slowdown, 1), MaxSlowdown) }

// Load returns the number of requests in progress at the fastest target beside which
// another request takes as long.
func (s Speed) Load() float64 {
	if s.Even() {
		return s.InFlight
	}
	return (s.InFlight+1)*s.ratio() - 1
}

// Fit returns how well the target suits the work. The fastest targets suit any, so
// that a fleet in which all are slow is used as one in which none is.
func (s Speed) Fit(w Work) Fit {
	if s.Even() || s.Engine == nil {
		return Suited
	}
	if w.End > 0 && s.duration(w, w.expectedTokens(s.Engine)) > w.End {
		return Unsuited
	}
	if w.Start > 0 && s.start(w) > w.Start || w.Gap > 0 && s.event() > w.Gap ||
		w.End > 0 && s.duration(w, w.longestTokens(s.Engine)) > w.End {
		return Doubtful
	}
	return Suited
}

// Burst returns how many requests of usual length the target can begin at once while
// the pauses of its streams stay within the gap, at least 1. It is 0 for a target that
// is not slow, which only its slots limit, and without a gap.
func (s Speed) Burst(gap time.Duration) int {
	if gap <= 0 || s.Engine == nil || factor(s.Slowdown) <= evenRatio {
		return 0
	}
	prompt := s.read(s.Engine.MeanPromptTokens)
	if prompt <= 0 {
		return 0
	}
	return max(int((gap-s.event())/prompt), 1)
}

// expectedTokens returns the expected length of the rest of the answer.
func (w Work) expectedTokens(e *plan.Engine) float64 { return w.rest(w.expected(e)) }

// longestTokens returns the length that the rest of the answer hardly exceeds.
func (w Work) longestTokens(e *plan.Engine) float64 {
	if w.HintTokens <= 0 && w.MaxTokens > 0 {
		return w.rest(float64(w.MaxTokens))
	}
	return w.rest(hintReserve * w.expected(e))
}

func (w Work) expected(e *plan.Engine) float64 {
	if w.HintTokens > 0 {
		return float64(w.HintTokens)
	}
	return e.MeanAnswerTokens
}

// rest returns what the caller lacks of an answer of n tokens.
func (w Work) rest(n float64) float64 {
	if w.MaxTokens > 0 {
		n = min(n, float64(w.MaxTokens))
	}
	return max(n-float64(w.DoneTokens), 0)
}

// duration returns the time until the target has written a number of tokens.
func (s Speed) duration(w Work, tokens float64) time.Duration {
	further := max(tokens/s.perEvent()-1, 0)
	return s.start(w) + time.Duration(further*float64(s.event()+s.readPerEvent()))
}

// start returns the time until the first event. At a target that has requests already,
// an event of theirs is in progress and another prompt may be read first.
func (s Speed) start(w Work) time.Duration {
	beside := min(max(s.InFlight, 0), 1)
	prompts := float64(w.PromptTokens) + beside*s.Engine.MeanPromptTokens
	return s.read(prompts) + time.Duration((1+beside)*float64(s.event()))
}

func (s Speed) perEvent() float64 { return float64(max(s.Engine.StepsPerEvent, 1)) }

// event returns the time between two events while no prompt is read.
func (s Speed) event() time.Duration {
	step := float64(s.Engine.Step) + s.InFlight*float64(s.Engine.StepPerRequest)
	return time.Duration(factor(s.Slowdown) * s.perEvent() * step)
}

// readPerEvent returns the mean time for which prompts of other requests are read
// between two events.
func (s Speed) readPerEvent() time.Duration {
	e := s.Engine
	if e.MeanAnswerTokens <= 0 {
		return 0
	}
	return time.Duration(s.InFlight * s.perEvent() / e.MeanAnswerTokens * float64(s.read(e.MeanPromptTokens)))
}

// read returns the time that the target takes for prompts.
func (s Speed) read(tokens float64) time.Duration {
	if s.Engine.PrefillTokensPerSecond <= 0 {
		return 0
	}
	return time.Duration(factor(s.Slowdown) * tokens / s.Engine.PrefillTokensPerSecond * float64(time.Second))
}
