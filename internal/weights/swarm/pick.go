package swarm

import (
	"slices"
	"time"

	"egretproxy/internal/weights/planner"
)

// Next implements planner.Planner.
func (s *Swarm) Next(free int, now time.Time) []planner.Pick {
	if s.lastProgress.IsZero() {
		s.lastProgress = now
	}
	if free <= 0 {
		return nil
	}
	s.pruneMissing()
	s.updateUsable(now)
	var out []planner.Pick
	for len(out) < free {
		p, ok := s.pick(now)
		if !ok {
			return out
		}
		s.pending.Set(p.Chunk)
		s.countTransfer(p, 1)
		out = append(out, p)
	}
	return out
}

// pick chooses a transfer: first chunks assigned to this agent, since no other
// agent fetches them into the region, then the rarest chunk that a peer holds.
func (s *Swarm) pick(now time.Time) (planner.Pick, bool) {
	if p, ok := s.fromOutside(now); ok {
		return p, true
	}
	return s.fromRegion()
}

func (s *Swarm) updateUsable(now time.Time) {
	s.usable = s.usable[:0]
	for _, p := range s.local {
		if p.activeTransfers < maxTransfersPerPeer && now.After(p.excludedUntil) {
			s.usable = append(s.usable, p)
		}
	}
}

func (s *Swarm) pruneMissing() {
	s.missing = slices.DeleteFunc(s.missing, s.held.Has)
}

// fromOutside picks a chunk that the region lacks and that this agent is
// assigned to fetch into it.
func (s *Swarm) fromOutside(now time.Time) (planner.Pick, bool) {
	if !s.isGateway {
		return planner.Pick{}, false
	}
	takeovers := s.takeovers(now)
	for _, i := range s.missing {
		if s.pending.Has(i) || s.copies[i] > 0 || !s.assigned(s.ownGateways, i, takeovers) {
			continue
		}
		if p, ok := s.fromOtherRegion(i, takeovers, now); ok {
			return p, true
		}
		if s.originTransfers < maxOriginTransfers && s.mayFetchFromOrigin(i, takeovers) && now.After(s.originExcludedUntil) {
			return planner.Pick{Chunk: i}, true
		}
	}
	return planner.Pick{}, false
}

// fromOtherRegion picks the source in another region with the fewest transfers
// to this agent.
func (s *Swarm) fromOtherRegion(chunk, takeovers int, now time.Time) (planner.Pick, bool) {
	best := (*peer)(nil)
	for _, k := range s.sources(chunk, takeovers) {
		p := s.peers[k]
		if p == nil || p.local || !p.have.Has(chunk) || p.activeTransfers >= maxTransfersPerPeer || now.Before(p.excludedUntil) {
			continue
		}
		if best == nil || p.activeTransfers < best.activeTransfers {
			best = p
		}
	}
	if best == nil {
		return planner.Pick{}, false
	}
	return planner.Pick{Chunk: chunk, Peer: best.Target, CrossRegion: true}, true
}

// fromRegion picks the rarest of a sample of the chunks that local peers hold.
func (s *Swarm) fromRegion() (planner.Pick, bool) {
	n := len(s.missing)
	if n == 0 || len(s.usable) == 0 {
		return planner.Pick{}, false
	}
	best, seen := -1, 0
	var from *peer
	start := s.rand.IntN(n)
	for j := 0; j < n && seen < sampleChunks; j++ {
		i := s.missing[(start+j)%n]
		if s.copies[i] == 0 || s.pending.Has(i) {
			continue
		}
		seen++
		if best >= 0 && s.copies[i] >= s.copies[best] {
			continue
		}
		if p := s.holder(i); p != nil {
			best, from = i, p
		}
	}
	if best < 0 {
		return planner.Pick{}, false
	}
	s.usable = slices.DeleteFunc(s.usable, func(p *peer) bool { return p == from })
	return planner.Pick{Chunk: best, Peer: from.Target}, true
}

// holder returns a usable local peer that holds the chunk, searching from a
// random position.
func (s *Swarm) holder(chunk int) *peer {
	n := len(s.usable)
	start := s.rand.IntN(n)
	for j := range n {
		if p := s.usable[(start+j)%n]; p.have.Has(chunk) {
			return p
		}
	}
	return nil
}
