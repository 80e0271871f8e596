package relay

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"
)

// steadfast is how long only the designated peer is asked for a piece that is
// on its way. Going past it would use up links that others wait for.
const steadfast = 3500 * time.Millisecond

const (
	// slowPiece is how long a piece may take until its peer is asked after
	// others. On an instance's link it takes about 40 ms, times the pieces
	// under way.
	slowPiece = 600 * time.Millisecond
	// slowFor is how long that is remembered.
	slowFor = 5 * time.Second
	// mirrorTimeout is how long a mirror may take for a piece, its wait for
	// the piece included.
	mirrorTimeout = awaitTimeout + 500*time.Millisecond
)

// noteSlow remembers that an address was slow or not there, and reports whether
// it was not known to be.
func (r *Relay) noteSlow(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.slow == nil {
		r.slow = map[string]time.Time{}
	}
	news := time.Since(r.slow[address]) >= slowFor
	r.slow[address] = time.Now()
	return news
}

// fastFirst returns the peers with those that were slow lately at the end.
func (r *Relay) fastFirst(peers []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var fast, slow []string
	for _, a := range peers {
		if time.Since(r.slow[a]) < slowFor {
			slow = append(slow, a)
		} else {
			fast = append(fast, a)
		}
	}
	return append(fast, slow...)
}

// age returns for how long the bundle has been on its way.
func (r *Relay) age(b Bundle) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.of(b).since)
}

// sound returns the mirrors that did not fail lately.
func (r *Relay) sound(mirrors []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, a := range mirrors {
		if time.Since(r.slow[a]) >= slowFor {
			out = append(out, a)
		}
	}
	return out
}

// anyPiece asks the routes for the manifest.
const anyPiece = 0

// fetch returns a checked piece from memory, a mirror, a peer or the origin.
func (r *Relay) fetch(ctx context.Context, b Bundle, n int) ([]byte, error) {
	if data := r.kept(b, n); data != nil {
		return data, nil
	}
	if _, err := r.manifest(ctx, b); err != nil {
		// It was doubted meanwhile, and can't be read anew yet.
		return nil, err
	}
	from := r.Routes(b, n)
	data, err := r.fromAny(ctx, r.sound(from.Mirrors), b, n, r.fromMirror)
	if err == nil && data != nil {
		return data, nil
	}
	if errors.Is(err, ErrNotHeld) && r.age(b) < steadfast {
		// A mirror is there and gets the piece. Going past it would use up
		// links that others wait for.
		return nil, err
	}
	peers := from.Peers
	if !from.Drawn {
		peers = r.fastFirst(peers)
	}
	for i, address := range peers {
		data, err = r.fromAny(ctx, peers[i:i+1], b, n, r.fromPeer)
		if err == nil {
			return data, nil
		}
		klog.V(1).InfoS("Peer did not give a piece", "Peer", address, "Piece", n, "Error", err.Error())
		if from.Drawn && errors.Is(err, ErrNotHeld) && r.age(b) < steadfast {
			return nil, err
		}
	}
	if from.Drawn && errors.Is(err, ErrNotHeld) {
		// The one that draws it is there. Going past it would make every
		// process draw from an origin that is slow or out of service.
		return nil, err
	}
	data, err = r.fromOrigin(ctx, b, n)
	if err != nil {
		return nil, err
	}
	if err := r.check(b, n, data); err != nil {
		r.doubt(b)
		return nil, err
	}
	r.keep(b, n, data)
	r.mu.Lock()
	r.of(b).drawn++
	r.mu.Unlock()
	return data, nil
}

// fromAny asks one address after the other. It returns nothing without any,
// and ErrNotHeld if one of them is there but lacks the piece.
func (r *Relay) fromAny(ctx context.Context, addresses []string, b Bundle, n int, ask asking) (data []byte, err error) {
	lacking := false
	for _, address := range addresses {
		if data, err = ask(ctx, address, b, n); err == nil {
			r.keep(b, n, data)
			return data, nil
		}
		lacking = lacking || errors.Is(err, ErrNotHeld)
	}
	if lacking {
		err = ErrNotHeld
	}
	return nil, err
}

// asking is a way to get a piece from an address.
type asking func(ctx context.Context, address string, b Bundle, n int) ([]byte, error)

