package forward_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"egretproxy/internal/wire/forward"
)

// TestInvalidStatusIsNoResponse covers a server whose second response has a status
// that no final response has. Its connection is not used again.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000 OK", "099 OK", "101 Switching Protocols"} {
		for _, body := range []string{"Content-Length: 0\r\n\r\n", "Content-Length: 2\r\n\r\nno"} {
			var conns, requests atomic.Int64
			address := serveRaw(t, &conns, func() string {
				if requests.Add(1) == 2 {
					return "HTTP/1.1 " + status + "\r\n" + body
				}
				return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
			})
			client := forward.Client(nil, time.Minute, false)
			for i, valid := range []bool{true, false, true} {
				r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address, http.NoBody)
				if err != nil {
					t.Fatal(err)
				}
				res, err := client.Do(r)
				if (err == nil) != valid {
					t.Errorf("%s: response %d is %v, error %v", status, i, res, err)
				}
				if err == nil {
					_ = res.Body.Close()
				}
			}
			if n := conns.Load(); n != 2 {
				t.Errorf("%s: %d connections, want 2", status, n)
			}
			client.CloseIdleConnections()
		}
	}
}

// serveRaw answers each request with the bytes that answer returns.
func serveRaw(t *testing.T, conns *atomic.Int64, answer func() string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				br := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(c, answer())
				}
			}()
		}
	}()
	return l.Addr().String()
}
