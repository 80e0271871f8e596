// Package raft implements the consensus protocol of the keepers as a
// deterministic state machine without I/O: the Raft algorithm (Ongaro and
// Ousterhout, 2014) with pre-vote, quorum checks, read index, snapshots and
// single-server membership changes (Ongaro's thesis, 2014).
package raft

import (
	"math/rand/v2"

	"egretproxy/internal/agreement/record"
	"egretproxy/internal/fleet/id"
)

// role is the Raft role of a node.
type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

const (
	// DefaultElectionTicks is the minimum election timeout in ticks.
	DefaultElectionTicks = 10
	// startElectionTicks is the minimum election timeout of a node that has just
	// started and knows no leader. If there is one, the pre-vote ends without
	// an election, so that it need not wait for the leader's heartbeats.
	startElectionTicks = 2
	// DefaultHeartbeatTicks is the heartbeat interval in ticks.
	DefaultHeartbeatTicks = 2
	// maxEntriesPerAppend bounds the number of entries in one message.
	maxEntriesPerAppend = 512
	// maxBytesPerAppend bounds the bytes of entry data in one message.
	maxBytesPerAppend = 1 << 20
)

// TermRule chooses the term of an election.
type TermRule interface {
	// Next returns a term above current for the candidate.
	Next(current uint64, candidate id.Keeper, m record.Membership) uint64
}

// Config is the configuration of a Node.
type Config struct {
	ID             id.Keeper
	ElectionTicks  int
	HeartbeatTicks int
	// Rand randomizes election timeouts.
	Rand *rand.Rand
	// Terms chooses the terms of elections. Nil increments the term by one.
	Terms TermRule
	// Snapshot returns the newest snapshot, for members whose next entry is
	// compacted. It may return nil if there is none.
	Snapshot func() *record.Snapshot
}

// progress is a leader's view of the log of one member.
type progress struct {
	// match is the highest index known to be stored by the member.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	// ackedRound is the newest heartbeat round that the member acknowledged.
	ackedRound uint64
	// active is set by any response and cleared by each quorum check.
	active bool
	// snapshotPending is the number of ticks until an unacknowledged snapshot
	// may be sent again, or zero if none is in transfer.
	snapshotPending int
	// inactiveTicks is the number of ticks since the last response.
	inactiveTicks int
}

// read is a pending ReadIndex request. It is released once a quorum has
// acknowledged its heartbeat round.
type read struct {
	token uint64
	round uint64
	index uint64
}

// ReadState reports that the read with Token may be served once Index is
// applied.
type ReadState struct {
	Token uint64
	Index uint64
}

// Ready is the pending work of a Node for its driver. HardState, Snapshot and
// Entries must be synced to disk before Messages are sent, but for those that
// SplitMessages returns first.
type Ready struct {
	// HardState is nil if it did not change.
	HardState *record.HardState
	// Snapshot is nil unless a leader sent one. It replaces the whole log.
	Snapshot *record.Snapshot
	// Truncate is the first index to drop before Entries are appended, or
	// zero.
	Truncate uint64
	Entries  []record.Entry
	Messages []record.Message
	// Committed holds the entries to apply, in log order.
	Committed []record.Entry
	Reads     []ReadState
}

// Node is one member of a Raft group. It is not safe for concurrent use.
type Node struct {
	cfg       Config
	hardState record.HardState
	role      role
	// leader is the known leader of the term, or empty.
	leader id.Keeper
	// lastLeader is the other member that this node followed last, and
	// lastLeaderTicks the number of ticks since its last message.
	lastLeader      id.Keeper
	lastLeaderTicks int
	log             log
	// commit never decreases and never exceeds the last index of the log.
	commit uint64
	// delivered is the highest committed index that Ready has returned.
	delivered uint64
	// stable is the highest index that the driver has synced.
	stable uint64

	members memberships
	peers   map[id.Keeper]*progress
	votes   map[id.Keeper]bool

	elapsedTicks    int
	electionTimeout int
	// startTicks is the number of ticks since the start, as long as the node is
	// starting.
	startTicks int
	// quorumCheckTicks is the number of ticks since the last quorum check.
	quorumCheckTicks int
	round            uint64
	reads            []read

	ready            Ready
	hardStateChanged bool
}

// New returns a follower that resumes from the stored state. snap may be nil;
// entries are those after it.
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

// Commit returns the highest committed index.
func (n *Node) Commit() uint64 { return n.commit }

// LastIndex returns the index of the last log entry.
func (n *Node) LastIndex() uint64 { return n.log.lastIndex() }

// Membership returns the membership in use, which may not be committed yet.
func (n *Node) Membership() record.Membership { return n.members.current() }

// MatchIndexes returns the highest index that each other member is known to
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

// InactiveTicks returns the number of ticks since the last response of each
// other member. It is nil unless this node leads.
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

// Tick advances the logical clock by one tick. It may start an election or
// send heartbeats.
func (n *Node) Tick() {
	n.elapsedTicks++
	n.lastLeaderTicks++
	if n.starting() {
		n.startTicks++
	}
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

// quorumActive reports whether a quorum has responded since the last call, and
// starts the next check.
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

// Propose appends commands to the log and returns the index of the first. It
// returns false unless this node leads.
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
// exactly one member, and reports whether it did. It is refused unless this
// node leads, and while another change or the first entry of the leader's
// term is uncommitted.
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

// ReadIndex starts a linearizable read: once a quorum confirms leadership,
// Ready.Reads holds the token and the index to wait for. It returns false
// unless this node leads and has committed an entry in its term.
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

// Ready returns and clears the pending work. The driver calls Advance once
// the returned entries are synced.
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

// Advance reports that the entries of r are synced. Entries that were
// truncated since are ignored.
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

// Compact drops the entries up to index, which a snapshot must cover.
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
	if n.starting() {
		n.electionTimeout = startElectionTicks + n.cfg.Rand.IntN(max(n.cfg.ElectionTicks/2, 1))
		return
	}
	n.electionTimeout = n.cfg.ElectionTicks + n.cfg.Rand.IntN(n.cfg.ElectionTicks)
}

// starting reports whether the node started within two election timeouts and
// knows no leader.
func (n *Node) starting() bool { return n.leader == "" && n.startTicks < 2*n.cfg.ElectionTicks }

func (n *Node) send(m record.Message) {
	m.From = n.cfg.ID
	n.ready.Messages = append(n.ready.Messages, m)
}
