package tender

import (
	"slices"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/site/follow"
	"egretproxy/internal/weights/relay"
)

// fleet is where the engines of a service are and which of them hold a
// version.
type fleet struct {
	own     string
	domain  id.Domain
	origin  id.Domain
	domains map[id.Domain][]string
	// holding is the others that hold the version whole.
	holding map[id.Domain][]string
	held    bool
}

func (t *Tender) fleet(v *follow.View, b relay.Bundle) fleet {
	f := fleet{
		own: t.Settings.Address, domain: t.Settings.Domain, origin: v.Plan.OriginDomain(),
		domains: map[id.Domain][]string{}, holding: map[id.Domain][]string{},
	}
	for _, o := range v.Targets {
		if o.Service != t.Settings.Service {
			continue
		}
		f.domains[o.Domain] = append(f.domains[o.Domain], o.Address)
		if o.Weights == b.Version && o.Address != f.own {
			f.holding[o.Domain] = append(f.holding[o.Domain], o.Address)
			f.held = true
		}
	}
	if len(f.domains[f.origin]) == 0 {
		f.origin = f.first()
	}
	return f
}

// first returns the failure domain whose name comes first, as the place that
// draws from an origin without engines near it.
func (f *fleet) first() id.Domain {
	var out id.Domain
	for d := range f.domains {
		if out == "" || d < out {
			out = d
		}
	}
	return out
}

// chain returns the failure domains in the order in which the piece passes
// through them. The order differs from piece to piece, which shares the work
// of passing pieces on.
func (f *fleet) chain(n int) []id.Domain {
	var names []string
	for d := range f.domains {
		if d != f.origin {
			names = append(names, string(d))
		}
	}
	out := []id.Domain{f.origin}
	for len(names) > 0 {
		next := relay.Assigned(names, n)
		out = append(out, id.Domain(next))
		names = slices.DeleteFunc(names, func(x string) bool { return x == next })
	}
	return out
}

// sources returns whom to ask for a piece, best first: one nearby that holds
// the version, the one nearby that brings the piece in, one elsewhere that
// holds it, and whoever has it earlier in the chain. It is empty for the one
// that draws the piece from the origin.
func (f *fleet) sources(n int) (out []string, drawn bool) {
	add := func(a string) {
		if a != "" && a != f.own && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	for i := range f.holding[f.domain] {
		add(relay.Assigned(f.holding[f.domain], n+i))
	}
	near := relay.Assigned(f.domains[f.domain], n)
	add(near)
	for _, d := range f.chain(n) {
		add(relay.Assigned(f.holding[d], n))
	}
	if f.held {
		return out, false
	}
	// Backwards along the chain, from the domain before the own one.
	chain := f.chain(n)
	for i := slices.Index(chain, f.domain) - 1; i >= 0 && near == f.own; i-- {
		add(relay.Assigned(f.domains[chain[i]], n))
	}
	if near != f.own {
		add(relay.Assigned(f.domains[f.origin], n))
	}
	return out, len(out) > 0
}

// Routes implements relay.Routes.
func (t *Tender) Routes(b relay.Bundle, n int) relay.Sources {
	v := t.Follower.View()
	if v.Plan == nil {
		return relay.Sources{}
	}
	f := t.fleet(v, b)
	var out relay.Sources
	out.Peers, out.OriginAssigned = f.sources(n)
	out.Mirrors = relay.PeerOrder(v.Mirrors(t.Settings.Region), n)
	if len(out.Mirrors) == 0 && relay.Assigned(f.domains[f.domain], n) == f.own {
		// The one that brings the piece into its domain.
		out.Mirrors = relay.PeerOrder(v.Mirrors(""), n)
	}
	return out
}

// Duty puts the pieces first that others get from this process.
func (t *Tender) Duty(b relay.Bundle, n int) int {
	v := t.Follower.View()
	if v.Plan == nil {
		return 0
	}
	f := t.fleet(v, b)
	if f.held || relay.Assigned(f.domains[f.domain], n) != f.own {
		return len(f.domains)
	}
	return max(slices.Index(f.chain(n), f.domain), 0)
}
