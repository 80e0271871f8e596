// Package keepers calls the group of keepers: it finds one that answers and
// repeats calls that are idempotent.
package keepers

import (
	"context"
	"crypto/tls"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"egretproxy/internal/control/ledger"
	"egretproxy/internal/kernel/clock"
	"egretproxy/internal/wire/api"
	"egretproxy/internal/wire/frame"
	"egretproxy/internal/wire/rpc"
)

// Errors of the client.
var (
	// ErrUnavailable tells that no keeper took the call.
	ErrUnavailable = errors.New("no keeper answered")
	// ErrUncertain tells that a change may or may not take effect.
	ErrUncertain = errors.New("outcome of the change is not known")
)

const (
	// attemptTimeout bounds one try at one keeper.
	attemptTimeout = 1500 * time.Millisecond
	// retryPause is the time between rounds over all keepers.
	retryPause = 50 * time.Millisecond
)

// Client calls the keepers. It is safe for concurrent use.
type Client struct {
	clients []*rpc.Client

	mu sync.Mutex
	// preferred is the index of the client that answered last.
	preferred int
}

// New returns a client of the keepers at the addresses. The offset spreads
// clients over the keepers.
func New(addresses []string, identity *tls.Config, codec frame.Codec, offset int) *Client {
	c := &Client{}
	for _, a := range addresses {
		c.clients = append(c.clients, &rpc.Client{
			Address: a, TLS: identity, Codec: codec, DialTimeout: attemptTimeout,
		})
	}
	if len(addresses) > 0 {
		c.preferred = offset % len(addresses)
	}
	return c
}

// Close ends all connections.
func (c *Client) Close() {
	for _, r := range c.clients {
		r.Close()
	}
}

// Submit sends a change until a keeper answers or the context ends. The
// change must be idempotent: it carries a request id, or is a claim.
func (c *Client) Submit(ctx context.Context, e ledger.Envelope) (ledger.Answer, error) {
	var a ledger.Answer
	sent := false
	for {
		err := c.callPreferred(ctx, api.MethodSubmit, api.SubmitRequest{Change: e}, &a)
		if err == nil {
			return a, nil
		}
		if !errors.Is(err, rpc.ErrNotSent) && rpc.ErrorCode(err) != rpc.CodeNotLeader {
			sent = true
		}
		if permanent(err) {
			return a, err
		}
		if !clock.Sleep(ctx, retryPause) {
			return a, abandonedError(sent, err)
		}
	}
}

// SubmitChange encodes a change and submits it.
func (c *Client) SubmitChange(ctx context.Context, name string, change ledger.Change) (ledger.Answer, error) {
	e, err := ledger.Encode(name, change)
	if err != nil {
		return ledger.Answer{}, err
	}
	return c.Submit(ctx, e)
}

// Call sends a call that changes nothing to one keeper, and to the next on
// the next call if it fails.
func (c *Client) Call(ctx context.Context, method string, params, result any) error {
	return c.callPreferred(ctx, method, params, result)
}

// CallAny repeats a call that changes nothing until one keeper answers or the
// context ends.
func (c *Client) CallAny(ctx context.Context, method string, params, result any) error {
	for {
		err := c.callPreferred(ctx, method, params, result)
		if err == nil {
			return nil
		}
		if !clock.Sleep(ctx, retryPause) {
			return errors.Wrap(ErrUnavailable, err.Error())
		}
	}
}

func (c *Client) callPreferred(ctx context.Context, method string, params, result any) error {
	c.mu.Lock()
	i := c.preferred
	c.mu.Unlock()
	if len(c.clients) == 0 {
		return errors.Wrap(rpc.ErrNotSent, "no keeper is configured")
	}
	try, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	err := c.clients[i].Call(try, method, params, result)
	if err != nil {
		c.preferNext(i)
	}
	return err
}

func (c *Client) preferNext(from int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.preferred == from {
		c.preferred = (from + 1) % len(c.clients)
	}
}

// permanent reports errors that another try would only repeat.
func permanent(err error) bool {
	switch rpc.ErrorCode(err) {
	case 0, rpc.CodeNotLeader, rpc.CodeUncertain, rpc.CodeUnavailable, rpc.CodeBusy:
		return false
	default:
		return true
	}
}

func abandonedError(sent bool, err error) error {
	if sent {
		return errors.Wrap(ErrUncertain, err.Error())
	}
	return errors.Wrap(ErrUnavailable, err.Error())
}
