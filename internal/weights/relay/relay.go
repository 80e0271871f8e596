// Package relay brings a version of weights to one engine: from engines of
// the same failure domain where it can, over each link between regions once,
// and from the origin once. Every piece is checked before it is used or
// passed on.
package relay

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"
	"golang.org/x/sync/singleflight"
	"k8s.io/klog/v2"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/clock"
)

// Errors of the relay.
var (
	// ErrCorrupt tells that bytes do not match their digest.
	ErrCorrupt = errors.New("piece does not match its digest")
	// ErrNotHeld tells that a peer does not hold the piece.
	ErrNotHeld = errors.New("piece is not held")
)

const (
	// maxParallelPieces is the pieces that are fetched at once. Most of them wait for
	// a source that is just fetching the piece itself, so a small number
	// would leave links idle.
	maxParallelPieces = 64
	// maxPeerTransfers is the pieces that are on their way to this process at once.
	// More would queue on the instance's link ahead of live requests.
	maxPeerTransfers = 2
	// slowLinkDelay is how long a piece takes on a link that live requests must
	// have for themselves half of the time. On an engine's usual link it takes
	// 0.04 s, and twice that for two at once.
	slowLinkDelay = 250 * time.Millisecond
	// maxOriginTransfers is the same for pieces from the origin, which others wait for.
	maxOriginTransfers = 4
	// servePieceTimeout is how long a peer lets another one wait for a piece that it
	// is just fetching itself.
	servePieceTimeout = 800 * time.Millisecond
	// awaitTimeout is how long a peer may leave that question unanswered
	// until it is taken for gone.
	awaitTimeout = 1300 * time.Millisecond
	// fetchTimeout bounds one transfer.
	fetchTimeout = 2800 * time.Millisecond
	retryDelay   = 100 * time.Millisecond
	// maxMismatches is the spoilt pieces from the origin after which the
	// manifest itself is doubted.
	maxMismatches = 3
	// keptVersions is the versions that are kept for peers.
	keptVersions = 2
)

// Bundle names a version of a model's weights.
type Bundle struct {
	Model   id.Model
	Version int64
}

// Manifest lists the SHA-256 digests of the pieces in hexadecimal.
type Manifest struct{ Digests []string }

// Origin is where weights come from at first.
type Origin interface {
	Manifest(ctx context.Context, b Bundle) (Manifest, error)
	Piece(ctx context.Context, b Bundle, n int) ([]byte, error)
}

// Peers asks other engines' processes.
type Peers interface {
	Manifest(ctx context.Context, address string, b Bundle) (Manifest, error)
	Piece(ctx context.Context, address string, b Bundle, n int) ([]byte, error)
	// Await returns once the peer holds the piece, or ErrNotHeld.
	Await(ctx context.Context, address string, b Bundle, n int) error
}

// Stage is the place of the own engine from which it loads.
type Stage interface {
	Put(ctx context.Context, m id.Model, n int, data []byte) error
	// Get returns ErrNotHeld for a piece that is not there.
	Get(ctx context.Context, m id.Model, n int) ([]byte, error)
}

// Sources is whom to ask for a piece, best first.
type Sources struct {
	// Mirrors keep whole versions for others. They are asked first.
	Mirrors []string
	// Peers are processes beside engines.
	Peers []string
	// OriginAssigned tells that one of them draws the piece from the origin, which is
	// then left to it.
	OriginAssigned bool
}

// Routes returns the sources of a piece. Without any it comes from the origin.
type Routes func(b Bundle, n int) Sources

// Relay is safe for concurrent use. Its fields are set before use.
type Relay struct {
	Origin Origin
	Peers  Peers
	Stage  Stage
	Routes Routes
	// Priority ranks a piece by how many depend on this process for it; 0 comes
	// first.
	Priority func(b Bundle, n int) int
	// LinkDelay returns how long the newest pieces took on the own link, if set.
	LinkDelay func() time.Duration
	// OnMissing is called when others ask for a bundle that is not on its
	// way, if set. It reports whether the bundle may be kept here.
	OnMissing func(b Bundle) bool

	manifestReads singleflight.Group

	mu      sync.Mutex
	bundles map[Bundle]*bundleState
	recent  []Bundle
	// slowSince is when a peer last took long for a piece.
	slowSince map[string]time.Time
	// peerSlots and drawing bound the transfers in progress from others and from
	// the origin.
	peerSlots, originSlots *semaphore.Weighted
}

