// Package retrydetector distinguishes first attempts of callers from retries
// after a refusal, based on the time that they have left.
package retrydetector

import (
	"sync"
	"time"

	"egretproxy/internal/admission/quantile"
)

const (
	// deadlineQuantile is the quantile of the callers' remaining time that is
	// tracked. A high quantile is used because retries lower the mean most
	// under overload, when the distinction matters.
	deadlineQuantile = 0.9
	// quantileStep is the maximum relative change of the estimate per
	// request.
	quantileStep = 0.02
	// retryThreshold is the fraction of that quantile below which a request
	// counts as a retry. The time left on first attempts varies by 15%, and
	// callers retry after at least a tenth of their time.
	retryThreshold = 0.85
	// maxRoutes limits the number of routes that are tracked.
	maxRoutes = 4096
)

// Detector learns the usual deadline of each route. The zero value is ready
// for use. It is safe for concurrent use.
type Detector struct {
	mu sync.Mutex
	// deadlines estimates the deadline quantile by route.
	deadlines map[string]*quantile.Estimator
}

// Observe records the time that a caller has left and reports whether the
// request is likely a retry after a refusal.
func (d *Detector) Observe(route string, remaining time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	estimate := d.deadlines[route]
	if estimate == nil {
		if d.deadlines == nil || len(d.deadlines) >= maxRoutes {
			d.deadlines = map[string]*quantile.Estimator{}
		}
		estimate = &quantile.Estimator{Probability: deadlineQuantile, Step: quantileStep}
		d.deadlines[route] = estimate
	}
	retry := float64(remaining) < retryThreshold*float64(estimate.Value())
	estimate.Add(remaining)
	return retry
}
