package node

import (
	"testing"
	"time"

	"egretproxy/internal/agreement/record"
	"egretproxy/internal/agreement/replica"
	"egretproxy/internal/fleet/id"
)

// awaitMembership waits until a keeper knows a membership that satisfies the
// condition.
func awaitMembership(t *testing.T, k *keeper, what string, holds func(record.Membership) bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !holds(k.Status().Membership); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: membership %+v", what, k.Status().Membership)
		}
	}
}

// TestHoldsQuorumAfterPlannedReplacement guards against a group without a quorum:
// a keeper whose successor has caught up stops as planned, and right after it
// another one loses its disk. The vote of the stopped keeper must have passed to
// its successor by then.
func TestHoldsQuorumAfterPlannedReplacement(t *testing.T) {
	var all []string
	var keepers []*keeper
	for range 4 {
		all = append(all, freeAddress(t))
	}
	for _, a := range all[:3] {
		keepers = append(keepers, startKeeper(t, a, t.TempDir(), all, all[:3]))
	}
	propose(t, keepers[0], 2)
	successor := startKeeper(t, all[3], t.TempDir(), all, nil)
	awaitMembership(t, successor, "successor does not know the group", func(m record.Membership) bool { return len(m.Members) == 4 })
	propose(t, successor, 3)

	keepers[2].stop()
	keepers[1].stop()
	keepers[1] = startKeeper(t, all[1], t.TempDir(), all, nil)

	propose(t, successor, 4)
	awaitMembership(t, keepers[0], "the group is not whole again", func(m record.Membership) bool {
		return len(m.Voters()) == 3 && m.IsVoter(keepers[1].own.ID) && m.IsVoter(successor.own.ID)
	})
}

// TestHoldsPlannedStopKeepsTolerance checks each step in which a learner takes over
// from a voter that leaves: without any one of the remaining voters, a quorum must
// be left.
func TestHoldsPlannedStopKeepsTolerance(t *testing.T) {
	s := membershipState{
		members: membershipOf("a1", "b1", "c1").With(record.Member{ID: "d1", Name: "d", Address: "d"}), requiredVoters: 3,
		lastIndex: 9, matchIndexes: map[id.Keeper]uint64{"d1": 9}, replaceAfter: defaultReplaceAfter,
		joiners: []joiner{{Member: record.Member{ID: "d1", Name: "d", Address: "d"}, durable: true}},
		leavers: map[id.Keeper]bool{"c1": true},
	}
	for step := range 10 {
		if left := len(s.members.Voters()) - 1; left < s.members.Quorum() {
			t.Errorf("step %d: %d voters are left of a quorum of %d after one loss", step, left, s.members.Quorum())
		}
		if len(s.members.Voters()) < s.requiredVoters {
			t.Errorf("step %d: the group has %d voters", step, len(s.members.Voters()))
		}
		next, ok := s.next()
		if !ok {
			break
		}
		s.members = next
	}
	if _, ok := s.members.Find("c1"); ok || !s.members.IsVoter("d1") {
		t.Errorf("membership after the last step: %+v", s.members)
	}
}

// TestHoldsReplacedVoterJoinsAgain guards against a keeper that stays out of the
// group for good: it was replaced while it did not run, so that it was never told,
// and still holds a membership in which it votes.
func TestHoldsReplacedVoterJoinsAgain(t *testing.T) {
	st := replica.Status{Membership: membershipOf("a1", "b1", "c1"), Leader: "a1"}
	if mustRequest(st, "c1", true) {
		t.Error("a voter that follows a leader requests to join")
	}
	st.Leader = ""
	if !mustRequest(st, "c1", true) {
		t.Error("a voter without a leader does not request to join")
	}
}
