// Package sitekeeper implements the keeper of a site. It replicates the site's
// state, tracks announced targets and serves both to watchers.
package sitekeeper

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"egretproxy/internal/agreement/node"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/boottime"
	"egretproxy/internal/kernel/metrics"
	"egretproxy/internal/kernel/wakeup"
	"egretproxy/internal/site/discovery"
	"egretproxy/internal/site/evidence"
	"egretproxy/internal/site/sitestate"
	"egretproxy/internal/site/suspicion"
	"egretproxy/internal/site/watch"
	"egretproxy/internal/wire/rpc"
)

const (
	// proposeTimeout is the longest wait for a quorum. Operators try another
	// keeper after one second without an answer.
	proposeTimeout = 2500 * time.Millisecond
	// confirmTimeout bounds one confirmation by the leader.
	confirmTimeout = 1500 * time.Millisecond
	// confirmInterval is the time between confirmations. It keeps the age of
	// the state at entries well below the duration of their leases.
	confirmInterval = 400 * time.Millisecond
	// recentConfirmation is the age up to which a confirmation is sent to a
	// watcher without one at once.
	recentConfirmation = 2 * confirmInterval
	// watcherExpiry is how long a watcher counts as active after its last call.
	watcherExpiry = 10 * time.Second
	epochBytes    = 8
	// RoleEntry is the role of watchers that route requests.
	RoleEntry = "Entry"
)

// Keeper is one running keeper of a site. It is safe for concurrent use. Lock
// order: mu before the locks of Machine, Targets, left, departures, pauses and marks, which
// never call back.
type Keeper struct {
	// Machine holds the replicated state.
	Machine sitestate.Machine
	// Targets holds the targets announced to this keeper.
	Targets discovery.Registry
	// judge finds the parts of prompts and the requests that end targets.
	judge    suspicion.Judge
	raftNode *node.Node
	metrics  *metrics.Set
	epoch    string
	region   id.Region
	// address is that at which other keepers reach this one.
	address string
	// lookupTimeout replaces defaultLookupTimeout if it is not 0.
	lookupTimeout time.Duration
	// stopping is set when Run is asked to stop or has failed.
	stopping atomic.Bool

	// left holds the targets that leave of which other keepers know.
	left spreadLog
	// departures holds when targets said that they leave.
	departures departureLog
	// pauses detects times in which this process did not run.
	pauses pauseLog
	// marks dates the connections of the server of orders.
	marks markLog

	mu sync.Mutex
	// confirmedAt is when the newest successful confirmation began, by the
	// boottime clock. Zero means never.
	confirmedAt time.Duration
	// confirmed is sent at each confirmation.
	confirmed wakeup.Signal
	watchers  map[watcher]watcherState
}

type watcher struct{ role, name string }

// watcherState is what a watcher's last call said.
type watcherState struct {
	at     time.Time
	demand map[id.Service]float64
	// mirror is the address at which the watcher mirrors weights for region, or
	// empty.
	mirror string
	region id.Region
}

// New returns a keeper of a region. Its Raft node is open but not running.
func New(cfg node.Config, region id.Region, set *metrics.Set) (*Keeper, error) {
	var b [epochBytes]byte
	_, _ = rand.Read(b[:])
	k := &Keeper{metrics: set, region: region, address: cfg.Address, epoch: hex.EncodeToString(b[:]), watchers: map[watcher]watcherState{}}
	cfg.Machine = &k.Machine
	cfg.Handlers = map[string]rpc.Handler{
		watch.Method: k.handleWatch, leaveMethod: k.handleLeave, lookupMethod: k.handleLookup, ageMethod: k.handleDepartureAge, evidence.ReportMethod: k.handleEvidence,
		evidence.TestMethod: k.handleTest, evidence.QuarantineMethod: k.handleQuarantine,
	}
	cfg.OnLeadershipChange = func(leads bool) {
		klog.InfoS("Leadership changed", "Leads", leads)
		if leads {
			set.Count("LeadershipWon")
		}
	}
	var err error
	k.raftNode, err = node.Open(cfg)
	return k, err
}

// Run serves watchers and other keepers until the context ends and the member of
// the Raft group has left.
func (k *Keeper) Run(ctx context.Context) error {
	context.AfterFunc(ctx, func() { k.stopping.Store(true) })
	defer k.stopping.Store(true)
	serving, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var g errgroup.Group
	g.Go(func() error {
		defer cancel()
		return k.raftNode.Run(ctx)
	})
	g.Go(func() error { k.confirmLoop(serving); return nil })
	g.Go(func() error { k.pauses.run(serving, k.Machine.Position); return nil })
	g.Go(func() error { k.judgeLoop(serving); return nil })
	return g.Wait()
}

