package relay

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"
)

// manifest returns the cached manifest or reads it. Concurrent calls share one
// read.
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

// readManifest reads the manifest from a mirror, a peer or the origin.
func (r *Relay) readManifest(ctx context.Context, b Bundle) (Manifest, error) {
	sources := r.Routes(b, anyPiece)
	var err error
	for _, address := range append(r.healthyMirrors(sources.Mirrors), sources.Peers...) {
		var got Manifest
		callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
		got, err = r.Peers.Manifest(callCtx, address, b)
		cancel()
		if err == nil {
			return r.storeManifest(b, got), nil
		}
	}
	if sources.OriginAssigned && errors.Is(err, ErrNotHeld) {
		return Manifest{}, err
	}
	callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	got, err := r.Origin.Manifest(callCtx, b)
	if err != nil {
		return Manifest{}, err
	}
	return r.storeManifest(b, got), nil
}

func (r *Relay) storeManifest(b Bundle, m Manifest) Manifest {
	r.mu.Lock()
	defer r.mu.Unlock()
	st := r.state(b)
	st.manifest = &m
	st.changed.Send()
	return m
}

// ServeManifest returns the manifest for a peer. It waits for a manifest that
// is being fetched but never asks other peers, which prevents two processes
// from waiting for each other.
func (r *Relay) ServeManifest(ctx context.Context, b Bundle) (Manifest, error) {
	for {
		_, changed, fetching := r.lookup(b, anyPiece)
		if changed == nil {
			return Manifest{}, ErrNotHeld
		}
		r.mu.Lock()
		m := r.state(b).manifest
		r.mu.Unlock()
		if m != nil {
			return *m, nil
		}
		if !fetching && r.OnMissing != nil {
			return Manifest{}, ErrNotHeld
		}
		if !fetching {
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
