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
func (r *Table) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaderSince = time.Now()
	r.records = map[string]record{}
}

// Record stores renewals. The version that a subscriber has does not decrease
// within a session.
func (r *Table) Record(subscribers []api.Subscriber) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.records == nil {
		r.records = map[string]record{}
	}
	now := time.Now()
	for _, s := range subscribers {
		k := s.Role + "/" + s.Name
		if old, ok := r.records[k]; ok && s.Have < old.Have && s.Session == old.Session {
			s.Have = old.Have
		}
		r.records[k] = record{Subscriber: s, renewedAt: now}
	}
}

// Reports returns the latest report of each target's current session.
func (r *Table) Reports(targets map[id.Target]view.Target) map[id.Target]api.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[id.Target]api.Report{}
	for _, c := range r.records {
		t, ok := targets[c.Target]
		if ok && c.Report != nil && c.Session == t.Session {
			out[c.Target] = *c.Report
		}
	}
	return out
}

// Silent returns the sorted targets whose agents have not renewed for the
// timeout.
func (r *Table) Silent(targets map[id.Target]view.Target, timeout time.Duration) []id.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	renewals := map[id.Target]time.Time{}
	for _, c := range r.records {
		if t, ok := targets[c.Target]; ok && c.Session == t.Session {
			renewals[c.Target] = c.renewedAt
		}
	}
	now := time.Now()
	var out []id.Target
	for k := range targets {
		last, ok := renewals[k]
		if !ok {
			last = r.leaderSince
		}
		if now.Sub(last) >= timeout {
			out = append(out, k)
		}
	}
	slices.Sort(out)
	return out
}

// List returns all processes, sorted by role and name.
func (r *Table) List() []api.SubscriberState {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var out []api.SubscriberState
	for k, c := range r.records {
		if now.Sub(c.renewedAt) > recordExpiry {
			delete(r.records, k)
			continue
		}
		out = append(out, api.SubscriberState{
			Name: c.Name, Role: c.Role, Target: c.Target, Have: c.Have,
			SilentMilliseconds: now.Sub(c.renewedAt).Milliseconds(), Report: c.Report,
		})
	}
	slices.SortFunc(out, func(a, b api.SubscriberState) int {
		return strings.Compare(a.Role+"/"+a.Name, b.Role+"/"+b.Name)
	})
	return out
}
