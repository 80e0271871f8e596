// Package connpool keeps persistent connections to targets and exchanges one
// request at a time on each. Unlike the transport of net/http it never
// retries by itself, and its errors state reliably whether a request was
// sent.
package connpool

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"egretproxy/internal/kernel/socket"
	"egretproxy/internal/wire/liveness"
)

const (
	// dialTimeout limits the setup of a connection. Handshakes take a few
	// milliseconds plus the queueing delay of the links in between.
	dialTimeout = 500 * time.Millisecond
	// hedgeDelay is the time after which a second connection attempt starts.
	// It exceeds the delay of links that still carry requests.
	hedgeDelay = 150 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the target
	// announces no timeout.
	defaultIdleTimeout = 4 * time.Second
	// maxIdleTimeout limits the timeout that targets announce.
	maxIdleTimeout = 30 * time.Second
	// arrivedTimeout limits how long an abort waits until what has arrived is
	// read. A reader that runs takes far less.
	arrivedTimeout      = time.Second
	arrivedPollInterval = time.Millisecond
	// readBufferBytes fits the header of a response and a few events.
	readBufferBytes = 4 << 10
)

// persistConn is one persistent connection.
type persistConn struct {
	conn net.Conn
	// br reads from conn through limit.
	br    *bufio.Reader
	limit *limitedReader
	// received counts the bytes read from the socket.
	received atomic.Int64
	// unacked counts the bytes that the target's system lacked at an abort.
	unacked atomic.Int64
	// exchanges counts the exchanges started.
	exchanges int
	// reuseUntil is the time after which the connection must not be reused.
	reuseUntil time.Time
	pool       *Pool
	closeOnce  sync.Once
}

// Pool keeps the connections to all targets. The zero value is an empty pool.
// It is safe for concurrent use.
type Pool struct {
	// OnDial, if set, is called after each connection attempt.
	OnDial func(address string, took time.Duration, err error)
	// Limit bounds the connections to all targets, idle ones included. 0 means that
	// there is no limit.
	Limit int

	mu sync.Mutex
	// open counts the connections that are open or about to be.
	open int
	// waiting holds a channel for each exchange that needs a connection beyond the
	// limit, in order. It is closed when its turn comes.
	waiting []chan struct{}
	// idle holds the unused connections by address, the most recently used
	// one last.
	idle map[string][]*persistConn
}

// take returns an idle connection that is still usable, or nil.
func (p *Pool) take(address string) *persistConn {
	for {
		p.mu.Lock()
		conns := p.idle[address]
		if len(conns) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := conns[len(conns)-1]
		p.idle[address] = conns[:len(conns)-1]
		p.mu.Unlock()
		if c.usable() {
			return c
		}
		c.close()
	}
}

// usable reports whether the connection has not expired, has no unread data
// and has not been closed by the target.
func (c *persistConn) usable() bool {
	if time.Now().After(c.reuseUntil) || c.br.Buffered() > 0 {
		return false
	}
	raw, err := c.conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, err := syscall.Read(int(fd), b[:])
		idle = err == syscall.EAGAIN
		return true
	})
	return err == nil && idle
}

