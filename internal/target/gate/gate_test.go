package gate_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"egretproxy/internal/control/view"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/request/refusal"
	"egretproxy/internal/target/gate"
)

type fixedLease bool

func (l fixedLease) Valid() bool { return bool(l) }

type fixedLimit int

func (l fixedLimit) Limit() int { return int(l) }

// TestHoldsGateAdmitsInServiceOnly checks that only the serving phase admits
// requests. An engine that warms up has capacity for the agent's warm-up
// requests only.
func TestHoldsGateAdmitsInServiceOnly(t *testing.T) {
	got := map[view.Phase]refusal.Reason{}
	phases := []view.Phase{
		view.PhaseEmpty, view.PhaseDraining, view.PhaseLoading, view.PhaseWarming,
		view.PhaseServing, view.PhaseFailed, view.PhaseLeaving,
	}
	for _, p := range phases {
		g := gate.New(fixedLease(true), fixedLimit(1))
		g.SetInService(true)
		g.SetPhase(p, view.Assignment{Bundle: "v1", Model: "m"})
		if _, ref := g.Admit(gate.Request{Model: "m"}); ref != nil {
			got[p] = ref.Reason
		}
	}
	want := map[view.Phase]refusal.Reason{
		view.PhaseEmpty: refusal.TargetNotServing, view.PhaseDraining: refusal.TargetDraining,
		view.PhaseLoading: refusal.TargetNotServing, view.PhaseWarming: refusal.TargetNotServing,
		view.PhaseFailed: refusal.TargetNotServing, view.PhaseLeaving: refusal.TargetLeaving,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("refusals by phase (-want +got):\n%s", diff)
	}
}

// TestHoldsGateRefusesWhatIsNotPermitted checks the reason of the refusal for
// each violated condition. Each refusal must state that the request did not run.
func TestHoldsGateRefusesWhatIsNotPermitted(t *testing.T) {
	serving := view.Assignment{Bundle: "v1", Model: "m"}
	cases := []struct {
		name      string
		lease     bool
		inService bool
		request   gate.Request
		want      refusal.Reason
	}{
		{"lease expired", false, true, gate.Request{Model: "m"}, refusal.LeaseExpired},
		{"domain withdrawn", true, false, gate.Request{Model: "m"}, refusal.DomainWithdrawn},
		{"other model", true, true, gate.Request{Model: "n"}, refusal.OtherModel},
		{"other bundle", true, true, gate.Request{Model: "m", Bundle: "v2"}, refusal.OtherBundle},
	}
	for _, c := range cases {
		g := gate.New(fixedLease(c.lease), fixedLimit(4))
		g.SetInService(c.inService)
		g.SetPhase(view.PhaseServing, serving)
		if _, ref := g.Admit(c.request); ref == nil || ref.Reason != c.want || ref.Outcome != refusal.NotRun {
			t.Errorf("%s: got %v", c.name, ref)
		}
	}
}

// TestHoldsGateAdmitsEachAttemptOnce checks that the gate refuses requests above
// the limit and repeated attempts, also after the first attempt has ended.
func TestHoldsGateAdmitsEachAttemptOnce(t *testing.T) {
	g := gate.New(fixedLease(true), fixedLimit(2))
	g.SetInService(true)
	g.SetPhase(view.PhaseServing, view.Assignment{})
	var permits []*gate.Permit
	for i := range 2 {
		permit, ref := g.Admit(gate.Request{Attempt: id.Request(fmt.Sprint(i))})
		if ref != nil {
			t.Fatal(ref)
		}
		permits = append(permits, permit)
	}
	if _, ref := g.Admit(gate.Request{Attempt: "2"}); ref == nil || ref.Reason != refusal.TargetFull {
		t.Errorf("a third request got %v", ref)
	}
	permits[0].Release()
	permits[0].Release()
	if _, ref := g.Admit(gate.Request{Attempt: "0"}); ref == nil || ref.Reason != refusal.AttemptSeen {
		t.Errorf("a repeated attempt got %v", ref)
	}
	if got := g.InFlight(); got != 1 {
		t.Errorf("%d requests in progress, want 1", got)
	}
}
