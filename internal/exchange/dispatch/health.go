package dispatch

import "time"

const (
	// ejectFirst is how long a target is left out after it failed; each
	// further time in a row doubles it up to ejectMost.
	ejectFirst = 700 * time.Millisecond
	ejectMost  = 6 * time.Second
	// outdatedFor leaves time for a report that says which weights a target
	// holds, and a pause if it is another target instead.
	outdatedFor = 250 * time.Millisecond
	// failSmoothing is the weight of one outcome in the share of failures.
	failSmoothing = 0.15
	// failLimit is the share of failed requests above which a target that
	// answers others well is left out.
	failLimit = 0.35
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
	// failing is the smoothed share of failures.
	failing float64
	// times counts ejections in a row.
	times int
	until time.Time
	// trial tells that one request is out to see whether the target is back.
	trial   bool
	trialAt time.Time
}

// admits reports whether a request may be sent. After an ejection a single
// one goes first.
func (h *health) admits(now time.Time) bool {
	if now.Before(h.until) {
		return false
	}
	return h.times == 0 || !h.trial || now.Sub(h.trialAt) > ejectMost
}

func (h *health) begin(now time.Time) {
	if h.times > 0 {
		h.trial, h.trialAt = true, now
	}
}

// end takes in an outcome and reports whether the target is ejected by it.
func (h *health) end(now time.Time, o Outcome) bool {
	h.trial = false
	switch o {
	case Cancelled, Rejected:
		return false
	case Outdated:
		h.until = now.Add(outdatedFor)
		return false
	case Served:
		h.failing *= 1 - failSmoothing
		h.times = 0
		return false
	case Unreachable, Stale:
		h.failing = 1
	default:
		h.failing += (1 - h.failing) * failSmoothing
		if h.times == 0 && h.failing < failLimit {
			return false
		}
	}
	h.failing = min(h.failing, failLimit)
	h.until = now.Add(min(ejectFirst<<min(h.times, 4), ejectMost))
	h.times++
	return true
}
