// Package recent remembers what was last seen of parts of prompts and of requests.
package recent

import (
	"container/list"
	"time"

	"egretproxy/internal/fleet/id"
)

// Memory holds records of the parts, or requests, that were seen last. It is not safe
// for concurrent use. The zero value is empty.
type Memory struct {
	byPart map[id.PromptPart]*list.Element
	// recent holds the records, the latest first.
	recent list.List
}

// Record is what is known of one part or request.
type Record struct {
	Part id.PromptPart
	// At is when a response last began, or the last moment at which a target ended.
	At time.Time
	// Ends counts the moments at which targets ended, Target and Born are the first
	// incarnation that did at the last moment.
	Ends   int
	Target id.Target
	Born   int64
	// Last holds the latest such incarnations, the newest last.
	Last []Incarnation
	// HeldUntil is when one more request may be sent to see whether targets still
	// end under it.
	HeldUntil time.Time
}

// Incarnation is one run of a target.
type Incarnation struct {
	Target id.Target
	Born   int64
}

// All returns the records in no order.
func (m *Memory) All() []*Record {
	var out []*Record
	for _, e := range m.byPart {
		out = append(out, e.Value.(*Record))
	}
	return out
}

// Get returns the record of p, or nil.
func (m *Memory) Get(p id.PromptPart) *Record {
	if e := m.byPart[p]; e != nil {
		return e.Value.(*Record)
	}
	return nil
}

// Use returns the record of p, which it adds if there is none. It drops the oldest
// one beyond the limit.
func (m *Memory) Use(p id.PromptPart, limit int) *Record {
	if e := m.byPart[p]; e != nil {
		m.recent.MoveToFront(e)
		return e.Value.(*Record)
	}
	if m.byPart == nil {
		m.byPart = map[id.PromptPart]*list.Element{}
	}
	r := &Record{Part: p}
	m.byPart[p] = m.recent.PushFront(r)
	if len(m.byPart) > limit {
		m.Remove(m.recent.Back().Value.(*Record).Part)
	}
	return r
}

// Remove reports whether there was a record of p.
func (m *Memory) Remove(p id.PromptPart) bool {
	e := m.byPart[p]
	if e == nil {
		return false
	}
	delete(m.byPart, p)
	m.recent.Remove(e)
	return true
}

// Len returns the number of records.
func (m *Memory) Len() int { return len(m.byPart) }
