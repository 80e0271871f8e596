// Package source fetches single chunks over HTTP from origins, weight stores
// and peers.
package source

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"egretproxy/internal/weights/manifest"
)

// Errors of a fetch.
var (
	// ErrStalled tells that no byte came for the stall timeout.
	ErrStalled = errors.New("transfer stalled")
	// ErrCorrupt tells that the bytes do not match the digest.
	ErrCorrupt = errors.New("chunk does not match its digest")
	// ErrMissing tells that the source does not hold the chunk.
	ErrMissing = errors.New("source does not hold the chunk")
	// ErrBusy tells that the source asks to come back later.
	ErrBusy = errors.New("source is busy")
)

const (
	// readBytes is the size of one read.
	readBytes = 32 << 10
	// pathPrefix is the path of chunks at every kind of source.
	pathPrefix = "chunks"
)

// Source is one place that holds chunks.
type Source struct {
	// Base is the URL of the source.
	Base *url.URL
	// Client sends the requests.
	Client *http.Client
	// StallTimeout is the longest time without a byte.
	StallTimeout time.Duration
	// Query is added to the URL of each chunk.
	Query url.Values
	// OnHeader is called with the head of each answer if it is not nil.
	OnHeader func(h http.Header)
	// Limits are waited for before each read.
	Limits []*rate.Limiter
}

// Schemes maps the schemes of settings to those of requests. The weight store
// and the origin share one protocol.
var schemes = map[string]string{"origin": "http", "origins": "https", "store": "http", "stores": "https"}

// Parse returns the URL of a source in the settings.
func Parse(address string) (*url.URL, error) {
	u, err := url.Parse(address)
	if err != nil {
		return nil, errors.Wrap(err, "source address")
	}
	scheme, ok := schemes[u.Scheme]
	if !ok {
		return nil, errors.Errorf("no kind of source has the scheme %q", u.Scheme)
	}
	return &url.URL{Scheme: scheme, Host: u.Host, Path: u.Path}, nil
}

// Fetch returns the verified bytes of a chunk of at most the given size.
func (s *Source) Fetch(ctx context.Context, d manifest.Digest, size int) ([]byte, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := time.AfterFunc(s.StallTimeout, func() { cancel(ErrStalled) })
	defer watch.Stop()
	u := s.Base.JoinPath(pathPrefix, string(d))
	u.RawQuery = s.Query.Encode()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, errors.Wrap(err, "build chunk request")
	}
	w, err := s.Client.Do(r)
	if err != nil {
		return nil, cause(ctx, err)
	}
	defer func() { _ = w.Body.Close() }()
	if s.OnHeader != nil {
		s.OnHeader(w.Header)
	}
	if err := check(w.StatusCode); err != nil {
		return nil, err
	}
	data, err := s.read(ctx, w.Body, size, watch)
	if err != nil {
		return nil, cause(ctx, err)
	}
	if manifest.Sum(data) != d {
		return nil, ErrCorrupt
	}
	return data, nil
}

func (s *Source) read(ctx context.Context, body io.Reader, size int, watch *time.Timer) ([]byte, error) {
	data := make([]byte, 0, size)
	buffer := make([]byte, readBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			watch.Reset(s.StallTimeout)
			data = append(data, buffer[:n]...)
		}
		if len(data) > size {
			return nil, ErrCorrupt
		}
		if err == io.EOF {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
		if err := s.wait(ctx, n, watch); err != nil {
			return nil, err
		}
	}
}

// wait holds the transfer back to its limits. That is no stall.
func (s *Source) wait(ctx context.Context, n int, watch *time.Timer) error {
	for _, l := range s.Limits {
		if err := l.WaitN(ctx, min(n, l.Burst())); err != nil {
			return err
		}
		watch.Reset(s.StallTimeout)
	}
	return nil
}

func check(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrMissing
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return ErrBusy
	default:
		return errors.Errorf("source answers %d", status)
	}
}

func cause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); errors.Is(c, ErrStalled) {
		return c
	}
	return errors.Wrap(err, "fetch chunk")
}
