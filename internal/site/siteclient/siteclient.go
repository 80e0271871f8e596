// Package siteclient keeps a process up to date with what the keepers of a site
// know. It follows every keeper at once, since each hears other targets.
package siteclient

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/boottime"
	"egretproxy/internal/kernel/clock"
	"egretproxy/internal/site/deflate"
	"egretproxy/internal/site/discovery"
	"egretproxy/internal/site/plan"
	"egretproxy/internal/site/watch"
	"egretproxy/internal/wire/rpc"
)

const (
	// watchWait is how long a keeper may wait for news. It bounds how old the
	// confirmation gets.
	defaultWatchWait = 600 * time.Millisecond
	// slowWatchWait is the same for processes that need no confirmation.
	slowWatchWait = 1800 * time.Millisecond
	// responseTimeout bounds one call beyond hold. A silent connection is
	// given up after it.
	responseTimeout = 700 * time.Millisecond
	dialTimeout     = 700 * time.Millisecond
	// retryDelay is the wait after a failed call, with up to as much again
	// by chance.
	retryDelay = 100 * time.Millisecond
	// refreshInterval is how often silence and restarts are looked at.
	refreshInterval = 500 * time.Millisecond
	// omittedPlanDelay and omittedPlanTimeout are the waits for a plan from the
	// preferred keeper before all others are asked for it.
	omittedPlanDelay   = 60 * time.Millisecond
	omittedPlanTimeout = 250 * time.Millisecond
	// defaultPlanInterval keeps a storm of plans from using up the processor. It is
	// well below the time in which a plan must be in force.
	defaultPlanInterval = 200 * time.Millisecond
	slowPlanInterval    = time.Second
	// maxKeepers bounds the keepers that are followed.
	maxKeepers = 16
)

// Client follows the keepers. Its settings are set before Run.
type Client struct {
	// Name and Role tell the keepers who follows.
	Name, Role string
	// Region is where the process is. Keepers of the same one are preferred.
	Region id.Region
	// SlowPolling processes need no fresh confirmation and no plan at once. They ask
	// less often.
	SlowPolling bool
	// Seeds returns the addresses to begin with.
	Seeds func() []string
	// Decode reads a plan as the operator sent it.
	Decode func(document []byte) (*plan.Plan, error)
	// OnChange is called with each new view, one at a time.
	OnChange func(*View)

	view atomic.Pointer[View]
	// confirmedAt is the start of the newest confirmation by the clock of
	// boottime, 0 for none.
	confirmedAt atomic.Int64
	// keepersChangedAt is when a keeper was last lost or found, by the clock of
	// boottime.
	keepersChangedAt atomic.Int64

	mu sync.Mutex
	// lists is keyed by keeper.
	lists map[string]*targetList
	// running holds the keepers that are followed now.
	running map[string]context.CancelFunc
	index   uint64
	// planIndex is the position of the plan in view.
	planIndex uint64
	// planOmittedSince is since when a newer plan is known but not held.
	planOmittedSince time.Time
	// planReceivedAt is when the newest plan was taken in.
	planReceivedAt time.Time
	plan           *plan.Plan
	withdrawn      map[id.Domain]bool
	weights        []WeightsVersion
}

// View returns the newest view. It is never nil after Run began.
func (f *Client) View() *View {
	if v := f.view.Load(); v != nil {
		return v
	}
	return &View{Entries: 1}
}

// Age returns how old the newest confirmation by a quorum is. It is large if
// there was none.
func (f *Client) Age() time.Duration {
	at := f.confirmedAt.Load()
	if at == 0 {
		return time.Hour
	}
	return boottime.Now() - time.Duration(at)
}

// StableFor returns for how long all keepers have been there, or not, without a
// change.
func (f *Client) StableFor() time.Duration {
	return boottime.Now() - time.Duration(f.keepersChangedAt.Load())
}

