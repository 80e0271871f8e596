// Package lease limits how long a process may act on state that the keepers
// have confirmed.
package lease

import (
	"sync"
	"time"
)

const (
	// Duration is the validity of a confirmation, counted from the time its
	// renewal was sent. Together with the time to detect a change it stays
	// below the 3 s after which a withdrawn target must get no new work.
	Duration = 2500 * time.Millisecond
	// RenewInterval is the time between two renewals.
	RenewInterval = 500 * time.Millisecond
)

// Lease is a time-limited permission to act. The zero value is expired. It is
// safe for concurrent use.
type Lease struct {
	mu sync.Mutex
	// until is the expiry time. Only Drop moves it backwards.
	until time.Time
}

// Extend renews the lease after a confirmation. sentAt is the time at which the
// confirmed request was sent. An earlier expiry than the present one is ignored.
func (l *Lease) Extend(sentAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until := sentAt.Add(Duration); until.After(l.until) {
		l.until = until
	}
}

// Drop expires the lease immediately.
func (l *Lease) Drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until = time.Time{}
}

// Valid reports whether the lease has not expired.
func (l *Lease) Valid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.until)
}
