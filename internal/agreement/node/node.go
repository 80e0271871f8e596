// Package node runs a keeper's member of the Raft group. It opens the data
// directory, joins the group, replaces lost members, and forwards proposals and
// confirmations to the leader.
package node

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
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/wire/frame"
	"egretproxy/internal/wire/liveness"
	"egretproxy/internal/wire/rpc"
)

const (
	// tick is the unit of Raft's timeouts. The leader sends heartbeats every 2
	// ticks; an election starts after 10 to 20 ticks without a leader.
	tick = 50 * time.Millisecond
	// snapshotEntries is the number of log entries between snapshots. It bounds
	// the log that a restart replays.
	snapshotEntries    = 256
	joinInterval       = 300 * time.Millisecond
	membershipInterval = 100 * time.Millisecond
	// forwardTimeout limits one call to another keeper.
	forwardTimeout = time.Second
	// retryDelay is the delay before a call is retried, for example during an
	// election.
	retryDelay = 40 * time.Millisecond
)

// Config configures a Node.
type Config struct {
	// Address is the IP address and port on which this keeper listens for other
	// keepers. It is also the keeper's name in the membership.
	Address string
	// DataDir is the path of the data directory.
	DataDir string
	// InitialMembers lists the addresses of the first members. It is set only
	// when the group starts for the first time.
	InitialMembers []string
	// Peers returns the addresses of keepers to send join requests to.
	Peers func() []string
	// Durable means that the data directory survives a power failure. A keeper
	// without a durable directory does not become a voter, unless it is one of
	// the initial members.
	Durable bool
	// Voters is the number of voters required for the configured fault
	// tolerance.
	Voters int
	// ReplaceAfter is how long a voter may be silent before a learner that has
	// caught up replaces it. Zero means 2 s.
	ReplaceAfter time.Duration
	// Machine is the replicated state machine.
	Machine replica.StateMachine
	// Handlers holds additional RPC handlers by method name.
	Handlers map[string]rpc.Handler
	// OnLeadershipChange is called when this member gains or loses leadership.
	OnLeadershipChange func(leads bool)
}

func (c *Config) replaceAfter() time.Duration {
	if c.ReplaceAfter > 0 {
		return c.ReplaceAfter
	}
	return defaultReplaceAfter
}

// Node is a keeper's member of the Raft group. It is safe for concurrent use.
type Node struct {
	cfg     Config
	own     identity.Identity
	dir     *disk.Dir
	journal *journal.Journal
	replica *replica.Replica
	// stopping is closed when this keeper starts to stop, or has failed.
	stopping     chan struct{}
	stoppingOnce sync.Once

	mu sync.Mutex
	// clients holds the RPC clients of other keepers by address.
	clients map[string]*rpc.Client
	// joiners holds the latest join request of each keeper by address.
	joiners map[string]joiner
	// leavers holds the time of the latest request of each keeper that leaves.
	leavers map[id.Keeper]time.Time
}

// joiner is a keeper that requested to join the group.
type joiner struct {
	record.Member
	durable     bool
	requestedAt time.Time
}

// Open opens the data directory. If the directory is empty or its journal is
// corrupted, the keeper gets a new member ID. When the group starts for the
// first time, an empty directory is bootstrapped instead. Run closes the
// directory.
func Open(cfg Config) (*Node, error) {
	dir, err := disk.Open(cfg.DataDir)
	if err != nil {
		return nil, err
	}
	n := &Node{
		cfg: cfg, dir: dir, stopping: make(chan struct{}),
		clients: map[string]*rpc.Client{}, joiners: map[string]joiner{}, leavers: map[id.Keeper]time.Time{},
	}
	if err := n.open(); err != nil {
		_ = dir.Close()
		return nil, err
	}
	return n, nil
}

func (n *Node) open() error {
	var err error
	var known bool
	n.own, known, err = identity.Load(n.dir)
	if err != nil {
		return err
	}
	if !known && len(n.cfg.InitialMembers) > 0 {
		if err := n.bootstrap(); err != nil {
			return err
		}
		n.own, known, err = identity.Load(n.dir)
		if err != nil {
			return err
		}
	}
	if !known {
		return n.resetIdentity("data directory is empty")
	}
	n.journal, err = journal.Open(n.dir)
	if errors.Is(err, journal.ErrCorrupted) {
		return n.resetIdentity(err.Error())
	}
	if err == nil && n.journal.TornBytes() > 0 {
		klog.InfoS("Truncated an incomplete record at the end of the journal", "Bytes", n.journal.TornBytes())
	}
	return err
}

