package spread_test

import (
	"testing"
	"time"

	"egretproxy/internal/measure/spread"
	_ "egretproxy/internal/weights/direct"
	_ "egretproxy/internal/weights/swarm"
)

// windowSeconds is the time in which the origin's link carries four copies and an
// instance's link two.
const windowSeconds = 100.0

// largeFleet is 300 instances in three regions whose links are not the narrowest.
func largeFleet(seed uint64) spread.Config {
	const chunks = 200
	return spread.Config{
		Planner: "Swarm", Instances: 300, Regions: 3, Chunks: chunks, ChunkBytes: 1,
		OriginRate: 4 * chunks / windowSeconds, InstanceRate: 2 * chunks / windowSeconds, RegionRate: 1e9,
		MaxTransfers: 4, Seed: seed, Latency: time.Millisecond, RegionLatency: 2 * time.Millisecond,
		Limit: 20 * time.Duration(windowSeconds) * time.Second,
	}
}

func run(t *testing.T, c spread.Config) spread.Result {
	t.Helper()
	r, err := spread.Run(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", r)
	if !r.Finished {
		t.Fatalf("not every instance has the content: %+v", r)
	}
	return r
}

func TestHoldsRolloutTimeAndOriginBytes(t *testing.T) {
	for seed := range uint64(1) {
		r := run(t, largeFleet(seed))
		if r.Seconds > 0.65*windowSeconds {
			t.Errorf("seed %d: all replicas after %.2f of the window, at most 0.65", seed, r.Seconds/windowSeconds)
		}
		if r.OriginCopies > 1.15 {
			t.Errorf("seed %d: %.2f copies from the origin, at most 1.15", seed, r.OriginCopies)
		}
		if r.Crossings > 1.1 {
			t.Errorf("seed %d: each chunk crossed %.2f times a region, at most 1.1", seed, r.Crossings)
		}
	}
}

// smallFleet is a smaller burst, so that many faults can be tried.
func smallFleet(seed uint64) spread.Config {
	const chunks = 60
	c := largeFleet(seed)
	c.Instances, c.Chunks = 30, chunks
	c.OriginRate, c.InstanceRate = 4*chunks/windowSeconds, 2*chunks/windowSeconds
	return c
}

func TestHoldsRolloutUnderFaults(t *testing.T) {
	cases := map[string]func(c *spread.Config){
		"tenth of the peers dies": func(c *spread.Config) { c.CrashFraction = 0.1 },
		"corrupted chunks":        func(c *spread.Config) { c.CorruptFraction = 0.02 },
		"lying peers":             func(c *spread.Config) { c.MaliciousPeers = 2 },
		"stalled links":           func(c *spread.Config) { c.StallFraction = 0.1 },
		"origin gone after a copy": func(c *spread.Config) {
			c.OriginDownAt = 45 * time.Second
		},
		"half is the same as before": func(c *spread.Config) { c.HeldChunks = c.Chunks / 2 },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				c := smallFleet(seed)
				change(&c)
				r := run(t, c)
				if r.OriginCopies > 3.3 {
					t.Errorf("seed %d: %.2f copies from the origin, at most 3.3", seed, r.OriginCopies)
				}
			}
		})
	}
}

// TestHoldsThinRegionLinks holds the time against the bound that the links
// between regions set, with one crossing for each chunk and region.
func TestHoldsThinRegionLinks(t *testing.T) {
	const chunkBytes, chunks = 256 << 10, 64
	for seed := range uint64(3) {
		c := spread.Config{
			Planner: "Swarm", Instances: 15, Regions: 3, Chunks: chunks, ChunkBytes: chunkBytes,
			OriginRate: 125e6, InstanceRate: 125e6, RegionRate: 25e6 / 8, OriginOverRegion: true,
			MaxTransfers: 4, Seed: seed, Latency: time.Millisecond, RegionLatency: 2 * time.Millisecond,
			Limit: time.Hour,
		}
		r := run(t, c)
		bound := chunks * chunkBytes / c.RegionRate
		if r.Seconds > 1.3*bound {
			t.Errorf("seed %d: %.1f s, at most 1.3 times %.1f s", seed, r.Seconds, bound)
		}
		if r.Crossings > 1.1 {
			t.Errorf("seed %d: %.2f crossings a region, at most 1.1", seed, r.Crossings)
		}
	}
}
