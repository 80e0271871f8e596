package sitestate

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/site/evidence"
	"egretproxy/internal/site/quarantine"
)

func applyQuarantine(t *testing.T, m *Machine, index uint64, c QuarantineChange) {
	t.Helper()
	data, err := Encode(Command{Quarantine: &c})
	if err != nil {
		t.Fatal(err)
	}
	m.Apply(index, data)
}

func verdictOn(parts ...id.PromptPart) QuarantineChange {
	return QuarantineChange{Verdict: &quarantine.Verdict{Parts: parts, Ends: 3, ChangedMs: 1}}
}

// TestHoldsVerdictsSurvive guards against verdicts that a restart of all keepers
// loses, and checks each change.
func TestHoldsVerdictsSurvive(t *testing.T) {
	var m Machine
	for i, c := range []QuarantineChange{
		verdictOn("a", "b"), verdictOn("c", "d"), verdictOn("e"), verdictOn("f"),
		verdictOn("a"),        // replaces the verdict on both
		verdictOn("a", "x"),   // adds nothing
		{Harmless: "c"},       // leaves d
		{Lift: "e"},           // lifts it
		{Harmless: "unknown"}, // has no effect
	} {
		applyQuarantine(t, &m, uint64(i+1), c)
	}
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var restored Machine
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	want := [][]id.PromptPart{{"d"}, {"f"}, {"a"}}
	for name, s := range map[string]State{"applied": m.State(), "restored": restored.State()} {
		var got [][]id.PromptPart
		for _, v := range s.Quarantine {
			got = append(got, v.Parts)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
	if m.State().Index != 8 {
		t.Errorf("position %d after a change without effect", m.State().Index)
	}
}

// TestHoldsTestIsGrantedOnce guards against two entries that test a verdict at the
// same time, and against a proposal that is stored twice.
func TestHoldsTestIsGrantedOnce(t *testing.T) {
	var m Machine
	applyQuarantine(t, &m, 1, verdictOn("a"))
	v := m.State().Quarantine[0]
	for i, test := range []evidence.Test{
		{Key: v.Key(), Number: 1, Holder: "first"},
		{Key: v.Key(), Number: 1, Holder: "second"},
		{Key: v.Key(), Number: 1, Holder: "first"},
		{Key: v.Key(), Number: 3, Holder: "third"},
		{Key: "other", Number: 2},
	} {
		applyQuarantine(t, &m, uint64(i+2), QuarantineChange{Test: &test, ChangedMs: int64(10 + i)})
	}
	want := quarantine.Verdict{Parts: []id.PromptPart{"a"}, Ends: 3, Tests: 1, Holder: "first", ChangedMs: 10}
	if diff := cmp.Diff(want, m.State().Quarantine[0]); diff != "" {
		t.Error(diff)
	}
	if v.Tests != 0 {
		t.Error("a change altered a copy of the state")
	}
}

// TestVerdictsAreBounded checks that a further verdict replaces the oldest.
func TestVerdictsAreBounded(t *testing.T) {
	var m Machine
	for i := range 2 * maxVerdicts {
		applyQuarantine(t, &m, uint64(i+1), verdictOn(id.PromptPart(fmt.Sprint(i))))
	}
	s := m.State()
	if len(s.Quarantine) != maxVerdicts || s.Quarantine[0].Parts[0] != id.PromptPart(fmt.Sprint(maxVerdicts)) {
		t.Errorf("%d verdicts, the first on %v", len(s.Quarantine), s.Quarantine[0].Parts)
	}
}

// TestHoldsClearedPartIsNotShutOutAgain guards against a verdict that a keeper found
// before its parts were cleared and proposed late, for example while the leader was
// frozen: it was in force again after the operator had lifted it, or a response had shown
// the part to be harmless. A test of the verdict before uses up none of the next one.
func TestHoldsClearedPartIsNotShutOutAgain(t *testing.T) {
	for name, clears := range map[string][]QuarantineChange{
		"lifted":   {{Lift: "a"}},
		"harmless": {{Harmless: "a"}, {Harmless: "b"}},
	} {
		t.Run(name, func(t *testing.T) {
			var m Machine
			index := uint64(0)
			step := func(c QuarantineChange, after uint64) {
				index++
				c.After = &after
				applyQuarantine(t, &m, index, c)
			}
			step(verdictOn("a", "b"), 0)
			found := index
			for _, c := range clears {
				step(c, index)
			}
			step(verdictOn("a", "b"), found)
			if got := m.State().Quarantine; len(got) > 0 {
				t.Errorf("verdict that was found before is in force: %+v", got)
			}
			step(verdictOn("a", "b"), index)
			if got := m.State().Quarantine; len(got) != 1 {
				t.Errorf("verdict that was found after is not in force: %+v", got)
			}
			test := QuarantineChange{Test: &evidence.Test{Key: m.State().Quarantine[0].Key(), Number: 1, Holder: "h"}}
			step(test, found)
			if got := m.State().Quarantine[0].Holder; got != "" {
				t.Errorf("test of the verdict before was granted to %q", got)
			}
			step(test, index)
			if got := m.State().Quarantine[0].Holder; got != "h" {
				t.Errorf("test was granted to %q", got)
			}
		})
	}
}

// TestClearedPartsAreBounded checks that the state forgets those cleared first.
func TestClearedPartsAreBounded(t *testing.T) {
	var m Machine
	for i := range maxCleared + 10 {
		p := id.PromptPart(fmt.Sprint(i))
		applyQuarantine(t, &m, uint64(2*i+1), verdictOn(p))
		applyQuarantine(t, &m, uint64(2*i+2), QuarantineChange{Lift: p})
	}
	cleared := m.State().ClearedIndex
	if len(cleared) != maxCleared || cleared["9"] != 0 || cleared["10"] == 0 {
		t.Errorf("%d parts, the tenth at %d, the eleventh at %d", len(cleared), cleared["9"], cleared["10"])
	}
}
