// Package entry implements the role between callers and agents. It admits,
// queues and routes requests and has no persistent state.
package entry

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/alexedwards/flow"
	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"egretproxy/internal/admission/targetpool"
	"egretproxy/internal/control/lease"
	"egretproxy/internal/control/view"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/httpserver"
	"egretproxy/internal/kernel/metrics"
	"egretproxy/internal/kernel/process"
	"egretproxy/internal/request/ends"
	"egretproxy/internal/request/organisation"
	"egretproxy/internal/request/refusal"
	"egretproxy/internal/request/retrybudget"
	"egretproxy/internal/routing/policy"
	"egretproxy/internal/settings/config"
	"egretproxy/internal/wire/bodylimit"
	"egretproxy/internal/wire/forward"
	"egretproxy/internal/wire/frame"
	"egretproxy/internal/wire/header"
	"egretproxy/internal/wire/keepers"
	"egretproxy/internal/wire/security"
)

const (
	// DefaultPolicy is the routing policy used when none is configured.
	DefaultPolicy = "Affinity"

	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
	idleTimeout    = 30 * time.Second
	// defaultKeepAlive is how long callers may leave a connection idle. A
	// shutdown takes at least as long if a caller keeps one.
	defaultKeepAlive = 5 * time.Second
	// stopMargin covers the delays of timers within a shutdown, answerMargin the
	// time for the last responses.
	stopMargin   = time.Second
	answerMargin = 200 * time.Millisecond
	retryDelay   = 50 * time.Millisecond
	// maxDoublings limits the exponential backoff after failed renewals.
	maxDoublings = 4
	roleName     = "Entry"
)

// Entry is a running entry.
type Entry struct {
	cfg        config.Config
	identity   security.Identity
	metrics    *metrics.Set
	keepers    *keepers.Client
	directory  *organisation.Directory
	targetPool *targetpool.Pool
	budget     retrybudget.Budget
	// buffers limits the memory of the responses that are buffered at a time.
	buffers bodylimit.Budget
	// client reuses connections. singleUse opens a new connection for each
	// request that may run at most once.
	client    *http.Client
	singleUse *http.Client
	// callerTLS is nil if callers use plain HTTP.
	callerTLS *tls.Config
	watchdog  *watchdog
	// keepAlive is announced to callers.
	keepAlive time.Duration
	// ends remembers the requests under which targets ended.
	ends ends.Memory
	// background counts claims that are settled or released after the response.
	background sync.WaitGroup

	mu   sync.Mutex
	view view.View
	// confirmedAt is when the latest successful renewal was sent.
	confirmedAt time.Time
	// active counts the requests in progress of each organisation.
	active map[id.Organisation]int
	// stopping is set during a graceful shutdown, endsAt is when it ends at the
	// latest.
	stopping bool
	endsAt   time.Time
}

// Run serves until the context ends, then waits for the requests in progress.
func Run(ctx context.Context, cfg config.Config, set *metrics.Set) error {
	e, err := newEntry(cfg, set)
	if err != nil {
		return err
	}
	defer e.keepers.Close()
	if err := e.loadCertificate(); err != nil {
		return err
	}
	l, err := net.Listen("tcp", cfg.Entry.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	return e.run(ctx, l)
}

func newEntry(cfg config.Config, set *metrics.Set) (*Entry, error) {
	identity, err := security.Load(cfg.Security.Authority, cfg.Security.Certificate, cfg.Security.Key)
	if err != nil {
		return nil, err
	}
	if err := identity.CheckListen(cfg.Entry.Listen); err != nil {
		return nil, err
	}
	directory, err := organisation.Load(cfg.Entry.OrganisationKeys)
	if err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), uint64(os.Getpid())))
	defaultPolicy, err := policy.New(DefaultPolicy, random)
	if err != nil {
		return nil, err
	}
	codec := frame.Codec{Sent: set.SentBytes(), Received: set.ReceivedBytes()}
	e := &Entry{
		cfg: cfg, identity: identity, metrics: set, directory: directory,
		keepers: keepers.New(cfg.Keepers.Addresses, identity.Client(), codec, os.Getpid()),
		targetPool: targetpool.New(targetpool.Config{
			MaxQueue: cfg.Entry.MaxQueue, MaxWait: cfg.Entry.MaxWait.Std(), Policy: defaultPolicy, Rand: random,
		}),
		budget: retrybudget.Budget{Ratio: cfg.Entry.RetryRatio},
		client: forward.Client(identity.Client(), idleTimeout, false), singleUse: forward.Client(identity.Client(), idleTimeout, true),
		keepAlive: defaultKeepAlive, active: map[id.Organisation]int{},
	}
	e.watchdog = newWatchdog(e.client, e.scheme())
	set.Gauge("entry_waiting_requests", "Requests waiting for a target.", func() float64 {
		return float64(e.targetPool.Waiting())
	})
	return e, nil
}

// loadCertificate loads the certificate presented to callers, if one is
// configured.
func (e *Entry) loadCertificate() error {
	c := e.cfg.Entry
	if c.Certificate == "" {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(c.Certificate, c.Key)
	if err != nil {
		return errors.Wrap(err, "load certificate for callers")
	}
	e.callerTLS = &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{pair}}
	return nil
}

