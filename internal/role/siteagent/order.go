package siteagent

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"egretproxy/internal/kernel/boottime"
	"egretproxy/internal/kernel/clock"
	"egretproxy/internal/weights/relay"
)

const (
	// orderTimeout is the longest wait for the response to an order.
	orderTimeout = time.Second
	// outcomeTimeout is the longest wait for a report that tells whether an order
	// without a response has begun.
	outcomeTimeout = 2 * idleInterval
	// pendingCloseTime is how long after it was sent an order without a known
	// outcome keeps the engine closed. Most engines have answered by then.
	pendingCloseTime = 5 * time.Second
	// pendingRetryInterval is the time between two attempts of an order whose
	// outcome is still unknown after pendingCloseTime.
	pendingRetryInterval = 5 * time.Second
	// maxCheckAge is the age of the oldest check of a staged piece up to which a load
	// is ordered. A piece that becomes corrupted less than 3 s before a load is
	// allowed; the rest covers the way of the order.
	maxCheckAge = 1500 * time.Millisecond
	// maxChecks is how often a check that became too old is repeated. On an instance
	// that is too slow for that, the check after the load decides alone.
	maxChecks = 3
	// loadedCheckTimeout limits the check of the pieces after a load was accepted.
	loadedCheckTimeout = 3 * time.Second
)

// ErrOrderRefused means that the engine refused an order. It has not begun and never
// will.
var ErrOrderRefused = errors.New("engine refused the order")

// Layers is a range of layers, From to To exclusive. The zero value means all.
type Layers struct{ From, To int }

// Order tells an engine to load the staged weights.
type Order struct {
	relay.Bundle
	// Layers are the layers to hold afterwards. The engine drops others and loads
	// those that it lacks.
	Layers Layers
	// Sequence is the number of orders that the engine has accepted before. An
	// engine that has accepted another one since refuses the order.
	Sequence int64
	Mode     SwitchMode
}

// pendingOrder is an order whose outcome is not known. The engine may accept it at
// any time and then loads whatever is staged, so that no other bundle may be staged
// until the engine has accepted an order of that sequence number or has restarted.
type pendingOrder struct {
	Order
	// startMs is the start of the engine that got the order.
	startMs int64
	sentAt  time.Time
	// triedAt is when the order was sent last.
	triedAt time.Time
}

// settledBy reports whether the order can no longer be accepted once the engine has
// sent the report.
func (p *pendingOrder) settledBy(r Report) bool {
	return r.Sequence != p.Sequence || r.StartMs != p.startMs
}

// order sends an order for layers of the bundle, whose staged pieces were checked, and
// returns it once the engine has accepted it. An order without a known outcome stays
// pending and is sent again with the same sequence number, which the engine accepts
// once at most; it is sent in place of any other.
func (a *Agent) order(ctx context.Context, b relay.Bundle, layers Layers, mode SwitchMode, checked boottime.Moment) (Order, error) {
	if mode == AbortRequests {
		a.announceAbort(ctx)
		defer a.setAborting(false)
	}
	checked, err := a.recheck(ctx, b, checked)
	if err != nil {
		return Order{}, err
	}
	r, _ := a.latestReport()
	p := a.pendingOrder()
	isFirst := p == nil
	if isFirst {
		p = &pendingOrder{Order: Order{Bundle: b, Layers: layers, Sequence: r.Sequence}, startMs: r.StartMs, sentAt: time.Now()}
	}
	p.Mode, p.triedAt = mode, time.Now()
	a.setPending(p)
	klog.InfoS("Load is ordered", "Model", b.Model, "Version", b.Version, "Layers", p.Layers, "Sequence", p.Sequence,
		"Again", !isFirst, "CheckAgeMs", checked.Age().Milliseconds())
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	err = a.Engine.Load(callCtx, p.Order)
	cancel()
	if err == nil {
		a.checkLoaded(ctx, p, checked)
		a.setPending(nil)
		return p.Order, nil
	}
	klog.InfoS("Load order was not accepted", "Model", b.Model, "Version", b.Version, "Sequence", p.Sequence,
		"AfterMs", time.Since(p.triedAt).Milliseconds(), "Error", err.Error())
	if isFirst && errors.Is(err, ErrOrderRefused) {
		a.setPending(nil)
		return Order{}, err
	}
	if a.awaitOutcome(ctx, p) {
		return p.Order, nil
	}
	a.Metrics.Count("OrderPending")
	return Order{}, errors.Wrap(err, "outcome of the load order is not known")
}

// recheck reads the staged pieces again if the last check is too old for an order:
// pieces become corrupted at rest, and the process may not have run since.
func (a *Agent) recheck(ctx context.Context, b relay.Bundle, checked boottime.Moment) (boottime.Moment, error) {
	for range maxChecks {
		if checked.Age() <= maxCheckAge {
			return checked, nil
		}
		klog.InfoS("Staged pieces are checked again", "Model", b.Model, "Version", b.Version, "CheckAgeMs", checked.Age().Milliseconds())
		var err error
		if checked, err = a.Relay.Verify(ctx, b); err != nil {
			return checked, err
		}
	}
	return checked, nil
}