// Run follows until the context ends.
func (f *Client) Run(ctx context.Context) {
	f.mu.Lock()
	f.lists = map[string]*targetList{}
	f.running = map[string]context.CancelFunc{}
	f.mu.Unlock()
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		f.reconcile(ctx)
		f.publish()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// reconcile starts and ends the following of keepers.
func (f *Client) reconcile(ctx context.Context) {
	seeds := f.Seeds()
	f.mu.Lock()
	defer f.mu.Unlock()
	wanted := map[string]bool{}
	for _, a := range seeds {
		wanted[a] = true
	}
	for _, l := range f.lists {
		if time.Since(l.lastResponse) > discovery.SilenceTimeout {
			continue
		}
		for _, a := range l.keepers {
			if len(wanted) < maxKeepers {
				wanted[a] = true
			}
		}
	}
	for a := range wanted {
		if f.running[a] == nil {
			one, cancel := context.WithCancel(ctx)
			f.running[a] = cancel
			go f.watchKeeper(one, a)
		}
	}
	for a, cancel := range f.running {
		if !wanted[a] {
			cancel()
			delete(f.running, a)
			klog.InfoS("Keeper is no longer followed", "Keeper", a)
		}
	}
	f.dropStale()
}

// dropStale forgets what keepers told that have been silent for long while
// another one answers. It runs under mu.
func (f *Client) dropStale() {
	answering := false
	for _, l := range f.lists {
		answering = answering || time.Since(l.lastResponse) < discovery.SilenceTimeout/2
	}
	for a, l := range f.lists {
		if answering && time.Since(l.lastResponse) > 2*discovery.SilenceTimeout {
			delete(f.lists, a)
		}
	}
}

func (f *Client) watchKeeper(ctx context.Context, address string) {
	client := &rpc.Client{Address: address, DialTimeout: dialTimeout}
	defer client.Close()
	link := keeperLink{keeper: address, lost: true}
	for ctx.Err() == nil {
		began := boottime.Now()
		err := f.watchOnce(ctx, client)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errPlanOmitted) {
			clock.Sleep(ctx, omittedPlanDelay)
			err = nil
		}
		if at, changed := link.recordCall(err, began); changed {
			f.keepersChangedAt.Store(int64(at))
		}
		if err != nil {
			clock.Sleep(ctx, retryDelay+rand.N(retryDelay))
		}
	}
}

// preferred reports whether the keeper is the one to ask for plans: one of
// the own region among those that answer.
func (f *Client) preferred(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	best, near := "", false
	for a, l := range f.lists {
		if time.Since(l.lastResponse) > f.watchWait()+responseTimeout || f.running[a] == nil {
			continue
		}
		home := l.region == f.Region
		if best == "" || home && !near || home == near && a < best {
			best, near = a, home
		}
	}
	return best == "" || best == address
}

// errPlanOmitted tells that the keeper has a newer plan, which comes from
// another one.
var errPlanOmitted = errors.New("plan was not asked for")

func (f *Client) watchOnce(ctx context.Context, client *rpc.Client) error {
	document := f.preferred(client.Address)
	f.mu.Lock()
	if !f.planOmittedSince.IsZero() && time.Since(f.planOmittedSince) > omittedPlanTimeout {
		document = true
	}
	if time.Since(f.planReceivedAt) < f.planInterval() {
		document = false
	}
	in := watch.Request{
		Name: f.Name, Role: f.Role, Index: f.index, PlanIndex: f.planIndex, HoldMs: f.watchWait().Milliseconds(),
		Document: document,
	}
	if l := f.lists[client.Address]; l != nil {
		in.Epoch, in.Targets = l.epoch, l.position
	}
	f.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, f.watchWait()+responseTimeout)
	defer cancel()
	sent := boottime.Now()
	var news watch.Response
	if err := client.Call(call, watch.Method, in, &news); err != nil {
		return err
	}
	return f.applyResponse(client.Address, sent, &news)
}

