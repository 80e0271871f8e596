package siteentry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestUnfinishedBodyIsRefused sends a body that stops before its end. Once the
// caller's time is over it gets 408, and no target the request.
func TestUnfinishedBodyIsRefused(t *testing.T) {
	target, address := startTarget(t, respondWith("ok"))
	te := startEntry(t, address)
	defer te.Close()
	c, err := net.Dial("tcp", te.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(30 * time.Second))
	_, _ = io.WriteString(c, "POST /x HTTP/1.1\r\nHost: short\r\nKey: secret\r\nAttempt: a1\r\nContent-Length: 10\r\n\r\nbody")
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if res.StatusCode != http.StatusRequestTimeout || !res.Close {
		t.Errorf("response to an unfinished body: %v", res)
	}
	if got := target.requests(); len(got) != 0 {
		t.Errorf("the target got %d requests", len(got))
	}
}
