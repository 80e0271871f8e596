package siteentry

import (
	"net"
	"net/http"
	"testing"
	"time"

	"egretproxy/internal/exchange/dispatch"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/request/digest"
)

// inFlight returns the requests in progress at the second of two targets.
func (te *testEntry) inFlight(t *testing.T) float64 {
	t.Helper()
	g, err := te.entry.Dispatcher.Acquire(t.Context(), &dispatch.Request{Service: "s", Exclude: []id.Target{"t0"}, MaxWait: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	defer g.End(dispatch.Cancelled)
	return float64(g.InFlight)
}

// TestHoldsTestIsTakenForATarget guards against a test of a verdict that is used up by a
// request which no target can take, so that the verdict is not tested for a day.
func TestHoldsTestIsTakenForATarget(t *testing.T) {
	target, address := startTarget(t, respondWith("ok"))
	te := startEntry(t, address)
	keepers := &fakeKeepers{}
	te.entry.Keepers = keepers
	te.shutOut(61*time.Second, digestOf("read"))
	te.entry.Dispatcher.ReportLoad("t0", dispatch.Load{Closed: true})
	for range 2 {
		res, _, err := te.call(t, "read", "Deadline", "300")
		if err != nil || res.StatusCode != http.StatusServiceUnavailable || keepers.granted != 0 {
			t.Fatalf("got response %v, error %v, %d tests were taken", res, err, keepers.granted)
		}
	}
	te.entry.Dispatcher.ReportLoad("t0", dispatch.Load{})
	res, _, err := te.call(t, "read")
	if err != nil || res.StatusCode != http.StatusOK || keepers.granted != 1 || len(target.requests()) != 1 {
		t.Errorf("got response %v, error %v, %d tests were taken, %d requests sent", res, err, keepers.granted, len(target.requests()))
	}
}

// TestRefusedTestReleasesItsTarget guards against targets that fill up with requests
// which took one, and which the keepers don't let test their verdict.
func TestRefusedTestReleasesItsTarget(t *testing.T) {
	_, a1 := startTarget(t, respondWith("ok"))
	second, a2 := startTarget(t, respondWith("ok"))
	te := startEntry(t, a1, a2)
	keepers := &fakeKeepers{granted: 1}
	te.entry.Keepers = keepers
	te.entry.Dispatcher.ReportLoad("t0", dispatch.Load{Closed: true})
	te.shutOut(61*time.Second, digestOf("read"))
	before := te.inFlight(t)
	for range 3 {
		if res, _, err := te.call(t, "read"); err != nil || res.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("got response %v, error %v", res, err)
		}
	}
	if after := te.inFlight(t); after != before || keepers.granted != 4 || len(second.requests()) != 0 {
		t.Errorf("%v in progress before, %v after; %d tests requested, %d requests sent", before, after, keepers.granted-1, len(second.requests()))
	}
}

// TestLeftCallerTakesNoTest guards against a test that is used up by a request whose
// caller left while it waited for a target, though the process has not read that.
func TestLeftCallerTakesNoTest(t *testing.T) {
	target, address := startTarget(t, respondWith("ok"))
	te := startEntry(t, address)
	keepers := &fakeKeepers{}
	te.entry.Keepers = keepers
	te.plan.Routes[1].Objective = 10 * time.Second
	d := digest.Request{Method: http.MethodPost, Host: "read", URI: "/x", Organisation: "org"}
	te.shutOut(61*time.Second, d.Digest())
	te.entry.Dispatcher.ReportLoad("t0", dispatch.Load{Active: 1000})
	l := &lateListener{}
	c := send(t, te.listenFor(t, func(inner net.Listener) net.Listener {
		l.Listener = inner
		return l
	}), "read")
	defer l.late.Store(false)
	for te.entry.Dispatcher.Summary("s").Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	l.late.Store(true)
	_ = c.Close()
	time.Sleep(50 * time.Millisecond)
	te.entry.Dispatcher.ReportLoad("t0", dispatch.Load{})
	for te.entry.active.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	if n := len(target.requests()); keepers.granted != 0 || n != 0 {
		t.Errorf("%d tests were taken, %d requests sent", keepers.granted, n)
	}
}
