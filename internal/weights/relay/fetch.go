package relay

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"
)

// assignedOnlyTime is how long after the start of a transfer only the assigned
// peer is asked for a piece. Bypassing that peer would use link capacity that
// others wait for.
const assignedOnlyTime = 3500 * time.Millisecond

// bypassTime is the same for processes that fetch from mirrors. An origin that is
// out of service for some seconds sends one copy to the mirrors when it is back; if
// it sent another one to engines at the same time, all would wait twice as long.
const bypassTime = 10 * time.Second

func (r *Relay) mirrorsOnlyTime() time.Duration {
	if r.Mirror {
		return assignedOnlyTime
	}
	return bypassTime
}

const (
	// slowPieceTime is the transfer time of a piece above which its peer is
	// asked last. A piece usually takes about 40 ms, multiplied by the number
	// of concurrent transfers.
	slowPieceTime = 600 * time.Millisecond
	// slowExpiry is how long a peer is remembered as slow.
	slowExpiry = 5 * time.Second
	// mirrorTimeout limits a request for a piece to a mirror, including the
	// time for which the mirror waits for the piece itself.
	mirrorTimeout = awaitTimeout + 500*time.Millisecond
)

// markSlow records that an address was slow or unreachable. It reports whether
// the address was not marked before or its mark had expired.
func (r *Relay) markSlow(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastSlow == nil {
		r.lastSlow = map[string]time.Time{}
	}
	newlySlow := time.Since(r.lastSlow[address]) >= slowExpiry
	r.lastSlow[address] = time.Now()
	return newlySlow
}

// fastFirst returns the peers with those that were slow recently at the end.
func (r *Relay) fastFirst(peers []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var fast, slow []string
	for _, a := range peers {
		if time.Since(r.lastSlow[a]) < slowExpiry {
			slow = append(slow, a)
		} else {
			fast = append(fast, a)
		}
	}
	return append(fast, slow...)
}

// transferAge returns the time since the transfer of the bundle started.
func (r *Relay) transferAge(b Bundle) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.state(b).since)
}

// healthyMirrors returns the mirrors that did not fail recently.
func (r *Relay) healthyMirrors(mirrors []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, a := range mirrors {
		if time.Since(r.lastSlow[a]) >= slowExpiry {
			out = append(out, a)
		}
	}
	return out
}

// anyPiece is the piece number used to look up the sources of a manifest and
// to probe a bundle.
const anyPiece = 0

// fetch returns a verified piece from memory, a mirror, a peer or the origin.
func (r *Relay) fetch(ctx context.Context, b Bundle, n int) ([]byte, error) {
	if data := r.cachedPiece(b, n); data != nil {
		return data, nil
	}
	if _, err := r.manifest(ctx, b); err != nil {
		// It was discarded after mismatches and cannot be read again yet.
		return nil, err
	}
	sources := r.Routes(b, n)
	data, err := r.fromAny(ctx, r.healthyMirrors(sources.Mirrors), b, n, r.fromMirror)
	if err == nil && data != nil {
		return data, nil
	}
	if errors.Is(err, ErrNotHeld) && r.transferAge(b) < r.mirrorsOnlyTime() {
		// A mirror is reachable and is fetching the piece. Bypassing it would
		// use link capacity that others wait for.
		return nil, err
	}
	peers := sources.Peers
	if !sources.OriginAssigned {
		peers = r.fastFirst(peers)
	}
	for i, address := range peers {
		data, err = r.fromAny(ctx, peers[i:i+1], b, n, r.fromPeer)
		if err == nil {
			return data, nil
		}
		klog.V(1).InfoS("Failed to fetch piece from peer", "Peer", address, "Piece", n, "Error", err.Error())
		if sources.OriginAssigned && errors.Is(err, ErrNotHeld) && r.transferAge(b) < assignedOnlyTime {
			return nil, err
		}
	}
	if sources.OriginAssigned && errors.Is(err, ErrNotHeld) {
		// The process assigned to fetch the piece from the origin is
		// reachable. Bypassing it would make every process fetch from an
		// origin that is slow or out of service.
		return nil, err
	}
	data, err = r.fromOrigin(ctx, b, n)
	if err != nil {
		return nil, err
	}
	if err := r.verifyPiece(b, n, data); err != nil {
		r.recordMismatch(b)
		return nil, err
	}
	r.storePiece(b, n, data)
	r.mu.Lock()
	r.state(b).originPieces++
	r.mu.Unlock()
	return data, nil
}

// fromAny asks the addresses one after the other. It returns nil data and a
// nil error for an empty list, and ErrNotHeld if one of the addresses is
// reachable but lacks the piece.
func (r *Relay) fromAny(ctx context.Context, addresses []string, b Bundle, n int, get pieceFunc) (data []byte, err error) {
	notHeld := false
	for _, address := range addresses {
		if data, err = get(ctx, address, b, n); err == nil {
			r.storePiece(b, n, data)
			return data, nil
		}
		notHeld = notHeld || errors.Is(err, ErrNotHeld)
		if notHeld && r.Mirror && r.transferAge(b) < assignedOnlyTime {
			// The mirror assigned to the piece is fetching it. Another one
			// would transfer it over a slow link once more.
			break
		}
	}
	if notHeld {
		err = ErrNotHeld
	}
	return nil, err
}

