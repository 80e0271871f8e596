package raft

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"egretproxy/internal/agreement/record"
	"egretproxy/internal/fleet/id"
)

func membersOf(voters, learners []id.Keeper) record.Membership {
	var m record.Membership
	for _, k := range voters {
		m = m.With(record.Member{ID: k, Name: string(k), Address: string(k), Voter: true})
	}
	for _, k := range learners {
		m = m.With(record.Member{ID: k, Name: string(k), Address: string(k)})
	}
	return m
}

func newMember(m record.Membership) *Node {
	snap := &record.Snapshot{Index: 1, Term: 1, Membership: m}
	return New(Config{ID: "a", Rand: rand.New(rand.NewPCG(1, 1))}, record.HardState{Term: 1}, snap, nil)
}

// TestHoldsLeaderWaitsForItsTerm guards against entries of a term that its only voter
// forgets in a crash, and then fills with others.
func TestHoldsLeaderWaitsForItsTerm(t *testing.T) {
	n := newMember(membersOf([]id.Keeper{"a"}, []id.Keeper{"b"}))
	for !n.IsLeader() {
		n.Tick()
	}
	r := n.Ready()
	early, late := r.SplitMessages()
	if r.HardState == nil || len(early) > 0 || len(late) == 0 || len(n.Heartbeats(r)) > 0 {
		t.Errorf("term %+v is not on disk: %d messages before the sync, %d after it, %d heartbeats",
			r.HardState, len(early), len(late), len(n.Heartbeats(r)))
	}
	n.Advance(r)
	n.Propose([][]byte{{1}})
	r = n.Ready()
	if early, _ := r.SplitMessages(); r.HardState != nil || len(early) == 0 || len(n.Heartbeats(r)) != 1 {
		t.Errorf("term is on disk: %d messages before the sync, %d heartbeats; want some and 1", len(early), len(n.Heartbeats(r)))
	}
}

// TestHoldsSyncingFollowerAcknowledgesOnlySynced guards against a follower that
// acknowledges entries, a snapshot or a term while its disk still writes them.
func TestHoldsSyncingFollowerAcknowledgesOnlySynced(t *testing.T) {
	entry := func(i uint64) record.Entry { return record.Entry{Index: i, Term: 1, Kind: record.KindCommand} }
	request := record.Message{Kind: record.AppendRequest, From: "c", To: "a", Term: 1, Index: 1, LogTerm: 1, Commit: 1}
	follow := func(sent ...record.Message) (*Node, Ready) {
		n := newMember(membersOf([]id.Keeper{"a", "b", "c"}, nil))
		n.Step(request)
		n.Advance(n.Ready())
		for _, m := range sent {
			n.Step(m)
		}
		return n, n.Ready()
	}
	with := func(change func(*record.Message)) record.Message {
		m := request
		change(&m)
		return m
	}
	answer := record.Message{Kind: record.AppendResponse, From: "a", To: "c", Term: 1, Index: 1}
	for _, c := range []struct {
		what string
		sent record.Message
		want *record.Message
	}{
		{"entries that are not committed", with(func(m *record.Message) { m.Entries = []record.Entry{entry(2), entry(3)} }), &answer},
		{"entries that are committed", with(func(m *record.Message) { m.Entries, m.Commit = []record.Entry{entry(2), entry(3)}, 3 }), &answer},
		{"a term", with(func(m *record.Message) { m.Term, m.Entries = 2, []record.Entry{entry(2)} }), nil},
		{"a snapshot", with(func(m *record.Message) {
			m.Kind, m.Snapshot = record.SnapshotRequest, &record.Snapshot{Index: 9, Term: 1, Membership: membersOf([]id.Keeper{"a", "b", "c"}, nil)}
		}), nil},
	} {
		n, r := follow(c.sent)
		var got *record.Message
		if m, ok := n.HeartbeatResponse(r); ok {
			got = &m
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("response during the sync of %s (-want +got):\n%s", c.what, diff)
		}
	}
}

// TestHoldsCandidateWithHungDiskTriesAgain guards against a group without a leader: a
// candidate whose own disk had hung waited for lost votes for as long again.
func TestHoldsCandidateWithHungDiskTriesAgain(t *testing.T) {
	n := newMember(membersOf([]id.Keeper{"a", "b", "c"}, nil))
	requests := func(kind record.MessageKind) bool {
		r := n.Ready()
		n.Advance(r)
		return slices.ContainsFunc(r.Messages, func(m record.Message) bool { return m.Kind == kind })
	}
	for !requests(record.PreVoteRequest) {
		n.Tick()
	}
	n.Step(record.Message{Kind: record.PreVoteResponse, From: "b", To: "a", Term: 2})
	if !requests(record.VoteRequest) {
		t.Fatal("no candidate after a quorum of pre-votes")
	}
	const hung, bound = 10_000, 100
	n.SyncTook(hung)
	for ticks := 0; !requests(record.PreVoteRequest); ticks++ {
		if ticks > bound {
			t.Fatalf("no further election within %d ticks", bound)
		}
		n.Tick()
	}
}
