package httpserver

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"

	"egretproxy/internal/kernel/socket"
)

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// withConn is the ConnContext of the server.
func withConn(ctx context.Context, nc net.Conn) context.Context {
	if t, ok := nc.(*tls.Conn); ok {
		nc = t.NetConn()
	}
	if c, ok := nc.(*conn); ok {
		ctx, c.leave = context.WithCancel(ctx)
	}
	return context.WithValue(ctx, connKey{}, nc)
}

// CallerLeft reports whether the caller of a request has closed its connection, as
// far as this instance has learnt. The context of the request ends later in a
// process that lacks processor time: net/http has to be scheduled first.
func CallerLeft(r *http.Request) bool {
	if r.Context().Err() != nil {
		return true
	}
	c, ok := r.Context().Value(connKey{}).(*conn)
	return ok && c.raw != nil && socket.Ended(c.raw)
}
