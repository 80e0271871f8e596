package sitekeeper

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"egretproxy/internal/kernel/boottime"
)

const (
	// pauseInterval is the time between two entries of a pauseLog.
	pauseInterval = 100 * time.Millisecond
	// pauseLimit is the time between two entries above which the process counts as
	// paused. An operator waits much longer before it sends an order elsewhere.
	pauseLimit = 4 * pauseInterval
	// pauseSettleTime is how long after a pause calls are read that were sent during it.
	pauseSettleTime = time.Second
)

// orderDate is a moment that an order can't precede.
type orderDate struct {
	// position is that of the log.
	position uint64
	// at is by the boottime clock.
	at time.Duration
}

// pauseLog detects that the process did not run for a while: its instance was frozen
// or suspended, or had no processor time. Calls of other keepers that arrived
// meanwhile wait in the system's buffers and look new afterwards. It is safe for
// concurrent use. The zero value is ready to use.
type pauseLog struct {
	mu sync.Mutex
	// last is the last entry.
	last orderDate
	// beforePause is the entry before the last pause, which counts until settledAt
	// of the boottime clock.
	beforePause orderDate
	settledAt   time.Duration
}

// run makes entries until the context ends.
func (p *pauseLog) run(ctx context.Context, position func() uint64) {
	ticker := time.NewTicker(pauseInterval)
	defer ticker.Stop()
	for {
		p.record(boottime.Now(), position())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// record makes an entry. It returns a date that no call precedes which is read at that
// time.
func (p *pauseLog) record(now time.Duration, position uint64) orderDate {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last.at > 0 && now-p.last.at > pauseLimit {
		if p.last.at >= p.settledAt {
			p.beforePause = p.last
		}
		p.settledAt = now + pauseSettleTime
	}
	p.last = orderDate{position, now}
	if now < p.settledAt {
		return p.beforePause
	}
	return p.last
}

// connDate is a date that the next order on a connection can't precede: that of the
// connection, or the one at which the last response was sent.
type connDate struct{ atomic.Pointer[orderDate] }

type connDateKey struct{}

// ConnContext is the ConnContext of a server of orders. It records a date that the
// connection can't precede. net/http calls it before it accepts the next connection.
func (k *Keeper) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return withDate(ctx, k.marks.accept(c.RemoteAddr()))
}

// withDate returns the context of the orders on a connection.
func withDate(ctx context.Context, opened orderDate) context.Context {
	date := &connDate{}
	date.Store(&opened)
	return context.WithValue(ctx, connDateKey{}, date)
}

// TrackOrders wraps a handler of orders whose server uses ConnContext. An order may
// have been sent at any time since the response before it on its connection. Its
// caller may have sent it to another keeper since, and then one to the contrary.
func (k *Keeper) TrackOrders(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(w, r)
		if date, ok := r.Context().Value(connDateKey{}).(*connDate); ok {
			now := k.now()
			date.Store(&now)
		}
	})
}

// now returns the present date.
func (k *Keeper) now() orderDate { return orderDate{k.Machine.Position(), boottime.Now()} }

// dateOf returns a date that the order of a request can't precede.
func (k *Keeper) dateOf(ctx context.Context) orderDate {
	if date, ok := ctx.Value(connDateKey{}).(*connDate); ok {
		return *date.Load()
	}
	return k.now()
}
