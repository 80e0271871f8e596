package requests_test

import (
	"flag"
	"fmt"
	"testing"

	"egretproxy/internal/measure/chart"
)

var (
	measure = flag.Bool("measure", false, "run the measurements")
	outDir  = flag.String("out", "", "folder for results")
)

// TestMeasureRequests prints what became of requests under the chosen
// policies and their naive twins.
func TestMeasureRequests(t *testing.T) {
	if !*measure {
		t.Log("a measurement, not run: see make measure")
		return
	}
	events := []struct {
		name   string
		change func(s *Scenario)
	}{
		{"steady", func(*Scenario) {}},
		{"tenfold burst", func(s *Scenario) { s.Rate, s.BurstFactor = s.Rate*0.4, 10 }},
		{"a domain leaves and returns", func(s *Scenario) { s.WithdrawDomain = true }},
		{"a third turns cold", func(s *Scenario) { s.CoolEngines = true }},
		{"a third loses its content", func(s *Scenario) { s.RestartEngines = true }},
	}
	results := map[string][]Result{}
	first := chart.Chart{Title: "First token at the 95th of 100 in the middle third", Unit: "ms, most of the seeds"}
	over := chart.Chart{Title: "Requests above what engines bore", Unit: "most of the seeds"}
	for size := range deployments(0) {
		for _, e := range events {
			for _, kind := range []string{"", "LeastLoaded", "naive"} {
				label := deployments(0)[size].Name + ", " + e.name
				if kind != "" {
					label += ", " + kind
				}
				var answered, sent, tries int
				var worst Result
				for seed := range uint64(seedCount) {
					s := deployments(seed)[size]
					e.change(&s)
					s.Naive = kind == "naive"
					if kind == "LeastLoaded" {
						s.Policy = kind
					}
					r := runScenario(t, s)
					results[label] = append(results[label], r)
					answered, sent, tries = answered+r.Answered, sent+r.Requests, tries+r.Tries
					worst.Overloads = max(worst.Overloads, r.Overloads)
					worst.Unsigned = max(worst.Unsigned, r.Unsigned)
					worst.FellOver = max(worst.FellOver, r.FellOver)
					for i := range 3 {
						worst.Middle[i] = max(worst.Middle[i], r.Middle[i])
						worst.Small[i] = max(worst.Small[i], r.Small[i])
					}
					worst.HitShare = max(worst.HitShare, r.HitShare)
					worst.Gap[1] = max(worst.Gap[1], r.Gap[1])
				}
				fmt.Printf("%-58s answered %6.2f%% tries %.3f first %6.1f %7.1f %7.1f small %7.1f gap %5.1f hits %.2f above %3d before sign %2d fell %3d\n",
					label, 100*float64(answered)/float64(sent), float64(tries)/float64(sent), worst.Middle[0], worst.Middle[1], worst.Middle[2],
					worst.Small[1], worst.Gap[1], worst.HitShare, worst.Overloads, worst.Unsigned, worst.FellOver)
				first.Bars = append(first.Bars, chart.Bar{Label: label, Value: worst.Middle[1]})
				over.Bars = append(over.Bars, chart.Bar{Label: label, Value: float64(worst.Overloads)})
			}
		}
	}
	if *outDir != "" {
		if err := chart.Write(*outDir, "requests", results, []chart.Chart{first, over}); err != nil {
			t.Fatal(err)
		}
	}
}
