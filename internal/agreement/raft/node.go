// Package raft implements the agreement protocol of the keepers as a
// deterministic state machine without I/O: the Raft algorithm (Ongaro and
// Ousterhout, 2014) with pre-vote, leader checks, read index, snapshots and
// membership changes of one member at a time (Ongaro's thesis, 2014).
package raft

import (
	"math/rand/v2"

	"egretproxy/internal/agreement/record"
	"egretproxy/internal/fleet/id"
)

// role is the part that a node plays in its term.
type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

const (
	// DefaultElectionTicks is the shortest time without a leader, in ticks,
	// after which a follower stands for election.
	DefaultElectionTicks = 10
	// DefaultHeartbeatTicks is the time between heartbeats in ticks.
	DefaultHeartbeatTicks = 2
	// maxEntriesPerAppend bounds the entries of one message.
	maxEntriesPerAppend = 512
	// maxBytesPerAppend bounds the payload of one message.
	maxBytesPerAppend = 1 << 20
)

// TermRule picks the term in which a candidate stands.
type TermRule interface {
	// Next returns a term above the current one for the candidate.
	Next(current uint64, candidate id.Keeper, m record.Membership) uint64
}

// Config sets up a Node.
type Config struct {
	ID             id.Keeper
	ElectionTicks  int
	HeartbeatTicks int
	// Rand spreads election timeouts.
	Rand *rand.Rand
	// Terms picks the terms of candidacies. Nil means the plain rule.
	Terms TermRule
	// Snapshot returns the newest snapshot for a member that is too far
	// behind. It may return nil if there is none.
	Snapshot func() *record.Snapshot
}

// progress is what a leader knows about one member.
type progress struct {
	// match is the highest position known to be stored by the member.
	match uint64
	// next is the position of the next entry to send.
	next uint64
	// ackedRound is the newest heartbeat ackedRound that the member answered.
	ackedRound uint64
	// active is set by any answer and cleared by each quorum check.
	active bool
	// snapshotPending is the number of ticks for which a snapshot is in transfer.
	snapshotPending int
	// inactiveTicks is the number of ticks since the member last answered.
	inactiveTicks int
}

// read is a request to confirm that this node still leads.
type read struct {
	token uint64
	round uint64
	index uint64
}

// ReadState tells that a read may be served from Index on.
type ReadState struct {
	Token uint64
	Index uint64
}

// Ready is the work that a Node hands to its driver. HardState, Snapshot and
// Entries must be synced to disk before Messages are sent.
type Ready struct {
	// HardState is nil if it did not change.
	HardState *record.HardState
	// Snapshot is nil unless a leader sent one. It replaces the whole log.
	Snapshot *record.Snapshot
	// Truncate is the first position to drop before Entries are appended,
	// or zero.
	Truncate uint64
	Entries  []record.Entry
	Messages []record.Message
	// Committed is the entries to apply, in order.
	Committed []record.Entry
	Reads     []ReadState
}

// Node is one member of the agreed log. It is not safe for concurrent use.
type Node struct {
	cfg       Config
	hardState record.HardState
	role      role
	// leader is the known leader of the term, or empty.
	leader id.Keeper
	log    log
	// commit never falls and never exceeds the last log position.
	commit uint64
	// delivered is the highest committed position given to the driver.
	delivered uint64
	// stable is the highest position that the driver has synced.
	stable uint64

	members memberships
	peers   map[id.Keeper]*progress
	votes   map[id.Keeper]bool

	elapsedTicks    int
	electionTimeout int
	// quorumCheckTicks counts ticks since the leader last checked its quorum.
	quorumCheckTicks int
	round            uint64
	reads            []read

	ready            Ready
	hardStateChanged bool
}

// New returns a node that resumes from what its driver has stored.
func New(cfg Config, hard record.HardState, snap *record.Snapshot, entries []record.Entry) *Node {
	if cfg.ElectionTicks == 0 {
		cfg.ElectionTicks = DefaultElectionTicks
	}
	if cfg.HeartbeatTicks == 0 {
		cfg.HeartbeatTicks = DefaultHeartbeatTicks
	}
	if cfg.Terms == nil {
		cfg.Terms = sequentialTerms{}
	}
	n := &Node{cfg: cfg, hardState: hard}
	if snap != nil {
		n.log.reset(snap.Index, snap.Term)
		n.members.reset(snap.Index, snap.Membership)
		n.commit = snap.Index
		n.delivered = snap.Index
	}
	for _, e := range entries {
		n.log.append(e)
		n.trackMembership(e)
	}
	n.stable = n.log.lastIndex()
	n.hardState.Term = max(n.hardState.Term, n.log.lastTerm())
	n.resetTimeout()
	return n
}

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hardState.Term }

// Leader returns the known leader, or an empty id.
func (n *Node) Leader() id.Keeper { return n.leader }

// IsLeader reports whether this node leads.
func (n *Node) IsLeader() bool { return n.role == leader }

// Commit returns the highest committed position.
func (n *Node) Commit() uint64 { return n.commit }

// LastIndex returns the last position of the log.
func (n *Node) LastIndex() uint64 { return n.log.lastIndex() }

// Membership returns the membership in use, which may not be committed yet.
func (n *Node) Membership() record.Membership { return n.members.current() }

// MatchIndexes returns the highest position that each other member is known to
// store. It is nil unless this node leads.
func (n *Node) MatchIndexes() map[id.Keeper]uint64 {
	if n.role != leader {
		return nil
	}
	out := make(map[id.Keeper]uint64, len(n.peers))
	for k, p := range n.peers {
		out[k] = p.match
	}
	return out
}

