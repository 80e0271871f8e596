// Package siteclient keeps a process up to date with the state that a site's
// keepers hold. It watches all keepers at once, since targets announce
// themselves to different ones.
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
	"egretproxy/internal/site/discovery"
	"egretproxy/internal/site/plan"
	"egretproxy/internal/site/watch"
	"egretproxy/internal/wire/rpc"
)

const (
	// defaultWatchWait is how long a keeper may hold a watch call open. It
	// bounds the age of the confirmation.
	defaultWatchWait = 600 * time.Millisecond
	// slowWatchWait is the same for processes that need no confirmation.
	slowWatchWait = 1800 * time.Millisecond
	// responseTimeout is how long a call may take beyond its watch wait. After
	// that, an unresponsive connection is abandoned.
	responseTimeout = 700 * time.Millisecond
	dialTimeout     = 700 * time.Millisecond
	// retryDelay is the wait after a failed call. A random duration of up to
	// the same length is added.
	retryDelay = 100 * time.Millisecond
	// unconfirmedAge is the age of the last confirmation from which keepers are
	// asked to respond as soon as they have a newer one. Confirmations arrive
	// about twice a second otherwise.
	unconfirmedAge = 1500 * time.Millisecond
	// refreshInterval is how often silent and restarted keepers and the set of
	// keepers are checked.
	refreshInterval = 500 * time.Millisecond
	// omittedPlanDelay is the wait before a keeper that omitted a newer plan is
	// watched again. After omittedPlanTimeout without the plan, all keepers are
	// asked for it.
	omittedPlanDelay   = 60 * time.Millisecond
	omittedPlanTimeout = 250 * time.Millisecond
	// defaultPlanInterval is the least time between two plans, so that rapid
	// changes don't exhaust the processor. It is well below the time in which a
	// plan must be in force.
	defaultPlanInterval = 200 * time.Millisecond
	slowPlanInterval    = time.Second
	// maxKeepers bounds the number of watched keepers.
	maxKeepers = 16
)

// Client watches the keepers of a site. Its exported fields are set before Run.
type Client struct {
	// Name and Role identify the process to the keepers.
	Name, Role string
	// Region is the region of the process. Keepers in it are preferred.
	Region id.Region
	// SlowPolling reduces the rate of calls, for processes that need neither a
	// recent confirmation nor a new plan immediately.
	SlowPolling bool
	// Mirror is the address at which this process mirrors weights for Region, if
	// it does and is not a keeper.
	Mirror string
	// Seeds returns the addresses of the first keepers to watch.
	Seeds func() []string
	// Decode decodes a plan in the operator's format.
	Decode func(document []byte) (*plan.Plan, error)
	// OnChange is called with each new view, one at a time. It may be nil.
	OnChange func(*View)
	// OnSuspects is called with the time of the first end of a target with each
	// part of prompts, or request, that keepers suspect. It may be nil.
	OnSuspects func(map[id.PromptPart]time.Time)
	// Demand returns the requests per second for services whose targets limit
	// them. It may be nil.
	Demand func() map[id.Service]float64

	view atomic.Pointer[View]
	// confirmedAt is the start of the newest confirmation by the boottime
	// clock, 0 for none.
	confirmedAt atomic.Int64
	// keepersChangedAt is when a keeper was last lost or found, by the boottime
	// clock.
	keepersChangedAt atomic.Int64

	mu sync.Mutex
	// lists holds the targets of each keeper, by address.
	lists map[string]*targetList
	// running holds the watched keepers, by address.
	running map[string]*watchedKeeper
	index   uint64
	// planIndex is the log position of plan.
	planIndex uint64
	// planOmittedSince is when a newer plan became known that wasn't received
	// yet. It is zero if there is none.
	planOmittedSince time.Time
	// planReceivedAt is when the newest plan was received.
	planReceivedAt time.Time
	plan           *plan.Plan
	withdrawn      map[id.Domain]bool
	weights        []WeightsVersion
	quarantine     []Verdict
}

// watchedKeeper is the connection to a keeper that is watched.
type watchedKeeper struct {
	client *rpc.Client
	cancel context.CancelFunc
}

