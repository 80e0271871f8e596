package siteentry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// unreadBytes exceeds what both ends of a connection hold.
const unreadBytes = 48 << 20

// TestUnreadResponseEnds has a caller that doesn't read its response. Once its time is
// over the entry holds nothing for it any more.
func TestUnreadResponseEnds(t *testing.T) {
	_, address := startTarget(t, func(w io.Writer, r *http.Request) {
		_, _ = io.WriteString(w, head(r, "200 OK", fmt.Sprintf("Content-Length: %d", unreadBytes)))
		_, _ = w.Write(make([]byte, unreadBytes))
	})
	te := startEntry(t, address)
	c, err := net.Dial("tcp", te.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	// The server waits for its handlers.
	defer te.Close()
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "POST /x HTTP/1.1\r\nHost: read\r\nKey: secret\r\nAttempt: a1\r\nDeadline: 500\r\nContent-Length: 0\r\n\r\n")
	begun := false
	for end := time.Now().Add(30 * time.Second); !begun || te.entry.active.Load() > 0; time.Sleep(10 * time.Millisecond) {
		begun = begun || te.entry.active.Load() > 0
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for the request to end, begun %v", begun)
		}
	}
}
