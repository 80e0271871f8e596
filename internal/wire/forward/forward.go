// Package forward builds the requests that a proxy forwards to its next hop, in
// such a way that net/http sends each at most once.
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

// Outgoing is a request to the next hop.
type Outgoing struct {
	// Request is the request to send.
	Request *http.Request
	// connected is set when net/http has obtained a connection for the request.
	connected bool
}

// Connected reports whether the request may have reached the next hop. A
// request without a connection was certainly not run.
func (o *Outgoing) Connected() bool { return o.connected }

// New builds a request to the URL from a received one, with the given body and
// without hop-by-hop headers and headers of this product. atMostOnce marks a
// request that may not be repeated: net/http then can't resend it even if its
// body is empty.
func New(ctx context.Context, from *http.Request, to *url.URL, body []byte, atMostOnce bool) (*Outgoing, error) {
	o := &Outgoing{}
	to.RawQuery = from.URL.RawQuery
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { o.connected = true },
	})
	req, err := http.NewRequestWithContext(ctx, from.Method, to.String(), singleReadBody{bytes.NewReader(body)})
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.ContentLength = int64(len(body))
	if len(body) == 0 && !atMostOnce {
		req.Body = http.NoBody
	}
	for k, v := range from.Header {
		if !strings.HasPrefix(k, header.ReservedPrefix) && !HopByHop(k) {
			req.Header[k] = v
		}
	}
	o.Request = req
	return o, nil
}

// singleReadBody hides all methods of a reader but Read. net/http resends
// requests with an Idempotency-Key by itself if it can rewind their body.
type singleReadBody struct{ reader io.Reader }

// Read implements io.Reader.
func (b singleReadBody) Read(p []byte) (int, error) { return b.reader.Read(p) }

var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
	"Authorization": true, "Accept-Encoding": true,
}

// HopByHop reports whether a header with the canonical name isn't forwarded.
// Authorization is among them since the caller's key is meant for the entry
// only.
func HopByHop(name string) bool { return hopByHopHeaders[name] }

const (
	dialTimeout    = 2 * time.Second
	maxIdlePerHost = 256
)

// Client returns an HTTP client with a timeout for dialling and for the TLS
// handshake, and a limit on response headers. It closes connections that are
// idle for the given time. A single-use client opens a new connection for each
// request. It follows no redirect, which is an answer for the caller.
func Client(tlsConfig *tls.Config, idle time.Duration, singleUse bool) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	keep := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{CheckRedirect: keep, Transport: &finalStatus{&http.Transport{
		DialContext: dialer.DialContext, TLSClientConfig: tlsConfig,
		TLSHandshakeTimeout: dialTimeout, IdleConnTimeout: idle,
		MaxResponseHeaderBytes: header.MaxResponseBytes,
		MaxIdleConnsPerHost:    maxIdlePerHost, DisableCompression: true, DisableKeepAlives: singleUse,
	}}}
}
