// Package agent implements the role that runs beside each target. Requests and
// orders reach the target only through its agent.
package agent

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os"
	"sync"
	"time"

	"github.com/alexedwards/flow"
	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"egretproxy/internal/control/lease"
	"egretproxy/internal/control/lifecycle"
	"egretproxy/internal/control/view"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/metrics"
	"egretproxy/internal/kernel/process"
	"egretproxy/internal/settings/config"
	"egretproxy/internal/target/backend"
	"egretproxy/internal/target/gate"
	"egretproxy/internal/target/proxy"
	"egretproxy/internal/target/ramp"
	"egretproxy/internal/weights/fetch"
	"egretproxy/internal/weights/planner"
	"egretproxy/internal/weights/share"
	"egretproxy/internal/weights/source"
	"egretproxy/internal/weights/store"
	"egretproxy/internal/wire/forward"
	"egretproxy/internal/wire/frame"
	"egretproxy/internal/wire/header"
	"egretproxy/internal/wire/keepers"
	"egretproxy/internal/wire/security"
)

// ErrReplaced means that a newer agent has started a session for the same
// target.
var ErrReplaced = errors.New("session of the target was replaced by a newer one")

const (
	headerTimeout = 5 * time.Second
	// idleTimeout is shorter than the time after which targets close idle
	// connections, so that a request isn't sent on a connection that the
	// target is closing.
	idleTimeout  = 5 * time.Second
	closeTimeout = 2 * time.Second
)

// Agent is the agent of one target.
type Agent struct {
	cfg      config.Config
	identity security.Identity
	metrics  *metrics.Set
	keepers  *keepers.Client
	backend  backend.Backend
	lease    lease.Lease
	gate     *gate.Gate
	ramp     *ramp.Ramp
	store    *store.Store
	share    *share.Share
	fetcher  *fetch.Fetcher
	// contentAddress is the loopback address from which the engine beside the
	// agent downloads content.
	contentAddress string
	// leaveDelay is how long the agent refuses requests before it stops.
	leaveDelay time.Duration

	// mu guards the fields below.
	mu sync.Mutex
	// view contains the agent's own target, the failure domains and the
	// bundles.
	view    view.View
	session id.Fence
	// oldSessionUntil is the time until which the replaced session may still
	// act on its lease. This session takes no lease before.
	oldSessionUntil time.Time
	phase           view.Phase
	// installed is the content that the target has loaded.
	installed view.Assignment
	// held is the content whose every chunk is in the store.
	held   view.Assignment
	reason string
	// targetStart is the target's start number, which differs after each of
	// its restarts.
	targetStart string
	// failedAt is the time at which the phase became Failed.
	failedAt time.Time
	// failedResponses counts failed responses since the content was installed.
	failedResponses int
	// leaving is set during a graceful shutdown.
	leaving bool
	// ordersChanged is signalled when the orders may have changed.
	ordersChanged chan struct{}
}

// Run serves until the context ends, then ends the session and drains the
// target. It returns ErrReplaced if a newer agent takes over the target.
func Run(ctx context.Context, cfg config.Config, set *metrics.Set) error {
	a, err := newAgent(cfg, set)
	if err != nil {
		return err
	}
	defer a.keepers.Close()
	public, err := net.Listen("tcp", cfg.Agent.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	content, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for content requests of the target")
	}
	a.contentAddress = content.Addr().String()
	return a.run(ctx, public, content)
}

func newAgent(cfg config.Config, set *metrics.Set) (*Agent, error) {
	identity, err := security.Load(cfg.Security.Authority, cfg.Security.Certificate, cfg.Security.Key)
	if err != nil {
		return nil, err
	}
	if err := identity.CheckListen(cfg.Agent.Listen); err != nil {
		return nil, err
	}
	b, err := backend.New(cfg.Agent.Target.Address)
	if err != nil {
		return nil, err
	}
	t := cfg.Agent.Target
	a := &Agent{
		cfg: cfg, identity: identity, metrics: set, backend: b,
		ramp:          &ramp.Ramp{Slots: t.Slots, ColdSlots: t.ColdSlots},
		store:         &store.Store{Limit: int64(cfg.Agent.Weights.Memory)},
		ordersChanged: make(chan struct{}, 1),
		leaveDelay:    defaultLeaveDelay,
		phase:         view.PhaseEmpty,
	}
	a.gate = gate.New(&a.lease, a.ramp)
	a.share = &share.Share{Store: a.store}
	codec := frame.Codec{Sent: set.SentBytes(), Received: set.ReceivedBytes()}
	a.keepers = keepers.New(cfg.Keepers.Addresses, identity.Client(), codec, os.Getpid())
	a.fetcher, err = a.newFetcher()
	return a, err
}

