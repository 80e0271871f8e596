package swarm

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"egretproxy/internal/fleet/id"
)

// assignGateways works out the gateways of the regions. All agents with the same
// members come to the same result.
func (s *Swarm) assignGateways() {
	regions := map[id.Region][]id.Target{s.cfg.Self.Region: {s.cfg.Self.Target}}
	s.local = s.local[:0]
	for _, p := range s.peers {
		regions[p.Region] = append(regions[p.Region], p.Target)
		if p.local {
			s.local = append(s.local, p)
		}
	}
	slices.SortFunc(s.local, func(a, b *peer) int { return cmp.Compare(a.Target, b.Target) })
	s.rand.Shuffle(len(s.local), func(i, j int) { s.local[i], s.local[j] = s.local[j], s.local[i] })
	names := make([]id.Region, 0, len(regions))
	for r := range regions {
		names = append(names, r)
	}
	slices.Sort(names)
	s.roots, s.otherRegions, s.gatewaysOf = nil, nil, map[id.Region][]id.Target{}
	for _, r := range names {
		s.gatewaysOf[r] = s.electGateways(regions[r])
		s.roots = append(s.roots, s.gatewaysOf[r]...)
		if r != s.cfg.OriginRegion {
			s.otherRegions = append(s.otherRegions, r)
		}
	}
	s.ownGateways = s.gatewaysOf[s.cfg.Self.Region]
	if s.cfg.OriginPerRegion {
		s.roots = s.ownGateways
	}
	if gates := s.gatewaysOf[s.cfg.OriginRegion]; len(gates) > 0 {
		s.roots = gates
	}
	s.isGateway = slices.Contains(s.ownGateways, s.cfg.Self.Target)
}

// electGateways returns the gateways among the agents of one region, by
// rendezvous hashing (Thaler and Ravishankar, 1998).
func (s *Swarm) electGateways(targets []id.Target) []id.Target {
	rank := func(t id.Target) uint64 { return xxhash.Sum64String(s.cfg.Manifest + "/" + string(t)) }
	out := slices.Clone(targets)
	slices.SortFunc(out, func(a, b id.Target) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b))
	})
	return out[:min(gatewaysPerRegion, len(out))]
}

// takeovers is the number of agents before whom a duty has passed by, since the
// region gained nothing for so long.
func (s *Swarm) takeovers(now time.Time) int {
	return int(now.Sub(s.lastProgress) / s.cfg.ProgressTimeout)
}

// assigned reports whether the chunk falls to this agent at this turn.
func (s *Swarm) assigned(list []id.Target, chunk, turn int) bool {
	for t := range min(turn, len(list)-1) + 1 {
		if list[(chunk+t)%len(list)] == s.cfg.Self.Target {
			return true
		}
	}
	return false
}

// mayFetchFromOrigin reports whether this agent may draw the chunk from the origin. A
// region whose roots elsewhere make no progress draws for itself.
func (s *Swarm) mayFetchFromOrigin(chunk, turn int) bool {
	return s.assigned(s.roots, chunk, turn) || turn >= rootTakeovers && s.assigned(s.ownGateways, chunk, turn)
}

// sources returns the agents of other regions to fetch a chunk from. Where the
// origin's region holds it first, one region after another takes it from
// there, in turns by chunk, and the others from that one, so that the link of
// the origin's region carries about one copy.
func (s *Swarm) sources(chunk, turn int) []id.Target {
	var out []id.Target
	own := s.cfg.Self.Region
	if s.cfg.OriginRegion != "" && own != s.cfg.OriginRegion && len(s.gatewaysOf[s.cfg.OriginRegion]) > 0 {
		first := s.otherRegions[chunk%len(s.otherRegions)]
		if gates := s.gatewaysOf[first]; first != own {
			out = append(out, gates[chunk%len(gates)])
			if turn == 0 {
				return out
			}
		}
	}
	for t := range min(turn, len(s.roots)-1) + 1 {
		out = append(out, s.roots[(chunk+t)%len(s.roots)])
	}
	return out
}

// CrossRegionFetchers implements planner.Planner.
func (s *Swarm) CrossRegionFetchers() int { return len(s.ownGateways) }
