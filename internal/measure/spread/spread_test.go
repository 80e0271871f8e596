package spread_test

import (
	"testing"
	"time"

	"egretproxy/internal/measure/spread"
	_ "egretproxy/internal/weights/direct"
	_ "egretproxy/internal/weights/swarm"
)

// windowSeconds is the time in which the origin can send four copies of the
// content and an instance can send or receive two.
const windowSeconds = 100.0

// largeFleet returns 300 instances in three regions whose links are not the
// bottleneck.
func largeFleet(seed uint64) spread.Config {
	const chunks = 200
	return spread.Config{
		Planner: "Swarm", Instances: 300, Regions: 3, Chunks: chunks, ChunkBytes: 1,
		OriginRate: 4 * chunks / windowSeconds, InstanceRate: 2 * chunks / windowSeconds, RegionRate: 1e9,
		MaxTransfers: 4, Seed: seed, Latency: time.Millisecond, RegionLatency: 2 * time.Millisecond,
		Limit: 20 * time.Duration(windowSeconds) * time.Second,
	}
}

// runScenario runs a scenario and fails the test if an instance lacks chunks at
// its end.
func runScenario(t *testing.T, c spread.Config) spread.Result {
	t.Helper()
	r, err := spread.Run(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", r)
	if !r.Finished {
		t.Fatalf("not every instance has all chunks: %+v", r)
	}
	return r
}

// TestHoldsRolloutTimeAndOriginBytes checks the duration of a rollout to 300
// instances and the bytes that it reads from the origin and moves between regions.
func TestHoldsRolloutTimeAndOriginBytes(t *testing.T) {
	for seed := range uint64(1) {
		r := runScenario(t, largeFleet(seed))
		if r.Seconds > 0.65*windowSeconds {
			t.Errorf("seed %d: all instances done after %.2f of the window, want at most 0.65", seed, r.Seconds/windowSeconds)
		}
		if r.OriginCopies > 1.15 {
			t.Errorf("seed %d: %.2f copies from the origin, want at most 1.15", seed, r.OriginCopies)
		}
		if r.Crossings > 1.1 {
			t.Errorf("seed %d: each chunk entered a region %.2f times, want at most 1.1", seed, r.Crossings)
		}
	}
}

// smallFleet returns largeFleet with 30 instances and 60 chunks, small enough for
// runs with many kinds of faults.
func smallFleet(seed uint64) spread.Config {
	const chunks = 60
	c := largeFleet(seed)
	c.Instances, c.Chunks = 30, chunks
	c.OriginRate, c.InstanceRate = 4*chunks/windowSeconds, 2*chunks/windowSeconds
	return c
}

// TestHoldsRolloutUnderFaults checks that every instance that does not crash gets
// all chunks in spite of a fault, without an excess of reads from the origin.
func TestHoldsRolloutUnderFaults(t *testing.T) {
	cases := map[string]func(c *spread.Config){
		"tenth of the instances crashes": func(c *spread.Config) { c.CrashFraction = 0.1 },
		"corrupted chunks":               func(c *spread.Config) { c.CorruptFraction = 0.02 },
		"malicious peers":                func(c *spread.Config) { c.MaliciousPeers = 2 },
		"stalled links":                  func(c *spread.Config) { c.StallFraction = 0.1 },
		"origin down after one copy": func(c *spread.Config) {
			c.OriginDownAt = 45 * time.Second
		},
		"half of the chunks held": func(c *spread.Config) { c.HeldChunks = c.Chunks / 2 },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				c := smallFleet(seed)
				change(&c)
				r := runScenario(t, c)
				if r.OriginCopies > 3.3 {
					t.Errorf("seed %d: %.2f copies from the origin, want at most 3.3", seed, r.OriginCopies)
				}
			}
		})
	}
}

// TestHoldsThinRegionLinks compares the rollout time with the lower bound that the
// links between regions impose if each chunk enters each region once.
func TestHoldsThinRegionLinks(t *testing.T) {
	const chunkBytes, chunks = 256 << 10, 64
	for seed := range uint64(3) {
		c := spread.Config{
			Planner: "Swarm", Instances: 15, Regions: 3, Chunks: chunks, ChunkBytes: chunkBytes,
			OriginRate: 125e6, InstanceRate: 125e6, RegionRate: 25e6 / 8, OriginOverRegion: true,
			MaxTransfers: 4, Seed: seed, Latency: time.Millisecond, RegionLatency: 2 * time.Millisecond,
			Limit: time.Hour,
		}
		r := runScenario(t, c)
		bound := chunks * chunkBytes / c.RegionRate
		if r.Seconds > 1.3*bound {
			t.Errorf("seed %d: took %.1f s, want at most 1.3 times %.1f s", seed, r.Seconds, bound)
		}
		if r.Crossings > 1.1 {
			t.Errorf("seed %d: each chunk entered a region %.2f times, want at most 1.1", seed, r.Crossings)
		}
	}
}
