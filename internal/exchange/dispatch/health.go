package dispatch

import "time"

const (
	// firstEjection is how long a target is ejected after its first failure.
	// Each consecutive ejection doubles the time, up to maxEjection.
	firstEjection = 700 * time.Millisecond
	maxEjection   = 6 * time.Second
	// outdatedPause is long enough for a report of the weights that the
	// target holds now, and pauses a target that has been replaced by
	// another.
	outdatedPause = 250 * time.Millisecond
	// failureSmoothing is the weight of one outcome in the smoothed failure
	// rate.
	failureSmoothing = 0.15
	// maxFailureRate is the failure rate above which a target is ejected even
	// though it answers other requests.
	maxFailureRate = 0.35
)

// Outcome classifies the end of an attempt by what it means for the health of
// the target.
type Outcome uint8

// Outcomes of an attempt.
const (
	// Served means that the target answered the request.
	Served Outcome = iota
	// Cancelled means that the attempt says nothing about the target.
	Cancelled
	// Failed means that the target answered with an error of its own.
	Failed
	// Unreachable means that the target accepted no connection.
	Unreachable
	// Broken means that the exchange ended without a complete response.
	Broken
	// Rejected means that the target declined the request without executing
	// it.
	Rejected
	// Stale means that the process at the address is not the expected target.
	Stale
	// Outdated means that the target may hold other weights than it last
	// reported.
	Outdated
)

// health tracks the recent outcomes of a target. The zero value is healthy.
type health struct {
	// failureRate is the smoothed share of failed attempts.
	failureRate float64
	// ejections counts consecutive ejections.
	ejections    int
	ejectedUntil time.Time
	// probing means that a single request is testing whether the target has
	// recovered.
	probing    bool
	probeStart time.Time
}

// admits reports whether a request may be sent. After an ejection a single
// request probes the target first.
func (h *health) admits(now time.Time) bool {
	if now.Before(h.ejectedUntil) {
		return false
	}
	return h.ejections == 0 || !h.probing || now.Sub(h.probeStart) > maxEjection
}

func (h *health) recordStart(now time.Time) {
	if h.ejections > 0 {
		h.probing, h.probeStart = true, now
	}
}

// recordOutcome records the end of an attempt and reports whether it ejected
// the target.
func (h *health) recordOutcome(now time.Time, o Outcome) bool {
	h.probing = false
	switch o {
	case Cancelled, Rejected:
		return false
	case Outdated:
		h.ejectedUntil = now.Add(outdatedPause)
		return false
	case Served:
		h.failureRate *= 1 - failureSmoothing
		h.ejections = 0
		return false
	case Unreachable, Stale:
		h.failureRate = 1
	default:
		h.failureRate += (1 - h.failureRate) * failureSmoothing
		if h.ejections == 0 && h.failureRate < maxFailureRate {
			return false
		}
	}
	h.failureRate = min(h.failureRate, maxFailureRate)
	h.ejectedUntil = now.Add(min(firstEjection<<min(h.ejections, 4), maxEjection))
	h.ejections++
	return true
}
