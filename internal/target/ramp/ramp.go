// Package ramp limits the number of concurrent requests to a target while it
// warms up, and detects from its response times that it has turned cold.
package ramp

import (
	"sync"
	"time"
)

const (
	// minEvidenceWindow and maxEvidenceWindow bound the evidence window: the
	// time for which the last normal response time permits more requests than
	// a cold target can handle. Between the bounds the window is
	// evidenceWindowGaps times the usual gap between parts of a stream.
	minEvidenceWindow  = 50 * time.Millisecond
	maxEvidenceWindow  = 250 * time.Millisecond
	evidenceWindowGaps = 5
	// slowFactor is the ratio to the usual time above which a first-token time
	// or a gap shows that the target is cold.
	slowFactor = 3
	// minSlowFirstToken is the first-token time up to which a target never
	// counts as cold.
	minSlowFirstToken = 100 * time.Millisecond
	// minSlowGap is the gap up to which a target never counts as cold.
	minSlowGap = 25 * time.Millisecond
	// minGapSamples is the number of samples from which the usual gap is valid,
	// and gapSmoothing the weight of a new sample in it.
	minGapSamples = 50
	gapSmoothing  = 0.01
	// firstTokenSmoothing is the weight of a new sample in the usual
	// first-token time.
	firstTokenSmoothing = 0.1
	// minFirstTokenSamples is the number of samples from which the usual
	// first-token time is valid.
	minFirstTokenSamples = 5
)

// Ramp is the concurrency limit of one target. Set Slots and ColdSlots before
// use: the zero value admits no requests. Its methods are safe for concurrent
// use.
type Ramp struct {
	// Slots is the number of concurrent requests that a warm target can handle.
	Slots int
	// ColdSlots is the number that it can handle in a cold start.
	ColdSlots int
	// WarmRequests is the number of completed requests after which the target
	// counts as warm. Zero means four per slot.
	WarmRequests int

	mu sync.Mutex
	// completed is the number of completed requests since the last reset.
	completed int
	// warmFirstToken is the usual first-token time of the warm target, as a
	// moving average.
	warmFirstToken    time.Duration
	firstTokenSamples int
	// warmGap is the usual gap between parts of a stream of the warm target,
	// as a moving average.
	warmGap    time.Duration
	gapSamples int
	// lastWarmEvidence is the time of the last completed request or of the
	// last part of a response that was not slow, whichever is later.
	lastWarmEvidence time.Time
}

func (r *Ramp) warmRequests() int {
	if r.WarmRequests > 0 {
		return r.WarmRequests
	}
	return 4 * r.Slots
}

// Reset lowers the limit to that of a cold target.
func (r *Ramp) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reset()
}

func (r *Ramp) reset() {
	r.completed = 0
	r.lastWarmEvidence = time.Time{}
}

// RecordFirstToken records the time from dispatch to the first part of a
// response. It reports whether the target has just turned cold.
func (r *Ramp) RecordFirstToken(took time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isSlow(took) {
		wasWarm := r.completed > 0
		r.reset()
		return wasWarm
	}
	r.lastWarmEvidence = time.Now()
	if r.completed < r.warmRequests() {
		return false
	}
	r.firstTokenSamples++
	if r.firstTokenSamples == 1 {
		r.warmFirstToken = took
		return false
	}
	r.warmFirstToken += time.Duration(firstTokenSmoothing * float64(took-r.warmFirstToken))
	return false
}

func (r *Ramp) isSlow(took time.Duration) bool {
	return r.firstTokenSamples >= minFirstTokenSamples && took > minSlowFirstToken && took > slowFactor*r.warmFirstToken
}

// RecordGap records the time between two successive parts of a stream. It
// reports whether the target has just turned cold.
func (r *Ramp) RecordGap(gap time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gapSamples >= minGapSamples && gap > minSlowGap && gap > slowFactor*r.warmGap {
		wasWarm := r.completed > 0
		r.reset()
		return wasWarm
	}
	r.lastWarmEvidence = time.Now()
	if r.completed < r.warmRequests() {
		return false
	}
	r.gapSamples++
	if r.gapSamples == 1 {
		r.warmGap = gap
		return false
	}
	r.warmGap += time.Duration(gapSmoothing * float64(gap-r.warmGap))
	return false
}

// RecordCompletion records a completed request.
func (r *Ramp) RecordCompletion() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.completed++
	r.lastWarmEvidence = time.Now()
}

// Limit returns the number of requests that the target may have in flight now.
// It exceeds ColdSlots only within the evidence window.
func (r *Ramp) Limit() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.lastWarmEvidence) > r.evidenceWindow() {
		return min(r.ColdSlots, r.rampedLimit())
	}
	return r.rampedLimit()
}

func (r *Ramp) evidenceWindow() time.Duration {
	if r.gapSamples < minGapSamples {
		return maxEvidenceWindow
	}
	return min(max(evidenceWindowGaps*r.warmGap, minEvidenceWindow), maxEvidenceWindow)
}

// RampedLimit returns the limit that the completed requests permit, regardless
// of the evidence window.
func (r *Ramp) RampedLimit() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rampedLimit()
}

func (r *Ramp) rampedLimit() int {
	need := r.warmRequests()
	if r.completed >= need {
		return r.Slots
	}
	return r.ColdSlots + (r.Slots-r.ColdSlots)*r.completed/need
}

// Warm reports whether RampedLimit has reached Slots.
func (r *Ramp) Warm() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.completed >= r.warmRequests()
}
