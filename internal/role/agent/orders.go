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
	// maxMissedStatus is the number of consecutive failed status requests after
	// which the target counts as unreachable.
	maxMissedStatus   = 2
	orderPollInterval = 100 * time.Millisecond
	loadTimeout       = 10 * time.Minute
	loadPollInterval  = 50 * time.Millisecond
	// failedOrderDelay is the minimum time before a failed order is retried.
	failedOrderDelay = 10 * time.Second
	// maxFailedResponses is the number of failed answers of an engine that isn't
	// warm yet after which its load counts as failed.
	maxFailedResponses = 5
)

// watchTarget polls the status of the target to detect restarts, outages and
// changed content.
func (a *Agent) watchTarget(ctx context.Context) error {
	missed := 0
	for clock.Sleep(ctx, statusInterval) {
		s, err := a.backend.Status(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			missed++
			if missed >= maxMissedStatus {
				a.recordUnreachable()
			}
			continue
		}
		missed = 0
		a.recordStatus(s)
	}
	return nil
}

// recordUnreachable takes a serving target out of service.
func (a *Agent) recordUnreachable() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.phase == view.PhaseServing {
		a.metrics.Count("TargetGone")
		a.transition(lifecycle.Drop, view.Assignment{}, "target does not answer")
	}
}

// recordStatus takes the target out of service if it was restarted or has
// loaded other content, and puts a plain service into service.
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

// dropInstalled closes the gate until the content has been installed again.
// The caller holds mu.
func (a *Agent) dropInstalled(reason string) {
	if a.transition(lifecycle.Drop, view.Assignment{}, reason) {
		a.signalOrders()
	}
}

// fetchStaged fetches the staged content into the store. It cancels a fetch as
// soon as other content is staged.
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
		klog.InfoS("Content fetched", "Target", a.cfg.Agent.Target.ID, "Bundle", want.Bundle)
		a.signalOrders()
	}
	return nil
}

// recordFetchError reports content that exceeds Weights.Memory to operators,
// who have to act. Other failures are temporary and only logged at verbosity 1.
func (a *Agent) recordFetchError(want view.Assignment, err error) {
	if !errors.Is(err, store.ErrFull) {
		klog.V(1).InfoS("Fetching content failed", "Manifest", want.Manifest, "Error", err.Error())
		return
	}
	a.metrics.Count("ContentTooLarge")
	klog.ErrorS(err, "Content exceeds Weights.Memory", "Manifest", want.Manifest)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reason = "content does not fit into Weights.Memory"
}

// unpinUnused unpins content in the store that is neither wanted nor installed.
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

// wanted returns the content to fetch: the staged content, which will be
// assigned next, or the assigned content if its order is newer.
func (a *Agent) wanted() view.Assignment {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.view.Targets[a.cfg.Agent.Target.ID]
	if t.Assigned.Fence > t.Staged.Fence {
		return t.Assigned
	}
	return t.Staged
}

// holds reports whether the store has the wanted content. Content with an
// equal manifest counts as held under the new assignment.
func (a *Agent) holds(want view.Assignment) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.held.Manifest == want.Manifest {
		a.held = want
	}
	return a.held.SameContent(want)
}

// cancelWhenReplaced calls cancel when other content is wanted, and returns
// when ctx ends.
func (a *Agent) cancelWhenReplaced(ctx context.Context, cancel context.CancelFunc, want view.Assignment) {
	for clock.Sleep(ctx, orderPollInterval) {
		if !a.wanted().SameContent(want) {
			cancel()
			return
		}
	}
}

// followOrders executes orders: it drains the target, loads the content,
// checks that the target has loaded all of it, warms it up and opens the gate.
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
			klog.ErrorS(err, "Installing content failed", "Bundle", order.Bundle)
			a.failOrder(order, err)
		}
	}
	return nil
}

// nextOrder returns the assignment, and true if its content is held but not
// installed and it didn't fail within the last failedOrderDelay.
func (a *Agent) nextOrder() (view.Assignment, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.view.Targets[a.cfg.Agent.Target.ID]
	order := t.Assigned
	if a.leaving || order.Manifest == "" || !a.held.SameContent(order) || !a.lease.Valid() {
		return order, false
	}
	failedRecently := time.Since(a.failedAt) < failedOrderDelay
	if a.phase == view.PhaseFailed && a.installed.Fence == order.Fence && failedRecently {
		return order, false
	}
	if a.installed.SameContent(order) && a.phase == view.PhaseServing {
		return order, false
	}
	return order, true
}

// install executes one order. Errors end up in the replicated report of the
// target.
func (a *Agent) install(ctx context.Context, order view.Assignment) error {
	if err := a.drain(ctx); err != nil {
		return err
	}
	if err := a.load(ctx, order); err != nil {
		return err
	}
	a.mu.Lock()
	a.ramp.Reset()
	a.failedResponses = 0
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

// drain closes the gate and waits for all requests in progress without a
// timeout, so that none is cut off. Afterwards the target can be loaded.
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

// load orders the target to load the content and waits until it has loaded all
// of it, for at most loadTimeout. It returns an error if the target restarts
// meanwhile or ends up with other content.
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

// failOrder records a failed order for the next report. An order with the same
// fence is retried after failedOrderDelay at the earliest.
func (a *Agent) failOrder(order view.Assignment, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.transition(lifecycle.Fail, view.Assignment{Fence: order.Fence}, err.Error()) {
		a.failedAt = time.Now()
	}
}
