package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"egretproxy/internal/control/view"
	"egretproxy/internal/request/refusal"
	"egretproxy/internal/wire/header"
)

// newRawProxy starts a proxy to a target that answers each request with the given
// bytes and closes the connection, and its listener before that if it ends.
func newRawProxy(t *testing.T, kind view.TargetKind, sent string, ends bool) *httptest.Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, sent)
			}
			if ends {
				_ = l.Close()
			}
			_ = c.Close()
		}
	}()
	return newProxyTo(t, kind, "http://"+l.Addr().String())
}

// accepted reports whether a response of the proxy passes as the whole answer of
// the target.
func accepted(res *http.Response, err error) bool {
	return err == nil && res.Header.Get(header.Outcome) == ""
}

// requestHeaders are those of a request to a target of each kind.
var requestHeaders = map[view.TargetKind]map[string]string{
	view.TargetEngine:  {header.RequestID: "r", header.Attempt: "a", header.Model: "m", header.PinBundle: "v1"},
	view.TargetService: {header.RequestID: "r", header.Attempt: "a"},
}

// TestHoldsBrokenAnswerIsNoAnswer guards against a target that stops within the head
// or the body of its answer, which the entry then gets as a whole one.
func TestHoldsBrokenAnswerIsNoAnswer(t *testing.T) {
	const (
		status = "HTTP/1.1 200 OK\r\n"
		events = "data: {}\n\ndata: [DONE]\n\n"
	)
	length := func(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }
	chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	for name, whole := range map[string]string{
		"empty":            status + length(0) + "\r\n",
		"body":             status + length(6) + "\r\nanswer",
		"chunked":          status + "Transfer-Encoding: chunked\r\n\r\n" + chunk("answer") + chunk("rest") + "0\r\n\r\n",
		"stream":           status + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(events) + "0\r\n\r\n",
		"stream, length":   status + "Content-Type: text/event-stream\r\n" + length(len(events)) + "\r\n" + events,
		"length at first":  status + length(6) + "Content-Type: text/plain\r\n\r\nanswer",
		"stream, by parts": status + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("data: {}\n") + chunk("\ndata: [DO") + chunk("NE]\n\n") + "0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for cut := 1; cut <= len(whole); cut++ {
				for _, kind := range []view.TargetKind{view.TargetEngine, view.TargetService} {
					front := newRawProxy(t, kind, whole[:cut], false)
					res, body, err := send(t, front, requestHeaders[kind], "{}")
					if got, want := accepted(res, err), cut == len(whole); got != want {
						t.Errorf("kind %v, %q: accepted %v, want %v (%v, %q, %v)", kind, whole[:cut], got, want, res, body, err)
					}
					if err == nil && !accepted(res, err) && (res.StatusCode != http.StatusBadGateway || res.Header.Get(header.Outcome) != string(refusal.Unknown)) {
						t.Errorf("kind %v, %q: got response %v", kind, whole[:cut], res)
					}
				}
			}
		})
	}
}

// TestHoldsEndOfTargetEndsNoAnswer guards against an answer without a length that
// looks whole because its target ended within it.
func TestHoldsEndOfTargetEndsNoAnswer(t *testing.T) {
	for _, kind := range []view.TargetKind{view.TargetEngine, view.TargetService} {
		for _, body := range []string{"", "first part", strings.Repeat("x", 9<<20)} {
			for _, ends := range []bool{true, false} {
				front := newRawProxy(t, kind, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"+body, ends)
				res, got, err := send(t, front, requestHeaders[kind], "{}")
				if accepted(res, err) == ends || !ends && got != body {
					t.Errorf("kind %v, body of %d bytes, target ends %v: got response %v, %d bytes, error %v", kind, len(body), ends, res, len(got), err)
				}
			}
		}
	}
}
