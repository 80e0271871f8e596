// Package slowdown estimates how slow an engine is from what it reports.
package slowdown

import (
	"math"
	"time"
)

const (
	// window is the smoothing period. Requests take seconds, so a stall of one
	// report says little about the next request.
	window = time.Second
	// resolution is the step of the estimate. Smaller changes cause no report.
	resolution = 0.1
)

// Estimator smooths the reports of one engine. The zero value has none. It is not
// safe for concurrent use.
type Estimator struct {
	// start identifies the incarnation of the engine, value is the estimate for it
	// at the time at, 0 if it has reported none.
	start int64
	value float64
	at    time.Time
}

// Add adds a report of the incarnation that started at a time. The first report of
// an incarnation is taken as it is, since it describes the engine and not one request.
// A slowdown of 0 is that of an engine that reports none.
func (e *Estimator) Add(now time.Time, start int64, slowdown float64) {
	if !(slowdown > 0) || math.IsInf(slowdown, 0) {
		*e = Estimator{}
		return
	}
	if e.value == 0 || e.start != start {
		*e = Estimator{start: start, value: slowdown, at: now}
		return
	}
	weight := 1 - math.Exp(-now.Sub(e.at).Seconds()/window.Seconds())
	e.value += (slowdown - e.value) * weight
	e.at = now
}

// Value returns the estimate in steps of the resolution, or 0 if there is none.
func (e *Estimator) Value() float64 {
	return math.Round(e.value/resolution) * resolution
}
