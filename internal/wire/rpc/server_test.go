package rpc

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"egretproxy/internal/wire/frame"
)

// hangTimeout ends tests that hang.
const hangTimeout = 30 * time.Second

// testServer is a running server whose method Wait answers a call once its context
// has ended and release is closed.
type testServer struct {
	address string
	// began is closed when the first call has begun.
	began, release, stopped chan struct{}
	stop                    context.CancelFunc
}

func startServer(t *testing.T) *testServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ts := &testServer{
		address: l.Addr().String(),
		began:   make(chan struct{}), release: make(chan struct{}), stopped: make(chan struct{}),
	}
	s := &Server{Grace: hangTimeout, Handlers: map[string]Handler{"Wait": func(ctx context.Context, _ json.RawMessage) (any, error) {
		close(ts.began)
		<-ctx.Done()
		<-ts.release
		return "answer", nil
	}}}
	var ctx context.Context
	ctx, ts.stop = context.WithCancel(context.Background())
	go func() {
		defer close(ts.stopped)
		if err := s.Serve(ctx, l); err != nil {
			t.Errorf("Serve: %v", err)
		}
	}()
	t.Cleanup(func() { ts.stop(); <-ts.stopped })
	return ts
}

// awaitStop waits until the listener is closed and the server has had time to close
// connections.
func (ts *testServer) awaitStop(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(hangTimeout); ; time.Sleep(time.Millisecond) {
		c, err := net.Dial("tcp", ts.address)
		if err != nil {
			break
		}
		_ = c.Close()
		if time.Now().After(deadline) {
			t.Fatal("the listener is not closed")
		}
	}
	time.Sleep(100 * time.Millisecond)
}

// TestHoldsStopAnswersCalls guards against a server that stops and closes
// connections with calls in progress. Their callers can't know the outcome, and a
// watcher loses the last changes.
func TestHoldsStopAnswersCalls(t *testing.T) {
	ts := startServer(t)
	c := &Client{Address: ts.address, Codec: frame.Codec{}}
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), hangTimeout)
	defer cancel()
	var answer string
	ended := make(chan error, 1)
	go func() { ended <- c.Call(ctx, "Wait", nil, &answer) }()
	<-ts.began
	ts.stop()
	ts.awaitStop(t)
	close(ts.release)
	if err := <-ended; err != nil || answer != "answer" {
		t.Errorf("answer %q, error %v", answer, err)
	}
	<-ts.stopped
}

// TestStopClosesIdleConnections checks that a stop waits for no connection without
// a call.
func TestStopClosesIdleConnections(t *testing.T) {
	ts := startServer(t)
	c, err := net.Dial("tcp", ts.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	began := time.Now()
	ts.stop()
	<-ts.stopped
	if took := time.Since(began); took >= hangTimeout {
		t.Errorf("the stop took %v", took)
	}
}
