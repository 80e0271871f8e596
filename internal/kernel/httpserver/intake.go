package httpserver

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"egretproxy/internal/admission/intake"
)

// Refusal is the response to a request whose body was not taken. Both statuses
// promise that it has not run.
type Refusal struct {
	Status int
	Reason string
}

// BodyRefusal returns the response to a request whose body could not be read, or
// false if the error has another reason.
func BodyRefusal(err error) (Refusal, bool) {
	switch {
	case errors.Is(err, intake.ErrFull):
		return Refusal{http.StatusServiceUnavailable, "NoRoom"}, true
	case errors.Is(err, intake.ErrStalled):
		return Refusal{http.StatusRequestTimeout, "Stalled"}, true
	}
	return Refusal{}, false
}

// body counts what has arrived of a request's body.
type body struct {
	io.ReadCloser
	conn  *conn
	claim *intake.Claim
	// refused is the error after which nothing more is read.
	refused error
	// bytes have been read.
	bytes int
}

// Read implements io.Reader. Its errors include those of an intake.
func (b *body) Read(p []byte) (int, error) {
	if b.refused != nil {
		return 0, b.refused
	}
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.conn.received()
		b.claim.Whole()
	} else if err != nil && b.claim.Stalled() {
		err = intake.ErrStalled
	}
	if n > 0 {
		if refused := b.claim.Add(n); refused != nil {
			n, err = 0, refused
		}
	}
	if err == nil {
		b.conn.intake.Grow(b.conn, b.conn.Conn, int64(b.bytes), int64(b.bytes+n))
	}
	b.bytes += n
	if errors.Is(err, intake.ErrFull) || errors.Is(err, intake.ErrStalled) {
		b.refused = err
	}
	return n, err
}

// receive returns the body of a request that counts, or nil if the request has none.
func (c *conn) receive(r *http.Request) *body {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Body == nil || r.Body == http.NoBody {
		c.receiving = false
		if c.claim != nil {
			c.claim.Whole()
		}
		return nil
	}
	if c.claim == nil {
		// The header came with the request before.
		c.claim = c.intake.Claim(c.interrupt)
		c.receivingFrom = time.Now()
	}
	c.receiving = true
	return &body{ReadCloser: r.Body, conn: c, claim: c.claim}
}

// received records that the whole request has arrived.
func (c *conn) received() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving = false
}

// release returns the room of the request that was handled. It requires mu.
func (c *conn) release() {
	c.receiving = false
	if c.claim != nil {
		c.claim.Release()
		c.claim = nil
	}
}

// interrupt ends the read that waits for more of a request.
func (c *conn) interrupt() { _ = c.Conn.SetReadDeadline(time.Unix(1, 0)) }

// Use implements intake.Conn.
func (c *conn) Use() (intake.Use, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.receiving:
		return intake.Receiving, c.receivingFrom
	case c.writing:
		return intake.Unread, c.writingFrom
	case c.state == http.StateActive || c.unanswered:
		return intake.Serving, c.lastUsed
	case c.keepAlive == 0 || time.Since(c.lastUsed) < c.expiry(c.keepAlive):
		return intake.Idle, c.lastUsed
	}
	return intake.Expired, c.lastUsed
}

// Drop implements intake.Conn.
func (c *conn) Drop() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	_ = c.Conn.Close()
}
