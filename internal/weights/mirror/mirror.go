// Package mirror keeps the newest versions of weights in the memory of a
// process with a fast link, so that each region transfers a version over slow
// links once and the links of engines only receive it.
package mirror

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/metrics"
	"egretproxy/internal/site/plan"
	"egretproxy/internal/site/siteclient"
	"egretproxy/internal/weights/relay"
)

const (
	// pollInterval is the time between two checks for newly published versions.
	pollInterval = 250 * time.Millisecond
	// quickRetryDelay is the wait after each of the first quickRetries failed
	// attempts to get a version.
	quickRetryDelay = 50 * time.Millisecond
	quickRetries    = 20
	// retryInterval is the wait after further failed attempts. Targets may serve
	// nothing until the source is back.
	retryInterval = 100 * time.Millisecond
	// initialVersion is the version that engines may hold before one is
	// published.
	initialVersion = 1
	// olderVersions is how many versions behind the newest one are fetched on
	// request, for engines that join while the newest version is being
	// distributed.
	olderVersions = 1
)

// ViewSource provides the current view of the site.
type ViewSource interface{ View() *siteclient.View }

// Mirror fetches versions and keeps them for other processes. Its exported
// fields must be set before Run.
type Mirror struct {
	// Address is the address at which other processes reach this one.
	Address string
	// Region is the region of this process. Regions maps failure domains to
	// regions.
	Region  id.Region
	Regions map[id.Domain]id.Region
	Views   ViewSource
	Relay   *relay.Relay
	Metrics *metrics.Set

	mu sync.Mutex
	// started holds the cancel functions of the versions whose transfer has
	// started.
	started map[relay.Bundle]context.CancelFunc
	// ctx is the context of Run, nil before Run. Transfers started by requests
	// outlive those requests.
	ctx context.Context
}

// Run fetches each published version until the context ends.
func (m *Mirror) Run(ctx context.Context) error {
	m.mu.Lock()
	m.ctx, m.started = ctx, map[relay.Bundle]context.CancelFunc{}
	m.mu.Unlock()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		m.Update()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Update starts the transfer of newly published versions.
func (m *Mirror) Update() {
	v := m.Views.View()
	if v.Plan == nil {
		return
	}
	for _, s := range v.Plan.Services {
		if s.Engine == nil {
			continue
		}
		b := relay.Bundle{Model: s.Engine.Model, Version: v.NewestWeights(s.Engine.Model)}
		if b.Version == 0 || len(m.holders(v, b)) > 0 {
			// Versions held by engines of the region are fetched on request
			// only.
			continue
		}
		m.start(b)
	}
}

// Request starts the transfer of a version that an engine asked for. It
// reports whether the version may still be used.
func (m *Mirror) Request(b relay.Bundle) bool {
	newest := max(m.Views.View().NewestWeights(b.Model), initialVersion)
	if b.Version < newest-olderVersions || b.Version > newest || m.service(b.Model) == nil {
		return false
	}
	m.start(b)
	return true
}

func (m *Mirror) service(model id.Model) *plan.Service {
	p := m.Views.View().Plan
	if p == nil {
		return nil
	}
	for _, s := range p.Services {
		if s.Engine != nil && s.Engine.Model == model {
			return s
		}
	}
	return nil
}

// start begins the transfer of a version unless it has begun already.
func (m *Mirror) start(b relay.Bundle) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx == nil || m.started[b] != nil {
		return
	}
	ctx, cancel := context.WithCancel(m.ctx)
	m.started[b] = cancel
	go m.stage(ctx, b)
}

// cancelOlder cancels the transfer of older versions once a newer one is
// available, since slow links must not carry superseded weights.
func (m *Mirror) cancelOlder(b relay.Bundle) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for other, cancel := range m.started {
		if other.Model == b.Model && other.Version < b.Version {
			cancel()
		}
	}
}

func (m *Mirror) stage(ctx context.Context, b relay.Bundle) {
	for attempts := 0; ctx.Err() == nil; attempts++ {
		err := m.Relay.Probe(ctx, b)
		if err == nil {
			m.cancelOlder(b)
			err = m.Relay.StageBundle(ctx, b)
		}
		if err == nil {
			m.Metrics.Count("WeightsMirrored")
			return
		}
		if attempts == 0 {
			klog.InfoS("Weights are not mirrored yet", "Model", b.Model, "Version", b.Version, "Error", err.Error())
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay(attempts)):
		}
	}
	klog.InfoS("Weights are no longer mirrored", "Model", b.Model, "Version", b.Version)
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.started, b)
}

// retryDelay returns the wait after a failed attempt. A version that was just
// published becomes available within a fraction of a second, as soon as the
// mirror assigned to its first piece knows of it.
func retryDelay(attempts int) time.Duration {
	if attempts < quickRetries {
		return quickRetryDelay
	}
	return retryInterval
}

// memoryStage is the stage of processes without an engine. It stores nothing,
// since the relay keeps the pieces in memory.
type memoryStage struct{}

// Put implements relay.Stage.
func (memoryStage) Put(context.Context, id.Model, int, []byte) error { return nil }

// Get implements relay.Stage.
func (memoryStage) Get(context.Context, id.Model, int) ([]byte, error) { return nil, relay.ErrNotHeld }

// Stage returns the stage for the relay of a mirror.
func Stage() relay.Stage { return memoryStage{} }
