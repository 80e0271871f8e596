package siteentry

import (
	"io"
	"net/http"
	"testing"
)

// TestInvalidStatusIsNoAnswer guards against a response with a status that no response
// has, which the caller then gets as its answer, or which ends its connection. It
// counts as bytes that are no answer: a request that may be repeated is.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000 OK", "099 OK", "101 Switching Protocols", "1000 OK"} {
		invalid, first := startTarget(t, func(w io.Writer, r *http.Request) {
			_, _ = io.WriteString(w, head(r, status, "Content-Length: 2")+"no")
		})
		_, second := startTarget(t, respondWith("ok"))
		for host, want := range map[string]int{"once": http.StatusBadGateway, "read": http.StatusOK} {
			te := startEntry(t, first, second)
			res, body, err := te.call(t, host)
			te.Close()
			if err != nil || res.StatusCode != want || want == http.StatusOK && body != "ok" {
				t.Errorf("%s: %s got response %v, body %q, error %v", status, host, res, body, err)
			}
		}
		if n := len(invalid.requests()); n != 2 {
			t.Errorf("%s: the target got %d requests, want 2", status, n)
		}
	}
}
