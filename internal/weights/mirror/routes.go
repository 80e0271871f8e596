package mirror

import (
	"slices"

	"egretproxy/internal/site/siteclient"
	"egretproxy/internal/weights/relay"
)

// Routes implements relay.Routes. A piece comes from an engine of the region
// that holds the version, or else from the region's mirror assigned to the
// piece. That one fetches it from a mirror in the origin's region, which
// fetches it from the origin.
func (m *Mirror) Routes(b relay.Bundle, n int) relay.Sources {
	v := m.Views.View()
	if v.Plan == nil {
		return relay.Sources{}
	}
	if holders := m.holders(v, b); len(holders) > 0 {
		return relay.Sources{Peers: relay.PeerOrder(holders, n)}
	}
	originRegion := m.Regions[v.Plan.OriginDomain()]
	local := v.Mirrors(m.Region)
	assigned := relay.Assigned(local, n)
	if assigned != m.Address && assigned != "" {
		return m.viaMirrors(append(relay.PeerOrder(local, n), relay.PeerOrder(v.Mirrors(originRegion), n)...))
	}
	if m.Region == originRegion {
		return relay.Sources{}
	}
	if remote := v.Mirrors(originRegion); len(remote) > 0 {
		return m.viaMirrors(relay.PeerOrder(remote, n))
	}
	if fetcher := relay.Assigned(v.Mirrors(""), n); fetcher != m.Address && fetcher != "" {
		return m.viaMirrors([]string{fetcher})
	}
	return relay.Sources{}
}

func (m *Mirror) viaMirrors(mirrors []string) relay.Sources {
	mirrors = slices.DeleteFunc(mirrors, func(a string) bool { return a == m.Address })
	return relay.Sources{Mirrors: slices.Compact(mirrors), OriginAssigned: true}
}

// holders returns the addresses of the engines in the region that hold the
// version.
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

// Priority implements relay.Relay.Priority. All pieces have the same priority.
func (m *Mirror) Priority(relay.Bundle, int) int { return 0 }
