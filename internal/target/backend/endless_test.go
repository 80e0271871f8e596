package backend_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"egretproxy/internal/control/view"
	"egretproxy/internal/target/backend"
	_ "egretproxy/internal/target/engine"
	_ "egretproxy/internal/target/service"
)

const (
	// endlessBytes is what an endless target sends at most.
	endlessBytes = 96 << 20
	// kernelBytes bounds what may be in the buffers of a closed connection.
	kernelBytes = 24 << 20
	hangGuard   = 30 * time.Second
)

func start(t *testing.T, scheme string, handler http.HandlerFunc) backend.Backend {
	t.Helper()
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	b, err := backend.New(scheme + "://" + strings.TrimPrefix(s.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestHoldsEndlessStatusIsNoStatus guards against targets whose status page has
// no end: its first bytes were taken for the page, so that a faulty service
// counted as started.
func TestHoldsEndlessStatusIsNoStatus(t *testing.T) {
	for _, scheme := range []string{"engine", "service"} {
		sent := make(chan int, 1)
		b := start(t, scheme, func(w http.ResponseWriter, _ *http.Request) {
			// Valid JSON up to any limit.
			block := []byte(strings.Repeat(" ", 64<<10))
			total := 0
			for err := error(nil); err == nil && total < endlessBytes; {
				var n int
				n, err = w.Write(block)
				total += n
			}
			sent <- total
		})
		ctx, cancel := context.WithTimeout(t.Context(), hangGuard)
		if status, err := b.Status(ctx); err == nil {
			t.Errorf("%s: got status %+v", scheme, status)
		}
		cancel()
		if n := <-sent; n > kernelBytes {
			t.Errorf("%s: read about %d MiB", scheme, n>>20)
		}
	}
}

// TestLongHealthPageIsAccepted guards against services that never start because
// their health page is longer than what identifies the start.
func TestLongHealthPageIsAccepted(t *testing.T) {
	page := strings.Repeat("0123456789abcdef", 256)
	b := start(t, "service", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(page)) })
	status, err := b.Status(t.Context())
	if err != nil || status.Start != page[:256] {
		t.Errorf("got start %q, error %v", status.Start, err)
	}
}

// TestHoldsLongStatusHeaderIsNotTaken guards against responses whose header
// takes 10 MB of memory, the limit of net/http.
func TestHoldsLongStatusHeaderIsNotTaken(t *testing.T) {
	for _, scheme := range []string{"engine", "service"} {
		b := start(t, scheme, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X", strings.Repeat("x", 1<<20))
			w.WriteHeader(http.StatusOK)
			_, _ = w.Write([]byte("{}"))
		})
		if status, err := b.Status(t.Context()); err == nil {
			t.Errorf("%s: got status %+v", scheme, status)
		}
		if b.Kind() != view.TargetEngine {
			continue
		}
		if err := b.Load(t.Context(), backend.Order{}); err == nil || !strings.Contains(err.Error(), "header") {
			t.Errorf("%s: order got error %v, want one about the header", scheme, err)
		}
	}
}
