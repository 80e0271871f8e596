package dispatch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/site/discovery"
	"egretproxy/internal/site/plan"
	"egretproxy/internal/site/siteclient"
)

const (
	coldPerSecond = 26
	overrun       = 1.5
	allowance     = 5
)

func settings() Settings {
	return Settings{
		Regions: map[id.Domain]id.Region{"z1": "north", "z2": "south"}, HomeRegion: "north",
		ColdOverrun: overrun, ColdAllowance: allowance,
	}
}

// site returns a view with engines in two failure domains.
func site(engines, entries int) *siteclient.View {
	v := &siteclient.View{
		Plan: &plan.Plan{Services: map[id.Service]*plan.Service{
			"llm": {Name: "llm", ColdPerSecond: coldPerSecond, Engine: &plan.Engine{Slots: 16, MeanPromptTokens: 900}},
			"app": {Name: "app"},
		}},
		Targets: map[id.Target]discovery.Target{}, Entries: entries,
	}
	for i := range engines {
		k := id.Target(fmt.Sprintf("e%d", i))
		domain := id.Domain("z1")
		if i%2 == 1 {
			domain = "z2"
		}
		v.Targets[k] = discovery.Target{ID: k, Service: "llm", Address: string(k), Domain: domain, Slots: 16, Born: 1, Weights: 1}
	}
	return v
}

// TestHoldsColdTargetsBound plays the pattern of a zone that returns cold
// while callers press: seven entries that don't talk to each other send to
// one engine as fast as they are let. In no second may it get more than its
// service's rate x overrun + allowance.
func TestHoldsColdTargetsBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries = 7
		var mu sync.Mutex
		var sent []time.Duration
		began := time.Now()
		var wg sync.WaitGroup
		for range entries {
			b := New(settings())
			b.Update(site(1, entries))
			wg.Go(func() {
				for time.Since(began) < 6*time.Second {
					g, err := b.Acquire(t.Context(), &Request{Service: "llm", MaxWait: 100 * time.Millisecond})
					if err == nil {
						mu.Lock()
						sent = append(sent, time.Since(began))
						mu.Unlock()
						g.End(Served)
					}
					time.Sleep(time.Millisecond)
				}
			})
		}
		wg.Wait()
		most := 0
		for i, from := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at >= from && at < from+time.Second {
					n++
				}
			}
			most = max(most, n)
		}
		if bound := int(coldPerSecond*overrun + allowance); most > bound || most == 0 {
			t.Errorf("%d requests in one second, bound %d", most, bound)
		}
	})
}

// TestHoldsFullSiteRefusesAtOnce plays a burst on engines that are full: what
// can't be borne in time is refused without a wait, and says so.
func TestHoldsFullSiteRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(settings())
		b.Update(site(1, 1))
		b.ReportLoad("e0", Load{Active: 16, Queued: 4, Weights: 1})
		began := time.Now()
		_, err := b.Acquire(t.Context(), &Request{Service: "llm"})
		if !errors.Is(err, ErrFull) || time.Since(began) != 0 {
			t.Errorf("%v after %s", err, time.Since(began))
		}
		_, err = b.Acquire(t.Context(), &Request{Service: "llm", MaxWait: 200 * time.Millisecond})
		if !errors.Is(err, ErrFull) || time.Since(began) > 200*time.Millisecond {
			t.Errorf("%v after %s", err, time.Since(began))
		}
	})
}

// TestUrgentRequestsGoFirst queues requests of two ranks behind a full engine.
func TestUrgentRequestsGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(settings())
		b.Update(site(1, 1))
		b.ReportLoad("e0", Load{Active: 17, Weights: 1})
		var mu sync.Mutex
		var order []int
		for _, rank := range []int{2, 2, 1} {
			go func() {
				if g, err := b.Acquire(t.Context(), &Request{Service: "llm", Priority: rank, MaxWait: time.Second}); err == nil {
					mu.Lock()
					order = append(order, rank)
					mu.Unlock()
					time.Sleep(10 * time.Millisecond)
					g.End(Served)
				}
			}()
			synctest.Wait()
		}
		b.ReportLoad("e0", Load{Active: 16, Weights: 1})
		time.Sleep(time.Second)
		mu.Lock()
		defer mu.Unlock()
		if fmt.Sprint(order) != "[1 2 2]" {
			t.Errorf("order %v", order)
		}
	})
}

