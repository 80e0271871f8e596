// Package fetch brings the whole content of a manifest to one agent, by the
// picks of a planner.
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
	// tickInterval is the time between two looks at what to do.
	tickInterval = 20 * time.Millisecond
	// memberInterval is the time between two looks at the members.
	memberInterval = 1 * time.Second
	// maxManifestBytes bounds the size of a manifest.
	maxManifestBytes = 64 << 20
	// queryTimeout bounds a question to a peer.
	queryTimeout = 1 * time.Second
	// burstBytes is the burst of the rate limits.
	burstBytes = 64 << 10
	// busyPause is the time before a busy source is asked again.
	busyPause = 50 * time.Millisecond
)

// Peer is an agent that holds or fetches the content.
type Peer struct {
	planner.Member
	// Address is the IP address and port of the agent.
	Address string
}

// Counts is what a fetcher has drawn so far, in bytes.
type Counts struct {
	Peers       atomic.Int64
	CrossRegion atomic.Int64
	Sources     atomic.Int64
	Corrupt     atomic.Int64
	Stalled     atomic.Int64
}

// Fetcher fetches content. It is safe for one fetch at a time.
type Fetcher struct {
	Self    planner.Member
	Store   *store.Store
	Client  *http.Client
	Planner string
	// Scheme is http or https, for connections to peers.
	Scheme string
	// Sources is the weight stores and origins in order of preference.
	Sources      []*url.URL
	Parallel     int
	StallTimeout time.Duration
	// InstanceRate and RegionRate are in bytes a second. The gateways of a
	// region share RegionRate.
	InstanceRate    float64
	RegionRate      float64
	OriginPerRegion bool
	OriginRegion    id.Region
	// Peers lists the agents with the same content.
	Peers func(ctx context.Context, d manifest.Digest) ([]Peer, error)
	// Counts adds up over all fetches.
	Counts Counts
}

// job is one fetch in progress.
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

// Fetch returns once every chunk of the manifest is held, or the context
// ends. The content is pinned on success; Unpin it with the manifest.
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
	j, err := f.job(d, m)
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

// manifest fetches and holds the manifest itself.
func (f *Fetcher) manifest(ctx context.Context, d manifest.Digest, peers []Peer) (manifest.Manifest, error) {
	if data, ok := f.Store.Get(d); ok {
		return manifest.Decode(data, d)
	}
	var last error
	for {
		for _, base := range f.manifestSources(peers) {
			data, err := f.source(base).Fetch(ctx, d, maxManifestBytes)
			if err != nil {
				last = err
				continue
			}
			if err := f.Store.Put(d, data); err != nil {
				return manifest.Manifest{}, errors.Wrap(err, "hold manifest")
			}
			return manifest.Decode(data, d)
		}
		select {
		case <-ctx.Done():
			return manifest.Manifest{}, errors.Wrapf(ctx.Err(), "fetch manifest: %v", last)
		case <-time.After(busyPause):
		}
	}
}

// manifestSources lists where a manifest may be, the own region first.
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

func (f *Fetcher) source(base *url.URL, limits ...*rate.Limiter) *source.Source {
	return &source.Source{Base: base, Client: f.Client, StallTimeout: f.StallTimeout, Limits: limits}
}

func (f *Fetcher) job(d manifest.Digest, m manifest.Manifest) (*job, error) {
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
		case a := <-j.responses:
			j.plan.AddPeerChunks(a.peer, a.have, time.Now())
			j.sampleRTT(a)
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
