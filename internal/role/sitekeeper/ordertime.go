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
	// pauseSettleTime is how long after a pause connections are accepted that were
	// opened during it.
	pauseSettleTime = time.Second
)

// pauseLog detects that the process did not run for a while: its instance was frozen
// or suspended, or had no processor time. Connections and orders that arrived
// meanwhile wait in the system's buffers and look new afterwards. It is safe for
// concurrent use. The zero value is ready to use.
type pauseLog struct {
	mu sync.Mutex
	// at is the time of the last entry by the boottime clock, position the log
	// position at that time.
	at       time.Duration
	position uint64
	// beforePause is the position before the last pause, which counts until
	// settledAt.
	beforePause uint64
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

// record makes an entry. It returns a position that no connection precedes which is
// accepted at that time.
func (p *pauseLog) record(now time.Duration, position uint64) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.at > 0 && now-p.at > pauseLimit {
		if p.at >= p.settledAt {
			p.beforePause = p.position
		}
		p.settledAt = now + pauseSettleTime
	}
	p.at, p.position = now, position
	if now < p.settledAt {
		return p.beforePause
	}
	return position
}

// orderPosition is a log position that the next order on a connection can't precede:
// the one at which it was accepted or the last response was sent.
type orderPosition struct{ atomic.Uint64 }

type orderPositionKey struct{}

// ConnContext is the ConnContext of a server of orders. It records the position at
// which a connection is accepted.
func (k *Keeper) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	position := &orderPosition{}
	position.Store(k.pauses.record(boottime.Now(), k.Machine.Position()))
	return context.WithValue(ctx, orderPositionKey{}, position)
}

// TrackOrders wraps a handler of orders whose server uses ConnContext. An order may
// have been sent at any time since the response before it on its connection. Its
// caller may have sent it to another keeper since, and then one to the contrary.
func (k *Keeper) TrackOrders(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(w, r)
		if position, ok := r.Context().Value(orderPositionKey{}).(*orderPosition); ok {
			position.Store(k.Machine.Position())
		}
	})
}

// positionOf returns a log position that the order of a request can't precede.
func (k *Keeper) positionOf(ctx context.Context) uint64 {
	if position, ok := ctx.Value(orderPositionKey{}).(*orderPosition); ok {
		return position.Load()
	}
	return k.Machine.Position()
}
