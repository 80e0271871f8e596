package siteentry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"egretproxy/internal/kernel/metrics"
	"egretproxy/internal/site/plan"
	"egretproxy/internal/site/siteclient"
)

// stopSince makes the entry one that was asked to stop some time ago, on a platform
// that gives the grace period. Nothing ends the responses in progress.
func (te *testEntry) stopSince(grace, ago time.Duration) {
	s := &te.entry.stop
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.beganAt, s.limit = time.Now().Add(-ago), newStopTimes(grace).answers
}

// TestHoldsStoppingEntryRefusesLateRequests guards against a request that reaches
// a stopping entry too late to end within the grace period, and is cut. Those that
// end in time, if only by their time-out, are served.
func TestHoldsStoppingEntryRefusesLateRequests(t *testing.T) {
	for name, c := range map[string]struct {
		host       string
		grace, ago time.Duration
		served     bool
	}{
		"2 s, soon":           {"read", 2 * time.Second, 0, true},
		"2 s, later":          {"read", 2 * time.Second, time.Second, false},
		"2 s, not repeatable": {"once", 2 * time.Second, 500 * time.Millisecond, false},
		"2 s, short":          {"short", 2 * time.Second, time.Second, true},
		"2 s, short and late": {"short", 2 * time.Second, 1600 * time.Millisecond, false},
		"4 s, soon":           {"read", 4 * time.Second, 500 * time.Millisecond, true},
		"4 s, later":          {"read", 4 * time.Second, 2 * time.Second, false},
		"4 s, not repeatable": {"once", 4 * time.Second, time.Second, false},
		"8 s, in its time":    {"once", 8 * time.Second, time.Second, true},
		"8 s, soon":           {"read", 8 * time.Second, 2 * time.Second, true},
		"8 s, later":          {"read", 8 * time.Second, 2800 * time.Millisecond, false},
		"8 s, not repeatable": {"once", 8 * time.Second, 2500 * time.Millisecond, false},
		"8 s, short":          {"short", 8 * time.Second, 6 * time.Second, true},
		"8 s, at the end":     {"short", 8 * time.Second, 7 * time.Second, false},
		"30 s, in its time":   {"once", 30 * time.Second, 23 * time.Second, true},
		"30 s, later":         {"once", 30 * time.Second, 24400 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			target, address := startTarget(t, respondWith("ok"))
			te := startEntry(t, address)
			te.stopSince(c.grace, c.ago)
			res, _, err := te.call(t, c.host)
			if err != nil {
				t.Fatal(err)
			}
			if n := len(target.requests()); c.served && (res.StatusCode != http.StatusOK || n != 1) {
				t.Errorf("status %d, %d requests at the target", res.StatusCode, n)
			} else if !c.served && (res.StatusCode != http.StatusServiceUnavailable || n != 0 || !retriesAtOnce(res)) {
				t.Errorf("status %d, Retry-After %q, %d requests at the target", res.StatusCode, res.Header.Get("Retry-After"), n)
			}
		})
	}
}

// retriesAtOnce reports whether a response tells the caller to try again at once.
func retriesAtOnce(res *http.Response) bool {
	after, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	return err == nil && after <= stopRetryAfter.Seconds()
}

// TestHoldsDeclinedRequestIsRefusedLateInAStop guards against a request that a
// target declined so late in a stop that no other one can be expected to answer it
// in time: sent once more it is cut, though until then its caller could be told that
// it has not run. One that may have run can only gain from another attempt.
func TestHoldsDeclinedRequestIsRefusedLateInAStop(t *testing.T) {
	for name, c := range map[string]struct {
		host   string
		script func(io.Writer, *http.Request)
		// ago is the time since the stop request when the first target responds.
		ago    time.Duration
		status int
	}{
		"declined, late":      {"once", declines, 6700 * time.Millisecond, http.StatusServiceUnavailable},
		"declined, in time":   {"once", declines, 3 * time.Second, http.StatusOK},
		"declined, may rerun": {"read", declines, 6700 * time.Millisecond, http.StatusServiceUnavailable},
		"may have run":        {"read", truncates, 6700 * time.Millisecond, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			var te *testEntry
			_, a1 := startTarget(t, func(w io.Writer, r *http.Request) {
				te.stopSince(8*time.Second, c.ago)
				c.script(w, r)
			})
			second, a2 := startTarget(t, respondWith("ok"))
			te = startEntry(t, a1, a2)
			res, _, err := te.call(t, c.host)
			if err != nil {
				t.Fatal(err)
			}
			refused := res.StatusCode == http.StatusServiceUnavailable
			if n := len(second.requests()); res.StatusCode != c.status || refused != (n == 0) || refused && !retriesAtOnce(res) {
				t.Errorf("status %d, want %d, Retry-After %q, %d requests at the second target", res.StatusCode, c.status, res.Header.Get("Retry-After"), n)
			}
		})
	}
}

