package httpserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"egretproxy/internal/admission/intake"
)

// TestWriteLimitIsForOneResponse has a response with a time limit that the next one on
// the connection comes after.
func TestWriteLimitIsForOneResponse(t *testing.T) {
	ts := startServer(t, &Server{HTTP: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/limited" {
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(30 * time.Millisecond))
		}
		echo(w, r)
	})}, Grace: time.Second})
	c := ts.connect(t)
	c.send(t, strings.Replace(testRequest, "/", "/limited", 1))
	c.receive(t)
	time.Sleep(60 * time.Millisecond)
	c.send(t, testRequest)
	c.receive(t)
}

// TestUnreadResponseEnds has a caller that doesn't read a response with a time limit.
func TestUnreadResponseEnds(t *testing.T) {
	refused := make(chan string, 1)
	ts := startServer(t, &Server{
		HTTP: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(30 * time.Millisecond))
			_, _ = w.Write(make([]byte, 64<<20))
		})},
		Intake: &intake.Intake{OnRefuse: func(reason string) { refused <- reason }}, Grace: time.Second,
	})
	ts.connect(t).send(t, testRequest)
	if reason := <-refused; reason != "Unread" {
		t.Errorf("refused as %s", reason)
	}
}

// TestNewConnectionReplacesUnread has as many callers that don't read their responses as
// there may be connections.
func TestNewConnectionReplacesUnread(t *testing.T) {
	const conns = 3
	var begun sync.WaitGroup
	begun.Add(conns)
	ts := startServer(t, &Server{
		HTTP: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/long" {
				begun.Done()
				_, _ = w.Write(make([]byte, 64<<20))
				return
			}
			echo(w, r)
		})},
		Intake: &intake.Intake{Conns: conns}, Grace: time.Second,
	})
	for range conns {
		ts.connect(t).send(t, "GET /long HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	begun.Wait()
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if ts.answers(t) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("an ordinary request is not answered")
		}
	}
}

// answers reports whether a request on a connection of its own is answered.
func (ts *testServer) answers(t *testing.T) bool {
	t.Helper()
	c, err := net.Dial("tcp", ts.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, testRequest); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	return err == nil && resp.StatusCode == http.StatusOK
}
