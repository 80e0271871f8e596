// Package backend defines the interface to targets. Each kind of target
// registers a factory for the scheme of its addresses.
package backend

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/go-faster/errors"

	"egretproxy/internal/control/view"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/errwrap"
	"egretproxy/internal/wire/bodylimit"
	"egretproxy/internal/wire/forward"
)

// ErrStaleFence means that the target has already received an order with a
// higher fencing number.
var ErrStaleFence = errors.New("order has an old fencing number")

// Status is a target's report of its own state.
type Status struct {
	// Start identifies the target's process: it changes with each restart.
	Start string
	// Bundle and Model name the loaded content. They are empty if there is
	// none.
	Bundle id.Bundle
	Model  id.Model
	// Manifest is the digest that the target computed over its content.
	Manifest string
	// Loading is true while a load order is in progress.
	Loading bool
}

// Order is an order to a target to load content.
type Order struct {
	view.Assignment
	// Source is the URL from which the target fetches the content.
	Source string
}

// Backend is a client for one target.
type Backend interface {
	// Kind returns whether the target is an engine or a plain service.
	Kind() view.TargetKind
	// BaseURL returns the URL that request paths are relative to.
	BaseURL() *url.URL
	// Status queries the state of the target.
	Status(ctx context.Context) (Status, error)
	// Load sends an order and returns once the target has accepted it, before
	// the content is loaded. It returns ErrStaleFence if the target has
	// received a newer order.
	Load(ctx context.Context, o Order) error
}

// idleTimeout closes idle connections to a target between two queries.
const idleTimeout = 30 * time.Second

// NewClient returns the HTTP client for the control protocol of one target.
func NewClient() *http.Client { return forward.Client(nil, idleTimeout, false) }

// Get returns the body of a target's page. It returns an error unless the
// status is 200 and the body has at most limit bytes.
func Get(ctx context.Context, client *http.Client, page *url.URL, limit int64) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, page.String(), nil)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "ask target")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("target answers %s", resp.Status)
	}
	data, err := bodylimit.ReadAll(resp.Body, limit)
	return data, errwrap.Wrap(err, "read target response")
}

// Factory returns a backend for a target at host, which includes the port.
type Factory func(host string) Backend

var factories = map[string]Factory{}

// Register registers the factory for a scheme. It must be called from init
// functions only.
func Register(scheme string, factory Factory) {
	factories[scheme] = factory
}

// New returns the backend for an address such as engine://127.0.0.1:9000. It
// returns an error if no factory is registered for the scheme.
func New(address string) (Backend, error) {
	u, err := url.Parse(address)
	if err != nil {
		return nil, errors.Wrap(err, "parse target address")
	}
	factory, ok := factories[u.Scheme]
	if !ok {
		return nil, errors.Errorf("unsupported target scheme %q", u.Scheme)
	}
	return factory(u.Host), nil
}
