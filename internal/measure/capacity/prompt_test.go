package capacity_test

import (
	"fmt"
	"testing"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/request/digest"
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

// BenchmarkRequestDigest measures what the digest of a request adds at an entry:
// computing it, matching verdicts and remembering the response.
func BenchmarkRequestDigest(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 64 << 10, 4 << 20} {
		b.Run(fmt.Sprintf("%d bytes", size), func(b *testing.B) {
			var all []quarantine.Verdict
			for i := range 64 {
				all = append(all, quarantine.Verdict{Parts: []id.PromptPart{id.PromptPart(fmt.Sprintf("request:%032x", i))}})
			}
			var w witness.Witness
			w.SetVerdicts(all)
			r := digest.Request{
				Method: "POST", Host: "host.example", URI: "/path/of/a/request?a=1", Organisation: "organisation",
				Prompt: "5c1e07a2:800,91bd3f06:410,e4402b7d:250", Body: make([]byte, size),
			}
			n := byte(0)
			for b.Loop() {
				n++
				if size > 0 {
					r.Body[0] = n
				}
				marks := []id.PromptPart{"a", "b", r.Digest()}
				for i := range all {
					if all[i].Matches(marks) {
						b.Fatal("matched")
					}
				}
				w.RequestServed(marks[2])
			}
		})
	}
}

// BenchmarkJudgeReport measures a keeper that gets a report of one end with the
// parts and the digests of eight requests, and holds many ends. One of the requests is
// at all of them.
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
				for k := range 7 {
					e.Requests = append(e.Requests, id.PromptPart(fmt.Sprintf("request:%032x", n%held*8+k)))
				}
				e.Requests = append(e.Requests, "request:all")
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
