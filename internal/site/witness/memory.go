package witness

import (
	"container/list"
	"time"

	"egretproxy/internal/fleet/id"
)

// memory holds records of the parts, or requests, that were seen last. The zero value
// is empty.
type memory struct {
	byPart map[id.PromptPart]*list.Element
	// recent holds the records, the latest first.
	recent list.List
}

// record is what is known of one part or request.
type record struct {
	part id.PromptPart
	// at is when a response last began, or a target last ended.
	at time.Time
	// ends counts the moments at which targets ended, target and born are the last
	// incarnation that did.
	ends   int
	target id.Target
	born   int64
}

// get returns the record of p, or nil.
func (m *memory) get(p id.PromptPart) *record {
	if e := m.byPart[p]; e != nil {
		return e.Value.(*record)
	}
	return nil
}

// use returns the record of p, which it adds if there is none. It drops the oldest
// one beyond the limit.
func (m *memory) use(p id.PromptPart, limit int) *record {
	if e := m.byPart[p]; e != nil {
		m.recent.MoveToFront(e)
		return e.Value.(*record)
	}
	if m.byPart == nil {
		m.byPart = map[id.PromptPart]*list.Element{}
	}
	r := &record{part: p}
	m.byPart[p] = m.recent.PushFront(r)
	if len(m.byPart) > limit {
		m.remove(m.recent.Back().Value.(*record).part)
	}
	return r
}

// remove reports whether there was a record of p.
func (m *memory) remove(p id.PromptPart) bool {
	e := m.byPart[p]
	if e == nil {
		return false
	}
	delete(m.byPart, p)
	m.recent.Remove(e)
	return true
}
