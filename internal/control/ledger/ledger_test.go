package ledger_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"egretproxy/internal/control/ledger"
	"egretproxy/internal/control/view"
	"egretproxy/internal/fleet/id"
)

// TestMain sets a fixed seed, so that the result is the same in each run.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// machine applies encoded changes at increasing log positions.
type machine struct {
	t      *rapid.T
	ledger *ledger.Ledger
	index  uint64
}

func (m *machine) apply(request, operator, name string, c ledger.Change) ledger.Answer {
	e, err := ledger.Encode(name, c)
	if err != nil {
		m.t.Fatal(err)
	}
	e.Request, e.Operator = id.Request(request), id.Operator(operator)
	data, err := ledger.Marshal(e)
	if err != nil {
		m.t.Fatal(err)
	}
	m.index++
	return m.ledger.Apply(m.index, data)
}

func (m *machine) base() id.Version { return m.ledger.View().Rollout.Author.Version }

// random applies a random change. Names come from small ranges, so that changes
// often affect the same objects.
func (m *machine) random() {
	name := func(p string, n int) string { return fmt.Sprintf("%s-%d", p, rapid.IntRange(0, n).Draw(m.t, p)) }
	domain, target, bundle := id.Domain(name("d", 2)), id.Target(name("t", 5)), id.Bundle(name("b", 3))
	session := m.ledger.View().Targets[target].Session
	switch rapid.IntRange(0, 8).Draw(m.t, "change") {
	case 0:
		m.apply("", "", "AnnounceTargets", &ledger.AnnounceTargets{Targets: []view.Target{{ID: target, Domain: domain, Address: "a"}}})
	case 1:
		m.apply("", "", "RemoveTargets", &ledger.RemoveTargets{Targets: []ledger.TargetSession{{Target: target, Session: session}}})
	case 2:
		m.apply("", "", "ReportTargets", &ledger.ReportTargets{Reports: []ledger.TargetReport{{
			TargetSession: ledger.TargetSession{Target: target, Session: session}, Phase: view.PhaseServing,
		}}})
	case 3:
		m.apply("", "", "WithdrawDomain", &ledger.WithdrawDomain{Domain: domain, Base: m.ledger.View().Domains[domain].Author.Version})
	case 4:
		m.apply("", "", "ReturnDomain", &ledger.ReturnDomain{Domain: domain, Base: m.ledger.View().Domains[domain].Author.Version})
	case 5:
		m.apply("", "", "CreateBundle", &ledger.CreateBundle{Bundle: bundle, Models: []view.ModelSpec{{Name: "m", Manifest: "x"}}})
	case 6:
		m.apply("", "", "ApproveBundle", &ledger.ApproveBundle{Bundle: bundle, Base: m.ledger.View().Bundles[bundle].Author.Version})
	case 7:
		m.apply("", "", "RollBundle", &ledger.RollBundle{Bundle: bundle, Base: m.base()})
	case 8:
		m.apply("", "", "CompleteRollout", &ledger.CompleteRollout{Bundle: m.ledger.View().Rollout.Next})
	}
}

var visible = cmpopts.IgnoreFields(view.View{}, "Version", "Newest", "Recent", "Floor")

// TestHoldsDeltasEqualFullView updates holders from random versions by deltas.
// Afterwards they must equal the full view, and their versions never decrease.
func TestHoldsDeltasEqualFullView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{t: t, ledger: &ledger.Ledger{}}
		holders := make([]view.View, 3)
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			m.random()
			h := rapid.IntRange(0, len(holders)-1).Draw(t, "holder")
			before := holders[h].Version
			for holders[h].Version < m.ledger.View().Version {
				holders[h] = holders[h].With(m.ledger.View().Since(holders[h].Version, ""))
			}
			if holders[h].Version < before {
				t.Fatalf("a holder's version decreased from %d to %d", before, holders[h].Version)
			}
			if diff := cmp.Diff(*m.ledger.View(), holders[h], visible, cmpopts.EquateEmpty()); diff != "" {
				t.Fatalf("holder differs (-ledger +holder):\n%s", diff)
			}
		}
	})
}

