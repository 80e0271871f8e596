package httpserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// serveWith serves callers with the handler until the test ends, and returns a
// connection to the server.
func serveWith(t *testing.T, h http.HandlerFunc) net.Conn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{HTTP: &http.Server{Handler: h}, Name: "Test"}
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- s.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		<-served
	})
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

const wholeRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// TestHoldsEndBehindBytesEndsRequest guards against a request that goes on after its
// caller has left, because the caller sent more bytes before that.
func TestHoldsEndBehindBytesEndsRequest(t *testing.T) {
	begun, ended := make(chan struct{}), make(chan bool, 1)
	c := serveWith(t, func(_ http.ResponseWriter, r *http.Request) {
		close(begun)
		select {
		case <-r.Context().Done():
			ended <- true
		case <-time.After(5 * time.Second):
			ended <- false
		}
	})
	_, _ = io.WriteString(c, wholeRequest)
	<-begun
	_, _ = io.WriteString(c, "GET")
	time.Sleep(2 * endInterval)
	_ = c.Close()
	if !<-ended {
		t.Error("the request's context has not ended 5 s after its caller left")
	}
}

// TestBytesBehindRequestAreNoEnd checks that a caller that sends the next request
// early gets both responses.
func TestBytesBehindRequestAreNoEnd(t *testing.T) {
	c := serveWith(t, func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
			w.WriteHeader(http.StatusGone)
		case <-time.After(3 * endInterval):
		}
	})
	_, _ = io.WriteString(c, wholeRequest+wholeRequest)
	br := bufio.NewReader(c)
	for i := range 2 {
		res, err := http.ReadResponse(br, nil)
		if err != nil || res.StatusCode != http.StatusOK {
			t.Fatalf("response %d: %v, error %v", i, res, err)
		}
		_, _ = io.Copy(io.Discard, res.Body)
	}
}
