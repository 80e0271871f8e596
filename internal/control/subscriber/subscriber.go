// Package subscriber tracks the processes that renew their leases, and the
// reports of agents. The table is kept in the leader's memory only; a new leader
// starts with an empty one.
package subscriber

import (
	"slices"
	"strings"
	"sync"
	"time"

	"egretproxy/internal/control/view"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/wire/api"
)

// recordExpiry is the time without a renewal after which List removes a record.
const recordExpiry = 10 * time.Minute

type record struct {
	api.Subscriber
	renewedAt time.Time
}

// Table is the table of renewing processes. It is safe for concurrent use.
type Table struct {
	mu sync.Mutex
	// leaderSince is the time at which this keeper became leader. A target
	// without a renewal since then counts as renewed at that time.
	leaderSince time.Time
	records     map[string]record
}

// Reset clears the table when this keeper becomes leader.
func (t *Table) Reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaderSince = time.Now()
	t.records = map[string]record{}
}

// Record stores renewals. The version that a subscriber has does not decrease
// within a session.
func (t *Table) Record(subscribers []api.Subscriber) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.records == nil {
		t.records = map[string]record{}
	}
	now := time.Now()
	for _, s := range subscribers {
		k := s.Role + "/" + s.Name
		if old, ok := t.records[k]; ok && s.Have < old.Have && s.Session == old.Session {
			s.Have = old.Have
		}
		t.records[k] = record{Subscriber: s, renewedAt: now}
	}
}

// Reports returns the latest report of each target's current session.
func (t *Table) Reports(targets map[id.Target]view.Target) map[id.Target]api.Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[id.Target]api.Report{}
	for _, rec := range t.records {
		target, ok := targets[rec.Target]
		if ok && rec.Report != nil && rec.Session == target.Session {
			out[rec.Target] = *rec.Report
		}
	}
	return out
}

// Silent returns the sorted targets whose agents have not renewed for the
// timeout.
func (t *Table) Silent(targets map[id.Target]view.Target, timeout time.Duration) []id.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	renewals := map[id.Target]time.Time{}
	for _, rec := range t.records {
		if target, ok := targets[rec.Target]; ok && rec.Session == target.Session {
			renewals[rec.Target] = rec.renewedAt
		}
	}
	now := time.Now()
	var out []id.Target
	for k := range targets {
		last, ok := renewals[k]
		if !ok {
			last = t.leaderSince
		}
		if now.Sub(last) >= timeout {
			out = append(out, k)
		}
	}
	slices.Sort(out)
	return out
}

// List returns all processes, sorted by role and name.
func (t *Table) List() []api.SubscriberState {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var out []api.SubscriberState
	for k, rec := range t.records {
		if now.Sub(rec.renewedAt) > recordExpiry {
			delete(t.records, k)
			continue
		}
		out = append(out, api.SubscriberState{
			Name: rec.Name, Role: rec.Role, Target: rec.Target, Have: rec.Have,
			SilentMilliseconds: now.Sub(rec.renewedAt).Milliseconds(), Report: rec.Report,
		})
	}
	slices.SortFunc(out, func(a, b api.SubscriberState) int {
		return strings.Compare(a.Role+"/"+a.Name, b.Role+"/"+b.Name)
	})
	return out
}
