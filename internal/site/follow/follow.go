// Package follow keeps a process up to date with what the keepers of a site
// know. It follows every keeper at once, since each hears other targets.
package follow

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
	"egretproxy/internal/site/feed"
	"egretproxy/internal/site/muster"
	"egretproxy/internal/site/packed"
	"egretproxy/internal/site/plan"
	"egretproxy/internal/wire/rpc"
)

const (
	// hold is how long a keeper may wait for news. It bounds how old the
	// confirmation gets.
	hold = 600 * time.Millisecond
	// lazyHold is the same for processes that need no confirmation.
	lazyHold = 1800 * time.Millisecond
	// answerTimeout bounds one call beyond hold. A silent connection is
	// given up after it.
	answerTimeout = 700 * time.Millisecond
	dialTimeout   = 700 * time.Millisecond
	// retryPause is the wait after a failed call, with up to as much again
	// by chance.
	retryPause = 100 * time.Millisecond
	// refreshInterval is how often silence and restarts are looked at.
	refreshInterval = 500 * time.Millisecond
	// withheldPause and withheldFor are the waits for a plan from the
	// preferred keeper before all others are asked for it.
	withheldPause = 60 * time.Millisecond
	withheldFor   = 250 * time.Millisecond
	// minPlanPause keeps a storm of plans from using up the processor. It is
	// well below the time in which a plan must be in force.
	minPlanPause  = 200 * time.Millisecond
	lazyPlanPause = time.Second
	// maxKeepers bounds the keepers that are followed.
	maxKeepers = 16
)

// Follower follows the keepers. Its settings are set before Run.
type Follower struct {
	// Name and Role tell the keepers who follows.
	Name, Role string
	// Region is where the process is. Keepers of the same one are preferred.
	Region id.Region
	// Lazy processes need no fresh confirmation and no plan at once. They ask
	// less often.
	Lazy bool
	// Seeds returns the addresses to begin with.
	Seeds func() []string
	// Decode reads a plan as the operator sent it.
	Decode func(document []byte) (*plan.Plan, error)
	// OnChange is called with each new view, one at a time.
	OnChange func(*View)

	view atomic.Pointer[View]
	// fresh is the start of the newest confirmation by the clock of
	// boottime, 0 for none.
	fresh atomic.Int64
	// disturbed is when a keeper was last lost or found, by the clock of
	// boottime.
	disturbed atomic.Int64

	mu sync.Mutex
	// lists is keyed by keeper.
	lists map[string]*list
	// running holds the keepers that are followed now.
	running map[string]context.CancelFunc
	index   uint64
	// planIndex is the position of the plan in view.
	planIndex uint64
	// withheldAt is since when a newer plan is known but not held.
	withheldAt time.Time
	// plannedAt is when the newest plan was taken in.
	plannedAt time.Time
	plan      *plan.Plan
	withdrawn map[id.Domain]bool
	weights   []Naming
}

// View returns the newest view. It is never nil after Run began.
func (f *Follower) View() *View {
	if v := f.view.Load(); v != nil {
		return v
	}
	return &View{Entries: 1}
}

// Age returns how old the newest confirmation by a quorum is. It is large if
// there was none.
func (f *Follower) Age() time.Duration {
	at := f.fresh.Load()
	if at == 0 {
		return time.Hour
	}
	return boottime.Now() - time.Duration(at)
}

// Calm returns for how long all keepers have been there, or not, without a
// change.
func (f *Follower) Calm() time.Duration {
	return boottime.Now() - time.Duration(f.disturbed.Load())
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	f.mu.Lock()
	f.lists = map[string]*list{}
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
func (f *Follower) reconcile(ctx context.Context) {
	seeds := f.Seeds()
	f.mu.Lock()
	defer f.mu.Unlock()
	wanted := map[string]bool{}
	for _, a := range seeds {
		wanted[a] = true
	}
	for _, l := range f.lists {
		if time.Since(l.heard) > muster.SilentAfter {
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
			go f.followOne(one, a)
		}
	}
	for a, cancel := range f.running {
		if !wanted[a] {
			cancel()
			delete(f.running, a)
			klog.InfoS("Keeper is no longer followed", "Keeper", a)
		}
	}
	f.dropLost()
}

// dropLost forgets what keepers told that have been silent for long while
// another one answers. It runs under mu.
func (f *Follower) dropLost() {
	answering := false
	for _, l := range f.lists {
		answering = answering || time.Since(l.heard) < muster.SilentAfter/2
	}
	for a, l := range f.lists {
		if answering && time.Since(l.heard) > 2*muster.SilentAfter {
			delete(f.lists, a)
		}
	}
}

func (f *Follower) followOne(ctx context.Context, address string) {
	client := &rpc.Client{Address: address, DialTimeout: dialTimeout}
	defer client.Close()
	link := link{keeper: address, lost: true}
	for ctx.Err() == nil {
		began := boottime.Now()
		err := f.watch(ctx, client)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errWithheld) {
			clock.Sleep(ctx, withheldPause)
			err = nil
		}
		if at, changed := link.note(err, began); changed {
			f.disturbed.Store(int64(at))
		}
		if err != nil {
			clock.Sleep(ctx, retryPause+rand.N(retryPause))
		}
	}
}

