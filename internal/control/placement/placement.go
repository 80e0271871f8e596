// Package placement chooses which engine serves which model of a bundle. It
// moves as few engines as possible, since each move turns one cold, and
// spreads the replicas of a model over failure domains.
package placement

import (
	"cmp"
	"slices"

	"egretproxy/internal/control/view"
	"egretproxy/internal/fleet/id"
)

// Engine is one engine to place a model on.
type Engine struct {
	ID     id.Target
	Domain id.Domain
	// Model is the model that the engine serves or is ordered to serve, or
	// empty.
	Model id.Model
}

// Plan maps engines to models. Engines that are left out stay as they are.
type Plan map[id.Target]id.Model

// placer is the state of one placement.
type placer struct {
	engines []Engine
	plan    Plan
	// replicas is the number of replicas by model and failure domain.
	replicas map[id.Model]map[id.Domain]int
	// domainSizes is the number of engines in each failure domain.
	domainSizes map[id.Domain]int
}

// Place returns the plan for the models of a bundle.
func Place(models []view.ModelSpec, engines []Engine) Plan {
	p := &placer{
		engines: slices.Clone(engines), plan: Plan{},
		replicas: map[id.Model]map[id.Domain]int{}, domainSizes: map[id.Domain]int{},
	}
	slices.SortFunc(p.engines, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	for _, e := range p.engines {
		p.domainSizes[e.Domain]++
	}
	wanted := map[id.Model]int{}
	var rest []id.Model
	for _, m := range models {
		p.replicas[m.Name] = map[id.Domain]int{}
		if m.Replicas == 0 {
			rest = append(rest, m.Name)
			continue
		}
		wanted[m.Name] = m.Replicas
	}
	for _, m := range models {
		if m.Replicas > 0 {
			p.keep(m.Name, m.Replicas)
		}
	}
	for _, m := range models {
		if m.Replicas > 0 {
			p.fill(m.Name, wanted, rest)
		}
	}
	p.distribute(rest)
	return p.plan
}

// keep retains up to n engines that hold the model already, from the failure
// domains with the fewest kept so far.
func (p *placer) keep(m id.Model, n int) {
	for range n {
		best := p.pick(m, func(e Engine) bool { return e.Model == m })
		if best < 0 {
			return
		}
		p.assign(best, m)
	}
}

// fill adds engines until the model has its replicas. Engines that hold no
// wanted model are moved before others.
func (p *placer) fill(m id.Model, wanted map[id.Model]int, rest []id.Model) {
	for p.totalReplicas(m) < wanted[m] {
		best := p.pick(m, func(e Engine) bool { return e.Model == "" })
		if best < 0 {
			best = p.pick(m, func(e Engine) bool {
				return wanted[e.Model] == 0 && !slices.Contains(rest, e.Model)
			})
		}
		if best < 0 {
			best = p.pick(m, func(Engine) bool { return true })
		}
		if best < 0 {
			return
		}
		p.assign(best, m)
	}
}

// distribute divides the engines that are left among the models without a number
// of replicas.
func (p *placer) distribute(rest []id.Model) {
	if len(rest) == 0 {
		return
	}
	free := 0
	for _, e := range p.engines {
		if p.plan[e.ID] == "" {
			free++
		}
	}
	for i, m := range rest {
		p.keep(m, evenShare(free, len(rest), i))
	}
	for i, e := range p.engines {
		if p.plan[e.ID] == "" {
			p.assign(i, p.leastReplicated(rest, e.Domain))
		}
	}
}

// evenShare divides n among parts as evenly as possible.
func evenShare(n, parts, part int) int {
	q := n / parts
	if part < n%parts {
		q++
	}
	return q
}

func (p *placer) leastReplicated(models []id.Model, d id.Domain) id.Model {
	best := models[0]
	for _, m := range models[1:] {
		if p.totalReplicas(m) < p.totalReplicas(best) || p.totalReplicas(m) == p.totalReplicas(best) && p.replicas[m][d] < p.replicas[best][d] {
			best = m
		}
	}
	return best
}

// pick returns the index of an unplaced engine that suits, in the failure
// domain with the fewest replicas of the model, or -1.
func (p *placer) pick(m id.Model, suits func(Engine) bool) int {
	best := -1
	for i, e := range p.engines {
		if p.plan[e.ID] != "" || !suits(e) {
			continue
		}
		if best < 0 || p.preferDomain(m, e.Domain, p.engines[best].Domain) {
			best = i
		}
	}
	return best
}

// preferDomain orders failure domains by replicas of the model, then by size.
func (p *placer) preferDomain(m id.Model, a, b id.Domain) bool {
	if p.replicas[m][a] != p.replicas[m][b] {
		return p.replicas[m][a] < p.replicas[m][b]
	}
	return p.domainSizes[a] > p.domainSizes[b]
}

func (p *placer) assign(i int, m id.Model) {
	e := p.engines[i]
	p.plan[e.ID] = m
	p.replicas[m][e.Domain]++
}

func (p *placer) totalReplicas(m id.Model) int {
	n := 0
	for _, c := range p.replicas[m] {
		n += c
	}
	return n
}
