// Package sitekeeper is the role that holds a site's agreed state and the
// targets that announce themselves, and tells both to its followers.
package sitekeeper

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"egretproxy/internal/agreement/node"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/boottime"
	"egretproxy/internal/kernel/metrics"
	"egretproxy/internal/site/discovery"
	"egretproxy/internal/site/sitestate"
	"egretproxy/internal/site/watch"
	"egretproxy/internal/wire/rpc"
)

const (
	// proposeTimeout is the longest wait for a quorum. Operators go to
	// another keeper after a second without an answer.
	proposeTimeout = 2500 * time.Millisecond
	// confirmTimeout bounds one confirmation by the leader.
	confirmTimeout = 1500 * time.Millisecond
	// confirmInterval keeps what entries believe well below their leases.
	confirmInterval = 400 * time.Millisecond
	// watcherExpiry is how long a follower counts after its last call.
	watcherExpiry = 10 * time.Second
	epochBytes    = 8
	// RoleEntry is the role of followers that pass requests on.
	RoleEntry = "Entry"
)

// Keeper is one running keeper of a site. It is safe for concurrent use.
// Lock order: mu before those of charter and muster, which never call out.
type Keeper struct {
	// Machine is the agreed state.
	Machine sitestate.Machine
	// Targets is the targets that announced themselves here.
	Targets discovery.Registry
	seat    *node.Node
	metrics *metrics.Set
	epoch   string
	region  id.Region

	mu sync.Mutex
	// confirmedAt is when the newest confirmation began, by the clock of
	// boottime. Zero means never.
	confirmedAt time.Duration
	// watchers is the time of each follower's last call, by role and name.
	watchers map[watcher]time.Time
}

type watcher struct{ role, name string }

// New returns a steward of a region whose seat is set up but not running.
func New(cfg node.Config, region id.Region, set *metrics.Set) (*Keeper, error) {
	var b [epochBytes]byte
	_, _ = rand.Read(b[:])
	s := &Keeper{metrics: set, region: region, epoch: hex.EncodeToString(b[:]), watchers: map[watcher]time.Time{}}
	cfg.Machine = &s.Machine
	cfg.Handlers = map[string]rpc.Handler{watch.Method: s.handleWatch}
	cfg.OnLead = func(leads bool) {
		klog.InfoS("Leadership changed", "Leads", leads)
		if leads {
			set.Count("LeadershipWon")
		}
	}
	var err error
	s.seat, err = node.Open(cfg)
	return s, err
}

// Run serves followers and other keepers until the context ends.
func (s *Keeper) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.seat.Run(ctx) })
	g.Go(func() error { s.confirmLoop(ctx); return nil })
	return g.Wait()
}

// Propose makes a change and returns once a quorum has stored it.
func (s *Keeper) Propose(ctx context.Context, c sitestate.Command) error {
	if c.Weights != nil {
		c.Weights.NamedMs = time.Now().UnixMilli()
	}
	data, err := sitestate.Encode(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return s.seat.Propose(ctx, data)
}

// Confirmed returns the agreed state with every change that was acknowledged
// before the call.
func (s *Keeper) Confirmed(ctx context.Context) (sitestate.State, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if err := s.seat.Confirm(ctx); err != nil {
		return sitestate.State{}, err
	}
	return s.Machine.State(), nil
}

// confirmLoop keeps the confirmation fresh while there are followers.
func (s *Keeper) confirmLoop(ctx context.Context) {
	ticker := time.NewTicker(confirmInterval)
	defer ticker.Stop()
	lost := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if s.countWatchers("") == 0 {
			continue
		}
		began := boottime.Now()
		_, err := s.Confirmed(ctx)
		if (err != nil) != lost {
			lost = err != nil
			klog.InfoS("Confirmation by the quorum changed", "Lost", lost, "Error", errorText(err))
		}
		if err != nil {
			s.metrics.Count("ConfirmationFailed")
			continue
		}
		s.mu.Lock()
		s.confirmedAt = max(s.confirmedAt, began)
		s.mu.Unlock()
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// countWatchers returns the number of followers with the role, or of all.
func (s *Keeper) countWatchers(role string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for f, at := range s.watchers {
		if time.Since(at) > watcherExpiry {
			delete(s.watchers, f)
			continue
		}
		if role == "" || f.role == role {
			n++
		}
	}
	return n
}

func (s *Keeper) keeperAddresses() []string {
	var out []string
	for _, m := range s.seat.Status().Membership.Members {
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
