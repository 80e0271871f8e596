package siteentry

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"egretproxy/internal/exchange/dispatch"
)

// suspendedFor is beyond the deadline of the tests' callers.
const suspendedFor = 40 * time.Second

// startSuspendable starts an entry whose clock the test moves on.
func startSuspendable(t *testing.T, addresses ...string) (*testEntry, *bootClock) {
	t.Helper()
	te := startEntry(t, addresses...)
	for i := range te.plan.Routes {
		r := &te.plan.Routes[i]
		// Requests wait for a target as long as the objective.
		r.Objective, r.Timeout = 10*time.Second, time.Minute
	}
	clock := &bootClock{began: time.Now()}
	te.entry.bootNow = clock.now
	return te, clock
}

// TestHoldsOldRequestIsNotSent guards against a request that waits for a target
// while the instance is suspended, and is sent although its caller gave up in the
// meantime and the end of its connection has not arrived.
func TestHoldsOldRequestIsNotSent(t *testing.T) {
	for host, suspended := range map[string]time.Duration{
		"once": suspendedFor, "read": suspendedFor,
	} {
		t.Run(host, func(t *testing.T) {
			target, address := startTarget(t, respondWith("ok"))
			te, clock := startSuspendable(t, address)
			te.entry.Dispatcher.ReportLoad("t0", dispatch.Load{Active: 1000})
			type result struct {
				res *http.Response
				err error
			}
			done := make(chan result, 1)
			go func() {
				res, _, err := te.call(t, host)
				done <- result{res, err}
			}()
			for te.entry.Dispatcher.Summary("s").Waiting == 0 {
				time.Sleep(time.Millisecond)
			}
			clock.suspend(suspended)
			te.entry.Dispatcher.ReportLoad("t0", dispatch.Load{})
			got := <-done
			if got.err != nil || got.res.StatusCode != http.StatusServiceUnavailable {
				t.Errorf("response %v, error %v, want 503", got.res, got.err)
			}
			if n := len(target.requests()); n != 0 {
				t.Errorf("the target got %d requests", n)
			}
		})
	}
}

// TestOldRequestIsNotRepeated checks that a second target gets no request whose
// caller gave up while the first one had it, and that the response doesn't state
// that the request did not run if it may have.
func TestOldRequestIsNotRepeated(t *testing.T) {
	for name, c := range map[string]struct {
		first  func(io.Writer, *http.Request)
		status int
	}{
		"declined":  {declines, http.StatusServiceUnavailable},
		"broke off": {truncates, http.StatusGatewayTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			var clock *bootClock
			_, a1 := startTarget(t, func(w io.Writer, r *http.Request) {
				clock.suspend(suspendedFor)
				c.first(w, r)
			})
			second, a2 := startTarget(t, respondWith("ok"))
			var te *testEntry
			te, clock = startSuspendable(t, a1, a2)
			res, _, err := te.call(t, "read")
			if err != nil || res.StatusCode != c.status {
				t.Errorf("response %v, error %v, want %d", res, err, c.status)
			}
			if n := len(second.requests()); n != 0 {
				t.Errorf("the second target got %d requests", n)
			}
		})
	}
}

// TestDeadlineCountsSuspension checks that a target is handed no more time than the
// caller has left.
func TestDeadlineCountsSuspension(t *testing.T) {
	var clock *bootClock
	_, a1 := startTarget(t, func(w io.Writer, r *http.Request) {
		clock.suspend(5 * time.Second)
		declines(w, r)
	})
	second, a2 := startTarget(t, respondWith("ok"))
	var te *testEntry
	te, clock = startSuspendable(t, a1, a2)
	if res, _, err := te.call(t, "read", "Deadline", "8000"); err != nil || res.StatusCode != http.StatusOK {
		t.Fatalf("response %v, error %v", res, err)
	}
	ms, err := strconv.Atoi(second.requests()[0].Header.Get("Deadline"))
	if err != nil || ms > 3000 {
		t.Errorf("the target has %d ms (%v), the caller has 3000 left", ms, err)
	}
}