// View returns the newest view. It is never nil.
func (c *Client) View() *View {
	if v := c.view.Load(); v != nil {
		return v
	}
	return &View{Entries: 1}
}

// Age returns the age of the newest confirmation by a quorum, or one hour if
// there was none.
func (c *Client) Age() time.Duration {
	at := c.confirmedAt.Load()
	if at == 0 {
		return time.Hour
	}
	return boottime.Now() - time.Duration(at)
}

// StableFor returns the time since a keeper was last lost or found.
func (c *Client) StableFor() time.Duration {
	return boottime.Now() - time.Duration(c.keepersChangedAt.Load())
}

// Run watches the keepers until the context ends.
func (c *Client) Run(ctx context.Context) {
	c.mu.Lock()
	c.lists = map[string]*targetList{}
	c.running = map[string]*watchedKeeper{}
	c.mu.Unlock()
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		c.publish(c.reconcile(ctx))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// reconcile starts watching new keepers and stops watching removed ones. It reports
// whether it dropped targets.
func (c *Client) reconcile(ctx context.Context) bool {
	seeds := c.Seeds()
	c.mu.Lock()
	defer c.mu.Unlock()
	wanted := map[string]bool{}
	for _, a := range seeds {
		wanted[a] = true
	}
	for _, l := range c.lists {
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
		if c.running[a] == nil {
			keeperCtx, cancel := context.WithCancel(ctx)
			c.running[a] = &watchedKeeper{&rpc.Client{Address: a, DialTimeout: dialTimeout}, cancel}
			go c.watchKeeper(keeperCtx, c.running[a].client)
		}
	}
	for a, k := range c.running {
		if !wanted[a] {
			k.cancel()
			delete(c.running, a)
			klog.InfoS("Stopped watching keeper", "Keeper", a)
		}
	}
	return c.dropStale()
}

// dropStale removes the targets of keepers that have been silent for long while
// another keeper responds. It reports whether it removed any. The caller holds mu.
func (c *Client) dropStale() bool {
	responsive := false
	for _, l := range c.lists {
		responsive = responsive || !l.referral && time.Since(l.lastResponse) < discovery.SilenceTimeout/2
	}
	known := len(c.lists)
	for a, l := range c.lists {
		if responsive && time.Since(l.lastResponse) > 2*discovery.SilenceTimeout {
			delete(c.lists, a)
		}
	}
	return len(c.lists) < known
}

func (c *Client) watchKeeper(ctx context.Context, client *rpc.Client) {
	defer client.Close()
	link := keeperLink{keeper: client.Address, lost: true}
	for ctx.Err() == nil {
		began := boottime.Now()
		err := c.watchOnce(ctx, client)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errReferred) {
			clock.Sleep(ctx, retryDelay)
			continue
		}
		if errors.Is(err, errPlanOmitted) {
			clock.Sleep(ctx, omittedPlanDelay)
			err = nil
		}
		if at, changed := link.recordCall(err, began); changed {
			c.keepersChangedAt.Store(int64(at))
		}
		if err != nil {
			clock.Sleep(ctx, retryDelay+rand.N(retryDelay))
		}
	}
}

// preferred reports whether plans are requested from the keeper. Among the
// responsive keepers, one in this region is preferred.
func (c *Client) preferred(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	best, bestLocal := "", false
	for a, l := range c.lists {
		if l.referral || time.Since(l.lastResponse) > c.watchWait()+responseTimeout || c.running[a] == nil {
			continue
		}
		local := l.region == c.Region
		if best == "" || local && !bestLocal || local == bestLocal && a < best {
			best, bestLocal = a, local
		}
	}
	return best == "" || best == address
}

// errPlanOmitted means that the keeper has a newer plan that this call didn't
// request.
var errPlanOmitted = errors.New("newer plan was not requested")

// errReferred means that the process that answered is not a keeper.
var errReferred = errors.New("referred to the keepers")

