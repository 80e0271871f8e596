// Package swarm is the planner that draws each chunk from the origin about
// once, carries it over each link between regions about once, and spreads it
// within a region from agent to agent.
package swarm

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/weights/bitmap"
	"egretproxy/internal/weights/planner"
)

const (
	// gateways is the number of agents of a region that draw chunks from
	// outside of it.
	gateways = 8
	// neighbours is the number of peers of the region that are asked for
	// what they hold.
	neighbours = 10
	// askInterval is the time between two questions to the same peer.
	askInterval = 500 * time.Millisecond
	// perPeer bounds the transfers from one peer at a time.
	perPeer = 2
	// sample is the number of missing chunks among which the rarest is
	// chosen.
	sample = 64
	// distrust is the time for which a peer that failed is left out.
	distrust = 10 * time.Second
	// lieDistrust is the time for which a peer that sent a false chunk is
	// left out.
	lieDistrust = 10 * time.Minute
	// rootTurns is the number of turns after which a region no longer waits
	// for the agents that draw from the origin.
	rootTurns = 2
	// defaultPatience is the patience where the config names none.
	defaultPatience = 2 * time.Second
)

func init() {
	planner.Register("Swarm", func(c planner.Config) planner.Planner { return New(c) })
}

// peer is what is known of another agent.
type peer struct {
	planner.Member
	have    bitmap.Bitmap
	pending int
	// asked is the time of the newest question.
	asked time.Time
	// barred is the time until which the peer is left out.
	barred time.Time
	local  bool
}

// Swarm plans for one agent.
type Swarm struct {
	cfg  planner.Config
	rand *rand.Rand
	held bitmap.Bitmap
	// pending is the chunks in transfer to this agent.
	pending bitmap.Bitmap
	missing []int
	peers   map[id.Target]*peer
	// local is the peers of the own region, in a random order.
	local []*peer
	// copies counts the local peers that hold a chunk.
	copies []int
	// duty is the gateways of the own region, the same for all its agents.
	duty []id.Target
	// roots is the agents that draw from the origin.
	roots []id.Target
	// progress is the time when the region last gained a chunk.
	progress time.Time
	// originBarred is the time until which the origin is left out.
	originBarred time.Time
}

// New returns a planner for the content.
func New(c planner.Config) *Swarm {
	if c.Patience == 0 {
		c.Patience = defaultPatience
	}
	s := &Swarm{
		cfg: c, rand: c.Rand(),
		held: bitmap.New(c.Chunks), pending: bitmap.New(c.Chunks),
		peers: map[id.Target]*peer{}, copies: make([]int, c.Chunks),
	}
	for i := range c.Chunks {
		s.missing = append(s.missing, i)
	}
	s.rand.Shuffle(len(s.missing), func(i, j int) {
		s.missing[i], s.missing[j] = s.missing[j], s.missing[i]
	})
	s.SetMembers(nil)
	return s
}

// SetMembers implements planner.Planner.
func (s *Swarm) SetMembers(members []planner.Member) {
	known := map[id.Target]bool{}
	for _, m := range members {
		if m.Target == s.cfg.Self.Target {
			continue
		}
		known[m.Target] = true
		if s.peers[m.Target] == nil {
			s.peers[m.Target] = &peer{
				Member: m, have: bitmap.New(s.cfg.Chunks), local: m.Region == s.cfg.Self.Region,
			}
		}
	}
	for k, p := range s.peers {
		if !known[k] {
			s.forget(p)
			delete(s.peers, k)
		}
	}
	s.arrange()
}

func (s *Swarm) forget(p *peer) {
	if !p.local {
		return
	}
	for i := range s.cfg.Chunks {
		if p.have.Has(i) {
			s.copies[i]--
		}
	}
}

// arrange works out the gateways of the regions. All agents with the same
// members come to the same result.
func (s *Swarm) arrange() {
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
	s.roots = nil
	for _, r := range names {
		first := s.firstRanked(regions[r])
		if r == s.cfg.Self.Region {
			s.duty = first
		}
		s.roots = append(s.roots, first...)
	}
	if s.cfg.OriginPerRegion {
		s.roots = s.duty
	}
}