// bootstrap replaces the contents of the data directory with the bootstrap
// snapshot of a group of the initial members.
func (n *Node) bootstrap() error {
	var members []record.Member
	for _, a := range n.cfg.InitialMembers {
		members = append(members, record.Member{Name: a, Address: a})
	}
	if err := identity.Discard(n.dir); err != nil {
		return err
	}
	klog.InfoS("Keeper bootstraps the group", "Founders", n.cfg.InitialMembers)
	return identity.Bootstrap(n.dir, n.cfg.Address, members)
}

// resetIdentity discards the contents of the data directory and creates a new
// member ID.
// A member that lost its log must not vote under its old ID.
func (n *Node) resetIdentity(reason string) error {
	if err := identity.Discard(n.dir); err != nil {
		return err
	}
	var err error
	if n.own, err = identity.Create(n.dir, n.cfg.Address); err != nil {
		return err
	}
	klog.InfoS("Keeper joins the group as a new member", "Member", n.own.ID, "Reason", reason)
	n.journal, err = journal.Open(n.dir)
	return err
}

// Run serves until the context is cancelled. When it is
// cancelled, it first passes this member's vote to a learner if there is one that
// has caught up. It closes the journal and the data directory.
func (n *Node) Run(ctx context.Context) error {
	defer func() {
		_ = n.journal.Close()
		_ = n.dir.Close()
	}()
	l, err := liveness.ListenConfig().Listen(ctx, "tcp", n.cfg.Address)
	if err != nil {
		return errors.Wrap(err, "listen for keepers")
	}
	serving, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err := n.prepare(serving); err != nil {
		_ = l.Close()
		return err
	}
	stop := context.AfterFunc(ctx, func() {
		defer cancel()
		n.markStopping()
		n.leave(serving)
	})
	defer stop()
	defer n.markStopping()
	return n.serve(serving, l)
}

func (n *Node) prepare(ctx context.Context) error {
	r, err := replica.New(replica.Config{
		Raft: raft.Config{
			ID:   n.own.ID,
			Rand: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), uint64(os.Getpid()))),
		},
		Address: n.cfg.Address, Tick: tick, SnapshotEntries: snapshotEntries, OnLeadershipChange: n.cfg.OnLeadershipChange,
	}, n.journal, n.cfg.Machine, transport.New(ctx, nil, frame.Codec{}))
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.replica = r
	return nil
}

func (n *Node) serve(ctx context.Context, l net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	server := &rpc.Server{
		Handlers:    n.handlers(),
		OnConnError: func(err error) { klog.V(1).InfoS("Connection from another keeper failed", "Error", err.Error()) },
	}
	g.Go(func() error { return n.replica.Run(ctx) })
	g.Go(func() error { return server.Serve(ctx, l) })
	g.Go(func() error { return n.runMembershipChanges(ctx) })
	g.Go(func() error { return n.join(ctx) })
	klog.InfoS("Keeper started", "Member", n.own.ID, "Listen", n.cfg.Address)
	return g.Wait()
}

// Status returns the member's status. It is the zero value before Run.
func (n *Node) Status() replica.Status {
	if r := n.currentReplica(); r != nil {
		return r.Status()
	}
	return replica.Status{}
}

// currentReplica returns the replica, or nil before Run.
func (n *Node) currentReplica() *replica.Replica {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.replica
}

func (n *Node) markStopping() { n.stoppingOnce.Do(func() { close(n.stopping) }) }

// stopped returns a channel that is closed when the replica has stopped, or nil
// before Run.
func (n *Node) stopped() <-chan struct{} {
	if r := n.currentReplica(); r != nil {
		return r.Stopped()
	}
	return nil
}

// client returns the RPC client for the keeper at the address and creates it on
// first use.
func (n *Node) client(address string) *rpc.Client {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.clients[address]
	if c == nil {
		c = &rpc.Client{Address: address, DialTimeout: forwardTimeout}
		n.clients[address] = c
	}
	return c
}
