// Package siteentry is the role that takes requests from callers and passes
// them on to the targets of a site.
package siteentry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"egretproxy/internal/admission/retrydetector"
	"egretproxy/internal/exchange/connpool"
	"egretproxy/internal/exchange/dispatch"
	"egretproxy/internal/exchange/headernames"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/decisionlog"
	"egretproxy/internal/kernel/metrics"
	"egretproxy/internal/site/siteclient"
	"egretproxy/internal/wire/liveness"
)

const (
	// headerTimeout and maxHeaderBytes bound a caller's header. The plan's
	// limits lie below.
	headerTimeout  = 5 * time.Second
	maxHeaderBytes = 64 << 10
	// idleTimeout is above the one that callers are told.
	idleTimeout = 60 * time.Second
	// drainNotice is how long new connections are still taken after a stop
	// was asked for, since the balancer notices only after two questions.
	drainNotice = 2600 * time.Millisecond
	// stopMargin is kept free before the platform kills the process.
	stopMargin = 700 * time.Millisecond
	// sweepInterval is how often kept connections are looked at.
	sweepInterval = time.Second
)

// Settings sets up a Gateway.
type Settings struct {
	// Name names the process in logs.
	Name string
	// Listen is where callers connect.
	Listen string
	// HomeRegion is the own region.
	HomeRegion id.Region
	// Lease is how old the confirmation may be for requests that need a key.
	Lease time.Duration
	// WeightsGrace is how long after a version was named requests may begin on
	// an older one.
	WeightsGrace time.Duration
	// KeeperSettleTime is how long after a disturbance of the keepers that time
	// begins to count.
	KeeperSettleTime time.Duration
	// StopGrace is the time from the request to stop until the process is killed.
	StopGrace time.Duration
	Dialect   headernames.Names
}

// ViewSource tells what the keepers know.
type ViewSource interface {
	View() *siteclient.View
	// Age is how old the newest confirmation by a quorum is.
	Age() time.Duration
	// StableFor is for how long no keeper was lost or found.
	StableFor() time.Duration
}

// Entry is one running entry. Its fields are set before Run.
type Entry struct {
	Settings    Settings
	Views       ViewSource
	Dispatcher  *dispatch.Dispatcher
	RetryBudget *dispatch.RetryBudget
	Pool        *connpool.Pool
	Trail       *decisionlog.Log
	Metrics     *metrics.Set

	stopping      atomic.Bool
	active        atomic.Int64
	floor         weightsFloor
	retryDetector retrydetector.Detector
	startup       startupState
}

// Run serves callers until the context ends, then finishes what was taken.
func (g *Entry) Run(ctx context.Context) error {
	l, err := liveness.ListenConfig().Listen(ctx, "tcp", g.Settings.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	s := &http.Server{
		Handler: http.HandlerFunc(g.serve), ReadHeaderTimeout: headerTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: discardLog(),
	}
	g.startup.starting()
	failed := make(chan error, 1)
	go func() { failed <- s.Serve(l) }()
	go g.sweep(ctx)
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve callers")
	case <-ctx.Done():
	}
	g.drain(s)
	return nil
}

// drain goes on serving until the balancer has noticed, then until nothing
// is in progress or the grace is nearly over.
func (g *Entry) drain(s *http.Server) {
	began := time.Now()
	g.stopping.Store(true)
	klog.InfoS("Gateway drains", "InProgress", g.active.Load())
	time.Sleep(min(drainNotice, g.Settings.StopGrace/2))
	left := g.Settings.StopGrace - stopMargin - time.Since(began)
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		klog.InfoS("Requests were cut off by the stop", "InProgress", g.active.Load(), "Error", err.Error())
		_ = s.Close()
	}
	klog.InfoS("Gateway has stopped", "Took", time.Since(began).String())
}

// Ready reports why callers should not come here, or nil.
func (g *Entry) Ready() error {
	switch {
	case g.stopping.Load():
		return errors.New("the process stops")
	case g.Views.View().Plan == nil:
		return errors.New("no plan is known")
	case g.Views.Age() > g.Settings.Lease:
		return errors.New("the plan is not confirmed")
	}
	return nil
}

func (g *Entry) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.Pool.CloseExpired()
		}
	}
}
