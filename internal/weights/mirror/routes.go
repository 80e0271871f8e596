package mirror

import (
	"slices"

	"egretproxy/internal/site/siteclient"
	"egretproxy/internal/weights/relay"
)

// Routes implements relay.Routes. A piece comes from an engine of the region
// that holds the version, or else from the mirror of the region that brings
// the piece in, which has it from a mirror in the origin's region, which draws
// it from the origin.
func (m *Mirror) Routes(b relay.Bundle, n int) relay.Sources {
	v := m.Follower.View()
	if v.Plan == nil {
		return relay.Sources{}
	}
	if holders := m.holders(v, b); len(holders) > 0 {
		return relay.Sources{Peers: relay.PeerOrder(holders, n)}
	}
	home := m.Regions[v.Plan.OriginDomain()]
	near := v.Mirrors(m.Region)
	first := relay.Assigned(near, n)
	if first != m.Address && first != "" {
		return m.viaMirrors(append(relay.PeerOrder(near, n), relay.PeerOrder(v.Mirrors(home), n)...))
	}
	if m.Region == home {
		return relay.Sources{}
	}
	if far := v.Mirrors(home); len(far) > 0 {
		return m.viaMirrors(relay.PeerOrder(far, n))
	}
	if drawer := relay.Assigned(v.Mirrors(""), n); drawer != m.Address && drawer != "" {
		return m.viaMirrors([]string{drawer})
	}
	return relay.Sources{}
}

func (m *Mirror) viaMirrors(mirrors []string) relay.Sources {
	mirrors = slices.DeleteFunc(mirrors, func(a string) bool { return a == m.Address })
	return relay.Sources{Mirrors: slices.Compact(mirrors), OriginAssigned: true}
}

// holders returns the engines of the region that hold the version.
func (m *Mirror) holders(v *siteclient.View, b relay.Bundle) []string {
	service := m.service(b.Model)
	if service == nil {
		return nil
	}
	var out []string
	for _, t := range v.Targets {
		if t.Service == service.Name && t.Weights == b.Version && m.Regions[t.Domain] == m.Region {
			out = append(out, t.Address)
		}
	}
	return out
}

// Priority implements the order of a relay: all pieces are as urgent.
func (m *Mirror) Priority(relay.Bundle, int) int { return 0 }
