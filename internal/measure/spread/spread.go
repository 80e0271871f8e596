// Package spread measures how a planner spreads content over many agents: the
// real planners meet fake links in virtual time.
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

// Config is one scenario.
type Config struct {
	Planner   string
	Instances int
	Regions   int
	Chunks    int
	// ChunkBytes is the size of each chunk.
	ChunkBytes float64
	// OriginRate and InstanceRate are in bytes a second. An instance has as
	// much each way.
	OriginRate   float64
	InstanceRate float64
	// RegionRate is the rate of each region's link each way, or zero for
	// one that is never the narrowest.
	RegionRate      float64
	OriginPerRegion bool
	// OriginOverRegion tells that the origin is reached over the links
	// between regions, from the first region.
	OriginOverRegion bool
	MaxTransfers     int
	Seed             uint64
	// Latency is one way within a region, RegionLatency between regions.
	Latency       time.Duration
	RegionLatency time.Duration
	// CrashFraction is the part of the instances that die while they fetch.
	CrashFraction float64
	// CorruptFraction is the part of the transfers that arrive corrupted.
	CorruptFraction float64
	// MaliciousPeers is the number of instances that send false chunks always.
	MaliciousPeers int
	// StallFraction is the part of the instances whose links stand still after
	// a while.
	StallFraction float64
	// OriginDownAt is the time after which the origin answers no more, or
	// zero.
	OriginDownAt time.Duration
	// LiveRate is the live requests' traffic on each region's link in bytes a
	// second.
	LiveRate float64
	// HeldChunks is the number of chunks that all instances hold before.
	HeldChunks int
	// Limit ends the measurement.
	Limit time.Duration
}

// Result is what was measured.
type Result struct {
	// Seconds is the time until every instance that lives has the whole
	// content, and Done their number.
	Seconds float64
	Done    int
	// FirstSeconds is the time until the first, HalfSeconds until half.
	FirstSeconds float64
	HalfSeconds  float64
	// OriginCopies is the bytes drawn from the origin as copies of what was
	// missing.
	OriginCopies float64
	// Crossings is the times that each chunk crossed a region's link, on
	// average over regions that do not hold the origin.
	Crossings float64
	// Finished is false if the limit was reached first.
	Finished bool
}

const (
	tickInterval    = 100 * time.Millisecond
	stallTimeout    = 2 * time.Second
	membershipDelay = 5 * time.Second
)

// instance is one agent with its planner and links.
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
	// localUploads and crossings are the transfers from this instance, within
	// its region and to others.
	localUploads       int
	crossRegionUploads int
}

// run is one measurement in progress.
type run struct {
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
	incomplete       int
}

// Run measures one scenario.
func Run(c Config) (Result, error) {
	r := &run{cfg: c, rand: rand.New(rand.NewPCG(c.Seed, 7)), byID: map[id.Target]*instance{}}
	r.origin = &netsim.Link{Rate: c.OriginRate}
	for range c.Regions {
		r.regionIn = append(r.regionIn, &netsim.Link{Rate: c.RegionRate})
		r.regionOut = append(r.regionOut, &netsim.Link{Rate: c.RegionRate})
	}
	if err := r.createInstances(); err != nil {
		return Result{}, err
	}
	r.scheduleFaults()
	for _, n := range r.instances {
		r.sim.After(time.Duration(r.rand.Int64N(int64(tickInterval))), func() { r.tick(n) })
	}
	r.sim.Run(c.Limit, func() bool { return r.incomplete == 0 })
	return r.result(), nil
}

func (r *run) createInstances() error {
	var members []planner.Member
	for i := range r.cfg.Instances {
		n := &instance{
			id: id.Target(fmt.Sprintf("t%04d", i)), region: i % r.cfg.Regions,
			uplink: &netsim.Link{Rate: r.cfg.InstanceRate}, downlink: &netsim.Link{Rate: r.cfg.InstanceRate},
			have: bitmap.New(r.cfg.Chunks), missing: r.cfg.Chunks - r.cfg.HeldChunks,
			flows: map[*netsim.Flow]planner.Pick{}, malicious: i < r.cfg.MaliciousPeers,
		}
		r.instances = append(r.instances, n)
		r.byID[n.id] = n
		members = append(members, planner.Member{Target: n.id, Region: region(n.region)})
	}
	r.incomplete = len(r.instances)
	for i, n := range r.instances {
		p, err := planner.New(r.cfg.Planner, planner.Config{
			Self: members[i], Chunks: r.cfg.Chunks, Seed: r.cfg.Seed*1000 + uint64(i),
			Manifest: "m", OriginRegion: r.originRegion(), OriginPerRegion: r.cfg.OriginPerRegion, ProgressTimeout: stallTimeout,
		})
		if err != nil {
			return err
		}
		for c := range r.cfg.HeldChunks {
			p.MarkHeld(c)
			n.have.Set(c)
		}
		p.SetMembers(members)
		n.planner = p
	}
	return nil
}

