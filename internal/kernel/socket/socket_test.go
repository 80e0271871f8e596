package socket

import (
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
