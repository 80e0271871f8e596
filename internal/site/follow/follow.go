// Package follow keeps a process up to date with what the keepers of a site
// know. It follows every keeper at once, since each hears other targets.
package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/boottime"
	"egretproxy/internal/site/feed"
	"egretproxy/internal/site/muster"
	"egretproxy/internal/site/plan"
	"egretproxy/internal/wire/rpc"
)

const (
	// hold is how long a keeper may wait for news. It bounds how old the
	// confirmation gets.
	hold = 600 * time.Millisecond
	// answerTimeout bounds one call beyond hold. A silent connection is
	// given up after it.
	answerTimeout = 700 * time.Millisecond
	dialTimeout   = 700 * time.Millisecond
	// retryPause is the wait after a failed call, with up to as much again
	// by chance.
	retryPause = 100 * time.Millisecond
	// refreshInterval is how often silence and restarts are looked at.
	refreshInterval = 500 * time.Millisecond
	// maxKeepers bounds the keepers that are followed.
	maxKeepers = 16
)

// Follower follows the keepers. Its settings are set before Run.
type Follower struct {
	// Name and Role tell the keepers who follows.
	Name, Role string
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

	mu sync.Mutex
	// lists is keyed by keeper.
	lists map[string]*list
	// running holds the keepers that are followed now.
	running map[string]context.CancelFunc
	index   uint64
	// planIndex is the position of the plan in view.
	planIndex uint64
	plan      *plan.Plan
	withdrawn map[id.Domain]bool
	weights   map[id.Model]int64
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
	lost := true
	for ctx.Err() == nil {
		err := f.watch(ctx, client)
		if ctx.Err() != nil {
			return
		}
		if (err != nil) != lost {
			lost = err != nil
			reason := ""
			if err != nil {
				reason = err.Error()
			}
			klog.InfoS("Connection to keeper changed", "Keeper", address, "Lost", lost, "Reason", reason)
		}
		if err == nil {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(retryPause + rand.N(retryPause)):
		}
	}
}

func (f *Follower) watch(ctx context.Context, client *rpc.Client) error {
	f.mu.Lock()
	in := feed.Watch{
		Name: f.Name, Role: f.Role, Index: f.index, PlanIndex: f.planIndex, HoldMs: hold.Milliseconds(),
	}
	if l := f.lists[client.Address]; l != nil {
		in.Epoch, in.Targets = l.epoch, l.position
	}
	f.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, hold+answerTimeout)
	defer cancel()
	sent := boottime.Now()
	var news feed.News
	if err := client.Call(call, feed.MethodWatch, in, &news); err != nil {
		return err
	}
	f.take(client.Address, sent, &news)
	return nil
}

// take merges the news of one keeper.
func (f *Follower) take(address string, sent time.Duration, news *feed.News) {
	f.mu.Lock()
	l := f.lists[address]
	if l == nil {
		l = &list{}
		f.lists[address] = l
	}
	changed := len(news.Targets) > 0 || l.epoch != news.Epoch || l.entries != news.Entries
	l.take(news.Epoch, news.Position, f.dated(news.Targets))
	l.entries, l.keepers = news.Entries, news.Keepers
	if news.State != nil && news.State.Index > f.index {
		changed = f.takeState(news.State) || changed
	}
	f.mu.Unlock()
	if changed {
		f.publish()
	}
	if news.Confirmed {
		f.confirm(sent + time.Duration(news.ConfirmedMs)*time.Millisecond)
	}
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
		p, err := f.Decode(s.Document)
		if err != nil {
			klog.ErrorS(err, "Plan can't be read", "Version", s.Version)
			return false
		}
		f.plan, f.planIndex = p, s.PlanIndex
		klog.InfoS("Plan is in force", "Version", p.Version, "Routes", len(p.Routes), "Position", s.Index)
	}
	f.index = s.Index
	f.withdrawn = map[id.Domain]bool{}
	for _, d := range s.Withdrawn {
		f.withdrawn[d] = true
	}
	f.weights = s.Weights
	klog.InfoS("Agreed state changed", "Position", s.Index, "Withdrawn", s.Withdrawn, "Weights", s.Weights)
	return true
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
		Targets: merge(f.lists), Entries: 1,
	}
	for _, l := range f.lists {
		v.Entries = max(v.Entries, l.entries)
	}
	f.view.Store(v)
	if f.OnChange != nil {
		f.OnChange(v)
	}
}