// semaphores returns the bounds of transfers from others and from the origin.
func (r *Relay) semaphores() (slots, drawing *semaphore.Weighted) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.peerSlots == nil {
		r.peerSlots, r.originSlots = semaphore.NewWeighted(maxPeerTransfers), semaphore.NewWeighted(maxOriginTransfers)
	}
	return r.peerSlots, r.originSlots
}

// beginTransfer waits for the right to beginTransfer a transfer from others. The function that
// it returns ends the transfer. On a slow link there is one at a time, with a
// pause as long after it, since the callers' requests and their ends come by
// the same link.
func (r *Relay) beginTransfer(ctx context.Context) (end func(), err error) {
	slots, _ := r.semaphores()
	weight := int64(1)
	if r.linkDelay() > slowLinkDelay {
		weight = maxPeerTransfers
	}
	if err := slots.Acquire(ctx, weight); err != nil {
		return nil, err
	}
	return func() {
		if took := r.linkDelay(); took > slowLinkDelay {
			clock.Sleep(ctx, min(took, fetchTimeout))
		}
		slots.Release(weight)
	}, nil
}

func (r *Relay) linkDelay() time.Duration {
	if r.LinkDelay == nil {
		return 0
	}
	return r.LinkDelay()
}

// bundleState is what is known of one bundle.
type bundleState struct {
	manifest *Manifest
	pieces   map[int][]byte
	// mismatch counts spoilt pieces from the origin in a row.
	mismatch int
	// originPieces counts the pieces taken from the origin.
	originPieces int
	// fetching tells that the bundle is on its way to the own engine.
	fetching bool
	since    time.Time
	// changed is closed and replaced when a piece or the manifest arrives.
	changed chan struct{}
}

func (r *Relay) state(b Bundle) *bundleState {
	if r.bundles == nil {
		r.bundles = map[Bundle]*bundleState{}
	}
	h := r.bundles[b]
	if h != nil {
		return h
	}
	h = &bundleState{pieces: map[int][]byte{}, changed: make(chan struct{})}
	r.bundles[b] = h
	r.recent = append(r.recent, b)
	if len(r.recent) > keptVersions {
		delete(r.bundles, r.recent[0])
		r.recent = r.recent[1:]
	}
	return h
}

func (h *bundleState) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// StageBundle stages every piece of the bundle at the own engine.
func (r *Relay) StageBundle(ctx context.Context, b Bundle) error {
	r.setFetching(b, true)
	defer r.setFetching(b, false)
	m, err := r.manifest(ctx, b)
	if err != nil {
		return err
	}
	began := time.Now()
	if err := r.each(ctx, b, m, r.stagePiece); err != nil {
		return err
	}
	r.mu.Lock()
	drawn := r.state(b).originPieces
	r.mu.Unlock()
	klog.InfoS("Weights are staged", "Model", b.Model, "Version", b.Version, "Took", time.Since(began).String(),
		"Pieces", len(m.Digests), "DrawnFromOrigin", drawn)
	return nil
}

// Fetch takes every piece of the bundle into memory, for an engine that is not
// there yet.
func (r *Relay) Fetch(ctx context.Context, b Bundle) error {
	r.setFetching(b, true)
	defer r.setFetching(b, false)
	m, err := r.manifest(ctx, b)
	if err != nil {
		return err
	}
	return r.each(ctx, b, m, r.fetchPiece)
}

// each handles all pieces, several at once.
func (r *Relay) each(ctx context.Context, b Bundle, m Manifest, handle func(ctx context.Context, b Bundle, n int) error) error {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxParallelPieces)
	for _, n := range r.order(b, len(m.Digests)) {
		g.Go(func() error { return handle(ctx, b, n) })
	}
	return g.Wait()
}

