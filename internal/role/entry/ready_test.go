package entry

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"egretproxy/internal/control/view"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/routing/affinity"
	"egretproxy/internal/routing/policy"
)

// TestHoldsReadyEntryKnowsItsTargets guards against an entry that is ready while it still
// takes in its first view, here for 50 ms, and refuses the requests that it gets for it.
func TestHoldsReadyEntryKnowsItsTargets(t *testing.T) {
	policy.Register("Slow", func(r *rand.Rand) policy.Policy {
		time.Sleep(50 * time.Millisecond)
		return affinity.New(r)
	})
	target := service
	target.Address, target.Start, target.Slots, target.Phase, target.Changed = startAgent(t, echo), "1", 16, view.PhaseServing, 1
	keeper := &fakeKeeper{view: view.View{
		Version: 1, Newest: 1, Floor: 1, Targets: map[id.Target]view.Target{target.ID: target},
		Policy: view.Policy{Routing: "Slow", Changed: 1},
	}}
	res, body, err := startEntryOf(t, listen(t), keeper).call(t, http.MethodPost, "/inventory/ropes", "hi")
	if err != nil || res.StatusCode != http.StatusOK || body != "hi" {
		t.Errorf("got response %v, body %q, error %v", res, body, err)
	}
}
