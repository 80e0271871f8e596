package httpserver

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"egretproxy/internal/admission/intake"
)

const (
	roomBytes = 64 << 10
	// partBytes of the body of longRequest fit the room once.
	partBytes   = 48 << 10
	longRequest = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n"
)

// startNarrowServer starts a server whose handler answers as BodyRefusal says.
func startNarrowServer(t *testing.T) *testServer {
	return startServer(t, &Server{
		HTTP: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			data, err := io.ReadAll(r.Body)
			if refused, ok := BodyRefusal(err); ok {
				w.WriteHeader(refused.Status)
				return
			}
			_, _ = w.Write(data)
		})},
		Intake: &intake.Intake{Bytes: roomBytes}, Grace: time.Second,
	})
}

// waitUsed waits until long requests hold more than some bytes.
func (ts *testServer) waitUsed(t *testing.T, bytes int64) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(time.Millisecond) {
		if used, _ := ts.Intake.Used(); used >= bytes {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for the body to be read")
		}
	}
}

// TestStalledBodyGivesWay has a body that stops before its end. Others are refused
// until the stalled one is given up. Each connection is closed after its response.
func TestStalledBodyGivesWay(t *testing.T) {
	ts := startNarrowServer(t)
	part := strings.Repeat("x", partBytes)
	stalled := ts.connect(t)
	stalled.send(t, longRequest+part)
	ts.waitUsed(t, partBytes/2)
	refused := make(chan *http.Response)
	go func() {
		response, _ := http.ReadResponse(stalled.br, nil)
		refused <- response
	}()
	for {
		c := ts.connect(t)
		c.send(t, longRequest+part)
		_ = c.SetReadDeadline(time.Now().Add(30 * time.Second))
		r, err := http.ReadResponse(c.br, nil)
		if err != nil {
			t.Fatal(err)
		}
		if r.StatusCode != http.StatusServiceUnavailable || !r.Close {
			t.Fatalf("response without room: %v", r)
		}
		select {
		case r := <-refused:
			if r == nil || r.StatusCode != http.StatusRequestTimeout || !r.Close {
				t.Fatalf("response to the stalled request: %v", r)
			}
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// TestPipelinedBodyCounts guards against a body that takes room unseen because its
// header came with an earlier request.
func TestPipelinedBodyCounts(t *testing.T) {
	ts := startNarrowServer(t)
	c := ts.connect(t)
	c.send(t, testRequest+longRequest+strings.Repeat("x", partBytes))
	c.receive(t)
	ts.waitUsed(t, partBytes/2)
}

// TestNewConnectionReplacesIncomplete has as many connections without a whole request
// as the limit allows.
func TestNewConnectionReplacesIncomplete(t *testing.T) {
	ts := startServer(t, &Server{Intake: &intake.Intake{Bytes: roomBytes, Conns: 3}, Grace: time.Second})
	for range 5 {
		// Some of them are closed meanwhile.
		_, _ = io.WriteString(ts.connect(t), "GET / HTTP/1.1\r\n")
	}
	c := ts.connect(t)
	c.send(t, testRequest)
	if r := c.receive(t); r.StatusCode != http.StatusOK {
		t.Errorf("response beyond the limit: %v", r)
	}
	if _, conns := ts.Intake.Used(); conns > 3 {
		t.Errorf("%d connections are open, want at most 3", conns)
	}
}
