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

// TestHoldsColdTargetsBound checks that seven entries without coordination,
// each sending as fast as Acquire allows, never send more than the service's
// rate x overrun + allowance to one engine within a second. This happens when
// a zone returns cold under load.
func TestHoldsColdTargetsBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries = 7
		var mu sync.Mutex
		var sent []time.Duration
		began := time.Now()
		var wg sync.WaitGroup
		for range entries {
			d := New(settings())
			d.Update(site(1, entries))
			wg.Go(func() {
				for time.Since(began) < 6*time.Second {
					g, err := d.Acquire(t.Context(), &Request{Service: "llm", MaxWait: 100 * time.Millisecond})
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

// TestHoldsFullSiteRefusesAtOnce checks that a request to a full site gets
// ErrFull immediately, or within its MaxWait if it has one.
func TestHoldsFullSiteRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(settings())
		d.Update(site(1, 1))
		d.ReportLoad("e0", Load{Active: 16, Queued: 4, Weights: 1})
		began := time.Now()
		_, err := d.Acquire(t.Context(), &Request{Service: "llm"})
		if !errors.Is(err, ErrFull) || time.Since(began) != 0 {
			t.Errorf("got error %v after %s", err, time.Since(began))
		}
		_, err = d.Acquire(t.Context(), &Request{Service: "llm", MaxWait: 200 * time.Millisecond})
		if !errors.Is(err, ErrFull) || time.Since(began) > 200*time.Millisecond {
			t.Errorf("got error %v after %s", err, time.Since(began))
		}
	})
}

// TestQueueFollowsPriority queues requests of two priorities behind a full
// engine.
func TestQueueFollowsPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(settings())
		d.Update(site(1, 1))
		d.ReportLoad("e0", Load{Active: 17, Weights: 1})
		var mu sync.Mutex
		var order []int
		for _, rank := range []int{2, 2, 1} {
			go func() {
				if g, err := d.Acquire(t.Context(), &Request{Service: "llm", Priority: rank, MaxWait: time.Second}); err == nil {
					mu.Lock()
					order = append(order, rank)
					mu.Unlock()
					time.Sleep(10 * time.Millisecond)
					g.End(Served)
				}
			}()
			synctest.Wait()
		}
		d.ReportLoad("e0", Load{Active: 16, Weights: 1})
		time.Sleep(time.Second)
		mu.Lock()
		defer mu.Unlock()
		if fmt.Sprint(order) != "[1 2 2]" {
			t.Errorf("served in order %v", order)
		}
	})
}

func TestIneligibleTargetsAreSkipped(t *testing.T) {
	for name, change := range map[string]func(v *siteclient.View, r *Request){
		"withdrawn": func(v *siteclient.View, _ *Request) { v.Withdrawn = map[id.Domain]bool{"z1": true} },
		"draining": func(v *siteclient.View, _ *Request) {
			e := v.Targets["e0"]
			e.Stage = discovery.Draining
			v.Targets["e0"] = e
		},
		"left":        func(v *siteclient.View, _ *Request) { delete(v.Targets, "e0") },
		"region":      func(_ *siteclient.View, r *Request) { r.Regions = []id.Region{"south"} },
		"old weights": func(_ *siteclient.View, r *Request) { r.MinWeights = 2 },
		"tried":       func(_ *siteclient.View, r *Request) { r.Exclude = []id.Target{"e0"} },
		"empty": func(v *siteclient.View, _ *Request) {
			e := v.Targets["e0"]
			e.Weights = 0
			v.Targets["e0"] = e
		},
	} {
		d := New(settings())
		v, r := site(1, 1), &Request{Service: "llm"}
		if _, err := func() (*Grant, error) { d.Update(v); return d.Acquire(context.Background(), r) }(); err != nil {
			t.Fatalf("%s: before the change: %v", name, err)
		}
		change(v, r)
		d.Update(v)
		if g, err := d.Acquire(context.Background(), r); !errors.Is(err, ErrNoTarget) {
			t.Errorf("%s: got %+v, %v", name, g, err)
		}
	}
}

// TestEntriesSpreadRequests checks that no engine gets much more than its
// share when all entries send requests based on the same reports.
func TestEntriesSpreadRequests(t *testing.T) {
	const entries, engines, each = 7, 10, 4
	count := map[id.Target]int{}
	for range entries {
		d := New(settings())
		d.Update(site(engines, entries))
		for i := range engines {
			d.ReportLoad(id.Target(fmt.Sprintf("e%d", i)), Load{Active: 6, Weights: 1})
		}
		for range each {
			g, err := d.Acquire(context.Background(), &Request{Service: "llm", PromptTokens: 900})
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

// TestEjectedTargetIsProbed checks that a target that refuses connections is
// ejected and that a single request at a time probes it afterwards.
func TestEjectedTargetIsProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(settings())
		d.Update(site(1, 1))
		request := &Request{Service: "llm"}
		g, err := d.Acquire(t.Context(), request)
		if err != nil {
			t.Fatal(err)
		}
		if !g.End(Unreachable) {
			t.Fatal("target was not ejected")
		}
		if _, err := d.Acquire(t.Context(), request); !errors.Is(err, ErrFull) {
			t.Errorf("request to an ejected target: %v", err)
		}
		time.Sleep(firstEjection + time.Millisecond)
		g, err = d.Acquire(t.Context(), request)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := d.Acquire(t.Context(), request); !errors.Is(err, ErrFull) {
			t.Errorf("second request during the probe: %v", err)
		}
		g.End(Served)
		time.Sleep(time.Second)
		if _, err := d.Acquire(t.Context(), request); err != nil {
			t.Errorf("after a successful probe: %v", err)
		}
	})
}

