package gateway

import (
	"io"
	"log"
	"sync"
	"time"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/site/follow"
)

// weightsClock remembers since when a version of weights is known.
type weightsClock struct {
	mu sync.Mutex
	// known is the versions of each model, in ascending order.
	known map[id.Model][]named
}

type named struct {
	version int64
	since   time.Time
	// first tells that the process learnt it with its first view, so that it
	// may have been named long before.
	first bool
}

// note takes in the versions of a view.
func (c *weightsClock) note(v *follow.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := c.known == nil
	if first {
		if v.Plan == nil {
			return
		}
		c.known = map[id.Model][]named{}
	}
	for m, version := range v.Weights {
		if n := len(c.known[m]); n == 0 || c.known[m][n-1].version < version {
			c.known[m] = append(c.known[m], named{version: version, since: time.Now(), first: first})
		}
	}
}

// learntLate is the time that is left for a version that was known before
// the process started. It is below the time after which a restarted process
// is expected to be up to date.
const learntLate = 2500 * time.Millisecond

// required returns the oldest version that a request may begin on now. The
// time that is given for a version counts anew after each disturbance of the
// keepers, as the users' rules allow: targets that still hold the older one
// are then better than none.
func (c *weightsClock) required(m id.Model, due, calm time.Duration) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out int64
	for _, n := range c.known[m] {
		limit := due
		if n.first {
			limit = learntLate
		}
		if min(time.Since(n.since), calm) >= limit {
			out = n.version
		}
	}
	return out
}

// OnView takes in a new view.
func (g *Gateway) OnView(v *follow.View) {
	g.weights.note(v)
	g.Board.Update(v)
}

// quietLog drops the lines of net/http about connections of callers.
func quietLog() *log.Logger { return log.New(io.Discard, "", 0) }
