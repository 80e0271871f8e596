package forward_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"egretproxy/internal/wire/forward"
)

// TestHoldsRedirectIsNotFollowed guards against a request that runs where the answer
// of its target redirects to, while its caller gets the answer of that place.
func TestHoldsRedirectIsNotFollowed(t *testing.T) {
	var elsewhere atomic.Int64
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { elsewhere.Add(1) }))
	t.Cleanup(other.Close)
	for _, status := range []int{http.StatusMovedPermanently, http.StatusFound, http.StatusSeeOther, http.StatusTemporaryRedirect, http.StatusPermanentRedirect} {
		target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, other.URL, status)
		}))
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			r, err := http.NewRequestWithContext(t.Context(), method, target.URL, nil)
			if err != nil {
				t.Fatal(err)
			}
			res, err := forward.Client(nil, time.Second, false).Do(r)
			if err != nil {
				t.Errorf("%s, %d: %v", method, status, err)
				continue
			}
			_ = res.Body.Close()
			if res.StatusCode != status || res.Header.Get("Location") != other.URL {
				t.Errorf("%s, %d: got response %v", method, status, res)
			}
		}
		target.Close()
	}
	if n := elsewhere.Load(); n != 0 {
		t.Errorf("%d requests went elsewhere", n)
	}
}
