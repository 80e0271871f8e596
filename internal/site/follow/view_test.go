package follow

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/site/muster"
)

func lists(all ...[]muster.Target) map[string]*list {
	out := map[string]*list{}
	for i, targets := range all {
		l := &list{}
		l.take("e", 1, targets)
		out[string(rune('a'+i))] = l
	}
	return out
}

// TestMergeOfKeepers joins what keepers heard separately.
func TestMergeOfKeepers(t *testing.T) {
	ready := muster.Target{ID: "t", Address: "x", Born: 5, Sequence: 3, Weights: 1}
	with := func(change func(*muster.Target)) muster.Target {
		out := ready
		change(&out)
		return out
	}
	draining := with(func(t *muster.Target) { t.Stage = muster.Draining; t.Sequence = 4 })
	later := with(func(t *muster.Target) { t.Sequence = 9; t.Weights = 2 })
	gone := with(func(t *muster.Target) { t.Stage = muster.Gone })
	silent := with(func(t *muster.Target) { t.Stage = muster.Silent; t.Sequence = 8 })
	reborn := with(func(t *muster.Target) { t.Born = 6; t.Sequence = 1; t.Weights = 0 })
	other := with(func(t *muster.Target) { t.ID = "u"; t.Born = 7 })
	for name, c := range map[string]struct {
		lists   map[string]*list
		alive   bool
		stage   muster.Stage
		weights int64
	}{
		"draining stays":               {lists([]muster.Target{draining}, []muster.Target{later}), true, muster.Draining, 2},
		"gone stays":                   {lists([]muster.Target{gone}, []muster.Target{later}), false, 0, 0},
		"silent at one keeper only":    {lists([]muster.Target{silent}, []muster.Target{ready}), true, muster.Ready, 1},
		"silent at all":                {lists([]muster.Target{silent}, []muster.Target{silent}), false, 0, 0},
		"reborn after it left":         {lists([]muster.Target{gone}, []muster.Target{reborn}), true, muster.Ready, 0},
		"a younger one at the address": {lists([]muster.Target{ready}, []muster.Target{other}), false, 0, 0},
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
		l := &list{}
		l.take("first", 1, []muster.Target{{ID: "t", Address: "x", Born: 1}})
		l.take("second", 0, nil)
		all := map[string]*list{"k": l}
		if _, ok := merge(all)["t"]; !ok {
			t.Error("target was forgotten at once")
		}
		time.Sleep(muster.SilentAfter + time.Second)
		if _, ok := merge(all)["t"]; ok {
			t.Error("target that no longer announces itself is kept")
		}
	})
}

// TestLeaveWithoutStartTakesTheKnownOne answers a target that leaves at a
// keeper to which it never announced itself.
func TestLeaveWithoutStartTakesTheKnownOne(t *testing.T) {
	f := &Follower{lists: lists([]muster.Target{{ID: "t", Address: "x", Born: 5}})}
	l := &list{}
	l.take("e", 1, f.dated([]muster.Target{{ID: "t", Stage: muster.Gone}}))
	f.lists["z"] = l
	if got, ok := merge(f.lists)[id.Target("t")]; ok {
		t.Errorf("still there: %+v", got)
	}
}

// TestOneTimeoutIsNoLoss answers links that are full for a moment.
func TestOneTimeoutIsNoLoss(t *testing.T) {
	l := link{keeper: "k", lost: true}
	if _, changed := l.note(nil, 1); changed {
		t.Fatal("a keeper that is found for the first time is a change")
	}
	failed := errors.New("timed out")
	if _, changed := l.note(failed, 10); changed {
		t.Error("a single failed call lost a keeper")
	}
	l.note(nil, 11)
	l.note(failed, 20)
	if at, changed := l.note(failed, 30); !changed || at != 20 {
		t.Errorf("lost %v at %d, want the first failed call", changed, at)
	}
}
