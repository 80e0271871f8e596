// Package lines keeps connections to targets and exchanges one request at a
// time on each. Unlike the transport of net/http it repeats nothing by
// itself and tells for certain whether a request was sent.
package lines

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
	// dialAgain is when a second attempt begins. It is above the delay of
	// links that still bear requests.
	dialAgain = 150 * time.Millisecond
	// defaultIdle is how long a connection is kept if the target names no
	// time-out.
	defaultIdle = 4 * time.Second
	// maxIdle bounds what targets name.
	maxIdle = 30 * time.Second
	// readBuffer holds an answer's header and a few events.
	readBuffer = 4 << 10
)

// line is one connection.
type line struct {
	conn net.Conn
	br   *bufio.Reader
	// used counts the exchanges begun.
	used int
	// until is when the line may no longer be reused.
	until time.Time
}

// Pool keeps the connections to all targets. The zero value is empty. It is
// safe for concurrent use.
type Pool struct {
	// OnDial is called for each new connection, if set.
	OnDial func(address string, took time.Duration, err error)

	mu sync.Mutex
	// idle holds the unused lines by address, the last used one last.
	idle map[string][]*line
}

// take returns a kept line that is still sound, or nil.
func (p *Pool) take(address string) *line {
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
		if l.sound() {
			return l
		}
		_ = l.conn.Close()
	}
}

// sound reports whether nothing arrived and the target has not closed.
func (l *line) sound() bool {
	if time.Now().After(l.until) || l.br.Buffered() > 0 {
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
func (l *line) abort() {
	if c, ok := l.conn.(*net.TCPConn); ok {
		_ = c.SetLinger(0)
	}
	_ = l.conn.Close()
}

func (p *Pool) dial(ctx context.Context, address string) (*line, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	began := time.Now()
	c, err := dialTwice(ctx, address)
	if p.OnDial != nil {
		p.OnDial(address, time.Since(began), err)
	}
	if err != nil {
		return nil, err
	}
	return &line{conn: c, br: bufio.NewReaderSize(c, readBuffer)}, nil
}

// dialed is the end of one attempt to connect.
type dialed struct {
	conn net.Conn
	err  error
}

// dialTwice makes a second attempt if the first one takes long, since a lost
// opening packet is sent again only after a second. The first connection that
// stands is taken.
func dialTwice(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan dialed, 2)
	attempt := func() {
		c, err := liveness.Dialer().DialContext(ctx, "tcp", address)
		ends <- dialed{c, err}
	}
	go attempt()
	pending := 1
	again := time.NewTimer(dialAgain)
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
				go closeLate(ends)
			}
			return d.conn, d.err
		}
	}
}

// closeLate closes the connection of an attempt that nobody waits for.
func closeLate(ends <-chan dialed) {
	if d := <-ends; d.err == nil {
		_ = d.conn.Close()
	}
}

func (p *Pool) put(address string, l *line, idle time.Duration) {
	l.until = time.Now().Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*line{}
	}
	p.idle[address] = append(p.idle[address], l)
}

// Sweep closes the lines that may no longer be reused.
func (p *Pool) Sweep() {
	now := time.Now()
	p.mu.Lock()
	var closing []*line
	for a, lines := range p.idle {
		kept := lines[:0]
		for _, l := range lines {
			if now.After(l.until) {
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

// Forget closes all unused lines to the address.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	lines := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, l := range lines {
		_ = l.conn.Close()
	}
}
