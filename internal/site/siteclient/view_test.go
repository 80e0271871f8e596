package siteclient

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/boottime"
	"egretproxy/internal/site/discovery"
	"egretproxy/internal/site/watch"
)

func listsOf(all ...[]discovery.Target) map[string]*targetList {
	out := map[string]*targetList{}
	for i, targets := range all {
		l := &targetList{}
		l.update("e", 1, targets)
		out[string(rune('a'+i))] = l
	}
	return out
}

// TestTargetListsAreMerged merges the lists of two keepers whose records of a
// target differ.
func TestTargetListsAreMerged(t *testing.T) {
	ready := discovery.Target{ID: "t", Address: "x", Born: 5, Sequence: 3, Weights: 1}
	with := func(change func(*discovery.Target)) discovery.Target {
		out := ready
		change(&out)
		return out
	}
	draining := with(func(t *discovery.Target) { t.Stage = discovery.Draining; t.Sequence = 4 })
	later := with(func(t *discovery.Target) { t.Sequence = 9; t.Weights = 2 })
	gone := with(func(t *discovery.Target) { t.Stage = discovery.Gone })
	silent := with(func(t *discovery.Target) { t.Stage = discovery.Silent; t.Sequence = 8 })
	restarted := with(func(t *discovery.Target) { t.Born = 6; t.Sequence = 1; t.Weights = 0 })
	other := with(func(t *discovery.Target) { t.ID = "u"; t.Born = 7 })
	for name, c := range map[string]struct {
		lists   map[string]*targetList
		alive   bool
		stage   discovery.Stage
		weights int64
	}{
		"draining stays":                {listsOf([]discovery.Target{draining}, []discovery.Target{later}), true, discovery.Draining, 2},
		"gone stays":                    {listsOf([]discovery.Target{gone}, []discovery.Target{later}), false, 0, 0},
		"silent at one keeper only":     {listsOf([]discovery.Target{silent}, []discovery.Target{ready}), true, discovery.Ready, 1},
		"silent at all":                 {listsOf([]discovery.Target{silent}, []discovery.Target{silent}), false, 0, 0},
		"restarted after it left":       {listsOf([]discovery.Target{gone}, []discovery.Target{restarted}), true, discovery.Ready, 0},
		"younger target at the address": {listsOf([]discovery.Target{ready}, []discovery.Target{other}), false, 0, 0},
	} {
		got, alive := merge(c.lists)["t"]
		if alive != c.alive || alive && (got.Stage != c.stage || got.Weights != c.weights) {
			t.Errorf("%s: %+v, alive %v", name, got, alive)
		}
	}
}

// TestRestartedKeeperKeepsTargets checks that the targets of a keeper that
// restarted without its soft state remain until they had time to announce
// themselves again.
func TestRestartedKeeperKeepsTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &targetList{}
		l.update("first", 1, []discovery.Target{{ID: "t", Address: "x", Born: 1}})
		l.update("second", 0, nil)
		all := map[string]*targetList{"k": l}
		if _, ok := merge(all)["t"]; !ok {
			t.Error("target was removed immediately")
		}
		time.Sleep(discovery.SilenceTimeout + time.Second)
		if _, ok := merge(all)["t"]; ok {
			t.Error("target that no longer announces itself is kept")
		}
	})
}

// TestLeaveWithoutStartUsesKnownStart checks a target that leaves at a keeper
// to which it never announced itself. The start time known from another keeper
// must be used, or the target would stay.
func TestLeaveWithoutStartUsesKnownStart(t *testing.T) {
	c := &Client{lists: listsOf([]discovery.Target{{ID: "t", Address: "x", Born: 5}})}
	l := &targetList{}
	l.update("e", 1, c.fillStartTimes([]discovery.Target{{ID: "t", Stage: discovery.Gone}}))
	c.lists["z"] = l
	if got, ok := merge(c.lists)[id.Target("t")]; ok {
		t.Errorf("target is still present: %+v", got)
	}
}

// TestSingleFailureDoesNotLoseKeeper checks that a single failed call, as caused
// by a briefly saturated link, doesn't mark a keeper as lost.
func TestSingleFailureDoesNotLoseKeeper(t *testing.T) {
	link := keeperLink{keeper: "k", lost: true}
	if _, changed := link.recordCall(nil, 1); changed {
		t.Fatal("first connection to a keeper was reported as a change")
	}
	failed := errors.New("timed out")
	if _, changed := link.recordCall(failed, 10); changed {
		t.Error("keeper was lost after a single failed call")
	}
	link.recordCall(nil, 11)
	link.recordCall(failed, 20)
	if at, changed := link.recordCall(failed, 30); !changed || at != 20 {
		t.Errorf("lost %v at %d, want the first failed call", changed, at)
	}
}

// TestHoldsUnreadNamingKeepsItsAge guards against a process that was frozen while a
// response waited to be read: it counted the ages in the response from when it read
// it, so that a version of weights became required too late.
func TestHoldsUnreadNamingKeepsItsAge(t *testing.T) {
	c := clientOf(1, 1)
	const frozen, held = 4 * time.Second, 500 * time.Millisecond
	sent := boottime.Now() - frozen
	if err := c.applyResponse("k0", sent, nil, &watch.Response{
		Epoch: "e", Position: 1, HeldMs: held.Milliseconds(), Confirmed: true, ConfirmedMs: held.Milliseconds(),
		State: &watch.State{Index: 1, Weights: []watch.WeightsVersion{{Model: "m", Version: 2, AgeMs: 100}}},
	}); err != nil {
		t.Fatal(err)
	}
	want := sent + held - 100*time.Millisecond
	if got := c.View().Weights[0].Since; got != want {
		t.Errorf("version was published %s before it was read, want %s", boottime.Now()-got, boottime.Now()-want)
	}
}
