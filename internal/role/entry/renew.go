package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"egretproxy/internal/control/lease"
	"egretproxy/internal/control/view"
	"egretproxy/internal/routing/policy"
	"egretproxy/internal/wire/api"
)

// renew keeps the agreed state up to date until the context ends. An entry
// uses the state without a lease, since agents refuse what is no longer
// permitted.
func (e *Entry) renew(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		wait := lease.RenewInterval
		if err := e.renewOnce(ctx); err != nil {
			e.metrics.Count("RenewalFailed")
			wait = min(retryDelay<<min(failures, maxDoublings), lease.RenewInterval)
			failures++
		} else {
			failures = 0
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait/2 + rand.N(wait)):
		}
	}
	return nil
}

func (e *Entry) renewOnce(ctx context.Context) error {
	sent := time.Now()
	call, cancel := context.WithTimeout(ctx, lease.Duration)
	defer cancel()
	e.mu.Lock()
	in := api.RenewRequest{Subscriber: api.Subscriber{
		Name: e.cfg.Process.Name, Role: roleName, Have: e.view.Version,
	}}
	e.mu.Unlock()
	var out api.RenewResponse
	if err := e.keepers.Call(call, api.MethodRenew, in, &out); err != nil {
		return err
	}
	e.mu.Lock()
	before := e.view
	e.view = e.view.With(out.Delta)
	after := e.view
	e.mu.Unlock()
	if after.Policy.Routing != before.Policy.Routing {
		e.usePolicy(after.Policy.Routing)
	}
	if d := out.Delta; d.Full || len(d.Targets)+len(d.Removed)+len(d.Domains) > 0 {
		e.targetPool.SetView(after)
	}
	// The entry is ready from now on, so requests must find their targets.
	e.mu.Lock()
	e.confirmedAt = sent
	e.mu.Unlock()
	return nil
}

func (e *Entry) usePolicy(name string) {
	if name == "" {
		name = DefaultPolicy
	}
	c, err := policy.New(name, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	if err != nil {
		klog.ErrorS(err, "Invalid routing policy; keeping the current one")
		return
	}
	e.targetPool.SetPolicy(c)
}

func (e *Entry) currentView() view.View {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.view
}
