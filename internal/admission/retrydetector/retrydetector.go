// Package retrydetector tells callers that try for the first time from those that
// come back after a refusal, by the time that they have left.
package retrydetector

import (
	"sync"
	"time"

	"egretproxy/internal/admission/quantile"
)

const (
	// deadlineQuantile is the quantile of the callers' deadlines that is followed, since
	// those that come back pull the mean down most when it matters.
	deadlineQuantile = 0.9
	// quantileStep is by how much one deadline moves the quantile.
	quantileStep = 0.02
	// retryThreshold is the part of that quantile below which a caller has used up
	// time on an earlier try. Deadlines of first tries were seen to vary by
	// 15 in 100; a caller comes back after a tenth of its time at least.
	retryThreshold = 0.85
	// maxRoutes bounds the routes that are known.
	maxRoutes = 4096
)

// Detector learns the usual deadline of each route. The zero value knows
// none. It is safe for concurrent use.
type Detector struct {
	mu sync.Mutex
	// deadlines is the high quantile of deadlines by route.
	deadlines map[string]*quantile.Estimator
}

// Observe takes in the time that a caller has left and reports whether it
// was refused before.
func (p *Detector) Observe(route string, left time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	usual := p.deadlines[route]
	if usual == nil {
		if p.deadlines == nil || len(p.deadlines) >= maxRoutes {
			p.deadlines = map[string]*quantile.Estimator{}
		}
		usual = &quantile.Estimator{Probability: deadlineQuantile, Step: quantileStep}
		p.deadlines[route] = usual
	}
	returned := float64(left) < retryThreshold*float64(usual.Value())
	usual.Add(left)
	return returned
}
