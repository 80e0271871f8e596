package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"egretproxy/internal/control/ledger"
	"egretproxy/internal/control/view"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/metrics"
	"egretproxy/internal/request/refusal"
	_ "egretproxy/internal/routing/affinity" // registers DefaultPolicy
	"egretproxy/internal/settings/config"
	"egretproxy/internal/settings/unit"
	"egretproxy/internal/wire/api"
	"egretproxy/internal/wire/header"
	"egretproxy/internal/wire/rpc"
)

// hangTimeout ends tests that hang.
const hangTimeout = 30 * time.Second

// fakeKeeper grants every claim and takes some time to store an outcome.
type fakeKeeper struct {
	view view.View

	mu      sync.Mutex
	settled int
}

func (k *fakeKeeper) start(t *testing.T) string {
	t.Helper()
	l := listen(t)
	s := &rpc.Server{Handlers: map[string]rpc.Handler{
		api.MethodRenew: func(context.Context, json.RawMessage) (any, error) {
			return api.RenewResponse{Delta: k.view.Since(0, "")}, nil
		},
		api.MethodSubmit: k.submit,
	}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Serve(ctx, l) }()
	t.Cleanup(func() { cancel(); <-done })
	return l.Addr().String()
}

func (k *fakeKeeper) submit(_ context.Context, params json.RawMessage) (any, error) {
	var in api.SubmitRequest
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, rpc.InvalidParams(err)
	}
	if in.Change.Name == "SettleClaim" {
		time.Sleep(300 * time.Millisecond)
		k.mu.Lock()
		defer k.mu.Unlock()
		k.settled++
	}
	return ledger.Answer{Claim: &ledger.ClaimAnswer{Granted: true}}, nil
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// runningEntry is an entry with targets behind it.
type runningEntry struct {
	*Entry
	keeper  *fakeKeeper
	address string
	stop    context.CancelFunc
	stopped chan struct{}
}

// service is a plain service behind the entry.
var service = view.Target{ID: "t", Kind: view.TargetService, Service: "inventory"}

// echo is an agent that returns the body of a request.
func echo(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
	_, _ = io.Copy(w, r.Body)
}

// startAgent starts an agent and returns its address.
func startAgent(t *testing.T, respond http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(respond)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// startEntry starts an entry with one service, which returns the body of a request.
func startEntry(t *testing.T) *runningEntry {
	t.Helper()
	return startEntryTo(t, echo, service)
}

// startEntryTo starts an entry with the given targets, all at one agent.
func startEntryTo(t *testing.T, respond http.HandlerFunc, targets ...view.Target) *runningEntry {
	t.Helper()
	return startEntryOn(t, listen(t), startAgent(t, respond), targets...)
}

// startEntryOn starts an entry that serves the listener, with the given targets,
// whose agent is at an address.
func startEntryOn(t *testing.T, l net.Listener, agent string, targets ...view.Target) *runningEntry {
	t.Helper()
	keeper := &fakeKeeper{view: view.View{Version: 1, Newest: 1, Floor: 1, Targets: map[id.Target]view.Target{}}}
	for _, target := range targets {
		target.Address = agent
		target.Start, target.Slots, target.Phase, target.Changed = "1", 16, view.PhaseServing, 1
		keeper.view.Targets[target.ID] = target
	}
	return startEntryOf(t, l, keeper)
}

// startEntryOf starts an entry that serves the listener, with the view of a keeper.
func startEntryOf(t *testing.T, l net.Listener, keeper *fakeKeeper) *runningEntry {
	t.Helper()
	keys := filepath.Join(t.TempDir(), "keys.json")
	if err := os.WriteFile(keys, []byte(`{"Organisations": [{"ID": "huts", "Key": "key-of-huts"}]}`), 0o600); err != nil {
		t.Fatal(err)
	}
	cfg := config.Default()
	cfg.Keepers.Addresses = []string{keeper.start(t)}
	cfg.Entry.Listen = "127.0.0.1:0"
	cfg.Entry.OrganisationKeys = keys
	cfg.Entry.DrainDelay = unit.Duration(time.Millisecond)
	cfg.Entry.MaxWait = unit.Duration(200 * time.Millisecond)
	cfg.Entry.Routes = []config.Route{{Prefix: "/inventory", Service: "inventory"}}
	e, err := newEntry(cfg, metrics.New("Entry"))
	if err != nil {
		t.Fatal(err)
	}
	e.keepAlive = hangTimeout
	ctx, cancel := context.WithCancel(context.Background())
	re := &runningEntry{Entry: e, keeper: keeper, address: l.Addr().String(), stop: cancel, stopped: make(chan struct{})}
	go func() {
		defer close(re.stopped)
		defer e.keepers.Close()
		if err := e.run(ctx, l); err != nil {
			t.Errorf("run: %v", err)
		}
	}()
	t.Cleanup(func() { cancel(); <-re.stopped })
	re.waitUntil(t, "the entry is ready", func() bool { return e.ready() == nil })
	return re
}

func (re *runningEntry) waitUntil(t *testing.T, condition string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(hangTimeout); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", condition)
		}
	}
}

