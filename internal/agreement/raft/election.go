package raft

import (
	"egretproxy/internal/agreement/record"
	"egretproxy/internal/fleet/id"
)

// sequentialTerms is the rule of plain Raft: each election increments the term
// by one, and candidates of the same term may split the vote.
type sequentialTerms struct{}

func (sequentialTerms) Next(current uint64, _ id.Keeper, _ record.Membership) uint64 {
	return current + 1
}

// rankedTermStride is the number of terms that RankedTerms sets aside for one
// round of elections.
const rankedTermStride = 64

// RankedTerms gives each candidate terms of its own, so that a voter may vote
// again in one round for a candidate of higher rank. This is the voting rule
// of the traft design, expressed as a choice of term: the pair of round and
// rank is encoded as one number.
type RankedTerms struct{}

// Next returns the candidate's term in the round after the current one.
func (RankedTerms) Next(current uint64, candidate id.Keeper, m record.Membership) uint64 {
	rank := uint64(0)
	for i, c := range m.Members {
		if c.ID == candidate {
			rank = uint64(i)
		}
	}
	return (current/rankedTermStride+1)*rankedTermStride + rank
}

// campaign requests pre-votes as preCandidate, or votes as candidate. Only the
// latter changes the term.
func (n *Node) campaign(as role) {
	kind := record.PreVoteRequest
	term := n.cfg.Terms.Next(n.hardState.Term, n.cfg.ID, n.members.current())
	if as == candidate {
		kind = record.VoteRequest
		n.become(candidate, term, "")
		n.castVote(n.cfg.ID)
	} else {
		n.role = preCandidate
		n.leader = ""
	}
	n.votes = map[id.Keeper]bool{n.cfg.ID: true}
	if n.countVotes(true) >= n.members.current().Quorum() {
		n.onVotesWon()
		return
	}
	for _, k := range n.members.current().Voters() {
		if k == n.cfg.ID {
			continue
		}
		n.send(record.Message{
			Kind: kind, To: k, Term: term,
			Index: n.log.lastIndex(), LogTerm: n.log.lastTerm(),
		})
	}
}

func (n *Node) onVotesWon() {
	if n.role == preCandidate {
		n.campaign(candidate)
		return
	}
	n.become(leader, n.hardState.Term, n.cfg.ID)
}

func (n *Node) countVotes(granted bool) int {
	count := 0
	for k, v := range n.votes {
		if v == granted && n.members.current().IsVoter(k) {
			count++
		}
	}
	return count
}

// become changes the role. A new term clears the vote.
func (n *Node) become(r role, term uint64, leaderID id.Keeper) {
	if term != n.hardState.Term {
		n.hardState = record.HardState{Term: term}
		n.hardStateChanged = true
	}
	n.role = r
	n.leader = leaderID
	n.reads = nil
	n.votes = nil
	n.resetTimeout()
	if r != leader {
		n.peers = nil
		return
	}
	n.peers = map[id.Keeper]*progress{}
	n.quorumCheckTicks = 0
	n.appendAsLeader(record.KindNoop, nil)
	n.updatePeers()
	if p := n.peers[n.lastLeader]; p != nil {
		p.inactiveTicks = n.lastLeaderTicks
	}
	n.broadcast()
}

func (n *Node) castVote(k id.Keeper) {
	n.hardState.Vote = k
	n.hardStateChanged = true
}

// upToDate reports whether a candidate's log is at least as up to date as the
// local one.
func (n *Node) upToDate(m record.Message) bool {
	if m.LogTerm != n.log.lastTerm() {
		return m.LogTerm > n.log.lastTerm()
	}
	return m.Index >= n.log.lastIndex()
}

// hasActiveLeader reports whether this node leads or had contact with a leader
// within the minimum election timeout. Votes are then refused, so that a
// returning member can't depose a working leader.
func (n *Node) hasActiveLeader() bool {
	return n.role == leader || n.leader != "" && n.elapsedTicks < n.cfg.ElectionTicks
}

func (n *Node) onPreVote(m record.Message) {
	grant := m.Term > n.hardState.Term && n.upToDate(m) && !n.hasActiveLeader()
	n.send(record.Message{Kind: record.PreVoteResponse, To: m.From, Term: m.Term, Reject: !grant})
}

func (n *Node) onPreVoteResponse(m record.Message) {
	if n.role != preCandidate || m.Term != n.cfg.Terms.Next(n.hardState.Term, n.cfg.ID, n.members.current()) {
		return
	}
	n.recordVote(m)
}

func (n *Node) onVote(m record.Message) {
	canVote := n.hardState.Vote == "" && n.leader == "" || n.hardState.Vote == m.From
	grant := m.Term == n.hardState.Term && canVote && n.upToDate(m)
	if grant {
		n.castVote(m.From)
		n.resetTimeout()
	}
	n.send(record.Message{Kind: record.VoteResponse, To: m.From, Term: n.hardState.Term, Reject: !grant})
}

func (n *Node) onVoteResponse(m record.Message) {
	if n.role != candidate || m.Term != n.hardState.Term {
		return
	}
	n.recordVote(m)
}

func (n *Node) recordVote(m record.Message) {
	n.votes[m.From] = !m.Reject
	if n.countVotes(true) >= n.members.current().Quorum() {
		n.onVotesWon()
		return
	}
	if n.countVotes(false) >= n.members.current().Quorum() {
		n.become(follower, n.hardState.Term, "")
	}
}