func (c *Client) watchOnce(ctx context.Context, client *rpc.Client) error {
	document := c.preferred(client.Address)
	c.mu.Lock()
	if !c.planOmittedSince.IsZero() && time.Since(c.planOmittedSince) > omittedPlanTimeout {
		document = true
	}
	if time.Since(c.planReceivedAt) < c.planInterval() {
		document = false
	}
	in := watch.Request{
		Name: c.Name, Role: c.Role, Index: c.index, PlanIndex: c.planIndex, HoldMs: c.watchWait().Milliseconds(),
		Mirror: c.Mirror, Region: c.Region, Document: document, Unconfirmed: !c.SlowPolling && c.Age() > unconfirmedAge,
	}
	if l := c.lists[client.Address]; l != nil {
		in.Epoch, in.Targets, in.Suspects = l.epoch, l.position, l.suspectsAt
	}
	c.mu.Unlock()
	if c.Demand != nil {
		in.Demand = c.Demand()
	}
	callCtx, cancel := context.WithTimeout(ctx, c.watchWait()+responseTimeout)
	defer cancel()
	sent := boottime.Now()
	var response watch.Response
	if err := client.Call(callCtx, watch.Method, in, &response); err != nil {
		return err
	}
	return c.applyResponse(client.Address, sent, in.Demand, &response)
}

// applyResponse merges the response of one keeper.
func (c *Client) applyResponse(address string, sent time.Duration, demand map[id.Service]float64, response *watch.Response) error {
	c.mu.Lock()
	l := c.lists[address]
	if l == nil {
		l = &targetList{}
		c.lists[address] = l
	}
	l.referral = response.Referral
	if l.referral {
		l.keepers, l.region, l.lastResponse = response.Keepers, response.Region, time.Now()
		c.mu.Unlock()
		return errReferred
	}
	changed := len(response.Targets) > 0 || l.epoch != response.Epoch || l.entries != response.Entries
	l.update(response.Epoch, response.Position, c.fillStartTimes(response.Targets))
	l.entries, l.keepers, l.region, l.mirrors = response.Entries, response.Keepers, response.Region, response.Mirrors
	l.demand, l.totalDemand = demand, response.Demand
	suspectsChanged := l.updateSuspects(response)
	planOmitted := response.State != nil && response.State.PlanIndex > c.planIndex && response.State.Document == nil
	if planOmitted && c.planOmittedSince.IsZero() {
		c.planOmittedSince = time.Now()
	}
	if response.State != nil && !planOmitted && (response.State.Index > c.index || response.State.PlanIndex > c.planIndex) {
		// The response may have waited to be read for any time, as in a process that
		// was frozen. It was built no earlier than this, by when the call was sent.
		builtAt := sent + time.Duration(response.HeldMs)*time.Millisecond
		changed = c.applyState(response.State, builtAt) || changed
	}
	c.mu.Unlock()
	if changed {
		c.publish(true)
	}
	if suspectsChanged {
		c.publishSuspects()
	}
	if planOmitted {
		return errPlanOmitted
	}
	if response.Confirmed {
		c.confirm(sent + time.Duration(response.ConfirmedMs)*time.Millisecond)
	}
	return nil
}

// fillStartTimes fills in the start time of targets that left without one, as
// known from other keepers. The caller holds mu.
func (c *Client) fillStartTimes(targets []discovery.Target) []discovery.Target {
	for i, t := range targets {
		if t.Stage != discovery.Gone || t.Born != 0 {
			continue
		}
		for _, l := range c.lists {
			targets[i].Born = max(targets[i].Born, l.targets[t.ID].Born)
		}
	}
	return targets
}

func (c *Client) watchWait() time.Duration {
	if c.SlowPolling {
		return slowWatchWait
	}
	return defaultWatchWait
}

// planInterval returns the least time between two plans, which are costly to
// decode.
func (c *Client) planInterval() time.Duration {
	if c.SlowPolling {
		return slowPlanInterval
	}
	return defaultPlanInterval
}

// confirm advances the time of the newest confirmation.
func (c *Client) confirm(at time.Duration) {
	for {
		old := c.confirmedAt.Load()
		if int64(at) <= old || c.confirmedAt.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}