// InactiveTicks returns the number of ticks since each other member last answered.
// It is nil unless this node leads.
func (n *Node) InactiveTicks() map[id.Keeper]int {
	if n.role != leader {
		return nil
	}
	out := make(map[id.Keeper]int, len(n.peers))
	for k, p := range n.peers {
		out[k] = p.inactiveTicks
	}
	return out
}

// Tick advances the node's clock by one step.
func (n *Node) Tick() {
	n.elapsedTicks++
	if n.role == leader {
		n.tickLeader()
		return
	}
	if n.elapsedTicks < n.electionTimeout {
		return
	}
	n.resetTimeout()
	if !n.members.current().IsVoter(n.cfg.ID) {
		return
	}
	n.campaign(preCandidate)
}

func (n *Node) tickLeader() {
	for _, p := range n.peers {
		p.inactiveTicks++
		if p.snapshotPending > 0 {
			p.snapshotPending--
		}
	}
	if n.elapsedTicks >= n.cfg.HeartbeatTicks {
		n.elapsedTicks = 0
		n.broadcast()
	}
	n.quorumCheckTicks++
	if n.quorumCheckTicks < n.cfg.ElectionTicks {
		return
	}
	n.quorumCheckTicks = 0
	if !n.quorumActive() {
		n.become(follower, n.hardState.Term, "")
	}
}

// quorumActive reports whether a quorum answered since the last check.
func (n *Node) quorumActive() bool {
	m := n.members.current()
	active := 0
	for _, k := range m.Voters() {
		if k == n.cfg.ID || n.peers[k] != nil && n.peers[k].active {
			active++
		}
	}
	for _, p := range n.peers {
		p.active = false
	}
	return active >= m.Quorum()
}

// Propose appends commands to the log if this node leads. It reports the
// position of the first.
func (n *Node) Propose(commands [][]byte) (uint64, bool) {
	if n.role != leader {
		return 0, false
	}
	first := n.log.lastIndex() + 1
	for _, c := range commands {
		n.appendAsLeader(record.KindCommand, c)
	}
	n.broadcast()
	return first, true
}

// ProposeMembership appends a membership that differs from the current one in
// one member. It is refused while another change or the leader's first entry
// is not committed.
func (n *Node) ProposeMembership(m record.Membership) bool {
	if n.role != leader || n.members.lastIndex() > n.commit || !n.hasCommittedInTerm() {
		return false
	}
	if countDifferences(n.members.current(), m) != 1 {
		return false
	}
	n.appendAsLeader(record.KindMembership, encodeMembership(m))
	n.updatePeers()
	n.broadcast()
	return true
}

// ReadIndex asks to confirm leadership. The answer comes in Ready.Reads.
func (n *Node) ReadIndex(token uint64) bool {
	if n.role != leader || !n.hasCommittedInTerm() {
		return false
	}
	n.round++
	n.reads = append(n.reads, read{token: token, round: n.round, index: n.commit})
	n.broadcast()
	n.confirmReads()
	return true
}

// Ready returns the pending work and clears it. Call Advance when it is done.
func (n *Node) Ready() Ready {
	r := n.ready
	n.ready = Ready{}
	if n.hardStateChanged {
		h := n.hardState
		r.HardState = &h
		n.hardStateChanged = false
	}
	r.Entries = n.log.entriesFrom(n.stable+1, 0)
	r.Committed = n.log.entriesBetween(n.delivered+1, n.commit)
	n.delivered = n.commit
	return r
}

// HasReady reports whether Ready would return any work.
func (n *Node) HasReady() bool {
	return n.hardStateChanged || n.stable < n.log.lastIndex() || n.delivered < n.commit ||
		n.ready.Snapshot != nil || n.ready.Truncate > 0 ||
		len(n.ready.Messages) > 0 || len(n.ready.Reads) > 0
}

// Advance tells that the entries of the last Ready are synced.
func (n *Node) Advance(r Ready) {
	if len(r.Entries) == 0 {
		return
	}
	last := r.Entries[len(r.Entries)-1]
	if n.log.term(last.Index) != last.Term || n.log.lastIndex() < last.Index {
		return
	}
	n.stable = max(n.stable, last.Index)
	if n.role == leader {
		n.advanceCommit()
	}
}

// Compact drops entries up to the position, which a snapshot must cover.
func (n *Node) Compact(index uint64) {
	if index > n.delivered {
		return
	}
	n.log.compact(index)
	n.members.compact(index)
}

func (n *Node) hasCommittedInTerm() bool {
	return n.log.term(n.commit) == n.hardState.Term
}

func (n *Node) appendAsLeader(kind record.Kind, data []byte) {
	e := record.Entry{Index: n.log.lastIndex() + 1, Term: n.hardState.Term, Kind: kind, Data: data}
	n.log.append(e)
	n.trackMembership(e)
}

func (n *Node) trackMembership(e record.Entry) {
	if e.Kind == record.KindMembership {
		n.members.push(e.Index, decodeMembership(e.Data))
	}
}

func (n *Node) resetTimeout() {
	n.elapsedTicks = 0
	n.electionTimeout = n.cfg.ElectionTicks + n.cfg.Rand.IntN(n.cfg.ElectionTicks)
}

func (n *Node) send(m record.Message) {
	m.From = n.cfg.ID
	n.ready.Messages = append(n.ready.Messages, m)
}
