// Package rpc contains the JSON-RPC client and server that the processes use
// between them, over TCP or mutual TLS.
package rpc

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"

	"egretproxy/internal/admission/intake"
	"egretproxy/internal/kernel/socket"
	"egretproxy/internal/wire/frame"
)

// Error codes, in the range that JSON-RPC leaves to implementations.
const (
	// CodeNotLeader means that the keeper isn't the leader and changed nothing.
	CodeNotLeader = -32001
	// CodeOutcomeUnknown means that the change may or may not take effect.
	CodeOutcomeUnknown = -32002
	// CodeUnavailable means that the server can't answer at present.
	CodeUnavailable = -32003
	// CodeBusy means that a queue of the server is full.
	CodeBusy = -32004
)

const (
	// maxCallsPerConn limits the calls in progress on one connection.
	maxCallsPerConn  = 256
	handshakeTimeout = 5 * time.Second
	// defaultGrace is much longer than calls take whose context has ended.
	defaultGrace = 500 * time.Millisecond
)

// Handler answers one call. The params may be nil. The context ends with the
// server.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Server answers calls on a listener. The exported fields must not change after
// Serve is called.
type Server struct {
	// Handlers maps method names to their handlers.
	Handlers map[string]Handler
	// TLS authenticates callers if it is not nil.
	TLS *tls.Config
	// Codec decodes and encodes the frames.
	Codec frame.Codec
	// OnConnError is called when a TLS handshake fails or a connection ends
	// because of a malformed frame. It may be nil, and is called concurrently.
	OnConnError func(error)
	// Grace limits the time for calls in progress to be answered after the
	// context has ended. Zero means 500 ms.
	Grace time.Duration
	// Intake bounds the connections, Room the long calls. nil means those of the
	// process.
	Intake, Room *intake.Intake

	mu sync.Mutex
	// conns contains the open connections. It is nil before Serve is called
	// and once connections are closed whatever their state.
	conns map[*serverConn]struct{}
	// stopping means that connections are closed as soon as no call is in
	// progress on them.
	stopping bool
	wg       sync.WaitGroup
}

// serverConn is a caller's connection.
type serverConn struct {
	net.Conn
	server *Server
	// pending counts the calls and notifications in progress. It is guarded by
	// the server's mu, like the other fields below.
	pending int
	// receiving is set until the first call has arrived, and while a part of a later
	// one is missing. since is when that began, or when the latest call began or
	// ended.
	receiving bool
	since     time.Time
	// writing is set while a response is written, since writingFrom.
	writing     bool
	writingFrom time.Time
}

// hasUnread reports whether bytes have arrived that were not read.
func (c *serverConn) hasUnread() bool {
	raw := socket.Raw(c.Conn)
	return raw != nil && socket.Readable(raw)
}

// Use implements intake.Conn.
func (c *serverConn) Use() (intake.Use, time.Time) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	switch {
	case c.writing:
		return intake.Unread, c.writingFrom
	case c.pending > 0:
		return intake.Serving, c.since
	case c.receiving:
		return intake.Receiving, c.since
	}
	return intake.Idle, c.since
}

// Drop implements intake.Conn.
func (c *serverConn) Drop() { _ = c.Close() }

// Write implements io.Writer.
func (c *serverConn) Write(p []byte) (int, error) {
	c.setWriting(true)
	defer c.setWriting(false)
	return c.Conn.Write(p)
}

func (c *serverConn) setWriting(writing bool) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.writing, c.writingFrom = writing, time.Now()
}

// receive records that a call has begun to arrive.
func (c *serverConn) receive() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if !c.receiving {
		c.receiving, c.since = true, time.Now()
	}
}

// Serve accepts connections until the context ends or the listener fails. When
// the context ends it closes the listener, closes each connection once its calls
// are answered, waits for the connections' goroutines and returns nil.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	if s.Intake == nil {
		s.Intake = intake.Process()
	}
	if s.Room == nil {
		s.Room = intake.Peers()
	}
	s.Intake.Listen(l)
	s.mu.Lock()
	s.conns = map[*serverConn]struct{}{}
	s.mu.Unlock()
	stop := context.AfterFunc(ctx, func() {
		_ = l.Close()
		s.closeIdle()
	})
	defer stop()
	defer s.wg.Wait()
	for {
		accepted, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "accept")
		}
		c := &serverConn{Conn: accepted, server: s, receiving: true, since: time.Now()}
		if !s.Intake.Open(c) {
			_ = c.Close()
			continue
		}
		if !s.track(c) {
			_ = c.Close()
			s.Intake.Closed(c)
			return nil
		}
		s.wg.Add(1)
		go s.serveConn(ctx, c)
	}
}

