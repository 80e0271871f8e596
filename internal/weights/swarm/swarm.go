// Package swarm implements a planner that fetches each chunk from the origin
// about once, transfers it over each link between regions about once, and
// distributes it within a region from agent to agent.
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
	// gatewaysPerRegion is the number of agents of a region that fetch chunks
	// from outside of it.
	gatewaysPerRegion = 8
	// maxLocalQueries is the number of peers in the region that are queried
	// per round for the chunks they hold.
	maxLocalQueries = 4
	// queryInterval is the minimum time between two queries to the same peer.
	queryInterval = 500 * time.Millisecond
	// maxTransfersPerPeer limits the concurrent transfers from one peer.
	maxTransfersPerPeer = 1
	// maxOriginTransfers limits the concurrent transfers from the origin. With
	// few at a time, each chunk arrives sooner and can be forwarded sooner.
	maxOriginTransfers = 1
	// sampleChunks is the number of missing chunks among which the rarest is
	// chosen.
	sampleChunks = 64
	// exclusionTime is how long a peer is excluded after a failure. It doubles
	// with each consecutive failure, up to maxDoublings times.
	exclusionTime = 5 * time.Second
	maxDoublings  = 4
	// maxCorruptChunks is the number of corrupt chunks after which a peer is
	// excluded for permanentExclusion.
	maxCorruptChunks   = 2
	permanentExclusion = 24 * time.Hour
	// rootTakeovers is the number of takeovers after which a region no longer
	// waits for the agents that fetch from the origin.
	rootTakeovers = 2
	// busyPause is the mean time before a busy peer is asked again.
	busyPause = 100 * time.Millisecond
	// defaultProgressTimeout applies if Config.ProgressTimeout is zero.
	defaultProgressTimeout = 2 * time.Second
)

func init() {
	planner.Register("Swarm", func(c planner.Config) planner.Planner { return New(c) })
}

// peer is the state of another agent.
type peer struct {
	planner.Member
	have            bitmap.Bitmap
	activeTransfers int
	// lastQuery is the time of the latest query.
	lastQuery time.Time
	// excludedUntil is the end of the exclusion of the peer. After a failure
	// other than Busy, have is cleared, so that no agent waits for chunks that
	// only this peer holds.
	excludedUntil time.Time
	// failures counts consecutive failures, corruptChunks all corrupt chunks.
	failures      int
	corruptChunks int
	local         bool
}

// Swarm is the planner of one agent.
type Swarm struct {
	cfg  planner.Config
	rand *rand.Rand
	held bitmap.Bitmap
	// activeTransfers is the set of chunks in transfer to this agent.
	pending bitmap.Bitmap
	missing []int
	peers   map[id.Target]*peer
	// local lists the peers in the region in random order.
	local []*peer
	// usable lists the local peers that may serve a transfer now.
	usable []*peer
	// copies counts the local peers that hold each chunk.
	copies []int
	// ownGateways lists the gateways of the region. It is the same for all its
	// agents.
	ownGateways []id.Target
	// isGateway means that this agent is one of ownGateways.
	isGateway bool
	// roots lists the agents that fetch from the origin.
	roots []id.Target
	// gatewaysOf lists the gateways of each region, otherRegions the regions
	// other than the origin's, if it has one.
	gatewaysOf   map[id.Region][]id.Target
	otherRegions []id.Region
	// lastProgress is the time at which the region last gained a chunk.
	lastProgress time.Time
	// originTransfers counts the transfers from the origin in progress.
	originTransfers int
	// originExcludedUntil is the end of the exclusion of the origin after a
	// failure.
	originExcludedUntil time.Time
}

// New returns a planner that holds no chunks and knows no peers.
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
			s.removeCopies(p)
			delete(s.peers, k)
		}
	}
	s.assignGateways()
}

// removeCopies subtracts the chunks of a local peer from the copies.
func (s *Swarm) removeCopies(p *peer) {
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
			s.addCopies(w, added, now)
		}
	}
}

// addCopies counts the newly reported chunks of a local peer, one word of its
// bitmap at a time.
func (s *Swarm) addCopies(word int, added uint64, now time.Time) {
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
	source := s.peers[p.Peer]
	if source == nil {
		return
	}
	if f == planner.Busy {
		source.excludedUntil = now.Add(busyPause/2 + time.Duration(s.rand.Int64N(int64(busyPause))))
		return
	}
	s.exclude(source, f, now)
}

// exclude excludes a peer for a time and clears the chunks it is known to
// hold.
func (s *Swarm) exclude(p *peer, f planner.Failure, now time.Time) {
	p.excludedUntil = now.Add(exclusionTime << min(p.failures, maxDoublings))
	p.failures++
	if f == planner.Corrupt {
		p.corruptChunks++
	}
	if p.corruptChunks >= maxCorruptChunks {
		p.excludedUntil = now.Add(permanentExclusion)
	}
	s.removeCopies(p)
	p.have = bitmap.New(s.cfg.Chunks)
}

// countTransfer changes the number of transfers from the source of the pick.
func (s *Swarm) countTransfer(p planner.Pick, by int) {
	if p.Peer == "" {
		s.originTransfers += by
		return
	}
	if source := s.peers[p.Peer]; source != nil {
		source.activeTransfers = max(0, source.activeTransfers+by)
	}
}

// Finished implements planner.Planner.
func (s *Swarm) Finished(p planner.Pick, now time.Time) {
	s.countTransfer(p, -1)
	if source := s.peers[p.Peer]; source != nil {
		source.failures = 0
	}
	if s.copies[p.Chunk] == 0 {
		s.lastProgress = now
	}
	s.MarkHeld(p.Chunk)
}

// Queries implements planner.Planner. Local peers are queried for all chunks
// they hold, agents of other regions only for chunks assigned to this agent.
func (s *Swarm) Queries(now time.Time) []planner.Query {
	s.pruneMissing()
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
	takeovers := s.takeovers(now)
	chunksByPeer := map[id.Target][]int{}
	for _, i := range s.missing {
		if s.copies[i] > 0 || !s.assigned(s.ownGateways, i, takeovers) {
			continue
		}
		for _, k := range s.sources(i, takeovers) {
			if p := s.peers[k]; p != nil && !p.local && !p.have.Has(i) {
				chunksByPeer[k] = append(chunksByPeer[k], i)
			}
		}
	}
	var out []planner.Query
	for _, k := range slices.Sorted(maps.Keys(chunksByPeer)) {
		p := s.peers[k]
		if now.Sub(p.lastQuery) < queryInterval || now.Before(p.excludedUntil) {
			continue
		}
		p.lastQuery = now
		out = append(out, planner.Query{Peer: k, Chunks: chunksByPeer[k]})
	}
	return out
}

func clearBit(b bitmap.Bitmap, i int) {
	b[i/64] &^= 1 << (i % 64)
}
