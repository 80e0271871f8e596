package siteagent

import (
	"slices"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/site/siteclient"
	"egretproxy/internal/weights/relay"
)

// topology is where the engines of a service are and which of them hold a
// version.
type topology struct {
	self    string
	domain  id.Domain
	origin  id.Domain
	domains map[id.Domain][]string
	// holders is the others that hold the version whole.
	holders   map[id.Domain][]string
	hasHolder bool
}

func (t *Agent) topology(v *siteclient.View, b relay.Bundle) topology {
	f := topology{
		self: t.Settings.Address, domain: t.Settings.Domain, origin: v.Plan.OriginDomain(),
		domains: map[id.Domain][]string{}, holders: map[id.Domain][]string{},
	}
	for _, o := range v.Targets {
		if o.Service != t.Settings.Service {
			continue
		}
		f.domains[o.Domain] = append(f.domains[o.Domain], o.Address)
		if o.Weights == b.Version && o.Address != f.self {
			f.holders[o.Domain] = append(f.holders[o.Domain], o.Address)
			f.hasHolder = true
		}
	}
	if len(f.domains[f.origin]) == 0 {
		f.origin = f.firstDomain()
	}
	return f
}

// firstDomain returns the failure domain whose name comes firstDomain, as the place that
// draws from an origin without engines near it.
func (f *topology) firstDomain() id.Domain {
	var out id.Domain
	for d := range f.domains {
		if out == "" || d < out {
			out = d
		}
	}
	return out
}

// domainChain returns the failure domains in the order in which the piece passes
// through them. The order differs from piece to piece, which shares the work
// of passing pieces on.
func (f *topology) domainChain(n int) []id.Domain {
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
func (f *topology) sources(n int) (out []string, drawn bool) {
	add := func(a string) {
		if a != "" && a != f.self && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	for i := range f.holders[f.domain] {
		add(relay.Assigned(f.holders[f.domain], n+i))
	}
	near := relay.Assigned(f.domains[f.domain], n)
	add(near)
	for _, d := range f.domainChain(n) {
		add(relay.Assigned(f.holders[d], n))
	}
	if f.hasHolder {
		return out, false
	}
	// Backwards along the chain, from the domain before the own one.
	chain := f.domainChain(n)
	for i := slices.Index(chain, f.domain) - 1; i >= 0 && near == f.self; i-- {
		add(relay.Assigned(f.domains[chain[i]], n))
	}
	if near != f.self {
		add(relay.Assigned(f.domains[f.origin], n))
	}
	return out, len(out) > 0
}

// Routes implements relay.Routes.
func (t *Agent) Routes(b relay.Bundle, n int) relay.Sources {
	v := t.Views.View()
	if v.Plan == nil {
		return relay.Sources{}
	}
	f := t.topology(v, b)
	var out relay.Sources
	out.Peers, out.OriginAssigned = f.sources(n)
	out.Mirrors = relay.PeerOrder(v.Mirrors(t.Settings.Region), n)
	if len(out.Mirrors) == 0 && relay.Assigned(f.domains[f.domain], n) == f.self {
		// The one that brings the piece into its domain.
		out.Mirrors = relay.PeerOrder(v.Mirrors(""), n)
	}
	return out
}

// Priority puts the pieces first that others get from this process.
func (t *Agent) Priority(b relay.Bundle, n int) int {
	v := t.Views.View()
	if v.Plan == nil {
		return 0
	}
	f := t.topology(v, b)
	if f.hasHolder || relay.Assigned(f.domains[f.domain], n) != f.self {
		return len(f.domains)
	}
	return max(slices.Index(f.domainChain(n), f.domain), 0)
}
