// Package replica drives one member of a Raft group: it owns the Raft node and
// the journal, syncs to disk before it sends messages, and applies committed
// entries to a state machine.
package replica

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"egretproxy/internal/agreement/raft"
	"egretproxy/internal/agreement/record"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/wakeup"
)

// Errors returned by the methods of Replica.
var (
	// ErrNotLeader means that this member does not lead. Nothing was appended.
	ErrNotLeader = errors.New("this keeper does not lead")
	// ErrOutcomeUnknown means that leadership was lost, or the context ended,
	// before the outcome was known. The command may or may not take effect.
	ErrOutcomeUnknown = errors.New("outcome of the change is not known")
	// ErrStopped means that Run has returned.
	ErrStopped = errors.New("replica has stopped")
)

const (
	// DefaultTick is the default interval of Raft ticks.
	DefaultTick = 50 * time.Millisecond
	// DefaultSnapshotEntries is the default number of entries between snapshots.
	DefaultSnapshotEntries = 10_000
	// storageRetryDelay is the time between two attempts to write to a disk that
	// fails.
	storageRetryDelay = 100 * time.Millisecond
	// maxBatch bounds the proposals that share one sync.
	maxBatch = 512
	// queueLength bounds the queues of proposals, reads and messages.
	queueLength = 4096
)

// StateMachine is the replicated state machine. Run calls its methods from one
// goroutine.
type StateMachine interface {
	// Apply executes the command at a log index and returns its response.
	Apply(index uint64, command []byte) []byte
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(data []byte) error
}

// Journal is the durable storage of a member. Both Save methods return after
// the data is synced.
type Journal interface {
	Save(hard *record.HardState, truncate uint64, entries []record.Entry) error
	SaveSnapshot(s *record.Snapshot, reset bool) error
	State() (record.HardState, *record.Snapshot, []record.Entry)
}

// Transport sends messages to other members. It may drop them.
type Transport interface {
	Send(to record.Member, m record.Message)
}

// Config is the configuration of a Replica.
type Config struct {
	Raft            raft.Config
	Tick            time.Duration
	SnapshotEntries uint64
	// Address is the address at which this member receives messages.
	Address string
	// OnLeadershipChange is called when this member gains or loses leadership.
	OnLeadershipChange func(leads bool)
}

type result struct {
	response []byte
	err      error
}

type proposal struct {
	command []byte
	done    chan result
}

type readRequest struct {
	done chan result
	// index is set before a result is sent to done.
	index *uint64
}

type pendingProposal struct {
	proposal
	term uint64
}

// Status is a snapshot of the state of a replica.
type Status struct {
	ID         id.Keeper
	Leader     id.Keeper
	IsLeader   bool
	Term       uint64
	Commit     uint64
	Applied    uint64
	LastIndex  uint64
	Membership record.Membership
	// MatchIndexes is the highest index that each other member is known to
	// store. It is nil unless this member leads.
	MatchIndexes map[id.Keeper]uint64
	// InactiveTicks is the number of ticks since the last response of each
	// other member. It is nil unless this member leads.
	InactiveTicks map[id.Keeper]int
	// Failed is the text of the error that ended Run, or empty.
	Failed string
}

// Replica is one member of a Raft group. mu guards the fields below it. The
// channels are shared; all other fields belong to the goroutine of Run.
type Replica struct {
	cfg          Config
	node         *raft.Node
	journal      Journal
	stateMachine StateMachine
	transport    Transport

	proposals         chan proposal
	reads             chan readRequest
	membershipChanges chan membershipChange
	inbox             chan record.Message
	stopped           chan struct{}

	pendingProposals map[uint64]pendingProposal
	pendingReads     map[uint64]readRequest
	readToken        uint64
	snapshot         *record.Snapshot
	wasLeader        bool
	// addresses holds the addresses of message senders, to reach those that
	// are not in the membership.
	addresses map[id.Keeper]string
	// syncing takes part in heartbeats while Run waits for the disk.
	syncing syncWait
	// slowSyncs is set if the last sync took longer than a heartbeat.
	slowSyncs bool

	mu sync.Mutex
	// status is replaced after each step.
	status Status
	// appliedChanged is sent whenever the applied index grows.
	appliedChanged wakeup.Signal
}

type membershipChange struct {
	membership record.Membership
	done       chan bool
}

