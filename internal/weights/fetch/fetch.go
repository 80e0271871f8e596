// Package fetch transfers the complete content of a manifest to one agent,
// following the choices of a planner.
package fetch

import (
	"context"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/weights/bitmap"
	"egretproxy/internal/weights/manifest"
	"egretproxy/internal/weights/pacer"
	"egretproxy/internal/weights/planner"
	"egretproxy/internal/weights/source"
	"egretproxy/internal/weights/store"
)

const (
	// tickInterval is the time between two rounds of planning.
	tickInterval = 20 * time.Millisecond
	// memberInterval is the time between two updates of the members.
	memberInterval = 1 * time.Second
	// maxManifestBytes limits the size of a manifest.
	maxManifestBytes = 64 << 20
	// queryTimeout limits a query to a peer.
	queryTimeout = 1 * time.Second
	// burstBytes is the burst size of the rate limiters.
	burstBytes = 64 << 10
	// retryDelay is the delay before the sources of a manifest are tried again.
	retryDelay = 50 * time.Millisecond
)

// Peer is an agent that holds or fetches the content.
type Peer struct {
	planner.Member
	// Address is the IP address and port of the agent.
	Address string
}

// Counts holds the bytes received per kind of source, and the numbers of
// corrupt and stalled transfers.
type Counts struct {
	Peers       atomic.Int64
	CrossRegion atomic.Int64
	Sources     atomic.Int64
	Corrupt     atomic.Int64
	Stalled     atomic.Int64
}

// Fetcher fetches content. Only one fetch may run at a time. Its exported
// fields must be set before use.
type Fetcher struct {
	Self    planner.Member
	Store   *store.Store
	Client  *http.Client
	Planner string
	// Scheme is the URL scheme for connections to peers, http or https.
	Scheme string
	// Sources lists the weight stores and origins in order of preference.
	Sources      []*url.URL
	Parallel     int
	StallTimeout time.Duration
	// InstanceRate and RegionRate are in bytes per second. RegionRate is
	// divided among the gateways of a region.
	InstanceRate    float64
	RegionRate      float64
	OriginPerRegion bool
	OriginRegion    id.Region
	// Peers returns the agents with the same content.
	Peers func(ctx context.Context, d manifest.Digest) ([]Peer, error)
	// Counts accumulates over all fetches.
	Counts Counts
}

// job is a fetch in progress. Only the goroutine of run modifies its fields.
type job struct {
	*Fetcher
	digest           manifest.Digest
	chunks           []manifest.Chunk
	plan             planner.Planner
	peers            map[id.Target]Peer
	limit            *rate.Limiter
	crossRegionLimit *rate.Limiter
	pacer            *pacer.Pacer
	results          chan result
	responses        chan haveResponse
	members          chan []Peer
	active           int
	remaining        int
}

type result struct {
	pick planner.Pick
	err  error
}

type haveResponse struct {
	peer id.Target
	have bitmap.Bitmap
	rtt  time.Duration
}

// Fetch returns once every chunk of the manifest is held or the context ends.
// On success the content stays pinned in the store until the caller unpins the
// manifest.
func (f *Fetcher) Fetch(ctx context.Context, d manifest.Digest) (manifest.Manifest, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	peers, err := f.Peers(ctx, d)
	if err != nil {
		peers = nil
	}
	m, err := f.manifest(ctx, d, peers)
	if err != nil {
		return m, err
	}
	f.Store.Pin(m)
	j, err := f.newJob(d, m)
	if err != nil {
		f.Store.Unpin(m)
		return m, err
	}
	j.setMembers(peers)
	if err := j.run(ctx); err != nil {
		f.Store.Unpin(m)
		return m, err
	}
	return m, nil
}

// manifest fetches and stores the manifest itself. It retries until the
// context ends.
func (f *Fetcher) manifest(ctx context.Context, d manifest.Digest, peers []Peer) (manifest.Manifest, error) {
	if data, ok := f.Store.Get(d); ok {
		return manifest.Decode(data, d)
	}
	var lastErr error
	for {
		for _, base := range f.manifestSources(peers) {
			data, err := f.newSource(base).Fetch(ctx, d, maxManifestBytes)
			if err != nil {
				lastErr = err
				continue
			}
			if err := f.Store.Put(d, data); err != nil {
				return manifest.Manifest{}, errors.Wrap(err, "store manifest")
			}
			return manifest.Decode(data, d)
		}
		select {
		case <-ctx.Done():
			return manifest.Manifest{}, errors.Wrapf(ctx.Err(), "fetch manifest: %v", lastErr)
		case <-time.After(retryDelay):
		}
	}
}

// manifestSources returns the URLs to try for a manifest: up to three peers of
// the region, then the configured sources.
func (f *Fetcher) manifestSources(peers []Peer) []*url.URL {
	var out []*url.URL
	for _, p := range peers {
		if p.Region == f.Self.Region && len(out) < 3 {
			out = append(out, f.peerURL(p))
		}
	}
	return append(out, f.Sources...)
}

func (f *Fetcher) peerURL(p Peer) *url.URL {
	return &url.URL{Scheme: f.Scheme, Host: p.Address}
}

func (f *Fetcher) newSource(base *url.URL, limits ...*rate.Limiter) *source.Source {
	return &source.Source{Base: base, Client: f.Client, StallTimeout: f.StallTimeout, Limits: limits}
}

func (f *Fetcher) newJob(d manifest.Digest, m manifest.Manifest) (*job, error) {
	j := &job{
		Fetcher: f, digest: d, chunks: m.Chunks(), peers: map[id.Target]Peer{},
		limit:            rate.NewLimiter(rate.Limit(f.InstanceRate), burstBytes),
		crossRegionLimit: rate.NewLimiter(rate.Limit(f.RegionRate), burstBytes),
		pacer:            &pacer.Pacer{Max: f.RegionRate},
		results:          make(chan result, f.Parallel), responses: make(chan haveResponse, 64),
		members: make(chan []Peer, 1),
	}
	var err error
	j.plan, err = planner.New(f.Planner, planner.Config{
		Self: f.Self, Chunks: len(j.chunks), Manifest: string(d),
		Seed: uint64(time.Now().UnixNano()), OriginPerRegion: f.OriginPerRegion,
		OriginRegion:    f.OriginRegion,
		ProgressTimeout: f.StallTimeout,
	})
	if err != nil {
		return nil, err
	}
	for i, c := range j.chunks {
		if f.Store.Has(c.Digest) {
			j.plan.MarkHeld(i)
			continue
		}
		j.remaining++
	}
	return j, nil
}

func (j *job) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	members := time.NewTicker(memberInterval)
	defer members.Stop()
	for j.remaining > 0 {
		j.start(ctx)
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "fetch")
		case r := <-j.results:
			if err := j.finish(r); err != nil {
				return err
			}
		case resp := <-j.responses:
			j.plan.AddPeerChunks(resp.peer, resp.have, time.Now())
			j.sampleRTT(resp)
		case peers := <-j.members:
			j.setMembers(peers)
		case <-members.C:
			go j.refresh(ctx)
		case <-ticker.C:
			j.sendQueries(ctx)
		}
	}
	return nil
}
