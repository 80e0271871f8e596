package relay

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"
)

// assignedOnlyTime is how long only the designated peer is asked for a piece that is
// on its way. Going past it would use up links that others wait for.
const assignedOnlyTime = 3500 * time.Millisecond

const (
	// slowPieceTime is how long a piece may take until its peer is asked after
	// others. On an instance's link it takes about 40 ms, times the pieces
	// under way.
	slowPieceTime = 600 * time.Millisecond
	// slowExpiry is how long that is remembered.
	slowExpiry = 5 * time.Second
	// mirrorTimeout is how long a mirror may take for a piece, its wait for
	// the piece included.
	mirrorTimeout = awaitTimeout + 500*time.Millisecond
)

// markSlow remembers that an address was slow or not there, and reports whether
// it was not known to be.
func (r *Relay) markSlow(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.slowSince == nil {
		r.slowSince = map[string]time.Time{}
	}
	news := time.Since(r.slowSince[address]) >= slowExpiry
	r.slowSince[address] = time.Now()
	return news
}

// fastFirst returns the peers with those that were slow lately at the end.
func (r *Relay) fastFirst(peers []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var fast, slow []string
	for _, a := range peers {
		if time.Since(r.slowSince[a]) < slowExpiry {
			slow = append(slow, a)
		} else {
			fast = append(fast, a)
		}
	}
	return append(fast, slow...)
}

// transferAge returns for how long the bundle has been on its way.
func (r *Relay) transferAge(b Bundle) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.state(b).since)
}

// healthyMirrors returns the mirrors that did not fail lately.
func (r *Relay) healthyMirrors(mirrors []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, a := range mirrors {
		if time.Since(r.slowSince[a]) >= slowExpiry {
			out = append(out, a)
		}
	}
	return out
}

// anyPiece asks the routes for the manifest.
const anyPiece = 0

// fetch returns a checked piece from memory, a mirror, a peer or the origin.
func (r *Relay) fetch(ctx context.Context, b Bundle, n int) ([]byte, error) {
	if data := r.cachedPiece(b, n); data != nil {
		return data, nil
	}
	if _, err := r.manifest(ctx, b); err != nil {
		// It was doubted meanwhile, and can't be read anew yet.
		return nil, err
	}
	from := r.Routes(b, n)
	data, err := r.fromAny(ctx, r.healthyMirrors(from.Mirrors), b, n, r.fromMirror)
	if err == nil && data != nil {
		return data, nil
	}
	if errors.Is(err, ErrNotHeld) && r.transferAge(b) < assignedOnlyTime {
		// A mirror is there and gets the piece. Going past it would use up
		// links that others wait for.
		return nil, err
	}
	peers := from.Peers
	if !from.OriginAssigned {
		peers = r.fastFirst(peers)
	}
	for i, address := range peers {
		data, err = r.fromAny(ctx, peers[i:i+1], b, n, r.fromPeer)
		if err == nil {
			return data, nil
		}
		klog.V(1).InfoS("Peer did not give a piece", "Peer", address, "Piece", n, "Error", err.Error())
		if from.OriginAssigned && errors.Is(err, ErrNotHeld) && r.transferAge(b) < assignedOnlyTime {
			return nil, err
		}
	}
	if from.OriginAssigned && errors.Is(err, ErrNotHeld) {
		// The one that draws it is there. Going past it would make every
		// process draw from an origin that is slow or out of service.
		return nil, err
	}
	data, err = r.fromOrigin(ctx, b, n)
	if err != nil {
		return nil, err
	}
	if err := r.check(b, n, data); err != nil {
		r.recordMismatch(b)
		return nil, err
	}
	r.storePiece(b, n, data)
	r.mu.Lock()
	r.state(b).originPieces++
	r.mu.Unlock()
	return data, nil
}

// fromAny asks one address after the other. It returns nothing without any,
// and ErrNotHeld if one of them is there but lacks the piece.
func (r *Relay) fromAny(ctx context.Context, addresses []string, b Bundle, n int, ask pieceFunc) (data []byte, err error) {
	lacking := false
	for _, address := range addresses {
		if data, err = ask(ctx, address, b, n); err == nil {
			r.storePiece(b, n, data)
			return data, nil
		}
		lacking = lacking || errors.Is(err, ErrNotHeld)
	}
	if lacking {
		err = ErrNotHeld
	}
	return nil, err
}

// pieceFunc is a way to get a piece from an address.
type pieceFunc func(ctx context.Context, address string, b Bundle, n int) ([]byte, error)

// fromMirror gets a piece from a mirror, which waits for it itself.
func (r *Relay) fromMirror(ctx context.Context, address string, b Bundle, n int) ([]byte, error) {
	end, err := r.beginTransfer(ctx)
	if err != nil {
		return nil, err
	}
	defer end()
	call, cancel := context.WithTimeout(ctx, mirrorTimeout)
	defer cancel()
	data, err := r.Peers.Piece(call, address, b, n)
	if err != nil {
		if !errors.Is(err, ErrNotHeld) && ctx.Err() == nil && r.markSlow(address) {
			klog.InfoS("Mirror is left out for a while", "Mirror", address, "Version", b.Version, "Error", err.Error())
		}
		return nil, err
	}
	if err := r.check(b, n, data); err != nil {
		r.recordMismatch(b)
		return nil, err
	}
	return data, nil
}

