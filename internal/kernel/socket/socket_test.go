package socket

import (
	"io"
	"net"
	"testing"
	"time"
)

// connect returns both ends of a connection.
func connect(t *testing.T) (local, peer *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	s, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = s.Close(), c.Close() })
	return s.(*net.TCPConn), c.(*net.TCPConn)
}

// TestUnackedCountsWhatThePeerLacks checks that bytes beyond the peer's receive
// window are counted, and none that its system has.
func TestUnackedCountsWhatThePeerLacks(t *testing.T) {
	local, _ := connect(t)
	if n := Unacked(Raw(local)); n != 0 {
		t.Errorf("%d bytes before any was written", n)
	}
	if _, err := local.Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	for Unacked(Raw(local)) != 0 {
		time.Sleep(time.Millisecond)
	}
	_ = local.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
	if _, err := local.Write(make([]byte, 64<<20)); err == nil {
		t.Fatal("all bytes were taken, though the peer reads none")
	}
	if Unacked(Raw(local)) == 0 {
		t.Error("nothing is counted behind a full window")
	}
}

// TestArrivalsTellBytesFromEnd checks that the end of a connection is not taken
// for bytes of a request.
func TestArrivalsTellBytesFromEnd(t *testing.T) {
	local, peer := connect(t)
	if _, err := peer.Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	const apart = 150 * time.Millisecond
	time.Sleep(apart)
	_ = peer.Close()
	for !Ended(Raw(local)) && Unread(Raw(local)) < len("request") {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(apart / 3)
	data, packet := Arrivals(Raw(local))
	if data < apart || packet == 0 || data-packet < apart/2 {
		t.Errorf("bytes came %v ago, the latest packet %v, want at least %v between", data, packet, apart/2)
	}
}

// TestHoldsEndIsSeenWhateverCameBefore guards against a caller whose end is not seen
// because unread bytes stand before it, or because it is an error of another kind.
func TestHoldsEndIsSeenWhateverCameBefore(t *testing.T) {
	write := func(c *net.TCPConn) { _, _ = c.Write([]byte("x")) }
	reset := func(c *net.TCPConn) { _, _ = c.SetLinger(0), c.Close() }
	for name, c := range map[string]struct {
		peer  func(local, peer *net.TCPConn)
		ended bool
	}{
		"open":         {func(_, _ *net.TCPConn) {}, false},
		"bytes":        {func(_, peer *net.TCPConn) { write(peer) }, false},
		"end":          {func(_, peer *net.TCPConn) { _ = peer.Close() }, true},
		"half closed":  {func(_, peer *net.TCPConn) { _ = peer.CloseWrite() }, true},
		"bytes, end":   {func(_, peer *net.TCPConn) { write(peer); _ = peer.Close() }, true},
		"reset":        {func(_, peer *net.TCPConn) { reset(peer) }, true},
		"bytes, reset": {func(_, peer *net.TCPConn) { write(peer); reset(peer) }, true},
		"end, reset": {func(local, peer *net.TCPConn) {
			_ = peer.Close()
			time.Sleep(20 * time.Millisecond)
			write(local)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			local, peer := connect(t)
			c.peer(local, peer)
			for deadline := time.Now().Add(300 * time.Millisecond); time.Now().Before(deadline) && !Ended(Raw(local)); {
				time.Sleep(time.Millisecond)
			}
			for i := range 3 {
				if got := Ended(Raw(local)); got != c.ended {
					t.Errorf("question %d: ended is %v, want %v", i, got, c.ended)
				}
			}
		})
	}
}

// TestEndIsSeenByRead checks the way to see an end where the system doesn't report
// one behind unread bytes: it never takes bytes for an end.
func TestEndIsSeenByRead(t *testing.T) {
	for name, c := range map[string]struct {
		peer  func(peer *net.TCPConn)
		ended bool
	}{
		"open":  {func(*net.TCPConn) {}, false},
		"bytes": {func(peer *net.TCPConn) { _, _ = peer.Write([]byte("x")) }, false},
		"end":   {func(peer *net.TCPConn) { _ = peer.Close() }, true},
		"reset": {func(peer *net.TCPConn) { _, _ = peer.SetLinger(0), peer.Close() }, true},
	} {
		local, peer := connect(t)
		c.peer(peer)
		time.Sleep(50 * time.Millisecond)
		if err := Raw(local).Control(func(fd uintptr) {
			if got := endedByRead(int(fd)); got != c.ended {
				t.Errorf("%s: ended is %v, want %v", name, got, c.ended)
			}
		}); err != nil {
			t.Error(err)
		}
	}
}

// TestReceiveBufferBoundsUnreadBytes checks what waits at a connection before it is accepted, with the
// limit of its listener, and after the limit was raised.
func TestReceiveBufferBoundsUnreadBytes(t *testing.T) {
	const limit, raised = 16 << 10, 256 << 10
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	if err := SetReceiveBuffer(Raw(l), limit); err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	fill := func() {
		_ = c.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
		_, _ = c.Write(make([]byte, 16<<20))
	}
	fill()
	s, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	if n := Unread(Raw(s)); n == 0 || n > limit {
		t.Errorf("%d bytes wait at a connection that was not accepted, want at most %d", n, limit)
	}
	if err := RaiseReceiveBuffer(Raw(s), raised); err != nil {
		t.Fatal(err)
	}
	go fill()
	if _, err := io.CopyN(io.Discard, s, limit); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(10 * time.Second); Unread(Raw(s)) <= limit && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	if n := Unread(Raw(s)); n <= limit || n > raised {
		t.Errorf("%d bytes wait at a connection with the raised limit, want %d to %d", n, limit, raised)
	}
}
