// Package relay transfers a version of weights to one engine: preferably from
// engines in the same failure domain, with one copy over each link between
// regions and one copy from the origin. Every piece is verified before it is
// used or forwarded.
package relay

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"
	"golang.org/x/sync/singleflight"
	"k8s.io/klog/v2"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/clock"
	"egretproxy/internal/kernel/wakeup"
	"egretproxy/internal/weights/succession"
)

// Errors returned by the relay.
var (
	// ErrCorrupt means that a piece does not match its digest.
	ErrCorrupt = errors.New("piece does not match its digest")
	// ErrNotHeld means that a peer does not hold the piece.
	ErrNotHeld = errors.New("piece is not held")
)

const (
	// maxParallelPieces limits the pieces that are processed concurrently.
	// Most of them wait for a source that is itself fetching the piece, so a
	// small limit would leave links idle.
	maxParallelPieces = 64
	// orderedPieces is the number of pieces that are processed concurrently if they
	// come from mirrors in order: those that are transferred, staged and next.
	orderedPieces = maxPeerTransfers + 2
	// maxPeerTransfers limits the concurrent transfers from mirrors and peers.
	// More would queue on the instance's link ahead of live requests.
	maxPeerTransfers = 2
	// slowLinkDelay is the transfer time of a piece above which the link
	// counts as slow and half of the time is left to live requests. On an
	// engine's usual link a piece takes 0.04 s, and twice that with two at
	// once.
	slowLinkDelay = 250 * time.Millisecond
	// maxOriginTransfers limits the concurrent transfers from the origin,
	// which other processes wait for.
	maxOriginTransfers = 4
	// servePieceTimeout is how long a request from a peer waits for a piece
	// that this process is fetching.
	servePieceTimeout = 800 * time.Millisecond
	// awaitTimeout is the time without a response to an Await request after
	// which a peer is considered unreachable.
	awaitTimeout = 1300 * time.Millisecond
	// fetchTimeout limits one transfer.
	fetchTimeout = 2800 * time.Millisecond
	retryDelay   = 100 * time.Millisecond
	// maxMismatches is the number of corrupted pieces from mirrors or the
	// origin after which the manifest itself is discarded.
	maxMismatches = 3
	// keptVersions is the number of bundles kept in memory for peers.
	keptVersions = 2
)

// Bundle identifies a version of a model's weights.
type Bundle struct {
	Model   id.Model
	Version int64
}

// Manifest lists the SHA-256 digests of the pieces in hexadecimal.
type Manifest struct{ Digests []string }

// Origin is the primary source of weights.
type Origin interface {
	Manifest(ctx context.Context, b Bundle) (Manifest, error)
	Piece(ctx context.Context, b Bundle, n int) ([]byte, error)
}

// Peers sends requests to the agents beside other engines and to mirrors.
type Peers interface {
	Manifest(ctx context.Context, address string, b Bundle) (Manifest, error)
	Piece(ctx context.Context, address string, b Bundle, n int) ([]byte, error)
	// Await returns nil once the peer holds the piece, or ErrNotHeld.
	Await(ctx context.Context, address string, b Bundle, n int) error
}

// Stage is the storage from which the local engine loads weights.
type Stage interface {
	Put(ctx context.Context, m id.Model, n int, data []byte) error
	// Get returns ErrNotHeld if the piece does not exist.
	Get(ctx context.Context, m id.Model, n int) ([]byte, error)
}

// Sources lists the addresses to ask for a piece, best first.
type Sources struct {
	// Mirrors hold complete versions. They are asked first.
	Mirrors []string
	// Peers are agents beside engines.
	Peers []string
	// OriginAssigned means that one of the addresses is responsible for
	// fetching the piece from the origin, so that this process does not.
	OriginAssigned bool
}

// Routes returns the sources of a piece. A piece without sources is fetched
// from the origin.
type Routes func(b Bundle, n int) Sources

