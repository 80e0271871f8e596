package sitestate

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/site/plan"
)

func apply(t interface{ Fatal(...any) }, m *Machine, index uint64, in Command) {
	data, err := Encode(in)
	if err != nil {
		t.Fatal(err)
	}
	m.Apply(index, data)
}

// TestHoldsHighestVersionStays applies random changes and compares the state
// with a model. The highest version must win, and the first content of a
// version must stay.
func TestHoldsHighestVersionStays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m Machine
		var version plan.Version
		var document string
		withdrawn := map[id.Domain]bool{}
		weights := map[id.Model]int64{}
		for i := range rapid.IntRange(1, 40).Draw(t, "changes") {
			index := uint64(i + 1)
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				v := plan.Version(rapid.IntRange(1, 9).Draw(t, "version"))
				d := rapid.StringN(1, 3, 3).Draw(t, "document")
				apply(t, &m, index, Command{Plan: &PlanChange{Version: v, Document: []byte(d)}})
				if v > version {
					version, document = v, d
				}
			case 1:
				d := id.Domain(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain"))
				out := rapid.Bool().Draw(t, "out")
				apply(t, &m, index, Command{Withdraw: &DomainChange{Domain: d, Out: out}})
				if out {
					withdrawn[d] = true
				} else {
					delete(withdrawn, d)
				}
			case 2:
				v := int64(rapid.IntRange(1, 5).Draw(t, "weights"))
				apply(t, &m, index, Command{Weights: &WeightsChange{Model: "m", Version: v}})
				weights["m"] = max(weights["m"], v)
			default:
				data, err := m.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				m = Machine{}
				if err := m.Restore(data); err != nil {
					t.Fatal(err)
				}
			}
		}
		s := m.State()
		if s.Version != version || string(s.Document) != document {
			t.Fatalf("plan %d %q, want %d %q", s.Version, s.Document, version, document)
		}
		if len(withdrawn) != len(s.Withdrawn) || len(withdrawn) > 0 && !cmp.Equal(withdrawn, s.Withdrawn) {
			t.Fatalf("withdrawn %v, want %v", s.Withdrawn, withdrawn)
		}
		if s.Weights["m"] != weights["m"] {
			t.Fatalf("weights %v, want %v", s.Weights, weights)
		}
	})
}

func TestResentChangeHasNoEffect(t *testing.T) {
	var m Machine
	change := Command{Plan: &PlanChange{Version: 3, Document: []byte("x")}}
	apply(t, &m, 1, change)
	changed := m.Changed()
	apply(t, &m, 2, change)
	select {
	case <-changed:
		t.Error("repeated change woke waiters")
	default:
	}
	if s := m.State(); s.Index != 1 || s.PlanIndex != 1 {
		t.Errorf("position changed: %+v", s)
	}
}

// TestHoldsAgeOfWeightsSurvivesRestart restores a keeper from its snapshot and
// from its log long after a version was published. The version's age must not
// start at zero, or watchers that restart at the same time would extend the
// deadline.
func TestHoldsAgeOfWeightsSurvivesRestart(t *testing.T) {
	published := WeightsChange{Model: "m", Version: 2, NamedMs: time.Now().Add(-time.Minute).UnixMilli()}
	var old Machine
	apply(t, &old, 1, Command{Weights: &published})
	data, err := old.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var restored Machine
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	for name, m := range map[string]*Machine{"log": &old, "snapshot": &restored} {
		if age := m.WeightsVersions()[0].Age; age < time.Minute-maxClockSkew {
			t.Errorf("restored from %s: version is %s old", name, age)
		}
	}
	var fresh Machine
	apply(t, &fresh, 1, Command{Weights: &WeightsChange{Model: "m", Version: 2, NamedMs: time.Now().Add(-2 * time.Second).UnixMilli()}})
	if age := fresh.WeightsVersions()[0].Age; age > time.Second {
		t.Errorf("with a clock skew of 2 s a new version is %s old", age)
	}
}
