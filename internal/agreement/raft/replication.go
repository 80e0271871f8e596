package raft

import (
	"slices"

	"egretproxy/internal/agreement/record"
	"egretproxy/internal/fleet/id"
)

// snapshotResendTicks is the number of ticks after which an unacknowledged
// snapshot is sent again.
const snapshotResendTicks = 50

// Step processes a message from another member.
func (n *Node) Step(m record.Message) {
	if m.Kind == record.PreVoteRequest {
		n.onPreVote(m)
		return
	}
	if m.Kind == record.PreVoteResponse {
		n.onPreVoteResponse(m)
		return
	}
	if m.Kind == record.VoteRequest && m.Term > n.hardState.Term && n.hasActiveLeader() {
		return
	}
	if m.Term > n.hardState.Term {
		n.become(follower, m.Term, "")
	}
	if m.Term < n.hardState.Term {
		n.onStaleTerm(m)
		return
	}
	switch m.Kind {
	case record.VoteRequest:
		n.onVote(m)
	case record.VoteResponse:
		n.onVoteResponse(m)
	case record.AppendRequest:
		n.onAppend(m)
	case record.AppendResponse:
		n.onAppendResponse(m)
	case record.SnapshotRequest:
		n.onSnapshot(m)
	}
}

// onStaleTerm rejects the requests of a leader with an older term, so that it
// steps down. Other messages of older terms are ignored.
func (n *Node) onStaleTerm(m record.Message) {
	if m.Kind != record.AppendRequest && m.Kind != record.SnapshotRequest {
		return
	}
	n.send(record.Message{Kind: record.AppendResponse, To: m.From, Term: n.hardState.Term, Reject: true})
}

func (n *Node) followLeader(m record.Message) {
	if n.role != follower || n.leader != m.From {
		n.become(follower, m.Term, m.From)
	}
	n.lastLeader, n.lastLeaderTicks = m.From, 0
	n.resetTimeout()
}

func (n *Node) onAppend(m record.Message) {
	n.followLeader(m)
	response := record.Message{Kind: record.AppendResponse, To: m.From, Term: n.hardState.Term, Round: m.Round}
	if m.Index < n.commit {
		response.Index = n.commit
		n.send(response)
		return
	}
	if m.Index > n.log.lastIndex() || n.log.term(m.Index) != m.LogTerm {
		response.Reject = true
		response.Index = min(n.log.lastIndex(), m.Index-1)
		n.send(response)
		return
	}
	n.appendFrom(m.Entries)
	response.Index = m.Index + uint64(len(m.Entries))
	n.commitTo(min(m.Commit, response.Index))
	n.send(response)
}

// appendFrom appends a leader's entries and truncates local entries that
// conflict with them.
func (n *Node) appendFrom(entries []record.Entry) {
	for _, e := range entries {
		if e.Index <= n.log.lastIndex() {
			if n.log.term(e.Index) == e.Term {
				continue
			}
			n.truncate(e.Index)
		}
		n.log.append(e)
		n.trackMembership(e)
	}
}

func (n *Node) truncate(index uint64) {
	if index <= n.commit {
		panic("raft: truncation of a committed entry")
	}
	n.log.truncate(index)
	n.members.truncate(index)
	if index <= n.stable {
		n.stable = index - 1
		if n.ready.Truncate == 0 || index < n.ready.Truncate {
			n.ready.Truncate = index
		}
	}
}

func (n *Node) commitTo(index uint64) {
	n.commit = max(n.commit, min(index, n.log.lastIndex()))
}

func (n *Node) onSnapshot(m record.Message) {
	n.followLeader(m)
	s := m.Snapshot
	response := record.Message{Kind: record.AppendResponse, To: m.From, Term: n.hardState.Term, Round: m.Round}
	if s == nil || s.Index <= n.commit {
		response.Index = n.commit
		n.send(response)
		return
	}
	if n.log.term(s.Index) == s.Term {
		n.commitTo(s.Index)
		response.Index = s.Index
		n.send(response)
		return
	}
	n.log.reset(s.Index, s.Term)
	n.members.reset(s.Index, s.Membership)
	n.commit = s.Index
	n.delivered = s.Index
	n.stable = s.Index
	n.ready.Truncate = 0
	n.ready.Snapshot = s
	response.Index = s.Index
	n.send(response)
}