// update merges the news of one keeper.
func (f *Client) applyResponse(address string, sent time.Duration, news *watch.Response) error {
	f.mu.Lock()
	l := f.lists[address]
	if l == nil {
		l = &targetList{}
		f.lists[address] = l
	}
	changed := len(news.Targets) > 0 || l.epoch != news.Epoch || l.entries != news.Entries
	l.update(news.Epoch, news.Position, f.fillStartTimes(news.Targets))
	l.entries, l.keepers, l.region = news.Entries, news.Keepers, news.Region
	withheld := news.State != nil && news.State.PlanIndex > f.planIndex && news.State.Document == nil
	if withheld && f.planOmittedSince.IsZero() {
		f.planOmittedSince = time.Now()
	}
	if news.State != nil && !withheld && (news.State.Index > f.index || news.State.PlanIndex > f.planIndex) {
		changed = f.applyState(news.State) || changed
	}
	f.mu.Unlock()
	if changed {
		f.publish()
	}
	if withheld {
		return errPlanOmitted
	}
	if news.Confirmed {
		f.confirm(sent + time.Duration(news.ConfirmedMs)*time.Millisecond)
	}
	return nil
}

// fillStartTimes gives targets that left without a known start the one that other
// keepers know. It runs under mu.
func (f *Client) fillStartTimes(targets []discovery.Target) []discovery.Target {
	for i, t := range targets {
		if t.Stage != discovery.Gone || t.Born != 0 {
			continue
		}
		for _, l := range f.lists {
			targets[i].Born = max(targets[i].Born, l.targets[t.ID].Born)
		}
	}
	return targets
}

// applyState runs under mu.
func (f *Client) applyState(s *watch.State) bool {
	if s.PlanIndex > f.planIndex {
		document, err := deflate.Decompress(s.Document)
		if err != nil {
			klog.ErrorS(err, "Plan can't be read", "Version", s.Version)
			return false
		}
		p, err := f.Decode(document)
		if err != nil {
			klog.ErrorS(err, "Plan can't be read", "Version", s.Version)
			return false
		}
		f.plan, f.planIndex = p, s.PlanIndex
		f.planOmittedSince, f.planReceivedAt = time.Time{}, time.Now()
		klog.InfoS("Plan is in force", "Version", p.Version, "Routes", len(p.Routes), "Position", s.Index)
	}
	f.index = max(f.index, s.Index)
	f.withdrawn = map[id.Domain]bool{}
	for _, d := range s.Withdrawn {
		f.withdrawn[d] = true
	}
	f.applyWeights(s.Weights)
	klog.InfoS("Agreed state changed", "Position", s.Index, "Withdrawn", s.Withdrawn, "Weights", s.Weights)
	return true
}

func (f *Client) watchWait() time.Duration {
	if f.SlowPolling {
		return slowWatchWait
	}
	return defaultWatchWait
}

// applyWeights keeps the longest age that any keeper knows of a version, as
// one that restarted knows a shorter one. It runs under mu.
func (f *Client) applyWeights(named []watch.WeightsVersion) {
	now := boottime.Now()
	old := f.weights
	f.weights = nil
	for _, n := range named {
		since := now - time.Duration(n.AgeMs)*time.Millisecond
		for _, o := range old {
			if o.Model == n.Model && o.Version == n.Version {
				since = min(since, o.Since)
			}
		}
		f.weights = append(f.weights, WeightsVersion{Model: n.Model, Version: n.Version, Since: since})
	}
}

// planInterval bounds how often plans are taken in, as they take time to read.
func (f *Client) planInterval() time.Duration {
	if f.SlowPolling {
		return slowPlanInterval
	}
	return defaultPlanInterval
}

// confirm raises the time of the newest confirmation.
func (f *Client) confirm(at time.Duration) {
	for {
		old := f.confirmedAt.Load()
		if int64(at) <= old || f.confirmedAt.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

func (f *Client) publish() {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := &View{
		Plan: f.plan, Withdrawn: f.withdrawn, Weights: f.weights,
		Targets: merge(f.lists), Entries: 1, Keepers: map[string]id.Region{},
	}
	for a, l := range f.lists {
		v.Entries = max(v.Entries, l.entries)
		if time.Since(l.lastResponse) < f.watchWait()+responseTimeout {
			v.Keepers[a] = l.region
		}
	}
	f.view.Store(v)
	if f.OnChange != nil {
		f.OnChange(v)
	}
}
