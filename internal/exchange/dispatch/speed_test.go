package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/site/plan"
)

const (
	unevenEngines  = 14
	unevenSlots    = 12
	unevenDeadline = 6 * time.Second
	// tokenTime is the time that a usual engine takes for a token of an answer.
	tokenTime = 9 * time.Millisecond
)

// slowdownAt returns the slowdown of the engine with a number, after a time.
type slowdownAt func(engine int, after time.Duration) float64

// unevenResult counts the answers that began at slow engines and at others, and
// those that did not end before their deadline.
type unevenResult struct{ offered, atSlow, atUsual, cut int }

// playUneven lets callers at one entry ask for a part of the capacity of usual
// engines, by answers of very different lengths whose hints are right at the median.
func playUneven(t *testing.T, load float64, length time.Duration, slowdown slowdownAt) unevenResult {
	d := New(settings())
	v := site(unevenEngines, 1)
	v.Plan.Services["llm"] = &plan.Service{Name: "llm", Engine: &plan.Engine{
		Slots: unevenSlots, Step: tokenTime, StepsPerEvent: 7, PrefillTokensPerSecond: 30000, MeanPromptTokens: 1200, MeanAnswerTokens: 130,
	}}
	d.Update(v)
	var mu sync.Mutex
	var out unevenResult
	active := map[id.Target]int{}
	began := time.Now()
	go func() {
		for time.Since(began) < length {
			for i := range unevenEngines {
				k := id.Target(fmt.Sprintf("e%d", i))
				mu.Lock()
				l := Load{Active: active[k], Weights: 1, Slowdown: slowdown(i, time.Since(began))}
				mu.Unlock()
				d.ReportLoad(k, l)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
	random := rand.New(rand.NewPCG(1, 7))
	var wg sync.WaitGroup
	rate := load * unevenEngines * unevenSlots / (130 * tokenTime).Seconds()
	time.Sleep(time.Millisecond)
	for time.Since(began) < length {
		hint := math.Min(30*math.Exp(1.2*random.NormFloat64())+20, 600)
		tokens := math.Min(hint*math.Exp(0.5*random.NormFloat64()), 600)
		wg.Go(func() {
			now := time.Now()
			g, err := d.Acquire(t.Context(), &Request{Service: "llm", MaxWait: 250 * time.Millisecond, PromptTokens: 800, Answer: Answer{
				HintTokens: int(hint), MaxTokens: 600, Gap: 400 * time.Millisecond,
				StartDue: now.Add(400 * time.Millisecond), EndDue: now.Add(unevenDeadline),
			}})
			mu.Lock()
			out.offered++
			if err != nil {
				mu.Unlock()
				return
			}
			var engine int
			_, _ = fmt.Sscanf(string(g.Target), "e%d", &engine)
			factor := slowdown(engine, time.Since(began))
			if factor > 1 {
				out.atSlow++
			} else {
				out.atUsual++
			}
			took := time.Duration(factor * tokens * float64(tokenTime))
			if took > unevenDeadline {
				out.cut++
			}
			active[g.Target]++
			mu.Unlock()
			time.Sleep(min(took, unevenDeadline))
			mu.Lock()
			active[g.Target]--
			mu.Unlock()
			g.End(Served)
		})
		time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / rate))
	}
	wg.Wait()
	return out
}

// TestHoldsWorkFollowsSpeed plays fleets with slow engines under a load for which the
// others have room. At most 1 in 100 answers may miss its deadline, where there are
// faster engines, and slow ones must not be shut out.
func TestHoldsWorkFollowsSpeed(t *testing.T) {
	const length = 20 * time.Second
	isSlow := func(engine int) bool { return engine%7 == 0 }
	for name, c := range map[string]struct {
		slowdown slowdownAt
		// maxCut is the greatest part of the answers that may be cut.
		maxCut float64
		// minAtSlow is the least part that slow engines must serve.
		minAtSlow float64
	}{
		"uneven": {func(engine int, _ time.Duration) float64 {
			if isSlow(engine) {
				return 2.5
			}
			return 1
		}, 0.01, 0.01},
		"two turn slow and recover": {func(engine int, after time.Duration) float64 {
			if isSlow(engine) && after > length/4 && after < length/2 {
				return 4
			}
			return 1
		}, 0.01, 0},
		"one failure domain is slow": {func(engine int, _ time.Duration) float64 {
			if engine%2 == 0 {
				return 2
			}
			return 1
		}, 0.01, 0.1},
		"all are slow": {func(int, time.Duration) float64 { return 2 }, 1, 0.99},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got := playUneven(t, 0.3, length, c.slowdown)
				t.Logf("%+v", got)
				if cut := float64(got.cut) / float64(got.offered); cut > c.maxCut {
					t.Errorf("%.3f of the answers were cut", cut)
				}
				if part := float64(got.atSlow) / float64(got.offered); part < c.minAtSlow {
					t.Errorf("slow engines served %.3f", part)
				}
				if served := float64(got.atSlow+got.atUsual) / float64(got.offered); served < 0.99 {
					t.Errorf("only %.3f were served", served)
				}
			})
		})
	}
}

