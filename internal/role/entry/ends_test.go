package entry

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"egretproxy/internal/control/view"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/wire/header"
)

// TestHoldsRequestThatEndsTargetsIsBounded guards against a request that ends each
// target which runs it being sent to one target after the other, and again each time
// that it comes; and against refusing other requests for it.
func TestHoldsRequestThatEndsTargetsIsBounded(t *testing.T) {
	const targets, calls = 8, 5
	var ended atomic.Int64
	agent := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
		w.Header().Set("Content-Length", "2")
		if strings.HasSuffix(r.URL.Path, "deadly") {
			ended.Add(1)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "hi")
	}
	var services []view.Target
	for n := range targets {
		t := service
		t.ID = id.Target(fmt.Sprint("t", n))
		services = append(services, t)
	}
	re := startEntryTo(t, agent, services...)
	get := func(path string) int {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+re.address+"/inventory/"+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("Authorization", "Bearer key-of-huts")
		res, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		_ = res.Body.Close()
		return res.StatusCode
	}
	for n := range calls {
		want := http.StatusBadGateway
		if n >= 2 {
			want = http.StatusServiceUnavailable
		}
		if got := get("deadly"); got != want {
			t.Errorf("call %d: status %d, want %d", n, got, want)
		}
		if got := get("ropes"); got != http.StatusOK {
			t.Errorf("status %d for another request", got)
		}
	}
	if n := ended.Load(); n != 3 {
		t.Errorf("%d targets ended", n)
	}
}
