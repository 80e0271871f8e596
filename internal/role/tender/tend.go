package tender

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/site/plan"
	"egretproxy/internal/weights/relay"
)

const (
	// tendInterval is how often the version is compared.
	tendInterval = 100 * time.Millisecond
	// waves is the number of groups that the engines of a service load in.
	waves = 3
	// firstWave leaves time to stage; waveGap is about a stream and a load.
	// The last wave ends well before the bound of 8 s after the naming.
	firstWave = 2200 * time.Millisecond
	waveGap   = 1300 * time.Millisecond
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
	b := relay.Bundle{Model: s.Engine.Model, Version: max(v.Weights[s.Engine.Model], firstKnown)}
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
		t.awaitWave(ctx, b)
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

// awaitWave waits for the engine's turn, so that most engines serve while
// others load.
func (t *Tender) awaitWave(ctx context.Context, b relay.Bundle) {
	t.mu.Lock()
	named := t.named[b]
	t.mu.Unlock()
	wave := rank(t.Follower.View().Targets, t.Settings.Service, t.Settings.Address) % waves
	sleep(ctx, time.Until(named.Add(firstWave+time.Duration(wave)*waveGap)))
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

// Routes returns the peers to ask for a piece, best first: one of the own
// failure domain that holds the version, the one there that brings the piece
// in, one elsewhere that holds it, and the one that draws it from the origin.
// An empty answer means that this process draws it.
func (t *Tender) Routes(b relay.Bundle, n int) []string {
	v := t.Follower.View()
	if v.Plan == nil {
		return nil
	}
	var near, nearHolding, holding, drawing, all []string
	origin := originDomain(v.Plan)
	for _, o := range v.Targets {
		if o.Service != t.Settings.Service {
			continue
		}
		all = append(all, o.Address)
		if o.Domain == t.Settings.Domain {
			near = append(near, o.Address)
		}
		if o.Domain == origin {
			drawing = append(drawing, o.Address)
		}
		if o.Weights == b.Version && o.Address != t.Settings.Address {
			holding = append(holding, o.Address)
			if o.Domain == t.Settings.Domain {
				nearHolding = append(nearHolding, o.Address)
			}
		}
	}
	if len(drawing) == 0 {
		drawing = all
	}
	var out []string
	for _, group := range [][]string{nearHolding, near, holding, drawing} {
		a := chosen(group, n)
		if a == t.Settings.Address && len(holding) == 0 {
			// The next group holds the piece's source for this process.
			continue
		}
		if a != "" && a != t.Settings.Address && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	if chosen(drawing, n) == t.Settings.Address && len(holding) == 0 {
		return nil
	}
	return out
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
