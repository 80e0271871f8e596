package witness

import (
	"slices"
	"time"

	"egretproxy/internal/fleet/id"
)

// maxRequests limits the requests whose responses are remembered.
const maxRequests = 4096

// RequestServed records that a response to the request came to its end.
func (w *Witness) RequestServed(request id.PromptPart) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.requests.Use(request, maxRequests).At = now
	// Keepers learn at once that requests beside one that ends targets are harmless.
	if w.ended.Served(request) || w.isOfInterest(request, now) {
		w.addBegun(request, now, false)
	}
}

// RequestEnded records that a target ended under the request, which was sent to it at
// sentAt, before its response came to its end.
func (w *Witness) RequestEnded(target id.Target, born int64, request id.PromptPart, sentAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended.Ended(request, target, born, sentAt)
	e := w.pendingEnd(target, born)
	if e == nil || w.size >= maxPartsPerReport || slices.Contains(e.Requests, request) {
		return
	}
	w.changed.Send()
	w.size++
	e.Requests = append(e.Requests, request)
	if w.requests.Get(request) != nil {
		e.Served = append(e.Served, request)
	}
}

// RequestHeld returns how long the request must still be held back, since targets ended
// under it, as far as this entry knows.
func (w *Witness) RequestHeld(request id.PromptPart) time.Duration { return w.ended.Held(request) }

// RequestPause is RequestHeld for a request that is sent at once if the result is 0. Of
// those that come in a pause, one is let through at its end.
func (w *Witness) RequestPause(request id.PromptPart) time.Duration { return w.ended.Pause(request) }

// RequestEnds returns at how many moments targets ended under the request, as far as
// this entry knows, since a response to it came to its end.
func (w *Witness) RequestEnds(request id.PromptPart) int { return w.ended.Count(request) }
