package raft

import (
	"egretproxy/internal/agreement/record"
	"egretproxy/internal/fleet/id"
)

// plainTerms numbers candidacies one by one, so that two candidates of the
// same term split the votes.
type plainTerms struct{}

func (plainTerms) Next(current uint64, _ id.Keeper, _ record.Membership) uint64 {
	return current + 1
}

// rankedTermStride is the number of terms that RankedTerms sets aside for one
// round of candidacies.
const rankedTermStride = 64

// RankedTerms gives each candidate terms of its own, so that a voter may vote
// again in one round for a candidate of higher rank. It is the wider vote of
// the traft notes, expressed as a choice of term: the pair of round and rank
// is ordered as one number.
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

// campaign starts a pre-vote or, once that is won, an election.
func (n *Node) campaign(as role) {
	kind := record.PreVoteRequest
	term := n.cfg.Terms.Next(n.hard.Term, n.cfg.ID, n.members.current())
	if as == candidate {
		kind = record.VoteRequest
		n.become(candidate, term, "")
		n.setVote(n.cfg.ID)
	} else {
		n.role = preCandidate
		n.leader = ""
	}
	n.votes = map[id.Keeper]bool{n.cfg.ID: true}
	if n.countVotes(true) >= n.members.current().Quorum() {
		n.wonVotes()
		return
	}
	for _, k := range n.members.current().Voters() {
		if k == n.cfg.ID {
			continue
		}
		n.send(record.Message{
			Kind: kind, To: k, Term: term,
			Index: n.log.last(), LogTerm: n.log.lastTerm(),
		})
	}
}

func (n *Node) wonVotes() {
	if n.role == preCandidate {
		n.campaign(candidate)
		return
	}
	n.become(leader, n.hard.Term, n.cfg.ID)
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

// become changes the role. A higher term forgets the vote.
func (n *Node) become(r role, term uint64, lead id.Keeper) {
	if term != n.hard.Term {
		n.hard = record.HardState{Term: term}
		n.hardChanged = true
	}
	n.role = r
	n.leader = lead
	n.reads = nil
	n.votes = nil
	n.resetTimeout()
	if r != leader {
		n.peers = nil
		return
	}
	n.peers = map[id.Keeper]*progress{}
	n.quorumElapsed = 0
	n.appendOwn(record.KindNoop, nil)
	n.syncPeers()
	n.broadcast()
}

func (n *Node) setVote(k id.Keeper) {
	n.hard.Vote = k
	n.hardChanged = true
}

// upToDate reports whether a candidate's log is at least as new as ours.
func (n *Node) upToDate(m record.Message) bool {
	if m.LogTerm != n.log.lastTerm() {
		return m.LogTerm > n.log.lastTerm()
	}
	return m.Index >= n.log.last()
}

// hearsLeader reports whether a leader was heard within the shortest election
// timeout, so that a candidate must not unsettle it.
func (n *Node) hearsLeader() bool {
	return n.role == leader || n.leader != "" && n.elapsed < n.cfg.ElectionTicks
}

func (n *Node) onPreVote(m record.Message) {
	grant := m.Term > n.hard.Term && n.upToDate(m) && !n.hearsLeader()
	n.send(record.Message{Kind: record.PreVoteAnswer, To: m.From, Term: m.Term, Reject: !grant})
}

func (n *Node) onPreVoteAnswer(m record.Message) {
	if n.role != preCandidate || m.Term != n.cfg.Terms.Next(n.hard.Term, n.cfg.ID, n.members.current()) {
		return
	}
	n.tally(m)
}

func (n *Node) onVote(m record.Message) {
	free := n.hard.Vote == "" && n.leader == "" || n.hard.Vote == m.From
	grant := m.Term == n.hard.Term && free && n.upToDate(m)
	if grant {
		n.setVote(m.From)
		n.resetTimeout()
	}
	n.send(record.Message{Kind: record.VoteAnswer, To: m.From, Term: n.hard.Term, Reject: !grant})
}

func (n *Node) onVoteAnswer(m record.Message) {
	if n.role != candidate || m.Term != n.hard.Term {
		return
	}
	n.tally(m)
}

func (n *Node) tally(m record.Message) {
	n.votes[m.From] = !m.Reject
	if n.countVotes(true) >= n.members.current().Quorum() {
		n.wonVotes()
		return
	}
	if n.countVotes(false) >= n.members.current().Quorum() {
		n.become(follower, n.hard.Term, "")
	}
}
