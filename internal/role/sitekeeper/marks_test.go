package sitekeeper

import (
	"context"
	"net"
	"testing"
	"time"
)

// TestHoldsAcceptOrderDatesConnections guards against orders that are dated by when their
// connection is accepted: one that waited in the listener's queue looked newer than the
// orders that were acknowledged meanwhile.
func TestHoldsAcceptOrderDatesConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	var m markLog
	address := l.Addr().String()
	dial := func() {
		t.Helper()
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	accept := func() orderDate {
		t.Helper()
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return m.accept(c.RemoteAddr())
	}
	mark := func(position uint64) <-chan error {
		t.Helper()
		placed := make(chan error, 1)
		go func() { placed <- m.place(ctx, address, orderDate{position: position}) }()
		select {
		case err := <-placed:
			t.Fatalf("a mark counts before it is accepted, error %v", err)
		case <-time.After(100 * time.Millisecond):
		}
		return placed
	}

	dial()
	if got := accept().position; got != 0 {
		t.Errorf("position %d before the first mark, want 0", got)
	}
	dial()
	first := mark(10)
	if got := accept().position; got != 0 {
		t.Errorf("position %d of a connection that was opened before the first mark, want 0", got)
	}
	accept()
	if err := <-first; err != nil {
		t.Fatal(err)
	}
	dial()
	second := mark(13)
	if got := accept().position; got != 10 {
		t.Errorf("position %d of a connection that waited while the position advanced, want 10", got)
	}
	accept()
	if err := <-second; err != nil {
		t.Fatal(err)
	}
	dial()
	if got := accept().position; got != 13 {
		t.Errorf("position %d of a connection that was opened after the mark, want 13", got)
	}
}

// TestFreshenWaitsForAMark guards against 503 for an order that its operator sends on a new
// connection right after an acknowledged one to the contrary.
func TestFreshenWaitsForAMark(t *testing.T) {
	var m markLog
	m.freshen(t.Context(), time.Hour) // No marks are placed.
	m.setPlacing(true)
	wanted := m.nextWanted()
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.freshen(t.Context(), time.Hour)
	}()
	<-wanted
	peer := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1}
	m.begin()
	m.accept(peer)
	if arrived, _ := m.arrived(peer, orderDate{at: time.Hour}); !arrived {
		t.Error("a mark that was accepted has not arrived")
	}
	<-done
	if m.last.at != time.Hour {
		t.Errorf("freshen ended at %v", m.last.at)
	}
}
