package backend_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"egretproxy/internal/control/view"
	"egretproxy/internal/target/backend"
	_ "egretproxy/internal/target/engine"
	_ "egretproxy/internal/target/service"
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
