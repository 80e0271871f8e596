package siteagent

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"egretproxy/internal/kernel/clock"
	"egretproxy/internal/weights/relay"
)

const (
	// reconcileInterval is how often the version is compared.
	reconcileInterval = 100 * time.Millisecond
	// drainNotice is how long entries are told before the order goes out.
	drainNotice = 60 * time.Millisecond
	// loadTimeout is the longest wait for a load before it is ordered again.
	loadTimeout    = 6 * time.Second
	initialVersion = 1
	// fallbackLeadTime is what loading a version takes that is in memory: staging
	// it again, the drain, the load, and a reserve of a second.
	fallbackLeadTime = drainTimeout + loadDuration + 1300*time.Millisecond
	// maxCandidates bounds the versions that are considered. Older ones are no
	// longer kept by the origin.
	maxCandidates = 2
)

// reconcileLoop brings the engine to the version that is named, again and again.
func (t *Agent) reconcileLoop(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		r, fresh := t.latestReport()
		if !t.engineSeen() {
			t.prefetch(ctx)
			continue
		}
		if !fresh || r.Busy {
			continue
		}
		b, ok := t.chooseVersion(ctx, r.Weights)
		if !ok {
			continue
		}
		if err := t.deploy(ctx, b, r); err != nil && ctx.Err() == nil {
			t.Metrics.Count("WeightsFailed")
			klog.InfoS("Weights are not in place", "Model", b.Model, "Version", b.Version, "Error", err.Error())
		}
	}
}

// engineSeen reports whether the engine ever answered.
func (t *Agent) engineSeen() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.reportAt.IsZero()
}

// prefetch takes weights into memory until the engine answers, since a new
// engine needs a second to start and two for its weights.
func (t *Agent) prefetch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for ctx.Err() == nil && !t.engineSeen() {
			clock.Sleep(ctx, reconcileInterval/2)
		}
		cancel()
	}()
	b, ok := t.firstAvailable(ctx, t.candidates(0))
	if !ok || t.Relay.Complete(b) {
		return
	}
	if err := t.Relay.Fetch(ctx, b); err != nil && ctx.Err() == nil {
		klog.InfoS("Weights are not fetched ahead", "Model", b.Model, "Version", b.Version, "Error", err.Error())
	}
}

// chooseVersion returns the version to bring: the newest that can be had, or the one
// before if that is due soon and the newest may not be whole by then.
func (t *Agent) chooseVersion(ctx context.Context, held int64) (relay.Bundle, bool) {
	wanted := t.candidates(held)
	if len(wanted) > 1 && t.mustFallBack(wanted[0], wanted[1], held) {
		klog.InfoS("Older weights are taken first", "Model", wanted[1].Model, "Version", wanted[1].Version, "Newer", wanted[0].Version)
		return wanted[1], true
	}
	return t.firstAvailable(ctx, wanted)
}

// mustFallBack reports whether the older version, which is at hand, has to be
// loaded now to be in place when it is due, since the newer one is not whole.
func (t *Agent) mustFallBack(newer, older relay.Bundle, held int64) bool {
	if older.Version <= held || t.Relay.Complete(newer) || !t.Relay.Complete(older) {
		return false
	}
	v := t.Views.View()
	due, age := t.due(v, older, held)
	newerDue, newerAge := t.due(v, newer, newer.Version-1)
	return due-age < fallbackLeadTime && newerDue-newerAge > loadDuration
}

// firstAvailable returns the first of the versions that can be had now.
func (t *Agent) firstAvailable(ctx context.Context, wanted []relay.Bundle) (relay.Bundle, bool) {
	for _, b := range wanted {
		err := t.Relay.Probe(ctx, b)
		if err == nil {
			return b, true
		}
		if ctx.Err() == nil && t.unavailable != b {
			t.unavailable = b
			t.Metrics.Count("WeightsUnobtainable")
			klog.InfoS("Weights can't be had yet", "Model", b.Model, "Version", b.Version, "Error", err.Error())
		}
	}
	return relay.Bundle{}, false
}

// candidates returns the versions that are newer than the one held, newest first:
// those that are named, and the highest that any engine holds.
func (t *Agent) candidates(held int64) []relay.Bundle {
	v := t.Views.View()
	if v.Plan == nil {
		return nil
	}
	s := v.Plan.Services[t.Settings.Service]
	if s == nil || s.Engine == nil {
		return nil
	}
	versions := []int64{initialVersion}
	for _, n := range v.Weights {
		if n.Model == s.Engine.Model {
			versions = append(versions, n.Version)
		}
	}
	highest := int64(0)
	for _, o := range v.Targets {
		if o.Service == t.Settings.Service {
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
		if n > held {
			out = append(out, relay.Bundle{Model: s.Engine.Model, Version: n})
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range out {
		if t.firstSeen[b].IsZero() {
			t.firstSeen[b] = time.Now()
		}
	}
	return out
}

// deploy stages the weights, waits for the engine's wave and orders the load.
func (t *Agent) deploy(ctx context.Context, b relay.Bundle, r Report) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch, unwatch := context.WithCancel(ctx)
	defer unwatch()
	go t.cancelIfSuperseded(watch, b, r.Weights, cancel)
	if err := t.Relay.StageBundle(ctx, b); err != nil {
		return err
	}
	if r.Weights > 0 {
		t.awaitLoadStart(ctx, b, r.Weights)
	}
	unwatch()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err := t.Relay.Verify(ctx, b); err != nil {
		return err
	}
	t.setSwitching(true)
	defer t.setSwitching(false)
	clock.Sleep(ctx, drainNotice)
	how := t.drain(ctx)
	began := time.Now()
	if r, _ = t.latestReport(); r.Weights >= b.Version {
		return nil
	}
	if err := t.Engine.Load(ctx, b, r.Sequence, how); err != nil {
		return err
	}
	for time.Since(began) < loadTimeout && ctx.Err() == nil {
		clock.Sleep(ctx, reconcileInterval/2)
		if r, fresh := t.latestReport(); fresh && !r.Busy && r.Weights >= b.Version {
			klog.InfoS("Weights are in place", "Model", b.Model, "Version", b.Version, "Took", time.Since(began).String())
			return nil
		}
	}
	return ctx.Err()
}

// cancelIfSuperseded ends the work for a version once a newer one can be had,
// unless the newer one could no longer be staged before the older is due, and
// once an older one must go first.
func (t *Agent) cancelIfSuperseded(ctx context.Context, b relay.Bundle, held int64, cancel context.CancelFunc) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, reconcileInterval)
		if all := t.candidates(held); len(all) > 1 && all[0] == b && t.mustFallBack(b, all[1], held) {
			cancel()
			return
		}
		newer := t.candidates(b.Version)
		if len(newer) == 0 || t.Relay.Probe(ctx, newer[0]) != nil {
			continue
		}
		due, age := t.due(t.Views.View(), b, held)
		if t.Relay.Complete(b) && due-age < stagingTime+drainTimeout+loadDuration {
			continue
		}
		klog.InfoS("Weights are overtaken", "Model", b.Model, "Version", b.Version, "By", newer[0].Version)
		cancel()
		return
	}
}
