package entry

import (
	"context"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// errAgentUnresponsive cancels exchanges with an agent that no longer
// responds.
var errAgentUnresponsive = errors.New("agent no longer answers")

const (
	// idleThreshold is how long an exchange may make no progress before its
	// agent is probed.
	idleThreshold = 1500 * time.Millisecond
	watchInterval = 500 * time.Millisecond
	probeTimeout  = 750 * time.Millisecond
	// maxFailedProbes is the number of consecutive failed probes after which an agent
	// counts as unresponsive.
	maxFailedProbes = 2
)

// watchedExchange is an exchange monitored by a watchdog.
type watchedExchange struct {
	address string
	cancel  context.CancelCauseFunc

	mu           sync.Mutex
	lastProgress time.Time
}

// touch records that the exchange made progress.
func (w *watchedExchange) touch() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastProgress = time.Now()
}

func (w *watchedExchange) idle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.lastProgress) > idleThreshold
}

// watchdog detects agents that became unreachable without closing their
// connections, so that requests do not wait for them until their own timeout.
type watchdog struct {
	client *http.Client
	scheme string

	mu        sync.Mutex
	exchanges map[*watchedExchange]struct{}
	// failedProbes counts consecutive failed probes by address.
	failedProbes map[string]int
}

func newWatchdog(client *http.Client, scheme string) *watchdog {
	return &watchdog{
		client: client, scheme: scheme,
		exchanges: map[*watchedExchange]struct{}{}, failedProbes: map[string]int{},
	}
}

// watch monitors an exchange and cancels the returned context when the agent
// is unresponsive. The returned function ends the monitoring.
func (d *watchdog) watch(ctx context.Context, address string) (context.Context, *watchedExchange, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watchedExchange{address: address, cancel: cancel, lastProgress: time.Now()}
	d.mu.Lock()
	d.exchanges[w] = struct{}{}
	d.mu.Unlock()
	return ctx, w, func() {
		d.mu.Lock()
		delete(d.exchanges, w)
		d.mu.Unlock()
		cancel(nil)
	}
}

func (d *watchdog) run(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		var wg sync.WaitGroup
		for _, address := range d.idleAddresses() {
			wg.Add(1)
			go func() {
				defer wg.Done()
				d.probe(ctx, address)
			}()
		}
		wg.Wait()
	}
}

func (d *watchdog) idleAddresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	seen := map[string]bool{}
	var out []string
	for w := range d.exchanges {
		if w.idle() && !seen[w.address] {
			seen[w.address] = true
			out = append(out, w.address)
		}
	}
	return out
}

func (d *watchdog) probe(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	u := url.URL{Scheme: d.scheme, Host: address, Path: "/alive"}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return
	}
	w, err := d.client.Do(r)
	if err == nil {
		_ = w.Body.Close()
	}
	d.recordProbe(address, err == nil)
}

func (d *watchdog) recordProbe(address string, alive bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if alive {
		delete(d.failedProbes, address)
		return
	}
	d.failedProbes[address]++
	if d.failedProbes[address] < maxFailedProbes {
		return
	}
	delete(d.failedProbes, address)
	for w := range d.exchanges {
		if w.address == address {
			w.cancel(errAgentUnresponsive)
		}
	}
}
