// Package httpserver serves HTTP and stops without losing a request that has
// reached the instance, whether it was read or not.
package httpserver

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"
)

// Server serves HTTP on one listener. Its exported fields must be set before
// Serve is called.
type Server struct {
	// HTTP holds the handler, limits and TLS configuration. Its ConnState and
	// Handler are replaced.
	HTTP *http.Server
	// Name identifies the server in logs.
	Name string
	// Notice is how long after the stop request callers may still open
	// connections, because their load balancer has not noticed yet.
	Notice time.Duration
	// Grace is the time after the stop request at which the connections that
	// are left are closed.
	Grace time.Duration

	stopping atomic.Bool

	mu sync.Mutex
	// conns holds the open connections.
	conns map[*conn]struct{}
}

// Serve serves connections of l until the context ends. Then it completes the
// requests in progress within the grace period.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	tracked := &listener{Listener: l, server: s}
	s.HTTP.ConnState = s.onState
	accepting := net.Listener(tracked)
	if s.HTTP.TLSConfig != nil {
		accepting = tls.NewListener(tracked, s.HTTP.TLSConfig)
	}
	failed := make(chan error, 1)
	go func() { failed <- s.HTTP.Serve(accepting) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	s.drain(tracked)
	return nil
}

// Stopping reports whether the server was asked to stop.
func (s *Server) Stopping() bool { return s.stopping.Load() }

func (s *Server) drain(l *listener) {
	began := time.Now()
	s.stopping.Store(true)
	notice := min(s.Notice, s.Grace/2)
	klog.InfoS("Server is draining", "Server", s.Name, "Connections", s.count())
	time.Sleep(notice)
	klog.InfoS("Server closes its listener", "Server", s.Name, "LateMs", (time.Since(began) - notice).Milliseconds(),
		"Backlog", l.hasBacklog(), "Connections", s.count())
	ctx, cancel := context.WithTimeout(context.Background(), s.Grace-time.Since(began))
	defer cancel()
	if err := s.HTTP.Shutdown(ctx); err != nil {
		klog.InfoS("Shutdown aborted requests in progress", "Server", s.Name, "Connections", s.count(), "Error", err.Error())
		_ = s.HTTP.Close()
	}
	klog.InfoS("Server has stopped", "Server", s.Name, "TookMs", time.Since(began).Milliseconds())
}

// counts are numbers of open connections by what is known of them.
type counts struct {
	// New connections have not sent a byte, Idle ones have their last response.
	// Reading ones have sent a part of a request, Active ones all of its header.
	New, Idle, Reading, Active int
	// Unread counts those of all states with bytes that were not read.
	Unread int
}

func (s *Server) count() counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	var n counts
	for c := range s.conns {
		c.addTo(&n)
	}
	return n
}

// listener tracks the connections that it accepts.
type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, raw: rawConn(inner), lastUsed: time.Now()}
	l.server.track(c)
	return c, nil
}

// hasBacklog reports whether a caller's connection waits to be accepted.
func (l *listener) hasBacklog() bool {
	raw := rawConn(l.Listener)
	return raw != nil && readable(raw)
}

// rawConn returns the access to the socket behind a connection or listener, or
// nil if it has none.
func rawConn(v any) syscall.RawConn {
	s, ok := v.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

func (s *Server) track(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = map[*conn]struct{}{}
	}
	s.conns[c] = struct{}{}
}

// onState follows the states that net/http reports.
func (s *Server) onState(nc net.Conn, state http.ConnState) {
	if t, ok := nc.(*tls.Conn); ok {
		nc = t.NetConn()
	}
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	c.setState(state)
	if state == http.StateClosed || state == http.StateHijacked {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	}
}
