package siteagent

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"egretproxy/internal/kernel/clock"
	"egretproxy/internal/weights/relay"
)

const (
	// reconcileInterval is the time between checks of the engine's version.
	reconcileInterval = 100 * time.Millisecond
	// drainNotice is how long entries have to stop sending requests before
	// draining begins.
	drainNotice = 60 * time.Millisecond
	// abortNotice is how long entries have to learn that an engine aborts its
	// requests, part of drainTimeout. A report goes out after each query.
	abortNotice = 60 * time.Millisecond
	// loadTimeout is the longest wait for a load to complete before it is
	// ordered again.
	loadTimeout    = 6 * time.Second
	initialVersion = 1
	// fallbackLeadTime is the time needed to load a version that is already in
	// memory: staging it again, draining, loading, and a reserve of one second.
	fallbackLeadTime = drainTimeout + loadDuration + 1300*time.Millisecond
	// reloadRetryDelay is the wait after weights could not be loaded again. A newer
	// version, if there is one, replaces them as well.
	reloadRetryDelay = time.Second
	// maxCandidates bounds the versions to consider. The origin no longer keeps
	// older ones.
	maxCandidates = 2
	// predecessorTime is how long after its start an agent stages no weights. An
	// order that the process before it sent is accepted or lost by then, unless
	// the engine does not respond.
	predecessorTime = orderTimeout
)

// reconcileLoop brings the engine to the published version of weights until the
// context ends.
func (a *Agent) reconcileLoop(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	startedAt := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		r, fresh := a.latestReport()
		if !a.engineSeen() {
			a.prefetch(ctx)
			continue
		}
		if fresh {
			a.settlePending(ctx, r)
		}
		if !fresh || r.Busy || time.Since(startedAt) < predecessorTime {
			continue
		}
		if b, ok := a.spoiltBundle(r); ok && a.pendingOrder() == nil {
			err := a.reload(ctx, b)
			if err == nil || ctx.Err() != nil {
				continue
			}
			klog.InfoS("Failed to load weights again", "Model", b.Model, "Version", b.Version, "Error", err.Error())
			clock.Sleep(ctx, reloadRetryDelay)
		}
		b, ok := a.chooseVersion(ctx, r.Weights)
		if !ok {
			continue
		}
		if err := a.deploy(ctx, b, r); err != nil && ctx.Err() == nil {
			a.Metrics.Count("WeightsFailed")
			klog.InfoS("Failed to deploy weights", "Model", b.Model, "Version", b.Version, "Error", err.Error())
		}
	}
}

// engineSeen reports whether the engine has ever answered.
func (a *Agent) engineSeen() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.reportAt.IsZero()
}

// prefetch downloads weights into memory until the engine answers. A new engine
// takes one second to start and two more to get its weights.
func (a *Agent) prefetch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for ctx.Err() == nil && !a.engineSeen() {
			clock.Sleep(ctx, reconcileInterval/2)
		}
		cancel()
	}()
	b, ok := a.firstAvailable(ctx, a.candidates(0))
	if !ok || a.Relay.Complete(b) {
		return
	}
	if err := a.Relay.FetchBundle(ctx, b); err != nil && ctx.Err() == nil {
		klog.InfoS("Failed to prefetch weights", "Model", b.Model, "Version", b.Version, "Error", err.Error())
	}
}

// chooseVersion returns the version to deploy: the newest one available, or its
// predecessor if that is due soon and the newest may not be complete by then. As
// long as an order is pending, it is the version of that order.
// current is the version that the engine holds.
func (a *Agent) chooseVersion(ctx context.Context, current int64) (relay.Bundle, bool) {
	if p := a.pendingOrder(); p != nil {
		isDue := time.Since(p.sentAt) < pendingCloseTime || time.Since(p.triedAt) > pendingRetryInterval
		return p.Bundle, isDue
	}
	candidates := a.candidates(current)
	if len(candidates) > 1 && a.mustFallBack(candidates[0], candidates[1], current) {
		a.recordFallBack(candidates[0], candidates[1])
		return candidates[1], true
	}
	return a.firstAvailable(ctx, candidates)
}

// mustFallBack reports whether the older version must be fetched or loaded now because
// the newer one is incomplete.
func (a *Agent) mustFallBack(newer, older relay.Bundle, current int64) bool {
	if older.Version <= current {
		return false
	}
	s, now := a.succession(older, newer, current), time.Now()
	return s.LoadsOlder(now) || s.ResumesOlder(now)
}