// TestHoldsLargeDeltasAreSplit updates a holder by more targets than fit in one
// delta, while targets change and are removed.
func TestHoldsLargeDeltasAreSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{t: t, ledger: &ledger.Ledger{}}
		var holder view.View
		parts := 0
		for range 400 {
			target := id.Target(fmt.Sprint(rapid.IntRange(0, 300).Draw(t, "target")))
			if rapid.IntRange(0, 9).Draw(t, "remove") == 0 {
				m.apply("", "", "RemoveTargets", &ledger.RemoveTargets{Targets: []ledger.TargetSession{{Target: target, Session: m.ledger.View().Targets[target].Session}}})
			} else {
				m.apply("", "", "AnnounceTargets", &ledger.AnnounceTargets{Targets: []view.Target{{ID: target, Domain: "d", Address: "a"}}})
			}
			if rapid.IntRange(0, 150).Draw(t, "look") == 0 {
				holder = holder.With(m.ledger.View().Since(holder.Version, ""))
			}
		}
		for holder.Version < m.ledger.View().Version {
			holder = holder.With(m.ledger.View().Since(holder.Version, ""))
			if parts++; parts > 10 {
				t.Fatal("the holder did not reach the current version within 10 deltas")
			}
		}
		if diff := cmp.Diff(*m.ledger.View(), holder, visible, cmpopts.EquateEmpty()); diff != "" {
			t.Fatalf("holder differs (-ledger +holder):\n%s", diff)
		}
	})
}

// TestHoldsResendHasOneEffect resends each change after a snapshot was restored.
// It must get the same answer, and a different change under the same request id
// must be refused.
func TestHoldsResendHasOneEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{t: t, ledger: &ledger.Ledger{}}
		m.apply("", "", "AnnounceTargets", &ledger.AnnounceTargets{Targets: []view.Target{{ID: "t", Domain: "d", Address: "a"}}})
		base := id.Version(0)
		for i := range rapid.IntRange(1, 8).Draw(t, "changes") {
			name, change := "WithdrawDomain", ledger.Change(&ledger.WithdrawDomain{Domain: "d", Base: base})
			if i%2 == 1 {
				name, change = "ReturnDomain", &ledger.ReturnDomain{Domain: "d", Base: base}
			}
			request := fmt.Sprintf("r%d", i)
			first := m.apply(request, "ana", name, change)
			if first.Code != ledger.CodeDone {
				t.Fatalf("%s: %+v", name, first)
			}
			base = first.Version
			data, err := m.ledger.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			m.ledger = &ledger.Ledger{}
			if err := m.ledger.Restore(data); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(first, m.apply(request, "ana", name, change)); diff != "" {
				t.Fatalf("resend (-first +resend):\n%s", diff)
			}
			other := m.apply(request, "ana", "CreateBundle", &ledger.CreateBundle{Bundle: "b"})
			if other.Code != ledger.CodeRequestReuse {
				t.Fatalf("reuse of a request id: %+v", other)
			}
		}
	})
}

// claimModel is a reference model of the claims.
type claimModel struct {
	held map[string]string
	done map[string]bool
}

// TestHoldsOneAttemptIsGranted compares claims with a reference model: at most
// one attempt may run at a time, and none after one has settled.
func TestHoldsOneAttemptIsGranted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{t: t, ledger: &ledger.Ledger{}}
		model := claimModel{held: map[string]string{}, done: map[string]bool{}}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			key := fmt.Sprintf("k%d", rapid.IntRange(0, 2).Draw(t, "key"))
			attempt := fmt.Sprintf("a%d", rapid.IntRange(0, 4).Draw(t, "attempt"))
			k := ledger.ClaimKey{Organisation: "o", Key: key}
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				a := m.apply("", "", "MakeClaim", &ledger.MakeClaim{ClaimKey: k, Attempt: id.Request(attempt), Digest: []byte("d")})
				if a.Claim.Granted && (model.done[key] || model.held[key] != "" && model.held[key] != attempt) {
					t.Fatalf("%s was granted to %s, held by %q, settled %v", key, attempt, model.held[key], model.done[key])
				}
				if a.Claim.Granted {
					model.held[key] = attempt
				}
			case 1:
				a := m.apply("", "", "SettleClaim", &ledger.SettleClaim{ClaimKey: k, Attempt: id.Request(attempt)})
				if a.Code == ledger.CodeDone {
					if model.held[key] != attempt {
						t.Fatalf("%s was settled by %s, held by %q", key, attempt, model.held[key])
					}
					model.done[key] = true
				}
			case 2:
				a := m.apply("", "", "ReleaseClaim", &ledger.ReleaseClaim{ClaimKey: k, Attempt: id.Request(attempt)})
				if a.Code == ledger.CodeDone && model.held[key] == attempt {
					model.held[key] = ""
				}
			}
		}
	})
}