// pieceFunc fetches a piece from an address.
type pieceFunc func(ctx context.Context, address string, b Bundle, n int) ([]byte, error)

// fromMirror fetches a piece from a mirror. The mirror itself waits for a
// piece that it does not hold yet. Mirrors wait for each other's pieces without a
// slot: those of a region fetch a part of the pieces each, and would hold all slots
// while they wait for each other.
func (r *Relay) fromMirror(ctx context.Context, address string, b Bundle, n int) ([]byte, error) {
	if r.Mirror {
		waitCtx, cancel := context.WithTimeout(ctx, awaitTimeout)
		defer cancel()
		if err := r.Peers.Await(waitCtx, address, b, n); err != nil {
			r.noteMirrorFailure(ctx, address, b, err)
			return nil, err
		}
	}
	release, err := r.beginTransfer(ctx)
	if err != nil {
		return nil, err
	}
	defer release()
	callCtx, cancel := context.WithTimeout(ctx, mirrorTimeout)
	defer cancel()
	data, err := r.Peers.Piece(callCtx, address, b, n)
	if err != nil {
		r.noteMirrorFailure(ctx, address, b, err)
		return nil, err
	}
	if err := r.verifyPiece(b, n, data); err != nil {
		r.recordMismatch(b)
		return nil, err
	}
	return data, nil
}

// noteMirrorFailure skips a mirror that failed for a while, but not one that only
// lacks the piece.
func (r *Relay) noteMirrorFailure(ctx context.Context, address string, b Bundle, err error) {
	if !errors.Is(err, ErrNotHeld) && ctx.Err() == nil && r.markSlow(address) {
		klog.InfoS("Mirror failed; skipping it temporarily", "Mirror", address, "Version", b.Version, "Error", err.Error())
	}
}

func (r *Relay) fromOrigin(ctx context.Context, b Bundle, n int) ([]byte, error) {
	_, originSlots := r.semaphores()
	if err := originSlots.Acquire(ctx, 1); err != nil {
		return nil, err
	}
	defer originSlots.Release(1)
	callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return r.Origin.Piece(callCtx, b, n)
}

func (r *Relay) fromPeer(ctx context.Context, address string, b Bundle, n int) ([]byte, error) {
	waitCtx, cancelWait := context.WithTimeout(ctx, awaitTimeout)
	defer cancelWait()
	if err := r.Peers.Await(waitCtx, address, b, n); err != nil {
		return nil, err
	}
	release, err := r.beginTransfer(ctx)
	if err != nil {
		return nil, err
	}
	defer release()
	callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	start := time.Now()
	data, err := r.Peers.Piece(callCtx, address, b, n)
	if err != nil || time.Since(start) > slowPieceTime {
		r.markSlow(address)
	}
	if err != nil {
		return nil, err
	}
	return data, r.verifyPiece(b, n, data)
}

func (r *Relay) cachedPiece(b Bundle, n int) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state(b).pieces[n]
}

// recordMismatch counts a piece that does not match the manifest. After
// maxMismatches it discards the manifest, which may itself have been corrupted
// in transit.
func (r *Relay) recordMismatch(b Bundle) {
	r.mu.Lock()
	defer r.mu.Unlock()
	st := r.state(b)
	if st.mismatch++; st.mismatch < maxMismatches {
		return
	}
	klog.InfoS("Manifest discarded after repeated mismatches", "Model", b.Model, "Version", b.Version)
	st.manifest, st.mismatch = nil, 0
}

// Serve returns a piece for a peer. It waits up to servePieceTimeout for a
// piece that is being fetched, and looks for pieces of an earlier run in the
// stage. It returns ErrNotHeld if the piece is unavailable.
func (r *Relay) Serve(ctx context.Context, b Bundle, n int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, servePieceTimeout)
	defer cancel()
	if _, err := r.ServeManifest(ctx, b); err != nil {
		return nil, err
	}
	for checkedStage := false; ; {
		data, changed, fetching := r.lookup(b, n)
		if data != nil {
			return data, nil
		}
		if !checkedStage {
			checkedStage = true
			if r.loadStagedPiece(ctx, b, n) {
				continue
			}
		}
		if !fetching {
			return nil, ErrNotHeld
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ErrNotHeld
		}
	}
}

// lookup returns the piece if it is held, and a channel that is closed on the
// next change. The channel is nil if the bundle must not be kept here.
// fetching reports whether a transfer of the bundle is in progress.
func (r *Relay) lookup(b Bundle, n int) (data []byte, changed <-chan struct{}, fetching bool) {
	r.mu.Lock()
	known := r.bundles[b] != nil
	r.mu.Unlock()
	if !known && r.OnMissing != nil && !r.OnMissing(b) {
		// A request for an unknown bundle must not evict one that is kept.
		return nil, nil, false
	}
	for requested := false; ; requested = true {
		r.mu.Lock()
		st := r.state(b)
		data, changed, fetching = st.pieces[n], st.changed.Next(), st.fetching
		r.mu.Unlock()
		if data != nil || fetching || requested || r.OnMissing == nil {
			return data, changed, fetching
		}
		r.OnMissing(b)
	}
}
