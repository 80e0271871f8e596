// Package siteentry implements the site role that accepts requests from
// callers and forwards them to the targets of a site.
package siteentry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"egretproxy/internal/admission/answertime"
	"egretproxy/internal/admission/retrydetector"
	"egretproxy/internal/exchange/connpool"
	"egretproxy/internal/exchange/dispatch"
	"egretproxy/internal/exchange/headernames"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/decisionlog"
	"egretproxy/internal/kernel/httpserver"
	"egretproxy/internal/kernel/metrics"
	"egretproxy/internal/site/incarnation"
	"egretproxy/internal/site/siteclient"
	"egretproxy/internal/site/witness"
	"egretproxy/internal/wire/bodylimit"
	"egretproxy/internal/wire/liveness"
)

const (
	// headerTimeout and maxHeaderBytes limit a caller's request header. The
	// plan's limits are lower.
	headerTimeout  = 5 * time.Second
	maxHeaderBytes = 64 << 10
	// keepAlive is how long callers may leave a connection idle. With 2 s, all
	// callers of a large site reconnect at once after an outage of seconds, and
	// overload the entries that have just started.
	keepAlive = 5 * time.Second
	// idleTimeout is longer than the time announced to callers.
	idleTimeout = 60 * time.Second
	// drainNotice is how long new connections are still accepted after a stop
	// was requested, since the load balancer notices only after two health
	// checks.
	drainNotice = 2600 * time.Millisecond
	// sweepInterval is the interval between checks of idle connections, a multiple
	// of standstillTick.
	sweepInterval = time.Second
)

// Settings configures an Entry.
type Settings struct {
	// Name identifies the process in logs.
	Name string
	// Listen is the address on which callers connect.
	Listen string
	// HomeRegion is the region of this process.
	HomeRegion id.Region
	// Lease is the maximum age of the confirmation for requests that need a
	// key.
	Lease time.Duration
	// PlanLease is the maximum age of the confirmation for telling a caller that
	// its route or key does not exist, since a plan that adds them must be in
	// force by then. 0 means Lease.
	PlanLease time.Duration
	// WeightsGrace is how long after a version was published requests may still
	// start on an older one.
	WeightsGrace time.Duration
	// WeightsStart is how long after that requests may still begin on an older
	// one, which some do long after they were sent.
	WeightsStart time.Duration
	// KeeperSettleTime is how long after a change in the connections to keepers
	// that time starts to count.
	KeeperSettleTime time.Duration
	// StopGrace is the time from the stop request until the process is killed. 0 means
	// 8 s.
	StopGrace time.Duration
	Headers   headernames.Names
}

// ViewSource provides the state that the keepers agreed on.
type ViewSource interface {
	View() *siteclient.View
	// Age returns the age of the latest confirmation by a quorum.
	Age() time.Duration
	// StableFor returns the time since a connection to a keeper was last lost
	// or established.
	StableFor() time.Duration
}

// Entry accepts and routes requests. Its exported fields must be set before
// Run is called.
type Entry struct {
	Settings Settings
	Views    ViewSource
	// Keepers may be nil. Then no verdict is tested and no evidence reported.
	Keepers     Keepers
	Dispatcher  *dispatch.Dispatcher
	RetryBudget *dispatch.RetryBudget
	Pool        *connpool.Pool
	DecisionLog *decisionlog.Log
	Metrics     *metrics.Set
	// Buffers limits the memory of the responses that are buffered at a time.
	Buffers bodylimit.Budget

	stop          stopState
	active        atomic.Int64
	floor         weightsFloor
	retryDetector retrydetector.Detector
	startup       startupState
	witness       witness.Witness
	incarnations  incarnation.Register
	answers       answertime.Estimator
	// testing is set while a request looks for a target to test a verdict.
	testing atomic.Bool
	// bootNow replaces boottime.Now in tests.
	bootNow func() time.Duration
}

// Run serves callers until the context ends, then completes the requests in
// progress.
func (e *Entry) Run(ctx context.Context) error {
	l, err := liveness.ListenConfig().Listen(ctx, "tcp", e.Settings.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	return e.serveOn(ctx, l)
}

func (e *Entry) serveOn(ctx context.Context, l net.Listener) error {
	times := newStopTimes(e.Settings.StopGrace)
	s := &httpserver.Server{
		HTTP: &http.Server{
			Handler: http.HandlerFunc(e.serve), ReadHeaderTimeout: headerTimeout,
			IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
			ErrorLog: discardLog(),
		},
		Name: "Callers", KeepAlive: keepAlive, Notice: drainNotice, Grace: times.close, FinalPass: times.finalPass,
	}
	e.startup.starting()
	if e.Keepers != nil {
		reporting, cancel := context.WithCancel(context.WithoutCancel(ctx))
		defer cancel()
		go e.reportEvidence(reporting)
	}
	go e.sweep(ctx)
	unregister := context.AfterFunc(ctx, func() {
		klog.InfoS("Entry is draining", "InProgress", e.active.Load())
		e.stop.begin(times.answers)
	})
	defer unregister()
	if err := s.Serve(ctx, l); err != nil {
		return errors.Wrap(err, "serve callers")
	}
	klog.InfoS("Entry has stopped", "InProgress", e.active.Load())
	return nil
}

// Ready returns nil if callers may use this process, or the reason why not.
func (e *Entry) Ready() error {
	switch {
	case e.stop.began():
		return errors.New("the process stops")
	case e.Views.View().Plan == nil:
		return errors.New("no plan is known")
	case e.Views.Age() > e.Settings.Lease:
		return errors.New("the plan is not confirmed")
	}
	return nil
}

func (e *Entry) sweep(ctx context.Context) {
	ticker := time.NewTicker(standstillTick)
	defer ticker.Stop()
	var watch standstill
	for n := time.Duration(1); ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		e.watchStandstill(&watch)
		if n%(sweepInterval/standstillTick) == 0 {
			e.Pool.CloseExpired()
		}
	}
}
