package siteagent

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"egretproxy/internal/kernel/clock"
	"egretproxy/internal/weights/relay"
	"egretproxy/internal/weights/rollout"
)

const (
	// reconcileInterval is the time between checks of the engine's version.
	reconcileInterval = 100 * time.Millisecond
	// drainNotice is how long entries have to stop sending requests before
	// draining begins.
	drainNotice = 60 * time.Millisecond
	// abortNotice is how long entries have to learn that an engine aborts its
	// requests, part of the drain. A report goes out after each query.
	abortNotice = 60 * time.Millisecond
	// loadTimeout is the longest wait for a load to complete before it is
	// ordered again.
	loadTimeout    = 6 * time.Second
	initialVersion = 1
	// fallbackLeadTime is the time needed to load a version that is already in
	// memory: staging it again, draining, loading, and a reserve of one second.
	fallbackLeadTime = rollout.ShortDrain + rollout.LoadDuration + 1300*time.Millisecond
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
	if len(candidates) > 0 && current > 0 {
		a.announceMoment(candidates[0], current)
	}
	if len(candidates) > 1 && a.mustFallBack(candidates[0], candidates[1], current) {
		klog.InfoS("Loading the older version first", "Model", candidates[1].Model, "Version", candidates[1].Version, "Newer", candidates[0].Version)
		return candidates[1], true
	}
	return a.firstAvailable(ctx, candidates)
}

// mustFallBack reports whether the older version, which is complete in memory,
// must be loaded now to meet its deadline because the newer one is incomplete.
func (a *Agent) mustFallBack(newer, older relay.Bundle, current int64) bool {
	if older.Version <= current || a.Relay.Complete(newer) || !a.Relay.Complete(older) {
		return false
	}
	v := a.Views.View()
	due, age := a.due(v, older, current)
	newerDue, newerAge := a.due(v, newer, newer.Version-1)
	return due-age < fallbackLeadTime && newerDue-newerAge > rollout.LoadDuration
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
	busy := a.busyNow(v)
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, b := range out {
		if a.firstSeen[b].IsZero() {
			a.firstSeen[b] = time.Now()
			a.busy[b] = busy
		}
	}
	return out
}

// deploy stages the weights, waits for this engine's scheduled start and orders
// the load.
func (a *Agent) deploy(ctx context.Context, b relay.Bundle, r Report) error {
	defer a.setLoadsAt(time.Time{}, time.Time{})
	left, err := a.stage(ctx, b, r.Weights)
	if err != nil {
		return err
	}
	checked, err := a.Relay.Verify(ctx, b)
	if err != nil {
		return err
	}
	a.setSwitching(true)
	defer a.setSwitching(false)
	defer a.setLoadsAt(time.Time{}, time.Time{})
	clock.Sleep(ctx, drainNotice)
	mode := a.drain(ctx, b, left)
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
// the deployment is superseded. left is the time until the version is due once it is
// staged.
func (a *Agent) stage(ctx context.Context, b relay.Bundle, current int64) (left time.Duration, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if a.pendingOrder() == nil {
		go a.cancelIfSuperseded(ctx, b, current, cancel)
	}
	if err := a.Relay.StageBundle(ctx, b); err != nil {
		return 0, err
	}
	if current > 0 {
		left = a.awaitLoadStart(ctx, b, current)
	}
	return left, ctx.Err()
}

// cancelIfSuperseded cancels the deployment of b once a newer version is
// available, unless b is complete and the newer one couldn't be staged before b
// is due. It also cancels the deployment if an older version must be loaded
// first.
func (a *Agent) cancelIfSuperseded(ctx context.Context, b relay.Bundle, current int64, cancel context.CancelFunc) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, reconcileInterval)
		if all := a.candidates(current); len(all) > 1 && all[0] == b && a.mustFallBack(b, all[1], current) {
			cancel()
			return
		}
		newer := a.candidates(b.Version)
		if len(newer) == 0 || a.Relay.Probe(ctx, newer[0]) != nil {
			continue
		}
		due, age := a.due(a.Views.View(), b, current)
		if a.Relay.Complete(b) && due-age < rollout.StagingTime+rollout.ShortDrain+rollout.LoadDuration {
			continue
		}
		klog.InfoS("Deployment superseded by a newer version", "Model", b.Model, "Version", b.Version, "By", newer[0].Version)
		cancel()
		return
	}
}
