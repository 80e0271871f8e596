// Package ramp decides how much work a target may be given while it warms up,
// and notices from what it does that it has turned cold.
package ramp

import (
	"sync"
	"time"
)

const (
	// minEvidenceWindow and maxEvidenceWindow bound the age up to which a sign of
	// warmth permits more work than a cold target bears. In between it is
	// evidenceWindowGaps times the usual time between parts of a stream.
	minEvidenceWindow  = 50 * time.Millisecond
	maxEvidenceWindow  = 250 * time.Millisecond
	evidenceWindowGaps = 5
	// slowFactor is the ratio to the usual first-token time at which an
	// answer is a sign of coldness.
	slowFactor = 3
	// minSlowFirstToken is the first-token time below which nothing is slow.
	minSlowFirstToken = 100 * time.Millisecond
	// minSlowGap is the time between parts below which nothing is slow.
	minSlowGap = 25 * time.Millisecond
	// minGapSamples is the number of gaps before one counts as usual, and
	// gapSmoothing the weight of a new one.
	minGapSamples = 50
	gapSmoothing  = 0.01
	// firstTokenSmoothing is the weight of a new sample in the usual time.
	firstTokenSmoothing = 0.1
	// minFirstTokenSamples is the number of samples before a time counts as usual.
	minFirstTokenSamples = 5
)

// Ramp is the limit of one target. Its zero value permits nothing; set Slots
// and ColdSlots before use.
type Ramp struct {
	// Slots is the number of requests that the target bears when warm.
	Slots int
	// ColdSlots is the number that it bears in a cold start.
	ColdSlots int
	// WarmRequests is the number of whole answers after which the target
	// counts as warm. Zero means four for each slot.
	WarmRequests int

	mu sync.Mutex
	// completed is the whole answers since the target was last cold.
	completed int
	// warmFirstToken is the smoothed first-token time when warm.
	warmFirstToken    time.Duration
	firstTokenSamples int
	// warmGap is the smoothed time between parts of a stream when warm.
	warmGap    time.Duration
	gapSamples int
	// lastWarmEvidence is the time of the newest sign of warmth.
	lastWarmEvidence time.Time
}

func (r *Ramp) warmRequests() int {
	if r.WarmRequests > 0 {
		return r.WarmRequests
	}
	return 4 * r.Slots
}

// Reset starts over as for a cold target.
func (r *Ramp) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reset()
}

func (r *Ramp) reset() {
	r.completed = 0
	r.lastWarmEvidence = time.Time{}
}

// RecordFirstToken notes the time from dispatch to the first part of an answer. It
// reports whether the target has just turned cold.
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

// RecordGap notes a further part of a stream and the time since the one before. It
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

// RecordCompletion notes a whole answer.
func (r *Ramp) RecordCompletion() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.completed++
	r.lastWarmEvidence = time.Now()
}

// Limit returns the number of requests that the target may have in progress
// now. Above ColdSlots it needs a fresh sign of warmth.
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

// RampedLimit returns the limit that the whole answers so far permit.
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

// Warm reports whether the target has grown to its full limit.
func (r *Ramp) Warm() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.completed >= r.warmRequests()
}
