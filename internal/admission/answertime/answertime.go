// Package answertime estimates how long a target works on a request, from the answers
// that came to their end.
package answertime

import (
	"slices"
	"sync"
	"time"
)

const (
	// share is the share of requests that are answered within the estimate.
	share = 0.9
	// window is the number of answers that count, the latest ones.
	window = 128
	// recomputed is the number of answers after which an estimate is made anew.
	recomputed = 8
	// maxRoutes limits the memory.
	maxRoutes = 1024
)

// Estimator learns from the answers of one entry. It is safe for concurrent use. The
// zero value knows nothing.
type Estimator struct {
	mu     sync.Mutex
	routes map[string]*routeTimes
}

// routeTimes holds the times of answers, and those of the tokens that callers expected.
type routeTimes struct{ whole, perToken latest }

// latest holds the latest times, in a ring.
type latest struct {
	times []time.Duration
	added int
	// value is the estimate, longest the longest time.
	value, longest time.Duration
}

func (l *latest) add(d time.Duration) {
	if len(l.times) < window {
		l.times = append(l.times, d)
	} else {
		l.times[l.added%window] = d
	}
	if l.added%recomputed == 0 {
		sorted := slices.Clone(l.times)
		slices.Sort(sorted)
		l.longest = sorted[len(sorted)-1]
		l.value = sorted[int(share*float64(len(sorted)-1))]
	}
	l.added++
}

// Add records the time of a whole answer. expected is the number of tokens that the
// caller expected, 0 if unknown.
func (e *Estimator) Add(route string, expected int, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.routes[route]
	if t == nil && len(e.routes) >= maxRoutes {
		return
	}
	if t == nil {
		t = &routeTimes{}
		if e.routes == nil {
			e.routes = map[string]*routeTimes{}
		}
		e.routes[route] = t
	}
	t.whole.add(took)
	if expected > 0 {
		t.perToken.add(took / time.Duration(expected))
	}
}

// Expect returns the time within which most such requests are answered, 0 if unknown.
func (e *Estimator) Expect(route string, expected int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.routes[route]
	if t == nil {
		return 0
	}
	if expected > 0 && t.perToken.value > 0 {
		return min(t.perToken.value*time.Duration(expected), t.whole.longest)
	}
	return t.whole.value
}
