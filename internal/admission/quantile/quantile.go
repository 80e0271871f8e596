// Package quantile follows a quantile of a series of times in constant space.
package quantile

import "time"

// Estimator follows one quantile. Its fields are set before use. It is not
// safe for concurrent use.
type Estimator struct {
	// Probability is the quantile, between 0 and 1.
	Probability float64
	// Step is the part of the value by which one time moves it.
	Step float64

	value time.Duration
}

// Value returns the quantile, 0 before the first time.
func (q *Estimator) Value() time.Duration { return q.value }

// Add takes in a time. The first one is taken as it is.
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
