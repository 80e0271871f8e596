package siteagent

import (
	"testing"
	"time"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/boottime"
	"egretproxy/internal/site/discovery"
	"egretproxy/internal/site/loadreport"
	"egretproxy/internal/site/plan"
	"egretproxy/internal/site/siteclient"
)

// TestPlacesFollowTheLoad checks how many requests an engine of eight slots may
// start. One more than its slots waits at the engine, so that a slot that becomes
// free is used at once.
func TestPlacesFollowTheLoad(t *testing.T) {
	for name, c := range map[string]struct {
		planned, announced int
		load               loadreport.Load
		want               int
	}{
		"idle":                  {8, 8, loadreport.Load{}, 9},
		"nearly full":           {8, 8, loadreport.Load{Active: 7}, 2},
		"full":                  {8, 8, loadreport.Load{Active: 8, Queued: 1}, 0},
		"more than full":        {8, 8, loadreport.Load{Active: 8, Queued: 5}, 0},
		"loads weights":         {8, 8, loadreport.Load{Closed: true}, 0},
		"slots by announcement": {0, 4, loadreport.Load{Active: 1}, 4},
	} {
		v := &siteclient.View{
			Plan: &plan.Plan{Services: map[id.Service]*plan.Service{"s": {Engine: &plan.Engine{Slots: c.planned}}}},
			Targets: map[id.Target]discovery.Target{
				"other": {ID: "other", Address: "b", Slots: 99}, "own": {ID: "own", Address: "a", Slots: c.announced},
			},
		}
		a := &Agent{Settings: Settings{Service: "s", Address: "a"}, Views: fixedView{v}}
		if got, _ := a.places(c.load); got.Free != c.want {
			t.Errorf("%s: %d places, want %d", name, got.Free, c.want)
		}
	}
}

// TestManyPlacesAreDealtLessOften checks that the places of a deal stay valid until
// the next one.
func TestManyPlacesAreDealtLessOften(t *testing.T) {
	v := &siteclient.View{Plan: &plan.Plan{Services: map[id.Service]*plan.Service{"s": {Engine: &plan.Engine{Slots: 8}}}}}
	a := &Agent{Settings: Settings{Service: "s"}, Views: fixedView{v}}
	for _, active := range []int{0, 8} {
		places, interval := a.places(loadreport.Load{Active: active})
		// Deals follow queries, which are reportInterval apart.
		next := max(interval, reportInterval).Truncate(time.Millisecond)
		if rest := next % reportInterval; rest > 0 {
			next += reportInterval - rest
		}
		if places.Valid <= next {
			t.Errorf("%d active: valid for %s, next deal after %s", active, places.Valid, next)
		}
	}
}

// TestSharersKeepAColdEngineUsable checks the number of entries that share an
// engine, which each may send two requests a second while it is cold.
func TestSharersKeepAColdEngineUsable(t *testing.T) {
	for name, c := range map[string]struct {
		cold float64
		want int
	}{
		"no bound": {0, maxSharers}, "usual": {14, 10}, "large": {36, maxSharers}, "small": {1, minSharers},
	} {
		v := &siteclient.View{Plan: &plan.Plan{Services: map[id.Service]*plan.Service{"s": {Engine: &plan.Engine{Slots: 8}, ColdPerSecond: c.cold}}}}
		a := &Agent{Settings: Settings{Service: "s", ColdOverrun: 1.5, ColdAllowance: 5}, Views: fixedView{v}}
		if got := a.sharers(); got != c.want {
			t.Errorf("%s: %d sharers, want %d", name, got, c.want)
		}
	}
	if got := (&Agent{Views: fixedView{&siteclient.View{}}}).sharers(); got != maxSharers {
		t.Errorf("no plan: %d sharers", got)
	}
}

// TestHoldsFewPlacesShortlyBeforeReplacement guards against an engine that gets
// requests from all entries at once shortly before its weights are replaced, so that
// some begin on them too late.
func TestHoldsFewPlacesShortlyBeforeReplacement(t *testing.T) {
	v := &siteclient.View{
		Plan:    &plan.Plan{Services: map[id.Service]*plan.Service{"s": {Engine: &plan.Engine{Model: "m", Slots: 16}}}},
		Weights: []siteclient.WeightsVersion{{Model: "m", Version: 2}},
	}
	a := &Agent{Settings: Settings{Service: "s", WeightsDue: 7 * time.Second}, Views: fixedView{v}}
	for _, c := range []struct {
		age  time.Duration
		held int64
		want int
	}{{5 * time.Second, 1, 17}, {6500 * time.Millisecond, 1, 8}, {6500 * time.Millisecond, 2, 17}} {
		v.Weights[0].Since = boottime.Now() - c.age
		if got, _ := a.places(loadreport.Load{Weights: c.held}); got.Free != c.want {
			t.Errorf("%s after the publication, holding version %d: %d places, want %d", c.age, c.held, got.Free, c.want)
		}
	}
}