// firstAvailable returns the first of the versions that a source can provide
// now.
func (a *Agent) firstAvailable(ctx context.Context, candidates []relay.Bundle) (relay.Bundle, bool) {
	for _, b := range candidates {
		err := a.Relay.Probe(ctx, b)
		if err == nil {
			return b, true
		}
		if ctx.Err() == nil && a.unavailable != b {
			a.unavailable = b
			a.Metrics.Count("WeightsUnobtainable")
			klog.InfoS("Weights are not available yet", "Model", b.Model, "Version", b.Version, "Error", err.Error())
		}
	}
	return relay.Bundle{}, false
}

// candidates returns the versions newer than current, newest first: the
// published ones and the highest that any engine of the service holds.
func (a *Agent) candidates(current int64) []relay.Bundle {
	v := a.Views.View()
	if v.Plan == nil {
		return nil
	}
	s := v.Plan.Services[a.Settings.Service]
	if s == nil || s.Engine == nil {
		return nil
	}
	versions := []int64{initialVersion}
	for _, w := range v.Weights {
		if w.Model == s.Engine.Model {
			versions = append(versions, w.Version)
		}
	}
	highest := int64(0)
	for _, o := range v.Targets {
		if o.Service == a.Settings.Service {
			highest = max(highest, o.Weights)
		}
	}
	versions = append(versions, highest)
	slices.Sort(versions)
	versions = slices.Compact(versions)
	slices.Reverse(versions)
	versions = versions[:min(len(versions), maxCandidates)]
	var out []relay.Bundle
	for _, n := range versions {
		if n > current {
			out = append(out, relay.Bundle{Model: s.Engine.Model, Version: n})
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, b := range out {
		if a.firstSeen[b].IsZero() {
			a.firstSeen[b] = time.Now()
		}
	}
	return out
}

// deploy stages the weights, waits for this engine's scheduled start and orders
// the load.
func (a *Agent) deploy(ctx context.Context, b relay.Bundle, r Report) error {
	if err := a.stage(ctx, b, r.Weights); err != nil {
		return err
	}
	checked, err := a.Relay.Verify(ctx, b)
	if err != nil {
		return err
	}
	a.setSwitching(true)
	defer a.setSwitching(false)
	clock.Sleep(ctx, drainNotice)
	mode := a.drain(ctx)
	began := time.Now()
	if r, _ = a.latestReport(); r.Weights >= b.Version && a.pendingOrder() == nil {
		return nil
	}
	accepted, err := a.order(ctx, b, Layers{}, mode, checked)
	if err != nil || accepted.Layers != (Layers{}) {
		return err
	}
	for time.Since(began) < loadTimeout && ctx.Err() == nil {
		clock.Sleep(ctx, reconcileInterval/2)
		if r, fresh := a.latestReport(); fresh && !r.Busy && r.Weights >= b.Version {
			klog.InfoS("Weights are in place", "Model", b.Model, "Version", b.Version, "Took", time.Since(began).String())
			return nil
		}
	}
	return ctx.Err()
}

// stage stages the weights and waits for this engine's scheduled start. It ends early if
// the deployment is superseded.
func (a *Agent) stage(ctx context.Context, b relay.Bundle, current int64) error {
	ctx, cancel := context.WithCancel(ctx)
	var background sync.WaitGroup
	defer background.Wait()
	defer cancel()
	if a.pendingOrder() == nil {
		background.Go(func() { a.cancelIfSuperseded(ctx, b, current, cancel) })
	}
	if err := a.Relay.StageBundle(ctx, b); err != nil {
		return err
	}
	if current > 0 {
		background.Go(func() { a.fetchNewer(ctx, b) })
		a.awaitLoadStart(ctx, b, current)
	}
	return ctx.Err()
}

// cancelIfSuperseded cancels the deployment of b once a newer version is
// available, unless b is fetched or loaded first. It also cancels the deployment
// if an older version must be.
func (a *Agent) cancelIfSuperseded(ctx context.Context, b relay.Bundle, current int64, cancel context.CancelFunc) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, reconcileInterval)
		if all := a.candidates(current); len(all) > 1 && all[0] == b && a.mustFallBack(b, all[1], current) {
			cancel()
			return
		}
		newer := a.candidates(b.Version)
		if len(newer) == 0 || a.finishes(b, newer[0], current) || a.mustFallBack(newer[0], b, current) || a.Relay.Probe(ctx, newer[0]) != nil {
			continue
		}
		due, age := a.due(a.Views.View(), b, current)
		if a.Relay.Complete(b) && due-age < stagingTime+drainTimeout+loadDuration {
			continue
		}
		klog.InfoS("Deployment superseded by a newer version", "Model", b.Model, "Version", b.Version, "By", newer[0].Version)
		cancel()
		return
	}
}