// checkLoaded reads the staged pieces after the engine has accepted a load of them. If
// one is corrupted, the engine may have loaded it: the order may have been accepted
// long after the check before it. Such an engine stays closed until it has loaded the
// pieces again.
func (a *Agent) checkLoaded(ctx context.Context, p *pendingOrder, checked boottime.Moment) {
	ctx, cancel := context.WithTimeout(ctx, loadedCheckTimeout)
	defer cancel()
	bad, _, err := a.Relay.Check(ctx, p.Bundle)
	for err != nil && ctx.Err() == nil {
		clock.Sleep(ctx, reconcileInterval)
		bad, _, err = a.Relay.Check(ctx, p.Bundle)
	}
	klog.InfoS("Pieces were checked after the load", "Model", p.Model, "Version", p.Version, "Corrupted", bad,
		"CheckAgeMs", checked.Age().Milliseconds(), "Error", errorText(err))
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case err != nil || len(bad) > 0:
		a.spoilt, a.spoiltStartMs = p.Bundle, p.startMs
		a.Metrics.Count("WeightsSpoilt")
	case p.Layers == (Layers{}):
		a.spoilt = relay.Bundle{}
	}
}

// awaitOutcome waits for a report that settles a pending order. It returns whether
// the engine has accepted the order.
func (a *Agent) awaitOutcome(ctx context.Context, p *pendingOrder) bool {
	for began := time.Now(); time.Since(began) < outcomeTimeout && ctx.Err() == nil; {
		clock.Sleep(ctx, reconcileInterval/2)
		if r, fresh := a.latestReport(); fresh && a.settlePending(ctx, r) {
			return r.StartMs == p.startMs
		}
	}
	return false
}

// settlePending reports whether no order is pending after the report. It checks what
// the engine has loaded.
func (a *Agent) settlePending(ctx context.Context, r Report) bool {
	p := a.pendingOrder()
	if p == nil || !p.settledBy(r) {
		return p == nil
	}
	klog.InfoS("Outcome of a load order is known", "Model", p.Model, "Version", p.Version, "Sequence", p.Sequence,
		"EngineSequence", r.Sequence, "EngineRestarted", r.StartMs != p.startMs, "AfterMs", time.Since(p.sentAt).Milliseconds())
	if r.StartMs == p.startMs {
		a.checkLoaded(ctx, p, boottime.Mark())
	}
	a.setPending(nil)
	return true
}

// reload makes the engine load all layers of a bundle again, which it holds with
// corrupted pieces. An order for the version that an engine holds does nothing, so
// that each layer is dropped first: all but the first, then all but the last.
func (a *Agent) reload(ctx context.Context, b relay.Bundle) error {
	last := a.lastLayer()
	if last < 1 {
		return errors.New("number of layers is not known")
	}
	checked, err := a.Relay.Verify(ctx, b)
	if err != nil {
		return err
	}
	a.setSwitching(true)
	defer a.setSwitching(false)
	for _, l := range []Layers{{0, 1}, {last, last + 1}, {}} {
		if a.pendingOrder() != nil {
			return errors.New("another order is pending")
		}
		if _, err := a.order(ctx, b, l, AbortRequests, checked); err != nil {
			return err
		}
		a.awaitIdle(ctx)
		if checked, err = a.Relay.Verify(ctx, b); err != nil {
			return err
		}
	}
	klog.InfoS("Weights were loaded again", "Model", b.Model, "Version", b.Version)
	return nil
}

// lastLayer returns the number of the last layer of the engine's model, 0 if unknown.
func (a *Agent) lastLayer() int {
	if s := a.spec(a.Views.View()); s != nil && s.Engine != nil {
		return max(s.Engine.Layers-1, 0)
	}
	return 0
}

// awaitIdle waits until the engine has finished its order, for loadTimeout at most.
func (a *Agent) awaitIdle(ctx context.Context) {
	for began := time.Now(); time.Since(began) < loadTimeout && ctx.Err() == nil; {
		clock.Sleep(ctx, 2*reportInterval)
		if r, fresh := a.latestReport(); fresh && !r.Busy {
			return
		}
	}
}

// spoiltBundle returns the bundle that the engine may hold with corrupted pieces.
func (a *Agent) spoiltBundle(r Report) (relay.Bundle, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.spoilt, a.isSpoilt(r)
}

// isSpoilt reports whether the engine may hold corrupted pieces. The caller holds mu.
func (a *Agent) isSpoilt(r Report) bool { return a.spoilt.Version > 0 && a.spoiltStartMs == r.StartMs }

func (a *Agent) pendingOrder() *pendingOrder {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.pending
}

func (a *Agent) setPending(p *pendingOrder) {
	a.mu.Lock()
	a.pending = p
	a.mu.Unlock()
	a.wakeReporter()
}

// closed reports whether entries must send the engine no requests. The caller holds
// mu.
func (a *Agent) closed(r Report) bool {
	pending := a.pending != nil && (time.Since(a.pending.sentAt) < pendingCloseTime || a.pending.settledBy(r))
	return a.switching || r.Busy || pending || a.isSpoilt(r)
}
