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
	outDir  = flag.String("out", "", "folder for results")
)

// thinRegionLinks is the instances of a thinRegionLinks behind thin region links.
func thinRegionLinks(instances int, seed uint64) spread.Config {
	const chunkBytes, chunks = 256 << 10, 64
	return spread.Config{
		Instances: instances, Regions: 3, Chunks: chunks, ChunkBytes: chunkBytes,
		OriginRate: 125e6, InstanceRate: 125e6, RegionRate: 25e6 / 8, OriginOverRegion: true,
		MaxTransfers: 4, Seed: seed, Latency: time.Millisecond, RegionLatency: 2 * time.Millisecond, Limit: time.Hour,
	}
}

// TestMeasureSpread prints time and bytes of the swarm and its naive twin.
func TestMeasureSpread(t *testing.T) {
	if !*measure {
		t.Log("a measurement, not run: see make measure")
		return
	}
	scenarios := []struct {
		name string
		make func(seed uint64) spread.Config
	}{
		{"Cordada Andina, 10 engines, 16 MiB, 25 Mbit/s between regions", func(s uint64) spread.Config { return thinRegionLinks(10, s) }},
		{"Brunner, 15 engines, 16 MiB, 25 Mbit/s between regions", func(s uint64) spread.Config { return thinRegionLinks(15, s) }},
		{"300 instances, window 100 s", largeFleet},
		{"30 instances, window 100 s", smallFleet},
		{"30 instances, a tenth dies", func(s uint64) spread.Config { c := smallFleet(s); c.CrashFraction = 0.1; return c }},
		{"30 instances, 2 in 100 chunks corrupted", func(s uint64) spread.Config { c := smallFleet(s); c.CorruptFraction = 0.02; return c }},
		{"30 instances, two lying peers", func(s uint64) spread.Config { c := smallFleet(s); c.MaliciousPeers = 2; return c }},
		{"30 instances, a tenth of the links stands still", func(s uint64) spread.Config { c := smallFleet(s); c.StallFraction = 0.1; return c }},
		{"30 instances, half of the chunks held", func(s uint64) spread.Config { c := smallFleet(s); c.HeldChunks = c.Chunks / 2; return c }},
	}
	results := map[string][]spread.Result{}
	seconds := chart.Chart{Title: "Time until every instance has the content", Unit: "s, longest of the seeds"}
	copies := chart.Chart{Title: "Bytes from the origin", Unit: "copies, most of the seeds"}
	for _, s := range scenarios {
		for _, planner := range []string{"Swarm", "Direct"} {
			label := s.name
			if planner == "Direct" {
				label += ", naive"
			}
			worst := spread.Result{}
			for seed := range uint64(3) {
				c := s.make(seed)
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
