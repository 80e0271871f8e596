// Package rollout computes the next orders of a rollout from the replicated
// state and the agents' reports.
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
	// capacityHeadroom is the minimum ratio of the remaining warm capacity to
	// the current load after an engine is taken out for a switch.
	capacityHeadroom = 1.3
	// maxUnavailableDivisor limits the engines that may be unavailable at a
	// time: one in this many of a failure domain, but at least one.
	maxUnavailableDivisor = 3
	// maxFailures is the number of failed targets at which a rollout halts.
	maxFailures = 2
)

// Step is the next step of a rollout. The zero value means that there is nothing
// to do.
type Step struct {
	Orders []ledger.TargetOrder
	// Halt is the reason to halt the rollout. It is empty if the rollout goes
	// on.
	Halt string
	// Complete reports that every placed engine serves the bundle.
	Complete bool
}

// engine is an engine with its latest report and its desired content.
type engine struct {
	view.Target
	report  api.Report
	desired view.Assignment
	// withdrawn reports that the engine's failure domain is out of service.
	withdrawn bool
}

func (e engine) serves() bool {
	return e.Phase == view.PhaseServing && e.Installed.SameContent(e.Assigned)
}

func (e engine) converged() bool {
	return e.serves() && e.Installed.SameContent(e.desired)
}

// Plan returns the next step towards the bundle that is being rolled out or, if
// there is none, towards the bundle in force. A halted rollout only gets orders
// that return failed targets to the bundle in force.
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

// placeModels returns the engines, sorted by ID, with the models that the
// placement gives them. Targets that are leaving are left out.
func placeModels(v *view.View, b view.Bundle, reports map[id.Target]api.Report) []engine {
	var eligible []placement.Engine
	for _, k := range slices.Sorted(maps.Keys(v.Targets)) {
		t := v.Targets[k]
		if t.Kind != view.TargetEngine || t.Phase == view.PhaseLeaving {
			continue
		}
		eligible = append(eligible, placement.Engine{ID: k, Domain: t.Domain, Model: plannedModel(t)})
	}
	plan := placement.Place(b.Models, eligible)
	var out []engine
	for _, candidate := range eligible {
		t := v.Targets[candidate.ID]
		e := engine{Target: t, report: reports[candidate.ID], withdrawn: !v.InService(t.Domain)}
		if m, ok := plan[candidate.ID]; ok {
			spec, _ := b.Model(m)
			e.desired = view.Assignment{Bundle: b.ID, Model: m, Manifest: spec.Manifest}
		}
		out = append(out, e)
	}
	return out
}

// plannedModel returns the model that a target is moving to. Placement starts
// from it, so that the plan is stable between two steps.
func plannedModel(t view.Target) id.Model {
	if t.Staged.Model != "" {
		return t.Staged.Model
	}
	return t.Assigned.Model
}

// haltReason returns the reason to halt the rollout, or an empty string. As long
// as no target serves the bundle, a single failure is sufficient.
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

// rollBackOrders returns orders that move failed targets back to the bundle in
// force.
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

// stageOrders returns orders to fetch the desired content for the engines that
// have no such order yet.
func stageOrders(engines []engine) []ledger.TargetOrder {
	var out []ledger.TargetOrder
	for _, e := range engines {
		if e.desired.Model == "" || e.Staged.SameContent(e.desired) {
			continue
		}
		want := e.desired
		out = append(out, ledger.TargetOrder{Target: e.ID, Staged: &want})
	}
	return out
}

// availability counts engines and capacity while engines are selected for a
// switch.
type availability struct {
	// unavailable is the number of engines that do not serve, by failure
	// domain. Failed engines are not counted, since waiting for them would
	// block the rest of the rollout.
	unavailable map[id.Domain]int
	engines     map[id.Domain]int
	// serving is the number of engines that serve, by model.
	serving  map[id.Model]int
	capacity int
	load     int
}

func countAvailability(engines []engine) availability {
	avail := availability{unavailable: map[id.Domain]int{}, engines: map[id.Domain]int{}, serving: map[id.Model]int{}}
	for _, e := range engines {
		avail.engines[e.Domain]++
		if e.Phase == view.PhaseFailed {
			continue
		}
		if !e.serves() {
			avail.unavailable[e.Domain]++
			continue
		}
		if e.withdrawn {
			continue
		}
		avail.serving[e.Installed.Model]++
		avail.capacity += e.report.Limit
		avail.load += e.report.InFlight
	}
	return avail
}

// switchOrders returns orders to serve the desired content for engines that have
// fetched all of it, as many at a time as the current load permits. Engines with
// the fewest requests in flight come first.
func switchOrders(engines []engine) []ledger.TargetOrder {
	avail := countAvailability(engines)
	candidates := slices.Clone(engines)
	slices.SortStableFunc(candidates, func(a, b engine) int {
		return cmp.Compare(a.report.InFlight, b.report.InFlight)
	})
	var out []ledger.TargetOrder
	for _, e := range candidates {
		if e.desired.Model == "" || e.Assigned.SameContent(e.desired) || !e.report.Held.SameContent(e.desired) {
			continue
		}
		if !avail.tryTakeOut(e) {
			continue
		}
		want := e.desired
		out = append(out, ledger.TargetOrder{Target: e.ID, Assigned: &want})
	}
	return out
}

// tryTakeOut reports whether the engine may be taken out of service for a switch
// now. If so, it counts the engine as unavailable.
func (a *availability) tryTakeOut(e engine) bool {
	if !e.serves() || e.withdrawn {
		return true
	}
	limit := max(1, a.engines[e.Domain]/maxUnavailableDivisor)
	if a.unavailable[e.Domain] >= limit {
		return false
	}
	if a.serving[e.Installed.Model] == 1 && a.totalUnavailable() > 0 {
		return false
	}
	remaining := float64(a.capacity - e.report.Limit)
	if remaining < capacityHeadroom*float64(a.load) {
		return false
	}
	a.unavailable[e.Domain]++
	a.serving[e.Installed.Model]--
	a.capacity -= e.report.Limit
	return true
}

// totalUnavailable returns the number of unavailable engines.
func (a *availability) totalUnavailable() int {
	n := 0
	for _, c := range a.unavailable {
		n += c
	}
	return n
}

// complete reports whether at least one engine is placed and every placed engine
// serves its desired content.
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