// serveConn answers calls on a connection until it is closed.
func (s *Server) serveConn(ctx context.Context, c *serverConn) {
	defer s.wg.Done()
	defer s.untrack(c)
	conn, err := s.handshake(ctx, c)
	if err != nil {
		s.reportError(err)
		return
	}
	stream := newCallStream(s, c, conn)
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	handler := &connHandler{server: s, conn: c, stream: stream, ctx: callCtx, slots: make(chan struct{}, maxCallsPerConn)}
	// A connection is closed with its context, so it gets another one than calls.
	rpcConn := jsonrpc2.NewConn(context.WithoutCancel(ctx), stream, handler, jsonrpc2.SetLogger(discardLogger{}))
	<-rpcConn.DisconnectNotify()
}

// handshake returns the connection after the TLS handshake, or as it is if the
// server uses no TLS.
func (s *Server) handshake(ctx context.Context, c net.Conn) (net.Conn, error) {
	if s.TLS == nil {
		return c, nil
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	tlsConn := tls.Server(c, s.TLS)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = c.Close()
		return nil, errors.Wrap(err, "handshake")
	}
	return tlsConn, nil
}

func (s *Server) reportError(err error) {
	if s.OnConnError != nil {
		s.OnConnError(err)
	}
}

// track registers a connection, so that a stop closes it. It returns false if the
// server stops.
func (s *Server) track(c *serverConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping || s.conns == nil {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) untrack(c *serverConn) {
	_ = c.Close()
	s.Intake.Closed(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// closeIdle closes the connections without calls, and the others once their calls
// are answered or the grace period is over.
func (s *Server) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	for c := range s.conns {
		s.closeIfIdle(c)
	}
	grace := s.Grace
	if grace == 0 {
		grace = defaultGrace
	}
	time.AfterFunc(grace, s.closeAll)
}

// closeIfIdle closes a connection if no call is in progress or has arrived on it.
// The caller holds mu.
func (s *Server) closeIfIdle(c *serverConn) {
	if c.pending == 0 && !c.hasUnread() {
		_ = c.Close()
	}
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
	s.conns = nil
}

func (s *Server) begin(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.pending++
	c.receiving, c.since = false, time.Now()
}

// end is called after a call was answered.
func (s *Server) end(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.pending--
	c.since = time.Now()
	if s.stopping {
		s.closeIfIdle(c)
	}
}

// connHandler runs the calls of one connection, at most maxCallsPerConn at a
// time.
type connHandler struct {
	server *Server
	conn   *serverConn
	stream *callStream
	// ctx ends with the server or the connection.
	ctx   context.Context
	slots chan struct{}
}

// Handle implements jsonrpc2.Handler. It blocks while all slots are taken, which
// stops reading from the connection.
func (h *connHandler) Handle(_ context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	h.server.begin(h.conn)
	var release func()
	r.Params, release = h.stream.take()
	if r.Notif {
		defer h.server.end(h.conn)
		defer release()
		h.handleNotification(h.ctx, r)
		return
	}
	h.slots <- struct{}{}
	go func() {
		defer func() { <-h.slots }()
		defer h.server.end(h.conn)
		defer release()
		h.handleCall(h.ctx, c, r)
	}()
}

// handleNotification runs a notification synchronously, so that notifications of
// a connection run in the order of arrival. Errors are dropped.
func (h *connHandler) handleNotification(ctx context.Context, r *jsonrpc2.Request) {
	handler := h.server.Handlers[r.Method]
	if handler == nil || r.Params == nil {
		return
	}
	_, _ = handler(ctx, *r.Params)
}

func (h *connHandler) handleCall(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	handler := h.server.Handlers[r.Method]
	if handler == nil {
		_ = c.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{
			Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + r.Method,
		})
		return
	}
	var params json.RawMessage
	if r.Params != nil {
		params = *r.Params
	}
	result, err := handler(ctx, params)
	if err != nil {
		_ = c.ReplyWithError(ctx, r.ID, toRPCError(err))
		return
	}
	_ = c.Reply(ctx, r.ID, result)
}

// toRPCError returns the JSON-RPC error within err, or an internal error with
// its text.
func toRPCError(err error) *jsonrpc2.Error {
	var rpcErr *jsonrpc2.Error
	if errors.As(err, &rpcErr) {
		return rpcErr
	}
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
}

// NewError returns an error whose code and text the server sends to the caller.
// The caller reads the code with ErrorCode.
func NewError(code int64, text string) error {
	return &jsonrpc2.Error{Code: code, Message: text}
}

// InvalidParams returns the error for parameters that can't be decoded.
func InvalidParams(err error) error {
	return NewError(jsonrpc2.CodeInvalidParams, err.Error())
}

// discardLogger drops log lines of the jsonrpc2 library.
type discardLogger struct{}

// Printf implements jsonrpc2.Logger.
func (discardLogger) Printf(string, ...any) {}