// Relay fetches, verifies and serves bundles. It is safe for concurrent use;
// its exported fields must be set before use.
type Relay struct {
	Origin Origin
	Peers  Peers
	Stage  Stage
	Routes Routes
	// Priority returns the rank of a piece by how many processes depend on
	// this one for it. Rank 0 is fetched first.
	Priority func(b Bundle, n int) int
	// Mirror means that this process is a mirror. Others fetch the pieces from it
	// in ascending order.
	Mirror bool
	// LinkDelay, if not nil, returns the recent transfer time of a piece on
	// this instance's link.
	LinkDelay func() time.Duration
	// OnMissing, if not nil, is called when a peer requests a bundle that is
	// not being fetched. It reports whether the bundle may be kept here.
	OnMissing func(b Bundle) bool

	manifestReads singleflight.Group

	mu          sync.Mutex
	bundles     map[Bundle]*bundleState
	bundleOrder []Bundle
	// lastSlow is the time at which a peer was last slow or failed.
	lastSlow map[string]time.Time
	// peerSlots limits the concurrent transfers from mirrors and peers,
	// originSlots those from the origin.
	peerSlots, originSlots *semaphore.Weighted
}

// semaphores returns the limits on transfers from peers and from the origin.
func (r *Relay) semaphores() (peerSlots, originSlots *semaphore.Weighted) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.peerSlots == nil {
		r.peerSlots, r.originSlots = semaphore.NewWeighted(maxPeerTransfers), semaphore.NewWeighted(maxOriginTransfers)
	}
	return r.peerSlots, r.originSlots
}

// beginTransfer waits for a slot for a transfer from a mirror or peer. The
// returned function releases the slot. On a slow link only one transfer runs
// at a time and is followed by a pause of the same length, since the requests of
// callers and the ends of requests arrive over the same link.
func (r *Relay) beginTransfer(ctx context.Context) (release func(), err error) {
	peerSlots, _ := r.semaphores()
	weight := int64(1)
	if r.linkDelay() > slowLinkDelay {
		weight = maxPeerTransfers
	}
	if err := peerSlots.Acquire(ctx, weight); err != nil {
		return nil, err
	}
	return func() {
		if took := r.linkDelay(); took > slowLinkDelay {
			clock.Sleep(ctx, min(took, fetchTimeout))
		}
		peerSlots.Release(weight)
	}, nil
}

func (r *Relay) linkDelay() time.Duration {
	if r.LinkDelay == nil {
		return 0
	}
	return r.LinkDelay()
}

// bundleState is the state of one bundle. It is protected by Relay.mu.
type bundleState struct {
	manifest *Manifest
	pieces   map[int][]byte
	// mismatch counts the corrupted pieces since the manifest was last
	// discarded.
	mismatch int
	// originPieces counts the pieces fetched from the origin.
	originPieces int
	// fetching means that a transfer of the bundle is in progress.
	fetching bool
	since    time.Time
	// waitingSince is when the transfer in progress began or the newest piece
	// arrived, waited the time of earlier transfers since that piece.
	waitingSince time.Time
	waited       time.Duration
	// changed is sent when a piece or the manifest arrives.
	changed wakeup.Signal
}

// state returns the state of the bundle and creates it if necessary, which
// evicts the oldest bundle beyond keptVersions. The caller must hold r.mu.
func (r *Relay) state(b Bundle) *bundleState {
	if r.bundles == nil {
		r.bundles = map[Bundle]*bundleState{}
	}
	st := r.bundles[b]
	if st != nil {
		return st
	}
	st = &bundleState{pieces: map[int][]byte{}}
	r.bundles[b] = st
	r.bundleOrder = append(r.bundleOrder, b)
	if len(r.bundleOrder) > keptVersions {
		delete(r.bundles, r.bundleOrder[0])
		r.bundleOrder = r.bundleOrder[1:]
	}
	return st
}

// StageBundle fetches every piece of the bundle and stages it at the local
// engine. It retries failed pieces until the context ends.
func (r *Relay) StageBundle(ctx context.Context, b Bundle) error {
	r.setFetching(b, true)
	defer r.setFetching(b, false)
	m, err := r.manifest(ctx, b)
	if err != nil {
		return err
	}
	start := time.Now()
	if err := r.forEachPiece(ctx, b, m, r.stagePiece); err != nil {
		return err
	}
	r.mu.Lock()
	originPieces := r.state(b).originPieces
	r.mu.Unlock()
	klog.InfoS("Weights are staged", "Model", b.Model, "Version", b.Version, "Took", time.Since(start).String(),
		"Pieces", len(m.Digests), "DrawnFromOrigin", originPieces)
	return nil
}

