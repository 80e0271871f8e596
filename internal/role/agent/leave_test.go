package agent

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"egretproxy/internal/control/ledger"
	"egretproxy/internal/kernel/metrics"
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

// runningAgent is an agent of a service.
type runningAgent struct {
	*Agent
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
	return &runningAgent{a, cancel}
}

func waitUntil(t *testing.T, condition string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(hangTimeout); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", condition)
		}
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
