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

// Errors returned by Source.Fetch.
var (
	// ErrStalled means that no byte arrived within the stall timeout.
	ErrStalled = errors.New("transfer stalled")
	// ErrCorrupt means that the data does not match the digest.
	ErrCorrupt = errors.New("chunk does not match its digest")
	// ErrMissing means that the source does not hold the chunk.
	ErrMissing = errors.New("source does not hold the chunk")
	// ErrBusy means that the source asks the client to retry later.
	ErrBusy = errors.New("source is busy")
)

const (
	// readBytes is the buffer size of one read.
	readBytes = 32 << 10
	// pathPrefix is the URL path of chunks at every kind of source.
	pathPrefix = "chunks"
)

// Source is an HTTP server that holds chunks.
type Source struct {
	// Base is the URL of the source.
	Base   *url.URL
	Client *http.Client
	// StallTimeout is the longest time without a received byte.
	StallTimeout time.Duration
	// Query is added to the URL of each chunk.
	Query url.Values
	// OnHeader, if not nil, is called with the header of each response.
	OnHeader func(h http.Header)
	// Limits are the rate limiters, in bytes, that each read waits for.
	Limits []*rate.Limiter
}

// schemes maps URL schemes in settings to those of requests. Weight stores and
// origins speak the same protocol.
var schemes = map[string]string{"origin": "http", "origins": "https", "store": "http", "stores": "https"}

// Parse converts a source address from the settings to an HTTP URL.
func Parse(address string) (*url.URL, error) {
	u, err := url.Parse(address)
	if err != nil {
		return nil, errors.Wrap(err, "parse source address")
	}
	scheme, ok := schemes[u.Scheme]
	if !ok {
		return nil, errors.Errorf("unsupported source scheme %q", u.Scheme)
	}
	return &url.URL{Scheme: scheme, Host: u.Host, Path: u.Path}, nil
}

// Fetch returns the verified data of a chunk of at most size bytes.
func (s *Source) Fetch(ctx context.Context, d manifest.Digest, size int) ([]byte, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stallTimer := time.AfterFunc(s.StallTimeout, func() { cancel(ErrStalled) })
	defer stallTimer.Stop()
	u := s.Base.JoinPath(pathPrefix, string(d))
	u.RawQuery = s.Query.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, errors.Wrap(err, "build chunk request")
	}
	res, err := s.Client.Do(req)
	if err != nil {
		return nil, wrapError(ctx, err)
	}
	defer func() { _ = res.Body.Close() }()
	if s.OnHeader != nil {
		s.OnHeader(res.Header)
	}
	if err := statusError(res.StatusCode); err != nil {
		return nil, err
	}
	data, err := s.read(ctx, res.Body, size, stallTimer)
	if err != nil {
		return nil, wrapError(ctx, err)
	}
	if manifest.Sum(data) != d {
		return nil, ErrCorrupt
	}
	return data, nil
}

func (s *Source) read(ctx context.Context, body io.Reader, size int, stallTimer *time.Timer) ([]byte, error) {
	data := make([]byte, 0, size)
	buffer := make([]byte, readBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			stallTimer.Reset(s.StallTimeout)
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
		if err := s.wait(ctx, n, stallTimer); err != nil {
			return nil, err
		}
	}
}

// wait applies the rate limits to n received bytes. Time spent here does not
// count as a stall.
func (s *Source) wait(ctx context.Context, n int, stallTimer *time.Timer) error {
	for _, l := range s.Limits {
		if err := l.WaitN(ctx, min(n, l.Burst())); err != nil {
			return err
		}
		stallTimer.Reset(s.StallTimeout)
	}
	return nil
}

func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrMissing
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return ErrBusy
	default:
		return errors.Errorf("source returned status %d", status)
	}
}

func wrapError(ctx context.Context, err error) error {
	if c := context.Cause(ctx); errors.Is(c, ErrStalled) {
		return c
	}
	return errors.Wrap(err, "fetch chunk")
}
