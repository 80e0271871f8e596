package relay

import (
	"context"
	"crypto/sha256"
	"encoding/hex"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"egretproxy/internal/kernel/boottime"
)

const (
	// maxVerifyPasses limits how often Verify reads all pieces.
	maxVerifyPasses = 4
	// parallelReads is the number of staged pieces that are read at the same time. The
	// pass as a whole must be short, as its age counts from its begin.
	parallelReads = 3
)

// Verify reads back all staged pieces and replaces those that are missing or
// corrupted, until one pass over all of them finds none. It returns when that pass
// began, since any piece may have become corrupted since: a repair takes seconds on a
// slow link.
func (r *Relay) Verify(ctx context.Context, b Bundle) (boottime.Moment, error) {
	for range maxVerifyPasses {
		bad, began, err := r.Check(ctx, b)
		if err != nil || len(bad) == 0 {
			return began, err
		}
		klog.InfoS("Staged pieces are corrupted or missing; replacing them", "Pieces", bad, "Version", b.Version)
		for _, n := range bad {
			if err := r.repair(ctx, b, n); err != nil {
				return began, err
			}
		}
	}
	return boottime.Moment{}, errors.Wrap(ErrCorrupt, "staged pieces became corrupted again and again")
}

// Check reads all staged pieces. It returns the numbers of those that are missing or
// corrupted, and when it began. It changes nothing.
func (r *Relay) Check(ctx context.Context, b Bundle) (bad []int, began boottime.Moment, err error) {
	m, err := r.manifest(ctx, b)
	if err != nil {
		return nil, boottime.Moment{}, err
	}
	began = boottime.Mark()
	sound := make([]bool, len(m.Digests))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(parallelReads)
	for n := range m.Digests {
		g.Go(func() error {
			data, err := r.Stage.Get(ctx, b.Model, n)
			if err != nil && !errors.Is(err, ErrNotHeld) {
				return errors.Wrapf(err, "read staged piece %d", n)
			}
			sound[n] = err == nil && r.verifyPiece(b, n, data) == nil
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return nil, began, err
	}
	for n, ok := range sound {
		if !ok {
			bad = append(bad, n)
		}
	}
	return bad, began, nil
}

func (r *Relay) repair(ctx context.Context, b Bundle, n int) error {
	data, err := r.fetch(ctx, b, n)
	if err != nil {
		return err
	}
	return r.Stage.Put(ctx, b.Model, n, data)
}

func (r *Relay) verifyPiece(b Bundle, n int, data []byte) error {
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