// TestHoldsRequestIsRefusedAfterLongDial guards against a request that comes too
// late in a stop because its connection to the target takes long, and is sent.
func TestHoldsRequestIsRefusedAfterLongDial(t *testing.T) {
	target, address := startTarget(t, respondWith("ok"))
	te := startEntry(t, address)
	te.stopSince(8*time.Second, 0)
	te.entry.Pool.OnDial = func(string, time.Duration, error) { te.stopSince(8*time.Second, 6*time.Second) }
	res, _, err := te.call(t, "once")
	if err != nil || res.StatusCode != http.StatusServiceUnavailable || !retriesAtOnce(res) {
		t.Errorf("response %v, error %v", res, err)
	}
	if n := len(target.requests()); n != 0 {
		t.Errorf("the target got %d requests", n)
	}
}

// TestHoldsStoppingEntryAnswersAtTheEnd guards against a request that is still in
// progress at the end of the grace period and gets no response at all.
func TestHoldsStoppingEntryAnswersAtTheEnd(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	var te *testEntry
	_, address := startTarget(t, func(io.Writer, *http.Request) {
		te.entry.stop.begin(0)
		<-release
	})
	te = startEntry(t, address)
	res, _, err := te.call(t, "once")
	if err != nil || res.StatusCode != http.StatusBadGateway {
		t.Errorf("response %v, error %v", res, err)
	}
}

// TestHoldsWaitingRequestIsRefusedByStop guards against a request that waited for
// a target, or for the rest of its body, until it was too late to end in time.
func TestHoldsWaitingRequestIsRefusedByStop(t *testing.T) {
	target, address := startTarget(t, respondWith("ok"))
	te := startEntry(t, address)
	te.stopSince(8*time.Second, 0)
	body, sendBody := io.Pipe()
	go func() {
		_, _ = sendBody.Write([]byte("bo"))
		te.stopSince(8*time.Second, 3*time.Second)
		_, _ = sendBody.Write([]byte("dy"))
		_ = sendBody.Close()
	}()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, te.URL+"/x", body)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "once"
	r.Header.Set("Attempt", "a1")
	r.Header.Set("Key", "secret")
	res, err := te.Client().Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	if !retriesAtOnce(res) {
		t.Errorf("Retry-After is %q", res.Header.Get("Retry-After"))
	}
	if n := len(target.requests()); res.StatusCode != http.StatusServiceUnavailable || n != 0 {
		t.Errorf("status %d, %d requests at the target", res.StatusCode, n)
	}
}

// TestEntryStopsThroughItsServer checks what callers on a kept connection see when
// an entry stops: it accepts their next request, and tells them to leave.
func TestEntryStopsThroughItsServer(t *testing.T) {
	_, address := startTarget(t, respondWith("ok"))
	te := startEntry(t, address)
	te.entry.Settings.StopGrace = 4 * time.Second
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan error, 1)
	go func() { stopped <- te.entry.serveOn(ctx, l) }()
	te.URL = "http://" + l.Addr().String()
	res, _, err := te.call(t, "read")
	if err != nil || res.Header.Get("Keep-Alive") != "timeout=5" {
		t.Errorf("before the stop: response %v, error %v", res, err)
	}
	cancel()
	for !te.entry.stop.began() {
		time.Sleep(time.Millisecond)
	}
	if te.entry.Ready() == nil {
		t.Error("a stopping entry is ready")
	}
	res, _, err = te.call(t, "read")
	if err != nil || res.StatusCode != http.StatusOK {
		t.Errorf("after the stop request: response %v, error %v", res, err)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	if !te.entry.stop.ended() {
		<-te.entry.stop.end.Done()
	}
}

