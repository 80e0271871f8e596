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

// TestHoldsSlotIsFreedWhenCallerLeaves plays impatient callers: each leaves
// while its target works. The places that they took are free afterwards.
func TestHoldsSlotIsFreedWhenCallerLeaves(t *testing.T) {
	for _, host := range []string{"stream", "once", "read"} {
		t.Run(host, func(t *testing.T) {
			f, a := startTarget(t, hangs)
			b := startEntry(t, a)
			for range 3 {
				ctx, cancel := context.WithCancel(t.Context())
				r, err := http.NewRequestWithContext(ctx, http.MethodPost, b.URL+"/x", strings.NewReader("body"))
				if err != nil {
					t.Fatal(err)
				}
				r.Host = host
				r.Header.Set("Attempt", "a")
				r.Header.Set("Key", "secret")
				before := len(f.requests())
				go func() {
					for len(f.requests()) == before && ctx.Err() == nil {
						time.Sleep(time.Millisecond)
					}
					cancel()
				}()
				if res, err := b.Client().Do(r); err == nil {
					_ = res.Body.Close()
				}
			}
			busy := func() float64 { return b.entry.Dispatcher.Summary("s").MinInFlight }
			for range 500 {
				if busy() == 0 {
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
			t.Errorf("%v requests are still counted", busy())
		})
	}
}

// TestHoldsSilentTargetIsKeptWithoutAnother plays a full site: a target is
// silent for long, but no other one has a place. The attempt goes on and is
// answered, instead of being given up for nothing.
func TestHoldsSilentTargetIsKeptWithoutAnother(t *testing.T) {
	slow := func(w io.Writer, r *http.Request) {
		time.Sleep(minSilence + 2*reserveRetryInterval)
		whole("late")(w, r)
	}
	first, a1 := startTarget(t, slow)
	second, a2 := startTarget(t, whole("other"))
	b := startEntry(t, a1, a2)
	b.entry.Dispatcher.ReportLoad(id.Target("t1"), dispatch.Load{Closed: true})
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
				b.entry.Dispatcher.ReportLoad(id.Target("t1"), dispatch.Load{Closed: true})
			}
		}
	}()
	res, body, err := b.call(t, "read")
	if err != nil || res.StatusCode != http.StatusOK || body != "late" {
		t.Fatalf("%v, %q, %v", res, body, err)
	}
	if n := fmt.Sprint(len(first.requests()), len(second.requests())); n != "1 0" {
		t.Errorf("requests at the targets: %s", n)
	}
}
