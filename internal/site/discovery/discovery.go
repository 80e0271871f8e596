// Package discovery keeps the targets that announced themselves to one keeper.
// It is soft state: announcements refresh it, and a restart begins empty.
package discovery

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"egretproxy/internal/fleet/id"
)

const (
	// SilenceTimeout is the time without an announcement after which a target
	// is silent. Announcements may be seconds late.
	SilenceTimeout = 8 * time.Second
	// retentionTime is the time for which a target that left or fell silent is
	// remembered, so that a delayed announcement can't bring it back.
	retentionTime = 60 * time.Second
)

// Stage tells what a target takes.
type Stage uint8

// Stages of a target.
const (
	// Ready targets take work.
	Ready Stage = iota
	// Draining targets take no new work.
	Draining
	// Gone targets have left.
	Gone
	// Silent targets no longer announce themselves to this keeper.
	Silent
)

// Target is what one target said of itself.
type Target struct {
	ID      id.Target
	Service id.Service
	// Address is the IP address and port for requests.
	Address string
	Domain  id.Domain
	Slots   int
	Stage   Stage
	// Born is the start of the incarnation in Unix milliseconds.
	Born int64
	// Sequence grows with each announcement of an incarnation.
	Sequence int64
	// Weights is the version that it holds whole, 0 for none.
	Weights int64
	// ColdMs is how long it stays cold, in milliseconds from its
	// announcement.
	ColdMs int64
}

// newer reports whether a comes after b of the same target.
func (a Target) newer(b Target) bool {
	if a.Born != b.Born {
		return a.Born > b.Born
	}
	if a.Stage != b.Stage && (a.Stage == Gone || b.Stage == Gone) {
		return a.Stage == Gone
	}
	return a.Sequence > b.Sequence
}

type record struct {
	Target
	lastSeen time.Time
	// position is the position of the last position that matters to entries.
	position uint64
}

// lateArrivalWindow is how late an announcement may arrive after its target has left.
const lateArrivalWindow = 10 * time.Second

// leftWithoutStart reports whether the target left just now without having
// announced itself here, so that its incarnations can't be told apart.
func (e *record) leftWithoutStart(now time.Time) bool {
	return e.Stage == Gone && e.Born == 0 && now.Sub(e.lastSeen) < lateArrivalWindow
}

// Registry is safe for concurrent use. The zero value is empty.
type Registry struct {
	mu       sync.Mutex
	targets  map[id.Target]*record
	position uint64
	changed  chan struct{}
}

// Announce takes in what a target says. It reports whether that is news that
// entries act on.
func (m *Registry) Announce(t Target) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.targets == nil {
		m.targets = map[id.Target]*record{}
	}
	now := time.Now()
	e := m.targets[t.ID]
	if e != nil && (!t.newer(e.Target) || e.leftWithoutStart(now)) {
		return false
	}
	if e == nil {
		e = &record{}
		m.targets[t.ID] = e
	}
	old := e.Target
	e.Target, e.lastSeen = t, now
	if old == (Target{}) || !equivalent(old, t) {
		m.recordChange(e)
		return true
	}
	return false
}

// Leave marks a target as gone. One that announced itself only to other
// keepers is noted without the start of its incarnation.
func (m *Registry) Leave(k id.Target) bool {
	m.mu.Lock()
	e := m.targets[k]
	t := Target{ID: k}
	if e != nil {
		t = e.Target
	}
	m.mu.Unlock()
	if t.Stage == Gone {
		return false
	}
	t.Stage = Gone
	return m.Announce(t)
}

// equivalent reports whether entries would act alike on both.
func equivalent(a, b Target) bool {
	a.Sequence, b.Sequence = 0, 0
	a.ColdMs, b.ColdMs = min(a.ColdMs, 1), min(b.ColdMs, 1)
	return a == b
}

// recordChange runs under mu.
func (m *Registry) recordChange(e *record) {
	m.position++
	e.position = m.position
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

// Since returns the targets that changed after the position, and the newest
// position. A position of 0 returns all.
func (m *Registry) Since(position uint64) ([]Target, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	var out []Target
	for _, e := range m.targets {
		if e.position > position {
			out = append(out, e.Target)
		}
	}
	slices.SortFunc(out, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return out, m.position
}

// Changed returns a channel that is closed at the next change.
func (m *Registry) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	return m.changed
}

// expire runs under mu.
func (m *Registry) expire() {
	for k, e := range m.targets {
		silence := time.Since(e.lastSeen)
		if silence > retentionTime {
			delete(m.targets, k)
			continue
		}
		if silence > SilenceTimeout && (e.Stage == Ready || e.Stage == Draining) {
			e.Stage = Silent
			m.recordChange(e)
		}
	}
}
