// Package tender is the role beside each engine: it brings the engine to the
// version of weights that is named, and tells entries how busy it is.
package tender

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/metrics"
	"egretproxy/internal/kernel/process"
	"egretproxy/internal/site/follow"
	"egretproxy/internal/site/pulse"
	"egretproxy/internal/weights/relay"
	"egretproxy/internal/wire/liveness"
)

const (
	// reportInterval is how often the engine is asked for its load while
	// entries listen. It bounds the error of their choice to a few requests.
	reportInterval = 50 * time.Millisecond
	// idleInterval is the same while nobody listens.
	idleInterval = 500 * time.Millisecond
	// repeatInterval is how often an unchanged load is sent again.
	repeatInterval = 400 * time.Millisecond
	// quietAfter is how long an engine may leave questions unanswered until
	// entries are told that it takes nothing.
	quietAfter = 400 * time.Millisecond
	// linkStep rounds the delay of the link, in milliseconds, so that small
	// changes of it cause no report.
	linkStep = 40
	// stopTimeout bounds transfers to peers when the process stops.
	stopTimeout = time.Second
)

// Report is what the engine says of itself.
type Report struct {
	Active, Queued int
	// Weights is the version held whole, 0 for none.
	Weights int64
	// Busy tells that an order is in progress.
	Busy bool
	// Sequence is the number of orders accepted.
	Sequence int64
	// Born is the start of the engine in Unix milliseconds, 0 if unknown.
	Born int64
}

// Switch is what becomes of requests that run when an engine loads.
type Switch uint8

const (
	// Finish lets them end. The engine takes nothing new meanwhile.
	Finish Switch = iota
	// Cut breaks them off. Entries resume them at other engines.
	Cut
)

// Engine is the engine beside this process.
type Engine interface {
	relay.Stage
	Report(ctx context.Context) (Report, error)
	// Load orders the engine to load what is staged. It returns nil once
	// the order has begun or is complete.
	Load(ctx context.Context, b relay.Bundle, sequence int64, s Switch) error
}

// Settings sets up a Tender.
type Settings struct {
	Name string
	// Service is the one of the engine, Address its address.
	Service id.Service
	Address string
	Domain  id.Domain
	Region  id.Region
	// WeightsDue is how long after a version was named requests may begin on
	// an older one.
	WeightsDue time.Duration
	// Listen is where peers fetch weights.
	Listen string
}

// Follower tells what the keepers know.
type Follower interface{ View() *follow.View }

// Tender is one running process. Its fields are set before Run.
type Tender struct {
	Settings Settings
	Follower Follower
	Engine   Engine
	Relay    *relay.Relay
	Sender   *pulse.Sender
	// Link returns how long data waits on the instance's link, if set.
	Link func() time.Duration
	// Handler serves weights to peers.
	Handler http.Handler
	Metrics *metrics.Set

	mu sync.Mutex
	// report is the newest one, at reportAt.
	report   Report
	reportAt time.Time
	// switching tells that the engine is about to load.
	switching bool
	// named is when each version was first seen.
	named map[relay.Bundle]time.Time
	// lacking is the version that could not be had last. tend alone uses it.
	lacking relay.Bundle
	wake    chan struct{}
}

// Run serves until the context ends.
func (t *Tender) Run(ctx context.Context) error {
	t.wake = make(chan struct{}, 1)
	t.named = map[relay.Bundle]time.Time{}
	l, err := liveness.ListenConfig().Listen(ctx, "tcp", t.Settings.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		return process.Serve(ctx, &http.Server{Handler: t.Handler, ReadHeaderTimeout: stopTimeout}, l, stopTimeout)
	})
	g.Go(func() error { t.Sender.Run(ctx, t.nudge); return nil })
	g.Go(func() error { t.watchEngine(ctx); return nil })
	g.Go(func() error { t.tend(ctx); return nil })
	return g.Wait()
}

// nudge makes watchEngine look at once.
func (t *Tender) nudge() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// watchEngine keeps the report fresh and tells it to entries.
func (t *Tender) watchEngine(ctx context.Context) {
	var sent pulse.Load
	var sentAt time.Time
	lost := false
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, quietAfter)
		r, err := t.Engine.Report(call)
		cancel()
		if (err != nil) != lost && ctx.Err() == nil {
			lost = err != nil
			klog.InfoS("Connection to engine changed", "Engine", t.Settings.Address, "Lost", lost, "Reason", reason(err))
		}
		load := t.take(r, err)
		if load != sent || time.Since(sentAt) > repeatInterval {
			t.Sender.Send(load)
			sent, sentAt = load, time.Now()
		}
		t.pause(ctx)
	}
}

func reason(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (t *Tender) take(r Report, err error) pulse.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		return pulse.Load{Closed: true}
	}
	t.report, t.reportAt = r, time.Now()
	load := pulse.Load{
		Active: r.Active, Queued: r.Queued, Weights: r.Weights, Closed: t.switching || r.Busy,
	}
	if t.Link != nil {
		load.LinkMs = t.Link().Milliseconds() / linkStep * linkStep
	}
	return load
}

func (t *Tender) pause(ctx context.Context) {
	wait := idleInterval
	if t.Sender.Subscribed() {
		wait = reportInterval
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-t.wake:
	}
}

func (t *Tender) setSwitching(on bool) {
	t.mu.Lock()
	t.switching = on
	t.mu.Unlock()
	t.nudge()
}

// newest returns the engine's report if it is fresh.
func (t *Tender) newest() (Report, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.report, time.Since(t.reportAt) < 2*idleInterval
}
