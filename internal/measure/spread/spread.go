// Package spread measures how a planner spreads content over many agents: the
// real planners meet fake links in virtual time.
package spread

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/measure/links"
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
	Parallel         int
	Seed             uint64
	// Latency is one way within a region, RegionLatency between regions.
	Latency       time.Duration
	RegionLatency time.Duration
	// DieShare is the part of the instances that die while they fetch.
	DieShare float64
	// CorruptShare is the part of the transfers that arrive corrupted.
	CorruptShare float64
	// Liars is the number of instances that send false chunks always.
	Liars int
	// StallShare is the part of the instances whose links stand still after
	// a while.
	StallShare float64
	// OriginGoneAt is the time after which the origin answers no more, or
	// zero.
	OriginGoneAt time.Duration
	// Live is the live requests' traffic on each region's link in bytes a
	// second.
	Live float64
	// Held is the number of chunks that all instances hold before.
	Held int
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
	tick         = 100 * time.Millisecond
	stallTimeout = 2 * time.Second
	memberDelay  = 5 * time.Second
)

// instance is one agent with its planner and links.
type instance struct {
	id      id.Target
	region  int
	plan    planner.Planner
	up      *links.Link
	down    *links.Link
	have    bitmap.Bitmap
	active  int
	left    int
	dead    bool
	liar    bool
	doneAt  time.Duration
	running map[*links.Flow]planner.Pick
	// uploads and crossings are the transfers from this instance, within
	// its region and to others.
	uploads   int
	crossings int
}

// run is one measurement in progress.
type run struct {
	cfg       Config
	clock     links.Clock
	rand      *rand.Rand
	origin    *links.Link
	in        []*links.Link
	out       []*links.Link
	instances []*instance
	byID      map[id.Target]*instance
	drawn     float64
	crossed   float64
	open      int
}

// Run measures one scenario.
func Run(c Config) (Result, error) {
	r := &run{cfg: c, rand: rand.New(rand.NewPCG(c.Seed, 7)), byID: map[id.Target]*instance{}}
	r.origin = &links.Link{Rate: c.OriginRate}
	for range c.Regions {
		r.in = append(r.in, &links.Link{Rate: c.RegionRate})
		r.out = append(r.out, &links.Link{Rate: c.RegionRate})
	}
	if err := r.build(); err != nil {
		return Result{}, err
	}
	r.faults()
	for _, n := range r.instances {
		r.clock.After(time.Duration(r.rand.Int64N(int64(tick))), func() { r.tick(n) })
	}
	r.clock.Run(c.Limit, func() bool { return r.open == 0 })
	return r.result(), nil
}

func (r *run) build() error {
	var members []planner.Member
	for i := range r.cfg.Instances {
		n := &instance{
			id: id.Target(fmt.Sprintf("t%04d", i)), region: i % r.cfg.Regions,
			up: &links.Link{Rate: r.cfg.InstanceRate}, down: &links.Link{Rate: r.cfg.InstanceRate},
			have: bitmap.New(r.cfg.Chunks), left: r.cfg.Chunks - r.cfg.Held,
			running: map[*links.Flow]planner.Pick{}, liar: i < r.cfg.Liars,
		}
		r.instances = append(r.instances, n)
		r.byID[n.id] = n
		members = append(members, planner.Member{Target: n.id, Region: region(n.region)})
	}
	r.open = len(r.instances)
	for i, n := range r.instances {
		p, err := planner.New(r.cfg.Planner, planner.Config{
			Self: members[i], Chunks: r.cfg.Chunks, Seed: r.cfg.Seed*1000 + uint64(i),
			Manifest: "m", OriginRegion: r.originRegion(), OriginPerRegion: r.cfg.OriginPerRegion, ProgressTimeout: stallTimeout,
		})
		if err != nil {
			return err
		}
		for c := range r.cfg.Held {
			p.MarkHeld(c)
			n.have.Set(c)
		}
		p.SetMembers(members)
		n.plan = p
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

// faults schedules what goes wrong.
func (r *run) faults() {
	c := r.cfg
	for _, n := range r.instances {
		if r.rand.Float64() < c.DieShare {
			r.clock.After(r.early(), func() { r.kill(n) })
		}
		if r.rand.Float64() < c.StallShare {
			r.clock.After(r.early(), func() { r.clock.SetRate(n.up, 0) })
		}
	}
	if c.OriginGoneAt > 0 {
		r.clock.After(c.OriginGoneAt, func() { r.clock.SetRate(r.origin, 0) })
	}
	if c.Live > 0 {
		for i := range r.in {
			r.clock.SetRate(r.in[i], c.RegionRate-c.Live)
			r.clock.SetRate(r.out[i], c.RegionRate-c.Live)
		}
	}
}

// early returns a time in the first half of the shortest possible transfer.
func (r *run) early() time.Duration {
	whole := float64(r.cfg.Chunks) * r.cfg.ChunkBytes / r.cfg.InstanceRate
	return time.Duration(r.rand.Float64() * whole / 2 * float64(time.Second))
}

// kill ends an instance. The others hear of it later.
func (r *run) kill(n *instance) {
	if n.dead {
		return
	}
	n.dead = true
	if n.left > 0 {
		r.open--
	}
	r.clock.SetRate(n.up, 0)
	for f, p := range n.running {
		r.clock.Stop(f)
		r.release(p)
	}
	r.clock.After(memberDelay, func() {
		var members []planner.Member
		for _, o := range r.instances {
			if !o.dead {
				members = append(members, planner.Member{Target: o.id, Region: region(o.region)})
			}
		}
		for _, o := range r.instances {
			if !o.dead {
				o.plan.SetMembers(members)
			}
		}
	})
}

func (r *run) now() time.Time { return time.Unix(1_000_000, 0).Add(r.clock.Now()) }

func (r *run) tick(n *instance) {
	if n.dead || n.left == 0 {
		return
	}
	for _, q := range n.plan.Queries(r.now()) {
		r.ask(n, q)
	}
	r.next(n)
	r.clock.After(tick, func() { r.tick(n) })
}

// ask carries a question to a peer and its answer back.
func (r *run) ask(n *instance, q planner.Query) {
	p := r.byID[q.Peer]
	r.clock.After(r.latency(n, p), func() {
		if p.dead {
			return
		}
		have := slices.Clone(p.have)
		r.clock.After(r.latency(n, p), func() { n.plan.AddPeerChunks(p.id, have, r.now()) })
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
		if !n.dead && n.left == 0 {
			times = append(times, n.doneAt.Seconds())
		}
	}
	slices.Sort(times)
	missing := float64(r.cfg.Chunks-r.cfg.Held) * r.cfg.ChunkBytes
	out := Result{Done: len(times), Finished: r.open == 0, OriginCopies: r.drawn / missing}
	if r.cfg.Regions > 1 {
		out.Crossings = r.crossed / missing / float64(r.cfg.Regions-1)
	}
	if len(times) > 0 {
		out.FirstSeconds = times[0]
		out.HalfSeconds = times[len(times)/2]
		out.Seconds = times[len(times)-1]
	}
	return out
}
