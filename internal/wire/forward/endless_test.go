package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// endlessBytes is what an endless server sends at most.
	endlessBytes = 64 << 20
	// receiveBytes bounds what a client with a limit receives.
	receiveBytes = 1 << 20
	hangGuard    = 30 * time.Second
)

// countingConn counts the bytes received.
type countingConn struct {
	net.Conn
	received *atomic.Int64
}

// Read implements io.Reader.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// countReceived makes the client count the bytes that it receives.
func countReceived(client *http.Client) *atomic.Int64 {
	received := &atomic.Int64{}
	transport := client.Transport.(*finalStatus).Transport
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		return countingConn{c, received}, err
	}
	return received
}

// TestHoldsEndlessResponseHeaderIsAborted guards against headers without end,
// which took 10 MB of memory each, the limit of net/http.
func TestHoldsEndlessResponseHeaderIsAborted(t *testing.T) {
	for _, c := range []struct{ name, prefix, part string }{
		{"no protocol", "", "\x00"},
		{"status line", "HTTP/1.1 200 ", "x"},
		{"field", "HTTP/1.1 200 OK\r\nX: ", "x"},
		{"fields", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"},
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			conn, err := l.Accept()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
				return
			}
			_, err = io.WriteString(conn, c.prefix)
			block := strings.Repeat(c.part, 4096/len(c.part))
			for n := 0; err == nil && n < endlessBytes; n += len(block) {
				_, err = io.WriteString(conn, block)
			}
		}()
		client := Client(nil, time.Second, true)
		received := countReceived(client)
		client.Timeout = hangGuard
		resp, err := client.Get("http://" + l.Addr().String())
		if err == nil {
			_ = resp.Body.Close()
			t.Errorf("%s: got a response", c.name)
		}
		<-done
		_ = l.Close()
		if n := received.Load(); n > receiveBytes {
			t.Errorf("%s: received %d bytes", c.name, n)
		}
	}
}
