package connpool

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Errors returned by Send.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.New("request was not sent")
	// ErrCancelled means that the request was not sent because the caller
	// cancelled it or could not build it, or since the pool has no connection
	// for it.
	ErrCancelled = errors.New("request was withdrawn")
	// ErrInterrupted means that the request was sent, at least in part, but
	// no complete response was received. The target may have executed it.
	ErrInterrupted = errors.New("exchange broke off")
)

const (
	// maxStrayResponses is the maximum number of responses to earlier requests
	// that are skipped.
	maxStrayResponses = 2
	// maxDiscardBytes and maxDiscardTime limit what Discard reads. A new
	// connection costs less than a longer rest.
	maxDiscardBytes = 16 << 10
	maxDiscardTime  = 50 * time.Millisecond
)

// ErrStaleConnection means that the target had dropped an idle connection before
// the request came. It accompanies ErrInterrupted, since the target may have
// executed the request all the same.
var ErrStaleConnection = errors.New("connection was dropped while it was idle")

// staleWindow is how soon after the request a connection that was kept breaks if
// it had been dropped before. It is well above the round trip between regions.
const staleWindow = 15 * time.Millisecond

// interruption is an ErrInterrupted with the error of the connection.
type interruption struct {
	cause error
	// stale means that the connection had been dropped before.
	stale bool
	// unacked is the number of bytes that the target's system lacked when the
	// exchange was cancelled.
	unacked int
}

// Error implements error.
func (i *interruption) Error() string { return i.cause.Error() + ": " + ErrInterrupted.Error() }

// Unwrap returns what the interruption is and its cause.
func (i *interruption) Unwrap() []error {
	if i.stale {
		return []error{ErrInterrupted, ErrStaleConnection, i.cause}
	}
	return []error{ErrInterrupted, i.cause}
}

// interrupted returns the error of an exchange that broke off before its
// response.
func (c *persistConn) interrupted(cause error, sentAt time.Time, receivedBefore int64) error {
	stale := c.exchanges > 1 && c.received.Load() == receivedBefore && time.Since(sentAt) < staleWindow
	return &interruption{cause, stale, int(c.unacked.Load())}
}

// Unacked returns how many bytes of the request the target's system had not
// acknowledged when an exchange without a response was cancelled. It is 0 for all
// other errors.
func Unacked(err error) int {
	var i *interruption
	if errors.As(err, &i) {
		return i.unacked
	}
	return 0
}

// Request is one request to a target.
type Request struct {
	Method string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// EchoHeader names a header whose value targets echo. Responses with a
	// different value belong to other requests. Empty disables the check.
	EchoHeader string
}

// Response is a target's response to a request. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Body returns io.EOF only after a complete response.
	Body io.Reader
	// Framed means that the end of the response is marked, by a length or
	// chunked encoding.
	Framed bool
	// Length is the declared length of the body in bytes, or -1 if there is
	// none.
	Length int64
	// Unattributed means that the response echoes nothing and the connection
	// carried other requests before, so that it may belong to one of them.
	Unattributed bool

	pool        *Pool
	address     string
	conn        *persistConn
	rawBody     io.ReadCloser
	complete    bool
	close       bool
	idleTimeout time.Duration
	stopAbort   func() bool
}

// Send sends a request on an idle or new connection and returns the response
// once its header has been read. build is called after the connection is
// established, since what the request depends on may change in the meantime;
// an error of build is returned as ErrCancelled. Cancelling ctx aborts the
// whole exchange, including the body.
func (p *Pool) Send(ctx context.Context, address string, build func() (*Request, error)) (*Response, error) {
	c := p.take(address)
	if c == nil {
		var err error
		c, err = p.dial(ctx, address)
		if errors.Is(err, errNoSlot) {
			return nil, errors.Wrap(ErrCancelled, err.Error())
		}
		if err != nil {
			return nil, errors.Wrap(ErrNotSent, err.Error())
		}
	}
	if ctx.Err() != nil {
		p.putUnused(address, c)
		return nil, errors.Wrap(ErrCancelled, ctx.Err().Error())
	}
	r, err := build()
	if err != nil {
		p.putUnused(address, c)
		return nil, errors.Wrap(ErrCancelled, err.Error())
	}
	stop := context.AfterFunc(ctx, c.abort)
	response, err := p.roundTrip(address, c, r)
	if err != nil {
		stop()
		c.reset()
		return nil, err
	}
	response.stopAbort = stop
	return response, nil
}

