package system_test

import (
	"io"
	"net"
	"sync"
	"testing"
)

// tcpProxy forwards TCP connections to a backend. While blackhole is set, it
// keeps the connections open and discards the data in both directions, as a
// network partition without resets does. mu guards blackhole.
type tcpProxy struct {
	listener net.Listener
	backend  string

	mu        sync.Mutex
	blackhole bool
}

func newTCPProxy(t *testing.T, backend string) *tcpProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &tcpProxy{listener: listener, backend: backend}
	t.Cleanup(func() { _ = listener.Close() })
	go p.accept()
	return p
}

func (p *tcpProxy) address() string { return p.listener.Addr().String() }

func (p *tcpProxy) setBlackhole(v bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blackhole = v
}

func (p *tcpProxy) isBlackhole() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.blackhole
}

func (p *tcpProxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.backend)
		if err != nil {
			_ = client.Close()
			continue
		}
		go p.forward(client, server)
		go p.forward(server, client)
	}
}

func (p *tcpProxy) forward(from, to net.Conn) {
	defer func() { _ = from.Close() }()
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.isBlackhole() {
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
