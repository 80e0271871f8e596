package agent

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"egretproxy/internal/control/lease"
	"egretproxy/internal/control/ledger"
	"egretproxy/internal/kernel/metrics"
	"egretproxy/internal/request/refusal"
	"egretproxy/internal/settings/config"
	_ "egretproxy/internal/target/service" // registers the scheme of the address
	"egretproxy/internal/wire/api"
	"egretproxy/internal/wire/rpc"
)

// hangTimeout ends tests that hang.
const hangTimeout = 30 * time.Second

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// dispatch sends a request of an entry on a kept connection and returns the
// outcome that the agent states.
func dispatch(t *testing.T, c net.Conn, br *bufio.Reader) refusal.Outcome {
	t.Helper()
	_ = c.SetDeadline(time.Now().Add(hangTimeout))
	if _, err := io.WriteString(c, "POST /dispatch/x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"); err != nil {
		t.Fatal(err)
	}
	r, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatalf("request got no response: %v", err)
	}
	_, _ = io.Copy(io.Discard, r.Body)
	ref, ok := refusal.FromHeader(r.Header, r.StatusCode)
	if !ok {
		t.Fatalf("status %d without an outcome", r.StatusCode)
	}
	return ref.Outcome
}

// runningAgent is an agent of a service. The address may be one where nothing
// listens.
type runningAgent struct {
	*Agent
	address string
	// leave asks the agent to leave.
	leave context.CancelFunc
}

func startAgent(t *testing.T, service string, keepers ...string) *runningAgent {
	t.Helper()
	cfg := config.Default()
	cfg.Keepers.Addresses = keepers
	cfg.Agent.Listen = "127.0.0.1:0"
	cfg.Agent.Target.ID = "t"
	cfg.Agent.Target.Address = "service://" + service
	cfg.Agent.Target.Slots = 1
	a, err := newAgent(cfg, metrics.New("Agent"))
	if err != nil {
		t.Fatal(err)
	}
	a.leaveDelay = time.Hour
	public := listen(t)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { defer close(stopped); _ = a.run(ctx, public, listen(t)) }()
	// The agent ends at once if it can't accept connections.
	t.Cleanup(func() { cancel(); _ = public.Close(); <-stopped; a.keepers.Close() })
	return &runningAgent{a, public.Addr().String(), cancel}
}

func waitUntil(t *testing.T, condition string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(hangTimeout); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", condition)
		}
	}
}

// TestHoldsLeavingAgentRefusesLateRequests guards against an agent that leaves and
// closes its connections before entries have learned of it: their next requests got
// no response, so that their outcome was unknown although they had not run.
func TestHoldsLeavingAgentRefusesLateRequests(t *testing.T) {
	if defaultLeaveDelay < lease.Duration {
		t.Error("the agent may leave before entries have renewed their view")
	}
	a := startAgent(t, "127.0.0.1:1")
	c, err := net.Dial("tcp", a.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	if o := dispatch(t, c, br); o != refusal.NotRun {
		t.Errorf("outcome before the stop is %s", o)
	}
	a.leave()
	waitUntil(t, "the agent leaves", a.isLeaving)
	// An agent that doesn't wait for the entries has closed the connection by then.
	time.Sleep(500 * time.Millisecond)
	if o := dispatch(t, c, br); o != refusal.NotRun {
		t.Errorf("outcome after the stop is %s", o)
	}
}

// fakeKeeper holds one announced target and counts announcements and renewals.
type fakeKeeper struct {
	mu                      sync.Mutex
	announced, renewed      int
	present, renewedRemoved bool
}

func (k *fakeKeeper) start(t *testing.T) string {
	t.Helper()
	l := listen(t)
	s := &rpc.Server{Handlers: map[string]rpc.Handler{api.MethodRenew: k.renew, api.MethodSubmit: k.submit}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Serve(ctx, l) }()
	t.Cleanup(func() { cancel(); <-done })
	return l.Addr().String()
}

func (k *fakeKeeper) renew(context.Context, json.RawMessage) (any, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.renewed++
	k.renewedRemoved = k.renewedRemoved || k.announced > 0 && !k.present
	return api.RenewResponse{Unknown: !k.present}, nil
}

func (k *fakeKeeper) submit(_ context.Context, params json.RawMessage) (any, error) {
	var in api.SubmitRequest
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, rpc.InvalidParams(err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	switch in.Change.Name {
	case "AnnounceTargets":
		k.announced++
		k.present = true
	case "RemoveTargets":
		k.present = false
	}
	return ledger.Answer{Code: ledger.CodeDone, Version: 1}, nil
}

// TestHoldsLeavingAgentStaysRemoved guards against an agent that has left, learns
// from a keeper that its session is unknown, and announces its target again.
func TestHoldsLeavingAgentStaysRemoved(t *testing.T) {
	service := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(service.Close)
	k := &fakeKeeper{}
	a := startAgent(t, service.Listener.Addr().String(), k.start(t))
	read := func(f func() bool) func() bool {
		return func() bool { k.mu.Lock(); defer k.mu.Unlock(); return f() }
	}
	waitUntil(t, "the target is announced", read(func() bool { return k.renewed > 0 }))
	a.leave()
	waitUntil(t, "a removed session is renewed", read(func() bool { return k.renewedRemoved }))
	// An agent that announces its target again has done so by then.
	time.Sleep(time.Second)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.announced != 1 {
		t.Errorf("the target was announced %d times", k.announced)
	}
}
