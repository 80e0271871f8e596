package dispatch

import (
	"sync"
	"time"

	"egretproxy/internal/fleet/id"
)

const (
	// retryParts is the number of parts that a window is counted in.
	retryParts = 10
	// retryMargin keeps the sum of all entries below the site's budget while
	// an entry is not known to the others yet.
	retryMargin = 0.8
)

// Retries holds this entry's share of the budget for sending requests to a
// further target. The fields are set before use. It is safe for concurrent
// use.
type Retries struct {
	// Ratio is the retries allowed for each request.
	Ratio float64
	// Allowance is the retries allowed beyond them, for all entries.
	Allowance float64
	// Window is the time over which both are counted.
	Window time.Duration

	mu sync.Mutex
	// began is the time of the first use.
	began    time.Time
	services map[id.Service]*tally
}

// tally counts in parts of a window; part i%(retryParts+1) is the newest.
type tally struct {
	part     int64
	requests [retryParts + 1]int
	retries  [retryParts + 1]int
}

// Request counts a request.
func (r *Retries) Request(s id.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tally(s)
	t.requests[t.part%(retryParts+1)]++
}

// Take counts a retry if the budget allows it.
func (r *Retries) Take(s id.Service, entries int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tally(s)
	requests, retries := 0, 0
	for i := range t.requests {
		requests += t.requests[i]
		retries += t.retries[i]
	}
	allowed := retryMargin * (r.Ratio*float64(requests) + r.Allowance/float64(max(entries, 1)))
	if float64(retries+1) > allowed {
		return false
	}
	t.retries[t.part%(retryParts+1)]++
	return true
}

func (r *Retries) tally(s id.Service) *tally {
	if r.services == nil {
		r.services = map[id.Service]*tally{}
	}
	t := r.services[s]
	if t == nil {
		t = &tally{}
		r.services[s] = t
	}
	if r.began.IsZero() {
		r.began = time.Now()
	}
	now := int64(time.Since(r.began) / (r.Window / retryParts))
	for n := 0; t.part < now; n++ {
		if n > retryParts {
			t.part = now
			break
		}
		t.part++
		t.requests[t.part%(retryParts+1)] = 0
		t.retries[t.part%(retryParts+1)] = 0
	}
	return t
}
