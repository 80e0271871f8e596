package raft

import (
	"testing"

	"egretproxy/internal/agreement/record"
	"egretproxy/internal/fleet/id"
)

// TestHoldsNewLeaderKnowsSilenceOfTheLast guards against a lost leader whose seat is
// not passed on in time: each new leader counted its silence from its own election.
func TestHoldsNewLeaderKnowsSilenceOfTheLast(t *testing.T) {
	n := newMember(membersOf([]id.Keeper{"a", "b", "c"}, nil))
	n.Step(record.Message{Kind: record.AppendRequest, From: "c", To: "a", Term: 1, Index: 1, LogTerm: 1, Commit: 1})
	ticks := 0
	for ; !n.IsLeader(); ticks++ {
		if ticks > 100 {
			t.Fatal("no election within 100 ticks")
		}
		n.Tick()
		for _, out := range n.Ready().Messages {
			switch out.Kind {
			case record.PreVoteRequest:
				n.Step(record.Message{Kind: record.PreVoteResponse, From: "b", To: "a", Term: out.Term})
			case record.VoteRequest:
				n.Step(record.Message{Kind: record.VoteResponse, From: "b", To: "a", Term: out.Term})
			}
		}
	}
	silent := n.InactiveTicks()
	if silent["c"] < ticks-1 || silent["b"] > 1 {
		t.Errorf("%d ticks after the last message of the leader before: silent for %v", ticks, silent)
	}
}
