package raft_test

import (
	"math/rand/v2"
	"testing"

	"egretproxy/internal/agreement/raft"
	"egretproxy/internal/agreement/record"
	"egretproxy/internal/fleet/id"
)

// TestHoldsOldTermEntriesCommitIndirectly checks that a leader does not commit an
// entry of an older term by counting replicas (Raft paper, section 5.4.2). The
// entry commits together with one of the leader's own term.
func TestHoldsOldTermEntriesCommitIndirectly(t *testing.T) {
	var m record.Membership
	for _, k := range []id.Keeper{"a", "b", "c"} {
		m = m.With(record.Member{ID: k, Voter: true})
	}
	snap := &record.Snapshot{Index: 1, Term: 1, Membership: m}
	old := record.Entry{Index: 2, Term: 2, Data: []byte("old")}
	n := raft.New(raft.Config{ID: "a", Rand: rand.New(rand.NewPCG(1, 1))},
		record.HardState{Term: 2}, snap, []record.Entry{old})
	for range 2 * raft.DefaultElectionTicks {
		n.Tick()
	}
	n.Step(record.Message{Kind: record.PreVoteResponse, From: "b", To: "a", Term: 3})
	n.Step(record.Message{Kind: record.VoteResponse, From: "b", To: "a", Term: 3})
	if !n.IsLeader() {
		t.Fatal("no leader")
	}
	n.Advance(n.Ready())
	n.Step(record.Message{Kind: record.AppendResponse, From: "b", To: "a", Term: 3, Index: 2})
	if n.Commit() >= 2 {
		t.Errorf("an entry of an older term is committed at %d", n.Commit())
	}
	n.Step(record.Message{Kind: record.AppendResponse, From: "b", To: "a", Term: 3, Index: 3})
	if n.Commit() != 3 {
		t.Errorf("commit is %d, want 3", n.Commit())
	}
}
