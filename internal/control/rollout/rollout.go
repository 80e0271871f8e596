// Package rollout works out, from the agreed state and the agents' reports,
// which orders to give next so that every engine comes to serve the bundle.
package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"egretproxy/internal/control/ledger"
	"egretproxy/internal/control/placement"
	"egretproxy/internal/control/view"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/wire/api"
)

const (
	// capacityHeadroom is the ratio of warm capacity to present load that a switch
	// must leave.
	capacityHeadroom = 1.3
	// maxUnavailableDivisor is the inverse of the part of a failure domain's
	// engines that may be out for a switch at a time.
	maxUnavailableDivisor = 3
	// maxFailures is the number of failed targets that halts a rollout.
	maxFailures = 2
)

// Step is what to do next. The zero value is nothing.
type Step struct {
	Orders []ledger.TargetOrder
	// Halt is the reason to halt the rollout, or empty.
	Halt string
	// Complete tells that every placed engine serves the bundle.
	Complete bool
}

// engine is one engine with what is wanted of it.
type engine struct {
	view.Target
	report  api.Report
	desired view.Assignment
	// withdrawn tells that the engine's failure domain is out of service.
	withdrawn bool
}

func (e engine) serves() bool {
	return e.Phase == view.PhaseServing && e.Installed.Same(e.Assigned)
}

func (e engine) converged() bool {
	return e.serves() && e.Installed.Same(e.desired)
}

// Plan returns the next step towards the bundle that is rolling or, if there
// is none, in force.
func Plan(v *view.View, reports map[id.Target]api.Report) Step {
	goal := v.Rollout.Current
	rolling := v.Rollout.Next != "" && !v.Rollout.Halted
	if rolling {
		goal = v.Rollout.Next
	}
	b, ok := v.Bundles[goal]
	if !ok {
		return Step{}
	}
	engines := placeModels(v, b, reports)
	if rolling {
		if reason := haltReason(engines, goal); reason != "" {
			return Step{Halt: reason}
		}
	}
	if v.Rollout.Halted {
		return Step{Orders: rollBackOrders(engines, v.Rollout.Next)}
	}
	step := Step{Orders: append(stageOrders(engines), switchOrders(engines)...)}
	step.Complete = rolling && len(step.Orders) == 0 && complete(engines)
	return step
}

// placeModels places the bundle's models on the engines.
func placeModels(v *view.View, b view.Bundle, reports map[id.Target]api.Report) []engine {
	var free []placement.Engine
	for _, k := range slices.Sorted(maps.Keys(v.Targets)) {
		t := v.Targets[k]
		if t.Kind != view.TargetEngine || t.Phase == view.PhaseLeaving {
			continue
		}
		free = append(free, placement.Engine{ID: k, Domain: t.Domain, Model: plannedModel(t)})
	}
	plan := placement.Place(b.Models, free)
	var out []engine
	for _, f := range free {
		t := v.Targets[f.ID]
		e := engine{Target: t, report: reports[f.ID], withdrawn: !v.InService(t.Domain)}
		if m, ok := plan[f.ID]; ok {
			spec, _ := b.Model(m)
			e.desired = view.Assignment{Bundle: b.ID, Model: m, Manifest: spec.Manifest}
		}
		out = append(out, e)
	}
	return out
}

// plannedModel returns the model that a target is on its way to, so that a plan
// does not change its mind between two steps.
func plannedModel(t view.Target) id.Model {
	if t.Staged.Model != "" {
		return t.Staged.Model
	}
	return t.Assigned.Model
}

// haltReason returns the reason to halt, or nothing. One failure halts as long as
// no target serves the bundle yet.
func haltReason(engines []engine, goal id.Bundle) string {
	failures, served := 0, 0
	reason := ""
	for _, e := range engines {
		if e.Installed.Bundle == goal && e.serves() {
			served++
		}
		if e.Phase == view.PhaseFailed && e.Assigned.Bundle == goal {
			failures++
			reason = fmt.Sprintf("target %s: %s", e.ID, e.Reason)
		}
	}
	if failures >= maxFailures || failures > 0 && served == 0 {
		return reason
	}
	return ""
}

