package siteentry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"egretproxy/internal/exchange/dispatch"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/boottime"
	"egretproxy/internal/site/quarantine"
	"egretproxy/internal/site/siteclient"
)

func hangs(io.Writer, *http.Request) { select {} }

// TestHoldsSlotIsFreedWhenCallerLeaves guards against slots that stay occupied
// after callers disconnect while their target is still working.
func TestHoldsSlotIsFreedWhenCallerLeaves(t *testing.T) {
	for _, host := range []string{"stream", "once", "read"} {
		t.Run(host, func(t *testing.T) {
			target, a := startTarget(t, hangs)
			te := startEntry(t, a)
			for range 3 {
				ctx, cancel := context.WithCancel(t.Context())
				r, err := http.NewRequestWithContext(ctx, http.MethodPost, te.URL+"/x", strings.NewReader("body"))
				if err != nil {
					t.Fatal(err)
				}
				r.Host = host
				r.Header.Set("Attempt", "a")
				r.Header.Set("Key", "secret")
				before := len(target.requests())
				go func() {
					for len(target.requests()) == before && ctx.Err() == nil {
						time.Sleep(time.Millisecond)
					}
					cancel()
				}()
				if res, err := te.Client().Do(r); err == nil {
					_ = res.Body.Close()
				}
			}
			inFlight := func() float64 { return te.entry.Dispatcher.Summary("s").MinInFlight }
			for range 500 {
				if inFlight() == 0 {
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
			t.Errorf("%v requests are still counted as in flight", inFlight())
		})
	}
}

// TestHoldsSilentTargetIsKeptWithoutAnother guards against cancelling an
// attempt for nothing: the target is silent for long, but no other target has
// a free slot. The attempt continues and gets its response.
func TestHoldsSilentTargetIsKeptWithoutAnother(t *testing.T) {
	slow := func(w io.Writer, r *http.Request) {
		time.Sleep(minSilence + 2*reserveRetryInterval)
		respondWith("late")(w, r)
	}
	first, a1 := startTarget(t, slow)
	second, a2 := startTarget(t, respondWith("other"))
	te := startEntry(t, a1, a2)
	te.entry.Dispatcher.ReportLoad(id.Target("t1"), dispatch.Load{Closed: true})
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
				te.entry.Dispatcher.ReportLoad(id.Target("t1"), dispatch.Load{Closed: true})
			}
		}
	}()
	res, body, err := te.call(t, "read")
	if err != nil || res.StatusCode != http.StatusOK || body != "late" {
		t.Fatalf("got response %v, body %q, error %v", res, body, err)
	}
	if n := fmt.Sprint(len(first.requests()), len(second.requests())); n != "1 0" {
		t.Errorf("requests at the two targets: %s", n)
	}
}

// TestHoldsReservedTargetIsReleasedByAVerdict guards against a slot that stays occupied
// for good: another target was reserved for a silent attempt, and a verdict that came
// meanwhile keeps the request from going there.
func TestHoldsReservedTargetIsReleasedByAVerdict(t *testing.T) {
	_, a1 := startTarget(t, hangs)
	second, a2 := startTarget(t, respondWith("ok"))
	te := startEntry(t, a1, a2)
	before := te.inFlight(t)
	v := *te.views.view
	v.Quarantine = []siteclient.Verdict{{Verdict: quarantine.Verdict{Parts: []id.PromptPart{digestOf("read")}, Ends: 3}, ChangedAt: boottime.Now()}}
	te.views.next, te.views.nextAt = &fakeViews{view: &v}, time.Now().Add(minSilence/2)
	res, _, err := te.call(t, "read")
	if err != nil || res.StatusCode != http.StatusBadGateway || len(second.requests()) != 0 {
		t.Errorf("got response %v, error %v, %d requests at the second target", res, err, len(second.requests()))
	}
	for te.entry.active.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	if after := te.inFlight(t); after != before {
		t.Errorf("%v requests in flight at the second target before, %v after", before, after)
	}
}
