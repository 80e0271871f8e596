package tender

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/site/plan"
	"egretproxy/internal/weights/relay"
)

const (
	// tendInterval is how often the version is compared.
	tendInterval = 100 * time.Millisecond
	// firstLoad leaves time to stage. Engines load one after the other over
	// loadSpan, so that few are out of service at once; the last one ends
	// before requests must run on the new version, 8 s after its naming.
	firstLoad = 2400 * time.Millisecond
	loadSpan  = 3600 * time.Millisecond
	// lateSpan is the same for weights that were staged too late.
	lateSpan = 1500 * time.Millisecond
	// announceFirst is how long entries are told before the order goes out.
	announceFirst = 60 * time.Millisecond
	// loadTimeout is the longest wait for a load before it is ordered again.
	loadTimeout = 6 * time.Second
	firstKnown  = 1
)

// tend brings the engine to the version that is named, again and again.
func (t *Tender) tend(ctx context.Context) {
	ticker := time.NewTicker(tendInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		r, fresh := t.newest()
		b, ok := t.wanted()
		if !fresh || !ok || r.Busy || r.Weights >= b.Version {
			continue
		}
		if err := t.bring(ctx, b, r); err != nil && ctx.Err() == nil {
			t.Metrics.Count("WeightsFailed")
			klog.InfoS("Weights are not in place", "Model", b.Model, "Version", b.Version, "Error", err.Error())
		}
	}
}

// wanted returns the newest version: the one that is named, or the highest
// that any engine holds.
func (t *Tender) wanted() (relay.Bundle, bool) {
	v := t.Follower.View()
	if v.Plan == nil {
		return relay.Bundle{}, false
	}
	s := v.Plan.Services[t.Settings.Service]
	if s == nil || s.Engine == nil {
		return relay.Bundle{}, false
	}
	b := relay.Bundle{Model: s.Engine.Model, Version: max(v.Newest(s.Engine.Model), firstKnown)}
	for _, o := range v.Targets {
		if o.Service == t.Settings.Service {
			b.Version = max(b.Version, o.Weights)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.named[b].IsZero() {
		t.named[b] = time.Now()
	}
	return b, true
}

// bring stages the weights, waits for the engine's wave and orders the load.
func (t *Tender) bring(ctx context.Context, b relay.Bundle, r Report) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go t.cancelIfOvertaken(ctx, b, cancel)
	if err := t.Relay.Bring(ctx, b); err != nil {
		return err
	}
	if r.Weights > 0 {
		t.awaitTurn(ctx, b)
	}
	if err := t.Relay.Verify(ctx, b); err != nil {
		return err
	}
	t.setSwitching(true)
	defer t.setSwitching(false)
	sleep(ctx, announceFirst)
	began := time.Now()
	if r, _ = t.newest(); r.Weights >= b.Version {
		return nil
	}
	if err := t.Engine.Load(ctx, b, r.Sequence); err != nil {
		return err
	}
	for time.Since(began) < loadTimeout && ctx.Err() == nil {
		sleep(ctx, tendInterval/2)
		if r, fresh := t.newest(); fresh && !r.Busy && r.Weights >= b.Version {
			klog.InfoS("Weights are in place", "Model", b.Model, "Version", b.Version, "Took", time.Since(began).String())
			return nil
		}
	}
	return ctx.Err()
}

// cancelIfOvertaken ends the work for a version once a newer one is named.
func (t *Tender) cancelIfOvertaken(ctx context.Context, b relay.Bundle, cancel context.CancelFunc) {
	for ctx.Err() == nil {
		if now, ok := t.wanted(); ok && now.Version > b.Version {
			klog.InfoS("Weights are overtaken", "Model", b.Model, "Version", b.Version, "By", now.Version)
			cancel()
			return
		}
		sleep(ctx, tendInterval)
	}
}

// awaitTurn waits for the engine's turn, so that most engines serve while
// others load.
func (t *Tender) awaitTurn(ctx context.Context, b relay.Bundle) {
	t.mu.Lock()
	named := t.named[b]
	t.mu.Unlock()
	i, n := rank(t.Follower.View().Targets, t.Settings.Service, t.Settings.Address)
	part := func(span time.Duration) time.Duration { return span * time.Duration(i) / time.Duration(n) }
	turn := time.Until(named.Add(firstLoad + part(loadSpan)))
	if time.Since(named) > firstLoad+loadSpan {
		turn = part(lateSpan)
	}
	sleep(ctx, turn)
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// originDomain returns where the origin of weights is.
func originDomain(p *plan.Plan) id.Domain {
	for _, s := range p.Services {
		if s.Origin != "" {
			return s.Domain
		}
	}
	return ""
}
