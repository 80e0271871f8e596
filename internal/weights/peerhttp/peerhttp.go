// Package peerhttp passes pieces of weights between the processes beside
// engines, over HTTP.
package peerhttp

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/alexedwards/flow"
	"github.com/go-faster/errors"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/weights/relay"
	"egretproxy/internal/wire/liveness"
)

const (
	// maxBytes bounds a piece or manifest.
	maxBytes = 64 << 20
	// idleTimeout closes connections to peers between versions.
	idleTimeout = 5 * time.Second
	// EngineUploads is the pieces that are sent at once from an instance with
	// an engine. Its answers leave by the same link, and events must not wait
	// behind several pieces.
	EngineUploads = 1
	// mbpsPerUpload is the link in Mbit/s for each piece that is sent at once
	// elsewhere: 14 Mbit/s carry a piece of 48 KiB in 30 ms, and that is how
	// long answers to callers may wait behind pieces.
	mbpsPerUpload = 14
	// maxUploads bounds them where the link does not.
	maxUploads = 64
	// delayExpiryFactor is the time in pieces for which the newest one tells of the
	// link: a pause as long as the piece, the next one, and a reserve.
	delayExpiryFactor = 4
	// perPeer bounds the connections to one peer; most of them wait.
	perPeer = 64
)

// Client asks peers. Take NewClient.
type Client struct {
	http *http.Client
	// port is where the processes beside engines listen.
	port string

	mu sync.Mutex
	// transferTime is how long the newest piece was on the link, up to transferEnd.
	transferTime time.Duration
	transferEnd  time.Time
}

// LinkDelay returns how long other data waits behind pieces on the own link: as
// long as the newest piece took, and nothing if none came within a time. On a
// slow link the next piece comes only after a pause, so that the time is longer
// there.
func (c *Client) LinkDelay(within time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.transferEnd) > max(within, delayExpiryFactor*c.transferTime) {
		return 0
	}
	return c.transferTime
}

func (c *Client) recordTransfer(began time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.transferTime, c.transferEnd = time.Since(began), time.Now()
}

// NewClient returns a client of the peers, which all listen on the port.
func NewClient(port string) *Client {
	return &Client{
		port: port,
		http: &http.Client{Transport: &http.Transport{
			DialContext: liveness.Dialer().DialContext, DisableCompression: true,
			IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: perPeer, MaxConnsPerHost: perPeer,
		}},
	}
}

// Manifest implements relay.Peers.
func (c *Client) Manifest(ctx context.Context, address string, b relay.Bundle) (relay.Manifest, error) {
	var m relay.Manifest
	data, err := c.get(ctx, address, "/weights/manifest", b, -1)
	if err != nil {
		return m, err
	}
	return m, json.Unmarshal(data, &m)
}

// Piece implements relay.Peers.
func (c *Client) Piece(ctx context.Context, address string, b relay.Bundle, n int) ([]byte, error) {
	return c.get(ctx, address, "/weights/piece", b, n)
}

// Await implements relay.Peers.
func (c *Client) Await(ctx context.Context, address string, b relay.Bundle, n int) error {
	_, err := c.get(ctx, address, "/weights/held", b, n)
	return err
}

func (c *Client) get(ctx context.Context, address, path string, b relay.Bundle, n int) ([]byte, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	u := fmt.Sprintf("http://%s%s?Model=%s&Version=%d&Piece=%d",
		net.JoinHostPort(host, c.port), path, url.QueryEscape(string(b.Model)), b.Version, n)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return nil, err
	}
	res, err := c.http.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return nil, errors.Wrap(relay.ErrNotHeld, res.Status)
	}
	// The peer's own wait for the piece ends with the header.
	began := time.Now()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxBytes))
	if n >= 0 {
		c.recordTransfer(began)
	}
	return data, err
}

// Uploads returns the pieces that may be sent at once over a link.
func Uploads(linkMbps float64) int {
	return min(max(int(linkMbps/mbpsPerUpload), 1), maxUploads)
}

// Handler serves what the relay holds to peers, so many pieces at once.
func Handler(r *relay.Relay, uploads int) http.Handler {
	mux := flow.New()
	// sending holds a token for each piece that is being sent.
	sending := make(chan struct{}, uploads)
	mux.HandleFunc("/weights/manifest", func(w http.ResponseWriter, q *http.Request) {
		b, _, err := parse(q)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		m, err := r.ServeManifest(q.Context(), b)
		if err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(m)
	}, http.MethodGet)
	mux.HandleFunc("/weights/held", func(w http.ResponseWriter, q *http.Request) {
		b, n, err := parse(q)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if _, err := r.Serve(q.Context(), b, n); err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
		}
	}, http.MethodGet)
	mux.HandleFunc("/weights/piece", func(w http.ResponseWriter, q *http.Request) {
		b, n, err := parse(q)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		data, err := r.Serve(q.Context(), b, n)
		if err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
			return
		}
		select {
		case sending <- struct{}{}:
			defer func() { <-sending }()
		case <-q.Context().Done():
			return
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Length", strconv.Itoa(len(data)))
		_, _ = w.Write(data)
	}, http.MethodGet)
	return mux
}

func parse(q *http.Request) (relay.Bundle, int, error) {
	v := q.URL.Query()
	version, err := strconv.ParseInt(v.Get("Version"), 10, 64)
	if err != nil {
		return relay.Bundle{}, 0, errors.Wrap(err, "version")
	}
	n, err := strconv.Atoi(v.Get("Piece"))
	if err != nil {
		return relay.Bundle{}, 0, errors.Wrap(err, "piece")
	}
	return relay.Bundle{Model: id.Model(v.Get("Model")), Version: version}, n, nil
}
