package proxy_test

import (
	"net/http"
	"testing"

	"egretproxy/internal/control/view"
	"egretproxy/internal/request/refusal"
	"egretproxy/internal/wire/header"
)

// TestInvalidStatusIsNoAnswer guards against a response with a status that no response
// has, which ends the connection to the entry. The request may have run.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000 OK", "099 OK", "101 Switching Protocols"} {
		for _, kind := range []view.TargetKind{view.TargetEngine, view.TargetService} {
			front := newRawProxy(t, kind, "HTTP/1.1 "+status+"\r\nContent-Length: 2\r\n\r\nno", false)
			res, body, err := send(t, front, requestHeaders[kind], "{}")
			if err != nil || res.StatusCode != http.StatusBadGateway || res.Header.Get(header.Outcome) != string(refusal.Unknown) {
				t.Errorf("kind %v, %s: got response %v, body %q, error %v", kind, status, res, body, err)
			}
		}
	}
}
