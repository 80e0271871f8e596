package agent

import (
	"context"
	"fmt"
	"net/url"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"egretproxy/internal/control/lifecycle"
	"egretproxy/internal/control/view"
	"egretproxy/internal/kernel/clock"
	"egretproxy/internal/target/backend"
	"egretproxy/internal/weights/manifest"
	"egretproxy/internal/weights/store"
)

const (
	statusInterval = 250 * time.Millisecond
	// maxMissedStatus is the number of unanswered status requests in a row after
	// which the target counts as gone.
	maxMissedStatus   = 2
	orderPollInterval = 100 * time.Millisecond
	loadTimeout       = 10 * time.Minute
	loadPollInterval  = 50 * time.Millisecond
	failedOrderDelay  = 10 * time.Second
	// maxFailedAnswers is the number of failed answers soon after a load that
	// makes the load count as failed.
	maxFailedAnswers = 5
)

// watchTarget notices restarts of the target.
func (a *Agent) watchTarget(ctx context.Context) error {
	misses := 0
	for clock.Sleep(ctx, statusInterval) {
		s, err := a.backend.Status(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			misses++
			if misses >= maxMissedStatus {
				a.recordUnreachable()
			}
			continue
		}
		misses = 0
		a.recordStatus(s)
	}
	return nil
}

func (a *Agent) recordUnreachable() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.phase == view.PhaseServing {
		a.metrics.Count("TargetGone")
		a.transition(lifecycle.Drop, view.Assignment{}, "target does not answer")
	}
}

func (a *Agent) recordStatus(s backend.Status) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.targetStart == "" {
		a.targetStart = s.Start
	}
	if s.Start != a.targetStart {
		a.ramp.Reset()
		a.metrics.Count("TargetRestarted")
		klog.InfoS("Target restarted", "Target", a.cfg.Agent.Target.ID, "Start", s.Start)
		a.targetStart = s.Start
		a.dropInstalled("target restarted")
	}
	if a.phase == view.PhaseServing && a.backend.Kind() == view.TargetEngine &&
		(s.Bundle != a.installed.Bundle || s.Manifest != a.installed.Manifest) {
		a.dropInstalled("target holds other content")
	}
	if a.phase == view.PhaseEmpty && a.backend.Kind() == view.TargetService {
		a.transition(lifecycle.Ready, view.Assignment{}, "")
	}
}

// dropInstalled closes the gate until the content is installed again. The
// caller holds mu.
func (a *Agent) dropInstalled(reason string) {
	if a.transition(lifecycle.Drop, view.Assignment{}, reason) {
		a.signalOrders()
	}
}

// fetchStaged fetches the staged content, and stops at once when it is replaced.
func (a *Agent) fetchStaged(ctx context.Context) error {
	if a.backend.Kind() != view.TargetEngine {
		return nil
	}
	pinned := map[string]manifest.Manifest{}
	for ctx.Err() == nil {
		want := a.wanted()
		a.unpinUnused(pinned, want.Manifest)
		if want.Manifest == "" || a.holds(want) {
			clock.Sleep(ctx, orderPollInterval)
			continue
		}
		fetchCtx, cancel := context.WithCancel(ctx)
		go a.cancelWhenReplaced(fetchCtx, cancel, want)
		m, err := a.fetcher.Fetch(fetchCtx, manifest.Digest(want.Manifest))
		cancel()
		if err != nil {
			a.recordFetchError(want, err)
			clock.Sleep(ctx, orderPollInterval)
			continue
		}
		pinned[want.Manifest] = m
		a.mu.Lock()
		a.held = want
		a.mu.Unlock()
		klog.InfoS("Content is held", "Target", a.cfg.Agent.Target.ID, "Bundle", want.Bundle)
		a.signalOrders()
	}
	return nil
}

// recordFetchError tells operators of a content that can't fit. Other failures
// end by themselves.
func (a *Agent) recordFetchError(want view.Assignment, err error) {
	if !errors.Is(err, store.ErrFull) {
		klog.V(1).InfoS("Content was not fetched", "Manifest", want.Manifest, "Error", err.Error())
		return
	}
	a.metrics.Count("ContentTooLarge")
	klog.ErrorS(err, "Content does not fit into Weights.Memory", "Manifest", want.Manifest)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reason = "content does not fit into Weights.Memory"
}

// unpinUnused lets go of content that is neither wanted nor installed.
func (a *Agent) unpinUnused(pinned map[string]manifest.Manifest, wanted string) {
	a.mu.Lock()
	installed := a.installed.Manifest
	a.mu.Unlock()
	for d, m := range pinned {
		if d != wanted && d != installed {
			a.store.Unpin(m)
			delete(pinned, d)
		}
	}
}