func (r *run) originRegion() id.Region {
	if r.cfg.OriginOverRegion {
		return region(0)
	}
	return ""
}

func region(i int) id.Region { return id.Region(fmt.Sprintf("r%d", i)) }

// scheduleFaults schedules what goes wrong.
func (r *run) scheduleFaults() {
	c := r.cfg
	for _, n := range r.instances {
		if r.rand.Float64() < c.CrashFraction {
			r.sim.After(r.randomFaultTime(), func() { r.crash(n) })
		}
		if r.rand.Float64() < c.StallFraction {
			r.sim.After(r.randomFaultTime(), func() { r.sim.SetRate(n.uplink, 0) })
		}
	}
	if c.OriginDownAt > 0 {
		r.sim.After(c.OriginDownAt, func() { r.sim.SetRate(r.origin, 0) })
	}
	if c.LiveRate > 0 {
		for i := range r.regionIn {
			r.sim.SetRate(r.regionIn[i], c.RegionRate-c.LiveRate)
			r.sim.SetRate(r.regionOut[i], c.RegionRate-c.LiveRate)
		}
	}
}

// randomFaultTime returns a time in the first half of the shortest possible transfer.
func (r *run) randomFaultTime() time.Duration {
	whole := float64(r.cfg.Chunks) * r.cfg.ChunkBytes / r.cfg.InstanceRate
	return time.Duration(r.rand.Float64() * whole / 2 * float64(time.Second))
}

// crash ends an instance. The others hear of it later.
func (r *run) crash(n *instance) {
	if n.crashed {
		return
	}
	n.crashed = true
	if n.missing > 0 {
		r.incomplete--
	}
	r.sim.SetRate(n.uplink, 0)
	for f, p := range n.flows {
		r.sim.StopFlow(f)
		r.releaseUpload(p)
	}
	r.sim.After(membershipDelay, func() {
		var members []planner.Member
		for _, o := range r.instances {
			if !o.crashed {
				members = append(members, planner.Member{Target: o.id, Region: region(o.region)})
			}
		}
		for _, o := range r.instances {
			if !o.crashed {
				o.planner.SetMembers(members)
			}
		}
	})
}

func (r *run) now() time.Time { return time.Unix(1_000_000, 0).Add(r.sim.Now()) }

func (r *run) tick(n *instance) {
	if n.crashed || n.missing == 0 {
		return
	}
	for _, q := range n.planner.Queries(r.now()) {
		r.sendQuery(n, q)
	}
	r.startTransfers(n)
	r.sim.After(tickInterval, func() { r.tick(n) })
}

// sendQuery carries a question to a peer and its answer back.
func (r *run) sendQuery(n *instance, q planner.Query) {
	p := r.byID[q.Peer]
	r.sim.After(r.latency(n, p), func() {
		if p.crashed {
			return
		}
		have := slices.Clone(p.have)
		r.sim.After(r.latency(n, p), func() { n.planner.AddPeerChunks(p.id, have, r.now()) })
	})
}

func (r *run) latency(a, b *instance) time.Duration {
	if a.region != b.region {
		return r.cfg.RegionLatency
	}
	return r.cfg.Latency
}

func (r *run) result() Result {
	var times []float64
	for _, n := range r.instances {
		if !n.crashed && n.missing == 0 {
			times = append(times, n.doneAt.Seconds())
		}
	}
	slices.Sort(times)
	missing := float64(r.cfg.Chunks-r.cfg.HeldChunks) * r.cfg.ChunkBytes
	out := Result{Done: len(times), Finished: r.incomplete == 0, OriginCopies: r.originBytes / missing}
	if r.cfg.Regions > 1 {
		out.Crossings = r.crossRegionBytes / missing / float64(r.cfg.Regions-1)
	}
	if len(times) > 0 {
		out.FirstSeconds = times[0]
		out.HalfSeconds = times[len(times)/2]
		out.Seconds = times[len(times)-1]
	}
	return out
}
