package simengine

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/zeebo/blake3"
)

// loadOrder is the body of a request to load a version.
type loadOrder struct {
	Fence   uint64
	Version string
	Model   string
	// Digest identifies the content. The engine reports it after it has read
	// all of the content.
	Digest string
	// Source is the URL of the content.
	Source string
}

// Status is the engine's status report. Running and Waiting lag behind by
// Config.ReportLag.
type Status struct {
	Start   string
	Version string
	Model   string
	Role    string
	Digest  string
	Loading bool
	Running int
	Waiting int
}

const loadTimeout = 10 * time.Minute

// acceptLoad aborts all requests and starts to load a version. It returns false if
// the engine checks fencing numbers and the order's is older than the newest seen.
// The load ends early if ctx is cancelled.
func (e *Engine) acceptLoad(ctx context.Context, o loadOrder) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.Fencing && o.Fence < e.fence {
		return false
	}
	e.fence = max(e.fence, o.Fence)
	e.loading = true
	for _, r := range append(e.running, e.waiting...) {
		close(r.aborted)
	}
	e.running, e.waiting = nil, nil
	go e.load(ctx, o)
	return true
}

// load reads the content and installs its version. The engine is cold after it, with
// an empty cache. If the load fails, the engine has no version.
func (e *Engine) load(ctx context.Context, o loadOrder) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	err := readContent(ctx, o.Source)
	select {
	case <-time.After(e.cfg.LoadTime):
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loading = false
	e.version, e.model, e.digest = "", "", ""
	e.answered = 0
	e.cache.clear()
	if err != nil || o.Version == e.cfg.FailingVersion {
		return
	}
	e.version, e.model, e.digest = o.Version, o.Model, o.Digest
	if _, ok := e.counts.LoadedAt[o.Version]; !ok {
		e.counts.LoadedAt[o.Version] = time.Now().UnixMilli()
	}
}

// readContent downloads all of the content and hashes it, but doesn't check the
// hash.
func readContent(ctx context.Context, source string) error {
	if source == "" {
		return nil
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, source, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return io.ErrUnexpectedEOF
	}
	_, err = io.Copy(blake3.New(), resp.Body)
	return err
}

// Status returns the engine's status report.
func (e *Engine) Status() Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := Status{
		Start: e.startID, Version: e.version, Model: e.model, Role: e.role,
		Digest: e.digest, Loading: e.loading,
	}
	if len(e.reports) > 0 {
		s.Running = e.reports[0].running
		s.Waiting = e.reports[0].waiting
	}
	return s
}
