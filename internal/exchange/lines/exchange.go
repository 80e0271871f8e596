package lines

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
	// ErrWithdrawn tells that it was not sent because the caller no longer
	// wanted it.
	ErrWithdrawn = errors.New("request was withdrawn")
	// ErrBroken tells that the request was sent, at least in part, and that
	// no whole answer came. The target may have run it.
	ErrBroken = errors.New("exchange broke off")
)

// maxStray bounds the answers of earlier requests that are skipped.
const maxStray = 2

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

// Answer is what a target returned. Close must be called.
type Answer struct {
	Status int
	Header http.Header
	// Body ends with io.EOF only if the answer is whole.
	Body io.Reader
	// Framed tells that the answer's end is marked, by a length or chunks.
	Framed bool

	pool    *Pool
	address string
	line    *line
	raw     io.ReadCloser
	whole   bool
	close   bool
	idle    time.Duration
	release func() bool
}

// Send sends a request on a kept connection, or on a new one, and returns the
// answer's head. The request is built once the connection stands, since what
// it depends on may change meanwhile; an error of build becomes ErrWithdrawn.
// The context cancels the whole exchange.
func (p *Pool) Send(ctx context.Context, address string, build func() (*Request, error)) (*Answer, error) {
	l := p.take(address)
	if l == nil {
		var err error
		if l, err = p.dial(ctx, address); err != nil {
			return nil, errors.Wrap(ErrNotSent, err.Error())
		}
	}
	if ctx.Err() != nil {
		p.put(address, l, defaultIdle)
		return nil, errors.Wrap(ErrWithdrawn, ctx.Err().Error())
	}
	r, err := build()
	if err != nil {
		p.put(address, l, defaultIdle)
		return nil, errors.Wrap(ErrWithdrawn, err.Error())
	}
	stop := context.AfterFunc(ctx, l.abort)
	a, err := p.exchange(address, l, r)
	if err != nil {
		stop()
		_ = l.conn.Close()
		return nil, err
	}
	a.release = stop
	return a, nil
}

func (p *Pool) exchange(address string, l *line, r *Request) (*Answer, error) {
	l.used++
	if n, err := l.conn.Write(encode(r)); err != nil {
		if n == 0 && l.used == 1 {
			return nil, errors.Wrap(ErrNotSent, err.Error())
		}
		return nil, errors.Wrap(ErrBroken, err.Error())
	}
	for range maxStray + 1 {
		a, err := p.read(address, l, r)
		if err != nil {
			return nil, errors.Wrap(ErrBroken, err.Error())
		}
		if a.answers(r) {
			return a, nil
		}
		if !a.Framed || a.close {
			return nil, errors.Wrap(ErrBroken, "answer of another request")
		}
		if _, err := io.Copy(io.Discard, a.raw); err != nil {
			return nil, errors.Wrap(ErrBroken, "answer of another request: "+err.Error())
		}
	}
	return nil, errors.Wrap(ErrBroken, "too many answers of other requests")
}

// answers reports whether the answer is to the request. Only a failure may
// lack the mark of the request.
func (a *Answer) answers(r *Request) bool {
	if r.EchoHeader == "" {
		return true
	}
	echo := a.Header.Get(r.EchoHeader)
	return echo == r.Header.Get(r.EchoHeader) || echo == "" && a.Status >= http.StatusBadRequest
}

func (p *Pool) read(address string, l *line, r *Request) (*Answer, error) {
	for {
		res, err := http.ReadResponse(l.br, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if res.StatusCode >= 100 && res.StatusCode < 200 {
			continue
		}
		a := &Answer{
			Status: res.StatusCode, Header: res.Header, raw: res.Body,
			pool: p, address: address, line: l, close: res.Close,
			Framed: res.ContentLength >= 0 || len(res.TransferEncoding) > 0,
			idle:   idleOf(res.Header),
		}
		a.Body = bodyReader{a}
		if !a.Framed {
			a.close = true
		}
		return a, nil
	}
}

// idleOf returns how long a line may be kept: four fifths of what the target
// names, since it counts from an earlier moment.
func idleOf(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			continue
		}
		return min(time.Duration(seconds)*time.Second*4/5, maxIdle)
	}
	return defaultIdle
}

// bodyReader notes when the body was read to its end.
type bodyReader struct{ a *Answer }

// Read implements io.Reader.
func (b bodyReader) Read(p []byte) (int, error) {
	n, err := b.a.raw.Read(p)
	if err == io.EOF {
		b.a.whole = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept if the answer was read
// whole and the target keeps it too.
func (a *Answer) Close() {
	cancelled := !a.release()
	if !a.whole || a.close || cancelled || a.line.br.Buffered() > 0 || a.idle <= 0 {
		_ = a.line.conn.Close()
		return
	}
	a.pool.put(a.address, a.line, a.idle)
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
