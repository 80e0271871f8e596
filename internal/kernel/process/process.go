// Package process gives every role its health, readiness and metrics pages.
package process

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/alexedwards/flow"
	"github.com/go-faster/errors"

	"egretproxy/internal/kernel/metrics"
)

const (
	headerTimeout = 5 * time.Second
	stopTimeout   = 2 * time.Second
)

// ServeAdmin serves /healthz, /readyz and /metrics until the context ends. An
// empty address serves nothing.
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
		return errors.Wrap(err, "listen for administration")
	}
	return Serve(ctx, &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}, l, stopTimeout)
}

// Serve runs an HTTP server until the context ends, then shuts it down
// gracefully within the timeout.
func Serve(ctx context.Context, s *http.Server, l net.Listener, timeout time.Duration) error {
	if s.TLSConfig != nil {
		l = tls.NewListener(l, s.TLSConfig)
	}
	failed := make(chan error, 1)
	go func() { failed <- s.Serve(l) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := s.Shutdown(stop); err != nil {
		_ = s.Close()
	}
	return nil
}
