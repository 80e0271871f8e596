package httpserver

import (
	"net/http"
	"strings"
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
