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
		return relay.Sources{Peers: relay.Turn(holders, n)}
	}
	home := m.Regions[v.Plan.OriginDomain()]
	near := v.Mirrors(m.Region)
	first := relay.Chosen(near, n)
	if first != m.Own && first != "" {
		return m.from(append(relay.Turn(near, n), relay.Turn(v.Mirrors(home), n)...))
	}
	if m.Region == home {
		return relay.Sources{}
	}
	if far := v.Mirrors(home); len(far) > 0 {
		return m.from(relay.Turn(far, n))
	}
	if drawer := relay.Chosen(v.Mirrors(""), n); drawer != m.Own && drawer != "" {
		return m.from([]string{drawer})
	}
	return relay.Sources{}
}

func (m *Mirror) from(mirrors []string) relay.Sources {
	mirrors = slices.DeleteFunc(mirrors, func(a string) bool { return a == m.Own })
	return relay.Sources{Mirrors: slices.Compact(mirrors), Drawn: true}
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

// Duty implements the order of a relay: all pieces are as urgent.
func (m *Mirror) Duty(relay.Bundle, int) int { return 0 }
