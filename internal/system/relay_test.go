package system_test

import (
	"io"
	"net"
	"sync"
	"testing"
)

// relay passes connections on to an address until it is cut off. Then it
// swallows everything without a word, as a silent partition does.
type relay struct {
	l  net.Listener
	to string

	mu  sync.Mutex
	cut bool
}

func newRelay(t *testing.T, to string) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{l: l, to: to}
	t.Cleanup(func() { _ = l.Close() })
	go r.accept()
	return r
}

func (r *relay) address() string { return r.l.Addr().String() }

func (r *relay) setCut(v bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = v
}

func (r *relay) isCut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut
}

func (r *relay) accept() {
	for {
		c, err := r.l.Accept()
		if err != nil {
			return
		}
		d, err := net.Dial("tcp", r.to)
		if err != nil {
			_ = c.Close()
			continue
		}
		go r.pass(c, d)
		go r.pass(d, c)
	}
}

func (r *relay) pass(from, to net.Conn) {
	defer func() { _ = from.Close() }()
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !r.isCut() {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				return
			}
			return
		}
	}
}
