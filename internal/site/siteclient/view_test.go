package siteclient

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/site/discovery"
)

func lists(all ...[]discovery.Target) map[string]*targetList {
	out := map[string]*targetList{}
	for i, targets := range all {
		l := &targetList{}
		l.update("e", 1, targets)
		out[string(rune('a'+i))] = l
	}
	return out
}

// TestMergeOfKeepers joins what keepers heard separately.
func TestMergeOfKeepers(t *testing.T) {
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
	reborn := with(func(t *discovery.Target) { t.Born = 6; t.Sequence = 1; t.Weights = 0 })
	other := with(func(t *discovery.Target) { t.ID = "u"; t.Born = 7 })
	for name, c := range map[string]struct {
		lists   map[string]*targetList
		alive   bool
		stage   discovery.Stage
		weights int64
	}{
		"draining stays":               {lists([]discovery.Target{draining}, []discovery.Target{later}), true, discovery.Draining, 2},
		"gone stays":                   {lists([]discovery.Target{gone}, []discovery.Target{later}), false, 0, 0},
		"silent at one keeper only":    {lists([]discovery.Target{silent}, []discovery.Target{ready}), true, discovery.Ready, 1},
		"silent at all":                {lists([]discovery.Target{silent}, []discovery.Target{silent}), false, 0, 0},
		"reborn after it left":         {lists([]discovery.Target{gone}, []discovery.Target{reborn}), true, discovery.Ready, 0},
		"a younger one at the address": {lists([]discovery.Target{ready}, []discovery.Target{other}), false, 0, 0},
	} {
		got, alive := merge(c.lists)["t"]
		if alive != c.alive || alive && (got.Stage != c.stage || got.Weights != c.weights) {
			t.Errorf("%s: %+v, alive %v", name, got, alive)
		}
	}
}

// TestRestartedKeeperKeepsTargets answers a keeper that lost its soft state.
func TestRestartedKeeperKeepsTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &targetList{}
		l.update("first", 1, []discovery.Target{{ID: "t", Address: "x", Born: 1}})
		l.update("second", 0, nil)
		all := map[string]*targetList{"k": l}
		if _, ok := merge(all)["t"]; !ok {
			t.Error("target was forgotten at once")
		}
		time.Sleep(discovery.SilenceTimeout + time.Second)
		if _, ok := merge(all)["t"]; ok {
			t.Error("target that no longer announces itself is kept")
		}
	})
}

// TestLeaveWithoutStartUsesKnownStart answers a target that leaves at a
// keeper to which it never announced itself.
func TestLeaveWithoutStartUsesKnownStart(t *testing.T) {
	f := &Client{lists: lists([]discovery.Target{{ID: "t", Address: "x", Born: 5}})}
	l := &targetList{}
	l.update("e", 1, f.fillStartTimes([]discovery.Target{{ID: "t", Stage: discovery.Gone}}))
	f.lists["z"] = l
	if got, ok := merge(f.lists)[id.Target("t")]; ok {
		t.Errorf("still there: %+v", got)
	}
}

// TestOneTimeoutIsNoLoss answers links that are full for a moment.
func TestOneTimeoutIsNoLoss(t *testing.T) {
	l := keeperLink{keeper: "k", lost: true}
	if _, changed := l.recordCall(nil, 1); changed {
		t.Fatal("a keeper that is found for the first time is a change")
	}
	failed := errors.New("timed out")
	if _, changed := l.recordCall(failed, 10); changed {
		t.Error("a single failed call lost a keeper")
	}
	l.recordCall(nil, 11)
	l.recordCall(failed, 20)
	if at, changed := l.recordCall(failed, 30); !changed || at != 20 {
		t.Errorf("lost %v at %d, want the first failed call", changed, at)
	}
}
