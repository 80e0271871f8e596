// Package mirror keeps the newest versions of weights in the memory of a
// process with a wide link, so that each region draws a version over thin
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
	// pollInterval is how often the named versions are compared without news.
	pollInterval = 250 * time.Millisecond
	// firstVersion is the one that engines may hold before any is named.
	firstVersion = 1
	// olderVersions is how many versions behind the newest one are brought on
	// demand, for engines that join while the newest one spreads.
	olderVersions = 1
)

// Follower tells what the keepers know.
type Follower interface{ View() *siteclient.View }

// Mirror is one running mirror. Its fields are set before Run.
type Mirror struct {
	// Address is the address by which others know this process.
	Address string
	// Region is where it is, Regions maps failure domains to regions.
	Region   id.Region
	Regions  map[id.Domain]id.Region
	Follower Follower
	Relay    *relay.Relay
	Metrics  *metrics.Set

	mu sync.Mutex
	// started holds the versions whose transfer was begun.
	started map[relay.Bundle]context.CancelFunc
	// ctx is that of Run, nil before it. Transfers that others ask for live
	// longer than their calls.
	ctx context.Context
}

// Run brings each version that is named until the context ends.
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

// Update starts the transfer of versions that were named meanwhile.
func (m *Mirror) Update() {
	v := m.Follower.View()
	if v.Plan == nil {
		return
	}
	for _, s := range v.Plan.Services {
		if s.Engine == nil {
			continue
		}
		b := relay.Bundle{Model: s.Engine.Model, Version: v.NewestWeights(s.Engine.Model)}
		if b.Version == 0 || len(m.holders(v, b)) > 0 {
			// What engines of the region hold is brought on demand.
			continue
		}
		m.start(b)
	}
}

// Request brings a version that an engine asked for. It reports whether the
// version may still be used.
func (m *Mirror) Request(b relay.Bundle) bool {
	newest := max(m.Follower.View().NewestWeights(b.Model), firstVersion)
	if b.Version < newest-olderVersions || b.Version > newest || m.service(b.Model) == nil {
		return false
	}
	m.start(b)
	return true
}

func (m *Mirror) service(k id.Model) *plan.Service {
	p := m.Follower.View().Plan
	if p == nil {
		return nil
	}
	for _, s := range p.Services {
		if s.Engine != nil && s.Engine.Model == k {
			return s
		}
	}
	return nil
}

// start starts the transfer of a version once.
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

// cancelOlder ends the transfer of older versions once a newer one can be had,
// since thin links must not carry what is overtaken.
func (m *Mirror) cancelOlder(b relay.Bundle) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for o, cancel := range m.started {
		if o.Model == b.Model && o.Version < b.Version {
			cancel()
		}
	}
}

func (m *Mirror) stage(ctx context.Context, b relay.Bundle) {
	for tries := 0; ctx.Err() == nil; tries++ {
		err := m.Relay.Probe(ctx, b)
		if err == nil {
			m.cancelOlder(b)
			err = m.Relay.StageBundle(ctx, b)
		}
		if err == nil {
			m.Metrics.Count("WeightsMirrored")
			return
		}
		if tries == 0 {
			klog.InfoS("Weights are not mirrored yet", "Model", b.Model, "Version", b.Version, "Error", err.Error())
		}
		select {
		case <-ctx.Done():
		case <-time.After(pollInterval):
		}
	}
	klog.InfoS("Weights are no longer mirrored", "Model", b.Model, "Version", b.Version)
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.started, b)
}

// memoryStage is the stage of processes without an engine: pieces stay in the relay
// itself.
type memoryStage struct{}

// Put implements relay.Stage.
func (memoryStage) Put(context.Context, id.Model, int, []byte) error { return nil }

// Get implements relay.Stage.
func (memoryStage) Get(context.Context, id.Model, int) ([]byte, error) { return nil, relay.ErrNotHeld }

// Stage returns the stage for a mirror's relay.
func Stage() relay.Stage { return memoryStage{} }
