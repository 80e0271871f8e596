package keeper

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"egretproxy/internal/agreement/identity"
	"egretproxy/internal/agreement/raft"
	"egretproxy/internal/agreement/record"
	"egretproxy/internal/agreement/replica"
	"egretproxy/internal/fleet/id"
)

// TestHoldsUnresponsiveLearnerDoesNotBecomeVoter goes through the steps of a
// replacement. A learner that never responded must stay a learner, even if the
// log is short.
func TestHoldsUnresponsiveLearnerDoesNotBecomeVoter(t *testing.T) {
	var m record.Membership
	for _, name := range []string{"a", "b", "c"} {
		m = m.With(record.Member{ID: identity.BootstrapID(name), Name: name, Voter: true})
	}
	joiner := record.Member{ID: "a-new", Name: "a"}
	m, _ = nextMembership(m, joiner, caughtUp(0, 10))
	unchanged, more := nextMembership(m, joiner, caughtUp(0, 10))
	if diff := cmp.Diff(m, unchanged); diff != "" || !more {
		t.Errorf("an unresponsive learner changed the membership (-before +after):\n%s", diff)
	}
	m, _ = nextMembership(m, joiner, caughtUp(9, 10))
	if !m.IsVoter("a-new") || len(m.Voters()) != 4 {
		t.Errorf("membership after the learner caught up: %+v", m)
	}
	if _, more = nextMembership(m, joiner, true); more {
		t.Error("the joiner has a further step after it became a voter")
	}
	m, _ = withoutReplaced(leaderStatus(m, 9))
	if _, ok := m.Find("a-first"); ok {
		t.Errorf("the old member was not removed: %+v", m)
	}
	if _, more = withoutReplaced(leaderStatus(m, 9)); more {
		t.Error("the replacement is not complete after its last step")
	}
}

// leaderStatus is the status of leader b, which has committed 9 entries, while
// a-new stores those up to match.
func leaderStatus(m record.Membership, match uint64) replica.Status {
	return replica.Status{
		ID: "b-first", IsLeader: true, Commit: 9, LastIndex: 9, Membership: m,
		MatchIndexes: map[id.Keeper]uint64{"a-new": match}, InactiveTicks: map[id.Keeper]int{},
	}
}

// TestHoldsReplacedMemberStaysUntilSafe guards against the removal of a member
// that may be the only one to hold an acknowledged entry, and of the newer one of
// two members of a name.
func TestHoldsReplacedMemberStaysUntilSafe(t *testing.T) {
	member := func(k id.Keeper, generation uint64, voter bool) record.Member {
		return record.Member{ID: k, Name: "a", Generation: generation, Voter: voter}
	}
	cases := []struct {
		name     string
		old, new record.Member
		match    uint64
		inactive int
		removed  id.Keeper
	}{
		{"new member holds all entries", member("a-first", 0, true), member("a-new", 1, true), 9, 0, "a-first"},
		{"new member lacks an entry", member("a-first", 0, true), member("a-new", 1, true), 8, 0, ""},
		{"new member is silent", member("a-first", 0, true), member("a-new", 1, true), 9, raft.DefaultElectionTicks, ""},
		{"new member is a learner", member("a-first", 0, true), member("a-new", 1, false), 9, 0, ""},
		{"second replacement", member("a-old", 4, true), member("a-new", 5, true), 9, 0, "a-old"},
		{"old member was a learner", member("a-old", 1, false), member("a-new", 2, true), 9, 0, "a-old"},
		{"older log, first replacement", member("a-first", 0, true), member("a-new", 0, true), 9, 0, "a-first"},
		{"older log, order unknown", member("a-old", 0, true), member("a-new", 0, true), 9, 0, ""},
	}
	for _, c := range cases {
		var m record.Membership
		for _, name := range []string{"b", "c"} {
			m = m.With(record.Member{ID: identity.BootstrapID(name), Name: name, Voter: true})
		}
		m = m.With(c.old).With(c.new)
		s := leaderStatus(m, c.match)
		s.InactiveTicks["a-new"] = c.inactive
		want := m
		if c.removed != "" {
			want = m.Without(c.removed)
		}
		got, changes := withoutReplaced(s)
		if diff := cmp.Diff(want, got); diff != "" || changes != (c.removed != "") {
			t.Errorf("%s: changes %t (-want +got):\n%s", c.name, changes, diff)
		}
	}
}
