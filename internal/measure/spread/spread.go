// Package spread measures how a transfer planner distributes weights to many
// agents. It runs the production planners over simulated links in virtual time.
package spread

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/measure/netsim"
	"egretproxy/internal/weights/bitmap"
	"egretproxy/internal/weights/planner"
)

// Config describes one scenario.
type Config struct {
	// Planner is the registered name of the planner that all instances use.
	Planner   string
	Instances int
	Regions   int
	Chunks    int
	// ChunkBytes is the size of each chunk in bytes.
	ChunkBytes float64
	// OriginRate and InstanceRate are in bytes per second. An instance can send
	// and receive at InstanceRate at the same time.
	OriginRate   float64
	InstanceRate float64
	// RegionRate is the rate of each region's link in each direction, in bytes
	// per second. Zero means that it does not limit transfers between peers.
	RegionRate float64
	// OriginPerRegion sets planner.Config.OriginPerRegion. It does not change the
	// links.
	OriginPerRegion bool
	// OriginOverRegion places the origin in the first region. Other regions
	// reach it over the links between regions.
	OriginOverRegion bool
	// MaxTransfers is the number of concurrent downloads of an instance.
	MaxTransfers int
	Seed         uint64
	// Latency is the one-way latency within a region, RegionLatency the one
	// between regions.
	Latency       time.Duration
	RegionLatency time.Duration
	// CrashFraction is the fraction of the instances that crash during the
	// transfer.
	CrashFraction float64
	// CorruptFraction is the fraction of the transfers that arrive corrupted.
	CorruptFraction float64
	// MaliciousPeers is the number of instances that always send corrupted
	// chunks.
	MaliciousPeers int
	// StallFraction is the fraction of the instances whose uplink stalls during
	// the transfer.
	StallFraction float64
	// OriginDownAt is the time at which the origin stops sending. Zero means
	// never.
	OriginDownAt time.Duration
	// LiveRate is the rate of the request traffic on each region's link, in
	// bytes per second. Transfers get the rest of the link's rate.
	LiveRate float64
	// HeldChunks is the number of chunks that every instance has at the start.
	HeldChunks int
	// Limit is the virtual time after which the simulation stops.
	Limit time.Duration
}

// Result is the outcome of one scenario.
type Result struct {
	// Seconds is the time until the last instance that did not crash had all
	// chunks, and Done is the number of these instances.
	Seconds float64
	Done    int
	// FirstSeconds is the time until the first instance had all chunks,
	// HalfSeconds until half of them did.
	FirstSeconds float64
	HalfSeconds  float64
	// OriginCopies is the number of bytes read from the origin, divided by the
	// size of the chunks that an instance lacked at the start.
	OriginCopies float64
	// Crossings is how often a chunk entered a region, averaged over the chunks
	// and the regions without the origin.
	Crossings float64
	// Finished is false if the simulation reached its limit.
	Finished bool
}

const (
	tickInterval    = 100 * time.Millisecond
	stallTimeout    = 2 * time.Second
	membershipDelay = 5 * time.Second
)

// instance is a simulated instance with its planner and links.
type instance struct {
	id              id.Target
	region          int
	planner         planner.Planner
	uplink          *netsim.Link
	downlink        *netsim.Link
	have            bitmap.Bitmap
	activeTransfers int
	missing         int
	crashed         bool
	malicious       bool
	doneAt          time.Duration
	flows           map[*netsim.Flow]planner.Pick
	// localUploads and crossRegionUploads count the transfers in progress from
	// this instance, within its region and to other regions.
	localUploads       int
	crossRegionUploads int
}

// simulation is the state of one scenario.
type simulation struct {
	cfg              Config
	sim              netsim.Simulator
	rand             *rand.Rand
	origin           *netsim.Link
	regionIn         []*netsim.Link
	regionOut        []*netsim.Link
	instances        []*instance
	byID             map[id.Target]*instance
	originBytes      float64
	crossRegionBytes float64
	// incomplete is the number of instances that have not crashed and lack
	// chunks.
	incomplete int
}

// Run simulates one scenario. It returns an error if the planner is unknown.
func Run(c Config) (Result, error) {
	s := &simulation{cfg: c, rand: rand.New(rand.NewPCG(c.Seed, 7)), byID: map[id.Target]*instance{}}
	s.origin = &netsim.Link{Rate: c.OriginRate}
	for range c.Regions {
		s.regionIn = append(s.regionIn, &netsim.Link{Rate: c.RegionRate})
		s.regionOut = append(s.regionOut, &netsim.Link{Rate: c.RegionRate})
	}
	if err := s.createInstances(); err != nil {
		return Result{}, err
	}
	s.scheduleFaults()
	for _, n := range s.instances {
		s.sim.After(time.Duration(s.rand.Int64N(int64(tickInterval))), func() { s.tick(n) })
	}
	s.sim.Run(c.Limit, func() bool { return s.incomplete == 0 })
	return s.result(), nil
}