// wanted returns the content to fetch: what is staged, which is also what
// will be assigned.
func (a *Agent) wanted() view.Assignment {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.view.Targets[a.cfg.Agent.Target.ID]
	if t.Assigned.Fence > t.Staged.Fence {
		return t.Assigned
	}
	return t.Staged
}

func (a *Agent) holds(want view.Assignment) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.held.Manifest == want.Manifest {
		a.held = want
	}
	return a.held.Same(want)
}

func (a *Agent) cancelWhenReplaced(ctx context.Context, cancel context.CancelFunc, want view.Assignment) {
	for clock.Sleep(ctx, orderPollInterval) {
		if !a.wanted().Same(want) {
			cancel()
			return
		}
	}
}

// followOrders carries out orders: it drains the target, loads the content, checks
// that the target holds the whole of it, warms it up and opens the gate.
func (a *Agent) followOrders(ctx context.Context) error {
	if a.backend.Kind() != view.TargetEngine {
		return nil
	}
	for ctx.Err() == nil {
		order, ok := a.nextOrder()
		if !ok {
			select {
			case <-a.ordersChanged:
			case <-time.After(orderPollInterval):
			case <-ctx.Done():
			}
			continue
		}
		if err := a.install(ctx, order); err != nil && ctx.Err() == nil {
			a.metrics.Count("InstallFailed")
			klog.ErrorS(err, "Content was not installed", "Bundle", order.Bundle)
			a.failOrder(order, err)
		}
	}
	return nil
}

// nextOrder returns the assignment if it is held but not installed, and was
// not tried in vain just now.
func (a *Agent) nextOrder() (view.Assignment, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.view.Targets[a.cfg.Agent.Target.ID]
	order := t.Assigned
	if a.leaving || order.Manifest == "" || !a.held.Same(order) || !a.lease.Valid() {
		return order, false
	}
	recent := time.Since(a.failedAt) < failedOrderDelay
	if a.phase == view.PhaseFailed && a.installed.Fence == order.Fence && recent {
		return order, false
	}
	if a.installed.Same(order) && a.phase == view.PhaseServing {
		return order, false
	}
	return order, true
}

func (a *Agent) install(ctx context.Context, order view.Assignment) error {
	if err := a.drain(ctx); err != nil {
		return err
	}
	if err := a.load(ctx, order); err != nil {
		return err
	}
	a.mu.Lock()
	a.ramp.Reset()
	a.failedAnswers = 0
	ok := a.transition(lifecycle.Loaded, order, "")
	a.mu.Unlock()
	if !ok {
		return nil
	}
	if err := a.warm(ctx, order); err != nil {
		return errors.Wrap(err, "warm up")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.phase == view.PhaseWarming {
		a.transition(lifecycle.Warmed, order, "")
	}
	return nil
}

// drain closes the gate, waits for requests in progress, which are never cut
// off, and leaves the target ready to be loaded.
func (a *Agent) drain(ctx context.Context) error {
	a.mu.Lock()
	a.transition(lifecycle.Drain, a.installed, "")
	a.mu.Unlock()
	select {
	case <-a.gate.Idle():
	case <-ctx.Done():
		return ctx.Err()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.transition(lifecycle.Drained, view.Assignment{}, "") || a.transition(lifecycle.Order, view.Assignment{}, "") {
		return nil
	}
	return errors.Errorf("target is in phase %s", a.phase)
}

// load orders the target to load and waits until it holds the whole content.
func (a *Agent) load(ctx context.Context, order view.Assignment) error {
	a.mu.Lock()
	start := a.targetStart
	a.mu.Unlock()
	if !a.lease.Valid() {
		return errors.New("lease has expired")
	}
	s, err := a.backend.Status(ctx)
	if err == nil && s.Bundle == order.Bundle && s.Manifest == order.Manifest {
		return nil
	}
	source := url.URL{Scheme: "http", Host: a.contentAddress, Path: "/content/" + order.Manifest}
	if err := a.backend.Load(ctx, backend.Order{Assignment: order, Source: source.String()}); err != nil {
		return errors.Wrap(err, "order load")
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	for clock.Sleep(ctx, loadPollInterval) {
		s, err := a.backend.Status(ctx)
		if err != nil || s.Loading {
			continue
		}
		if s.Start != start {
			return errors.New("target restarted during the load")
		}
		if s.Manifest != order.Manifest || s.Bundle != order.Bundle {
			return fmt.Errorf("target holds %s with digest %s", s.Bundle, s.Manifest)
		}
		return nil
	}
	return errors.Wrap(ctx.Err(), "wait for load")
}

// failOrder reports a failed order. It is tried again only under a new fence.
func (a *Agent) failOrder(order view.Assignment, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.transition(lifecycle.Fail, view.Assignment{Fence: order.Fence}, err.Error()) {
		a.failedAt = time.Now()
	}
}
