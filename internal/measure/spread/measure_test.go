package spread_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"egretproxy/internal/measure/chart"
	"egretproxy/internal/measure/spread"
)

var (
	measure = flag.Bool("measure", false, "run the measurements")
	outDir  = flag.String("out", "", "directory for results")
)

// thinRegionLinks returns a deployment whose regions are connected by links that
// are much slower than those of the instances.
func thinRegionLinks(instances int, seed uint64) spread.Config {
	const chunkBytes, chunks = 256 << 10, 64
	return spread.Config{
		Instances: instances, Regions: 3, Chunks: chunks, ChunkBytes: chunkBytes,
		OriginRate: 125e6, InstanceRate: 125e6, RegionRate: 25e6 / 8, OriginOverRegion: true,
		MaxTransfers: 4, Seed: seed, Latency: time.Millisecond, RegionLatency: 2 * time.Millisecond, Limit: time.Hour,
	}
}

// TestMeasureSpread prints the time and the origin bytes of each scenario, for the
// swarm planner and for the naive baseline in which every instance downloads from
// the origin.
func TestMeasureSpread(t *testing.T) {
	if !*measure {
		t.Log("not run without -measure; use make measure")
		return
	}
	scenarios := []struct {
		name string
		make func(seed uint64) spread.Config
	}{
		{"Cordada Andina, 10 engines, 16 MiB, 25 Mbit/s between regions", func(seed uint64) spread.Config { return thinRegionLinks(10, seed) }},
		{"Brunner, 15 engines, 16 MiB, 25 Mbit/s between regions", func(seed uint64) spread.Config { return thinRegionLinks(15, seed) }},
		{"300 instances, window 100 s", largeFleet},
		{"30 instances, window 100 s", smallFleet},
		{"30 instances, a tenth dies", func(seed uint64) spread.Config { c := smallFleet(seed); c.CrashFraction = 0.1; return c }},
		{"30 instances, 2 in 100 chunks corrupted", func(seed uint64) spread.Config { c := smallFleet(seed); c.CorruptFraction = 0.02; return c }},
		{"30 instances, two lying peers", func(seed uint64) spread.Config { c := smallFleet(seed); c.MaliciousPeers = 2; return c }},
		{"30 instances, a tenth of the links stands still", func(seed uint64) spread.Config { c := smallFleet(seed); c.StallFraction = 0.1; return c }},
		{"30 instances, half of the chunks held", func(seed uint64) spread.Config { c := smallFleet(seed); c.HeldChunks = c.Chunks / 2; return c }},
	}
	results := map[string][]spread.Result{}
	seconds := chart.Chart{Title: "Time until every instance has the content", Unit: "s, longest of the seeds"}
	copies := chart.Chart{Title: "Bytes from the origin", Unit: "copies, most of the seeds"}
	for _, scenario := range scenarios {
		for _, planner := range []string{"Swarm", "Direct"} {
			label := scenario.name
			if planner == "Direct" {
				label += ", naive"
			}
			worst := spread.Result{}
			for seed := range uint64(3) {
				c := scenario.make(seed)
				c.Planner = planner
				r, err := spread.Run(c)
				if err != nil {
					t.Fatal(err)
				}
				results[label] = append(results[label], r)
				worst.Seconds = max(worst.Seconds, r.Seconds)
				worst.OriginCopies = max(worst.OriginCopies, r.OriginCopies)
				worst.Crossings = max(worst.Crossings, r.Crossings)
				worst.Done = r.Done
			}
			fmt.Printf("%-75s %7.1f s %7.2f copies %6.2f crossings %4d done\n", label, worst.Seconds, worst.OriginCopies, worst.Crossings, worst.Done)
			seconds.Bars = append(seconds.Bars, chart.Bar{Label: label, Value: worst.Seconds})
			copies.Bars = append(copies.Bars, chart.Bar{Label: label, Value: worst.OriginCopies})
		}
	}
	if *outDir != "" {
		if err := chart.Write(*outDir, "weights", results, []chart.Chart{seconds, copies}); err != nil {
			t.Fatal(err)
		}
	}
}
