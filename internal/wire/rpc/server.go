// Package rpc serves and calls JSON-RPC between the processes.
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

	"egretproxy/internal/wire/frame"
)

// Codes of errors that callers tell apart.
const (
	CodeNotLeader   = -32001
	CodeUncertain   = -32002
	CodeUnavailable = -32003
	CodeBusy        = -32004
)

const (
	// maxCallsPerConn bounds the calls in progress on one connection.
	maxCallsPerConn = 256
	// handshakeTimeout bounds the TLS handshake of a connection.
	handshakeTimeout = 5 * time.Second
)

// Handler answers one call. Params may be nil.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Server answers calls on a listener. Handlers are set before Serve.
type Server struct {
	// Handlers maps methods to their handlers.
	Handlers map[string]Handler
	// TLS authenticates callers if it is not nil.
	TLS *tls.Config
	// Codec frames the objects.
	Codec frame.Codec
	// OnConnError is called when a connection ends for a broken frame.
	OnConnError func(error)

	mu sync.Mutex
	// conns is the open connections. It is nil after Close.
	conns map[net.Conn]struct{}
	wg    sync.WaitGroup
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	s.mu.Lock()
	s.conns = map[net.Conn]struct{}{}
	s.mu.Unlock()
	stop := context.AfterFunc(ctx, func() {
		_ = l.Close()
		s.closeAll()
	})
	defer stop()
	defer s.wg.Wait()
	for {
		c, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "accept")
		}
		if !s.track(c) {
			_ = c.Close()
			return nil
		}
		s.wg.Add(1)
		go s.serveConn(ctx, c)
	}
}

func (s *Server) serveConn(ctx context.Context, c net.Conn) {
	defer s.wg.Done()
	defer s.untrack(c)
	conn, err := s.handshake(ctx, c)
	if err != nil {
		s.reportError(err)
		return
	}
	stream := &monitoredStream{
		ObjectStream: jsonrpc2.NewBufferedStream(conn, s.Codec),
		onError:      s.reportError,
	}
	handler := &connHandler{server: s, slots: make(chan struct{}, maxCallsPerConn)}
	rpc := jsonrpc2.NewConn(ctx, stream, handler, jsonrpc2.SetLogger(discardLogger{}))
	<-rpc.DisconnectNotify()
}

func (s *Server) handshake(ctx context.Context, c net.Conn) (net.Conn, error) {
	if s.TLS == nil {
		return c, nil
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	t := tls.Server(c, s.TLS)
	if err := t.HandshakeContext(ctx); err != nil {
		_ = c.Close()
		return nil, errors.Wrap(err, "handshake")
	}
	return t, nil
}

func (s *Server) reportError(err error) {
	if s.OnConnError != nil {
		s.OnConnError(err)
	}
}

func (s *Server) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) untrack(c net.Conn) {
	_ = c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
	s.conns = nil
}

// connHandler runs the calls of one connection, a bounded number at a time.
type connHandler struct {
	server *Server
	slots  chan struct{}
}

// Handle implements jsonrpc2.Handler. It reads no further call while all
// slots are taken.
func (h *connHandler) Handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if r.Notif {
		h.handleNotification(ctx, r)
		return
	}
	h.slots <- struct{}{}
	go func() {
		defer func() { <-h.slots }()
		h.handleCall(ctx, c, r)
	}()
}

// handleNotification runs notifications in the order of their arrival.
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

func toRPCError(err error) *jsonrpc2.Error {
	var e *jsonrpc2.Error
	if errors.As(err, &e) {
		return e
	}
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
}

// NewError returns an error with a code that the caller can read.
func NewError(code int64, text string) error {
	return &jsonrpc2.Error{Code: code, Message: text}
}

// InvalidParams returns the error for parameters that do not decode.
func InvalidParams(err error) error {
	return NewError(jsonrpc2.CodeInvalidParams, err.Error())
}

// monitoredStream reports frames that do not decode.
type monitoredStream struct {
	jsonrpc2.ObjectStream
	onError func(error)
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *monitoredStream) ReadObject(v any) error {
	err := s.ObjectStream.ReadObject(v)
	var syntax *json.SyntaxError
	if errors.Is(err, frame.ErrTooLarge) || errors.Is(err, frame.ErrTruncated) || errors.As(err, &syntax) {
		s.onError(err)
	}
	return err
}

// discardLogger drops the library's own log lines.
type discardLogger struct{}

// Printf implements jsonrpc2.Logger.
func (discardLogger) Printf(string, ...any) {}