// Stopping reports whether the keeper no longer serves watchers.
func (k *Keeper) Stopping() bool { return k.stopping.Load() }

// Propose submits a change and returns once a quorum has stored it. It returns
// sitestate.ErrOutdated if the change came on a connection that TrackOrders tracks
// and may be older than a change that it would undo. Such an order has no effect.
func (k *Keeper) Propose(ctx context.Context, c sitestate.Command) error {
	if c.Weights != nil {
		c.Weights.NamedMs = time.Now().UnixMilli()
	}
	if c.Withdraw != nil {
		date := k.dateOf(ctx)
		c.Withdraw.After, c.Withdraw.Tracked = &date.position, true
		klog.InfoS("Order for a failure domain was read", "Domain", c.Withdraw.Domain, "Out", c.Withdraw.Out,
			"After", date.position, "AgeMs", (boottime.Now() - date.at).Milliseconds(), "Position", k.Machine.Position())
	}
	data, err := sitestate.Encode(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	response, err := k.raftNode.Propose(ctx, data)
	if c.Withdraw != nil && err == nil {
		// The next order on a new connection must be dated after this one.
		k.marks.freshen(ctx, boottime.Now())
	}
	if err == nil && string(response) == sitestate.ErrOutdated.Error() {
		return sitestate.ErrOutdated
	}
	return err
}

// Confirmed returns the replicated state including every change that was
// acknowledged before the call.
func (k *Keeper) Confirmed(ctx context.Context) (sitestate.State, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if err := k.raftNode.Confirm(ctx); err != nil {
		return sitestate.State{}, err
	}
	return k.Machine.State(), nil
}

// confirmLoop renews the confirmation periodically while there are watchers.
func (k *Keeper) confirmLoop(ctx context.Context) {
	ticker := time.NewTicker(confirmInterval)
	defer ticker.Stop()
	lost := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if k.countWatchers("") == 0 {
			continue
		}
		began := boottime.Now()
		_, err := k.Confirmed(ctx)
		if (err != nil) != lost {
			lost = err != nil
			klog.InfoS("Confirmation by the quorum changed", "Lost", lost, "Error", errorText(err))
		}
		if err != nil {
			k.metrics.Count("ConfirmationFailed")
			continue
		}
		k.recordConfirmation(began)
	}
}

// recordConfirmation records a confirmation that began at a time of the boottime
// clock, and wakes the watchers that need it.
func (k *Keeper) recordConfirmation(began time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.confirmedAt = max(k.confirmedAt, began)
	k.confirmed.Send()
}

// nextConfirmation returns a channel that is closed at the next confirmation,
// and whether the last one is recent.
func (k *Keeper) nextConfirmation() (next <-chan struct{}, recent bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.confirmed.Next(), k.confirmedAt > 0 && boottime.Now()-k.confirmedAt < recentConfirmation
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// eachWatcher calls f for each active watcher, with mu held, and forgets the others.
func (k *Keeper) eachWatcher(f func(watcher, watcherState)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for w, state := range k.watchers {
		if time.Since(state.at) > watcherExpiry {
			delete(k.watchers, w)
			continue
		}
		f(w, state)
	}
}

// countWatchers returns the number of active watchers with the role, or of all
// if the role is empty.
func (k *Keeper) countWatchers(role string) int {
	n := 0
	k.eachWatcher(func(w watcher, _ watcherState) {
		if role == "" || w.role == role {
			n++
		}
	})
	return n
}

// totalDemand returns the demand of all active watchers.
func (k *Keeper) totalDemand() map[id.Service]float64 {
	out := map[id.Service]float64{}
	k.eachWatcher(func(_ watcher, state watcherState) {
		for s, n := range state.demand {
			out[s] += n
		}
	})
	return out
}

// mirrors returns the regions of the active watchers that mirror weights, by
// address.
func (k *Keeper) mirrors() map[string]id.Region {
	out := map[string]id.Region{}
	k.eachWatcher(func(_ watcher, state watcherState) {
		if state.mirror != "" {
			out[state.mirror] = state.region
		}
	})
	return out
}

func (k *Keeper) keeperAddresses() []string {
	var out []string
	for _, m := range k.raftNode.Status().Membership.Members {
		out = append(out, m.Address)
	}
	return out
}

func domainList(withdrawn map[id.Domain]bool) []id.Domain {
	var out []id.Domain
	for d := range withdrawn {
		out = append(out, d)
	}
	return out
}
