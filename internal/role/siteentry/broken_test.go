package siteentry

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// maxUnsentTries limits the calls until a request reaches its target.
const maxUnsentTries = 5

// TestHoldsBrokenAnswerIsNoAnswer guards against a target that stops at any byte of
// the head or the body of its first answer, which its caller then gets as a whole
// one.
func TestHoldsBrokenAnswerIsNoAnswer(t *testing.T) {
	for name, c := range map[string]struct{ fields, rest, body string }{
		"empty":   {"Content-Length: 0", "", ""},
		"body":    {"Content-Length: 6\r\nContent-Type: text/plain", "answer", "answer"},
		"chunked": {"Transfer-Encoding: chunked", chunk("answer") + chunk("rest") + "0\r\n\r\n", "answerrest"},
		"events":  {"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked", chunk(event(1)+event(2)) + chunk(event(3)) + "0\r\n\r\n", event(1) + event(2) + event(3)},
	} {
		t.Run(name, func(t *testing.T) {
			cut := 0
			target, address := startTarget(t, func(w io.Writer, r *http.Request) {
				whole := head(r, "200 OK", c.fields) + c.rest
				_, _ = io.WriteString(w, whole[:max(len(whole)-cut, 0)])
			})
			for _, host := range []string{"once", "read", "cut", "single"} {
				if strings.Contains(c.fields, "event-stream") != (host == "cut" || host == "single") {
					continue
				}
				for cut = 0; cut < 100+len(c.rest); cut++ {
					res, body, err := callUntilSent(t, target, address, host)
					complete := err == nil && res.StatusCode == http.StatusOK && body == c.body
					refused := err == nil && res.StatusCode == http.StatusBadGateway
					if complete != (cut == 0) || cut > 0 && !refused && (err == nil || !strings.HasPrefix(c.body, body)) {
						t.Errorf("%s without its last %d bytes: got response %v, body %q, error %v", host, cut, res, body, err)
					}
				}
			}
		})
	}
}

// callUntilSent calls through a new entry, and again through another one if the request
// was refused before it reached the target: a process that stands still for longer than
// the entry waits for a connection shows nothing about the target's response.
func callUntilSent(t *testing.T, target *fakeTarget, address, host string) (*http.Response, string, error) {
	t.Helper()
	for try := 1; ; try++ {
		sent := len(target.requests())
		te := startEntry(t, address)
		res, body, err := te.call(t, host)
		te.Close()
		refused := err == nil && res.StatusCode == http.StatusServiceUnavailable && len(target.requests()) == sent
		if !refused || try == maxUnsentTries {
			return res, body, err
		}
	}
}