// Read implements io.Reader.
func (c *persistConn) Read(p []byte) (int, error) {
	n, err := c.conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// abort ends an exchange that was cancelled. What has arrived is read first:
// after a pause of the process the timer that cancels an exchange may run before
// a response that was in time is read.
func (c *persistConn) abort() {
	if raw := socket.Raw(c.conn); raw != nil {
		c.unacked.Store(int64(socket.Unacked(raw)))
	}
	c.awaitArrived()
	c.reset()
}

// reset closes the connection with a reset, so that unsent data is dropped and
// the target learns immediately that it need not send more.
func (c *persistConn) reset() {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.close()
}

// close closes the connection and returns its place in the pool.
func (c *persistConn) close() {
	c.closeOnce.Do(func() {
		_ = c.conn.Close()
		c.pool.release()
	})
}

// awaitArrived waits until the bytes that have arrived by now are read.
func (c *persistConn) awaitArrived() {
	raw := socket.Raw(c.conn)
	if raw == nil {
		return
	}
	due := c.received.Load()
	due += int64(socket.Unread(raw))
	for began := time.Now(); c.received.Load() < due && socket.Unread(raw) > 0 && time.Since(began) < arrivedTimeout; {
		time.Sleep(arrivedPollInterval)
	}
}

func (p *Pool) dial(ctx context.Context, address string) (*persistConn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if err := p.reserve(ctx); err != nil {
		return nil, err
	}
	began := time.Now()
	c, err := dialHedged(ctx, address)
	if p.OnDial != nil {
		p.OnDial(address, time.Since(began), err)
	}
	if err != nil {
		p.release()
		return nil, err
	}
	return newPersistConn(c, p), nil
}

// endTime is how long a new connection to a target must last to show that the target has
// not ended. The system of a process that ends closes its connections before its
// listener, which takes connections until then.
const endTime = 100 * time.Millisecond

// HasEnded reports whether the target at the address has ended: nothing accepts
// connections there any more, or one that is established ends at once. One that lasts is
// kept for the next request.
func (p *Pool) HasEnded(ctx context.Context, address string) bool {
	c, err := p.dial(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	}
	var b [1]byte
	_ = c.conn.SetReadDeadline(time.Now().Add(endTime))
	n, err := c.conn.Read(b[:])
	_ = c.conn.SetReadDeadline(time.Time{})
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		p.putUnused(address, c)
		return false
	}
	// Bytes that belong to no request make the connection useless.
	c.reset()
	return n == 0
}

func newPersistConn(c net.Conn, p *Pool) *persistConn {
	out := &persistConn{conn: c, pool: p}
	out.limit = &limitedReader{r: out}
	out.br = bufio.NewReaderSize(out.limit, readBufferBytes)
	return out
}

// dialResult is the result of one connection attempt.
type dialResult struct {
	conn net.Conn
	err  error
}

// dialHedged starts a second attempt if the first one takes longer than
// hedgeDelay, because a lost SYN is retransmitted only after a second. It
// returns the first connection established.
func dialHedged(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan dialResult, 2)
	attempt := func() {
		c, err := liveness.Dialer().DialContext(ctx, "tcp", address)
		results <- dialResult{c, err}
	}
	go attempt()
	pending := 1
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	for {
		select {
		case <-hedge.C:
			pending++
			go attempt()
		case d := <-results:
			pending--
			if d.err != nil && pending > 0 {
				continue
			}
			if pending > 0 {
				go closeLateConn(results)
			}
			return d.conn, d.err
		}
	}
}

// closeLateConn closes the connection of the attempt that was not used.
func closeLateConn(results <-chan dialResult) {
	if d := <-results; d.err == nil {
		_ = d.conn.Close()
	}
}

func (p *Pool) put(address string, c *persistConn, idle time.Duration) {
	c.reuseUntil = time.Now().Add(idle)
	if !p.keep(address, c) {
		c.close()
	}
}

// keep adds an idle connection, unless an exchange waits for a place.
func (p *Pool) keep(address string, c *persistConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiting) > 0 {
		return false
	}
	if p.idle == nil {
		p.idle = map[string][]*persistConn{}
	}
	p.idle[address] = append(p.idle[address], c)
	return true
}

// putUnused returns a connection that was taken and not used. The target's idle
// timer has been running meanwhile.
func (p *Pool) putUnused(address string, c *persistConn) {
	idle := defaultIdleTimeout
	if !c.reuseUntil.IsZero() {
		idle = time.Until(c.reuseUntil)
	}
	p.put(address, c, idle)
}

// CloseExpired closes the idle connections that must not be reused any more.
func (p *Pool) CloseExpired() {
	now := time.Now()
	p.mu.Lock()
	var closing []*persistConn
	for a, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.After(c.reuseUntil) {
				closing = append(closing, c)
				continue
			}
			kept = append(kept, c)
		}
		p.idle[a] = kept
		if len(kept) == 0 {
			delete(p.idle, a)
		}
	}
	p.mu.Unlock()
	for _, c := range closing {
		c.close()
	}
}

// CloseIdle closes all idle connections to the address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	conns := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range conns {
		c.close()
	}
}
