package siteentry

import "time"

const (
	// defaultStopGrace applies if the platform names no time.
	defaultStopGrace = 8 * time.Second
	// stopMargin is kept free before the platform kills the process, since the
	// process may see the stop request late. It is at most a twelfth of the time
	// that the platform gives.
	stopMargin      = 700 * time.Millisecond
	stopMarginShare = 12
	// answerMargin is the time for final responses before the connections are
	// closed. With at most half of stopMargin, responses end in the last sixth of
	// the time that the platform gives, however short it is.
	answerMargin = 200 * time.Millisecond
)

// stopTimes are the times of a stop, counted from the request to stop. They are in
// this order, and close+finalPass is before the platform kills the process.
type stopTimes struct {
	// answers is when the responses in progress must end.
	answers time.Duration
	// close is when the connections must have ended.
	close time.Duration
	// finalPass is how long after that the last responses may take.
	finalPass time.Duration
}

// newStopTimes divides the time from the stop request until the process is killed.
func newStopTimes(grace time.Duration) stopTimes {
	if grace <= 0 {
		grace = defaultStopGrace
	}
	margin := min(stopMargin, grace/stopMarginShare)
	end := grace - margin
	return stopTimes{answers: end - min(answerMargin, margin/2), close: end, finalPass: margin / 2}
}
