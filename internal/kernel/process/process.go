// Package process serves HTTP for the roles, including the health, readiness
// and metrics endpoints of each.
package process

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/alexedwards/flow"
	"github.com/go-faster/errors"

	"egretproxy/internal/kernel/httpserver"
	"egretproxy/internal/kernel/metrics"
)

const (
	headerTimeout = 5 * time.Second
	stopTimeout   = 2 * time.Second
)

// ServeAdmin serves /healthz, /readyz and /metrics until the context ends. If
// the address is empty it only waits for the context. /readyz returns 503 with
// the text of the error that ready returns.
func ServeAdmin(ctx context.Context, address string, set *metrics.Set, ready func() error) error {
	if address == "" {
		<-ctx.Done()
		return nil
	}
	mux := flow.New()
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	}, http.MethodGet)
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	}, http.MethodGet)
	mux.Handle("/metrics", set.Handler(), http.MethodGet)
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen on the admin address")
	}
	return Serve(ctx, &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}, l, stopTimeout)
}

// Serve runs an HTTP server on l, with TLS if the server has a TLS
// configuration, until the context ends. Then it answers the requests that have
// arrived, and closes the remaining connections after the timeout.
func Serve(ctx context.Context, s *http.Server, l net.Listener, timeout time.Duration) error {
	return (&httpserver.Server{HTTP: s, Name: l.Addr().String(), Grace: timeout}).Serve(ctx, l)
}
