// Package swarm is the planner that draws each chunk from the origin about
// once, carries it over each link between regions about once, and spreads it
// within a region from agent to agent.
package swarm

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/weights/bitmap"
	"egretproxy/internal/weights/planner"
)

const (
	// gatewaysPerRegion is the number of agents of a region that draw chunks from
	// outside of it.
	gatewaysPerRegion = 8
	// maxLocalQueries is the number of peers of the region that are asked for
	// what they hold.
	maxLocalQueries = 4
	// queryInterval is the time between two questions to the same peer.
	queryInterval = 500 * time.Millisecond
	// perPeer bounds the transfers from one peer at a time.
	perPeer = 1
	// perOrigin bounds the transfers from the origin at a time. Few at a time
	// end sooner and are passed on sooner.
	perOrigin = 1
	// sampleChunks is the number of missing chunks among which the rarest is
	// chosen.
	sampleChunks = 64
	// exclusionTime is the time for which a peer that failed is left out. It
	// doubles with each further failure.
	exclusionTime = 5 * time.Second
	maxDoublings  = 4
	// maxCorruptChunks is the false chunks after which a peer is left out for
	// good.
	maxCorruptChunks   = 2
	permanentExclusion = 24 * time.Hour
	// rootTakeovers is the number of turns after which a region no longer waits
	// for the agents that draw from the origin.
	rootTakeovers = 2
	// busyPause is the mean time for which a busy peer is left alone.
	busyPause = 100 * time.Millisecond
	// defaultProgressTimeout is the patience where the config names none.
	defaultProgressTimeout = 2 * time.Second
)

func init() {
	planner.Register("Swarm", func(c planner.Config) planner.Planner { return New(c) })
}

// peer is what is known of another agent.
type peer struct {
	planner.Member
	have    bitmap.Bitmap
	pending int
	// lastQuery is the time of the newest question.
	lastQuery time.Time
	// excludedUntil is the time until which the peer is left out. Meanwhile have is
	// empty, so that nobody waits for chunks that only it holds.
	excludedUntil time.Time
	// failures counts failures in a row, and falsehoods all false chunks.
	failures      int
	corruptChunks int
	local         bool
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
	// ownGateways is the gateways of the own region, the same for all its agents.
	ownGateways []id.Target
	// isGateway tells that this agent is one of them.
	isGateway bool
	// roots is the agents that draw from the origin.
	roots []id.Target
	// gatewaysOf is the gateways of each region, and relays the regions other
	// than the origin's, if there is one.
	gatewaysOf   map[id.Region][]id.Target
	otherRegions []id.Region
	// lastProgress is the time when the region last gained a chunk.
	lastProgress time.Time
	// originTransfers counts transfers from the origin.
	originTransfers int
	// originExcludedUntil is the time until which the origin is left out.
	originExcludedUntil time.Time
}

// New returns a planner for the content.
func New(c planner.Config) *Swarm {
	if c.ProgressTimeout == 0 {
		c.ProgressTimeout = defaultProgressTimeout
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
	s.assignGateways()
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

// MarkHeld implements planner.Planner.
func (s *Swarm) MarkHeld(chunk int) {
	s.held.Set(chunk)
	clearBit(s.pending, chunk)
}

// AddPeerChunks implements planner.Planner.
func (s *Swarm) AddPeerChunks(k id.Target, have bitmap.Bitmap, now time.Time) {
	p := s.peers[k]
	if p == nil || p.failures > 0 && now.Before(p.excludedUntil) {
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
			s.lastProgress = now
		}
		s.copies[i]++
	}
}

// Failed implements planner.Planner.
func (s *Swarm) Failed(p planner.Pick, f planner.Failure, now time.Time) {
	clearBit(s.pending, p.Chunk)
	s.countTransfer(p, -1)
	if p.Peer == "" {
		s.originExcludedUntil = now.Add(s.cfg.ProgressTimeout)
		return
	}
	c := s.peers[p.Peer]
	if c == nil {
		return
	}
	if f == planner.Busy {
		c.excludedUntil = now.Add(busyPause/2 + time.Duration(s.rand.Int64N(int64(busyPause))))
		return
	}
	s.exclude(c, f, now)
}

// exclude leaves a peer out for a time and forgets what it holds.
func (s *Swarm) exclude(c *peer, f planner.Failure, now time.Time) {
	c.excludedUntil = now.Add(exclusionTime << min(c.failures, maxDoublings))
	c.failures++
	if f == planner.Corrupt {
		c.corruptChunks++
	}
	if c.corruptChunks >= maxCorruptChunks {
		c.excludedUntil = now.Add(permanentExclusion)
	}
	s.forget(c)
	c.have = bitmap.New(s.cfg.Chunks)
}

// countTransfer counts the transfers from the pick's source.
func (s *Swarm) countTransfer(p planner.Pick, by int) {
	if p.Peer == "" {
		s.originTransfers += by
		return
	}
	if c := s.peers[p.Peer]; c != nil {
		c.pending = max(0, c.pending+by)
	}
}

// Finished implements planner.Planner.
func (s *Swarm) Finished(p planner.Pick, now time.Time) {
	s.countTransfer(p, -1)
	if c := s.peers[p.Peer]; c != nil {
		c.failures = 0
	}
	if s.copies[p.Chunk] == 0 {
		s.lastProgress = now
	}
	s.MarkHeld(p.Chunk)
}

// Queries implements planner.Planner. Peers of the region are asked for all
// that they hold, agents of other regions only for chunks of the own duty.
func (s *Swarm) Queries(now time.Time) []planner.Query {
	s.compact()
	if len(s.missing) == 0 {
		return nil
	}
	var out []planner.Query
	for _, p := range s.local {
		if len(out) == maxLocalQueries {
			break
		}
		if now.Sub(p.lastQuery) >= queryInterval && p.have.Count() < s.cfg.Chunks && now.After(p.excludedUntil) {
			p.lastQuery = now
			out = append(out, planner.Query{Peer: p.Target, All: true})
		}
	}
	s.rand.Shuffle(len(s.local), func(i, j int) { s.local[i], s.local[j] = s.local[j], s.local[i] })
	return append(out, s.remoteQueries(now)...)
}

func (s *Swarm) remoteQueries(now time.Time) []planner.Query {
	if !s.isGateway {
		return nil
	}
	turn := s.takeovers(now)
	wanted := map[id.Target][]int{}
	for _, i := range s.missing {
		if s.copies[i] > 0 || !s.assigned(s.ownGateways, i, turn) {
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
		if now.Sub(p.lastQuery) < queryInterval || now.Before(p.excludedUntil) {
			continue
		}
		p.lastQuery = now
		out = append(out, planner.Query{Peer: k, Chunks: wanted[k]})
	}
	return out
}

func clearBit(b bitmap.Bitmap, i int) {
	b[i/64] &^= 1 << (i % 64)
}
