package dispatch

import (
	"sync"
	"time"

	"egretproxy/internal/fleet/id"
)

const (
	// windowParts is the number of parts that a window is counted in.
	windowParts = 10
	// retryMargin keeps the sum of all entries below the site's budget while
	// an entry is not known to the others yet.
	retryMargin = 0.8
)

// RetryBudget holds this entry's share of the budget for sending requests to a
// further target. The fields are set before use. It is safe for concurrent
// use.
type RetryBudget struct {
	// Ratio is the retries allowed for each request.
	Ratio float64
	// Allowance is the retries allowed beyond them, for all entries.
	Allowance float64
	// Window is the time over which both are counted.
	Window time.Duration

	mu sync.Mutex
	// began is the time of the first use.
	began    time.Time
	services map[id.Service]*windowCounts
}

// windowCounts counts in parts of a window; part i%(windowParts+1) is the newest.
type windowCounts struct {
	part     int64
	requests [windowParts + 1]int
	retries  [windowParts + 1]int
}

// RecordRequest counts a request.
func (r *RetryBudget) RecordRequest(s id.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.counts(s)
	t.requests[t.part%(windowParts+1)]++
}

// Take counts a retry if the budget allows it.
func (r *RetryBudget) Take(s id.Service, entries int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.counts(s)
	requests, retries := 0, 0
	for i := range t.requests {
		requests += t.requests[i]
		retries += t.retries[i]
	}
	allowed := retryMargin * (r.Ratio*float64(requests) + r.Allowance/float64(max(entries, 1)))
	if float64(retries+1) > allowed {
		return false
	}
	t.retries[t.part%(windowParts+1)]++
	return true
}

func (r *RetryBudget) counts(s id.Service) *windowCounts {
	if r.services == nil {
		r.services = map[id.Service]*windowCounts{}
	}
	t := r.services[s]
	if t == nil {
		t = &windowCounts{}
		r.services[s] = t
	}
	if r.began.IsZero() {
		r.began = time.Now()
	}
	now := int64(time.Since(r.began) / (r.Window / windowParts))
	for n := 0; t.part < now; n++ {
		if n > windowParts {
			t.part = now
			break
		}
		t.part++
		t.requests[t.part%(windowParts+1)] = 0
		t.retries[t.part%(windowParts+1)] = 0
	}
	return t
}
