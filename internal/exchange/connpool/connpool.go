// Package connpool keeps connections to targets and exchanges one request at a
// time on each. Unlike the transport of net/http it repeats nothing by
// itself and tells for certain whether a request was sent.
package connpool

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"egretproxy/internal/wire/liveness"
)

const (
	// dialTimeout bounds the setup of a connection. Handshakes take a few
	// milliseconds, plus the queues of links on the way.
	dialTimeout = 500 * time.Millisecond
	// hedgeDelay is when a second attempt begins. It is above the delay of
	// links that still bear requests.
	hedgeDelay = 150 * time.Millisecond
	// defaultIdleTimeout is how long a connection is kept if the target names no
	// time-out.
	defaultIdleTimeout = 4 * time.Second
	// maxIdleTimeout bounds what targets name.
	maxIdleTimeout = 30 * time.Second
	// readBufferBytes holds an answer's header and a few events.
	readBufferBytes = 4 << 10
)

// persistConn is one connection.
type persistConn struct {
	conn net.Conn
	br   *bufio.Reader
	// exchanges counts the exchanges begun.
	exchanges int
	// reuseUntil is when the line may no longer be reused.
	reuseUntil time.Time
}

// Pool keeps the connections to all targets. The zero value is empty. It is
// safe for concurrent use.
type Pool struct {
	// OnDial is called for each new connection, if set.
	OnDial func(address string, took time.Duration, err error)

	mu sync.Mutex
	// idleTimeout holds the unused lines by address, the last used one last.
	idle map[string][]*persistConn
}

// take returns a kept line that is still sound, or nil.
func (p *Pool) take(address string) *persistConn {
	for {
		p.mu.Lock()
		lines := p.idle[address]
		if len(lines) == 0 {
			p.mu.Unlock()
			return nil
		}
		l := lines[len(lines)-1]
		p.idle[address] = lines[:len(lines)-1]
		p.mu.Unlock()
		if l.usable() {
			return l
		}
		_ = l.conn.Close()
	}
}

// usable reports whether nothing arrived and the target has not closed.
func (l *persistConn) usable() bool {
	if time.Now().After(l.reuseUntil) || l.br.Buffered() > 0 {
		return false
	}
	raw, err := l.conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, err := syscall.Read(int(fd), b[:])
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// abort resets the connection, so that a request that still waits on the way
// is dropped and the target learns at once that nobody wants it.
func (l *persistConn) abort() {
	if c, ok := l.conn.(*net.TCPConn); ok {
		_ = c.SetLinger(0)
	}
	_ = l.conn.Close()
}

func (p *Pool) dial(ctx context.Context, address string) (*persistConn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	began := time.Now()
	c, err := dialHedged(ctx, address)
	if p.OnDial != nil {
		p.OnDial(address, time.Since(began), err)
	}
	if err != nil {
		return nil, err
	}
	return &persistConn{conn: c, br: bufio.NewReaderSize(c, readBufferBytes)}, nil
}

// dialResult is the end of one attempt to connect.
type dialResult struct {
	conn net.Conn
	err  error
}

// dialHedged makes a second attempt if the first one takes long, since a lost
// opening packet is sent again only after a second. The first connection that
// stands is taken.
func dialHedged(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan dialResult, 2)
	attempt := func() {
		c, err := liveness.Dialer().DialContext(ctx, "tcp", address)
		ends <- dialResult{c, err}
	}
	go attempt()
	pending := 1
	again := time.NewTimer(hedgeDelay)
	defer again.Stop()
	for {
		select {
		case <-again.C:
			pending++
			go attempt()
		case d := <-ends:
			pending--
			if d.err != nil && pending > 0 {
				continue
			}
			if pending > 0 {
				go closeLateConn(ends)
			}
			return d.conn, d.err
		}
	}
}

// closeLateConn closes the connection of an attempt that nobody waits for.
func closeLateConn(ends <-chan dialResult) {
	if d := <-ends; d.err == nil {
		_ = d.conn.Close()
	}
}

func (p *Pool) put(address string, l *persistConn, idle time.Duration) {
	l.reuseUntil = time.Now().Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*persistConn{}
	}
	p.idle[address] = append(p.idle[address], l)
}

// CloseExpired closes the lines that may no longer be reused.
func (p *Pool) CloseExpired() {
	now := time.Now()
	p.mu.Lock()
	var closing []*persistConn
	for a, lines := range p.idle {
		kept := lines[:0]
		for _, l := range lines {
			if now.After(l.reuseUntil) {
				closing = append(closing, l)
				continue
			}
			kept = append(kept, l)
		}
		p.idle[a] = kept
		if len(kept) == 0 {
			delete(p.idle, a)
		}
	}
	p.mu.Unlock()
	for _, l := range closing {
		_ = l.conn.Close()
	}
}

// CloseIdle closes all unused lines to the address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	lines := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, l := range lines {
		_ = l.conn.Close()
	}
}
