// Package service speaks to plain services, which load no weights.
package service

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/go-faster/errors"

	"egretproxy/internal/control/view"
	"egretproxy/internal/target/backend"
)

const (
	healthTimeout = 1 * time.Second
	maxStartBytes = 256
)

func init() {
	backend.Register("service", func(host string) backend.Backend { return &Service{host: host} })
}

// Service is one plain service.
type Service struct {
	host   string
	client http.Client
}

// Kind implements backend.Backend.
func (s *Service) Kind() view.TargetKind { return view.TargetService }

// BaseURL implements backend.Backend.
func (s *Service) BaseURL() *url.URL { return &url.URL{Scheme: "http", Host: s.host} }

// Status implements backend.Backend. The body of the health page, if any, is
// the start number.
func (s *Service) Status(ctx context.Context) (backend.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	start, err := backend.Get(ctx, &s.client, s.BaseURL().JoinPath("healthz"), maxStartBytes)
	if err != nil {
		return backend.Status{}, err
	}
	return backend.Status{Start: string(start)}, nil
}

// Load implements backend.Backend. A plain service takes no orders.
func (s *Service) Load(context.Context, backend.Order) error {
	return errors.New("a plain service takes no orders")
}
