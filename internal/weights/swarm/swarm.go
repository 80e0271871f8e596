// Package swarm is the planner that draws each chunk from the origin about
// once, carries it over each link between regions about once, and spreads it
// within a region from agent to agent.
package swarm

import (
	"cmp"
	"maps"
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
	neighbours = 4
	// askInterval is the time between two questions to the same peer.
	askInterval = 500 * time.Millisecond
	// perPeer bounds the transfers from one peer at a time.
	perPeer = 1
	// perOrigin bounds the transfers from the origin at a time. Few at a time
	// end sooner and are passed on sooner.
	perOrigin = 1
	// sample is the number of missing chunks among which the rarest is
	// chosen.
	sample = 64
	// distrust is the time for which a peer that failed is left out. It
	// doubles with each further failure.
	distrust     = 5 * time.Second
	maxDoublings = 4
	// maxFalsehoods is the false chunks after which a peer is left out for
	// good.
	maxFalsehoods = 2
	forGood       = 24 * time.Hour
	// rootTurns is the number of turns after which a region no longer waits
	// for the agents that draw from the origin.
	rootTurns = 2
	// busyPause is the mean time for which a busy peer is left alone.
	busyPause = 100 * time.Millisecond
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
	// barred is the time until which the peer is left out. Meanwhile have is
	// empty, so that nobody waits for chunks that only it holds.
	barred time.Time
	// strikes counts failures in a row, and falsehoods all false chunks.
	strikes    int
	falsehoods int
	local      bool
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
	// usable is the local peers that may serve a transfer now.
	usable []*peer
	// copies counts the local peers that hold a chunk.
	copies []int
	// duty is the gateways of the own region, the same for all its agents.
	duty []id.Target
	// onDuty tells that this agent is one of them.
	onDuty bool
	// roots is the agents that draw from the origin.
	roots []id.Target
	// gates is the gateways of each region, and relays the regions other
	// than the origin's, if there is one.
	gates  map[id.Region][]id.Target
	relays []id.Region
	// progress is the time when the region last gained a chunk.
	progress time.Time
	// drawing counts transfers from the origin.
	drawing int
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
	s.roots, s.relays, s.gates = nil, nil, map[id.Region][]id.Target{}
	for _, r := range names {
		s.gates[r] = s.firstRanked(regions[r])
		s.roots = append(s.roots, s.gates[r]...)
		if r != s.cfg.OriginRegion {
			s.relays = append(s.relays, r)
		}
	}
	s.duty = s.gates[s.cfg.Self.Region]
	if s.cfg.OriginPerRegion {
		s.roots = s.duty
	}
	if gates := s.gates[s.cfg.OriginRegion]; len(gates) > 0 {
		s.roots = gates
	}
	s.onDuty = slices.Contains(s.duty, s.cfg.Self.Target)
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
	if p == nil || p.strikes > 0 && now.Before(p.barred) {
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
func (s *Swarm) Failed(p planner.Pick, f planner.Failure, now time.Time) {
	clearBit(s.pending, p.Chunk)
	s.track(p, -1)
	if p.Peer == "" {
		s.originBarred = now.Add(s.cfg.Patience)
		return
	}
	c := s.peers[p.Peer]
	if c == nil {
		return
	}
	if f == planner.Busy {
		c.barred = now.Add(busyPause/2 + time.Duration(s.rand.Int64N(int64(busyPause))))
		return
	}
	s.bar(c, f, now)
}

// bar leaves a peer out for a time and forgets what it holds.
func (s *Swarm) bar(c *peer, f planner.Failure, now time.Time) {
	c.barred = now.Add(distrust << min(c.strikes, maxDoublings))
	c.strikes++
	if f == planner.False {
		c.falsehoods++
	}
	if c.falsehoods >= maxFalsehoods {
		c.barred = now.Add(forGood)
	}
	s.forget(c)
	c.have = bitmap.New(s.cfg.Chunks)
}

// track counts the transfers from the pick's source.
func (s *Swarm) track(p planner.Pick, by int) {
	if p.Peer == "" {
		s.drawing += by
		return
	}
	if c := s.peers[p.Peer]; c != nil {
		c.pending = max(0, c.pending+by)
	}
}

// Next implements planner.Planner.
func (s *Swarm) Next(free int, now time.Time) []planner.Pick {
	if s.progress.IsZero() {
		s.progress = now
	}
	if free <= 0 {
		return nil
	}
	s.compact()
	s.findUsable(now)
	var out []planner.Pick
	for len(out) < free {
		p, ok := s.one(now)
		if !ok {
			return out
		}
		s.pending.Set(p.Chunk)
		s.track(p, 1)
		out = append(out, p)
	}
	return out
}

// Finished implements planner.Planner.
func (s *Swarm) Finished(p planner.Pick, now time.Time) {
	s.track(p, -1)
	if c := s.peers[p.Peer]; c != nil {
		c.strikes = 0
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
	return s.fromRegion()
}

func (s *Swarm) findUsable(now time.Time) {
	s.usable = s.usable[:0]
	for _, p := range s.local {
		if p.pending < perPeer && now.After(p.barred) {
			s.usable = append(s.usable, p)
		}
	}
}

func (s *Swarm) compact() {
	s.missing = slices.DeleteFunc(s.missing, s.held.Has)
}

// fromOutside picks a chunk that the own region lacks and that this agent is
// to bring in.
func (s *Swarm) fromOutside(now time.Time) (planner.Pick, bool) {
	if !s.onDuty {
		return planner.Pick{}, false
	}
	turn := s.turn(now)
	for _, i := range s.missing {
		if s.pending.Has(i) || s.copies[i] > 0 || !s.mine(s.duty, i, turn) {
			continue
		}
		if p, ok := s.crossing(i, turn, now); ok {
			return p, true
		}
		if s.drawing < perOrigin && s.mayDraw(i, turn) && now.After(s.originBarred) {
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

// sources returns the agents of other regions to fetch a chunk from. Where the
// origin's region holds it first, one region after another takes it from
// there, in turns by chunk, and the others from that one, so that the link of
// the origin's region carries about one copy.
func (s *Swarm) sources(chunk, turn int) []id.Target {
	var out []id.Target
	own := s.cfg.Self.Region
	if s.cfg.OriginRegion != "" && own != s.cfg.OriginRegion && len(s.gates[s.cfg.OriginRegion]) > 0 {
		first := s.relays[chunk%len(s.relays)]
		if gates := s.gates[first]; first != own {
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

// crossing picks the source of another region that serves the fewest
// transfers to this agent.
func (s *Swarm) crossing(chunk, turn int, now time.Time) (planner.Pick, bool) {
	best := (*peer)(nil)
	for _, k := range s.sources(chunk, turn) {
		p := s.peers[k]
		if p == nil || p.local || !p.have.Has(chunk) || p.pending >= perPeer || now.Before(p.barred) {
			continue
		}
		if best == nil || p.pending < best.pending {
			best = p
		}
	}
	if best == nil {
		return planner.Pick{}, false
	}
	return planner.Pick{Chunk: chunk, Peer: best.Target, Crossing: true}, true
}

// fromRegion picks the rarest of a sample of the chunks that local peers
// hold.
func (s *Swarm) fromRegion() (planner.Pick, bool) {
	n := len(s.missing)
	if n == 0 || len(s.usable) == 0 {
		return planner.Pick{}, false
	}
	best, seen := -1, 0
	var from *peer
	start := s.rand.IntN(n)
	for j := 0; j < n && seen < sample; j++ {
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

// holder returns a usable local peer that holds the chunk, the first from a
// random place in the list.
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
	if !s.onDuty {
		return nil
	}
	turn := s.turn(now)
	wanted := map[id.Target][]int{}
	for _, i := range s.missing {
		if s.copies[i] > 0 || !s.mine(s.duty, i, turn) {
			continue
		}
		for _, k := range s.sources(i, turn) {
			if p := s.peers[k]; p != nil && !p.local && !p.have.Has(i) {
				wanted[k] = append(wanted[k], i)
			}
		}
	}
	var out []planner.Query
	for _, k := range slices.Sorted(maps.Keys(wanted)) {
		p := s.peers[k]
		if now.Sub(p.asked) < askInterval || now.Before(p.barred) {
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
