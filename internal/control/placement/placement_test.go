package placement_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"

	"egretproxy/internal/control/placement"
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

// TestHoldsReplicasAreRepairedWithFewMoves places two models and removes one
// engine after another. Each new plan must restore the number of replicas and
// move at most one engine, and none if the lost engine had the other model.
func TestHoldsReplicasAreRepairedWithFewMoves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(4, 24).Draw(t, "engines")
		domains := rapid.IntRange(1, 4).Draw(t, "domains")
		a := rapid.IntRange(1, n/2).Draw(t, "replicas")
		models := []view.ModelSpec{{Name: "a", Replicas: a}, {Name: "b"}}
		var engines []placement.Engine
		for i := range n {
			engines = append(engines, placement.Engine{
				ID: id.Target(fmt.Sprintf("e%02d", i)), Domain: id.Domain(fmt.Sprintf("d%d", i%domains)),
			})
		}
		applyPlan(engines, placement.Place(models, engines))
		for len(engines) > a {
			lost := rapid.IntRange(0, len(engines)-1).Draw(t, "lost")
			removed := engines[lost]
			engines = append(engines[:lost:lost], engines[lost+1:]...)
			plan := placement.Place(models, engines)
			check(t, engines, plan, a, removed)
			applyPlan(engines, plan)
		}
	})
}

func applyPlan(engines []placement.Engine, plan placement.Plan) {
	for i := range engines {
		engines[i].Model = plan[engines[i].ID]
	}
}

func check(t *rapid.T, engines []placement.Engine, plan placement.Plan, want int, removed placement.Engine) {
	replicas, moves := 0, 0
	for _, e := range engines {
		if plan[e.ID] == "a" {
			replicas++
		}
		if plan[e.ID] != e.Model {
			moves++
		}
	}
	if replicas != want {
		t.Fatalf("model a has %d replicas, want %d", replicas, want)
	}
	maxMoves := 0
	if removed.Model == "a" {
		maxMoves = 1
	}
	if moves > maxMoves {
		t.Fatalf("%d engines were moved after the loss of one with model %q", moves, removed.Model)
	}
}

func TestReplicasAreSpreadOverDomains(t *testing.T) {
	var engines []placement.Engine
	for i := range 12 {
		engines = append(engines, placement.Engine{ID: id.Target(fmt.Sprint(i)), Domain: id.Domain(fmt.Sprint(i / 4))})
	}
	plan := placement.Place([]view.ModelSpec{{Name: "a", Replicas: 6}}, engines)
	count := map[id.Domain]int{}
	for _, e := range engines {
		if plan[e.ID] == "a" {
			count[e.Domain]++
		}
	}
	for d, n := range count {
		if n != 2 {
			t.Errorf("domain %s has %d of 6 replicas", d, n)
		}
	}
}
