// Package service implements the backend of plain services, which load no
// weights.
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
	// maxPageBytes limits the health page, of which the first maxStartBytes
	// identify the start.
	maxPageBytes  = 64 << 10
	maxStartBytes = 256
)

func init() {
	backend.Register("service", func(host string) backend.Backend { return &Service{host: host, client: backend.NewClient()} })
}

// Service is the backend of a plain service.
type Service struct {
	host   string
	client *http.Client
}

// Kind implements backend.Backend.
func (s *Service) Kind() view.TargetKind { return view.TargetService }

// BaseURL implements backend.Backend.
func (s *Service) BaseURL() *url.URL { return &url.URL{Scheme: "http", Host: s.host} }

// Status implements backend.Backend. Start is the beginning of the health
// page, which may be empty.
func (s *Service) Status(ctx context.Context) (backend.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	page, err := backend.Get(ctx, s.client, s.BaseURL().JoinPath("healthz"), maxPageBytes)
	if err != nil {
		return backend.Status{}, err
	}
	return backend.Status{Start: string(page[:min(len(page), maxStartBytes)])}, nil
}

// Load implements backend.Backend. It always returns an error, since a plain
// service loads no content.
func (s *Service) Load(context.Context, backend.Order) error {
	return errors.New("a plain service takes no orders")
}
