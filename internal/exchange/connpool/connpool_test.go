package connpool

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"egretproxy/internal/kernel/socket"
)

// target responds to each request on a connection with the result of a script;
// an empty response closes the connection.
type target struct {
	net.Listener
	conns, requests atomic.Int32
}

func newTarget(t *testing.T, script func(n int32, r *http.Request) string) *target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &target{Listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serve(c, script)
		}
	}()
	return s
}

func (s *target) serve(c net.Conn, script func(n int32, r *http.Request) string) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		answer := script(s.requests.Add(1), r)
		if answer == "" {
			return
		}
		_, _ = io.WriteString(c, answer)
	}
}

func request(attempt string) *Request {
	return &Request{
		Method: "POST", URI: "/x/?q=1", Host: "h", Body: []byte("body"),
		Header: http.Header{"Attempt": {attempt}}, EchoHeader: "Attempt",
	}
}

func buildFunc(r *Request) func() (*Request, error) {
	return func() (*Request, error) { return r, nil }
}

const completeResponse = "HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 2\r\n\r\nok"

func send(t *testing.T, p *Pool, address string) (string, error) {
	t.Helper()
	response, err := p.Send(t.Context(), address, buildFunc(request("1")))
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func TestConnectionIsKept(t *testing.T) {
	s := newTarget(t, func(int32, *http.Request) string { return completeResponse })
	var p Pool
	for range 3 {
		if body, err := send(t, &p, s.Addr().String()); body != "ok" || err != nil {
			t.Fatalf("got body %q, error %v", body, err)
		}
	}
	if n := s.conns.Load(); n != 1 {
		t.Errorf("%d connections", n)
	}
}

// TestStrayResponseIsSkipped covers a target that first sends the response to
// an earlier request.
func TestStrayResponseIsSkipped(t *testing.T) {
	s := newTarget(t, func(int32, *http.Request) string {
		return "HTTP/1.1 200 OK\r\nAttempt: 0\r\nContent-Length: 5\r\n\r\nother" + completeResponse
	})
	var p Pool
	if body, err := send(t, &p, s.Addr().String()); body != "ok" || err != nil {
		t.Errorf("got body %q, error %v", body, err)
	}
}

// TestConnectionWithExtraDataIsNotReused covers a target that sends data
// after a complete response.
func TestConnectionWithExtraDataIsNotReused(t *testing.T) {
	s := newTarget(t, func(int32, *http.Request) string {
		return completeResponse + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra"
	})
	var p Pool
	for range 2 {
		if body, err := send(t, &p, s.Addr().String()); body != "ok" || err != nil {
			t.Fatalf("got body %q, error %v", body, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if n := s.conns.Load(); n != 2 {
		t.Errorf("%d connections", n)
	}
}

func TestClosedConnectionIsNotReused(t *testing.T) {
	s := newTarget(t, func(n int32, _ *http.Request) string {
		if n == 1 {
			return "HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"
		}
		return completeResponse
	})
	var p Pool
	for range 2 {
		if body, err := send(t, &p, s.Addr().String()); body != "ok" || err != nil {
			t.Fatalf("got body %q, error %v", body, err)
		}
	}
	if n := s.conns.Load(); n != 2 {
		t.Errorf("%d connections", n)
	}
}

// TestIncompleteResponseIsAnError covers targets that close the connection
// before a complete response to the request.
func TestIncompleteResponseIsAnError(t *testing.T) {
	for name, answer := range map[string]string{
		"short":       "HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 9\r\nConnection: close\r\n\r\nok",
		"chunks":      "HTTP/1.1 200 OK\r\nAttempt: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"no echo":     "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nno",
		"no answer":   "\x00\x01\x02 not an answer\r\n\r\n",
		"other, last": "HTTP/1.1 200 OK\r\nAttempt: 7\r\nConnection: close\r\nContent-Length: 2\r\n\r\nno",
	} {
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
			}
			_, _ = io.WriteString(c, answer)
			_ = c.Close()
		}()
		var p Pool
		if body, err := send(t, &p, l.Addr().String()); err == nil {
			t.Errorf("%s: got a complete response: %q", name, body)
		}
		_ = l.Close()
	}
}

func TestErrNotSentMeansNoByteSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	var p Pool
	if _, err := p.Send(t.Context(), address, buildFunc(request("1"))); !errors.Is(err, ErrNotSent) {
		t.Errorf("no listener: %v", err)
	}
	s := newTarget(t, func(int32, *http.Request) string { return "" })
	if _, err := p.Send(t.Context(), s.Addr().String(), buildFunc(request("1"))); !errors.Is(err, ErrInterrupted) {
		t.Errorf("closed after the request: %v", err)
	}
}

func TestCancelInterruptsExchange(t *testing.T) {
	s := newTarget(t, func(int32, *http.Request) string { time.Sleep(time.Minute); return "" })
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	var p Pool
	if _, err := p.Send(ctx, s.Addr().String(), buildFunc(request("1"))); !errors.Is(err, ErrInterrupted) {
		t.Errorf("got error %v", err)
	}
}

// stalledConn reads only after ready is closed, as if the process got no processor
// time before. Bytes meanwhile arrive in the socket buffer.
type stalledConn struct {
	*net.TCPConn
	ready chan struct{}
}

func (c stalledConn) Read(p []byte) (int, error) {
	<-c.ready
	return c.TCPConn.Read(p)
}

// TestHoldsArrivedResponseIsReadAfterDeadline guards against a deadline, or another
// timer that cancels an exchange, which passes while the process gets no processor
// time, and drops a response that has arrived.
func TestHoldsArrivedResponseIsReadAfterDeadline(t *testing.T) {
	s := newTarget(t, func(int32, *http.Request) string { return completeResponse })
	conn, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	stalled := stalledConn{conn.(*net.TCPConn), make(chan struct{})}
	var p Pool
	p.put(s.Addr().String(), newPersistConn(stalled, &p), time.Hour)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for raw := socket.Raw(stalled.TCPConn); !socket.Readable(raw); {
			time.Sleep(time.Millisecond)
		}
		cancel()
		// An exchange that is aborted whatever has arrived has ended by then.
		time.Sleep(100 * time.Millisecond)
		close(stalled.ready)
	}()
	response, err := p.Send(ctx, s.Addr().String(), buildFunc(request("1")))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Close()
	if body, err := io.ReadAll(response.Body); string(body) != "ok" || err != nil {
		t.Errorf("got body %q, error %v", body, err)
	}
}

// TestHoldsWithdrawnRequestKeepsExpiry guards against a request that is withdrawn
// before it is sent and returns its connection with a new idle time: the target's
// timer keeps running, so that the next request crossed its close.
func TestHoldsWithdrawnRequestKeepsExpiry(t *testing.T) {
	s := newTarget(t, func(int32, *http.Request) string { return completeResponse })
	address := s.Addr().String()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	var p Pool
	c := newPersistConn(conn, &Pool{})
	p.put(address, c, time.Hour)
	expiry := c.reuseUntil
	withdrawn := errors.New("withdrawn")
	if _, err := p.Send(t.Context(), address, func() (*Request, error) { return nil, withdrawn }); !errors.Is(err, ErrCancelled) {
		t.Fatalf("got error %v", err)
	}
	if d := c.reuseUntil.Sub(expiry).Abs(); p.take(address) != c || d > time.Minute {
		t.Errorf("the connection expires %s from its former time", d)
	}
}
