package system_test

import (
	"io"
	"net"
	"sync"
	"testing"
)

// tcpProxy passes connections on to an address until it is cut off. Then it
// swallows everything without a word, as a silent partition does.
type tcpProxy struct {
	listener net.Listener
	backend  string

	mu        sync.Mutex
	blackhole bool
}

func newTCPProxy(t *testing.T, to string) *tcpProxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &tcpProxy{listener: l, backend: to}
	t.Cleanup(func() { _ = l.Close() })
	go r.accept()
	return r
}

func (r *tcpProxy) address() string { return r.listener.Addr().String() }

func (r *tcpProxy) setBlackhole(v bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blackhole = v
}

func (r *tcpProxy) isBlackhole() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.blackhole
}

func (r *tcpProxy) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		d, err := net.Dial("tcp", r.backend)
		if err != nil {
			_ = c.Close()
			continue
		}
		go r.forward(c, d)
		go r.forward(d, c)
	}
}

func (r *tcpProxy) forward(from, to net.Conn) {
	defer func() { _ = from.Close() }()
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !r.isBlackhole() {
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
