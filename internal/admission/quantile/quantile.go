// Package quantile estimates a quantile of a series of durations in constant
// space.
package quantile

import "time"

// Estimator tracks one quantile. Its fields are set before use. It is not
// safe for concurrent use.
type Estimator struct {
	// Probability selects the quantile, between 0 and 1.
	Probability float64
	// Step is the maximum relative change of the estimate per sample.
	Step float64

	value time.Duration
}

// Value returns the estimate, or 0 before the first sample.
func (q *Estimator) Value() time.Duration { return q.value }

// Add adds a sample. The first sample becomes the estimate.
func (q *Estimator) Add(d time.Duration) {
	if q.value <= 0 {
		q.value = d
		return
	}
	move := float64(q.value) * q.Step
	if d > q.value {
		q.value = min(q.value+time.Duration(move*q.Probability), d)
		return
	}
	q.value = max(q.value-time.Duration(move*(1-q.Probability)), d)
}