func (r *Relay) fromOrigin(ctx context.Context, b Bundle, n int) ([]byte, error) {
	_, drawing := r.semaphores()
	if err := drawing.Acquire(ctx, 1); err != nil {
		return nil, err
	}
	defer drawing.Release(1)
	call, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return r.Origin.Piece(call, b, n)
}

func (r *Relay) fromPeer(ctx context.Context, address string, b Bundle, n int) ([]byte, error) {
	wait, cancelWait := context.WithTimeout(ctx, awaitTimeout)
	defer cancelWait()
	if err := r.Peers.Await(wait, address, b, n); err != nil {
		return nil, err
	}
	end, err := r.beginTransfer(ctx)
	if err != nil {
		return nil, err
	}
	defer end()
	call, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	began := time.Now()
	data, err := r.Peers.Piece(call, address, b, n)
	if err != nil || time.Since(began) > slowPieceTime {
		r.markSlow(address)
	}
	if err != nil {
		return nil, err
	}
	return data, r.check(b, n, data)
}

func (r *Relay) cachedPiece(b Bundle, n int) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state(b).pieces[n]
}

// recordMismatch forgets the manifest once several pieces of the origin did not match
// it, as it may have been spoilt on its way itself.
func (r *Relay) recordMismatch(b Bundle) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.state(b)
	if h.mismatch++; h.mismatch < maxMismatches {
		return
	}
	klog.InfoS("Manifest is doubted and read anew", "Model", b.Model, "Version", b.Version)
	h.manifest, h.mismatch = nil, 0
}

// manifest returns the manifest from memory, or reads it. Of several callers
// one reads it.
func (r *Relay) manifest(ctx context.Context, b Bundle) (Manifest, error) {
	r.mu.Lock()
	m := r.state(b).manifest
	r.mu.Unlock()
	if m != nil {
		return *m, nil
	}
	got, err, _ := r.manifestReads.Do(fmt.Sprint(b), func() (any, error) { return r.readManifest(ctx, b) })
	if err != nil {
		return Manifest{}, err
	}
	return got.(Manifest), nil
}

// readManifest gets the manifest from a mirror, a peer or the origin.
func (r *Relay) readManifest(ctx context.Context, b Bundle) (Manifest, error) {
	from := r.Routes(b, anyPiece)
	var err error
	for _, address := range append(r.healthyMirrors(from.Mirrors), from.Peers...) {
		var got Manifest
		call, cancel := context.WithTimeout(ctx, fetchTimeout)
		got, err = r.Peers.Manifest(call, address, b)
		cancel()
		if err == nil {
			return r.storeManifest(b, got), nil
		}
	}
	if from.OriginAssigned && errors.Is(err, ErrNotHeld) {
		return Manifest{}, err
	}
	call, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	got, err := r.Origin.Manifest(call, b)
	if err != nil {
		return Manifest{}, err
	}
	return r.storeManifest(b, got), nil
}

func (r *Relay) storeManifest(b Bundle, m Manifest) Manifest {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.state(b)
	h.manifest = &m
	h.notify()
	return m
}

// Serve returns a piece for a peer. It waits a while for one that is just
// being fetched, and looks into the own stage for one that it once staged.
func (r *Relay) Serve(ctx context.Context, b Bundle, n int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, servePieceTimeout)
	defer cancel()
	if _, err := r.ServeManifest(ctx, b); err != nil {
		return nil, err
	}
	for looked := false; ; {
		data, changed, bringing := r.lookup(b, n)
		if data != nil {
			return data, nil
		}
		if !looked {
			looked = true
			if r.staged(ctx, b, n) {
				continue
			}
		}
		if !bringing {
			return nil, ErrNotHeld
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ErrNotHeld
		}
	}
}

// lookup returns a piece or what to wait for, which is nil if the bundle is not
// to be kept here. It reports whether the bundle is on its way.
func (r *Relay) lookup(b Bundle, n int) (data []byte, changed <-chan struct{}, bringing bool) {
	r.mu.Lock()
	known := r.bundles[b] != nil
	r.mu.Unlock()
	if !known && r.OnMissing != nil && !r.OnMissing(b) {
		// A bundle that is only asked for must not displace one that is kept.
		return nil, nil, false
	}
	for asked := false; ; asked = true {
		r.mu.Lock()
		h := r.state(b)
		data, changed, bringing = h.pieces[n], h.changed, h.fetching
		r.mu.Unlock()
		if data != nil || bringing || asked || r.OnMissing == nil {
			return data, changed, bringing
		}
		r.OnMissing(b)
	}
}

// ServeManifest returns the manifest for a peer. It waits for one that is
// just being fetched and never asks peers, so that no two wait for each
// other.
func (r *Relay) ServeManifest(ctx context.Context, b Bundle) (Manifest, error) {
	for {
		_, changed, bringing := r.lookup(b, anyPiece)
		if changed == nil {
			return Manifest{}, ErrNotHeld
		}
		r.mu.Lock()
		m := r.state(b).manifest
		r.mu.Unlock()
		if m != nil {
			return *m, nil
		}
		if !bringing && r.OnMissing != nil {
			return Manifest{}, ErrNotHeld
		}
		if !bringing {
			got, err := r.Origin.Manifest(ctx, b)
			if err != nil {
				return Manifest{}, err
			}
			return r.storeManifest(b, got), nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Manifest{}, ErrNotHeld
		}
	}
}
