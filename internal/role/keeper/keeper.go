// Package keeper implements the keeper role. A keeper stores the replicated state
// on disk and, while it is the Raft leader, drives rollouts.
package keeper

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"egretproxy/internal/agreement/disk"
	"egretproxy/internal/agreement/identity"
	"egretproxy/internal/agreement/journal"
	"egretproxy/internal/agreement/raft"
	"egretproxy/internal/agreement/record"
	"egretproxy/internal/agreement/replica"
	"egretproxy/internal/agreement/transport"
	"egretproxy/internal/control/ledger"
	"egretproxy/internal/control/subscriber"
	"egretproxy/internal/kernel/metrics"
	"egretproxy/internal/kernel/process"
	"egretproxy/internal/settings/config"
	"egretproxy/internal/wire/api"
	"egretproxy/internal/wire/frame"
	"egretproxy/internal/wire/rpc"
	"egretproxy/internal/wire/security"
)

// Keeper is a running keeper. Lock order: mu before the lock of subscribers.
type Keeper struct {
	cfg         config.Config
	identity    security.Identity
	metrics     *metrics.Set
	replica     *replica.Replica
	subscribers subscriber.Table
	transport   *transport.Transport
	renewals    *batcher

	mu sync.Mutex
	// ledger is modified only by the replica's goroutine, under mu.
	ledger ledger.Ledger
	// leaderBaseTime is the log time in milliseconds at the last change of
	// leadership, and leaderSince the local time of that change.
	leaderBaseTime int64
	leaderSince    time.Time
	// lastPlan is the time at which the rollout was last planned.
	lastPlan time.Time
	// clients holds the RPC clients of other keepers by address.
	clients map[string]*rpc.Client
	// joiners holds the members that requested to join, by address.
	joiners map[string]record.Member
}

// Bootstrap initialises the data folder for the first start of a group.
func Bootstrap(cfg config.Config) error {
	dir, err := disk.Open(cfg.Keeper.Data)
	if err != nil {
		return err
	}
	defer func() { _ = dir.Close() }()
	var members []record.Member
	for _, m := range cfg.Keeper.Members {
		members = append(members, record.Member{Name: m.Name, Address: m.Address})
	}
	return identity.Bootstrap(dir, cfg.Process.Name, members)
}

// Run runs the keeper until the context ends or a component fails.
func Run(ctx context.Context, cfg config.Config, set *metrics.Set) error {
	k := &Keeper{
		cfg: cfg, metrics: set,
		clients: map[string]*rpc.Client{}, joiners: map[string]record.Member{},
	}
	var err error
	k.identity, err = security.Load(cfg.Security.Authority, cfg.Security.Certificate, cfg.Security.Key)
	if err != nil {
		return err
	}
	if err := k.identity.CheckListen(cfg.Keeper.Listen); err != nil {
		return err
	}
	dir, err := disk.Open(cfg.Keeper.Data)
	if err != nil {
		return errors.Wrap(err, cfg.Keeper.Data)
	}
	defer func() { _ = dir.Close() }()
	own, j, err := k.open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = j.Close() }()
	return k.run(ctx, own, j)
}

// open loads the identity and the journal. If the folder is empty, or the journal
// is damaged and therefore discarded, the keeper joins as a new member.
func (k *Keeper) open(dir *disk.Dir) (identity.Identity, *journal.Journal, error) {
	own, ok, err := identity.Load(dir)
	if err != nil {
		return own, nil, err
	}
	if !ok {
		return k.joinAsNewMember(dir, "data folder is empty")
	}
	j, err := journal.Open(dir)
	if errors.Is(err, journal.ErrCorrupted) {
		k.metrics.Count("JournalDamaged")
		if err := identity.Discard(dir); err != nil {
			return own, nil, err
		}
		return k.joinAsNewMember(dir, err.Error())
	}
	if err != nil {
		return own, nil, err
	}
	if n := j.TornBytes(); n > 0 {
		klog.InfoS("Truncated an incomplete record at the end of the journal", "Bytes", n)
	}
	return own, j, nil
}

