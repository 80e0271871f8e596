// Package incarnation tells exchanges that broke off at a target which lives on from
// those that ended with it.
//
// A target that loads weights aborts the requests that it runs, one at its limit of
// connections resets them, and the way to it may be cut. Its agent announces the first
// before it orders the load, and reports go on naming the same incarnation after all of
// them. A target that ended reports nothing, and is another incarnation when it returns.
package incarnation

import (
	"sync"
	"time"

	"egretproxy/internal/fleet/id"
)

const (
	// abortLifetime is how long an announced abort explains exchanges that break off.
	// It covers the way of the last one and the loss of a report.
	abortLifetime = 300 * time.Millisecond
	// reportMargin is the age of a target's state when its agent reports it.
	reportMargin = 100 * time.Millisecond
	// maxAge is the age from which a report is of no use.
	maxAge = 5 * time.Second
	// minAge is the error of an age by the resolution of its parts.
	minAge = -10 * time.Millisecond
	// retention is how long an exchange that broke off is remembered.
	retention = time.Minute
)

// Report is what the agent beside a target says of the target's incarnation.
type Report struct {
	Target id.Target
	// Born is the start of the incarnation in Unix milliseconds, 0 if it did not
	// answer its agent.
	Born int64
	// Aborts means that it aborts its requests to load weights, or is about to.
	Aborts bool
	// Age is the greatest age of the report. It is negative if that is not known.
	Age time.Duration
}

// Register is what an entry knows of the incarnations of its targets. It is safe for
// concurrent use. The zero value is empty.
type Register struct {
	mu sync.Mutex
	// aborting holds the announced aborts, broken the latest exchange with each
	// incarnation that broke off and was taken for its end.
	aborting map[id.Target]abort
	broken   map[incarnation]time.Time
}

type incarnation struct {
	target id.Target
	born   int64
}

// abort is the announcement of an incarnation, which counts until a time.
type abort struct {
	born  int64
	until time.Time
}

// BrokeOff records that an exchange with an incarnation broke off. It reports whether
// the incarnation may have ended, as far as is known now.
func (r *Register) BrokeOff(target id.Target, born int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if a := r.aborting[target]; a.born == born && now.Before(a.until) {
		return false
	}
	if r.broken == nil {
		r.broken = map[incarnation]time.Time{}
	}
	for k, at := range r.broken {
		if now.Sub(at) > retention {
			delete(r.broken, k)
		}
	}
	r.broken[incarnation{target, born}] = now
	return true
}

// Observe records a report. It reports whether the incarnation was taken to have ended
// and did not, and until when at least it lived.
func (r *Register) Observe(p Report) (disproved bool, lived time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	switch {
	case p.Born == 0:
		// It may have ended instead of loading weights.
		delete(r.aborting, p.Target)
		return false, time.Time{}
	case p.Aborts:
		if r.aborting == nil {
			r.aborting = map[id.Target]abort{}
		}
		r.aborting[p.Target] = abort{p.Born, now.Add(abortLifetime)}
	case now.After(r.aborting[p.Target].until):
		delete(r.aborting, p.Target)
	}
	k := incarnation{p.Target, p.Born}
	at, broke := r.broken[k]
	lived = now.Add(-max(p.Age, 0) - reportMargin)
	if !broke || p.Age < minAge || p.Age > maxAge || !lived.After(at) {
		return false, time.Time{}
	}
	delete(r.broken, k)
	return true, lived
}
