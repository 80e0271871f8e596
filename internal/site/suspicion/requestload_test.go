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
)

const (
	// deadlyEnds is the number of engines that a request ends before it counts as
	// one that ends engines, maxLateSends the number of times that it may be sent
	// later than lateAfter after that.
	deadlyEnds, maxLateSends = 3, 3
	lateAfter                = 3 * time.Second
)

// marks are what verdicts match.
func (r *promptRequest) marks() []id.PromptPart {
	if r.name == "" {
		return r.parts
	}
	return append(slices.Clone(r.parts), r.name)
}

// drawName returns the name of a sound request, one in ten of which comes again and
// again.
func (l *load) drawName() id.PromptPart {
	if l.popular > 0 && l.random.IntN(10) == 0 {
		return id.PromptPart(fmt.Sprintf("request:popular-%d", l.random.IntN(l.popular)))
	}
	return id.PromptPart(fmt.Sprintf("request:sound-%d", l.sound))
}

// mayResume reports whether the entry sends a request again that was at an engine
// which ended.
func (l *load) mayResume(r *promptRequest) bool {
	return r.name == "" || l.witnesses[r.entry].RequestEnds(r.name) < suspectMoments && !l.witnesses[r.entry].Suspected([]id.PromptPart{r.name})
}

// resume goes on with a request whose response had begun, once.
func (l *load) resume(r *promptRequest) {
	if r.name == "" || r.again || !l.mayResume(r) {
		return
	}
	r.again, r.begun, r.harmless = true, false, false
	l.send(r)
}

// deadlyTraffic returns a function for each step of a load, which sends some requests
// again and again, at a rate for each. They share all parts with sound requests.
func (l *load) deadlyTraffic(requests int, perSecond float64) func() {
	return func() {
		for n := range requests {
			if l.random.Float64() >= perSecond*loadStep.Seconds() {
				continue
			}
			l.send(&promptRequest{
				entry: l.random.IntN(loadEntries), name: id.PromptPart(fmt.Sprintf("request:%d", n)), deadly: true,
				parts: []id.PromptPart{"a0", id.PromptPart(fmt.Sprintf("b%d", n)), id.PromptPart(fmt.Sprintf("c%d", n))},
			})
		}
	}
}

// TestHoldsDeadlyRequestIsShutOut guards against requests that end each engine which
// runs them, and come again, being sent on; and against a part that they share with
// sound requests being convicted instead.
func TestHoldsDeadlyRequestIsShutOut(t *testing.T) {
	for _, c := range []struct {
		requests  int
		perSecond float64
	}{{1, 4}, {1, 0.5}, {4, 1.5}, {12, 0.5}} {
		t.Run(fmt.Sprintf("%d requests, %v per second each", c.requests, c.perSecond), func(t *testing.T) {
			for seed := range uint64(testSeeds) {
				synctest.Test(t, func(t *testing.T) {
					l := newLoad(seed)
					l.run(quietTime, 80, 0, 0, nil)
					l.sound, l.refusedSound = 0, 0
					l.run(2*crashTime, 80, 0, 0, l.deadlyTraffic(c.requests, c.perSecond))
					for name, ends := range l.crashes {
						late := 0
						for _, at := range l.sends[name] {
							if len(ends) >= deadlyEnds && at.After(ends[deadlyEnds-1].Add(lateAfter)) {
								late++
							}
						}
						if late > maxLateSends {
							t.Errorf("seed %d: %s was sent %d times later than %s after it had ended %d engines, %d in all", seed, name, late, lateAfter, deadlyEnds, len(ends))
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

// TestHoldsOtherEndsShutNoRequestOut guards against verdicts on requests that were only
// there when engines ended: those that come once or twice, and those that come often.
// Beside deadly requests, exactly these may be shut out.
func TestHoldsOtherEndsShutNoRequestOut(t *testing.T) {
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
		"beside deadly requests": func(l *load) func() { return l.deadlyTraffic(3, 1) },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(testSeeds) {
				synctest.Test(t, func(t *testing.T) {
					l := newLoad(seed)
					l.popular = 20
					l.run(quietTime, 80, 0, 0, nil)
					l.run(crashTime, 80, 0, 0, other(l))
					for _, v := range l.soundVerdicts {
						t.Errorf("seed %d: verdict %v", seed, v)
					}
					if l.refusedSound*100 > l.sound {
						t.Errorf("seed %d: %d of %d sound requests were shut out; verdicts %v", seed, l.refusedSound, l.sound, l.soundVerdicts)
					}
				})
			}
		})
	}
}

// TestHoldsRequestExplainsItsEnds guards against a verdict on a part that nothing but
// one request, which ends engines again and again, has in common with them; and against
// none on a part with which different requests end engines.
func TestHoldsRequestExplainsItsEnds(t *testing.T) {
	for name, c := range map[string]struct {
		request func(n int) id.PromptPart
		served  bool
		want    func(v quarantine.Verdict) bool
	}{
		"one request": {
			request: func(int) id.PromptPart { return "request:0" },
			want:    func(v quarantine.Verdict) bool { return v.OnRequest() },
		},
		"one request, served before": {
			request: func(int) id.PromptPart { return "request:0" }, served: true,
			want: func(v quarantine.Verdict) bool { return v.OnRequest() },
		},
		"a request for each two ends": {
			request: func(n int) id.PromptPart { return id.PromptPart(fmt.Sprintf("request:%d", n/2)) },
			want:    func(v quarantine.Verdict) bool { return slices.Equal(v.Parts, []id.PromptPart{"part"}) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var j Judge
				var inForce []quarantine.Verdict
				for n := range 4 * enoughMoments {
					e := evidence.End{
						Target: id.Target(fmt.Sprint(n)), Fresh: []id.PromptPart{"part"}, Requests: []id.PromptPart{c.request(n)},
					}
					if c.served {
						e.Served = e.Requests
					}
					j.Add(evidence.Report{Ends: []evidence.End{e}})
					j.Verdict(inForce)
					time.Sleep(time.Second)
					if v, _ := j.Verdict(inForce); v != nil {
						inForce = append(inForce, *v)
					}
				}
				if len(inForce) != 1 || !c.want(inForce[0]) {
					t.Errorf("verdicts %v", inForce)
				}
			})
		})
	}
}

// TestHoldsWholeResponseClearsRequest guards against a request that comes often being
// convicted by ends between which responses to it came to their end.
func TestHoldsWholeResponseClearsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var j Judge
		request := []id.PromptPart{"request:0"}
		for n := range 12 {
			j.Add(evidence.Report{Ends: []evidence.End{{Target: id.Target(fmt.Sprint(n)), Requests: request}}})
			j.Verdict(nil)
			time.Sleep(time.Second)
			if v, _ := j.Verdict(nil); (v != nil) != (n == 11) {
				t.Fatalf("verdict %v after %d ends", v, n+1)
			}
			if n < 9 && n%2 == 1 || n == 8 {
				j.Add(evidence.Report{Begun: []evidence.Begun{{Part: request[0]}}})
				time.Sleep(time.Millisecond)
			}
		}
	})
}