func (n *Node) onAppendResponse(m record.Message) {
	p := n.peers[m.From]
	if n.role != leader || p == nil {
		return
	}
	p.active = true
	p.inactiveTicks = 0
	p.ackedRound = max(p.ackedRound, m.Round)
	n.confirmReads()
	if m.Reject {
		p.next = max(p.match+1, min(m.Index+1, p.next-1))
		n.sendAppend(m.From, p)
		return
	}
	p.snapshotPending = 0
	if m.Index > p.match {
		p.match = m.Index
		p.next = max(p.next, m.Index+1)
		n.advanceCommit()
	}
	if p.next <= n.log.lastIndex() {
		n.sendAppend(m.From, p)
	}
}

// advanceCommit commits the entries that a quorum stores. Only an entry of the
// current term is committed by counting; it commits those before it.
func (n *Node) advanceCommit() {
	m := n.members.current()
	var matches []uint64
	for _, k := range m.Voters() {
		matches = append(matches, n.matchIndex(k))
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[len(matches)-m.Quorum()]
	if index <= n.commit || n.log.term(index) != n.hardState.Term {
		return
	}
	n.commit = index
	n.broadcast()
	if !m.IsVoter(n.cfg.ID) && n.members.lastIndex() <= n.commit {
		n.become(follower, n.hardState.Term, "")
	}
}

func (n *Node) matchIndex(k id.Keeper) uint64 {
	if k == n.cfg.ID {
		return n.stable
	}
	if p := n.peers[k]; p != nil {
		return p.match
	}
	return 0
}

// updatePeers adds and removes the progress of peers after a membership change.
func (n *Node) updatePeers() {
	m := n.members.current()
	for _, c := range m.Members {
		if c.ID != n.cfg.ID && n.peers[c.ID] == nil {
			n.peers[c.ID] = &progress{next: n.log.lastIndex() + 1, active: true}
		}
	}
	for k := range n.peers {
		if _, ok := m.Find(k); !ok {
			delete(n.peers, k)
		}
	}
}

// broadcast sends every peer its missing entries, or a heartbeat.
func (n *Node) broadcast() {
	for _, c := range n.members.current().Members {
		if p := n.peers[c.ID]; p != nil {
			n.sendAppend(c.ID, p)
		}
	}
	n.confirmReadsWithoutPeers()
}

// confirmReadsWithoutPeers releases reads in a group whose only member is this
// node, where no response arrives that would do so.
func (n *Node) confirmReadsWithoutPeers() {
	if len(n.peers) == 0 {
		n.confirmReads()
	}
}

func (n *Node) sendAppend(k id.Keeper, p *progress) {
	prev := p.next - 1
	if prev < n.log.base {
		n.sendSnapshot(k, p)
		return
	}
	m := record.Message{
		Kind: record.AppendRequest, To: k, Term: n.hardState.Term,
		Index: prev, LogTerm: n.log.term(prev),
		Entries: n.log.entriesFrom(p.next, maxEntriesPerAppend),
		Commit:  n.commit, Round: n.round,
	}
	p.next += uint64(len(m.Entries))
	n.send(m)
}

func (n *Node) sendSnapshot(k id.Keeper, p *progress) {
	if p.snapshotPending > 0 || n.cfg.Snapshot == nil {
		n.sendProbe(k)
		return
	}
	s := n.cfg.Snapshot()
	if s == nil || s.Index < n.log.base {
		n.sendProbe(k)
		return
	}
	p.snapshotPending = snapshotResendTicks
	p.next = s.Index + 1
	n.send(record.Message{Kind: record.SnapshotRequest, To: k, Term: n.hardState.Term, Snapshot: s, Round: n.round})
}

// sendProbe sends a heartbeat at the base of the log, so that the member does
// not start an election while a snapshot is in transfer.
func (n *Node) sendProbe(k id.Keeper) { n.send(n.probe(k)) }

func (n *Node) probe(k id.Keeper) record.Message {
	return record.Message{
		Kind: record.AppendRequest, From: n.cfg.ID, To: k, Term: n.hardState.Term,
		Index: n.log.base, LogTerm: n.log.baseTerm, Commit: n.commit, Round: n.round,
	}
}

// confirmReads releases the reads whose heartbeat round a quorum has
// acknowledged.
func (n *Node) confirmReads() {
	m := n.members.current()
	for len(n.reads) > 0 {
		r := n.reads[0]
		count := 0
		for _, k := range m.Voters() {
			if k == n.cfg.ID || n.peers[k] != nil && n.peers[k].ackedRound >= r.round {
				count++
			}
		}
		if count < m.Quorum() {
			return
		}
		n.ready.Reads = append(n.ready.Reads, ReadState{Token: r.token, Index: r.index})
		n.reads = n.reads[1:]
	}
}