func (p *Pool) roundTrip(address string, c *persistConn, r *Request) (*Response, error) {
	c.exchanges++
	sentAt, received := time.Now(), c.received.Load()
	if n, err := c.conn.Write(encode(r)); err != nil {
		if n == 0 && c.exchanges == 1 {
			return nil, errors.Wrap(ErrNotSent, err.Error())
		}
		return nil, c.interrupted(err, sentAt, received)
	}
	for range maxStrayResponses + 1 {
		response, err := p.readResponse(address, c, r)
		if err != nil {
			return nil, c.interrupted(err, sentAt, received)
		}
		if response.matches(r) {
			response.Unattributed = r.EchoHeader != "" && c.exchanges > 1 && response.Header.Get(r.EchoHeader) == ""
			response.close = response.close || response.Unattributed
			c.limit.remaining = unlimited
			return response, nil
		}
		if !response.Framed || response.close {
			return nil, errors.Wrap(ErrInterrupted, "answer of another request")
		}
		c.limit.remaining = maxStrayBodyBytes
		if _, err := io.Copy(io.Discard, response.rawBody); err != nil {
			return nil, errors.Wrap(ErrInterrupted, "answer of another request: "+err.Error())
		}
	}
	return nil, errors.Wrap(ErrInterrupted, "too many answers of other requests")
}

// matches reports whether the response belongs to the request. Only an error
// status may lack the echoed value.
func (response *Response) matches(r *Request) bool {
	if r.EchoHeader == "" {
		return true
	}
	echo := response.Header.Get(r.EchoHeader)
	return echo == r.Header.Get(r.EchoHeader) || echo == "" && response.Status >= http.StatusBadRequest
}

func (p *Pool) readResponse(address string, c *persistConn, r *Request) (*Response, error) {
	c.limit.remaining = maxHeaderBytes
	for {
		res, err := http.ReadResponse(c.br, &http.Request{Method: r.Method})
		if err != nil {
			return nil, errors.Wrap(err, "response header")
		}
		if res.StatusCode < http.StatusContinue || res.StatusCode == http.StatusSwitchingProtocols {
			// No request asks for another protocol.
			return nil, errors.Errorf("status %q is no answer", res.Status)
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		response := &Response{
			Status: res.StatusCode, Header: res.Header, rawBody: res.Body,
			pool: p, address: address, conn: c, close: res.Close,
			Framed:      res.ContentLength >= 0 || len(res.TransferEncoding) > 0,
			Length:      res.ContentLength,
			idleTimeout: keepAliveTimeout(res.Header),
		}
		response.Body = bodyReader{response}
		if !response.Framed {
			response.close = true
		}
		return response, nil
	}
}

// keepAliveTimeout returns how long an idle connection may be kept: four
// fifths of the timeout that the target announces, because the target's timer
// starts earlier.
func keepAliveTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			continue
		}
		return min(time.Duration(seconds)*time.Second*4/5, maxIdleTimeout)
	}
	return defaultIdleTimeout
}

// bodyReader records whether the body was read to its end.
type bodyReader struct{ response *Response }

// Read implements io.Reader.
func (b bodyReader) Read(p []byte) (int, error) {
	n, err := b.response.rawBody.Read(p)
	if err == io.EOF {
		b.response.complete = true
	}
	return n, err
}

// Discard reads the rest of a body that is not needed, so that Close can keep
// the connection. It leaves a rest that is long or has not arrived, since the
// target may send without end.
func (response *Response) Discard() {
	_ = response.conn.conn.SetReadDeadline(time.Now().Add(maxDiscardTime))
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxDiscardBytes))
	_ = response.conn.conn.SetReadDeadline(time.Time{})
}

// Whole reports whether the response was read to an end that is marked.
func (response *Response) Whole() bool { return response.complete && response.Framed }

// Close ends the exchange. The connection is kept if the response was read
// completely and the target keeps the connection open, and reset if the
// response is incomplete.
func (response *Response) Close() {
	cancelled := !response.stopAbort()
	if !response.complete {
		response.conn.reset()
		return
	}
	if response.close || cancelled || response.conn.br.Buffered() > 0 || response.idleTimeout <= 0 {
		response.conn.close()
		return
	}
	response.pool.put(response.address, response.conn, response.idleTimeout)
}

func encode(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}