// beginStop asks the entry to stop and waits until it takes no connections.
func (re *runningEntry) beginStop(t *testing.T) {
	t.Helper()
	re.stop()
	re.waitUntil(t, "the listener is closed", func() bool {
		c, err := net.Dial("tcp", re.address)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
}

// caller is a caller with one connection.
type caller struct {
	net.Conn
	br *bufio.Reader
}

func (re *runningEntry) connect(t *testing.T) *caller {
	t.Helper()
	c, err := net.Dial("tcp", re.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &caller{c, bufio.NewReader(c)}
}

const testHeader = "POST /inventory/ropes HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-of-huts\r\nContent-Length: 2\r\n\r\n"

func (c *caller) send(t *testing.T, s string) {
	t.Helper()
	if _, err := io.WriteString(c, s); err != nil {
		t.Fatal(err)
	}
}

// receive returns a response and fails the test if there is none.
func (c *caller) receive(t *testing.T) *http.Response {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(hangTimeout))
	r, err := http.ReadResponse(c.br, nil)
	if err != nil {
		t.Fatalf("request got no response: %v", err)
	}
	if b, err := io.ReadAll(r.Body); err != nil || r.StatusCode != http.StatusOK || string(b) != "hi" {
		t.Fatalf("status %d, response %q, error %v", r.StatusCode, b, err)
	}
	return r
}

// TestHoldsStopAnswersIdleCaller guards against an entry that stops and closes an
// idle connection while the caller's next request is on its way.
func TestHoldsStopAnswersIdleCaller(t *testing.T) {
	re := startEntry(t)
	c := re.connect(t)
	c.send(t, testHeader+"hi")
	if r := c.receive(t); r.Header.Get("Keep-Alive") == "" {
		t.Error("the response doesn't tell how long the connection may be idle")
	}
	re.beginStop(t)
	c.send(t, testHeader+"hi")
	if r := c.receive(t); !r.Close {
		t.Error("the response doesn't tell the caller to close the connection")
	}
}

// TestHoldsStopRecordsLateOutcome guards against an entry that ends while a request
// whose body was still arriving at the stop is in progress: its claim was not
// settled, so that a repeated request could not learn the outcome.
func TestHoldsStopRecordsLateOutcome(t *testing.T) {
	re := startEntry(t)
	c := re.connect(t)
	c.send(t, testHeader+"h")
	re.beginStop(t)
	c.send(t, "i")
	c.receive(t)
	<-re.stopped
	re.keeper.mu.Lock()
	defer re.keeper.mu.Unlock()
	if re.keeper.settled != 1 {
		t.Errorf("%d outcomes were recorded", re.keeper.settled)
	}
}

// TestHoldsStopRefusesWhatCannotEnd guards against a request that begins so late in
// a shutdown, on a connection whose long response began before it, that it may be cut
// at the end: it was sent to a target, also if it must not be repeated.
func TestHoldsStopRefusesWhatCannotEnd(t *testing.T) {
	re := startEntry(t)
	inTime, late := re.connect(t), re.connect(t)
	for _, c := range []*caller{inTime, late} {
		c.send(t, testHeader+"hi")
		c.receive(t)
	}
	re.beginStop(t)
	inTime.send(t, testHeader+"hi")
	inTime.receive(t)
	re.mu.Lock()
	re.endsAt = time.Now().Add(re.cfg.Entry.RequestTimeout.Std())
	re.mu.Unlock()
	late.send(t, testHeader+"hi")
	_ = late.SetReadDeadline(time.Now().Add(hangTimeout))
	r, err := http.ReadResponse(late.br, nil)
	if err != nil {
		t.Fatal(err)
	}
	ref, ok := refusal.FromHeader(r.Header, r.StatusCode)
	if !ok || ref.Status != http.StatusServiceUnavailable || ref.Outcome != refusal.NotRun || ref.RetryAfter == 0 {
		t.Errorf("status %d, header %v", r.StatusCode, r.Header)
	}
}
