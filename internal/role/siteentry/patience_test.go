package siteentry

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"egretproxy/internal/exchange/dispatch"
)

// suspendedFor is beyond the patience and the deadline of the tests' callers.
const suspendedFor = 40 * time.Second

// startSuspendable starts an entry whose clock the test moves on, with the given
// patience on all streaming routes.
func startSuspendable(t *testing.T, patience time.Duration, addresses ...string) (*testEntry, *bootClock) {
	t.Helper()
	te := startEntry(t, addresses...)
	for i := range te.plan.Routes {
		r := &te.plan.Routes[i]
		// Requests wait for a target as long as the objective.
		r.Objective, r.Timeout = 10*time.Second, time.Minute
		if r.Host == "stream" || r.Host == "cut" {
			r.Patience = patience
		}
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
		"stream": 2 * time.Second, "once": suspendedFor, "read": suspendedFor,
	} {
		t.Run(host, func(t *testing.T) {
			target, address := startTarget(t, respondWith("ok"))
			te, clock := startSuspendable(t, 2*time.Second, address)
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
			te, clock = startSuspendable(t, 0, a1, a2)
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

// TestSilentStreamIsNotResumed checks that a stream goes on at another target only
// while its caller waits for the next event.
func TestSilentStreamIsNotResumed(t *testing.T) {
	for name, c := range map[string]struct {
		suspended time.Duration
		resumed   int
	}{"short pause": {time.Second, 1}, "long pause": {2 * time.Second, 0}} {
		t.Run(name, func(t *testing.T) {
			var clock *bootClock
			_, a1 := startTarget(t, func(w io.Writer, r *http.Request) {
				_, _ = io.WriteString(w, head(r, "200 OK", "Transfer-Encoding: chunked")+chunk(event(1)))
				time.Sleep(50 * time.Millisecond)
				clock.suspend(c.suspended)
			})
			second, a2 := startTarget(t, func(w io.Writer, r *http.Request) {
				_, _ = io.WriteString(w, head(r, "200 OK", "Transfer-Encoding: chunked")+chunk(event(2))+chunk(""))
			})
			var te *testEntry
			te, clock = startSuspendable(t, 2*time.Second, a1, a2)
			_, body, err := te.call(t, "stream")
			if complete := err == nil; complete != (c.resumed == 1) {
				t.Errorf("body %q, error %v", body, err)
			}
			if n := len(second.requests()); n != c.resumed {
				t.Errorf("the second target got %d requests, want %d", n, c.resumed)
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
	te, clock = startSuspendable(t, 0, a1, a2)
	if res, _, err := te.call(t, "read", "Deadline", "8000"); err != nil || res.StatusCode != http.StatusOK {
		t.Fatalf("response %v, error %v", res, err)
	}
	ms, err := strconv.Atoi(second.requests()[0].Header.Get("Deadline"))
	if err != nil || ms > 3000 {
		t.Errorf("the target has %d ms (%v), the caller has 3000 left", ms, err)
	}
}

// heldListener accepts connections once it is released, as a process that has got
// no processor time.
type heldListener struct {
	net.Listener
	released chan struct{}
}

func (l heldListener) Accept() (net.Conn, error) {
	<-l.released
	return l.Listener.Accept()
}

// TestHoldsRequestReadLateIsNotSent guards against a request that waits unread
// because the process lacks processor time, and is sent though its caller has had
// no event for longer than it waits: its age begins when its bytes arrive.
func TestHoldsRequestReadLateIsNotSent(t *testing.T) {
	const unread = 400 * time.Millisecond
	target, address := startTarget(t, respondWith("ok"))
	te, _ := startSuspendable(t, unread/2, address)
	l := heldListener{released: make(chan struct{})}
	c := send(t, te.listenFor(t, func(inner net.Listener) net.Listener {
		l.Listener = inner
		return l
	}), "stream")
	time.Sleep(unread)
	close(l.released)
	if _, err := c.Read(make([]byte, 1)); err != nil {
		t.Error(err)
	}
	if n := len(target.requests()); n != 0 {
		t.Errorf("the target got %d requests", n)
	}
}