// firstRanked returns the gateways among the agents of one region, by
// rendezvous hashing (Thaler and Ravishankar, 1998).
func (s *Swarm) firstRanked(targets []id.Target) []id.Target {
	rank := func(t id.Target) uint64 { return xxhash.Sum64String(s.cfg.Manifest + "/" + string(t)) }
	out := slices.Clone(targets)
	slices.SortFunc(out, func(a, b id.Target) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b))
	})
	return out[:min(gateways, len(out))]
}

// Held implements planner.Planner.
func (s *Swarm) Held(chunk int) {
	s.held.Set(chunk)
	clearBit(s.pending, chunk)
}

// PeerHolds implements planner.Planner.
func (s *Swarm) PeerHolds(k id.Target, have bitmap.Bitmap, now time.Time) {
	p := s.peers[k]
	if p == nil {
		return
	}
	for w := range min(len(have), len(p.have)) {
		added := have[w] &^ p.have[w]
		if added == 0 {
			continue
		}
		p.have[w] |= added
		if p.local {
			s.count(w, added, now)
		}
	}
}

// count adds a peer's new chunks, one word of its bitmap at a time.
func (s *Swarm) count(word int, added uint64, now time.Time) {
	for b := range 64 {
		i := word*64 + b
		if added&(1<<b) == 0 || i >= s.cfg.Chunks {
			continue
		}
		if s.copies[i] == 0 && !s.held.Has(i) {
			s.progress = now
		}
		s.copies[i]++
	}
}

// Failed implements planner.Planner.
func (s *Swarm) Failed(p planner.Pick, lie bool, now time.Time) {
	clearBit(s.pending, p.Chunk)
	bar := distrust
	if lie {
		bar = lieDistrust
	}
	if p.Peer == "" {
		s.originBarred = now.Add(s.cfg.Patience)
		return
	}
	if c := s.peers[p.Peer]; c != nil {
		c.pending = max(0, c.pending-1)
		c.barred = now.Add(bar)
	}
}

// Next implements planner.Planner.
func (s *Swarm) Next(free int, now time.Time) []planner.Pick {
	if s.progress.IsZero() {
		s.progress = now
	}
	s.compact()
	var out []planner.Pick
	for len(out) < free {
		p, ok := s.one(now)
		if !ok {
			return out
		}
		s.pending.Set(p.Chunk)
		if c := s.peers[p.Peer]; c != nil {
			c.pending++
		}
		out = append(out, p)
	}
	return out
}

// Finished implements planner.Planner.
func (s *Swarm) Finished(p planner.Pick, now time.Time) {
	if c := s.peers[p.Peer]; c != nil {
		c.pending = max(0, c.pending-1)
	}
	if s.copies[p.Chunk] == 0 {
		s.progress = now
	}
	s.Held(p.Chunk)
}

// one chooses a transfer: chunks of the own duty first, since nobody else
// brings them into the region, then the rarest that a peer holds.
func (s *Swarm) one(now time.Time) (planner.Pick, bool) {
	if p, ok := s.fromOutside(now); ok {
		return p, true
	}
	return s.fromRegion(now)
}

func (s *Swarm) compact() {
	s.missing = slices.DeleteFunc(s.missing, s.held.Has)
}

// fromOutside picks a chunk that the own region lacks and that this agent is
// to bring in.
func (s *Swarm) fromOutside(now time.Time) (planner.Pick, bool) {
	turn := s.turn(now)
	for _, i := range s.missing {
		if s.pending.Has(i) || s.copies[i] > 0 || !s.mine(s.duty, i, turn) {
			continue
		}
		if p, ok := s.crossing(i, now); ok {
			return p, true
		}
		if s.mayDraw(i, turn) && now.After(s.originBarred) {
			return planner.Pick{Chunk: i}, true
		}
	}
	return planner.Pick{}, false
}

// turn is the number of agents before whom a duty has passed by, since the
// region gained nothing for so long.
func (s *Swarm) turn(now time.Time) int {
	return int(now.Sub(s.progress) / s.cfg.Patience)
}

// mine reports whether the chunk falls to this agent at this turn.
func (s *Swarm) mine(list []id.Target, chunk, turn int) bool {
	for t := range min(turn, len(list)-1) + 1 {
		if list[(chunk+t)%len(list)] == s.cfg.Self.Target {
			return true
		}
	}
	return false
}

