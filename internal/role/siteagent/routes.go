package siteagent

import (
	"slices"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/site/siteclient"
	"egretproxy/internal/weights/relay"
)

// topology describes where the engines of a service run and which of them hold
// a version of weights.
type topology struct {
	self    string
	domain  id.Domain
	origin  id.Domain
	domains map[id.Domain][]string
	// holders are the other engines that hold the complete version.
	holders   map[id.Domain][]string
	hasHolder bool
}

func (a *Agent) topology(v *siteclient.View, b relay.Bundle) topology {
	t := topology{
		self: a.Settings.Address, domain: a.Settings.Domain, origin: v.Plan.OriginDomain(),
		domains: map[id.Domain][]string{}, holders: map[id.Domain][]string{},
	}
	for _, o := range v.Targets {
		if o.Service != a.Settings.Service {
			continue
		}
		t.domains[o.Domain] = append(t.domains[o.Domain], o.Address)
		if o.Weights == b.Version && o.Address != t.self {
			t.holders[o.Domain] = append(t.holders[o.Domain], o.Address)
			t.hasHolder = true
		}
	}
	if len(t.domains[t.origin]) == 0 {
		t.origin = t.firstDomain()
	}
	return t
}

// firstDomain returns the alphabetically first failure domain. It stands in for
// the origin's domain if no engines run there.
func (t *topology) firstDomain() id.Domain {
	var out id.Domain
	for d := range t.domains {
		if out == "" || d < out {
			out = d
		}
	}
	return out
}

// domainChain returns the failure domains in the order in which they receive
// piece n, beginning with the origin's. The order differs between pieces to
// spread the load of forwarding them.
func (t *topology) domainChain(n int) []id.Domain {
	var names []string
	for d := range t.domains {
		if d != t.origin {
			names = append(names, string(d))
		}
	}
	out := []id.Domain{t.origin}
	for len(names) > 0 {
		next := relay.Assigned(names, n)
		out = append(out, id.Domain(next))
		names = slices.DeleteFunc(names, func(x string) bool { return x == next })
	}
	return out
}

// sources returns the peers to ask for piece n, in order of preference: a
// holder of the version in the same domain, the engine assigned to fetch the
// piece into this domain, holders in other domains, and the assigned engines of
// domains earlier in the chain. It is empty for the engine that fetches the
// piece from the origin. originAssigned reports whether another engine is
// assigned to fetch the piece from the origin.
func (t *topology) sources(n int) (out []string, originAssigned bool) {
	add := func(a string) {
		if a != "" && a != t.self && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	for i := range t.holders[t.domain] {
		add(relay.Assigned(t.holders[t.domain], n+i))
	}
	local := relay.Assigned(t.domains[t.domain], n)
	add(local)
	for _, d := range t.domainChain(n) {
		add(relay.Assigned(t.holders[d], n))
	}
	if t.hasHolder {
		return out, false
	}
	// Walk the chain backwards, starting at the domain before this one.
	chain := t.domainChain(n)
	for i := slices.Index(chain, t.domain) - 1; i >= 0 && local == t.self; i-- {
		add(relay.Assigned(t.domains[chain[i]], n))
	}
	if local != t.self {
		add(relay.Assigned(t.domains[t.origin], n))
	}
	return out, len(out) > 0
}

// Routes returns the sources of piece n for relay.Routes.
func (a *Agent) Routes(b relay.Bundle, n int) relay.Sources {
	v := a.Views.View()
	if v.Plan == nil {
		return relay.Sources{}
	}
	t := a.topology(v, b)
	var out relay.Sources
	out.Peers, out.OriginAssigned = t.sources(n)
	out.Mirrors = relay.PeerOrder(v.Mirrors(a.Settings.Region), n)
	if len(out.Mirrors) == 0 && relay.Assigned(t.domains[t.domain], n) == t.self {
		// This engine is assigned to fetch the piece into its domain.
		out.Mirrors = relay.PeerOrder(v.Mirrors(""), n)
	}
	return out
}

// Priority returns the rank of piece n, where 0 is fetched first. The pieces
// that other engines get through this process rank highest.
func (a *Agent) Priority(b relay.Bundle, n int) int {
	v := a.Views.View()
	if v.Plan == nil {
		return 0
	}
	t := a.topology(v, b)
	if t.hasHolder || relay.Assigned(t.domains[t.domain], n) != t.self {
		return len(t.domains)
	}
	return max(slices.Index(t.domainChain(n), t.domain), 0)
}
