package raft

import "egretproxy/internal/agreement/record"

const (
	// syncsPerVote is the number of syncs that a voter may need before it responds: the
	// one in progress and that of its vote.
	syncsPerVote = 2
	// MaxSyncTicks is the longest sync for which the others wait: a candidate for a voter,
	// and a group for a leader.
	MaxSyncTicks = 20
)

// MustSync reports whether there is anything to sync.
func (r Ready) MustSync() bool {
	return r.HardState != nil || r.Snapshot != nil || r.Truncate > 0 || len(r.Entries) > 0
}

// SplitMessages returns the messages that may be sent before the sync, and the others.
// The former are the appends of a leader whose term is on its disk: it counts its own copy
// of an entry only once that is synced.
func (r Ready) SplitMessages() (early, late []record.Message) {
	if r.HardState != nil {
		return nil, r.Messages
	}
	for _, m := range r.Messages {
		if m.Kind == record.AppendRequest {
			early = append(early, m)
			continue
		}
		late = append(late, m)
	}
	return early, late
}

// Heartbeats returns messages that a leader may send while its driver syncs r. There are
// none while the leader's term is not on its disk.
func (n *Node) Heartbeats(r Ready) []record.Message {
	if n.role != leader || r.HardState != nil {
		return nil
	}
	var out []record.Message
	for _, c := range n.members.current().Members {
		if n.peers[c.ID] != nil {
			out = append(out, n.probe(c.ID))
		}
	}
	return out
}

// HeartbeatResponse returns the response that a follower may send while its driver syncs
// r to each append of its leader, with the round of that. It acknowledges only entries
// that are committed and on disk. ok is false if the follower may send none.
func (n *Node) HeartbeatResponse(r Ready) (m record.Message, ok bool) {
	if n.role != follower || n.leader == "" || r.HardState != nil || r.Snapshot != nil {
		return record.Message{}, false
	}
	return record.Message{
		Kind: record.AppendResponse, From: n.cfg.ID, To: n.leader, Term: n.hardState.Term, Index: min(n.commit, n.stable),
	}, true
}

// SyncTook reports how many ticks the sync of the last Ready took. A candidate waits for
// voters whose disks are as slow as its own.
func (n *Node) SyncTook(ticks int) {
	if n.role == candidate {
		n.electionTimeout += syncsPerVote * min(ticks, MaxSyncTicks)
	}
}
