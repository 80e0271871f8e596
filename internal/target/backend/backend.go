// Package backend is the interface to the kinds of targets. Each kind
// registers itself by the scheme of its address.
package backend

import (
	"context"
	"io"
	"net/http"
	"net/url"

	"github.com/go-faster/errors"

	"egretproxy/internal/control/view"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/fault"
)

// ErrStaleFence tells that the target has seen a newer order.
var ErrStaleFence = errors.New("order has an old fencing number")

// Status is what a target tells about itself.
type Status struct {
	// Start changes with each restart of the target.
	Start string
	// Bundle and Model name the content that it holds, or are empty.
	Bundle id.Bundle
	Model  id.Model
	// Manifest is the digest that the target worked out over its content.
	Manifest string
	// Loading tells that an order is in progress.
	Loading bool
}

// Order asks a target to load content.
type Order struct {
	view.Assignment
	// Source is the URL from which the target reads the content.
	Source string
}

// Backend is one target.
type Backend interface {
	// Kind tells engines from plain services.
	Kind() view.TargetKind
	// BaseURL returns the URL that requests are sent to.
	BaseURL() *url.URL
	// Status asks the target about itself.
	Status(ctx context.Context) (Status, error)
	// Load orders the target to load content and returns once it is taken.
	Load(ctx context.Context, o Order) error
}

// Get reads a page of a target, up to a number of bytes.
func Get(ctx context.Context, client *http.Client, page *url.URL, limit int64) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, page.String(), nil)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	w, err := client.Do(r)
	if err != nil {
		return nil, errors.Wrap(err, "ask target")
	}
	defer func() { _ = w.Body.Close() }()
	if w.StatusCode != http.StatusOK {
		return nil, errors.Errorf("target answers %s", w.Status)
	}
	data, err := io.ReadAll(io.LimitReader(w.Body, limit))
	return data, fault.Wrap(err, "read page")
}

// Factory creates a backend for the host and port of an address.
type Factory func(host string) Backend

var factories = map[string]Factory{}

// Register makes a kind of target known by the scheme of its address.
func Register(scheme string, open Factory) {
	factories[scheme] = open
}

// New returns the backend for an address such as engine://127.0.0.1:9000.
func New(address string) (Backend, error) {
	u, err := url.Parse(address)
	if err != nil {
		return nil, errors.Wrap(err, "target address")
	}
	open, ok := factories[u.Scheme]
	if !ok {
		return nil, errors.Errorf("no kind of target has the scheme %q", u.Scheme)
	}
	return open(u.Host), nil
}
