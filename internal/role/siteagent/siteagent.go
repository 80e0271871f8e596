// Package siteagent is the role beside each engine: it brings the engine to the
// version of weights that is named, and tells entries how busy it is.
package siteagent

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
	"egretproxy/internal/site/loadreport"
	"egretproxy/internal/site/siteclient"
	"egretproxy/internal/weights/relay"
	"egretproxy/internal/wire/liveness"
)

const (
	// reportInterval is how often the engine is asked for its load while
	// entries listen. It bounds the error of their choice to a few requests.
	reportInterval = 50 * time.Millisecond
	// idleInterval is the same while nobody listens.
	idleInterval = 500 * time.Millisecond
	// resendInterval is how often an unchanged load is sent again.
	resendInterval = 400 * time.Millisecond
	// reportTimeout is how long an engine may leave questions unanswered until
	// entries are told that it takes nothing.
	reportTimeout = 400 * time.Millisecond
	// linkDelayStepMs rounds the delay of the link, in milliseconds, so that small
	// changes of it cause no report.
	linkDelayStepMs = 40
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
	// StartMs is the start of the engine in Unix milliseconds, 0 if unknown.
	StartMs int64
}

// SwitchMode is what becomes of requests that run when an engine loads.
type SwitchMode uint8

const (
	// FinishRequests lets them end. The engine takes nothing new meanwhile.
	FinishRequests SwitchMode = iota
	// AbortRequests breaks them off. Entries resume them at other engines.
	AbortRequests
)

// Engine is the engine beside this process.
type Engine interface {
	relay.Stage
	Report(ctx context.Context) (Report, error)
	// Load orders the engine to load what is staged. It returns nil once
	// the order has begun or is complete.
	Load(ctx context.Context, b relay.Bundle, sequence int64, s SwitchMode) error
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

// Views tells what the keepers know.
type ViewSource interface{ View() *siteclient.View }

// Agent is one running process. Its fields are set before Run.
type Agent struct {
	Settings Settings
	Views    ViewSource
	Engine   Engine
	Relay    *relay.Relay
	Sender   *loadreport.Sender
	// LinkDelay returns how long data waits on the instance's link, if set.
	LinkDelay func() time.Duration
	// Handler serves weights to peers.
	Handler http.Handler
	Metrics *metrics.Set

	mu sync.Mutex
	// report is the newest one, at reportAt.
	report   Report
	reportAt time.Time
	// switching tells that the engine is about to load.
	switching bool
	// firstSeen is when each version was first seen.
	firstSeen map[relay.Bundle]time.Time
	// unavailable is the version that could not be had last. tend alone uses it.
	unavailable relay.Bundle
	wake        chan struct{}
}

// Run serves until the context ends.
func (t *Agent) Run(ctx context.Context) error {
	t.wake = make(chan struct{}, 1)
	t.firstSeen = map[relay.Bundle]time.Time{}
	l, err := liveness.ListenConfig().Listen(ctx, "tcp", t.Settings.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		return process.Serve(ctx, &http.Server{Handler: t.Handler, ReadHeaderTimeout: stopTimeout}, l, stopTimeout)
	})
	g.Go(func() error { t.Sender.Run(ctx, t.wakeReporter); return nil })
	g.Go(func() error { t.watchEngine(ctx); return nil })
	g.Go(func() error { t.reconcileLoop(ctx); return nil })
	return g.Wait()
}

// wakeReporter makes watchEngine look at once.
func (t *Agent) wakeReporter() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// watchEngine keeps the report fresh and tells it to entries.
func (t *Agent) watchEngine(ctx context.Context) {
	var sent loadreport.Load
	var sentAt time.Time
	lost := false
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, reportTimeout)
		r, err := t.Engine.Report(call)
		cancel()
		if (err != nil) != lost && ctx.Err() == nil {
			lost = err != nil
			klog.InfoS("Connection to engine changed", "Engine", t.Settings.Address, "Lost", lost, "Reason", errorText(err))
		}
		load := t.recordReport(r, err)
		if load != sent || time.Since(sentAt) > resendInterval {
			t.Sender.Send(load)
			sent, sentAt = load, time.Now()
		}
		t.pause(ctx)
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (t *Agent) recordReport(r Report, err error) loadreport.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		return loadreport.Load{Closed: true}
	}
	t.report, t.reportAt = r, time.Now()
	load := loadreport.Load{
		Active: r.Active, Queued: r.Queued, Weights: r.Weights, Closed: t.switching || r.Busy,
	}
	if t.LinkDelay != nil {
		load.LinkDelayMs = t.LinkDelay().Milliseconds() / linkDelayStepMs * linkDelayStepMs
	}
	return load
}

func (t *Agent) pause(ctx context.Context) {
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

func (t *Agent) setSwitching(on bool) {
	t.mu.Lock()
	t.switching = on
	t.mu.Unlock()
	t.wakeReporter()
}

// latestReport returns the engine's report if it is fresh.
func (t *Agent) latestReport() (Report, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.report, time.Since(t.reportAt) < 2*idleInterval
}
