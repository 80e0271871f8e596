// Package ramp decides how much work a target may be given while it warms up,
// and notices from what it does that it has turned cold.
package ramp

import (
	"sync"
	"time"
)

const (
	// minFreshness and maxFreshness bound the age up to which a sign of
	// warmth permits more work than a cold target bears. In between it is
	// freshGaps times the usual time between parts of a stream.
	minFreshness = 50 * time.Millisecond
	maxFreshness = 250 * time.Millisecond
	freshGaps    = 5
	// slowFactor is the ratio to the usual first-token time at which an
	// answer is a sign of coldness.
	slowFactor = 3
	// slowFloor is the first-token time below which nothing is slow.
	slowFloor = 100 * time.Millisecond
	// slowGapFloor is the time between parts below which nothing is slow.
	slowGapFloor = 25 * time.Millisecond
	// minGaps is the number of gaps before one counts as usual, and
	// gapSmoothing the weight of a new one.
	minGaps      = 50
	gapSmoothing = 0.01
	// smoothing is the weight of a new sample in the usual time.
	smoothing = 0.1
	// minSamples is the number of samples before a time counts as usual.
	minSamples = 5
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
	// good is the whole answers since the target was last cold.
	good int
	// usual is the smoothed first-token time when warm.
	usual   time.Duration
	samples int
	// usualGap is the smoothed time between parts of a stream when warm.
	usualGap   time.Duration
	gapSamples int
	// lastGood is the time of the newest sign of warmth.
	lastGood time.Time
}

func (r *Ramp) warmRequests() int {
	if r.WarmRequests > 0 {
		return r.WarmRequests
	}
	return 4 * r.Slots
}

// Cool starts over as for a cold target.
func (r *Ramp) Cool() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cool()
}

func (r *Ramp) cool() {
	r.good = 0
	r.lastGood = time.Time{}
}

// FirstToken notes the time from dispatch to the first part of an answer. It
// reports whether the target has just turned cold.
func (r *Ramp) FirstToken(took time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.slow(took) {
		wasWarm := r.good > 0
		r.cool()
		return wasWarm
	}
	r.lastGood = time.Now()
	if r.good < r.warmRequests() {
		return false
	}
	r.samples++
	if r.samples == 1 {
		r.usual = took
		return false
	}
	r.usual += time.Duration(smoothing * float64(took-r.usual))
	return false
}

func (r *Ramp) slow(took time.Duration) bool {
	return r.samples >= minSamples && took > slowFloor && took > slowFactor*r.usual
}

// Token notes a further part of a stream and the time since the one before. It
// reports whether the target has just turned cold.
func (r *Ramp) Token(gap time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gapSamples >= minGaps && gap > slowGapFloor && gap > slowFactor*r.usualGap {
		wasWarm := r.good > 0
		r.cool()
		return wasWarm
	}
	r.lastGood = time.Now()
	if r.good < r.warmRequests() {
		return false
	}
	r.gapSamples++
	if r.gapSamples == 1 {
		r.usualGap = gap
		return false
	}
	r.usualGap += time.Duration(gapSmoothing * float64(gap-r.usualGap))
	return false
}

// Done notes a whole answer.
func (r *Ramp) Done() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.good++
	r.lastGood = time.Now()
}

// Limit returns the number of requests that the target may have in progress
// now. Above ColdSlots it needs a fresh sign of warmth.
func (r *Ramp) Limit() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.lastGood) > r.freshness() {
		return min(r.ColdSlots, r.grown())
	}
	return r.grown()
}

func (r *Ramp) freshness() time.Duration {
	if r.gapSamples < minGaps {
		return maxFreshness
	}
	return min(max(freshGaps*r.usualGap, minFreshness), maxFreshness)
}

// Grown returns the limit that the whole answers so far permit.
func (r *Ramp) Grown() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.grown()
}

func (r *Ramp) grown() int {
	need := r.warmRequests()
	if r.good >= need {
		return r.Slots
	}
	return r.ColdSlots + (r.Slots-r.ColdSlots)*r.good/need
}

// Warm reports whether the target has grown to its full limit.
func (r *Ramp) Warm() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.good >= r.warmRequests()
}
