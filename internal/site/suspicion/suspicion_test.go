package suspicion

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/site/evidence"
	"egretproxy/internal/site/quarantine"
	"egretproxy/internal/site/witness"
)

const (
	testSeeds = 4
	quietTime = 10 * time.Second
	crashTime = 20 * time.Second
	// maxEndsPerPart is five ends and those within the time to react at the rate
	// of the test.
	maxEndsPerPart = 5
	reactionTime   = 3 * time.Second
)

// TestHoldsGuiltyPartIsShutOut guards against parts of prompts that end engine
// after engine: at each place, alone or with others, at a high and a low rate,
// among many bystanders.
func TestHoldsGuiltyPartIsShutOut(t *testing.T) {
	for _, c := range []struct {
		place  int
		guilty []id.PromptPart
		rate   float64
	}{
		{0, []id.PromptPart{"g"}, 8},
		{1, []id.PromptPart{"g"}, 8},
		{2, []id.PromptPart{"g"}, 8},
		{1, []id.PromptPart{"g"}, 2},
		{1, []id.PromptPart{"g"}, 0.5},
		{2, []id.PromptPart{"g", "h", "i"}, 8},
	} {
		t.Run(fmt.Sprintf("place %d, %d parts, %v per second", c.place, len(c.guilty), c.rate), func(t *testing.T) {
			for seed := range uint64(testSeeds) {
				synctest.Test(t, func(t *testing.T) {
					l := newLoad(seed, c.guilty...)
					l.run(quietTime, 80, 0, 0, nil)
					l.sound, l.refusedSound = 0, 0
					l.run(crashTime, 80, c.rate, c.place, nil)
					for _, g := range c.guilty {
						if most := maxEndsPerPart + int(c.rate*reactionTime.Seconds()); l.ends[g] > most {
							t.Errorf("seed %d: %d engines ended with part %s", seed, l.ends[g], g)
						}
						if c.rate > 1 && !slices.ContainsFunc(l.verdicts, func(v quarantine.Verdict) bool { return slices.Contains(v.Parts, g) }) {
							t.Errorf("seed %d: part %s is not shut out", seed, g)
						}
					}
					if l.refusedSound*100 > l.sound {
						t.Errorf("seed %d: %d of %d sound requests were shut out; verdicts %v", seed, l.refusedSound, l.sound, l.soundVerdicts)
					}
				})
			}
		})
	}
}

// TestHoldsPartIsShutOutAfterEvents guards against a part on which responses begin before
// they end their engines: never being shut out, or being readmitted by one that began.
func TestHoldsPartIsShutOutAfterEvents(t *testing.T) {
	for _, c := range []struct {
		rate      float64
		lateEvery int
	}{{8, 1}, {4, 1}, {2, 1}, {4, 3}, {4, 20}} {
		t.Run(fmt.Sprintf("%v per second, one in %d late", c.rate, c.lateEvery), func(t *testing.T) {
			for seed := range uint64(testSeeds) {
				synctest.Test(t, func(t *testing.T) {
					l := newLoad(seed, "g")
					l.lateEvery = c.lateEvery
					l.run(quietTime, 80, 0, 0, nil)
					l.sound, l.refusedSound = 0, 0
					l.run(crashTime, 80, c.rate, 1, nil)
					late, crashes := 0, l.crashes["g"]
					for _, at := range l.sends["g"] {
						if len(crashes) >= maxEndsPerPart && at.After(crashes[maxEndsPerPart-1].Add(reactionTime)) {
							late++
						}
					}
					if late > maxLateSends {
						t.Errorf("seed %d: %d of %d requests were sent later than %s after the fifth end", seed, late, len(l.sends["g"]), reactionTime)
					}
					if l.refusedSound*100 > l.sound {
						t.Errorf("seed %d: %d of %d sound requests were shut out; verdicts %v", seed, l.refusedSound, l.sound, l.soundVerdicts)
					}
				})
			}
		})
	}
}