// Probe reports whether the bundle can be had: its manifest and a piece are
// there, or arrive within a short wait of a source.
func (r *Relay) Probe(ctx context.Context, b Bundle) error {
	if _, err := r.manifest(ctx, b); err != nil {
		return err
	}
	_, err := r.fetch(ctx, b, anyPiece)
	return err
}

// Complete reports whether all pieces of the bundle were brought.
func (r *Relay) Complete(b Bundle) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.state(b)
	return h.manifest != nil && len(h.pieces) == len(h.manifest.Digests)
}

func (r *Relay) setFetching(b Bundle, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.state(b)
	h.fetching = on
	if on && h.since.IsZero() {
		h.since = time.Now()
	}
}

// order returns the pieces, those first that others get from here. The rest
// is shuffled, so that not all processes ask the same source at once. Mirrors
// get pieces in ascending order and are asked for them so.
func (r *Relay) order(b Bundle, count int) []int {
	out := rand.Perm(count)
	if len(r.Routes(b, anyPiece).Mirrors) > 0 {
		slices.Sort(out)
	}
	slices.SortStableFunc(out, func(x, y int) int { return cmp.Compare(r.Priority(b, x), r.Priority(b, y)) })
	return out
}

func (r *Relay) stagePiece(ctx context.Context, b Bundle, n int) error {
	if r.staged(ctx, b, n) {
		return nil
	}
	return r.fetchUntilStored(ctx, b, n, func(data []byte) error { return r.Stage.Put(ctx, b.Model, n, data) })
}

func (r *Relay) fetchPiece(ctx context.Context, b Bundle, n int) error {
	return r.fetchUntilStored(ctx, b, n, func([]byte) error { return nil })
}

// fetchUntilStored fetches a piece and hands it on, again and again until both
// succeed.
func (r *Relay) fetchUntilStored(ctx context.Context, b Bundle, n int, put func(data []byte) error) error {
	for {
		data, err := r.fetch(ctx, b, n)
		if err == nil {
			err = put(data)
		}
		if err == nil {
			return nil
		}
		klog.V(1).InfoS("Piece is not there yet", "Piece", n, "Version", b.Version, "Error", err.Error())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(retryDelay):
		}
	}
}

// staged reports whether the own engine holds the piece already, as after a
// restart.
func (r *Relay) staged(ctx context.Context, b Bundle, n int) bool {
	data, err := r.Stage.Get(ctx, b.Model, n)
	if err != nil || r.check(b, n, data) != nil {
		return false
	}
	r.storePiece(b, n, data)
	return true
}

// Verify reads all pieces back and mends those that are missing or spoilt.
func (r *Relay) Verify(ctx context.Context, b Bundle) error {
	m, err := r.manifest(ctx, b)
	if err != nil {
		return err
	}
	for n := range m.Digests {
		data, err := r.Stage.Get(ctx, b.Model, n)
		if err == nil && r.check(b, n, data) == nil {
			continue
		}
		klog.InfoS("Staged piece is spoilt or missing", "Piece", n, "Version", b.Version)
		if err := r.repair(ctx, b, n); err != nil {
			return err
		}
	}
	return nil
}

func (r *Relay) repair(ctx context.Context, b Bundle, n int) error {
	data, err := r.fetch(ctx, b, n)
	if err != nil {
		return err
	}
	if err := r.Stage.Put(ctx, b.Model, n, data); err != nil {
		return err
	}
	data, err = r.Stage.Get(ctx, b.Model, n)
	if err != nil {
		return err
	}
	return r.check(b, n, data)
}

func (r *Relay) check(b Bundle, n int, data []byte) error {
	r.mu.Lock()
	m := r.state(b).manifest
	r.mu.Unlock()
	if m == nil || n < 0 || n >= len(m.Digests) {
		return ErrNotHeld
	}
	sum := sha256.Sum256(data)
	if hex.EncodeToString(sum[:]) != m.Digests[n] {
		return ErrCorrupt
	}
	return nil
}

func (r *Relay) storePiece(b Bundle, n int, data []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.state(b)
	h.pieces[n] = data
	h.notify()
}
