// Package keepers contains the client for the group of keepers. It finds a
// keeper that answers and retries idempotent calls.
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

// Errors that Client returns.
var (
	// ErrUnavailable means that no keeper accepted the call. A change certainly
	// takes no effect.
	ErrUnavailable = errors.New("no keeper answered")
	// ErrOutcomeUnknown means that a change may or may not take effect.
	ErrOutcomeUnknown = errors.New("outcome of the change is not known")
)

const (
	// attemptTimeout limits one attempt at one keeper, including the dial.
	attemptTimeout = 1500 * time.Millisecond
	// retryDelay is the time between attempts.
	retryDelay = 50 * time.Millisecond
)

// Client calls the keepers. It keeps one connection to each, and is safe for
// concurrent use.
type Client struct {
	clients []*rpc.Client

	mu sync.Mutex
	// preferred is the index of the client for the next call. It moves on when
	// a call fails.
	preferred int
}

// New returns a client of the keepers at the addresses. The offset selects the
// keeper that is called first; different offsets spread clients over the
// keepers. A nil tlsConfig means plain TCP.
func New(addresses []string, tlsConfig *tls.Config, codec frame.Codec, offset int) *Client {
	c := &Client{}
	for _, a := range addresses {
		c.clients = append(c.clients, &rpc.Client{
			Address: a, TLS: tlsConfig, Codec: codec, DialTimeout: attemptTimeout,
		})
	}
	if len(addresses) > 0 {
		c.preferred = offset % len(addresses)
	}
	return c
}

// Close closes all connections.
func (c *Client) Close() {
	for _, r := range c.clients {
		r.Close()
	}
}

// Submit retries a change until a keeper answers or the context ends. The
// change must be idempotent: it carries a request id, or is a claim. When the
// context ends, Submit returns ErrOutcomeUnknown if an attempt may have reached a
// keeper, and ErrUnavailable otherwise. Errors that a retry can't resolve are
// returned at once.
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
		if !clock.Sleep(ctx, retryDelay) {
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

// Call sends a read-only call to the preferred keeper, without a retry. After a
// failure the next call goes to the next keeper.
func (c *Client) Call(ctx context.Context, method string, params, result any) error {
	return c.callPreferred(ctx, method, params, result)
}

// CallAny retries a read-only call until a keeper answers or the context ends.
// Then it returns ErrUnavailable.
func (c *Client) CallAny(ctx context.Context, method string, params, result any) error {
	for {
		err := c.callPreferred(ctx, method, params, result)
		if err == nil {
			return nil
		}
		if !clock.Sleep(ctx, retryDelay) {
			return errors.Wrap(ErrUnavailable, err.Error())
		}
	}
}

// callPreferred makes one attempt at the preferred keeper, and prefers the next
// keeper if it fails.
func (c *Client) callPreferred(ctx context.Context, method string, params, result any) error {
	c.mu.Lock()
	i := c.preferred
	c.mu.Unlock()
	if len(c.clients) == 0 {
		return errors.Wrap(rpc.ErrNotSent, "no keeper addresses configured")
	}
	callCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	err := c.clients[i].Call(callCtx, method, params, result)
	if err != nil {
		c.preferNext(i)
	}
	return err
}

// preferNext prefers the keeper after the failed one, unless a concurrent call
// has done so already.
func (c *Client) preferNext(failed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.preferred == failed {
		c.preferred = (failed + 1) % len(c.clients)
	}
}

// permanent reports whether a retry would fail with the same error.
func permanent(err error) bool {
	switch rpc.ErrorCode(err) {
	case 0, rpc.CodeNotLeader, rpc.CodeOutcomeUnknown, rpc.CodeUnavailable, rpc.CodeBusy:
		return false
	default:
		return true
	}
}

// abandonedError returns the error of a change that is no longer retried. sent
// reports whether an attempt may have reached a keeper.
func abandonedError(sent bool, err error) error {
	if sent {
		return errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	return errors.Wrap(ErrUnavailable, err.Error())
}