// New returns a replica that resumes from its journal and restores the state
// machine from the newest snapshot. Call Run to start it.
func New(cfg Config, j Journal, m StateMachine, t Transport) (*Replica, error) {
	if cfg.Tick == 0 {
		cfg.Tick = DefaultTick
	}
	if cfg.SnapshotEntries == 0 {
		cfg.SnapshotEntries = DefaultSnapshotEntries
	}
	hard, snap, entries := j.State()
	r := &Replica{
		cfg: cfg, journal: j, stateMachine: m, transport: t,
		proposals:         make(chan proposal, queueLength),
		reads:             make(chan readRequest, queueLength),
		membershipChanges: make(chan membershipChange),
		inbox:             make(chan record.Message, queueLength),
		stopped:           make(chan struct{}),
		pendingProposals:  map[uint64]pendingProposal{},
		pendingReads:      map[uint64]readRequest{},
		addresses:         map[id.Keeper]string{},
		snapshot:          snap,
		syncing:           syncWait{transport: t},
	}
	if snap != nil && len(snap.Data) > 0 {
		if err := m.Restore(snap.Data); err != nil {
			return nil, errors.Wrap(err, "restore snapshot")
		}
	}
	r.cfg.Raft.Snapshot = func() *record.Snapshot { return r.snapshot }
	r.node = raft.New(r.cfg.Raft, hard, snap, entries)
	if snap != nil {
		r.status.Applied = snap.Index
	}
	r.publishStatus(r.status.Applied)
	return r, nil
}

// Run drives the member until ctx ends, and then returns nil. While the disk refuses
// writes it waits. It returns an error if a snapshot or entry can't be encoded.
func (r *Replica) Run(ctx context.Context) error {
	defer r.stop()
	ticker := time.NewTicker(r.cfg.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.node.Tick()
		case m := <-r.inbox:
			r.step(m)
		case p := <-r.proposals:
			r.propose(p)
		case request := <-r.reads:
			r.requestReadIndex(request)
		case c := <-r.membershipChanges:
			c.done <- r.node.ProposeMembership(c.membership)
		}
		r.drainQueues()
		if err := r.process(ctx); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
	}
}

// drainQueues handles up to maxBatch queued items, so that they share one sync.
func (r *Replica) drainQueues() {
	for range maxBatch {
		select {
		case m := <-r.inbox:
			r.step(m)
		case p := <-r.proposals:
			r.propose(p)
		case request := <-r.reads:
			r.requestReadIndex(request)
		default:
			return
		}
	}
}

// step passes a message to the Raft node. It drops messages for an earlier id
// of this keeper.
func (r *Replica) step(m record.Message) {
	if m.To != r.cfg.Raft.ID {
		return
	}
	if m.Address != "" {
		r.addresses[m.From] = m.Address
	}
	r.node.Step(m)
}

func (r *Replica) propose(first proposal) {
	batch := []proposal{first}
	for len(batch) < maxBatch {
		select {
		case p := <-r.proposals:
			batch = append(batch, p)
			continue
		default:
		}
		break
	}
	commands := make([][]byte, 0, len(batch))
	for _, p := range batch {
		commands = append(commands, p.command)
	}
	index, ok := r.node.Propose(commands)
	for i, p := range batch {
		if !ok {
			p.done <- result{err: ErrNotLeader}
			continue
		}
		r.pendingProposals[index+uint64(i)] = pendingProposal{proposal: p, term: r.node.Term()}
	}
}

func (r *Replica) requestReadIndex(request readRequest) {
	r.readToken++
	if !r.node.ReadIndex(r.readToken) {
		request.done <- result{err: ErrNotLeader}
		return
	}
	r.pendingReads[r.readToken] = request
}

// updateLeadership fails the pending requests if leadership was lost and
// reports changes of leadership to OnLeadershipChange.
func (r *Replica) updateLeadership() {
	leads := r.node.IsLeader()
	if leads == r.wasLeader {
		return
	}
	r.wasLeader = leads
	if !leads {
		r.failPending(ErrOutcomeUnknown)
	}
	if r.cfg.OnLeadershipChange != nil {
		r.cfg.OnLeadershipChange(leads)
	}
}

func (r *Replica) failPending(err error) {
	for k, p := range r.pendingProposals {
		p.done <- result{err: err}
		delete(r.pendingProposals, k)
	}
	for k, request := range r.pendingReads {
		request.done <- result{err: ErrNotLeader}
		delete(r.pendingReads, k)
	}
}

func (r *Replica) publishStatus(applied uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if applied > r.status.Applied {
		r.appliedChanged.Send()
	}
	r.status = Status{
		ID: r.cfg.Raft.ID, Leader: r.node.Leader(), IsLeader: r.node.IsLeader(),
		Term: r.node.Term(), Commit: r.node.Commit(), Applied: applied,
		LastIndex: r.node.LastIndex(), Membership: r.node.Membership(), MatchIndexes: r.node.MatchIndexes(),
		InactiveTicks: r.node.InactiveTicks(),
		Failed:        r.status.Failed,
	}
}

func (r *Replica) recordFailure(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status.Failed = err.Error()
}

func (r *Replica) stop() {
	close(r.stopped)
	r.failPending(ErrOutcomeUnknown)
}

func (r *Replica) appliedIndex() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status.Applied
}
