package sitekeeper

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"egretproxy/internal/kernel/boottime"
	"egretproxy/internal/wire/rpc"
)

// maxDepartures bounds the number of departures whose age is known.
const maxDepartures = 4096

// departureLog holds when targets said to this keeper that they leave, so that other
// keepers can ask for it. It is safe for concurrent use. The zero value is empty.
type departureLog struct {
	mu sync.Mutex
	// next is the number of the next departure.
	next uint64
	// sentAfter holds a time before each of the last departures by the boottime clock, at
	// its number modulo maxDepartures.
	sentAfter [maxDepartures]time.Duration
}

// departureKey names a departure: the epoch of the keeper to which the target said so, and
// its number there.
type departureKey struct {
	Epoch  string
	Number uint64
}

// add records a departure that was sent after a time and returns its number.
func (l *departureLog) add(sentAfter time.Duration) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.next
	l.sentAfter[n%maxDepartures] = sentAfter
	l.next++
	return n
}

// find returns the time of a departure. It returns false if the log does not hold it.
func (l *departureLog) find(n uint64) (sentAfter time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n >= l.next || n+maxDepartures < l.next {
		return 0, false
	}
	return l.sentAfter[n%maxDepartures], true
}

// handleDepartureAge returns how long ago, at most, a target said that it leaves, in
// nanoseconds.
func (k *Keeper) handleDepartureAge(_ context.Context, params json.RawMessage) (any, error) {
	var in departureKey
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, rpc.InvalidParams(err)
	}
	sentAfter, ok := k.departures.find(in.Number)
	if in.Epoch != k.epoch || !ok {
		return nil, rpc.NewError(rpc.CodeUnavailable, "departure is not known")
	}
	return boottime.Now() - sentAfter, nil
}
