package fetch

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/go-faster/errors"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/weights/bitmap"
	"egretproxy/internal/weights/manifest"
	"egretproxy/internal/weights/planner"
	"egretproxy/internal/weights/share"
	"egretproxy/internal/weights/source"
	"egretproxy/internal/weights/store"
)

func (j *job) start(ctx context.Context) {
	for _, p := range j.plan.Next(j.Parallel-j.active, time.Now()) {
		j.active++
		base := j.peerURL(j.peers[p.Peer])
		go func() {
			err := j.transfer(ctx, p, base)
			j.results <- result{pick: p, err: err}
		}()
	}
}

// transfer fetches one chunk from the picked peer, or from the first source
// that holds it.
func (j *job) transfer(ctx context.Context, p planner.Pick, base *url.URL) error {
	c := j.chunks[p.Chunk]
	if p.Peer == "" {
		return j.fromSources(ctx, c)
	}
	src := j.newSource(base, j.limit)
	src.Query = url.Values{share.ManifestQuery: {string(j.digest)}}
	src.OnHeader = func(h http.Header) { j.recordHave(p.Peer, h) }
	if p.CrossRegion {
		src.Query.Set(share.CrossRegionQuery, "1")
		src.Limits = append(src.Limits, j.crossRegionLimit)
	}
	data, err := src.Fetch(ctx, c.Digest, c.Size)
	if err != nil {
		return err
	}
	j.Counts.Peers.Add(int64(len(data)))
	if p.CrossRegion {
		j.Counts.CrossRegion.Add(int64(len(data)))
	}
	return j.Store.Put(c.Digest, data)
}

// recordHave records the held chunks that a peer reports in the header of a
// chunk response.
func (j *job) recordHave(peer id.Target, h http.Header) {
	var have bitmap.Bitmap
	text := h.Get(share.HaveHeader)
	if text == "" || have.UnmarshalText([]byte(text)) != nil {
		return
	}
	select {
	case j.responses <- haveResponse{peer: peer, have: have}:
	default:
	}
}

func (j *job) fromSources(ctx context.Context, c manifest.Chunk) error {
	lastErr := source.ErrMissing
	for _, base := range j.Sources {
		data, err := j.newSource(base, j.limit).Fetch(ctx, c.Digest, c.Size)
		if err != nil {
			lastErr = err
			continue
		}
		j.Counts.Sources.Add(int64(len(data)))
		return j.Store.Put(c.Digest, data)
	}
	return lastErr
}

func (j *job) finish(r result) error {
	j.active--
	now := time.Now()
	switch {
	case r.err == nil:
		j.remaining--
		j.plan.Finished(r.pick, now)
	case errors.Is(r.err, store.ErrFull):
		return r.err
	default:
		j.plan.Failed(r.pick, j.classifyFailure(r.err), now)
	}
	return nil
}

func (j *job) classifyFailure(err error) planner.Failure {
	switch {
	case errors.Is(err, source.ErrCorrupt):
		j.Counts.Corrupt.Add(1)
		return planner.Corrupt
	case errors.Is(err, source.ErrBusy):
		return planner.Busy
	case errors.Is(err, source.ErrStalled):
		j.Counts.Stalled.Add(1)
	}
	return planner.Interrupted
}