// rollBackOrders orders failed targets back to the bundle in force.
func rollBackOrders(engines []engine, next id.Bundle) []ledger.TargetOrder {
	var out []ledger.TargetOrder
	for _, e := range engines {
		if e.Phase == view.PhaseFailed && e.Assigned.Bundle == next && e.desired.Model != "" {
			want := e.desired
			out = append(out, ledger.TargetOrder{Target: e.ID, Staged: &want, Assigned: &want})
		}
	}
	return out
}

// stageOrders orders the content to be fetched where that is not done yet.
func stageOrders(engines []engine) []ledger.TargetOrder {
	var out []ledger.TargetOrder
	for _, e := range engines {
		if e.desired.Model == "" || e.Staged.Same(e.desired) {
			continue
		}
		want := e.desired
		out = append(out, ledger.TargetOrder{Target: e.ID, Staged: &want})
	}
	return out
}

// availability counts engines and capacity while switches are chosen.
type availability struct {
	// unavailable is the engines of a failure domain that do not serve yet. A failed
	// engine is not counted, since waiting for it would hold up the rest.
	unavailable map[id.Domain]int
	engines     map[id.Domain]int
	// serving is the engines that serve a model.
	serving  map[id.Model]int
	capacity int
	load     int
}

func countAvailability(engines []engine) availability {
	t := availability{unavailable: map[id.Domain]int{}, engines: map[id.Domain]int{}, serving: map[id.Model]int{}}
	for _, e := range engines {
		t.engines[e.Domain]++
		if e.Phase == view.PhaseFailed {
			continue
		}
		if !e.serves() {
			t.unavailable[e.Domain]++
			continue
		}
		if e.withdrawn {
			continue
		}
		t.serving[e.Installed.Model]++
		t.capacity += e.report.Limit
		t.load += e.report.InFlight
	}
	return t
}

// switchOrders orders engines that hold the whole content to serve it, as many at
// a time as the present load permits.
func switchOrders(engines []engine) []ledger.TargetOrder {
	t := countAvailability(engines)
	ready := slices.Clone(engines)
	slices.SortStableFunc(ready, func(a, b engine) int {
		return cmp.Compare(a.report.InFlight, b.report.InFlight)
	})
	var out []ledger.TargetOrder
	for _, e := range ready {
		if e.desired.Model == "" || e.Assigned.Same(e.desired) || !e.report.Held.Same(e.desired) {
			continue
		}
		if !t.tryTakeOut(e) {
			continue
		}
		want := e.desired
		out = append(out, ledger.TargetOrder{Target: e.ID, Assigned: &want})
	}
	return out
}

// tryTakeOut reports whether the engine may be taken out now, and counts it as out.
func (t *availability) tryTakeOut(e engine) bool {
	if !e.serves() || e.withdrawn {
		return true
	}
	limit := max(1, t.engines[e.Domain]/maxUnavailableDivisor)
	if t.unavailable[e.Domain] >= limit {
		return false
	}
	if t.serving[e.Installed.Model] == 1 && t.totalUnavailable() > 0 {
		return false
	}
	left := float64(t.capacity - e.report.Limit)
	if left < capacityHeadroom*float64(t.load) {
		return false
	}
	t.unavailable[e.Domain]++
	t.serving[e.Installed.Model]--
	t.capacity -= e.report.Limit
	return true
}

// totalUnavailable returns the number of engines that are out.
func (t *availability) totalUnavailable() int {
	n := 0
	for _, c := range t.unavailable {
		n += c
	}
	return n
}

// complete reports whether every placed engine serves what is wanted.
func complete(engines []engine) bool {
	placed := 0
	for _, e := range engines {
		if e.desired.Model == "" {
			continue
		}
		if !e.converged() {
			return false
		}
		placed++
	}
	return placed > 0
}
