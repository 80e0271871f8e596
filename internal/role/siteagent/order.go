package siteagent

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

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
)

// ErrOrderRefused means that the engine refused an order. It has not begun and never
// will.
var ErrOrderRefused = errors.New("engine refused the order")

// Order tells an engine to load the staged weights.
type Order struct {
	relay.Bundle
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

// order sends an order for the bundle and returns nil once the engine has accepted
// it. An order without a known outcome stays pending and is sent again with the same
// sequence number, which the engine accepts once at most.
func (a *Agent) order(ctx context.Context, b relay.Bundle, mode SwitchMode) error {
	r, _ := a.latestReport()
	p := a.pendingOrder()
	isFirst := p == nil
	if isFirst {
		p = &pendingOrder{Order: Order{Bundle: b, Sequence: r.Sequence}, startMs: r.StartMs, sentAt: time.Now()}
	}
	p.Mode, p.triedAt = mode, time.Now()
	a.setPending(p)
	klog.InfoS("Load is ordered", "Model", b.Model, "Version", b.Version, "Sequence", p.Sequence, "Again", !isFirst)
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	err := a.Engine.Load(callCtx, p.Order)
	cancel()
	if err == nil {
		a.setPending(nil)
		return nil
	}
	klog.InfoS("Load order was not accepted", "Model", b.Model, "Version", b.Version, "Sequence", p.Sequence,
		"AfterMs", time.Since(p.triedAt).Milliseconds(), "Error", err.Error())
	if isFirst && errors.Is(err, ErrOrderRefused) {
		a.setPending(nil)
		return err
	}
	if a.awaitOutcome(ctx, p) {
		return nil
	}
	a.Metrics.Count("OrderPending")
	return errors.Wrap(err, "outcome of the load order is not known")
}

// awaitOutcome waits for a report that settles a pending order. It returns whether
// the engine has accepted the order.
func (a *Agent) awaitOutcome(ctx context.Context, p *pendingOrder) bool {
	for began := time.Now(); time.Since(began) < outcomeTimeout && ctx.Err() == nil; {
		clock.Sleep(ctx, reconcileInterval/2)
		if r, fresh := a.latestReport(); fresh && a.settlePending(r) {
			return r.StartMs == p.startMs
		}
	}
	return false
}

// settlePending reports whether no order is pending after the report.
func (a *Agent) settlePending(r Report) bool {
	a.mu.Lock()
	p := a.pending
	if p == nil || !p.settledBy(r) {
		a.mu.Unlock()
		return p == nil
	}
	a.pending = nil
	a.mu.Unlock()
	klog.InfoS("Outcome of a load order is known", "Model", p.Model, "Version", p.Version, "Sequence", p.Sequence,
		"EngineSequence", r.Sequence, "EngineRestarted", r.StartMs != p.startMs, "AfterMs", time.Since(p.sentAt).Milliseconds())
	return true
}

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
	pending := a.pending != nil && time.Since(a.pending.sentAt) < pendingCloseTime
	return a.switching || r.Busy || pending
}
