// Package patience tells callers that try for the first time from those that
// come back after a refusal, by the time that they have left.
package patience

import (
	"sync"
	"time"

	"egretproxy/internal/admission/quantile"
)

const (
	// high is the quantile of the callers' deadlines that is followed, since
	// those that come back pull the mean down most when it matters.
	high = 0.9
	// step is by how much one deadline moves the quantile.
	step = 0.02
	// freshPart is the part of that quantile below which a caller has used up
	// time on an earlier try. Deadlines of first tries were seen to vary by
	// 15 in 100; a caller comes back after a tenth of its time at least.
	freshPart = 0.85
	// maxRoutes bounds the routes that are known.
	maxRoutes = 4096
)

// Patience learns the usual deadline of each route. The zero value knows
// none. It is safe for concurrent use.
type Patience struct {
	mu sync.Mutex
	// usual is the high quantile of deadlines by route.
	usual map[string]*quantile.Quantile
}

// Returned takes in the time that a caller has left and reports whether it
// was refused before.
func (p *Patience) Returned(route string, left time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	usual := p.usual[route]
	if usual == nil {
		if p.usual == nil || len(p.usual) >= maxRoutes {
			p.usual = map[string]*quantile.Quantile{}
		}
		usual = &quantile.Quantile{At: high, Step: step}
		p.usual[route] = usual
	}
	returned := float64(left) < freshPart*float64(usual.Value())
	usual.Add(left)
	return returned
}
