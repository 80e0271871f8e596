package siteentry

import (
	"io"
	"maps"
	"net/http"
	"strconv"

	"egretproxy/internal/exchange/connpool"
)

// progress is how much of its response a caller has.
type progress uint8

const (
	// nothing means that no header was sent.
	nothing progress = iota
	// part means that the header was sent, and any number of bytes after it.
	part
	// ended means that the response is complete or its connection aborted.
	ended
)

// undeclared is the length of a response without a Content-Length.
const undeclared = -1

// reply owns what the caller of a request has of its response. Only through it
// does the caller get anything, so that the ending always fits what it has: a
// refusal or another response is sent only to a caller that has nothing, and the
// connection of a caller that has part of a response is aborted unless the rest
// follows.
type reply struct {
	w   http.ResponseWriter
	has progress
	// lost is called before a response is aborted because it can only continue
	// and does not.
	lost func()
}

// begun reports whether the caller has part of a response, which another run of
// the request must continue.
func (p *reply) begun() bool { return p.has == part }

// requireNothing aborts the connection unless the caller has nothing.
func (p *reply) requireNothing() {
	switch p.has {
	case nothing:
	case part:
		p.lost()
		p.abort()
	case ended:
		p.abort()
	}
}

// begin sends the target's header without the hop-by-hop fields.
func (p *reply) begin(response *connpool.Response, length int64) {
	p.requireNothing()
	h := p.w.Header()
	for name, values := range response.Header {
		h[name] = values
	}
	for _, name := range hopHeaders {
		delete(h, name)
	}
	if _, ok := response.Header["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	if _, ok := response.Header["Date"]; !ok {
		h["Date"] = nil
	}
	if length != undeclared {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	p.has = part
	p.w.WriteHeader(response.Status)
}

// whole sends a response whose body is buffered. A length of undeclared is that
// of a response that has no body.
func (p *reply) whole(response *connpool.Response, body []byte, length int64) {
	p.begin(response, length)
	_, _ = p.w.Write(body)
	p.has = ended
}

// long sends a response with a declared length as it arrives. After an error the
// caller has part of it.
func (p *reply) long(response *connpool.Response) error {
	p.begin(response, response.Length)
	if _, err := io.Copy(p.w, response.Body); err != nil {
		return err
	}
	p.has = ended
	return nil
}

// event sends an event, after the header of its response if that is the first.
// It returns errCallerLeft if the caller can't be reached.
func (p *reply) event(response *connpool.Response, event []byte) error {
	if !p.begun() {
		p.begin(response, undeclared)
	}
	if _, err := p.w.Write(event); err != nil {
		return errCallerLeft
	}
	if err := http.NewResponseController(p.w).Flush(); err != nil {
		return errCallerLeft
	}
	return nil
}

// endStream completes a stream. It sends the header if there were no events.
func (p *reply) endStream(response *connpool.Response) {
	if !p.begun() {
		p.begin(response, undeclared)
	}
	p.has = ended
}

// error sends a response of this process.
func (p *reply) error(status int, text string, header http.Header) {
	p.requireNothing()
	p.has = ended
	maps.Copy(p.w.Header(), header)
	http.Error(p.w, text, status)
}

// close ends the request. The server would complete a response that has not
// ended when the handler returns, so that it is aborted.
func (p *reply) close() {
	switch p.has {
	case ended:
	case part:
		p.lost()
		p.abort()
	case nothing:
		p.abort()
	}
}

// abort closes the connection, so that the caller sees that its response is not
// complete. It does not return.
func (p *reply) abort() {
	p.has = ended
	panic(http.ErrAbortHandler)
}

// limitBody limits the body that is read from the caller. Beyond the limit the
// connection is closed after the response.
func (p *reply) limitBody(r *http.Request, limit int64) {
	r.Body = http.MaxBytesReader(p.w, r.Body, limit)
}
