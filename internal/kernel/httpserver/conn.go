package httpserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"egretproxy/internal/admission/intake"
	"egretproxy/internal/kernel/socket"
)

// conn is a caller's connection. Its reads and the decision to close it are
// serialised, so that no byte that has arrived is dropped unseen.
type conn struct {
	net.Conn
	raw syscall.RawConn
	// leave ends the contexts of the connection's requests. It is nil for a
	// connection without requests.
	leave context.CancelFunc

	// mu is held while bytes are taken from the socket.
	mu sync.Mutex
	// state is the last one that net/http reported.
	state http.ConnState
	// unanswered is set by a read and cleared by a write. net/http reports a
	// connection as idle until the whole header of a request was parsed.
	unanswered bool
	// lastUsed is the time of the last read or write, or of the accept.
	lastUsed time.Time
	// watched is set while the caller's end is looked for.
	watched bool
	// closed is set before the server closes the connection.
	closed bool

	intake *intake.Intake
	// claim is the room of the request that arrives or is handled, nil without one.
	claim *intake.Claim
	// receiving is set while a part of a request is missing, since receivingFrom.
	receiving     bool
	receivingFrom time.Time
	// keepAlive is how long the caller may leave the connection idle.
	keepAlive time.Duration
	// writing is set while a part of the response is written, since writingFrom.
	writing     bool
	writingFrom time.Time
	// writeLimited is set while the response has a time limit.
	writeLimited bool
}

// Read implements io.Reader. A deadline that has passed does not hide bytes
// that have arrived, as it would after the process was suspended.
func (c *conn) Read(p []byte) (n int, err error) {
	if len(p) == 0 {
		return c.Conn.Read(p)
	}
	if c.raw == nil {
		n, err = c.Conn.Read(p)
		c.mu.Lock()
		defer c.mu.Unlock()
		if refused := c.recordRead(n); refused != nil {
			return 0, refused
		}
		return n, err
	}
	var readErr error
	take := func(fd uintptr) bool {
		n, readErr = c.take(int(fd), p)
		return readErr != syscall.EAGAIN
	}
	err = c.raw.Read(take)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if ctlErr := c.raw.Control(func(fd uintptr) { take(fd) }); ctlErr == nil && n > 0 {
			return n, nil
		}
		return 0, err
	}
	switch {
	case err != nil:
		return 0, err
	case errors.Is(readErr, intake.ErrFull), errors.Is(readErr, intake.ErrStalled):
		return 0, readErr
	case readErr != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", readErr)}
	case n == 0:
		return 0, io.EOF
	}
	if len(p) == 1 {
		c.watchEnd()
	}
	return n, nil
}

// take reads from the socket without blocking.
func (c *conn) take(fd int, p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, syscall.ECONNRESET
	}
	for {
		n, err := syscall.Read(fd, p)
		if err == syscall.EINTR {
			continue
		}
		if refused := c.recordRead(n); refused != nil {
			return 0, refused
		}
		return max(n, 0), err
	}
}

// recordRead requires mu. It returns an error if the process has no room for the
// header of a request.
func (c *conn) recordRead(n int) error {
	if n <= 0 {
		return nil
	}
	c.unanswered, c.lastUsed = true, time.Now()
	if c.state == http.StateActive || c.intake == nil {
		return nil
	}
	if c.claim == nil {
		c.claim = c.intake.Claim(c.interrupt)
		c.receiving, c.receivingFrom = true, c.lastUsed
	}
	return c.claim.Add(n)
}

// Write implements io.Writer.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.unanswered, c.lastUsed = false, time.Now()
	c.writing, c.writingFrom = true, c.lastUsed
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if c.intake != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		c.intake.Unread()
	}
	// The caller's time begins when it has the response, and a write blocks
	// while the caller does not read.
	c.mu.Lock()
	c.lastUsed = time.Now()
	c.mu.Unlock()
	return n, err
}

// SetWriteDeadline implements net.Conn. The deadline is for one response.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeLimited = !t.IsZero()
	return c.Conn.SetWriteDeadline(t)
}

// CloseWrite sends the end of the stream. net/http calls it before it closes a
// connection on which the caller is still sending, so that the response is not
// lost.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

func (c *conn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = state
	if state == http.StateIdle || state == http.StateClosed || state == http.StateHijacked {
		c.release()
	}
	if state == http.StateIdle && c.writeLimited {
		c.writeLimited = false
		_ = c.Conn.SetWriteDeadline(time.Time{})
	}
}

// retire closes the connection if its caller can't be waiting for a response
// on it, and reports whether it is closed.
func (c *conn) retire(keepAlive time.Duration) bool {
	if !c.markClosed(keepAlive) {
		return false
	}
	// The goroutine that serves the connection sees the error and releases it.
	// Close waits for a read in progress, which takes mu.
	_ = c.Conn.Close()
	return true
}

func (c *conn) markClosed(keepAlive time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return true
	}
	if c.state == http.StateActive || c.unanswered || time.Since(c.lastUsed) < c.expiry(keepAlive) || c.hasUnread() {
		return false
	}
	c.closed = true
	return true
}

// expiry returns how long after its last use a caller may still use the
// connection. It requires mu.
func (c *conn) expiry(keepAlive time.Duration) time.Duration {
	if keepAlive > 0 {
		keepAlive += keepAliveMargin
	}
	if c.state == http.StateNew {
		return max(keepAlive, newConnTimeout)
	}
	return keepAlive
}

// hasUnread reports whether bytes or the end of the connection have arrived
// that were not read. It requires mu.
func (c *conn) hasUnread() bool { return c.raw != nil && socket.Readable(c.raw) }

// addTo adds the connection to the counts.
func (c *conn) addTo(n *counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.state == http.StateActive:
		n.Active++
	case c.unanswered:
		n.Reading++
	case c.state == http.StateNew:
		n.New++
	default:
		n.Idle++
	}
	if c.hasUnread() {
		n.Unread++
	}
}
