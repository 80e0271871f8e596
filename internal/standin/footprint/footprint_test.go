package footprint

import (
	"net"
	"os"
	"testing"
	"time"
)

// TestUnreadBytesCount has a listener that accepts nothing, and bytes that wait there.
func TestUnreadBytesCount(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	f := Watch(os.Getpid(), l.Addr().String())
	defer f.Stop()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	const sent = 20_000
	if _, err := c.Write(make([]byte, sent)); err != nil {
		t.Fatal(err)
	}
	for {
		n, err := f.unreadBytes()
		if err != nil {
			t.Fatal(err)
		}
		if n == sent {
			break
		}
		time.Sleep(time.Millisecond)
	}
	f.sample()
	if resident, unread, err := f.Peak(); err != nil || resident <= 0 || unread > sent {
		t.Errorf("resident %d, unread %d, %v, want some and at most %d", resident, unread, err, sent)
	}
}