func (s *simulation) createInstances() error {
	var members []planner.Member
	for i := range s.cfg.Instances {
		n := &instance{
			id: id.Target(fmt.Sprintf("t%04d", i)), region: i % s.cfg.Regions,
			uplink: &netsim.Link{Rate: s.cfg.InstanceRate}, downlink: &netsim.Link{Rate: s.cfg.InstanceRate},
			have: bitmap.New(s.cfg.Chunks), missing: s.cfg.Chunks - s.cfg.HeldChunks,
			flows: map[*netsim.Flow]planner.Pick{}, malicious: i < s.cfg.MaliciousPeers,
		}
		s.instances = append(s.instances, n)
		s.byID[n.id] = n
		members = append(members, planner.Member{Target: n.id, Region: region(n.region)})
	}
	s.incomplete = len(s.instances)
	for i, n := range s.instances {
		p, err := planner.New(s.cfg.Planner, planner.Config{
			Self: members[i], Chunks: s.cfg.Chunks, Seed: s.cfg.Seed*1000 + uint64(i),
			Manifest: "m", OriginRegion: s.originRegion(), OriginPerRegion: s.cfg.OriginPerRegion, ProgressTimeout: stallTimeout,
		})
		if err != nil {
			return err
		}
		for chunk := range s.cfg.HeldChunks {
			p.MarkHeld(chunk)
			n.have.Set(chunk)
		}
		p.SetMembers(members)
		n.planner = p
	}
	return nil
}

// originRegion returns the region of the origin, or "" if it is in none.
func (s *simulation) originRegion() id.Region {
	if s.cfg.OriginOverRegion {
		return region(0)
	}
	return ""
}

func region(i int) id.Region { return id.Region(fmt.Sprintf("r%d", i)) }

// scheduleFaults schedules the faults of the scenario and subtracts the request
// traffic from the region links.
func (s *simulation) scheduleFaults() {
	cfg := s.cfg
	for _, n := range s.instances {
		if s.rand.Float64() < cfg.CrashFraction {
			s.sim.After(s.randomFaultTime(), func() { s.crash(n) })
		}
		if s.rand.Float64() < cfg.StallFraction {
			s.sim.After(s.randomFaultTime(), func() { s.sim.SetRate(n.uplink, 0) })
		}
	}
	if cfg.OriginDownAt > 0 {
		s.sim.After(cfg.OriginDownAt, func() { s.sim.SetRate(s.origin, 0) })
	}
	if cfg.LiveRate > 0 {
		for i := range s.regionIn {
			s.sim.SetRate(s.regionIn[i], cfg.RegionRate-cfg.LiveRate)
			s.sim.SetRate(s.regionOut[i], cfg.RegionRate-cfg.LiveRate)
		}
	}
}

// randomFaultTime returns a time in the first half of the time that one instance
// needs to download the content at its full rate.
func (s *simulation) randomFaultTime() time.Duration {
	shortestSeconds := float64(s.cfg.Chunks) * s.cfg.ChunkBytes / s.cfg.InstanceRate
	return time.Duration(s.rand.Float64() * shortestSeconds / 2 * float64(time.Second))
}

// crash stops an instance and its downloads. The other instances' planners learn
// of it after membershipDelay.
func (s *simulation) crash(n *instance) {
	if n.crashed {
		return
	}
	n.crashed = true
	if n.missing > 0 {
		s.incomplete--
	}
	s.sim.SetRate(n.uplink, 0)
	for f, p := range n.flows {
		s.sim.StopFlow(f)
		s.releaseUpload(p)
	}
	s.sim.After(membershipDelay, func() {
		var members []planner.Member
		for _, other := range s.instances {
			if !other.crashed {
				members = append(members, planner.Member{Target: other.id, Region: region(other.region)})
			}
		}
		for _, other := range s.instances {
			if !other.crashed {
				other.planner.SetMembers(members)
			}
		}
	})
}

func (s *simulation) now() time.Time { return time.Unix(1_000_000, 0).Add(s.sim.Now()) }

// tick runs an instance's periodic work until it has crashed or has all chunks.
func (s *simulation) tick(n *instance) {
	if n.crashed || n.missing == 0 {
		return
	}
	for _, q := range n.planner.Queries(s.now()) {
		s.sendQuery(n, q)
	}
	s.startTransfers(n)
	s.sim.After(tickInterval, func() { s.tick(n) })
}

// sendQuery sends a query for a peer's chunks and delivers the answer. A crashed
// peer does not answer.
func (s *simulation) sendQuery(n *instance, q planner.Query) {
	peer := s.byID[q.Peer]
	s.sim.After(s.latency(n, peer), func() {
		if peer.crashed {
			return
		}
		have := slices.Clone(peer.have)
		s.sim.After(s.latency(n, peer), func() { n.planner.AddPeerChunks(peer.id, have, s.now()) })
	})
}

// latency returns the one-way latency between two instances.
func (s *simulation) latency(a, b *instance) time.Duration {
	if a.region != b.region {
		return s.cfg.RegionLatency
	}
	return s.cfg.Latency
}

func (s *simulation) result() Result {
	var times []float64
	for _, n := range s.instances {
		if !n.crashed && n.missing == 0 {
			times = append(times, n.doneAt.Seconds())
		}
	}
	slices.Sort(times)
	missing := float64(s.cfg.Chunks-s.cfg.HeldChunks) * s.cfg.ChunkBytes
	out := Result{Done: len(times), Finished: s.incomplete == 0, OriginCopies: s.originBytes / missing}
	if s.cfg.Regions > 1 {
		out.Crossings = s.crossRegionBytes / missing / float64(s.cfg.Regions-1)
	}
	if len(times) > 0 {
		out.FirstSeconds = times[0]
		out.HalfSeconds = times[len(times)/2]
		out.Seconds = times[len(times)-1]
	}
	return out
}
