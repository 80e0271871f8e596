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
	// count is the number of replicas by model and failure domain.
	count map[id.Model]map[id.Domain]int
	// sizes is the number of engines in each failure domain.
	sizes map[id.Domain]int
}

// Place returns the plan for the models of a bundle.
func Place(models []view.ModelSpec, engines []Engine) Plan {
	p := &placer{
		engines: slices.Clone(engines), plan: Plan{},
		count: map[id.Model]map[id.Domain]int{}, sizes: map[id.Domain]int{},
	}
	slices.SortFunc(p.engines, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	for _, e := range p.engines {
		p.sizes[e.Domain]++
	}
	wanted := map[id.Model]int{}
	var rest []id.Model
	for _, m := range models {
		p.count[m.Name] = map[id.Domain]int{}
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
	p.share(rest)
	return p.plan
}

// keep retains up to n engines that hold the model already, from the failure
// domains with the fewest kept so far.
func (p *placer) keep(m id.Model, n int) {
	for range n {
		best := p.best(m, func(e Engine) bool { return e.Model == m })
		if best < 0 {
			return
		}
		p.assign(best, m)
	}
}

// fill adds engines until the model has its replicas. Engines that hold no
// wanted model are moved before others.
func (p *placer) fill(m id.Model, wanted map[id.Model]int, rest []id.Model) {
	for p.total(m) < wanted[m] {
		best := p.best(m, func(e Engine) bool { return e.Model == "" })
		if best < 0 {
			best = p.best(m, func(e Engine) bool {
				return wanted[e.Model] == 0 && !slices.Contains(rest, e.Model)
			})
		}
		if best < 0 {
			best = p.best(m, func(Engine) bool { return true })
		}
		if best < 0 {
			return
		}
		p.assign(best, m)
	}
}

// share divides the engines that are left among the models without a number
// of replicas.
func (p *placer) share(rest []id.Model) {
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
		p.keep(m, quota(free, len(rest), i))
	}
	for i, e := range p.engines {
		if p.plan[e.ID] == "" {
			p.assign(i, p.scarcest(rest, e.Domain))
		}
	}
}

// quota divides n among parts as evenly as possible.
func quota(n, parts, part int) int {
	q := n / parts
	if part < n%parts {
		q++
	}
	return q
}

func (p *placer) scarcest(models []id.Model, d id.Domain) id.Model {
	best := models[0]
	for _, m := range models[1:] {
		if p.total(m) < p.total(best) || p.total(m) == p.total(best) && p.count[m][d] < p.count[best][d] {
			best = m
		}
	}
	return best
}

// best returns the index of an unplaced engine that suits, in the failure
// domain with the fewest replicas of the model, or -1.
func (p *placer) best(m id.Model, suits func(Engine) bool) int {
	best := -1
	for i, e := range p.engines {
		if p.plan[e.ID] != "" || !suits(e) {
			continue
		}
		if best < 0 || p.before(m, e.Domain, p.engines[best].Domain) {
			best = i
		}
	}
	return best
}

// before orders failure domains by replicas of the model, then by size.
func (p *placer) before(m id.Model, a, b id.Domain) bool {
	if p.count[m][a] != p.count[m][b] {
		return p.count[m][a] < p.count[m][b]
	}
	return p.sizes[a] > p.sizes[b]
}

func (p *placer) assign(i int, m id.Model) {
	e := p.engines[i]
	p.plan[e.ID] = m
	p.count[m][e.Domain]++
}

func (p *placer) total(m id.Model) int {
	n := 0
	for _, c := range p.count[m] {
		n += c
	}
	return n
}