// fromMirror gets a piece from a mirror, which waits for it itself.
func (r *Relay) fromMirror(ctx context.Context, address string, b Bundle, n int) ([]byte, error) {
	end, err := r.begin(ctx)
	if err != nil {
		return nil, err
	}
	defer end()
	call, cancel := context.WithTimeout(ctx, mirrorTimeout)
	defer cancel()
	data, err := r.Peers.Piece(call, address, b, n)
	if err != nil {
		if !errors.Is(err, ErrNotHeld) && ctx.Err() == nil && r.noteSlow(address) {
			klog.InfoS("Mirror is left out for a while", "Mirror", address, "Version", b.Version, "Error", err.Error())
		}
		return nil, err
	}
	if err := r.check(b, n, data); err != nil {
		r.doubt(b)
		return nil, err
	}
	return data, nil
}

func (r *Relay) fromOrigin(ctx context.Context, b Bundle, n int) ([]byte, error) {
	_, drawing := r.places()
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
	end, err := r.begin(ctx)
	if err != nil {
		return nil, err
	}
	defer end()
	call, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	began := time.Now()
	data, err := r.Peers.Piece(call, address, b, n)
	if err != nil || time.Since(began) > slowPiece {
		r.noteSlow(address)
	}
	if err != nil {
		return nil, err
	}
	return data, r.check(b, n, data)
}

func (r *Relay) kept(b Bundle, n int) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.of(b).pieces[n]
}

// doubt forgets the manifest once several pieces of the origin did not match
// it, as it may have been spoilt on its way itself.
func (r *Relay) doubt(b Bundle) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.of(b)
	if h.mismatch++; h.mismatch < maxMismatch {
		return
	}
	klog.InfoS("Manifest is doubted and read anew", "Model", b.Model, "Version", b.Version)
	h.manifest, h.mismatch = nil, 0
}

// manifest returns the manifest from memory, or reads it. Of several callers
// one reads it.
func (r *Relay) manifest(ctx context.Context, b Bundle) (Manifest, error) {
	r.mu.Lock()
	m := r.of(b).manifest
	r.mu.Unlock()
	if m != nil {
		return *m, nil
	}
	got, err, _ := r.reading.Do(fmt.Sprint(b), func() (any, error) { return r.readManifest(ctx, b) })
	if err != nil {
		return Manifest{}, err
	}
	return got.(Manifest), nil
}

// readManifest gets the manifest from a mirror, a peer or the origin.
func (r *Relay) readManifest(ctx context.Context, b Bundle) (Manifest, error) {
	from := r.Routes(b, anyPiece)
	var err error
	for _, address := range append(r.sound(from.Mirrors), from.Peers...) {
		var got Manifest
		call, cancel := context.WithTimeout(ctx, fetchTimeout)
		got, err = r.Peers.Manifest(call, address, b)
		cancel()
		if err == nil {
			return r.keepManifest(b, got), nil
		}
	}
	if from.Drawn && errors.Is(err, ErrNotHeld) {
		return Manifest{}, err
	}
	call, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	got, err := r.Origin.Manifest(call, b)
	if err != nil {
		return Manifest{}, err
	}
	return r.keepManifest(b, got), nil
}

func (r *Relay) keepManifest(b Bundle, m Manifest) Manifest {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.of(b)
	h.manifest = &m
	h.wake()
	return m
}

// Serve returns a piece for a peer. It waits a while for one that is just
// being fetched, and looks into the own stage for one that it once staged.
func (r *Relay) Serve(ctx context.Context, b Bundle, n int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, awaitPiece)
	defer cancel()
	if _, err := r.ServeManifest(ctx, b); err != nil {
		return nil, err
	}
	for looked := false; ; {
		data, changed, bringing := r.wanted(b, n)
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

// wanted returns a piece or what to wait for, which is nil if the bundle is not
// to be kept here. It reports whether the bundle is on its way.
func (r *Relay) wanted(b Bundle, n int) (data []byte, changed <-chan struct{}, bringing bool) {
	r.mu.Lock()
	known := r.bundles[b] != nil
	r.mu.Unlock()
	if !known && r.OnMissing != nil && !r.OnMissing(b) {
		// A bundle that is only asked for must not displace one that is kept.
		return nil, nil, false
	}
	for asked := false; ; asked = true {
		r.mu.Lock()
		h := r.of(b)
		data, changed, bringing = h.pieces[n], h.changed, h.bringing
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
		_, changed, bringing := r.wanted(b, anyPiece)
		if changed == nil {
			return Manifest{}, ErrNotHeld
		}
		r.mu.Lock()
		m := r.of(b).manifest
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
			return r.keepManifest(b, got), nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Manifest{}, ErrNotHeld
		}
	}
}
