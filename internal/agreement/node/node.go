// Package node runs one keeper's place in the agreed log: it opens the data
// folder, joins the group, replaces members that are lost, and passes
// proposals and confirmations on to the leader.
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
	"egretproxy/internal/wire/frame"
	"egretproxy/internal/wire/liveness"
	"egretproxy/internal/wire/rpc"
)

const (
	// tick is the unit of the protocol's timeouts. Heartbeats go out every
	// two, elections start after 10 to 20.
	tick = 50 * time.Millisecond
	// snapshotEntries bounds the log that a restart replays.
	snapshotEntries = 256
	joinInterval    = 300 * time.Millisecond
	admitInterval   = 100 * time.Millisecond
	// forwardTimeout bounds one call to another keeper.
	forwardTimeout = time.Second
	// retryDelay is the wait for an election before a call is tried again.
	retryDelay = 40 * time.Millisecond
)

// Config sets up a Seat.
type Config struct {
	// Address is the IP address and port of this keeper's own protocol. It
	// names the keeper as well.
	Address string
	// DataDir is the data folder.
	DataDir string
	// InitialMembers is the first members, if the group starts for the first time.
	InitialMembers []string
	// Peers returns addresses of keepers to ask for membership.
	Peers func() []string
	// Durable tells that the folder survives a loss of power. Other keepers
	// never vote unless they are founders.
	Durable bool
	// Voters is the number of voters that the tolerance needs.
	Voters int
	// Machine is the agreed state.
	Machine replica.StateMachine
	// Handlers are further calls that this keeper answers.
	Handlers map[string]rpc.Handler
	// OnLead is called when this member starts or ends leading.
	OnLead func(leads bool)
}

// Node is one running keeper's place. It is safe for concurrent use.
type Node struct {
	cfg     Config
	own     identity.Identity
	dir     *disk.Dir
	journal *journal.Journal
	replica *replica.Replica

	mu sync.Mutex
	// clients holds clients of other keepers by address.
	clients map[string]*rpc.Client
	// joiners is the members that asked to join, by address.
	joiners map[string]joiner
}

type joiner struct {
	record.Member
	durable     bool
	requestedAt time.Time
}

// Open opens the data folder. An empty or damaged one makes the keeper a new
// member, unless the group starts for the first time.
func Open(cfg Config) (*Node, error) {
	dir, err := disk.Open(cfg.DataDir)
	if err != nil {
		return nil, err
	}
	s := &Node{cfg: cfg, dir: dir, clients: map[string]*rpc.Client{}, joiners: map[string]joiner{}}
	if err := s.open(); err != nil {
		_ = dir.Close()
		return nil, err
	}
	return s, nil
}

func (s *Node) open() error {
	var err error
	var known bool
	s.own, known, err = identity.Load(s.dir)
	if err != nil {
		return err
	}
	if !known && len(s.cfg.InitialMembers) > 0 {
		if err := s.bootstrap(); err != nil {
			return err
		}
		s.own, known, err = identity.Load(s.dir)
		if err != nil {
			return err
		}
	}
	if !known {
		return s.resetIdentity("data folder is empty")
	}
	s.journal, err = journal.Open(s.dir)
	if errors.Is(err, journal.ErrCorrupted) {
		return s.resetIdentity(err.Error())
	}
	if err == nil && s.journal.TornBytes() > 0 {
		klog.InfoS("Journal tail was torn and cut", "Bytes", s.journal.TornBytes())
	}
	return err
}

func (s *Node) bootstrap() error {
	var members []record.Member
	for _, a := range s.cfg.InitialMembers {
		members = append(members, record.Member{Name: a, Address: a})
	}
	if err := identity.Discard(s.dir); err != nil {
		return err
	}
	klog.InfoS("Keeper founds the group", "Founders", s.cfg.InitialMembers)
	return identity.Bootstrap(s.dir, s.cfg.Address, members)
}

// resetIdentity discards what the folder holds and takes a new id, since a member
// that forgot what it stored must not vote under its old one.
func (s *Node) resetIdentity(reason string) error {
	if err := identity.Discard(s.dir); err != nil {
		return err
	}
	var err error
	if s.own, err = identity.Create(s.dir, s.cfg.Address); err != nil {
		return err
	}
	klog.InfoS("Keeper joins as a new member", "Member", s.own.ID, "Reason", reason)
	s.journal, err = journal.Open(s.dir)
	return err
}

// Run serves until the context ends or the disk fails.
func (s *Node) Run(ctx context.Context) error {
	defer func() {
		_ = s.journal.Close()
		_ = s.dir.Close()
	}()
	l, err := liveness.ListenConfig().Listen(ctx, "tcp", s.cfg.Address)
	if err != nil {
		return errors.Wrap(err, "listen for keepers")
	}
	if err := s.prepare(ctx); err != nil {
		_ = l.Close()
		return err
	}
	return s.serve(ctx, l)
}

func (s *Node) prepare(ctx context.Context) error {
	r, err := replica.New(replica.Config{
		Raft: raft.Config{
			ID:   s.own.ID,
			Rand: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), uint64(os.Getpid()))),
		},
		Address: s.cfg.Address, Tick: tick, SnapshotEntries: snapshotEntries, OnLeadershipChange: s.cfg.OnLead,
	}, s.journal, s.cfg.Machine, transport.New(ctx, nil, frame.Codec{}))
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replica = r
	return nil
}

func (s *Node) serve(ctx context.Context, l net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	server := &rpc.Server{
		Handlers:    s.handlers(),
		OnConnError: func(err error) { klog.V(1).InfoS("Connection of a keeper ended", "Error", err.Error()) },
	}
	g.Go(func() error { return s.replica.Run(ctx) })
	g.Go(func() error { return server.Serve(ctx, l) })
	g.Go(func() error { return s.runMembershipChanges(ctx) })
	g.Go(func() error { return s.join(ctx) })
	klog.InfoS("Keeper runs", "Member", s.own.ID, "Listen", s.cfg.Address)
	return g.Wait()
}

// Status describes the member. It is the zero value before Run.
func (s *Node) Status() replica.Status {
	if r := s.member(); r != nil {
		return r.Status()
	}
	return replica.Status{}
}

func (s *Node) member() *replica.Replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica
}

// client returns the client of the keeper at the address.
func (s *Node) client(address string) *rpc.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.clients[address]
	if c == nil {
		c = &rpc.Client{Address: address, DialTimeout: forwardTimeout}
		s.clients[address] = c
	}
	return c
}
