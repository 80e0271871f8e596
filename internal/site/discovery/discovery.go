// Package discovery tracks the targets that announce themselves to one keeper.
// The registry is soft state: it is refreshed by announcements and empty after
// a restart.
package discovery

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/boottime"
	"egretproxy/internal/kernel/wakeup"
)

const (
	// SilenceTimeout is the time without an announcement after which a target
	// is silent. Announcements may arrive seconds late.
	SilenceTimeout = 8 * time.Second
	// retentionTime is how long a target that left or fell silent is
	// remembered, so that a delayed announcement can't bring it back.
	retentionTime = 60 * time.Second
)

// Stage is a target's position in its life cycle.
type Stage uint8

// Stages of a target.
const (
	// Ready targets accept requests.
	Ready Stage = iota
	// Draining targets accept no new requests.
	Draining
	// Gone targets have left.
	Gone
	// Silent targets have stopped announcing themselves to this keeper.
	Silent
)

// Target is the announcement of one target.
type Target struct {
	ID      id.Target
	Service id.Service
	// Address is the IP address and port for requests.
	Address string
	Domain  id.Domain
	Slots   int
	Stage   Stage
	// Born is the start time of the incarnation in Unix milliseconds.
	Born int64
	// Sequence grows with each announcement of an incarnation.
	Sequence int64
	// Weights is the version held completely, 0 for none.
	Weights int64
	// ColdMs is how long the target stays cold, in milliseconds from the
	// announcement.
	ColdMs int64
}

// isLive reports whether an announced target has not left or fallen silent.
func (a Target) isLive() bool { return a.Stage == Ready || a.Stage == Draining }

// supersedes reports whether a is newer than b, an announcement of the same
// target. A departure without a start time is that of an incarnation which announced
// itself elsewhere, if none is live here.
func (a Target) supersedes(b Target) bool {
	if a.Stage == Gone && a.Born == 0 && !b.isLive() {
		return true
	}
	if a.Born != b.Born {
		return a.Born > b.Born
	}
	if a.Stage != b.Stage && (a.Stage == Gone || b.Stage == Gone) {
		return a.Stage == Gone
	}
	return a.Sequence > b.Sequence
}

// ErrLateDeparture is returned for a departure that an earlier incarnation of a target
// may have sent.
var ErrLateDeparture = errors.New("target may have started anew since it said that it leaves")

type record struct {
	Target
	// firstSeen is when the incarnation was first announced here, by the boottime clock.
	firstSeen time.Duration
	lastSeen  time.Time
	// position is the registry's position at the last change relevant to
	// entries.
	position uint64
}

// lateArrivalWindow is how late an announcement may arrive after its target has
// left.
const lateArrivalWindow = 10 * time.Second

// leftWithoutStart reports whether the target left recently without having
// announced itself here. Its incarnations can't be told apart then.
func (rec *record) leftWithoutStart(now time.Time) bool {
	return rec.Stage == Gone && rec.Born == 0 && now.Sub(rec.lastSeen) < lateArrivalWindow
}

// Registry holds the announced targets. It is safe for concurrent use. The zero
// value is empty.
type Registry struct {
	mu       sync.Mutex
	targets  map[id.Target]*record
	position uint64
	changed  wakeup.Signal
}

// Announce records an announcement. It reports whether the announcement changes
// anything that entries act on.
func (r *Registry) Announce(t Target) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.targets == nil {
		r.targets = map[id.Target]*record{}
	}
	now := time.Now()
	rec := r.targets[t.ID]
	if rec != nil && (!t.supersedes(rec.Target) || rec.leftWithoutStart(now)) {
		return false
	}
	if rec == nil {
		rec = &record{}
		r.targets[t.ID] = rec
	}
	old := rec.Target
	if old.ID == "" || old.Born != t.Born {
		rec.firstSeen = boottime.Now()
	}
	rec.Target, rec.lastSeen = t, now
	if old == (Target{}) || !equivalent(old, t) {
		r.recordChange(rec)
		return true
	}
	return false
}

// Leave marks a target as gone and reports whether that is a change. The target said so
// after sentAfter of the boottime clock. Leave returns ErrLateDeparture if the
// incarnation that is live here was first announced later. If none is live, one that
// announced itself elsewhere has left, and the target is recorded without a start time.
func (r *Registry) Leave(k id.Target, sentAfter time.Duration) (changed bool, err error) {
	t, firstSeen, live := r.Live(k)
	if live && firstSeen > sentAfter {
		return false, ErrLateDeparture
	}
	if !live {
		t = Target{ID: k}
	}
	t.Stage = Gone
	return r.Announce(t), nil
}

// Live returns the incarnation of a target that is live here, and when it was first
// announced, by the boottime clock. It returns false if none is.
func (r *Registry) Live(k id.Target) (t Target, firstSeen time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.targets[k]
	if rec == nil || !rec.isLive() {
		return Target{}, 0, false
	}
	return rec.Target, rec.firstSeen, true
}

// Record returns what is known of a target, or only its id.
func (r *Registry) Record(k id.Target) Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec := r.targets[k]; rec != nil {
		return rec.Target
	}
	return Target{ID: k}
}

// equivalent reports whether entries would treat both announcements alike.
func equivalent(a, b Target) bool {
	a.Sequence, b.Sequence = 0, 0
	a.ColdMs, b.ColdMs = min(a.ColdMs, 1), min(b.ColdMs, 1)
	return a == b
}

// recordChange advances the position and wakes waiters. The caller holds mu.
func (r *Registry) recordChange(rec *record) {
	r.position++
	rec.position = r.position
	r.changed.Send()
}

// Since returns the targets that changed after the position, sorted by ID, and
// the newest position. A position of 0 returns all targets.
func (r *Registry) Since(position uint64) ([]Target, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	var out []Target
	for _, rec := range r.targets {
		if rec.position > position {
			out = append(out, rec.Target)
		}
	}
	slices.SortFunc(out, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return out, r.position
}

// Changed returns a channel that is closed at the next change.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed.Next()
}

// expire marks targets as silent and removes old records. The caller holds mu.
func (r *Registry) expire() {
	for k, rec := range r.targets {
		silence := time.Since(rec.lastSeen)
		if silence > retentionTime {
			delete(r.targets, k)
			continue
		}
		if silence > SilenceTimeout && (rec.Stage == Ready || rec.Stage == Draining) {
			rec.Stage = Silent
			r.recordChange(rec)
		}
	}
}