// TestUnevenFleetUnderOverload checks that slow engines help where the others have no
// room, and that what can't end there before its deadline doesn't begin there.
func TestUnevenFleetUnderOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slowdown := func(engine int, _ time.Duration) float64 {
			if engine < unevenEngines/2 {
				return 3
			}
			return 1
		}
		got := playUneven(t, 2, 20*time.Second, slowdown)
		t.Logf("%+v", got)
		if got.atSlow < got.atUsual/10 {
			t.Errorf("slow engines served %d, others %d", got.atSlow, got.atUsual)
		}
		if float64(got.cut) > 0.05*float64(got.offered) {
			t.Errorf("%d of %d answers were cut", got.cut, got.offered)
		}
	})
}

// TestSlownessExpiresWithItsReports checks that an engine whose reports stop, or that
// restarts, is not taken for slow for long.
func TestSlownessExpiresWithItsReports(t *testing.T) {
	long := func() *Request {
		return &Request{Service: "llm", Answer: Answer{HintTokens: 5000, EndDue: time.Now().Add(unevenDeadline)}}
	}
	view := func(born int64) *Dispatcher {
		d := New(settings())
		d.Update(site(2, 1))
		d.ReportLoad("e0", Load{Weights: 1, Slowdown: 5})
		d.ReportLoad("e1", Load{Weights: 1, Active: 17})
		v := site(2, 1)
		e := v.Targets["e0"]
		e.Born = born
		v.Targets["e0"] = e
		for _, s := range v.Plan.Services {
			if s.Engine != nil {
				s.Engine.Step = tokenTime
			}
		}
		d.Update(v)
		return d
	}
	synctest.Test(t, func(t *testing.T) {
		d := view(1)
		if g, err := d.Acquire(t.Context(), long()); err == nil {
			t.Errorf("a long answer goes to %s, which is slow", g.Target)
		}
		time.Sleep(silentTargetPause)
		if _, err := d.Acquire(t.Context(), long()); err != nil {
			t.Errorf("without reports for %s: %v", silentTargetPause, err)
		}
		if _, err := view(2).Acquire(t.Context(), long()); err != nil {
			t.Errorf("after a restart: %v", err)
		}
	})
}

// TestSlowTargetServesWhatNoOtherMay checks that long answers go to a slow engine if
// the fast one may not serve them.
func TestSlowTargetServesWhatNoOtherMay(t *testing.T) {
	for name, change := range map[string]func(*Dispatcher, *Request){
		"other region": func(_ *Dispatcher, r *Request) { r.Regions = []id.Region{"north"} },
		"tried before": func(_ *Dispatcher, r *Request) { r.Exclude = []id.Target{"e1"} },
		"old weights":  func(_ *Dispatcher, r *Request) { r.MinWeights = 2 },
		"closed":       func(d *Dispatcher, _ *Request) { d.ReportLoad("e1", Load{Weights: 1, Closed: true}) },
	} {
		synctest.Test(t, func(t *testing.T) {
			d := New(settings())
			v := site(2, 1)
			v.Plan.Services["llm"].Engine.Step = tokenTime
			d.Update(v)
			d.ReportLoad("e0", Load{Weights: 2, Slowdown: 5})
			d.ReportLoad("e1", Load{Weights: 1})
			r := &Request{Service: "llm", Answer: Answer{HintTokens: 5000, EndDue: time.Now().Add(unevenDeadline)}}
			if g, err := d.Acquire(t.Context(), r); err != nil || g.Target != "e1" {
				t.Errorf("%s: without a reason not to use the fast engine: %v, %v", name, g, err)
			}
			change(d, r)
			if g, err := d.Acquire(t.Context(), r); err != nil || g.Target != "e0" {
				t.Errorf("%s: %v, %v", name, g, err)
			}
		})
	}
}