// joinAsNewMember creates a new member ID and opens the journal.
func (k *Keeper) joinAsNewMember(dir *disk.Dir, reason string) (identity.Identity, *journal.Journal, error) {
	own, err := identity.Create(dir, k.cfg.Process.Name)
	if err != nil {
		return own, nil, err
	}
	klog.InfoS("Keeper joins the group as a new member", "Member", own.ID, "Reason", reason)
	j, err := journal.Open(dir)
	return own, j, err
}

func (k *Keeper) run(ctx context.Context, own identity.Identity, j *journal.Journal) error {
	g, ctx := errgroup.WithContext(ctx)
	codec := frame.Codec{Sent: k.metrics.SentBytes(), Received: k.metrics.ReceivedBytes()}
	k.transport = transport.New(ctx, k.identity.Client(), codec)
	k.renewals = newBatcher(k.confirmBatch)
	var err error
	k.replica, err = replica.New(replica.Config{
		Raft: raft.Config{
			ID:    own.ID,
			Terms: raft.RankedTerms{},
			Rand:  rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), uint64(os.Getpid()))),
		},
		Address:            k.cfg.Keeper.Listen,
		Tick:               k.cfg.Keeper.Tick.Std(),
		SnapshotEntries:    uint64(k.cfg.Keeper.SnapshotEntries),
		OnLeadershipChange: k.onLeadershipChange,
	}, j, k, k.transport)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", k.cfg.Keeper.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &rpc.Server{
		Handlers: k.handlers(), TLS: k.identity.Server(), Codec: codec,
		OnConnError: func(error) { k.metrics.Count("BadFrame") },
	}
	g.Go(func() error { return k.replica.Run(ctx) })
	g.Go(func() error { return server.Serve(ctx, l) })
	g.Go(func() error { return k.runLeaderDuties(ctx) })
	g.Go(func() error { k.renewals.run(ctx); return nil })
	g.Go(func() error { return k.join(ctx, own) })
	g.Go(func() error { return process.ServeAdmin(ctx, k.cfg.Process.AdminListen, k.metrics, k.ready) })
	klog.InfoS("Keeper started", "Member", own.ID, "Listen", k.cfg.Keeper.Listen)
	return g.Wait()
}

// ready returns nil if this keeper is a voter and knows a leader, and otherwise
// the reason why it is not ready.
func (k *Keeper) ready() error {
	s := k.replica.Status()
	if s.Leader == "" {
		return errors.New("no leader is known")
	}
	if !s.Membership.IsVoter(s.ID) {
		return errors.New("not a voter yet")
	}
	return nil
}

// onLeadershipChange is called by the replica when this keeper gains or loses leadership.
func (k *Keeper) onLeadershipChange(leads bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaderBaseTime = k.ledger.Now()
	k.leaderSince = time.Now()
	if leads {
		k.subscribers.Reset()
		k.metrics.Count("LeadershipWon")
	}
	klog.InfoS("Leadership changed", "Leads", leads)
}

// logTime returns the log time in milliseconds. It is valid only while this
// keeper leads.
func (k *Keeper) logTime() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.leaderBaseTime + time.Since(k.leaderSince).Milliseconds()
}

// join sends join requests to the other keepers until this one is a voter.
func (k *Keeper) join(ctx context.Context, own identity.Identity) error {
	self := record.Member{ID: own.ID, Name: own.Name, Address: k.cfg.Keeper.Listen}
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	for {
		if k.replica.Status().Membership.IsVoter(own.ID) {
			return nil
		}
		for _, m := range k.cfg.Keeper.Members {
			if m.Address == self.Address {
				continue
			}
			callCtx, cancel := context.WithTimeout(ctx, forwardTimeout)
			_ = k.client(m.Address).Call(callCtx, api.MethodJoin, api.JoinRequest{Member: self}, &api.JoinResponse{})
			cancel()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Apply implements replica.StateMachine.
func (k *Keeper) Apply(index uint64, command []byte) []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	return encodeAnswer(k.ledger.Apply(index, command))
}

// Snapshot implements replica.StateMachine.
func (k *Keeper) Snapshot() ([]byte, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ledger.Snapshot()
}

// Restore implements replica.StateMachine.
func (k *Keeper) Restore(data []byte) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ledger.Restore(data)
}
