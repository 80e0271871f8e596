// Package siteagent implements the agent beside each engine of a site. It
// deploys the published version of weights to the engine and reports the
// engine's load to entries.
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
	"egretproxy/internal/kernel/clock"
	"egretproxy/internal/kernel/metrics"
	"egretproxy/internal/kernel/process"
	"egretproxy/internal/site/loadreport"
	"egretproxy/internal/site/siteclient"
	"egretproxy/internal/weights/relay"
	"egretproxy/internal/wire/liveness"
)

const (
	// reportInterval is the time between queries of the engine's load while
	// entries are subscribed. It bounds the error of their routing decisions to
	// a few requests.
	reportInterval = 50 * time.Millisecond
	// idleInterval is the time between queries while no entry is subscribed.
	idleInterval = 500 * time.Millisecond
	// resendInterval is the time after which an unchanged load is sent again.
	resendInterval = 400 * time.Millisecond
	// reportTimeout is how long the engine may leave a query unanswered before
	// entries are told that it accepts no requests.
	reportTimeout = 400 * time.Millisecond
	// linkDelayStepMs is the resolution of the reported link delay in
	// milliseconds. It keeps small changes from causing a report.
	linkDelayStepMs = 40
	// loadWindow is the smoothing period of the engine's load.
	loadWindow = time.Second
	// maxQueryTime is the longest query after which the engine's state is new enough
	// to show that the engine lives. incarnation.Register allows for twice that.
	maxQueryTime = 50 * time.Millisecond
	// stopTimeout bounds the time for transfers to peers to finish when the
	// process stops.
	stopTimeout = time.Second
)

// Report is the status that an engine reports.
type Report struct {
	Active, Queued int
	// Weights is the version whose first layers are loaded, 0 for none. Agents set
	// it to 0 if LayersTo is less than the model's layers.
	Weights int64
	// LayersTo is the number of those layers, 0 if unknown.
	LayersTo int
	// Busy means that an order is in progress.
	Busy bool
	// Sequence is the number of orders accepted.
	Sequence int64
	// StartMs is the start time of the engine in Unix milliseconds, 0 if
	// unknown.
	StartMs int64
}

// SwitchMode selects how an engine treats running requests when it loads
// weights.
type SwitchMode uint8

const (
	// FinishRequests lets them finish. The engine accepts no new ones
	// meanwhile.
	FinishRequests SwitchMode = iota
	// AbortRequests aborts them. Entries resume them on other engines.
	AbortRequests
)

// Engine is the client of the engine beside this process.
type Engine interface {
	relay.Stage
	Report(ctx context.Context) (Report, error)
	// Load sends an order. It returns nil once the order has begun or is complete,
	// and an error that wraps ErrOrderRefused if the engine refused it. After any
	// other error the engine may have accepted the order, or accept it later.
	Load(ctx context.Context, o Order) error
}

// Settings configures an Agent.
type Settings struct {
	Name string
	// Service is the engine's service, Address the engine's address.
	Service id.Service
	Address string
	Domain  id.Domain
	Region  id.Region
	// WeightsDue is how long after the publication of a version requests may
	// start on an older one.
	WeightsDue time.Duration
	// Listen is the address on which peers fetch weights.
	Listen string
	// ColdOverrun and ColdAllowance are those of dispatch.Settings.
	ColdOverrun, ColdAllowance float64
}

// ViewSource provides the current view of the site.
type ViewSource interface{ View() *siteclient.View }

// Agent deploys weights to one engine. Its fields are set before Run.
type Agent struct {
	Settings Settings
	Views    ViewSource
	Engine   Engine
	Relay    *relay.Relay
	Sender   *loadreport.Sender
	// LinkDelay returns how long data is queued on the instance's link. It may
	// be nil.
	LinkDelay func() time.Duration
	// Handler serves weights to peers.
	Handler http.Handler
	Metrics *metrics.Set

	mu sync.Mutex
	// report is the newest report of the engine, received at reportAt.
	report   Report
	reportAt time.Time
	// running is the smoothed number of the engine's requests.
	running float64
	// switching means that the engine is about to load weights, aborting that it
	// aborts its requests for that.
	switching, aborting bool
	// loadsAt is when the engine takes no more requests to load a version, zero if it
	// has none to load. It counts until loadsUntil, if that is set.
	loadsAt, loadsUntil time.Time
	// pending is the order whose outcome is not known, or nil. It is replaced by
	// reconcileLoop's goroutine only.
	pending *pendingOrder
	// spoilt is the bundle that the engine loaded from corrupted pieces, or the zero
	// value, and spoiltStartMs the start of that engine. They are replaced by
	// reconcileLoop's goroutine only.
	spoilt        relay.Bundle
	spoiltStartMs int64
	// firstSeen is when this process learnt of each version.
	firstSeen map[relay.Bundle]time.Time
	// busy is the share of the engine's slots that was taken at that time.
	busy map[relay.Bundle]float64
	// unavailable is the last version found to be unavailable. It is used by
	// reconcileLoop's goroutine only.
	unavailable relay.Bundle
	wake        chan struct{}
}

