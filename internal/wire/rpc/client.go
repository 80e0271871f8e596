package rpc

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"

	"egretproxy/internal/wire/frame"
	"egretproxy/internal/wire/liveness"
)

// DefaultDialTimeout is the default time limit for a TCP dial with its TLS
// handshake.
const DefaultDialTimeout = 2 * time.Second

// ErrNotSent means that a call certainly did not reach the server.
var ErrNotSent = errors.New("call was not sent")

// Client calls the server at one address over one connection, which it opens on
// demand and again after failures. It is safe for concurrent use.
type Client struct {
	// Address is the IP address and port of the server.
	Address string
	// TLS authenticates both sides if it is not nil.
	TLS *tls.Config
	// Codec encodes the frames.
	Codec frame.Codec
	// DialTimeout limits the time for a dial with its TLS handshake. Zero means
	// DefaultDialTimeout.
	DialTimeout time.Duration

	mu sync.Mutex
	// conn is nil while there is no connection.
	conn *jsonrpc2.Conn
}

// Call sends one request and waits for the response. It returns an error that
// wraps ErrNotSent if there is no connection, and a *jsonrpc2.Error if the
// server answered with an error. Other errors leave open whether the call was
// run; they close the connection.
func (c *Client) Call(ctx context.Context, method string, params, result any) error {
	conn, err := c.connect(ctx)
	if err != nil {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	err = conn.Call(ctx, method, params, result)
	var remote *jsonrpc2.Error
	if err != nil && !errors.As(err, &remote) {
		c.discard(conn)
	}
	return err
}

// Notify sends one notification, which has no response. It returns an error
// that wraps ErrNotSent if there is no connection.
func (c *Client) Notify(ctx context.Context, method string, params any) error {
	conn, err := c.connect(ctx)
	if err != nil {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	if err := conn.Notify(ctx, method, params); err != nil {
		c.discard(conn)
		return err
	}
	return nil
}

// Close closes the connection. A later call opens a new one.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect returns the open connection, or opens one. Concurrent callers wait
// for the one that dials.
func (c *Client) connect(ctx context.Context) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		select {
		case <-c.conn.DisconnectNotify():
			c.conn = nil
		default:
			return c.conn, nil
		}
	}
	conn, err := c.dial(ctx)
	if err != nil {
		return nil, err
	}
	stream := jsonrpc2.NewBufferedStream(conn, c.Codec)
	c.conn = jsonrpc2.NewConn(context.Background(), stream, discardHandler{}, jsonrpc2.SetLogger(discardLogger{}))
	return c.conn, nil
}

func (c *Client) dial(ctx context.Context) (net.Conn, error) {
	timeout := c.DialTimeout
	if timeout == 0 {
		timeout = DefaultDialTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	dialer := liveness.Dialer()
	if c.TLS != nil {
		tlsDialer := tls.Dialer{NetDialer: dialer, Config: c.TLS}
		return tlsDialer.DialContext(ctx, "tcp", c.Address)
	}
	return dialer.DialContext(ctx, "tcp", c.Address)
}

// discard closes a connection, so that the next call opens a new one.
func (c *Client) discard(conn *jsonrpc2.Conn) {
	_ = conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		c.conn = nil
	}
}

// ErrorCode returns the JSON-RPC code of an error that the server answered
// with, or zero for other errors.
func ErrorCode(err error) int64 {
	var remote *jsonrpc2.Error
	if errors.As(err, &remote) {
		return remote.Code
	}
	return 0
}

// discardHandler ignores calls from the server, which makes none.
type discardHandler struct{}

// Handle implements jsonrpc2.Handler.
func (discardHandler) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
