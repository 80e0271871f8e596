package keeper

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"egretproxy/internal/agreement/identity"
	"egretproxy/internal/agreement/record"
)

// TestHoldsMuteLearnerDoesNotBecomeVoter takes the steps of a replacement. A
// learner that never answered must wait, even if the log is short.
func TestHoldsMuteLearnerDoesNotBecomeVoter(t *testing.T) {
	var m record.Membership
	for _, name := range []string{"a", "b", "c"} {
		m = m.With(record.Member{ID: identity.BootstrapID(name), Name: name, Voter: true})
	}
	joiner := record.Member{ID: "a-new", Name: "a"}
	m, _ = nextMembership(m, joiner, caughtUp(0, 10))
	waiting, more := nextMembership(m, joiner, caughtUp(0, 10))
	if diff := cmp.Diff(m, waiting); diff != "" || !more {
		t.Errorf("a mute learner changed the membership (-before +after):\n%s", diff)
	}
	m, _ = nextMembership(m, joiner, caughtUp(9, 10))
	if !m.IsVoter("a-new") || len(m.Voters()) != 4 {
		t.Errorf("after it caught up: %+v", m)
	}
	m, _ = nextMembership(m, joiner, true)
	if _, ok := m.Find("a-first"); ok {
		t.Errorf("the old id stays: %+v", m)
	}
	if _, more = nextMembership(m, joiner, true); more {
		t.Error("the replacement never ends")
	}
}
