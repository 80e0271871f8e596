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
			busy := func() float64 { return te.entry.Dispatcher.Summary("s").MinInFlight }
			for range 500 {
				if busy() == 0 {
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
			t.Errorf("%v requests still counted as active", busy())
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
		t.Fatalf("%v, %q, %v", res, body, err)
	}
	if n := fmt.Sprint(len(first.requests()), len(second.requests())); n != "1 0" {
		t.Errorf("requests at the targets: %s", n)
	}
}
