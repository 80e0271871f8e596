package keeper

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"egretproxy/internal/agreement/identity"
	"egretproxy/internal/agreement/record"
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
	m, _ = nextMembership(m, joiner, true)
	if _, ok := m.Find("a-first"); ok {
		t.Errorf("the old member was not removed: %+v", m)
	}
	if _, more = nextMembership(m, joiner, true); more {
		t.Error("the replacement is not complete after its last step")
	}
}
