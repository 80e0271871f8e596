package capacity_test

import (
	"fmt"
	"testing"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/request/prompt"
	"egretproxy/internal/site/evidence"
	"egretproxy/internal/site/quarantine"
	"egretproxy/internal/site/suspicion"
	"egretproxy/internal/site/witness"
)

// BenchmarkRequestParts measures what the parts of a prompt add to a request at an
// entry: reading them, matching verdicts and remembering a response.
func BenchmarkRequestParts(b *testing.B) {
	for _, verdicts := range []int{0, 8, 64} {
		b.Run(fmt.Sprintf("%d verdicts", verdicts), func(b *testing.B) {
			var all []quarantine.Verdict
			for i := range verdicts {
				all = append(all, quarantine.Verdict{Parts: []id.PromptPart{id.PromptPart(fmt.Sprintf("%08x", i))}})
			}
			var w witness.Witness
			w.SetVerdicts(all)
			n := 0
			for b.Loop() {
				n++
				parts := prompt.SharedParts(fmt.Sprintf("%08x:800,%08x:410,%08x:90,%08x:250", n%7+100, n%5000+1000, n%40+200, n))
				for i := range all {
					if all[i].Matches(parts) {
						b.Fatal("matched")
					}
				}
				w.Begun(parts)
			}
		})
	}
}

// BenchmarkJudgeReport measures a keeper that gets a report of one end with the
// parts of eight requests, and holds many ends.
func BenchmarkJudgeReport(b *testing.B) {
	for _, held := range []int{10, 100, 512} {
		b.Run(fmt.Sprintf("%d ends", held), func(b *testing.B) {
			var j suspicion.Judge
			n := 0
			report := func() {
				n++
				e := evidence.End{Target: id.Target(fmt.Sprint(n % held))}
				for k := range 16 {
					e.Fresh = append(e.Fresh, id.PromptPart(fmt.Sprintf("%08x", n%held*16+k)))
				}
				j.Add(evidence.Report{Ends: []evidence.End{e}})
			}
			for range held {
				report()
			}
			for b.Loop() {
				report()
				j.Verdict(nil)
			}
		})
	}
}
