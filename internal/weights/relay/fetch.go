package relay

import (
	"context"
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
)

func (r *Relay) noteSlow(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.slow == nil {
		r.slow = map[string]time.Time{}
	}
	r.slow[address] = time.Now()
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

// anyPiece asks the routes for the manifest.
const anyPiece = 0

// fetch returns a checked piece from memory, a peer or the origin.
func (r *Relay) fetch(ctx context.Context, b Bundle, n int) ([]byte, error) {
	if data := r.kept(b, n); data != nil {
		return data, nil
	}
	peers, drawn := r.Routes(b, n)
	if !drawn {
		peers = r.fastFirst(peers)
	}
	var err error
	for _, address := range peers {
		var data []byte
		data, err = r.fromPeer(ctx, address, b, n)
		if err == nil {
			r.keep(b, n, data)
			return data, nil
		}
		klog.V(1).InfoS("Peer did not give a piece", "Peer", address, "Piece", n, "Error", err.Error())
		if drawn && errors.Is(err, ErrNotHeld) && r.age(b) < steadfast {
			return nil, err
		}
	}
	if drawn && errors.Is(err, ErrNotHeld) {
		// The one that draws it is there. Going past it would make every
		// process draw from an origin that is slow or out of service.
		return nil, err
	}
	data, err := r.fromOrigin(ctx, b, n)
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

func (r *Relay) fromOrigin(ctx context.Context, b Bundle, n int) ([]byte, error) {
	_, drawing := r.places()
	if err := acquire(ctx, drawing); err != nil {
		return nil, err
	}
	defer func() { <-drawing }()
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
	slots, _ := r.places()
	if err := acquire(ctx, slots); err != nil {
		return nil, err
	}
	defer func() { <-slots }()
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

// manifest returns the manifest from memory, a peer or the origin.
func (r *Relay) manifest(ctx context.Context, b Bundle) (Manifest, error) {
	r.mu.Lock()
	m := r.of(b).manifest
	r.mu.Unlock()
	if m != nil {
		return *m, nil
	}
	peers, drawn := r.Routes(b, anyPiece)
	var err error
	for _, address := range peers {
		var got Manifest
		call, cancel := context.WithTimeout(ctx, fetchTimeout)
		got, err = r.Peers.Manifest(call, address, b)
		cancel()
		if err == nil {
			return r.keepManifest(b, got), nil
		}
	}
	if drawn && errors.Is(err, ErrNotHeld) {
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
		r.mu.Lock()
		h := r.of(b)
		data, changed, bringing := h.pieces[n], h.changed, h.bringing
		r.mu.Unlock()
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

// ServeManifest returns the manifest for a peer. It waits for one that is
// just being fetched and never asks peers, so that no two wait for each
// other.
func (r *Relay) ServeManifest(ctx context.Context, b Bundle) (Manifest, error) {
	for {
		r.mu.Lock()
		h := r.of(b)
		m, changed, bringing := h.manifest, h.changed, h.bringing
		r.mu.Unlock()
		if m != nil {
			return *m, nil
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
