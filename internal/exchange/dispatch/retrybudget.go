package dispatch

import (
	"sync"
	"time"

	"egretproxy/internal/fleet/id"
)

const (
	// windowParts is the number of parts that a window is counted in.
	windowParts = 10
	// retryMargin keeps the total of all entries below the site's budget
	// while a new entry is not yet known to the others.
	retryMargin = 0.8
)

// RetryBudget limits the retries of this entry to its share of the site's
// budget. Its fields are set before use. It is safe for concurrent use.
type RetryBudget struct {
	// Ratio is the number of retries allowed for each request.
	Ratio float64
	// Allowance is the number of additional retries in a window, shared by
	// all entries.
	Allowance float64
	// Window is the period over which requests and retries are counted.
	Window time.Duration
	// StartedAt is when the process started. The process before it may have used the
	// allowance of the window in progress, so that there is none in the first one. The
	// zero value means long ago.
	StartedAt time.Time

	mu sync.Mutex
	// began is the time of the first use.
	began    time.Time
	services map[id.Service]*windowCounts
}

// windowCounts counts requests and retries in parts of a window; index
// part%(windowParts+1) is the newest part.
type windowCounts struct {
	part     int64
	requests [windowParts + 1]int
	retries  [windowParts + 1]int
}

// RecordRequest counts a request.
func (r *RetryBudget) RecordRequest(s id.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.counts(s)
	c.requests[c.part%(windowParts+1)]++
}

// TakeRetry counts a retry and returns true if the budget allows it.
func (r *RetryBudget) TakeRetry(s id.Service, entries int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.counts(s)
	requests, retries := 0, 0
	for i := range c.requests {
		requests += c.requests[i]
		retries += c.retries[i]
	}
	allowance := 0.0
	if r.StartedAt.IsZero() || time.Since(r.StartedAt) >= r.Window {
		allowance = r.Allowance / float64(max(entries, 1))
	}
	allowed := retryMargin * (r.Ratio*float64(requests) + allowance)
	if float64(retries+1) > allowed {
		return false
	}
	c.retries[c.part%(windowParts+1)]++
	return true
}

func (r *RetryBudget) counts(s id.Service) *windowCounts {
	if r.services == nil {
		r.services = map[id.Service]*windowCounts{}
	}
	c := r.services[s]
	if c == nil {
		c = &windowCounts{}
		r.services[s] = c
	}
	if r.began.IsZero() {
		r.began = time.Now()
	}
	now := int64(time.Since(r.began) / (r.Window / windowParts))
	for n := 0; c.part < now; n++ {
		if n > windowParts {
			c.part = now
			break
		}
		c.part++
		c.requests[c.part%(windowParts+1)] = 0
		c.retries[c.part%(windowParts+1)] = 0
	}
	return c
}
