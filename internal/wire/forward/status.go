package forward

import (
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/go-faster/errors"
)

// finalStatus takes a response with a status that no final response has for none, and
// closes its connection. net/http returns any of three digits.
type finalStatus struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (s *finalStatus) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn net.Conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn }}
	res, err := s.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil || res.StatusCode >= http.StatusOK {
		return res, err
	}
	// Without a body the connection is already free for the next request.
	_ = conn.Close()
	_ = res.Body.Close()
	return nil, errors.Errorf("status %q is no answer", res.Status)
}
