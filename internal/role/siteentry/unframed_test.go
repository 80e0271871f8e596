package siteentry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// startEndingTarget starts a target that ends, with its listener, after a response
// without a length to its first request.
func startEndingTarget(t *testing.T, sent string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nAttempt: "+r.Header.Get("Attempt")+"\r\nSignature: s\r\n\r\n"+sent)
		}
		_ = l.Close()
		_ = c.Close()
	}()
	return l.Addr().String()
}

// TestHoldsEndOfTargetEndsNoResponse guards against a response without a length
// that looks complete because its target ended between two events, or within a
// plain body.
func TestHoldsEndOfTargetEndsNoResponse(t *testing.T) {
	for name, c := range map[string]struct{ host, sent, rest, want string }{
		"stream": {"stream", event(1) + event(2), event(3), event(1) + event(2) + event(3)},
		"plain":  {"read", "first part", "whole body", "whole body"},
	} {
		t.Run(name, func(t *testing.T) {
			ending := startEndingTarget(t, c.sent)
			second, a2 := startTarget(t, func(w io.Writer, r *http.Request) {
				_, _ = io.WriteString(w, head(r, "200 OK", "Transfer-Encoding: chunked")+chunk(c.rest)+"0\r\n\r\n")
			})
			te := startEntry(t, ending, a2)
			res, body, err := te.call(t, c.host)
			if err != nil || res.StatusCode != http.StatusOK || body != c.want {
				t.Errorf("got response %v, body %q, error %v", res, body, err)
			}
			if n := len(second.requests()); n != 1 {
				t.Errorf("the second target got %d requests", n)
			}
		})
	}
}

// reset resets the connection.
func reset(w io.Writer) { _ = w.(*net.TCPConn).SetLinger(0) }

// TestResponsesWithoutLength covers responses that end with their connection:
// only one that ends by a close, after whole events, is complete.
func TestResponsesWithoutLength(t *testing.T) {
	whole := event(1) + event(2)
	for name, c := range map[string]struct {
		host, sent string
		reset      bool
		status     int
		body       string
		complete   bool
	}{
		"plain":                  {host: "read", sent: "answer", status: http.StatusOK, body: "answer", complete: true},
		"plain, reset":           {host: "read", sent: "answer", reset: true, status: http.StatusBadGateway},
		"plain, no byte, reset":  {host: "read", reset: true, status: http.StatusBadGateway},
		"stream":                 {host: "cut", sent: whole, status: http.StatusOK, body: whole, complete: true},
		"stream, inside event":   {host: "cut", sent: whole + "id: 3\nda", status: http.StatusOK, body: whole},
		"stream, at first byte":  {host: "cut", sent: "i", status: http.StatusBadGateway},
		"stream, no byte":        {host: "cut", status: http.StatusBadGateway},
		"stream, reset":          {host: "cut", sent: whole, reset: true, status: http.StatusOK, body: whole},
		"stream, first is reset": {host: "cut", sent: "id: 1\nda", reset: true, status: http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			_, address := startTarget(t, func(w io.Writer, r *http.Request) {
				_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nAttempt: "+r.Header.Get("Attempt")+"\r\nSignature: s\r\n\r\n"+c.sent)
				if c.reset {
					// What was sent arrives first.
					time.Sleep(50 * time.Millisecond)
					reset(w)
				}
			})
			te := startEntry(t, address)
			res, body, err := te.call(t, c.host)
			if res == nil {
				// The caller sees the header first if events were sent.
				t.Fatalf("no response: %v", err)
			}
			complete := err == nil && res.StatusCode == http.StatusOK
			if res.StatusCode != c.status || complete != c.complete || c.body != "" && body != c.body {
				t.Errorf("got status %d, body %q, error %v", res.StatusCode, body, err)
			}
			if !c.complete && err == nil && res.StatusCode == http.StatusOK {
				t.Error("an incomplete response looks complete")
			}
		})
	}
}
