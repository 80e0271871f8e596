package siteentry

import (
	"bufio"
	"io"
	"maps"
	"net"
	"net/http"
	"testing"
	"time"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/socket"
	"egretproxy/internal/site/discovery"
	"egretproxy/internal/site/siteclient"
)

// startEndingTarget starts a target that ends, with its listener, after a response
// without a length to its first request. beforeEnd is called before, if it is not nil.
func startEndingTarget(t *testing.T, sent string, beforeEnd func()) string {
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
		if beforeEnd != nil {
			beforeEnd()
		}
		_ = l.Close()
		_ = c.Close()
	}()
	return l.Addr().String()
}

// endings are responses without a length whose target ends before they are whole.
var endings = map[string]struct{ host, sent, rest, want string }{
	"stream": {"stream", event(1) + event(2), event(3), event(1) + event(2) + event(3)},
	"plain":  {"read", "first part", "whole body", "whole body"},
}

// TestHoldsEndOfTargetEndsNoResponse guards against a response without a length
// that looks complete because its target ended between two events, or within a
// plain body.
func TestHoldsEndOfTargetEndsNoResponse(t *testing.T) {
	for name, c := range endings {
		t.Run(name, func(t *testing.T) {
			ending := startEndingTarget(t, c.sent, nil)
			checkAnsweredBySecond(t, c.host, c.rest, c.want, ending, nil)
		})
	}
}

// TestHoldsEndOfLeavingTargetEndsNoResponse guards against the same of a target that is
// no longer in service when it ends (review case 8): it leaves as planned, has left, or
// its failure domain is out of service.
func TestHoldsEndOfLeavingTargetEndsNoResponse(t *testing.T) {
	changes := map[string]func(*siteclient.View){
		"leaving": func(v *siteclient.View) {
			leaving := v.Targets["t0"]
			leaving.Stage = discovery.Draining
			v.Targets["t0"] = leaving
		},
		"gone":      func(v *siteclient.View) { delete(v.Targets, "t0") },
		"evacuated": func(v *siteclient.View) { v.Withdrawn = map[id.Domain]bool{"z0": true} },
	}
	for name, c := range endings {
		for change, apply := range changes {
			t.Run(name+", "+change, func(t *testing.T) {
				started := make(chan *testEntry, 1)
				ending := startEndingTarget(t, c.sent, func() {
					te := <-started
					v := *te.views.view
					v.Targets = maps.Clone(v.Targets)
					apply(&v)
					te.entry.OnView(&v)
				})
				checkAnsweredBySecond(t, c.host, c.rest, c.want, ending, started)
			})
		}
	}
}

// TestHoldsEndIsSeenWhileListenerEnds guards against the same while the system still takes
// connections for a process that ends (review case 6): it closes the listener last, and
// resets those that were not accepted.
func TestHoldsEndIsSeenWhileListenerEnds(t *testing.T) {
	for name, c := range endings {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			go func() {
				defer func() { _ = l.Close() }()
				conn, err := l.Accept()
				if err != nil {
					return
				}
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err == nil {
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nAttempt: "+r.Header.Get("Attempt")+"\r\nSignature: s\r\n\r\n"+c.sent)
				}
				_ = conn.Close()
				// The connection that the entry opens is established, and not accepted.
				for raw := socket.Raw(l); !socket.Readable(raw) && t.Context().Err() == nil; {
					time.Sleep(time.Millisecond)
				}
			}()
			checkAnsweredBySecond(t, c.host, c.rest, c.want, l.Addr().String(), nil)
		})
	}
}

// checkAnsweredBySecond checks that a request whose first target ends is answered by the
// second one, which responds with the rest. The entry is sent to started, if that is not
// nil.
func checkAnsweredBySecond(t *testing.T, host, rest, want, ending string, started chan<- *testEntry) {
	t.Helper()
	second, a2 := startTarget(t, func(w io.Writer, r *http.Request) {
		_, _ = io.WriteString(w, head(r, "200 OK", "Transfer-Encoding: chunked")+chunk(rest)+"0\r\n\r\n")
	})
	te := startEntry(t, ending, a2)
	first := te.views.view.Targets["t0"]
	first.Domain = "z0"
	te.views.view.Targets["t0"] = first
	te.entry.OnView(te.views.view)
	if started != nil {
		started <- te
	}
	res, body, err := te.call(t, host)
	if err != nil || res.StatusCode != http.StatusOK || body != want {
		t.Errorf("got response %v, body %q, error %v", res, body, err)
	}
	if n := len(second.requests()); n != 1 {
		t.Errorf("the second target got %d requests", n)
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
