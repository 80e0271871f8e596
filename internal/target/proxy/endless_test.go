package proxy_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"egretproxy/internal/control/view"
	"egretproxy/internal/request/refusal"
	"egretproxy/internal/wire/header"
)

const (
	// endlessBytes is what an endless target sends at most.
	endlessBytes = 64 << 20
	// kernelBytes bounds what may be in the buffers of a closed connection.
	kernelBytes = 24 << 20
	hangGuard   = 30 * time.Second
)

// TestHoldsEndlessEventIsAborted guards against an event without end, before or
// after the first whole event, that is kept in memory or forwarded.
func TestHoldsEndlessEventIsAborted(t *testing.T) {
	const whole = "data: {}\n\n"
	for name, prefix := range map[string]string{"first": "", "second": whole} {
		taken := make(chan int, 1)
		front := newProxy(t, view.TargetEngine, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, err := w.Write([]byte(prefix + "data: "))
			_ = http.NewResponseController(w).Flush()
			n := 0
			for block := []byte(strings.Repeat("x", 32<<10)); err == nil && n < endlessBytes; n += len(block) {
				_, err = w.Write(block)
			}
			taken <- n
		})
		resp, body, err := send(t, front, map[string]string{header.Attempt: "a", header.Model: "m", header.PinBundle: "v1"}, "")
		if err == nil && (resp.StatusCode < 500 || resp.Header.Get(header.Outcome) == string(refusal.NotRun)) || !strings.HasPrefix(whole, body) {
			t.Errorf("%s: got response %v, %d bytes, error %v", name, resp, len(body), err)
		}
		select {
		case n := <-taken:
			if n > kernelBytes {
				t.Errorf("%s: read about %d MiB", name, n>>20)
			}
		case <-time.After(hangGuard):
			t.Errorf("%s: connection to the target was not closed", name)
		}
	}
}
