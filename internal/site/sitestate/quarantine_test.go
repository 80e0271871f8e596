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
