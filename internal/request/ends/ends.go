// Package ends remembers the requests under which targets ended.
package ends

import (
	"slices"
	"sync"
	"time"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/request/recent"
)

const (
	// Suspicious is the number of moments at which targets ended under a request
	// from which it goes to no further target by itself. At one end, most requests
	// were only beside the one to blame.
	Suspicious = 2
	// maxRequests limits the requests that are remembered.
	maxRequests = 1024
	// MomentLength is the time in which targets that end count once, unless the
	// request was sent to the later one after the earlier one had ended: the loss of
	// a failure domain, or of the links of an entry, ends all targets of a request
	// that comes often.
	MomentLength = 50 * time.Millisecond
	// Retention is how long an end counts. Requests, and parts of prompts, may come
	// rarely.
	Retention = 30 * time.Minute
	// guiltyEnds is the number of moments from which a request is held back, for
	// firstPause, and for laterPause after each further one.
	guiltyEnds = 3
	firstPause = time.Minute
	laterPause = 10 * time.Minute
)

// Memory is what one process knows. It is safe for concurrent use. The zero value is
// empty.
type Memory struct {
	mu     sync.Mutex
	recent recent.Memory
}

// Ended records that an incarnation of a target, which started at born, ended under the
// request, which was sent to it at sentAt, before its response came to its end.
func (m *Memory) Ended(request id.PromptPart, target id.Target, born int64, sentAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	r := m.recent.Use(request, maxRequests)
	if now.Sub(r.At) > Retention {
		r.Ends, r.Last = 0, nil
	}
	same := r.Target == target && r.Born == born
	later := now.Sub(r.At) >= MomentLength || sentAt.After(r.At)
	if r.Ends > 0 && (same || !later) {
		return
	}
	r.Ends++
	r.At, r.Target, r.Born = now, target, born
	r.Last = append(r.Last, recent.Incarnation{Target: target, Born: born})
	if len(r.Last) > guiltyEnds {
		r.Last = slices.Delete(r.Last, 0, 1)
	}
	r.HeldUntil = now.Add(pause(r.Ends))
}

// LivesOn takes back that an incarnation of a target ended.
func (m *Memory) LivesOn(target id.Target, born int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.recent.All() {
		i := slices.Index(r.Last, recent.Incarnation{Target: target, Born: born})
		if i < 0 {
			continue
		}
		r.Last = slices.Delete(r.Last, i, i+1)
		if r.Ends--; r.Ends == 0 {
			m.recent.Remove(r.Part)
		}
	}
}

// pause returns how long a request is held back after a number of ends.
func pause(ends int) time.Duration {
	switch {
	case ends < guiltyEnds:
		return 0
	case ends == guiltyEnds:
		return firstPause
	}
	return laterPause
}

// Served records that a response to the request came to its end, which clears it. It
// reports whether a target had ended under the request.
func (m *Memory) Served(request id.PromptPart) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.recent.Remove(request)
}

// Count returns at how many moments targets ended under the request since a response
// to it came to its end.
func (m *Memory) Count(request id.PromptPart) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r := m.get(request); r != nil {
		return r.Ends
	}
	return 0
}

// get returns the record of the request if it still counts. The caller holds mu.
func (m *Memory) get(request id.PromptPart) *recent.Record {
	if r := m.recent.Get(request); r != nil && time.Since(r.At) <= Retention {
		return r
	}
	return nil
}

// Held returns how long the request must still be held back, and begins no pause.
func (m *Memory) Held(request id.PromptPart) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r := m.get(request); r != nil && r.Ends >= guiltyEnds {
		return max(time.Until(r.HeldUntil), 0)
	}
	return 0
}

// Pause returns how long the request must still be held back, or 0 if it may be sent.
// Then a pause begins, so that only one in each is sent.
func (m *Memory) Pause(request id.PromptPart) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.get(request)
	if r == nil || r.Ends < guiltyEnds {
		return 0
	}
	if left := time.Until(r.HeldUntil); left > 0 {
		return left
	}
	r.HeldUntil = time.Now().Add(pause(r.Ends))
	return 0
}
