package connpool

import (
	"errors"
	"net/http"
	"testing"
)

// TestInvalidStatusIsNoResponse covers a target that sends a response with a status
// that no final response has. Its connection is not used again.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000 OK", "001 OK", "099 OK", "+20 OK", "101 Switching Protocols"} {
		s := newTarget(t, func(n int32, _ *http.Request) string {
			if n == 2 {
				return "HTTP/1.1 " + status + "\r\nAttempt: 1\r\nContent-Length: 2\r\n\r\nno"
			}
			return completeResponse
		})
		var p Pool
		for i, want := range []error{nil, ErrInterrupted, nil} {
			if _, err := send(t, &p, s.Addr().String()); !errors.Is(err, want) {
				t.Errorf("status %s: response %d with error %v, want %v", status, i, err, want)
			}
		}
		if n := s.conns.Load(); n != 2 {
			t.Errorf("status %s: %d connections, want 2", status, n)
		}
	}
}

// TestInterimResponsesAreSkipped guards against an interim response that is taken for
// the final one, or for none.
func TestInterimResponsesAreSkipped(t *testing.T) {
	s := newTarget(t, func(int32, *http.Request) string {
		return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + completeResponse
	})
	var p Pool
	if body, err := send(t, &p, s.Addr().String()); body != "ok" || err != nil {
		t.Errorf("got body %q, error %v", body, err)
	}
}
