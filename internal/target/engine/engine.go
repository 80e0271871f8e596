// Package engine implements the control protocol of model engines.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/go-faster/errors"

	"egretproxy/internal/control/view"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/target/backend"
)

const (
	statusTimeout  = 1 * time.Second
	orderTimeout   = 5 * time.Second
	maxStatusBytes = 64 << 10
)

func init() {
	backend.Register("engine", func(host string) backend.Backend { return &Engine{host: host, client: backend.NewClient()} })
}

// Engine is the backend of a model engine.
type Engine struct {
	host   string
	client *http.Client
}

// status is the JSON body of an engine's status page.
type status struct {
	Start   string
	Version string
	Model   string
	Digest  string
	Loading bool
}

// loadOrder is the JSON body of an order to load content.
type loadOrder struct {
	Fence   uint64
	Version string
	Model   string
	Digest  string
	Source  string
}

// Kind implements backend.Backend.
func (e *Engine) Kind() view.TargetKind { return view.TargetEngine }

// BaseURL implements backend.Backend.
func (e *Engine) BaseURL() *url.URL { return &url.URL{Scheme: "http", Host: e.host} }

// Status implements backend.Backend.
func (e *Engine) Status(ctx context.Context) (backend.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	page, err := backend.Get(ctx, e.client, e.BaseURL().JoinPath("status"), maxStatusBytes)
	if err != nil {
		return backend.Status{}, err
	}
	var s status
	if err := json.Unmarshal(page, &s); err != nil {
		return backend.Status{}, errors.Wrap(err, "decode engine status")
	}
	return backend.Status{
		Start: s.Start, Bundle: id.Bundle(s.Version), Model: id.Model(s.Model),
		Manifest: s.Digest, Loading: s.Loading,
	}, nil
}

// Load implements backend.Backend.
func (e *Engine) Load(ctx context.Context, o backend.Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	body, err := json.Marshal(loadOrder{
		Fence: uint64(o.Fence), Version: string(o.Bundle), Model: string(o.Model),
		Digest: o.Manifest, Source: o.Source,
	})
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.BaseURL().JoinPath("orders/load").String(), bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build order")
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "order engine")
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusAccepted:
		return nil
	case http.StatusConflict:
		return backend.ErrStaleFence
	default:
		return errors.Errorf("engine answers %s to an order", resp.Status)
	}
}