func TestTargetsThatMayNotServeAreLeftOut(t *testing.T) {
	for name, change := range map[string]func(v *siteclient.View, a *Request){
		"withdrawn": func(v *siteclient.View, _ *Request) { v.Withdrawn = map[id.Domain]bool{"z1": true} },
		"draining": func(v *siteclient.View, _ *Request) {
			e := v.Targets["e0"]
			e.Stage = discovery.Draining
			v.Targets["e0"] = e
		},
		"left":        func(v *siteclient.View, _ *Request) { delete(v.Targets, "e0") },
		"region":      func(_ *siteclient.View, a *Request) { a.Regions = []id.Region{"south"} },
		"old weights": func(_ *siteclient.View, a *Request) { a.MinWeights = 2 },
		"tried":       func(_ *siteclient.View, a *Request) { a.Exclude = []id.Target{"e0"} },
		"empty": func(v *siteclient.View, _ *Request) {
			e := v.Targets["e0"]
			e.Weights = 0
			v.Targets["e0"] = e
		},
	} {
		b := New(settings())
		v, a := site(1, 1), &Request{Service: "llm"}
		if _, err := func() (*Grant, error) { b.Update(v); return b.Acquire(context.Background(), a) }(); err != nil {
			t.Fatalf("%s: before the change: %v", name, err)
		}
		change(v, a)
		b.Update(v)
		if g, err := b.Acquire(context.Background(), a); !errors.Is(err, ErrNoTarget) {
			t.Errorf("%s: got %+v, %v", name, g, err)
		}
	}
}

// TestEntriesDontPileUp plays the pattern of entries with the same reports: in
// the time of one report, each sends requests. No engine may get much more
// than its share.
func TestEntriesDontPileUp(t *testing.T) {
	const entries, engines, each = 7, 10, 4
	count := map[id.Target]int{}
	for range entries {
		b := New(settings())
		b.Update(site(engines, entries))
		for i := range engines {
			b.ReportLoad(id.Target(fmt.Sprintf("e%d", i)), Load{Active: 6, Weights: 1})
		}
		for range each {
			g, err := b.Acquire(context.Background(), &Request{Service: "llm", PromptTokens: 900})
			if err != nil {
				t.Fatal(err)
			}
			count[g.Target]++
		}
	}
	for k, n := range count {
		if n > 3*entries*each/engines+1 {
			t.Errorf("%s got %d of %d requests", k, n, entries*each)
		}
	}
}

// TestFailingTargetIsTriedAgainGently ejects a target that takes no
// connection and lets one request at a time find out whether it is back.
func TestFailingTargetIsTriedAgainGently(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(settings())
		b.Update(site(1, 1))
		ask := &Request{Service: "llm"}
		g, err := b.Acquire(t.Context(), ask)
		if err != nil {
			t.Fatal(err)
		}
		if !g.End(Unreachable) {
			t.Fatal("target was not left out")
		}
		if _, err := b.Acquire(t.Context(), ask); !errors.Is(err, ErrFull) {
			t.Errorf("a target that was left out: %v", err)
		}
		time.Sleep(firstEjection + time.Millisecond)
		g, err = b.Acquire(t.Context(), ask)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := b.Acquire(t.Context(), ask); !errors.Is(err, ErrFull) {
			t.Errorf("a second request during the trial: %v", err)
		}
		g.End(Served)
		time.Sleep(time.Second)
		if _, err := b.Acquire(t.Context(), ask); err != nil {
			t.Errorf("after it served again: %v", err)
		}
	})
}

// TestHoldsRetryBudget lets seven entries retry as often as they may. The sum
// stays below the site's budget in every window.
func TestHoldsRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries, ratio, extra = 7, 0.2, 112
		window := 10 * time.Second
		var at []time.Duration
		began := time.Now()
		all := make([]*RetryBudget, entries)
		for i := range all {
			all[i] = &RetryBudget{Ratio: ratio, Allowance: extra, Window: window}
		}
		requests := 0
		for time.Since(began) < 35*time.Second {
			for _, r := range all {
				r.RecordRequest("s")
				requests++
				for r.Take("s", entries) {
					at = append(at, time.Since(began))
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		perWindow := float64(entries) * window.Seconds() * 10
		for i, from := range at {
			n := 0
			for _, x := range at[i:] {
				if x < from+window {
					n++
				}
			}
			if float64(n) > ratio*perWindow+extra {
				t.Fatalf("%d retries in one window, budget %.0f", n, ratio*perWindow+extra)
			}
		}
		if len(at) < extra/2 {
			t.Errorf("only %d retries for %d requests", len(at), requests)
		}
	})
}

// TestTargetsBehindSlowLinksGetNothing plays a link that is narrowed: requests
// would queue on it and reach the target seconds later.
func TestTargetsBehindSlowLinksGetNothing(t *testing.T) {
	b := New(settings())
	b.Update(site(2, 1))
	b.ReportLoad("e0", Load{Weights: 1, NetworkDelay: 2 * maxNetworkDelay})
	b.ReportLoad("e1", Load{Active: 9, Weights: 1})
	for range 4 {
		g, err := b.Acquire(context.Background(), &Request{Service: "llm"})
		if err != nil || g.Target != "e1" {
			t.Fatalf("%+v, %v", g, err)
		}
		g.End(Served)
	}
}