// FetchBundle fetches every piece of the bundle into memory, for an engine that
// has not started yet.
func (r *Relay) FetchBundle(ctx context.Context, b Bundle) error {
	r.setFetching(b, true)
	defer r.setFetching(b, false)
	m, err := r.manifest(ctx, b)
	if err != nil {
		return err
	}
	return r.forEachPiece(ctx, b, m, r.fetchPiece)
}

// forEachPiece calls handle for all pieces. Where mirrors provide them in order,
// few calls at once keep to that order; otherwise up to maxParallelPieces wait for
// the sources of their pieces.
func (r *Relay) forEachPiece(ctx context.Context, b Bundle, m Manifest, handle func(ctx context.Context, b Bundle, n int) error) error {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxParallelPieces)
	if !r.Mirror && len(r.Routes(b, anyPiece).Mirrors) > 0 {
		g.SetLimit(orderedPieces)
	}
	for _, n := range r.order(b, len(m.Digests)) {
		g.Go(func() error { return handle(ctx, b, n) })
	}
	return g.Wait()
}

// Probe checks that the bundle is available: its manifest and one piece are
// held, or a source delivers them within its timeout.
func (r *Relay) Probe(ctx context.Context, b Bundle) error {
	if _, err := r.manifest(ctx, b); err != nil {
		return err
	}
	_, err := r.fetch(ctx, b, anyPiece)
	return err
}

// Complete reports whether all pieces of the bundle are in memory.
func (r *Relay) Complete(b Bundle) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	st := r.state(b)
	return st.manifest != nil && len(st.pieces) == len(st.manifest.Digests)
}

// Copy returns how much of the bundle is in memory. It keeps no state of a bundle that
// is not known, which would displace another one.
func (r *Relay) Copy(b Bundle) succession.Copy {
	r.mu.Lock()
	defer r.mu.Unlock()
	st := r.bundles[b]
	if st == nil {
		return succession.Copy{}
	}
	out := succession.Copy{Held: len(st.pieces), Waited: st.waited}
	if st.fetching {
		out.Waited += time.Since(st.waitingSince)
	}
	if st.manifest != nil {
		out.Pieces = len(st.manifest.Digests)
	}
	return out
}

func (r *Relay) setFetching(b Bundle, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	st := r.state(b)
	now := time.Now()
	if st.fetching {
		st.waited += now.Sub(st.waitingSince)
	}
	st.fetching, st.waitingSince = on, now
	if on && st.since.IsZero() {
		st.since = now
	}
}

func (r *Relay) stagePiece(ctx context.Context, b Bundle, n int) error {
	if r.loadStagedPiece(ctx, b, n) {
		return nil
	}
	return r.fetchUntilStored(ctx, b, n, func(data []byte) error { return r.Stage.Put(ctx, b.Model, n, data) })
}

func (r *Relay) fetchPiece(ctx context.Context, b Bundle, n int) error {
	return r.fetchUntilStored(ctx, b, n, func([]byte) error { return nil })
}

// fetchUntilStored fetches a piece and passes it to put, and retries both
// until they succeed or the context ends.
func (r *Relay) fetchUntilStored(ctx context.Context, b Bundle, n int, put func(data []byte) error) error {
	for {
		data, err := r.fetch(ctx, b, n)
		if err == nil {
			err = put(data)
		}
		if err == nil {
			return nil
		}
		klog.V(1).InfoS("Failed to fetch or store piece; retrying", "Piece", n, "Version", b.Version, "Error", err.Error())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(retryDelay):
		}
	}
}

// loadStagedPiece copies a valid piece from the stage into memory. It reports
// whether the stage holds one, as it does after a restart.
func (r *Relay) loadStagedPiece(ctx context.Context, b Bundle, n int) bool {
	data, err := r.Stage.Get(ctx, b.Model, n)
	if err != nil || r.verifyPiece(b, n, data) != nil {
		return false
	}
	r.storePiece(b, n, data)
	return true
}

func (r *Relay) storePiece(b Bundle, n int, data []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	st := r.state(b)
	if st.pieces[n] == nil {
		st.waitingSince, st.waited = time.Now(), 0
	}
	st.pieces[n] = data
	st.changed.Send()
}