func (e *Entry) scheme() string {
	if e.identity.Enabled() {
		return "https"
	}
	return "http"
}

func (e *Entry) run(ctx context.Context, l net.Listener) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, work := errgroup.WithContext(work)
	serving, stopServing := context.WithCancel(work)
	defer stopServing()
	served := make(chan struct{})
	g.Go(func() error {
		defer close(served)
		return e.callerServer().Serve(serving, l)
	})
	g.Go(func() error { return e.renew(work) })
	g.Go(func() error { e.targetPool.Run(work); return nil })
	g.Go(func() error { e.watchdog.run(work); return nil })
	g.Go(func() error { return process.ServeAdmin(work, e.cfg.Process.AdminListen, e.metrics, e.ready) })
	klog.InfoS("Entry is running", "Listen", e.cfg.Entry.Listen)
	select {
	case <-ctx.Done():
		e.shutdown(stopServing, served)
	case <-work.Done():
	}
	stop()
	return g.Wait()
}

// shutdown fails the readiness check and lets the server stop, which takes
// requests until the load balancer and callers have noticed. The other parts run
// until the last of these requests has ended and its claim is recorded.
func (e *Entry) shutdown(stopServing context.CancelFunc, served <-chan struct{}) {
	e.mu.Lock()
	e.stopping, e.endsAt = true, time.Now().Add(e.grace())
	e.mu.Unlock()
	stopServing()
	<-served
	for e.inProgress() > 0 {
		time.Sleep(retryDelay)
	}
	e.background.Wait()
}

// callerServer returns the server for callers.
func (e *Entry) callerServer() *httpserver.Server {
	return &httpserver.Server{
		HTTP: e.server(), Name: "Callers", KeepAlive: e.keepAlive, Notice: e.cfg.Entry.DrainDelay.Std(), Grace: e.grace(),
	}
}

// grace returns the time of a shutdown. It exceeds the time that a request of a
// caller that noticed the shutdown last may take.
func (e *Entry) grace() time.Duration {
	c := e.cfg.Entry
	lastRequest := c.DrainDelay.Std() + e.keepAlive + headerTimeout
	return lastRequest + c.ReadTimeout.Std() + c.RequestTimeout.Std() + stopMargin
}

// comesTooLate reports whether a request that starts now might not end before the
// shutdown does. A caller that had a long response meanwhile may not have noticed
// the shutdown. It requires mu.
func (e *Entry) comesTooLate() bool {
	return e.stopping && time.Until(e.endsAt) < e.cfg.Entry.RequestTimeout.Std()+answerMargin
}

func (e *Entry) inProgress() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, c := range e.active {
		n += c
	}
	return n
}

func (e *Entry) server() *http.Server {
	mux := flow.New()
	mux.NotFound = e.unknownRoute()
	mux.MethodNotAllowed = e.wrongMethod()
	mux.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) {}, http.MethodGet)
	mux.HandleFunc("/readyz", e.readyPage, http.MethodGet)
	mux.HandleFunc("/v1/models", e.models, http.MethodGet)
	mux.HandleFunc("/v1/completions", e.complete, http.MethodPost)
	mux.HandleFunc("/v1/chat/completions", e.complete, http.MethodPost)
	for _, route := range e.cfg.Entry.Routes {
		mux.HandleFunc(route.Prefix, e.serviceHandler(route))
		mux.HandleFunc(route.Prefix+"/...", e.serviceHandler(route))
	}
	return &http.Server{
		Handler: mux, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		TLSConfig: e.callerTLS,
	}
}

// ready returns nil if the load balancer may send requests here, or the reason
// why not.
func (e *Entry) ready() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopping {
		return errors.New("shutting down")
	}
	if e.confirmedAt.IsZero() {
		return errors.New("no agreed state was received yet")
	}
	if time.Since(e.confirmedAt) > lease.Duration {
		return errors.New("agreed state is not confirmed")
	}
	return nil
}

func (e *Entry) readyPage(w http.ResponseWriter, _ *http.Request) {
	if err := e.ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// requestID returns the caller's request id, or a new one if it is missing or
// too long.
func requestID(r *http.Request) id.Request {
	const maxLength = 128
	if s := r.Header.Get(header.RequestID); s != "" && len(s) <= maxLength {
		return id.Request(s)
	}
	return id.NewRequest()
}

func (e *Entry) refuse(w http.ResponseWriter, request id.Request, r *refusal.Refusal) {
	e.metrics.CountReason("Refusal", string(r.Reason))
	klog.V(1).InfoS("Request refused", "RequestID", request, "Outcome", r.Outcome, "Reason", r.Reason)
	r.Write(w, request)
}

func (e *Entry) unknownRoute() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.refuse(w, requestID(r), refusal.New(http.StatusNotFound, refusal.UnknownRoute, "no such path"))
	})
}

func (e *Entry) wrongMethod() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.refuse(w, requestID(r), refusal.New(http.StatusMethodNotAllowed, refusal.MethodNotAllowed, r.Method+" is not allowed here"))
	})
}