// mayDraw reports whether this agent may draw the chunk from the origin. A
// region whose roots elsewhere make no progress draws for itself.
func (s *Swarm) mayDraw(chunk, turn int) bool {
	return s.mine(s.roots, chunk, turn) || turn >= rootTurns && s.mine(s.duty, chunk, turn)
}

func (s *Swarm) crossing(chunk int, now time.Time) (planner.Pick, bool) {
	best := (*peer)(nil)
	for _, p := range s.peers {
		if p.local || !p.have.Has(chunk) || p.pending >= perPeer || now.Before(p.barred) {
			continue
		}
		if best == nil || less(p, best) {
			best = p
		}
	}
	if best == nil {
		return planner.Pick{}, false
	}
	return planner.Pick{Chunk: chunk, Peer: best.Target, Crossing: true}, true
}

func less(a, b *peer) bool {
	if a.pending != b.pending {
		return a.pending < b.pending
	}
	return a.Target < b.Target
}

// fromRegion picks the rarest of a sample of the chunks that local peers
// hold.
func (s *Swarm) fromRegion(now time.Time) (planner.Pick, bool) {
	n := len(s.missing)
	if n == 0 {
		return planner.Pick{}, false
	}
	best, seen := -1, 0
	start := s.rand.IntN(n)
	for j := 0; j < n && seen < sample; j++ {
		i := s.missing[(start+j)%n]
		if s.pending.Has(i) || s.copies[i] == 0 {
			continue
		}
		if best >= 0 && s.copies[i] >= s.copies[best] {
			seen++
			continue
		}
		if s.holder(i, now) != nil {
			best = i
			seen++
		}
	}
	if best < 0 {
		return planner.Pick{}, false
	}
	return planner.Pick{Chunk: best, Peer: s.holder(best, now).Target}, true
}

// holder returns the local peer to fetch a chunk from: one with the fewest
// transfers to this agent, the first of a random order among equals.
func (s *Swarm) holder(chunk int, now time.Time) *peer {
	var best *peer
	n := len(s.local)
	start := s.rand.IntN(max(1, n))
	for j := range n {
		p := s.local[(start+j)%n]
		if !p.have.Has(chunk) || p.pending >= perPeer || now.Before(p.barred) {
			continue
		}
		if p.pending == 0 {
			return p
		}
		if best == nil {
			best = p
		}
	}
	return best
}

// Crossers implements planner.Planner.
func (s *Swarm) Crossers() int { return len(s.duty) }

// Queries implements planner.Planner. Peers of the region are asked for all
// that they hold, agents of other regions only for chunks of the own duty.
func (s *Swarm) Queries(now time.Time) []planner.Query {
	s.compact()
	if len(s.missing) == 0 {
		return nil
	}
	var out []planner.Query
	for _, p := range s.local {
		if len(out) == neighbours {
			break
		}
		if now.Sub(p.asked) >= askInterval && p.have.Count() < s.cfg.Chunks && now.After(p.barred) {
			p.asked = now
			out = append(out, planner.Query{Peer: p.Target, Whole: true})
		}
	}
	s.rand.Shuffle(len(s.local), func(i, j int) { s.local[i], s.local[j] = s.local[j], s.local[i] })
	return append(out, s.remoteQueries(now)...)
}

func (s *Swarm) remoteQueries(now time.Time) []planner.Query {
	turn := s.turn(now)
	wanted := map[id.Target][]int{}
	for _, i := range s.missing {
		if s.copies[i] > 0 || !s.mine(s.duty, i, turn) {
			continue
		}
		for t := range min(turn, len(s.roots)-1) + 1 {
			root := s.roots[(i+t)%len(s.roots)]
			if p := s.peers[root]; p != nil && !p.local && !p.have.Has(i) {
				wanted[root] = append(wanted[root], i)
			}
		}
	}
	var out []planner.Query
	for _, k := range s.roots {
		p := s.peers[k]
		if len(wanted[k]) == 0 || now.Sub(p.asked) < askInterval || now.Before(p.barred) {
			continue
		}
		p.asked = now
		out = append(out, planner.Query{Peer: k, Chunks: wanted[k]})
	}
	return out
}

func clearBit(b bitmap.Bitmap, i int) {
	b[i/64] &^= 1 << (i % 64)
}