// TestHoldsOtherEndsShutNothingOut guards against verdicts on parts that were only
// there when engines ended: at random, a whole failure domain, all that an entry
// is connected to, and one after the other.
func TestHoldsOtherEndsShutNothingOut(t *testing.T) {
	for name, other := range map[string]func(l *load) func(){
		"at random": func(l *load) func() {
			return func() {
				if l.random.IntN(50) == 0 {
					l.end(l.engines[l.random.IntN(loadEngines)])
				}
			}
		},
		"failure domain": func(l *load) func() {
			return func() {
				if l.random.IntN(300) == 0 {
					for _, e := range l.engines {
						if e.domain == 1 {
							l.end(e)
						}
					}
				}
			}
		},
		"connections of an entry": func(l *load) func() {
			return func() {
				if l.random.IntN(100) == 0 {
					for _, e := range l.engines {
						for _, r := range e.running {
							if r.entry == 2 && !r.begun {
								l.witnesses[2].Ended(e.id, e.upAt.UnixMilli(), r.parts)
							}
						}
					}
				}
			}
		},
		"in turn": func(l *load) func() {
			n := 0
			return func() {
				if n++; n%40 == 0 {
					l.end(l.engines[n/40%loadEngines])
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(testSeeds) {
				synctest.Test(t, func(t *testing.T) {
					l := newLoad(seed)
					l.run(crashTime, 80, 0, 0, other(l))
					if len(l.soundVerdicts) > 0 {
						t.Errorf("seed %d: verdicts %v", seed, l.soundVerdicts)
					}
				})
			}
		})
	}
}

// TestHoldsOtherPartsCanNotBeShutOut guards against a caller that names another
// organisation's part, which few requests have, beside its own that ends engines.
func TestHoldsOtherPartsCanNotBeShutOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var j Judge
		var w witness.Witness
		end := func(n int, parts ...id.PromptPart) {
			w.Ended(id.Target(fmt.Sprintf("e%d", n)), 1, parts)
			report, _ := w.Take()
			j.Add(report)
			j.Verdict(nil)
			time.Sleep(time.Second)
		}
		for n := range 6 {
			end(n, "victim", "bad")
		}
		v, _ := j.Verdict(nil)
		if v == nil || !v.Matches([]id.PromptPart{"victim", "bad"}) || len(v.Parts) != 2 {
			t.Fatalf("verdict %v", v)
		}
		if v.Matches([]id.PromptPart{"victim"}) || v.Matches([]id.PromptPart{"victim", "other"}) {
			t.Errorf("verdict %v shuts out requests with one of the parts", v.Parts)
		}
		// A request with the part of the other organisation shows that it is
		// harmless.
		inForce := []quarantine.Verdict{*v}
		j.Add(evidence.Report{Begun: []evidence.Begun{{Part: "victim"}}})
		inForce[0] = v.Without("victim")
		end(7, "victim", "bad")
		if again, _ := j.Verdict(inForce); again != nil {
			t.Errorf("verdict %v after a response began on the part", again.Parts)
		}
	})
}

// TestHoldsExplainedEndsCountForNothing guards against a verdict on a part that was
// beside a guilty one several times, and on which no response has begun because
// few requests have it.
func TestHoldsExplainedEndsCountForNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var j Judge
		inForce := []quarantine.Verdict{{Parts: []id.PromptPart{"bad"}}}
		for n := range 2 * enoughMoments {
			e := evidence.End{Target: id.Target(fmt.Sprint(n)), Fresh: []id.PromptPart{"bad"}}
			if n < enoughMoments {
				e.Fresh = append(e.Fresh, "rare")
			}
			j.Add(evidence.Report{Ends: []evidence.End{e}})
			if v, _ := j.Verdict(inForce); v != nil {
				t.Fatalf("verdict %v after %d ends", v.Parts, n+1)
			}
			time.Sleep(time.Second)
		}
	})
}

// TestLiftedVerdictStaysLifted guards against keepers that convict a part again by
// the ends from before its verdict was lifted.
func TestLiftedVerdictStaysLifted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var j Judge
		var inForce []quarantine.Verdict
		end := func(n int) {
			j.Add(evidence.Report{Ends: []evidence.End{{Target: id.Target(fmt.Sprint(n)), Fresh: []id.PromptPart{"p"}}}})
			j.Verdict(inForce)
			time.Sleep(time.Second)
		}
		for n := range 3 {
			end(n)
		}
		v, _ := j.Verdict(nil)
		if v == nil {
			t.Fatal("no verdict")
		}
		if again, _ := j.Verdict([]quarantine.Verdict{*v}); again != nil {
			t.Errorf("verdict %v beside the same", again.Parts)
		}
		if again, _ := j.Verdict(nil); again != nil {
			t.Errorf("verdict %v after it was lifted", again.Parts)
		}
		time.Sleep(time.Second)
		for n := range 3 {
			end(10 + n)
		}
		if v, _ = j.Verdict(nil); v == nil {
			t.Error("no verdict after further ends")
		}
	})
}

// TestMemoryIsBounded guards against callers that name parts without end.
func TestMemoryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var j Judge
		for n := range 3 * maxEnds {
			e := evidence.End{Target: id.Target(fmt.Sprint(n))}
			for k := range 2 * maxPartsPerEnd {
				e.Fresh = append(e.Fresh, id.PromptPart(fmt.Sprint(n, "-", k)))
			}
			// Two reports of each end.
			j.addEnd(time.Now(), e)
			j.addEnd(time.Now(), e)
			time.Sleep(time.Millisecond)
		}
		j.Add(evidence.Report{})
		j.Verdict(nil)
		if len(j.ends) > maxEnds || len(j.ends[0].parts) > maxPartsPerEnd || len(j.parts) > maxEnds*maxPartsPerEnd {
			t.Errorf("%d ends, %d parts in the first, %d parts in all", len(j.ends), len(j.ends[0].parts), len(j.parts))
		}
		if s, _ := j.Suspects(); len(s) > maxSuspects {
			t.Errorf("%d suspects", len(s))
		}
	})
}
