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

// DefaultDialTimeout bounds the setup of a connection.
const DefaultDialTimeout = 2 * time.Second

// ErrNotSent tells that a call certainly did not reach the other side.
var ErrNotSent = errors.New("call was not sent")

// Client calls one address and connects again after failures. It is safe for
// concurrent use.
type Client struct {
	// Address is the IP address and port of the server.
	Address string
	// TLS authenticates both sides if it is not nil.
	TLS *tls.Config
	// Codec frames the objects.
	Codec frame.Codec
	// DialTimeout bounds the setup of a connection. Zero means
	// DefaultDialTimeout.
	DialTimeout time.Duration

	mu sync.Mutex
	// conn is nil while there is no connection.
	conn *jsonrpc2.Conn
}

// Call sends one request and waits for its answer.
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

// Notify sends one message without an answer.
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

// Close ends the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

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
		secure := tls.Dialer{NetDialer: dialer, Config: c.TLS}
		return secure.DialContext(ctx, "tcp", c.Address)
	}
	return dialer.DialContext(ctx, "tcp", c.Address)
}

func (c *Client) discard(conn *jsonrpc2.Conn) {
	_ = conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		c.conn = nil
	}
}

// ErrorCode returns the code of a remote error, or zero.
func ErrorCode(err error) int64 {
	var e *jsonrpc2.Error
	if errors.As(err, &e) {
		return e.Code
	}
	return 0
}

// discardHandler is the handler of clients, which answer no calls.
type discardHandler struct{}

// Handle implements jsonrpc2.Handler.
func (discardHandler) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