// Run serves until the context ends.
func (a *Agent) Run(ctx context.Context) error {
	a.wake = make(chan struct{}, 1)
	a.firstSeen, a.busy = map[relay.Bundle]time.Time{}, map[relay.Bundle]float64{}
	l, err := liveness.ListenConfig().Listen(ctx, "tcp", a.Settings.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for weight requests of peers")
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		return process.Serve(ctx, &http.Server{Handler: a.Handler, ReadHeaderTimeout: stopTimeout}, l, stopTimeout)
	})
	g.Go(func() error { a.Sender.Run(ctx, a.wakeReporter); return nil })
	g.Go(func() error { a.watchEngine(ctx); return nil })
	g.Go(func() error { a.reconcileLoop(ctx); return nil })
	return g.Wait()
}

// wakeReporter makes watchEngine query the engine without delay.
func (a *Agent) wakeReporter() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// watchEngine queries the engine periodically and sends its load to entries.
func (a *Agent) watchEngine(ctx context.Context) {
	var sent loadreport.Load
	var sentAt, dealtAt time.Time
	lost := false
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		askedAt := time.Now()
		r, err := a.Engine.Report(callCtx)
		cancel()
		if (err != nil) != lost && ctx.Err() == nil {
			lost = err != nil
			klog.InfoS("Connection to engine changed", "Engine", a.Settings.Address, "Lost", lost, "Reason", errorText(err))
		}
		load := a.recordReport(r, err)
		a.Sender.SetSharers(a.sharers())
		if time.Since(askedAt) > maxQueryTime {
			load.Born = 0
		}
		places, interval := a.places(load)
		deal := places.Free > 0 && time.Since(dealtAt) >= interval
		if deal {
			dealtAt = time.Now()
		} else {
			places.Free = 0
		}
		if deal || load != sent || load.Aborts || time.Since(sentAt) > resendInterval {
			sent, sentAt = load, time.Now()
			load.LoadsInMs = a.loadsInMs()
			a.Sender.Send(load, places)
		}
		a.pause(ctx)
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (a *Agent) recordReport(r Report, err error) loadreport.Load {
	layers := a.lastLayer() + 1
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		return loadreport.Load{Closed: true}
	}
	if r.LayersTo > 0 && r.LayersTo < layers {
		r.Weights = 0
	}
	age := min(time.Since(a.reportAt).Seconds()/loadWindow.Seconds(), 1)
	a.running += (float64(r.Active+r.Queued) - a.running) * age
	a.report, a.reportAt = r, time.Now()
	load := loadreport.Load{
		Active: r.Active, Queued: r.Queued, Weights: r.Weights, Closed: a.closed(r),
		Born: r.StartMs, Aborts: a.aborting,
	}
	if a.LinkDelay != nil {
		load.LinkDelayMs = a.LinkDelay().Milliseconds() / linkDelayStepMs * linkDelayStepMs
	}
	return load
}

func (a *Agent) pause(ctx context.Context) {
	wait := idleInterval
	if a.Sender.Subscribed() {
		wait = reportInterval
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-a.wake:
	}
}

func (a *Agent) setSwitching(on bool) {
	a.mu.Lock()
	a.switching = on
	a.mu.Unlock()
	a.wakeReporter()
}

// announceAbort announces that the engine is about to abort its requests, so that
// entries don't take it to have ended, and gives them the time to learn of it.
func (a *Agent) announceAbort(ctx context.Context) {
	a.setAborting(true)
	clock.Sleep(ctx, abortNotice)
}

func (a *Agent) setAborting(on bool) {
	a.mu.Lock()
	a.aborting = on
	a.mu.Unlock()
	a.wakeReporter()
}

func (a *Agent) setLoadsAt(at, until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.loadsAt, a.loadsUntil = at, until
}

// loadsInMs returns the time until the engine takes no more requests.
func (a *Agent) loadsInMs() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.loadsAt.IsZero() || !a.loadsUntil.IsZero() && time.Now().After(a.loadsUntil) {
		return 0
	}
	return max(time.Until(a.loadsAt).Milliseconds(), 1)
}

// latestReport returns the engine's newest report and whether it is recent
// enough to rely on.
func (a *Agent) latestReport() (Report, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.report, time.Since(a.reportAt) < 2*idleInterval
}
