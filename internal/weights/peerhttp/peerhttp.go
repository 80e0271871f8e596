// Package peerhttp transfers manifests and pieces of weights over HTTP between
// site agents and mirrors.
package peerhttp

import (
	"context"
	"encoding/json"
	"fmt"
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
	"egretproxy/internal/wire/bodylimit"
	"egretproxy/internal/wire/header"
	"egretproxy/internal/wire/liveness"
)

const (
	// maxManifestBytes limits the size of a manifest.
	maxManifestBytes = 8 << 20
	// maxReplyBytes limits the response to Await, whose body is empty.
	maxReplyBytes = 4 << 10
	// idleTimeout closes idle connections to peers between versions.
	idleTimeout = 5 * time.Second
	// EngineUploads is the number of concurrent uploads from an instance with
	// an engine. Engine responses share its link, and their events must not
	// queue behind several pieces.
	EngineUploads = 1
	// mbpsPerUpload is the link capacity in Mbit/s per concurrent upload on
	// other instances. It is about that of the link of an engine's instance, so
	// that uploads to these use the whole link. Responses to callers queue for
	// 45 ms behind pieces of 48 KiB.
	mbpsPerUpload = 9
	// maxUploads limits the concurrent uploads on fast links.
	maxUploads = 64
	// delayExpiryFactor is the time for which a measured link delay stays
	// valid, as a multiple of the delay: a pause as long as the piece, the
	// next piece, and a margin.
	delayExpiryFactor = 4
	// maxConnsPerPeer limits the connections to one peer. Most of them wait for
	// a piece.
	maxConnsPerPeer = 64
)

// Client requests manifests and pieces from peers. It implements relay.Peers
// and is safe for concurrent use. Use NewClient to create one.
type Client struct {
	http *http.Client
	// port is the port on which all peers listen.
	port string
	// pieceLimit returns the limit on a piece in bytes.
	pieceLimit func() int64

	mu sync.Mutex
	// transferTime is the duration of the latest piece transfer, which ended
	// at transferEnd.
	transferTime time.Duration
	transferEnd  time.Time
}

// LinkDelay returns how long other data waits behind pieces on this instance's
// link: the duration of the latest piece transfer, or 0 if none ended
// recently. Recently means within the given time, or longer on a slow link,
// where the next piece only follows after a pause.
func (c *Client) LinkDelay(within time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.transferEnd) > max(within, delayExpiryFactor*c.transferTime) {
		return 0
	}
	return c.transferTime
}

func (c *Client) recordTransfer(start time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.transferTime, c.transferEnd = time.Since(start), time.Now()
}

// NewClient returns a client for peers that all listen on the given port. The
// function returns the limit on a piece in bytes.
func NewClient(port string, pieceLimit func() int64) *Client {
	return &Client{
		port: port, pieceLimit: pieceLimit,
		http: &http.Client{Transport: &http.Transport{
			DialContext: liveness.Dialer().DialContext, DisableCompression: true,
			MaxResponseHeaderBytes: header.MaxResponseBytes, IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: maxConnsPerPeer, MaxConnsPerHost: maxConnsPerPeer,
		}},
	}
}

// Manifest implements relay.Peers.
func (c *Client) Manifest(ctx context.Context, address string, b relay.Bundle) (relay.Manifest, error) {
	var m relay.Manifest
	data, err := c.get(ctx, address, "/weights/manifest", b, -1, maxManifestBytes)
	if err != nil {
		return m, err
	}
	return m, json.Unmarshal(data, &m)
}

// Piece implements relay.Peers.
func (c *Client) Piece(ctx context.Context, address string, b relay.Bundle, n int) ([]byte, error) {
	return c.get(ctx, address, "/weights/piece", b, n, c.pieceLimit())
}

// Await implements relay.Peers.
func (c *Client) Await(ctx context.Context, address string, b relay.Bundle, n int) error {
	_, err := c.get(ctx, address, "/weights/held", b, n, maxReplyBytes)
	return err
}

func (c *Client) get(ctx context.Context, address, path string, b relay.Bundle, n int, limit int64) ([]byte, error) {
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
	// The response header ends the time for which the peer waits for the piece
	// itself.
	start := time.Now()
	data, err := bodylimit.ReadAll(res.Body, limit)
	if n >= 0 {
		c.recordTransfer(start)
	}
	return data, err
}

// Uploads returns the number of concurrent uploads for a link of the given
// capacity in Mbit/s.
func Uploads(linkMbps float64) int {
	return min(max(int(linkMbps/mbpsPerUpload), 1), maxUploads)
}

// Handler returns the HTTP handler that serves the contents of the relay to
// peers, with a limit on concurrent piece uploads.
func Handler(r *relay.Relay, uploads int) http.Handler {
	mux := flow.New()
	// sending is a semaphore with one slot per concurrent upload.
	sending := make(chan struct{}, uploads)
	mux.HandleFunc("/weights/manifest", func(w http.ResponseWriter, req *http.Request) {
		b, _, err := parseRequest(req)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		m, err := r.ServeManifest(req.Context(), b)
		if err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(m)
	}, http.MethodGet)
	mux.HandleFunc("/weights/held", func(w http.ResponseWriter, req *http.Request) {
		b, n, err := parseRequest(req)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if _, err := r.Serve(req.Context(), b, n); err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
		}
	}, http.MethodGet)
	mux.HandleFunc("/weights/piece", func(w http.ResponseWriter, req *http.Request) {
		b, n, err := parseRequest(req)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		data, err := r.Serve(req.Context(), b, n)
		if err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
			return
		}
		select {
		case sending <- struct{}{}:
			defer func() { <-sending }()
		case <-req.Context().Done():
			return
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Length", strconv.Itoa(len(data)))
		_, _ = w.Write(data)
	}, http.MethodGet)
	return mux
}

func parseRequest(req *http.Request) (relay.Bundle, int, error) {
	v := req.URL.Query()
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