// preferred reports whether the keeper is the one to ask for plans: one of
// the own region among those that answer.
func (f *Follower) preferred(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	best, near := "", false
	for a, l := range f.lists {
		if time.Since(l.heard) > f.hold()+answerTimeout || f.running[a] == nil {
			continue
		}
		home := l.region == f.Region
		if best == "" || home && !near || home == near && a < best {
			best, near = a, home
		}
	}
	return best == "" || best == address
}

// errWithheld tells that the keeper has a newer plan, which comes from
// another one.
var errWithheld = errors.New("plan was not asked for")

func (f *Follower) watch(ctx context.Context, client *rpc.Client) error {
	document := f.preferred(client.Address)
	f.mu.Lock()
	if !f.withheldAt.IsZero() && time.Since(f.withheldAt) > withheldFor {
		document = true
	}
	if time.Since(f.plannedAt) < f.planPause() {
		document = false
	}
	in := feed.Watch{
		Name: f.Name, Role: f.Role, Index: f.index, PlanIndex: f.planIndex, HoldMs: f.hold().Milliseconds(),
		Document: document,
	}
	if l := f.lists[client.Address]; l != nil {
		in.Epoch, in.Targets = l.epoch, l.position
	}
	f.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, f.hold()+answerTimeout)
	defer cancel()
	sent := boottime.Now()
	var news feed.News
	if err := client.Call(call, feed.MethodWatch, in, &news); err != nil {
		return err
	}
	return f.take(client.Address, sent, &news)
}

// take merges the news of one keeper.
func (f *Follower) take(address string, sent time.Duration, news *feed.News) error {
	f.mu.Lock()
	l := f.lists[address]
	if l == nil {
		l = &list{}
		f.lists[address] = l
	}
	changed := len(news.Targets) > 0 || l.epoch != news.Epoch || l.entries != news.Entries
	l.take(news.Epoch, news.Position, f.dated(news.Targets))
	l.entries, l.keepers, l.region = news.Entries, news.Keepers, news.Region
	withheld := news.State != nil && news.State.PlanIndex > f.planIndex && news.State.Document == nil
	if withheld && f.withheldAt.IsZero() {
		f.withheldAt = time.Now()
	}
	if news.State != nil && !withheld && (news.State.Index > f.index || news.State.PlanIndex > f.planIndex) {
		changed = f.takeState(news.State) || changed
	}
	f.mu.Unlock()
	if changed {
		f.publish()
	}
	if withheld {
		return errWithheld
	}
	if news.Confirmed {
		f.confirm(sent + time.Duration(news.ConfirmedMs)*time.Millisecond)
	}
	return nil
}

// dated gives targets that left without a known start the one that other
// keepers know. It runs under mu.
func (f *Follower) dated(targets []muster.Target) []muster.Target {
	for i, t := range targets {
		if t.Stage != muster.Gone || t.Born != 0 {
			continue
		}
		for _, l := range f.lists {
			targets[i].Born = max(targets[i].Born, l.targets[t.ID].Born)
		}
	}
	return targets
}

// takeState runs under mu.
func (f *Follower) takeState(s *feed.State) bool {
	if s.PlanIndex > f.planIndex {
		document, err := packed.Open(s.Document)
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
		f.withheldAt, f.plannedAt = time.Time{}, time.Now()
		klog.InfoS("Plan is in force", "Version", p.Version, "Routes", len(p.Routes), "Position", s.Index)
	}
	f.index = max(f.index, s.Index)
	f.withdrawn = map[id.Domain]bool{}
	for _, d := range s.Withdrawn {
		f.withdrawn[d] = true
	}
	f.takeWeights(s.Weights)
	klog.InfoS("Agreed state changed", "Position", s.Index, "Withdrawn", s.Withdrawn, "Weights", s.Weights)
	return true
}

func (f *Follower) hold() time.Duration {
	if f.Lazy {
		return lazyHold
	}
	return hold
}

// takeWeights keeps the longest age that any keeper knows of a version, as
// one that restarted knows a shorter one. It runs under mu.
func (f *Follower) takeWeights(named []feed.Naming) {
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
		f.weights = append(f.weights, Naming{Model: n.Model, Version: n.Version, Since: since})
	}
}

// planPause bounds how often plans are taken in, as they take time to read.
func (f *Follower) planPause() time.Duration {
	if f.Lazy {
		return lazyPlanPause
	}
	return minPlanPause
}

// confirm raises the time of the newest confirmation.
func (f *Follower) confirm(at time.Duration) {
	for {
		old := f.fresh.Load()
		if int64(at) <= old || f.fresh.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

func (f *Follower) publish() {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := &View{
		Plan: f.plan, Withdrawn: f.withdrawn, Weights: f.weights,
		Targets: merge(f.lists), Entries: 1, Keepers: map[string]id.Region{},
	}
	for a, l := range f.lists {
		v.Entries = max(v.Entries, l.entries)
		if time.Since(l.heard) < f.hold()+answerTimeout {
			v.Keepers[a] = l.region
		}
	}
	f.view.Store(v)
	if f.OnChange != nil {
		f.OnChange(v)
	}
}
