package dispatch

import "time"

const (
	// firstEjection is how long a target is left out after it failed; each
	// further time in a row doubles it up to maxEjection.
	firstEjection = 700 * time.Millisecond
	maxEjection   = 6 * time.Second
	// outdatedPause leaves time for a report that says which weights a target
	// holds, and a pause if it is another target instead.
	outdatedPause = 250 * time.Millisecond
	// failureSmoothing is the weight of one outcome in the share of failures.
	failureSmoothing = 0.15
	// maxFailureRate is the share of failed requests above which a target that
	// answers others well is left out.
	maxFailureRate = 0.35
)

// Outcome is how an attempt ended, as far as it tells on the target.
type Outcome uint8

// Outcomes of an attempt.
const (
	// Served requests were answered by the target.
	Served Outcome = iota
	// Cancelled attempts tell nothing.
	Cancelled
	// Failed attempts were answered with a failure of the target's own.
	Failed
	// Unreachable targets took no connection.
	Unreachable
	// Broken exchanges ended without a whole answer.
	Broken
	// Rejected requests were declined without being run.
	Rejected
	// Stale targets are not the one that was expected.
	Stale
	// Outdated targets may hold other weights than their last report said.
	Outdated
)

// health remembers how a target did lately. The zero value is healthy.
type health struct {
	// failureRate is the smoothed share of failures.
	failureRate float64
	// ejections counts ejections in a row.
	ejections    int
	ejectedUntil time.Time
	// probing tells that one request is out to see whether the target is back.
	probing    bool
	probeStart time.Time
}

// admits reports whether a request may be sent. After an ejection a single
// one goes first.
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

// recordOutcome takes in an outcome and reports whether the target is ejected by it.
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
