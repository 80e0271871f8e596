// Package forward builds requests that are passed on from hop to hop, so that
// the HTTP client sends each at most once.
package forward

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"egretproxy/internal/wire/header"
)

// Outgoing is a request on its way to the next hop.
type Outgoing struct {
	// Request is what is sent.
	Request *http.Request
	// connected tells that a connection to the next hop was there.
	connected bool
}

// Connected reports whether the request may have reached the next hop. Where
// it did not, it certainly was not run.
func (p *Outgoing) Connected() bool { return p.connected }

// New builds a request to the URL from one that was received, with its body
// and without headers that belong to one hop. once marks a request that may
// not be repeated.
func New(ctx context.Context, from *http.Request, to *url.URL, body []byte, once bool) (*Outgoing, error) {
	p := &Outgoing{}
	to.RawQuery = from.URL.RawQuery
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { p.connected = true },
	})
	r, err := http.NewRequestWithContext(ctx, from.Method, to.String(), singleReadBody{bytes.NewReader(body)})
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	r.ContentLength = int64(len(body))
	if len(body) == 0 && !once {
		r.Body = http.NoBody
	}
	for k, v := range from.Header {
		if !strings.HasPrefix(k, header.ReservedPrefix) && !HopByHop(k) {
			r.Header[k] = v
		}
	}
	p.Request = r
	return p, nil
}

// singleReadBody hides everything but reading. net/http rewinds and repeats requests
// with an Idempotency-Key by itself wherever it can.
type singleReadBody struct{ reader io.Reader }

// Read implements io.Reader.
func (o singleReadBody) Read(p []byte) (int, error) { return o.reader.Read(p) }

var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
	"Authorization": true, "Accept-Encoding": true,
}

// HopByHop reports whether a header belongs to one hop. The caller's key is
// for the entry only.
func HopByHop(name string) bool { return hopByHopHeaders[name] }

const (
	dialTimeout    = 2 * time.Second
	maxIdlePerHost = 256
)

// Client returns an HTTP client with timeouts on the setup of connections. A
// single one opens a new connection for each request.
func Client(identity *tls.Config, idle time.Duration, single bool) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, TLSClientConfig: identity,
		TLSHandshakeTimeout: dialTimeout, IdleConnTimeout: idle,
		MaxIdleConnsPerHost: maxIdlePerHost, DisableCompression: true, DisableKeepAlives: single,
	}}
}