// TestHoldsRetryBudget lets seven entries retry as often as their budgets
// allow. The total must stay below the site's budget in every window.
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
				for r.TakeRetry("s", entries) {
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

// TestTargetsBehindSlowLinksAreSkipped covers a congested link: requests
// would queue on it and reach the target seconds later.
func TestTargetsBehindSlowLinksAreSkipped(t *testing.T) {
	d := New(settings())
	d.Update(site(2, 1))
	d.ReportLoad("e0", Load{Weights: 1, NetworkDelay: 2 * maxNetworkDelay})
	d.ReportLoad("e1", Load{Active: 9, Weights: 1})
	for range 4 {
		g, err := d.Acquire(context.Background(), &Request{Service: "llm"})
		if err != nil || g.Target != "e1" {
			t.Fatalf("%+v, %v", g, err)
		}
		g.End(Served)
	}
}

// TestTargetWithoutReportsIsPaused covers reports that stop, for example
// because a saturated link drops the datagrams.
func TestTargetWithoutReportsIsPaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(settings())
		d.Update(site(1, 1))
		d.ReportLoad("e0", Load{Weights: 1})
		request := &Request{Service: "llm"}
		time.Sleep(reportLifetime)
		if _, err := d.Acquire(t.Context(), request); !errors.Is(err, ErrFull) {
			t.Errorf("just after the reports stopped: %v", err)
		}
		time.Sleep(silentTargetPause)
		if _, err := d.Acquire(t.Context(), request); err != nil {
			t.Errorf("long after the reports stopped: %v", err)
		}
	})
}

// TestHoldsOldWeightsBeginAtOnce checks that shortly before a version becomes
// the minimum, engines on the older one only get requests that they can start
// immediately.
func TestHoldsOldWeightsBeginAtOnce(t *testing.T) {
	d := New(settings())
	d.Update(site(1, 1))
	d.ReportLoad("e0", Load{Active: 10, Weights: 1})
	if _, err := d.Acquire(t.Context(), &Request{Service: "llm", NextMinWeights: 1}); err != nil {
		t.Errorf("with the newest weights: %v", err)
	}
	if _, err := d.Acquire(t.Context(), &Request{Service: "llm", NextMinWeights: 2}); !errors.Is(err, ErrFull) {
		t.Errorf("an engine with 10 of 16 slots in use: %v", err)
	}
	d.ReportLoad("e0", Load{Active: 3, Weights: 1})
	if _, err := d.Acquire(t.Context(), &Request{Service: "llm", NextMinWeights: 2}); err != nil {
		t.Errorf("an engine with 3 of 16 slots in use: %v", err)
	}
}

// TestHoldsReportedSlotsAreShared guards against entries overrunning an
// engine that has just loaded. Seven entries with waiting requests see the
// same 16 free slots in every report until one includes what they sent, 0.1 s
// later on a full link. Together they must not send much more than 16
// requests.
func TestHoldsReportedSlotsAreShared(t *testing.T) {
	const entries, slack = 7, 6
	for _, delay := range []time.Duration{0, 2 * reportInterval} {
		sent := 0
		for range entries {
			d := New(settings())
			v := site(1, entries)
			v.Plan.Services["llm"].ColdPerSecond = 0
			d.Update(v)
			for range 1 + delay/reportInterval {
				d.ReportLoad("e0", Load{Weights: 1, NetworkDelay: delay})
				for {
					if _, err := d.Acquire(t.Context(), &Request{Service: "llm"}); err != nil {
						break
					}
					sent++
				}
			}
		}
		if sent == 0 || sent > 16+slack {
			t.Errorf("%d requests for 16 slots, delay %s", sent, delay)
		}
	}
}

// TestHoldsOverloadServesInTime checks the queue order under steady overload:
// 24 requests per second arrive randomly at an engine that completes 14, each
// with a MaxWait of 150 ms. In first-in first-out order most would wait
// almost that long; here most start after a short wait.
func TestHoldsOverloadServesInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(settings())
		v := site(1, 1)
		v.Plan.Services["llm"].ColdPerSecond = 0
		d.Update(v)
		var mu sync.Mutex
		served, afterShortWait := 0, 0
		rng := rand.New(rand.NewPCG(1, 2))
		var wg sync.WaitGroup
		for range 400 {
			wg.Go(func() {
				g, err := d.Acquire(t.Context(), &Request{Service: "llm", MaxWait: 150 * time.Millisecond})
				if err != nil {
					return
				}
				mu.Lock()
				served++
				if g.Waited < 75*time.Millisecond {
					afterShortWait++
				}
				mu.Unlock()
				time.Sleep(1200 * time.Millisecond)
				g.End(Served)
			})
			time.Sleep(time.Duration(rng.ExpFloat64() * float64(time.Second) / 24))
		}
		wg.Wait()
		t.Logf("%d served, %d after a short wait", served, afterShortWait)
		if served < 220 || afterShortWait*100 < served*85 {
			t.Errorf("%d served, %d of them after a short wait", served, afterShortWait)
		}
	})
}

// TestOutdatedTargetIsNotEjected covers an engine that holds other weights
// than it last reported, as right after a load. It is paused until its next
// report, not ejected.
func TestOutdatedTargetIsNotEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(settings())
		d.Update(site(1, 1))
		request := &Request{Service: "llm"}
		g, err := d.Acquire(t.Context(), request)
		if err != nil {
			t.Fatal(err)
		}
		if g.End(Outdated) {
			t.Error("a healthy target was ejected")
		}
		if _, err := d.Acquire(t.Context(), request); !errors.Is(err, ErrFull) {
			t.Errorf("before its next report: %v", err)
		}
		time.Sleep(outdatedPause)
		for range 2 {
			if _, err := d.Acquire(t.Context(), request); err != nil {
				t.Errorf("after its next report: %v", err)
			}
		}
	})
}
