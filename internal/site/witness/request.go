package witness

import (
	"slices"
	"time"

	"egretproxy/internal/fleet/id"
)

const (
	// maxRequests limits the requests whose responses are remembered, maxEnded
	// those under which targets ended.
	maxRequests = 4096
	maxEnded    = 1024
	// momentLength is the time in which targets that end count once: the loss of a
	// failure domain ends all targets of a request that comes often.
	momentLength = 50 * time.Millisecond
	// endRetention is how long an end counts.
	endRetention = 30 * time.Minute
)

// RequestServed records that a response to the request came to its end.
func (w *Witness) RequestServed(request id.PromptPart) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.requests.use(request, maxRequests).at = now
	// Keepers learn at once that requests beside one that ends targets are harmless.
	if w.ended.remove(request) || w.isOfInterest(request, now) {
		w.addBegun(request, 0)
	}
}

// RequestEnded records that a target ended under the request, before its response
// came to its end.
func (w *Witness) RequestEnded(target id.Target, born int64, request id.PromptPart) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	r := w.ended.use(request, maxEnded)
	age := now.Sub(r.at)
	if age > endRetention {
		r.ends = 0
	}
	if same := r.target == target && r.born == born; r.ends == 0 || !same && age >= momentLength {
		r.ends++
	}
	r.at, r.target, r.born = now, target, born
	e := w.pendingEnd(target, born)
	if e == nil || w.size >= maxPartsPerReport || slices.Contains(e.Requests, request) {
		return
	}
	w.notify()
	w.size++
	e.Requests = append(e.Requests, request)
	if w.requests.get(request) != nil {
		e.Served = append(e.Served, request)
	}
}

// RequestEnds returns at how many moments targets ended under the request, as far as
// this entry knows, since a response to it came to its end.
func (w *Witness) RequestEnds(request id.PromptPart) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.ended.get(request); r != nil && time.Since(r.at) <= endRetention {
		return r.ends
	}
	return 0
}
