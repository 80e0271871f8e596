package connpool

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// endlessBytes is what an endless target sends at most. A reader without
	// a limit takes all of it.
	endlessBytes = 64 << 20
	// kernelBytes bounds what may be in the buffers of a closed connection.
	kernelBytes = 24 << 20
	hangGuard   = 30 * time.Second
)

// endlessTarget sends prefix and then repeats part after each request, until
// the caller closes the connection.
type endlessTarget struct {
	net.Listener
	sent atomic.Int64
	// ended is closed when the caller has reset the connection or taken
	// endlessBytes.
	ended chan struct{}
}

func newEndlessTarget(t *testing.T, prefix, part string) *endlessTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &endlessTarget{Listener: l, ended: make(chan struct{})}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer close(s.ended)
		defer func() { _ = c.Close() }()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		block := []byte(strings.Repeat(part, max(4096/len(part), 1)))
		_, err = io.WriteString(c, prefix)
		for err == nil && s.sent.Load() < endlessBytes {
			var n int
			n, err = c.Write(block)
			s.sent.Add(int64(n))
		}
	}()
	return s
}

// TestHoldsEndlessHeaderIsAborted checks each part of a response that precedes
// or frames its body. A target that sends one without end took memory without
// limit and held the request to its deadline.
func TestHoldsEndlessHeaderIsAborted(t *testing.T) {
	const own = "HTTP/1.1 200 OK\r\nAttempt: 1\r\n"
	const other = "HTTP/1.1 200 OK\r\nAttempt: 0\r\n"
	for _, c := range []struct{ name, prefix, part string }{
		{"no protocol", "", "\x00"},
		{"status line", "HTTP/1.1 200 ", "x"},
		{"field name", own, "x"},
		{"field value", own + "X: ", "x"},
		{"fields", own, "X: y\r\n"},
		{"continuation lines", own + "X: y\r\n", " z\r\n"},
		{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"fields of an interim response", "HTTP/1.1 103 Early Hints\r\n", "Link: y\r\n"},
		{"switched protocol", "HTTP/1.1 101 Switching Protocols\r\n\r\n", "\x81\x7e"},
		{"answers of other requests", "", other + "Content-Length: 2\r\n\r\nno"},
		{"chunked answer of another request", other + "Transfer-Encoding: chunked\r\n\r\n", "2\r\nno\r\n"},
		{"long answer of another request", other + "Content-Length: 1099511627776\r\n\r\n", "x"},
		{"unframed answer of another request", other + "\r\n", "x"},
		{"chunk length", own + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		{"chunk extension", own + "Transfer-Encoding: chunked\r\n\r\n2;", "x"},
		{"trailer", own + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "X: y\r\n"},
		{"trailer value", own + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: ", "y"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newEndlessTarget(t, c.prefix, c.part)
			var p Pool
			if body, err := send(t, &p, s.Addr().String()); err == nil {
				t.Errorf("got a complete response: %.100q", body)
			}
			select {
			case <-s.ended:
			case <-time.After(hangGuard):
				t.Error("connection was not closed")
			}
			if n := s.sent.Load(); n > kernelBytes {
				t.Errorf("read about %d MiB of the response", n>>20)
			}
		})
	}
}

// countingReader counts the bytes that are read.
type countingReader struct {
	io.Reader
	read int
}

// Read implements io.Reader.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.read += n
	return n, err
}

// TestHoldsDiscardIsBounded guards against reading, or waiting for, the body of
// a response that is not needed: the target may send it without end.
func TestHoldsDiscardIsBounded(t *testing.T) {
	s := newEndlessTarget(t, "HTTP/1.1 503 Full\r\nAttempt: 1\r\nContent-Length: 1099511627776\r\n\r\n", "x")
	var p Pool
	response, err := p.Send(t.Context(), s.Addr().String(), buildFunc(request("1")))
	if err != nil {
		t.Fatal(err)
	}
	// The rest of the body is there at once.
	body := &countingReader{Reader: strings.NewReader(strings.Repeat("x", endlessBytes))}
	response.Body = body
	response.Discard()
	response.Close()
	if body.read > 1<<20 {
		t.Errorf("read %d bytes", body.read)
	}
	select {
	case <-s.ended:
	case <-time.After(hangGuard):
		t.Error("connection was not closed")
	}
	if p.take(s.Addr().String()) != nil {
		t.Error("connection was kept after an incomplete response")
	}
}

// TestDiscardedResponseKeepsConnection guards against a new connection for each
// request that a target declines.
func TestDiscardedResponseKeepsConnection(t *testing.T) {
	s := newTarget(t, func(int32, *http.Request) string { return completeResponse })
	var p Pool
	for range 3 {
		response, err := p.Send(t.Context(), s.Addr().String(), buildFunc(request("1")))
		if err != nil {
			t.Fatal(err)
		}
		response.Discard()
		response.Close()
	}
	if n := s.conns.Load(); n != 1 {
		t.Errorf("%d connections", n)
	}
}
