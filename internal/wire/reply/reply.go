// Package reply owns what the caller of a request has of its response, so that
// each ending fits what the caller has.
package reply

import (
	"io"
	"net/http"
	"time"
)

// progress is how much of its response a caller has.
type progress uint8

const (
	// nothing means that no header was sent.
	nothing progress = iota
	// part means that the header was sent, and any number of bytes after it.
	part
	// cut means that the rest broke off, so that the response can't end any more.
	cut
	// ended means that the response is complete or its connection aborted.
	ended
)

// Reply is the only way to send anything to the caller of a request. A whole
// response is sent only to a caller that has nothing. The connection of a caller
// that has part of a response is aborted unless its rest follows. Create one with
// New; it is for the goroutine of the handler only.
type Reply struct {
	w    http.ResponseWriter
	has  progress
	lost func()
}

// New returns a Reply of which the caller has nothing. lost is called before a
// begun response is aborted because something other than its rest comes, or
// nothing.
func New(w http.ResponseWriter, lost func()) Reply { return Reply{w: w, lost: lost} }

// Begun reports whether the caller has part of a response, whose rest must follow.
func (p *Reply) Begun() bool { return p.has == part }

// RequireNothing aborts the connection unless the caller has nothing.
func (p *Reply) RequireNothing() {
	switch p.has {
	case nothing:
	case part, cut:
		p.lost()
		p.Abort()
	case ended:
		p.Abort()
	}
}

// Respond sends a whole response, which the function writes.
func (p *Reply) Respond(write func(w http.ResponseWriter)) {
	p.RequireNothing()
	write(p.w)
	p.has = ended
}

// Begin sends a header after the function has set its fields. The body follows.
func (p *Reply) Begin(status int, setFields func(h http.Header)) {
	p.RequireNothing()
	setFields(p.w.Header())
	p.has = part
	p.w.WriteHeader(status)
}

// Send sends the next bytes of a begun response at once. An error means that the
// caller can't be reached.
func (p *Reply) Send(data []byte) error {
	p.requireBegun()
	if _, err := p.w.Write(data); err != nil {
		return err
	}
	return http.NewResponseController(p.w).Flush()
}

// SendRest sends the rest of a begun response, which is complete if there is no
// error, and can only be aborted after one.
func (p *Reply) SendRest(body io.Reader) error {
	p.requireBegun()
	if _, err := io.Copy(p.w, body); err != nil {
		p.has = cut
		return err
	}
	p.has = ended
	return nil
}

// End completes a begun response.
func (p *Reply) End() {
	p.requireBegun()
	p.has = ended
}

func (p *Reply) requireBegun() {
	if p.has != part {
		p.Abort()
	}
}

// Close must be called when the handler returns. The server would complete a
// response that has not ended, so that it is aborted.
func (p *Reply) Close() {
	switch p.has {
	case ended:
	case part, cut:
		p.lost()
		p.Abort()
	case nothing:
		p.Abort()
	}
}

// Abort closes the connection, so that the caller sees that its response is not
// complete. It does not return.
func (p *Reply) Abort() {
	p.has = ended
	panic(http.ErrAbortHandler)
}

// LimitBody limits the body that is read from the caller, in bytes. Beyond the
// limit the connection is closed after the response.
func (p *Reply) LimitBody(r *http.Request, limit int64) {
	r.Body = http.MaxBytesReader(p.w, r.Body, limit)
}

// ExpireBody ends a read of the caller's body that waits, and all later ones. Unlike
// the other methods it may be called by any goroutine.
func (p *Reply) ExpireBody() {
	// A connection that can't expire is closed by the server when its stop ends.
	_ = http.NewResponseController(p.w).SetReadDeadline(time.Unix(1, 0))
}

// LimitTime ends a write that waits for the caller to read, and all later ones, from a
// time on. It lasts until the response has ended.
func (p *Reply) LimitTime(end time.Time) {
	_ = http.NewResponseController(p.w).SetWriteDeadline(end)
}