// TestMutedTargetIsLeftOutForAWhile stops a target's reports, as on a link so
// full that datagrams are lost.
func TestMutedTargetIsLeftOutForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(settings())
		b.Update(site(1, 1))
		b.ReportLoad("e0", Load{Weights: 1})
		ask := &Request{Service: "llm"}
		time.Sleep(reportLifetime)
		if _, err := b.Acquire(t.Context(), ask); !errors.Is(err, ErrFull) {
			t.Errorf("reports stopped: %v", err)
		}
		time.Sleep(silentTargetPause)
		if _, err := b.Acquire(t.Context(), ask); err != nil {
			t.Errorf("long after: %v", err)
		}
	})
}

// TestHoldsOldWeightsBeginAtOnce plays the last moments before a version is
// due: engines on the older one get requests only while they begin at once.
func TestHoldsOldWeightsBeginAtOnce(t *testing.T) {
	b := New(settings())
	b.Update(site(1, 1))
	b.ReportLoad("e0", Load{Active: 10, Weights: 1})
	if _, err := b.Acquire(t.Context(), &Request{Service: "llm", NextMinWeights: 1}); err != nil {
		t.Errorf("with the newest weights: %v", err)
	}
	if _, err := b.Acquire(t.Context(), &Request{Service: "llm", NextMinWeights: 2}); !errors.Is(err, ErrFull) {
		t.Errorf("an engine with 10 of 16 places taken: %v", err)
	}
	b.ReportLoad("e0", Load{Active: 3, Weights: 1})
	if _, err := b.Acquire(t.Context(), &Request{Service: "llm", NextMinWeights: 2}); err != nil {
		t.Errorf("an engine with 3 of 16 places taken: %v", err)
	}
}

// TestHoldsReportedPlacesAreShared plays the moment at which an engine has
// loaded: seven entries with requests that wait see its 16 free places in each
// report until one shows what they sent, 0.1 s later on a full link. They must
// not send much more than these places together.
func TestHoldsReportedPlacesAreShared(t *testing.T) {
	const entries, slack = 7, 6
	for _, delay := range []time.Duration{0, 2 * reportInterval} {
		sent := 0
		for range entries {
			b := New(settings())
			v := site(1, entries)
			v.Plan.Services["llm"].ColdPerSecond = 0
			b.Update(v)
			for range 1 + delay/reportInterval {
				b.ReportLoad("e0", Load{Weights: 1, NetworkDelay: delay})
				for {
					if _, err := b.Acquire(t.Context(), &Request{Service: "llm"}); err != nil {
						break
					}
					sent++
				}
			}
		}
		if sent == 0 || sent > 16+slack {
			t.Errorf("%d requests for 16 places, delay %s", sent, delay)
		}
	}
}

// TestHoldsOverloadServesInTime plays a steady overload: 24 requests a second
// come at random to an engine that ends 14, each with 150 ms to wait. Served in
// order of arrival most wait about as long as they may; here most begin soon.
func TestHoldsOverloadServesInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(settings())
		v := site(1, 1)
		v.Plan.Services["llm"].ColdPerSecond = 0
		b.Update(v)
		var mu sync.Mutex
		served, atOnce := 0, 0
		rng := rand.New(rand.NewPCG(1, 2))
		var wg sync.WaitGroup
		for range 400 {
			wg.Go(func() {
				g, err := b.Acquire(t.Context(), &Request{Service: "llm", MaxWait: 150 * time.Millisecond})
				if err != nil {
					return
				}
				mu.Lock()
				served++
				if g.Waited < 75*time.Millisecond {
					atOnce++
				}
				mu.Unlock()
				time.Sleep(1200 * time.Millisecond)
				g.End(Served)
			})
			time.Sleep(time.Duration(rng.ExpFloat64() * float64(time.Second) / 24))
		}
		wg.Wait()
		t.Logf("%d served, %d soon", served, atOnce)
		if served < 220 || atOnce*100 < served*85 {
			t.Errorf("%d served, %d of them after a short wait", served, atOnce)
		}
	})
}

// TestOutdatedTargetIsBackSoon lets an engine answer that it holds other
// weights than its report said, as right after a load. It is healthy.
func TestOutdatedTargetIsBackSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(settings())
		b.Update(site(1, 1))
		ask := &Request{Service: "llm"}
		g, err := b.Acquire(t.Context(), ask)
		if err != nil {
			t.Fatal(err)
		}
		if g.End(Outdated) {
			t.Error("a healthy target was ejected")
		}
		if _, err := b.Acquire(t.Context(), ask); !errors.Is(err, ErrFull) {
			t.Errorf("before its next report: %v", err)
		}
		time.Sleep(outdatedPause)
		for range 2 {
			if _, err := b.Acquire(t.Context(), ask); err != nil {
				t.Errorf("after its next report: %v", err)
			}
		}
	})
}
