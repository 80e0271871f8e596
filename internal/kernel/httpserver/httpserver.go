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
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"egretproxy/internal/admission/intake"
	"egretproxy/internal/kernel/socket"
	"egretproxy/internal/wire/header"
)

const (
	// The defaults of the limits of HTTP that are not set. Peers' headers are the
	// longest.
	defaultHeaderTimeout  = 5 * time.Second
	defaultIdleTimeout    = 2 * time.Minute
	defaultMaxHeaderBytes = header.MaxResponseBytes
	// drainInterval is the interval between checks of the connections during a
	// stop.
	drainInterval = 20 * time.Millisecond
	// keepAliveMargin covers the time from the write of a response until the
	// caller has it, and from a caller's request until it arrives.
	keepAliveMargin = 500 * time.Millisecond
	// newConnTimeout is how long a caller that has connected may take to send
	// the first bytes during a stop.
	newConnTimeout = time.Second
	// defaultFinalPass is the default of Server.FinalPass.
	defaultFinalPass = 200 * time.Millisecond
)

// Server serves HTTP on one listener. Its exported fields must be set before
// Serve is called.
type Server struct {
	// HTTP holds the handler, limits and TLS configuration. Serve replaces its
	// ConnState and Handler.
	HTTP *http.Server
	// Name identifies the server in logs.
	Name string
	// KeepAlive is how long callers may leave a connection idle before they use
	// it again. It is announced to them in whole seconds. If it is 0, a stop may
	// close idle connections while the next request is on its way.
	KeepAlive time.Duration
	// Notice is how long after the stop request callers may still open
	// connections, because their load balancer has not noticed yet.
	Notice time.Duration
	// Grace is the time after the stop request at which handlers must have ended.
	Grace time.Duration
	// FinalPass is how long responses may take after the grace period, before the
	// connections that are left are closed. It begins when the process sees that
	// the period is over, since a pause may have covered the end. 0 means 200 ms.
	FinalPass time.Duration
	// Intake bounds the requests that arrive, and the connections. nil means the
	// intake of the process.
	Intake *intake.Intake

	stopping atomic.Bool

	mu sync.Mutex
	// conns holds the open connections.
	conns map[*conn]struct{}
}

// Serve serves connections of l until the context ends. Then it answers the
// requests that have arrived, and closes each connection once its caller can't
// send another request on it, within the grace period.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	if s.Intake == nil {
		s.Intake = intake.Process()
	}
	s.setDefaults()
	s.Intake.Listen(l)
	tracked := &listener{Listener: l, server: s}
	s.HTTP.ConnState = s.onState
	connContext := s.HTTP.ConnContext
	s.HTTP.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, nc)
		}
		return withConn(ctx, nc)
	}
	s.HTTP.Handler = s.announcing(s.HTTP.Handler)
	accepting := net.Listener(tracked)
	if s.HTTP.TLSConfig != nil {
		accepting = tls.NewListener(tracked, s.HTTP.TLSConfig)
	}
	served := make(chan error, 1)
	go func() { served <- s.HTTP.Serve(accepting) }()
	select {
	case err := <-served:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	s.drain(tracked, served)
	return nil
}

func (s *Server) setDefaults() {
	if s.HTTP.ReadHeaderTimeout == 0 {
		s.HTTP.ReadHeaderTimeout = defaultHeaderTimeout
	}
	if s.HTTP.IdleTimeout == 0 {
		s.HTTP.IdleTimeout = defaultIdleTimeout
	}
	if s.HTTP.MaxHeaderBytes == 0 {
		s.HTTP.MaxHeaderBytes = defaultMaxHeaderBytes
	}
}

// Stopping reports whether the server was asked to stop.
func (s *Server) Stopping() bool { return s.stopping.Load() }

// drain closes the listener and all connections. served receives when no more
// connections are accepted. It doesn't use the Shutdown of net/http, which closes
// each connection on which it has read no whole request header, whatever has
// arrived, and drops requests that it reads later.
func (s *Server) drain(l *listener, served <-chan error) {
	s.stopping.Store(true)
	klog.InfoS("Server is draining", "Server", s.Name, "Connections", s.count())
	p := drainProgress{began: time.Now(), grace: s.Grace, finalPass: s.FinalPass}
	if p.finalPass == 0 {
		p.finalPass = defaultFinalPass
	}
	notice := min(s.Notice, s.Grace/2)
	// A connection may be accepted and not tracked yet while accepting.
	accepting := true
	for {
		noticed := time.Since(p.began) >= notice
		if noticed {
			l.closeUnlessBacklog()
		}
		select {
		case <-served:
			accepting = false
		default:
		}
		if !accepting && s.closeIdle(noticed) == 0 || p.isOver() {
			break
		}
		p.wait()
	}
	left := s.count()
	_ = s.HTTP.Close()
	klog.InfoS("Server has stopped", "Server", s.Name, "TookMs", time.Since(p.began).Milliseconds(),
		"LongestPauseMs", p.longestWait.Milliseconds(), "Connections", left)
}

// closeIdle closes the connections that their callers do not use any more, and
// returns the number of the others. Callers may expect to use connections
// until the load balancer has noticed the stop.
func (s *Server) closeIdle(noticed bool) int {
	left := 0
	for _, c := range s.connections() {
		if !noticed || !c.retire(s.KeepAlive) {
			left++
		}
	}
	return left
}

func (s *Server) connections() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		out = append(out, c)
	}
	return out
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
	var n counts
	for _, c := range s.connections() {
		c.addTo(&n)
	}
	return n
}

// listener tracks the connections that it accepts.
type listener struct {
	net.Listener
	server *Server
	// closed is used by the goroutine that drains only.
	closed bool
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		now := time.Now()
		c := &conn{
			Conn: inner, raw: socket.Raw(inner), lastUsed: now,
			intake: l.server.Intake, receiving: true, receivingFrom: now, keepAlive: l.server.KeepAlive,
		}
		if !l.server.Intake.Open(c) {
			_ = inner.Close()
			continue
		}
		l.server.track(c)
		return c, nil
	}
}

// hasBacklog reports whether a caller's connection waits to be accepted.
func (l *listener) hasBacklog() bool {
	raw := socket.Raw(l.Listener)
	return raw != nil && socket.Readable(raw)
}

// closeUnlessBacklog closes the listener unless a connection waits, which the
// system would reset together with the request on it. Nothing comes between the
// check and the close, since another connection may arrive in that time.
func (l *listener) closeUnlessBacklog() {
	if l.closed || l.hasBacklog() {
		return
	}
	_ = l.Close()
	l.closed = true
	klog.InfoS("Server has closed its listener", "Server", l.server.Name, "Connections", l.server.count())
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
		s.Intake.Closed(c)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	}
}
