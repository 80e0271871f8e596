package proxy_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"egretproxy/internal/control/lease"
	"egretproxy/internal/control/view"
	"egretproxy/internal/kernel/metrics"
	"egretproxy/internal/target/gate"
	"egretproxy/internal/target/proxy"
	"egretproxy/internal/target/ramp"
	"egretproxy/internal/wire/forward"
	"egretproxy/internal/wire/header"
)

// newProxy starts a proxy to a target whose gate admits all requests.
func newProxy(t *testing.T, kind view.TargetKind, target http.HandlerFunc) *httptest.Server {
	t.Helper()
	backend := httptest.NewServer(target)
	t.Cleanup(backend.Close)
	return newProxyTo(t, kind, backend.URL)
}

// newProxyTo starts a proxy to the target at a URL, whose gate admits all requests.
func newProxyTo(t *testing.T, kind view.TargetKind, target string) *httptest.Server {
	t.Helper()
	base, err := url.Parse(target)
	if err != nil {
		t.Fatal(err)
	}
	var l lease.Lease
	l.Extend(time.Now().Add(time.Hour))
	r := &ramp.Ramp{Slots: 4, ColdSlots: 4}
	g := gate.New(&l, r)
	g.SetInService(true)
	g.SetPhase(view.PhaseServing, view.Assignment{Bundle: "v1", Model: "m"})
	if kind == view.TargetService {
		g.SetPhase(view.PhaseServing, view.Assignment{})
	}
	front := httptest.NewServer(&proxy.Proxy{
		Target: "t", BaseURL: base, Kind: kind, Gate: g, Ramp: r, Metrics: metrics.New("test"),
		Client: forward.Client(nil, time.Minute, false), SingleUseClient: forward.Client(nil, time.Minute, true),
		OnCold: func() {}, OnFailure: func() {},
	})
	t.Cleanup(front.Close)
	return front
}

func send(t *testing.T, front *httptest.Server, headers map[string]string, body string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, front.URL+"/dispatch/x", io.NopCloser(strings.NewReader(body)))
	if err != nil {
		t.Fatal(err)
	}
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

// TestHoldsFailedOnceRequestIsNotResent closes the connection after the
// target has read the request. net/http retries requests with an
// Idempotency-Key on its own where it can; a run-once request must not be
// retried.
func TestHoldsFailedOnceRequestIsNotResent(t *testing.T) {
	for _, body := range []string{"", "retire"} {
		var runs atomic.Int64
		front := newProxy(t, view.TargetService, func(http.ResponseWriter, *http.Request) {
			runs.Add(1)
			panic(http.ErrAbortHandler)
		})
		for i := range 5 {
			resp, _, err := send(t, front, map[string]string{header.Once: "1", header.IdempotencyKey: fmt.Sprint(i)}, body)
			if err != nil {
				t.Fatal(err)
			}
			if got := resp.Header.Get(header.Outcome); got != "Unknown" {
				t.Errorf("outcome %q, want Unknown", got)
			}
		}
		if runs.Load() != 5 {
			t.Errorf("5 requests with body %q ran %d times", body, runs.Load())
		}
	}
}

// TestHoldsInvalidResponsesAreDetected checks that responses which are
// truncated, belong to another request or come from another version never
// reach the caller as complete.
func TestHoldsInvalidResponsesAreDetected(t *testing.T) {
	event := func(version string) string {
		return fmt.Sprintf("data: {\"system_fingerprint\":%q}\n\n", version)
	}
	cases := []struct {
		name, body, requestID, version string
		aborted, ok                    bool
	}{
		{"complete", event("v1") + event("v1") + "data: [DONE]\n\n", "r", "v1", false, true},
		{"other version", event("v2") + "data: [DONE]\n\n", "r", "v2", false, false},
		{"version changes", event("v1") + event("v2") + "data: [DONE]\n\n", "r", "v1", false, false},
		{"no end marker", event("v1"), "r", "v1", false, false},
		{"connection aborted", event("v1"), "r", "v1", true, false},
		{"other request", event("v1") + "data: [DONE]\n\n", "another", "v1", false, false},
	}
	for _, c := range cases {
		front := newProxy(t, view.TargetEngine, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set(header.RequestID, c.requestID)
			w.Header().Set(header.EngineVersion, c.version)
			_, _ = io.WriteString(w, c.body)
			if c.aborted {
				panic(http.ErrAbortHandler)
			}
		})
		resp, body, err := send(t, front, map[string]string{header.RequestID: "r", header.Model: "m"}, "{}")
		ok := err == nil && resp.Header.Get(header.Outcome) == "" && strings.Contains(body, "[DONE]")
		if ok != c.ok {
			t.Errorf("%s: accepted as complete: %v, want %v (%q, %v)", c.name, ok, c.ok, body, err)
		}
		if strings.Contains(body, `fingerprint":"v2"`) {
			t.Errorf("%s: a part of another version was forwarded", c.name)
		}
	}
}
