// Package direct is the naive planner: every agent draws every chunk from the
// origin.
package direct

import (
	"time"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/weights/bitmap"
	"egretproxy/internal/weights/planner"
)

func init() {
	planner.Register("Direct", func(c planner.Config) planner.Planner { return New(c) })
}

// Direct fetches chunks in order from the origin.
type Direct struct {
	chunks  int
	held    bitmap.Bitmap
	pending bitmap.Bitmap
}

// New returns a planner for the content.
func New(c planner.Config) *Direct {
	return &Direct{chunks: c.Chunks, held: bitmap.New(c.Chunks), pending: bitmap.New(c.Chunks)}
}

// SetMembers implements planner.Planner.
func (*Direct) SetMembers([]planner.Member) {}

// MarkHeld implements planner.Planner.
func (d *Direct) MarkHeld(chunk int) { d.held.Set(chunk) }

// AddPeerChunks implements planner.Planner.
func (*Direct) AddPeerChunks(id.Target, bitmap.Bitmap, time.Time) {}

// Finished implements planner.Planner.
func (d *Direct) Finished(p planner.Pick, _ time.Time) { d.held.Set(p.Chunk) }

// Failed implements planner.Planner.
func (d *Direct) Failed(p planner.Pick, _ planner.Failure, _ time.Time) {
	d.pending[p.Chunk/64] &^= 1 << (p.Chunk % 64)
}

// Next implements planner.Planner.
func (d *Direct) Next(free int, _ time.Time) []planner.Pick {
	var out []planner.Pick
	for i := 0; i < d.chunks && len(out) < free; i++ {
		if d.held.Has(i) || d.pending.Has(i) {
			continue
		}
		d.pending.Set(i)
		out = append(out, planner.Pick{Chunk: i})
	}
	return out
}

// Queries implements planner.Planner.
func (*Direct) Queries(time.Time) []planner.Query { return nil }

// CrossRegionFetchers implements planner.Planner.
func (*Direct) CrossRegionFetchers() int { return 1 }