// TestHoldsUnsentBodyIsRefusedAtTheEnd guards against a caller that is still sending
// its request at the end of the grace period and gets no response at all.
func TestHoldsUnsentBodyIsRefusedAtTheEnd(t *testing.T) {
	target, address := startTarget(t, respondWith("ok"))
	te := startEntry(t, address)
	c, err := net.Dial("tcp", te.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(30 * time.Second))
	if _, err := io.WriteString(c, "POST /x HTTP/1.1\r\nHost: once\r\nKey: secret\r\nAttempt: a1\r\nContent-Length: 4\r\n\r\nbo"); err != nil {
		t.Fatal(err)
	}
	for te.entry.active.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	te.entry.stop.begin(0)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	if n := len(target.requests()); res.StatusCode != http.StatusServiceUnavailable || !retriesAtOnce(res) || n != 0 {
		t.Errorf("response %v, %d requests at the target", res, n)
	}
}

// TestHoldsWaitForPlanEndsWithTheStop guards against a request that waits for the
// plan, or its confirmation, beyond the end of a short grace period. Its caller is
// told to try again at once, since other entries may have them.
func TestHoldsWaitForPlanEndsWithTheStop(t *testing.T) {
	const limit = 100 * time.Millisecond
	for name, starting := range map[string]bool{"starting": true, "just unconfirmed": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &Entry{Settings: Settings{Lease: time.Second, Headers: testHeaders}, Metrics: metrics.New("Test")}
				views := &fakeViews{view: &siteclient.View{}, age: time.Hour}
				if !starting {
					views.view = &siteclient.View{Plan: &plan.Plan{}}
					e.startup.startedAt = time.Now().Add(-startupPeriod)
				}
				e.Views = views
				e.stop.begin(limit)
				began := time.Now()
				w := httptest.NewRecorder()
				e.serve(w, httptest.NewRequest(http.MethodPost, "/x", nil))
				if took := time.Since(began); took < limit || took > limit+pollInterval {
					t.Errorf("the response comes after %s", took)
				}
				if res := w.Result(); res.StatusCode != http.StatusServiceUnavailable || !retriesAtOnce(res) {
					t.Errorf("response %v", res)
				}
			})
		})
	}
}

// TestHoldsManyRequestsAreAnsweredAtTheEnd guards against a stop that ends while many
// requests are at a target or wait for one, and leaves some without a response.
func TestHoldsManyRequestsAreAnsweredAtTheEnd(t *testing.T) {
	const perHost = 50
	hosts := []string{"once", "read", "stream", "cut"}
	release := make(chan struct{})
	defer close(release)
	target, address := startTarget(t, func(io.Writer, *http.Request) { <-release })
	te := startEntry(t, address)
	k := te.views.view.Targets["t0"]
	k.Slots = perHost * len(hosts) / 2
	te.views.view.Targets["t0"] = k
	te.entry.OnView(te.views.view)
	for i := range te.plan.Routes {
		te.plan.Routes[i].Objective, te.plan.Routes[i].Timeout = 30*time.Second, time.Minute
	}
	var calls errgroup.Group
	var stopping atomic.Bool
	for i := range perHost * len(hosts) {
		calls.Go(func() error {
			host := hosts[i%len(hosts)]
			res, body, err := te.call(t, host)
			if !stopping.Load() {
				t.Errorf("%s: response %v, body %q, error %v before the stop", host, res, body, err)
			}
			if err != nil {
				return err
			}
			if res.StatusCode != http.StatusBadGateway && !(res.StatusCode == http.StatusServiceUnavailable && retriesAtOnce(res)) {
				return errors.New(host + ": " + res.Status)
			}
			return nil
		})
		// On a busy machine, one of many connections opened at once may time out.
		for !t.Failed() && (te.entry.active.Load() <= int64(i) || len(target.requests()) < min(i+1, k.Slots/2)) {
			time.Sleep(time.Millisecond)
		}
	}
	began := time.Now()
	stopping.Store(true)
	te.entry.stop.begin(0)
	if err := calls.Wait(); err != nil {
		t.Error(err)
	}
	t.Logf("%d requests, %d of them at the target, were answered within %s", perHost*len(hosts), len(target.requests()), time.Since(began))
}