func (a *Agent) newFetcher() (*fetch.Fetcher, error) {
	w := a.cfg.Agent.Weights
	var sources []*url.URL
	for _, s := range w.Sources {
		u, err := source.Parse(s)
		if err != nil {
			return nil, err
		}
		sources = append(sources, u)
	}
	scheme := "http"
	if a.identity.Enabled() {
		scheme = "https"
	}
	return &fetch.Fetcher{
		Self:  planner.Member{Target: a.cfg.Agent.Target.ID, Region: a.cfg.Process.Region},
		Store: a.store, Client: a.client(false), Planner: w.Planner, Scheme: scheme,
		Sources: sources, Parallel: w.Parallel, StallTimeout: w.StallTimeout.Std(),
		InstanceRate: w.InstanceRate.BytesPerSecond(), RegionRate: w.RegionRate.BytesPerSecond(),
		OriginPerRegion: w.OriginPerRegion, OriginRegion: w.OriginRegion, Peers: a.peers,
	}, nil
}

// client returns an HTTP client. A single-use client opens a new connection
// for each request.
func (a *Agent) client(singleUse bool) *http.Client {
	return forward.Client(a.identity.Client(), idleTimeout, singleUse)
}

func (a *Agent) run(ctx context.Context, public, content net.Listener) error {
	// The goroutines keep running after ctx ends, until the target is drained.
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, workCtx := errgroup.WithContext(workCtx)
	g.Go(func() error { return process.Serve(workCtx, a.publicServer(), public, closeTimeout) })
	g.Go(func() error { return process.Serve(workCtx, a.contentServer(), content, closeTimeout) })
	g.Go(func() error { return a.renew(workCtx) })
	g.Go(func() error { return a.watchTarget(workCtx) })
	g.Go(func() error { return a.fetchStaged(workCtx) })
	g.Go(func() error { return a.followOrders(workCtx) })
	g.Go(func() error { return process.ServeAdmin(workCtx, a.cfg.Process.AdminListen, a.metrics, a.ready) })
	klog.InfoS("Agent started", "Target", a.cfg.Agent.Target.ID, "Listen", a.cfg.Agent.Listen)
	select {
	case <-ctx.Done():
		a.leave(workCtx)
	case <-workCtx.Done():
	}
	stop()
	return g.Wait()
}

func (a *Agent) publicServer() *http.Server {
	mux := flow.New()
	a.share.Mount(mux)
	singleUse := a.client(true)
	mux.HandleFunc("/alive", func(http.ResponseWriter, *http.Request) {}, http.MethodGet)
	mux.Handle(header.DispatchPath+"/...", &proxy.Proxy{
		Target: a.cfg.Agent.Target.ID, BaseURL: a.backend.BaseURL(), Kind: a.backend.Kind(),
		Gate: a.gate, Ramp: a.ramp, Metrics: a.metrics, Client: a.client(false), SingleUseClient: singleUse,
		OnCold: a.onCold, OnFailure: a.onFailure,
	})
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, TLSConfig: a.identity.Server()}
}

// contentServer serves weights to the target on the loopback address.
func (a *Agent) contentServer() *http.Server {
	mux := flow.New()
	a.share.MountContent(mux)
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
}

// ready returns the reason why the target can't serve, or nil.
func (a *Agent) ready() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving {
		return errors.New("leaving")
	}
	if !a.lease.Valid() {
		return errors.New("lease has expired")
	}
	if a.phase != view.PhaseServing {
		return fmt.Errorf("target is in phase %s", a.phase)
	}
	return nil
}

// onCold is called when a response indicates that the target has turned cold.
func (a *Agent) onCold() {
	a.metrics.Count("TargetTurnedCold")
	klog.InfoS("Target turned cold", "Target", a.cfg.Agent.Target.ID)
}

// onFailure counts a failed response of the target. An engine that fails
// maxFailedResponses times before it is warm is taken out of service.
func (a *Agent) onFailure() {
	a.metrics.Count("TargetFailure")
	a.mu.Lock()
	defer a.mu.Unlock()
	a.failedResponses++
	coldEngine := a.backend.Kind() == view.TargetEngine && a.phase == view.PhaseServing && !a.ramp.Warm()
	if a.failedResponses >= maxFailedResponses && coldEngine {
		a.transition(lifecycle.Fail, view.Assignment{Fence: a.installed.Fence}, "answers fail after the load")
		a.failedAt = time.Now()
	}
}

// signalOrders wakes followOrders. It doesn't block.
func (a *Agent) signalOrders() {
	select {
	case a.ordersChanged <- struct{}{}:
	default:
	}
}

// transition applies a trigger to the phase and sets the gate to the new
// phase. It returns false, and changes nothing, if the current phase doesn't
// permit the trigger. The caller holds mu.
func (a *Agent) transition(t lifecycle.Trigger, installed view.Assignment, reason string) bool {
	next, err := lifecycle.Target(a.phase, t)
	if err != nil {
		return false
	}
	klog.InfoS("Target phase changed", "Target", a.cfg.Agent.Target.ID, "From", a.phase, "To", next,
		"Bundle", installed.Bundle, "Reason", reason)
	a.phase = next
	a.installed = installed
	a.reason = reason
	a.gate.SetPhase(next, installed)
	return true
}
