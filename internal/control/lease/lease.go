// Package lease bounds the time for which a process may act on what it
// believes.
package lease

import (
	"sync"
	"time"
)

const (
	// Duration is the life of a confirmation, counted from the moment its
	// renewal was sent. With the time to notice a change it stays below the
	// three seconds after which a withdrawn target gets no new work.
	Duration = 2500 * time.Millisecond
	// RenewInterval is the time between renewals.
	RenewInterval = 500 * time.Millisecond
)

// Lease is the right to act. The zero value is expired.
type Lease struct {
	mu sync.Mutex
	// until never falls, except by Drop.
	until time.Time
}

// Extend renews the lease by a confirmation whose request was sent at the
// given time.
func (l *Lease) Extend(sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until := sent.Add(Duration); until.After(l.until) {
		l.until = until
	}
}

// Drop ends the lease at once.
func (l *Lease) Drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until = time.Time{}
}

// Valid reports whether the holder may act now.
func (l *Lease) Valid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.until)
}
