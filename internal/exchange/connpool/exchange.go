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

// Errors of an exchange.
var (
	// ErrNotSent tells that no byte of the request was sent.
	ErrNotSent = errors.New("request was not sent")
	// ErrCancelled tells that it was not sent because the caller no longer
	// wanted it.
	ErrCancelled = errors.New("request was withdrawn")
	// ErrInterrupted tells that the request was sent, at least in part, and that
	// no whole answer came. The target may have run it.
	ErrInterrupted = errors.New("exchange broke off")
)

// maxStrayResponses bounds the answers of earlier requests that are skipped.
const maxStrayResponses = 2

// Request is one request to a target.
type Request struct {
	Method string
	// URI is path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// EchoHeader is echoed by targets with its value in Header. Answers that
	// bear another value belong to other requests. Empty means no check.
	EchoHeader string
}

// Response is what a target returned. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Body ends with io.EOF only if the answer is whole.
	Body io.Reader
	// Framed tells that the answer's end is marked, by a length or chunks.
	Framed bool

	pool        *Pool
	address     string
	conn        *persistConn
	rawBody     io.ReadCloser
	complete    bool
	close       bool
	idleTimeout time.Duration
	stopAbort   func() bool
}

// Send sends a request on a kept connection, or on a new one, and returns the
// answer's head. The request is built once the connection stands, since what
// it depends on may change meanwhile; an error of build becomes ErrCancelled.
// The context cancels the whole exchange.
func (p *Pool) Send(ctx context.Context, address string, build func() (*Request, error)) (*Response, error) {
	l := p.take(address)
	if l == nil {
		var err error
		if l, err = p.dial(ctx, address); err != nil {
			return nil, errors.Wrap(ErrNotSent, err.Error())
		}
	}
	if ctx.Err() != nil {
		p.put(address, l, defaultIdleTimeout)
		return nil, errors.Wrap(ErrCancelled, ctx.Err().Error())
	}
	r, err := build()
	if err != nil {
		p.put(address, l, defaultIdleTimeout)
		return nil, errors.Wrap(ErrCancelled, err.Error())
	}
	stop := context.AfterFunc(ctx, l.abort)
	a, err := p.roundTrip(address, l, r)
	if err != nil {
		stop()
		_ = l.conn.Close()
		return nil, err
	}
	a.stopAbort = stop
	return a, nil
}

func (p *Pool) roundTrip(address string, l *persistConn, r *Request) (*Response, error) {
	l.exchanges++
	if n, err := l.conn.Write(encode(r)); err != nil {
		if n == 0 && l.exchanges == 1 {
			return nil, errors.Wrap(ErrNotSent, err.Error())
		}
		return nil, errors.Wrap(ErrInterrupted, err.Error())
	}
	for range maxStrayResponses + 1 {
		a, err := p.readResponse(address, l, r)
		if err != nil {
			return nil, errors.Wrap(ErrInterrupted, err.Error())
		}
		if a.matches(r) {
			return a, nil
		}
		if !a.Framed || a.close {
			return nil, errors.Wrap(ErrInterrupted, "answer of another request")
		}
		if _, err := io.Copy(io.Discard, a.rawBody); err != nil {
			return nil, errors.Wrap(ErrInterrupted, "answer of another request: "+err.Error())
		}
	}
	return nil, errors.Wrap(ErrInterrupted, "too many answers of other requests")
}

// matches reports whether the answer is to the request. Only a failure may
// lack the mark of the request.
func (a *Response) matches(r *Request) bool {
	if r.EchoHeader == "" {
		return true
	}
	echo := a.Header.Get(r.EchoHeader)
	return echo == r.Header.Get(r.EchoHeader) || echo == "" && a.Status >= http.StatusBadRequest
}

func (p *Pool) readResponse(address string, l *persistConn, r *Request) (*Response, error) {
	for {
		res, err := http.ReadResponse(l.br, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if res.StatusCode >= 100 && res.StatusCode < 200 {
			continue
		}
		a := &Response{
			Status: res.StatusCode, Header: res.Header, rawBody: res.Body,
			pool: p, address: address, conn: l, close: res.Close,
			Framed:      res.ContentLength >= 0 || len(res.TransferEncoding) > 0,
			idleTimeout: keepAliveTimeout(res.Header),
		}
		a.Body = bodyReader{a}
		if !a.Framed {
			a.close = true
		}
		return a, nil
	}
}

// keepAliveTimeout returns how long a line may be kept: four fifths of what the target
// names, since it counts from an earlier moment.
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

// bodyReader notes when the body was read to its end.
type bodyReader struct{ response *Response }

// Read implements io.Reader.
func (b bodyReader) Read(p []byte) (int, error) {
	n, err := b.response.rawBody.Read(p)
	if err == io.EOF {
		b.response.complete = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept if the answer was read
// whole and the target keeps it too.
func (a *Response) Close() {
	cancelled := !a.stopAbort()
	if !a.complete || a.close || cancelled || a.conn.br.Buffered() > 0 || a.idleTimeout <= 0 {
		_ = a.conn.conn.Close()
		return
	}
	a.pool.put(a.address, a.conn, a.idleTimeout)
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
